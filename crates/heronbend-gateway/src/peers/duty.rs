//! Drives the failure detector over UDP, and serves peers' calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{FutureExt, StreamExt};
use heronbend::identity::NodeId;
use heronbend::membership::{ControlVersions, Detector, DetectorConfig, Effect, Liveness, Member};
use heronbend::Moment;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use smol::net::UdpSocket;
use smol::Timer;

use super::introduction::Wanted;
use super::messages::{Datagram, Hint, PeerReply, PeerRequest};
use super::view_log::ViewLog;
use super::{introduction, store_relay, Command};
use crate::batch::{ownership_manager, results_reader, submission};
use crate::clock::steady_now;
use crate::clock::SuspensionWatch;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::http::server::{read_body, BodyLimits};
use crate::http::{bytes_answer, text_answer, Answer};
use crate::permits;
use crate::quarantine::isolation;
use crate::quarantine::news;
use crate::replica::Checking;
use crate::versions::duty::note_order_taken;

const TICK: Duration = Duration::from_millis(100);
/// Ticks between two greetings of seeds, while nobody is known.
const GREETING_TICKS: u32 = 5;
/// How long the own watch may lag behind what a peer knows.
const BEHIND_PATIENCE: Duration = Duration::from_millis(700);
/// Rest between two times that the detector's view is passed on. It is passed on whole, so that the
/// thousand changes of a fleet that starts would cost a million members; a tick follows within 0.1 s.
const PUBLISH_REST: Duration = Duration::from_millis(30);
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
const MAX_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Longest time without a byte of a peer's request.
const REQUEST_IDLE: Duration = Duration::from_secs(2);

/// Time constants: a daemon that is lost is known to be dead after about two seconds.
const DETECTOR: DetectorConfig = DetectorConfig {
    probe_period: Duration::from_millis(400),
    direct_timeout: Duration::from_millis(150),
    suspicion_timeout: Duration::from_millis(1200),
    indirect_probes: 2,
    forget_after: Duration::from_secs(600),
    local_region_fanout: 3,
    remote_region_fanout: 2,
};

enum Event {
    Tick,
    Received(Datagram, SocketAddr),
    Asked(Command),
    Nothing,
}

/// Runs the detector until the daemon ends.
pub async fn run_membership(gateway: Rc<Gateway>, socket: UdpSocket, me: Member) {
    let mut detector = Detector::new(DETECTOR, me, rand::rng().random());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    // The first tick greets the seeds at once.
    let mut ticks = Timer::interval_at(steady_now(), TICK);
    let mut tick_number = 0_u32;
    let mut head = ControlVersions::default();
    let mut view_log = ViewLog::default();
    let mut unpublished = Unpublished::default();
    let mut suspension = SuspensionWatch::new(gateway.clock());
    loop {
        let event = next_event(&gateway, &socket, &mut buffer, &mut ticks).await;
        let now = gateway.now();
        if let Some(suspended) = suspension.look(gateway.clock()) {
            log::warn!("event=resumed suspended_ms={}", suspended.as_millis());
            gateway.resumed.notify(usize::MAX);
        }
        let is_learnt = matches!(event, Event::Asked(Command::Learn(_)));
        let effects = match event {
            Event::Tick => {
                let mut effects = detector.tick(now);
                let is_alone =
                    !detector.members().any(|member| member.liveness <= Liveness::Suspect);
                if is_alone && tick_number.is_multiple_of(GREETING_TICKS) {
                    let seeds = gateway.seeds.borrow();
                    effects.extend(seeds.iter().map(|seed| detector.ping_address(*seed)));
                }
                tick_number = tick_number.wrapping_add(1);
                let version = gateway.configuration_version();
                if version > head.settings_revision {
                    head.settings_revision = version;
                    detector.set_control_versions(head);
                    effects.extend(detector.announce());
                }
                effects
            }
            Event::Received(Datagram::Gossip(gossip), source) => {
                detector.receive(now, source, gossip)
            }
            Event::Received(Datagram::Hint(hint), _) => {
                take_hint(&gateway, hint);
                Vec::new()
            }
            Event::Asked(Command::Tell(hint)) => {
                tell_all(&detector, &socket, hint).await;
                Vec::new()
            }
            Event::Asked(Command::TellSome(to, hint)) => {
                tell_some(&detector, &socket, &to, hint).await;
                Vec::new()
            }
            Event::Asked(Command::Learn(members)) => {
                members.into_iter().flat_map(|member| detector.merge_member(now, member)).collect()
            }
            Event::Asked(Command::Leave(sent)) => {
                let effects = detector.leave();
                apply(&gateway, &socket, effects, &mut view_log, &mut unpublished).await;
                drop(sent);
                Vec::new()
            }
            Event::Nothing => Vec::new(),
        };
        apply(&gateway, &socket, effects, &mut view_log, &mut unpublished).await;
        if unpublished.is_due(now) || is_learnt {
            unpublished.publish(now, &gateway, &detector);
        }
        if let Some(line) = view_log.line(now, gateway.members.count_alive()) {
            log::info!("{line}");
        }
    }
}

async fn next_event(
    gateway: &Gateway,
    socket: &UdpSocket,
    buffer: &mut [u8],
    ticks: &mut Timer,
) -> Event {
    let tick = async {
        ticks.next().await;
        Event::Tick
    };
    let received = async {
        match socket.recv_from(buffer).await {
            Ok((length, source)) => match musli::wire::from_slice(&buffer[..length]) {
                Ok(datagram) => Event::Received(datagram, source),
                Err(_) => Event::Nothing,
            },
            Err(_) => Event::Nothing,
        }
    };
    let asked = async {
        match gateway.members.commands_to_do.recv().await {
            Ok(command) => Event::Asked(command),
            Err(_) => Event::Nothing,
        }
    };
    tick.or(received).or(asked).await
}

/// Changes of the detector's view that the rest of the daemon has not been told of.
#[derive(Debug, Default)]
struct Unpublished {
    has_changed: bool,
    has_lost: bool,
    last: Moment,
}

impl Unpublished {
    /// Whether they are to be told now: a single one at once, a burst once in a while.
    fn is_due(&self, now: Moment) -> bool {
        self.has_changed && now >= self.last + PUBLISH_REST
    }

    fn publish(&mut self, now: Moment, gateway: &Rc<Gateway>, detector: &Detector) {
        gateway.members.publish(detector.members().cloned().collect());
        gateway.share_servers();
        permits::note_members(gateway);
        if self.has_lost {
            ownership_manager::on_member_lost(gateway);
        }
        *self = Self { last: now, ..Self::default() };
    }
}

async fn apply(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    effects: Vec<Effect>,
    view_log: &mut ViewLog,
    unpublished: &mut Unpublished,
) {
    for effect in effects {
        match effect {
            Effect::Send { to, gossip } => send(socket, to, &Datagram::Gossip(*gossip)).await,
            Effect::Changed(change) => {
                let member = change.member;
                view_log.add(&member);
                unpublished.has_lost |= member.liveness > Liveness::Suspect;
                unpublished.has_changed = true;
            }
            Effect::Behind { head, .. } => check_behind(gateway, head),
            Effect::Refuted => {
                gateway.members.was_doubted.notify(usize::MAX);
            }
            Effect::Backend(_) => {}
        }
    }
}

async fn tell_all(detector: &Detector, socket: &UdpSocket, hint: Hint) {
    // A daemon that is taken for lost may be alive, and has to hear that its job was taken over.
    let is_told_anyway = matches!(hint, Hint::JobOwned { .. });
    let told = detector.members().filter(|member| match member.liveness {
        Liveness::Alive | Liveness::Suspect => true,
        Liveness::Dead => is_told_anyway,
        Liveness::Left => false,
    });
    send_hint(socket, told, hint).await;
}

async fn tell_some(detector: &Detector, socket: &UdpSocket, to: &[NodeId], hint: Hint) {
    let told = detector.members().filter(|member| to.contains(&member.id));
    send_hint(socket, told, hint).await;
}

async fn send_hint(socket: &UdpSocket, to: impl Iterator<Item = &Member>, hint: Hint) {
    let datagram = Datagram::Hint(hint);
    for member in to {
        send(socket, member.address, &datagram).await;
    }
}

async fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    if let Ok(bytes) = musli::wire::to_vec(datagram) {
        // Datagrams may be lost on the way as well.
        let _ = socket.send_to(&bytes, to).await;
    }
}

fn take_hint(gateway: &Rc<Gateway>, hint: Hint) {
    match hint {
        Hint::OrderTaken { holder, server, model, version, incarnation } => {
            note_order_taken(gateway, holder, (&server, incarnation), &model, version);
        }
        Hint::LeaseRenewed { lease, revision, record } => {
            gateway.lease_news(lease).tell(gateway.now(), revision, record);
        }
        Hint::UsageCounted { daemon, window, counts } => {
            if let Some(book) = &gateway.usage {
                book.learn(&daemon, window, &counts.into_iter().collect());
            }
        }
        Hint::RequestsSuspected { reports } => news::learn(gateway, reports),
        Hint::UsageReported { window } => {
            if let Some(book) = &gateway.usage {
                book.note_reported(window);
            }
        }
        Hint::JobOwned { job, ownership, revision, is_new } => {
            ownership_manager::apply_hint(gateway, &job, ownership, revision, is_new);
        }
    }
}

/// A peer has a newer configuration. The own watch tells of it in a moment, unless it is deaf.
fn check_behind(gateway: &Rc<Gateway>, head: ControlVersions) {
    if gateway.behind.get() >= head.settings_revision {
        return;
    }
    gateway.behind.set(head.settings_revision);
    let checked = gateway.clone();
    let check = async move {
        Timer::after(BEHIND_PATIENCE).await;
        if checked.configuration_version() < head.settings_revision {
            log::warn!(
                "event=configuration_behind version={} peer_version={}",
                checked.configuration_version(),
                head.settings_revision
            );
            checked.watches_doubted.notify(usize::MAX);
        }
    };
    gateway.executor.spawn(check).detach();
}

/// Answers a peer's call.
pub async fn answer_peer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Answer {
    let mut hold = gateway.memory.hold();
    let limits = BodyLimits { max_bytes: MAX_REQUEST_BYTES, idle: REQUEST_IDLE };
    let Ok(body) = read_body(request.into_body(), limits, &mut hold).await else {
        return text_answer(StatusCode::BAD_REQUEST, "cut");
    };
    let Ok(request) = musli::wire::from_slice::<PeerRequest>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "malformed");
    };
    let reply = match request {
        PeerRequest::RunJob { ownership, revision, specification } => {
            submission::run_here(&gateway, *ownership, revision, specification, false)
        }
        PeerRequest::Store(call) => PeerReply::Store(store_relay::answer(&gateway, call).await),
        PeerRequest::Follow { kind, since, wait_millis, checks } => {
            let wait = Duration::from_millis(wait_millis);
            let checking = if checks { Checking::ByDigest } else { Checking::Unchecked };
            dissemination::answer(&gateway, &kind, since, wait, checking).await
        }
        PeerRequest::Introduce { with_objects, takes_packed, without_members } => {
            let members = !without_members;
            let wanted = Wanted { objects: with_objects, takes_packed, members };
            introduction::answer(&gateway, wanted)
        }
        PeerRequest::ConfirmOwner { job, revision } => {
            ownership_manager::confirm_owner(&gateway, &job, revision)
        }
        PeerRequest::Borrow { server, permits } => permits::answer(&gateway, &server, permits),
        PeerRequest::Isolate { server, is_over } => isolation::answer(&gateway, &server, is_over),
        PeerRequest::ReadResults { job, from, wait_millis } => {
            let wait = Duration::from_millis(wait_millis);
            results_reader::answer_peer(&gateway, &job, from, wait).await
        }
    };
    encode(&reply)
}

fn encode(reply: &PeerReply) -> Answer {
    match musli::wire::to_vec(reply) {
        Ok(bytes) => bytes_answer(StatusCode::OK, "application/octet-stream", Bytes::from(bytes)),
        Err(_) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, "not encoded"),
    }
}
