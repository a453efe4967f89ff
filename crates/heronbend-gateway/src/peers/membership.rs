//! Runs the failure detector over UDP, and serves calls of peers.

use std::collections::HashSet;
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

use super::bootstrap::BootstrapOptions;
use super::membership_log::MembershipLog;
use super::messages::{Datagram, Hint, PeerReply, PeerRequest};
use super::recent_hints::RecentHints;
use super::{bootstrap, store_relay, Command};
use crate::batch::submission::{self, Handoff};
use crate::batch::tenure::InitialLog;
use crate::batch::{ownership_manager, results_reader};
use crate::clock::monotonic_now;
use crate::clock::SuspensionDetector;
use crate::demand_exchange;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::http::server::{read_body, BodyLimits};
use crate::http::{bytes_response, text_response, HttpResponse};
use crate::permits;
use crate::quarantine::gossip;
use crate::quarantine::isolation;
use crate::replica::Verification;
use crate::versions::dispatcher::note_command_accepted;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two pings of the seeds while no other member is known.
const SEED_PING_TICKS: u32 = 5;
/// Ticks between two pings of the seeds that are not alive while other members are known.
const MISSING_SEED_PING_TICKS: u32 = 50;
/// How long this daemon's configuration may lag behind that of a peer before its watches are
/// restarted.
const BEHIND_GRACE: Duration = Duration::from_millis(700);
/// Shortest time between two publications of the member list. The list is always published as a
/// whole, so bursts of changes are batched: the thousand changes of a fleet that starts would
/// otherwise copy a million members.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(30);
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
const MAX_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Longest time between two reads of a request's body.
const REQUEST_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Detects a dead daemon within about two seconds.
const DETECTOR_CONFIG: DetectorConfig = DetectorConfig {
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
    Command(Command),
    None,
}

/// Runs the detector until the daemon ends.
pub async fn run_membership(gateway: Rc<Gateway>, socket: UdpSocket, local_member: Member) {
    let mut detector = Detector::new(DETECTOR_CONFIG, local_member, rand::rng().random());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    // The first tick pings the seeds without delay.
    let mut ticks = Timer::interval_at(monotonic_now(), TICK_INTERVAL);
    let mut tick_number = 0_u32;
    let mut control_versions = ControlVersions::default();
    let mut membership_log = MembershipLog::default();
    let mut pending = PendingChanges::default();
    let mut recent_hints = RecentHints::new(gateway.now());
    let mut suspension = SuspensionDetector::new(gateway.clock());
    loop {
        let event = next_event(&gateway, &socket, &mut buffer, &mut ticks).await;
        let now = gateway.now();
        if let Some(suspended) = suspension.check(gateway.clock()) {
            log::warn!("event=resumed suspended_ms={}", suspended.as_millis());
            gateway.resumed.notify(usize::MAX);
        }
        let is_merge = matches!(event, Event::Command(Command::Merge(_)));
        let effects = match event {
            Event::Tick => {
                let mut effects = detector.tick(now);
                let addresses = addresses_to_ping(&gateway, &detector, tick_number);
                effects.extend(addresses.iter().map(|address| detector.ping_address(*address)));
                tick_number = tick_number.wrapping_add(1);
                let version = gateway.configuration_version();
                if version > control_versions.settings_revision {
                    control_versions.settings_revision = version;
                    detector.set_control_versions(control_versions);
                    effects.extend(detector.announce());
                }
                effects
            }
            Event::Received(Datagram::Gossip(gossip), source) => {
                detector.receive(now, source, gossip)
            }
            Event::Received(Datagram::Hint(hint), _) => {
                handle_hint(&gateway, hint);
                Vec::new()
            }
            Event::Command(Command::Broadcast(hint)) => {
                recent_hints.record(now, &hint);
                broadcast(&detector, &socket, hint).await;
                Vec::new()
            }
            Event::Command(Command::SendTo(to, hint)) => {
                send_to(&detector, &socket, &to, hint).await;
                Vec::new()
            }
            Event::Command(Command::Merge(members)) => {
                members.into_iter().flat_map(|member| detector.merge_member(now, member)).collect()
            }
            Event::Command(Command::StartDraining) => detector.start_draining(),
            Event::Command(Command::Leave(done)) => {
                let effects = detector.leave();
                apply(&gateway, &socket, effects, &mut membership_log, &mut pending).await;
                drop(done);
                Vec::new()
            }
            Event::None => Vec::new(),
        };
        send_recent_hints(&gateway, &socket, &effects, &mut recent_hints).await;
        apply(&gateway, &socket, effects, &mut membership_log, &mut pending).await;
        if pending.is_due(now) || is_merge {
            pending.publish(now, &gateway, &detector);
        }
        if let Some(line) = membership_log.next_line(now, gateway.members.alive_count()) {
            log::info!("{line}");
        }
    }
}

/// Addresses that are pinged at a tick to find other daemons: while nobody is known, all seeds and
/// the addresses from the store; later on, seeds that are not alive as members, which may have been
/// started anew without knowing anybody.
fn addresses_to_ping(gateway: &Gateway, detector: &Detector, tick_number: u32) -> Vec<SocketAddr> {
    let is_alive = |member: &&Member| member.liveness <= Liveness::Suspect;
    let knows_nobody = detector.members().find(is_alive).is_none();
    let interval = if knows_nobody { SEED_PING_TICKS } else { MISSING_SEED_PING_TICKS };
    if !tick_number.is_multiple_of(interval) {
        return Vec::new();
    }
    let seeds = gateway.seeds.borrow();
    if knows_nobody {
        return seeds.iter().chain(gateway.met_addresses.borrow().iter()).copied().collect();
    }
    let alive: HashSet<SocketAddr> =
        detector.members().filter(is_alive).map(|member| member.address).collect();
    seeds.iter().filter(|seed| !alive.contains(seed)).copied().collect()
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
                Err(_) => Event::None,
            },
            Err(_) => Event::None,
        }
    };
    let command = async {
        match gateway.members.command_receiver.recv().await {
            Ok(command) => Event::Command(command),
            Err(_) => Event::None,
        }
    };
    tick.or(received).or(command).await
}

/// Changes of the detector's view that are not published yet.
#[derive(Debug, Default)]
struct PendingChanges {
    has_changed: bool,
    has_lost_member: bool,
    last_published: Moment,
}

impl PendingChanges {
    /// Whether to publish now: a single change immediately, bursts at most once per interval.
    fn is_due(&self, now: Moment) -> bool {
        self.has_changed && now >= self.last_published + MIN_PUBLISH_INTERVAL
    }

    fn publish(&mut self, now: Moment, gateway: &Rc<Gateway>, detector: &Detector) {
        gateway.members.publish(detector.members().cloned().collect());
        gateway.update_service_limits();
        permits::update_members(gateway);
        if self.has_lost_member {
            ownership_manager::on_member_lost(gateway);
        }
        *self = Self { last_published: now, ..Self::default() };
    }
}

async fn apply(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    effects: Vec<Effect>,
    membership_log: &mut MembershipLog,
    pending: &mut PendingChanges,
) {
    for effect in effects {
        match effect {
            Effect::Send { to, gossip } => send(socket, to, &Datagram::Gossip(*gossip)).await,
            Effect::Changed(change) => {
                let member = change.member;
                membership_log.record(&member);
                pending.has_lost_member |= member.liveness > Liveness::Suspect;
                pending.has_changed = true;
            }
            Effect::Behind { head, .. } => check_behind(gateway, head),
            Effect::Refuted => {
                gateway.members.suspicion_refuted.notify(usize::MAX);
            }
            Effect::Backend(_) => {}
        }
    }
}

/// Sends recent hints to the daemons that have become known.
async fn send_recent_hints(
    gateway: &Gateway,
    socket: &UdpSocket,
    effects: &[Effect],
    recent_hints: &mut RecentHints,
) {
    for effect in effects {
        let Effect::Changed(change) = effect else {
            continue;
        };
        for hint in recent_hints.note_member(gateway.now(), &change.member) {
            send(socket, change.member.address, &Datagram::Hint(hint)).await;
        }
    }
}

async fn broadcast(detector: &Detector, socket: &UdpSocket, hint: Hint) {
    // A daemon that counts as dead may be alive, and has to learn that its job was taken over.
    let includes_dead = matches!(hint, Hint::JobOwned { .. });
    let recipients = detector.members().filter(|member| match member.liveness {
        Liveness::Alive | Liveness::Suspect => true,
        Liveness::Dead => includes_dead,
        Liveness::Left => false,
    });
    send_hint(socket, recipients, hint).await;
}

async fn send_to(detector: &Detector, socket: &UdpSocket, to: &[NodeId], hint: Hint) {
    let recipients = detector.members().filter(|member| to.contains(&member.id));
    send_hint(socket, recipients, hint).await;
}

async fn send_hint(socket: &UdpSocket, to: impl Iterator<Item = &Member>, hint: Hint) {
    let datagram = Datagram::Hint(hint);
    for member in to {
        send(socket, member.address, &datagram).await;
    }
}

async fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    if let Ok(bytes) = musli::wire::to_vec(datagram) {
        // Hints and gossip tolerate lost datagrams.
        let _ = socket.send_to(&bytes, to).await;
    }
}

fn handle_hint(gateway: &Rc<Gateway>, hint: Hint) {
    match hint {
        Hint::OrderTaken { holder, server, model, version, incarnation } => {
            note_command_accepted(gateway, holder, (&server, incarnation), &model, version);
        }
        Hint::LeaseRenewed { lease, revision, record } => {
            gateway.lease_state(lease).record_renewal(gateway.now(), revision, record);
        }
        Hint::UsageCounted { daemon, window, counts } => {
            if let Some(usage) = &gateway.usage {
                usage.merge(&daemon, window, &counts.into_iter().collect());
            }
        }
        Hint::RequestsSuspected { reports, exited } => {
            gossip::merge_reports(gateway, reports);
            gossip::merge_exits(gateway, &exited);
        }
        Hint::DemandReported(report) => demand_exchange::receive(gateway, &report),
        Hint::UsageReported { window } => {
            if let Some(usage) = &gateway.usage {
                usage.mark_reported(window);
            }
        }
        Hint::JobOwned { job, ownership, revision, is_new } => {
            ownership_manager::apply_hint(gateway, &job, ownership, revision, is_new);
        }
    }
}

/// Handles that a peer has a newer configuration: restarts the watches unless it arrives soon.
fn check_behind(gateway: &Rc<Gateway>, peer_versions: ControlVersions) {
    if gateway.newest_peer_configuration.get() >= peer_versions.settings_revision {
        return;
    }
    gateway.newest_peer_configuration.set(peer_versions.settings_revision);
    let task_gateway = gateway.clone();
    let check = async move {
        Timer::after(BEHIND_GRACE).await;
        if task_gateway.configuration_version() < peer_versions.settings_revision {
            log::warn!(
                "event=configuration_behind version={} peer_version={}",
                task_gateway.configuration_version(),
                peer_versions.settings_revision
            );
            task_gateway.restart_watches.notify(usize::MAX);
        }
    };
    gateway.executor.spawn(check).detach();
}

/// Handles a call of a peer.
pub async fn handle_request(gateway: Rc<Gateway>, request: Request<Incoming>) -> HttpResponse {
    let mut reservation = gateway.memory.reserve();
    let limits = BodyLimits { max_bytes: MAX_REQUEST_BYTES, idle_timeout: REQUEST_IDLE_TIMEOUT };
    let Ok(body) = read_body(request.into_body(), limits, &mut reservation).await else {
        return text_response(StatusCode::BAD_REQUEST, "cut");
    };
    let Ok(request) = musli::wire::from_slice::<PeerRequest>(&body) else {
        return text_response(StatusCode::BAD_REQUEST, "malformed");
    };
    let reply = match request {
        PeerRequest::RunJob { ownership, revision, specification, has_results } => {
            let (ownership, specification) = (*ownership, Rc::new(specification));
            let initial_log = if has_results { InitialLog::Stored } else { InitialLog::Empty };
            let confirmed_at = None;
            let handoff = Handoff { ownership, revision, specification, initial_log, confirmed_at };
            submission::run_here(&gateway, handoff, false)
        }
        PeerRequest::Store(call) => PeerReply::Store(store_relay::handle(&gateway, call).await),
        PeerRequest::Follow { kind, since, wait_millis, checks } => {
            let wait = Duration::from_millis(wait_millis);
            let verification = if checks { Verification::Digest } else { Verification::Unverified };
            dissemination::handle_follow(&gateway, &kind, since, wait, verification).await
        }
        PeerRequest::Introduce { with_objects, takes_packed, without_members } => {
            let members = !without_members;
            let options = BootstrapOptions { objects: with_objects, takes_packed, members };
            bootstrap::handle(&gateway, options)
        }
        PeerRequest::ConfirmOwner { job, revision } => {
            ownership_manager::confirm_owner(&gateway, &job, revision)
        }
        PeerRequest::Borrow { server, permits } => {
            permits::handle_request(&gateway, &server, permits)
        }
        PeerRequest::Isolate { server, is_over } => isolation::handle(&gateway, &server, is_over),
        PeerRequest::ReadResults { job, from, wait_millis } => {
            let wait = Duration::from_millis(wait_millis);
            results_reader::answer_peer(&gateway, &job, from, wait).await
        }
    };
    encode(&reply)
}

fn encode(reply: &PeerReply) -> HttpResponse {
    match musli::wire::to_vec(reply) {
        Ok(bytes) => bytes_response(StatusCode::OK, "application/octet-stream", Bytes::from(bytes)),
        Err(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "not encoded"),
    }
}
