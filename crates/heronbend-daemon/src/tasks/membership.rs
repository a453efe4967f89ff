//! Cluster membership: drives the gossip failure detector over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::lifecycle::{Signal, SignalSource};
use heronbend::membership::{
    ControlVersions, Detector, DetectorConfig, Effect, GossipMessage, Liveness,
};
use smol::net::UdpSocket;
use smol::Timer;

use super::register::RegisterCall;
use crate::shared::{BackendsInput, MembershipInput, Shared};

const TICK: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 2048;

enum Event {
    Tick,
    Datagram(SocketAddr, GossipMessage),
    Input(MembershipInput),
    Ignored,
}

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let seed = shared.unique_number();
    let local = shared.identity.member();
    let mut detector = Detector::new(DetectorConfig::default(), local, seed);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_tick = Timer::interval(TICK);
    let mut versions = ControlVersions::default();
    loop {
        let event = {
            let tick = async {
                futures_lite::StreamExt::next(&mut next_tick).await;
                Event::Tick
            };
            let input = async {
                match shared.membership.receiver.recv().await {
                    Ok(input) => Event::Input(input),
                    Err(_) => Event::Ignored,
                }
            };
            let datagram = async {
                match socket.recv_from(&mut buffer).await {
                    Ok((length, source)) => decode(&buffer[..length], source),
                    Err(_) => Event::Ignored,
                }
            };
            tick.or(input).or(datagram).await
        };
        let now = shared.now();
        let mut effects = announce_control_versions(&shared, &mut detector, &mut versions);
        effects.extend(match event {
            Event::Tick => {
                shared.tick();
                detector.tick(now)
            }
            Event::Datagram(_, gossip) if shared.failpoints.drops_from(&gossip.from.id.name) => {
                Vec::new()
            }
            Event::Datagram(source, gossip) => detector.receive(now, source, gossip),
            Event::Input(MembershipInput::Merge(member)) => detector.merge_member(now, member),
            Event::Input(MembershipInput::GossipBackend(stated)) => {
                detector.gossip_backend(stated);
                detector.announce()
            }
            Event::Input(MembershipInput::Leave) => detector.leave(),
            Event::Ignored => Vec::new(),
        });
        apply(&shared, &detector, &socket, effects).await;
    }
}

/// Announces changed control versions immediately, so that other daemons fetch the new data.
fn announce_control_versions(
    shared: &Shared,
    detector: &mut Detector,
    announced: &mut ControlVersions,
) -> Vec<Effect> {
    let versions = shared.control_versions();
    if versions == *announced {
        return Vec::new();
    }
    *announced = versions;
    detector.set_control_versions(versions);
    detector.announce()
}

fn decode(bytes: &[u8], source: SocketAddr) -> Event {
    match musli::wire::from_slice(bytes) {
        Ok(gossip) => Event::Datagram(source, gossip),
        Err(error) => {
            log::debug!("event=datagram_unreadable source={source} error={error}");
            Event::Ignored
        }
    }
}

async fn apply(shared: &Shared, detector: &Detector, socket: &UdpSocket, effects: Vec<Effect>) {
    let mut changed = false;
    for effect in effects {
        match effect {
            Effect::Send { to, gossip } => send(shared, socket, to, &gossip).await,
            Effect::Changed(change) => {
                let member = change.member;
                log::info!(
                    "event=member_changed member={} liveness={:?}",
                    member.id,
                    member.liveness
                );
                changed = true;
            }
            // Shards and claims are fenced, so a refuted suspicion needs no action.
            Effect::Refuted => {}
            Effect::Backend(stated) => {
                let source = SignalSource::Peer;
                let signal = BackendsInput::Signal(Signal { source, stated });
                let _ = shared.backends_channel.sender.try_send(signal);
            }
            Effect::Behind { peer, .. } => {
                let _ = shared.register.sender.try_send(RegisterCall::FetchControl { peer });
            }
        }
    }
    if changed {
        let members: Vec<_> = detector.members().cloned().collect();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive).count();
        shared.metrics.members_alive.set(alive as i64 + 1);
        shared.members.store(Arc::new(members));
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, to: SocketAddr, gossip: &GossipMessage) {
    let members = shared.members.load();
    let peer = members.iter().find(|member| member.address == to);
    if peer.is_some_and(|peer| shared.failpoints.drops_to(&peer.id.name)) {
        return;
    }
    if let Ok(bytes) = musli::wire::to_vec(gossip) {
        shared.metrics.peer_bytes_sent.inc_by(bytes.len() as u64);
        let _ = socket.send_to(&bytes, to).await;
    }
}
