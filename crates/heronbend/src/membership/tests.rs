use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::*;
use crate::identity::{Incarnation, NodeId};
use crate::lifecycle::{BackendName, BackendPhase, Phase};
use crate::Moment;

const TICK: Duration = Duration::from_millis(50);

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + index as u16).into()
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        id: NodeId::new(&format!("node-{index}"), incarnation),
        address: address(index),
        http_address: address(index),
        zone: "shawinigan".into(),
        region: "mauricie".into(),
        processor_millis: 0,
        refutation: 0,
        liveness: Liveness::Alive,
        is_draining: false,
    }
}

/// Simulated network without delay. Daemons in `unreachable` neither send nor receive.
struct Network {
    now: Moment,
    detectors: Vec<Detector>,
    unreachable: BTreeSet<usize>,
    backends: Vec<BTreeSet<String>>,
    behind: Vec<bool>,
    forwards_at_once: bool,
    /// Network partition: daemons below this index cannot reach the others.
    partition_at: Option<usize>,
    /// Number of times that any daemon declared another one dead.
    dead_declarations: usize,
}

impl Network {
    fn new(count: usize) -> Self {
        Self::with_config(count, DetectorConfig::default())
    }

    fn with_config(count: usize, config: DetectorConfig) -> Self {
        let mut detectors: Vec<_> =
            (0..count).map(|index| Detector::new(config, member(index, 1), index as u64)).collect();
        for detector in &mut detectors {
            detector.merge_member(Moment::ZERO, member(0, 1));
        }
        Self {
            now: Moment::ZERO,
            detectors,
            unreachable: BTreeSet::new(),
            backends: vec![BTreeSet::new(); count],
            behind: vec![false; count],
            forwards_at_once: false,
            partition_at: None,
            dead_declarations: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let mut queue = Vec::new();
            for index in 0..self.detectors.len() {
                if !self.unreachable.contains(&index) {
                    let effects = self.detectors[index].tick(self.now);
                    queue.extend(effects.into_iter().map(|effect| (index, effect)));
                }
            }
            self.deliver(queue);
        }
    }

    /// Applies effects, and all effects that they cause.
    fn deliver(&mut self, effects: impl IntoIterator<Item = (usize, Effect)>) {
        let mut queue: VecDeque<_> = effects.into_iter().collect();
        while let Some((index, effect)) = queue.pop_front() {
            let more = self.apply(index, effect);
            queue.extend(more);
        }
    }

    fn apply(&mut self, index: usize, effect: Effect) -> Vec<(usize, Effect)> {
        match effect {
            Effect::Send { to, gossip } => {
                let target = usize::from(to.port() - 1000);
                let is_partitioned = self
                    .partition_at
                    .is_some_and(|boundary| (index < boundary) != (target < boundary));
                if is_partitioned || self.unreachable.contains(&target) {
                    return Vec::new();
                }
                let effects = self.detectors[target].receive(self.now, address(index), *gossip);
                effects.into_iter().map(|effect| (target, effect)).collect()
            }
            Effect::Backend(update) => {
                if !self.backends[index].insert(update.name.0.clone()) {
                    return Vec::new();
                }
                self.detectors[index].gossip_backend(update);
                if !self.forwards_at_once {
                    return Vec::new();
                }
                let effects = self.detectors[index].announce();
                effects.into_iter().map(|effect| (index, effect)).collect()
            }
            Effect::Behind { .. } => {
                self.behind[index] = true;
                Vec::new()
            }
            Effect::Refuted => Vec::new(),
            Effect::Changed(change) => {
                self.dead_declarations += usize::from(change.member.liveness == Liveness::Dead);
                Vec::new()
            }
        }
    }

    fn liveness(&self, observer: usize, subject: usize) -> Option<Liveness> {
        let name = &member(subject, 1).id.name;
        let found = self.detectors[observer].members().find(|member| member.id.name == *name);
        found.map(|member| member.liveness)
    }
}

#[test]
fn all_members_discover_each_other_through_one_seed() {
    let mut network = Network::new(20);
    network.run(Duration::from_secs(30));
    for detector in &network.detectors {
        assert_eq!(detector.members().count(), 19);
    }
}

#[test]
fn unreachable_daemon_is_declared_dead_and_may_return() {
    let mut network = Network::new(8);
    network.run(Duration::from_secs(15));
    network.unreachable.insert(3);
    network.run(Duration::from_secs(40));
    for observer in (0..8).filter(|observer| *observer != 3) {
        assert_eq!(network.liveness(observer, 3), Some(Liveness::Dead));
    }
    let members: Vec<_> = network.detectors[0].members().cloned().collect();
    assert!(!may_be_alive(&members, &NodeId::new("node-3", 1), 0));
    network.unreachable.clear();
    network.run(Duration::from_secs(60));
    for observer in (0..8).filter(|observer| *observer != 3) {
        assert_eq!(network.liveness(observer, 3), Some(Liveness::Alive), "at {observer}");
    }
}

/// Timeouts that detect the loss of a daemon within two seconds.
const SHORT_TIMEOUTS: DetectorConfig = DetectorConfig {
    probe_period: Duration::from_millis(400),
    direct_timeout: Duration::from_millis(150),
    suspicion_timeout: Duration::from_millis(1200),
    indirect_probes: 2,
    forget_after: Duration::from_secs(600),
    local_region_fanout: 3,
    remote_region_fanout: 2,
};

#[test]
fn briefly_unreachable_daemon_of_a_large_fleet_is_not_declared_dead() {
    let mut network = Network::with_config(250, SHORT_TIMEOUTS);
    for detector in &mut network.detectors {
        for index in 0..250 {
            detector.merge_member(Moment::ZERO, member(index, 1));
        }
    }
    network.run(Duration::from_secs(2));
    for index in [17, 90, 160, 201] {
        network.unreachable.insert(index);
        network.run(Duration::from_millis(900));
        network.unreachable.clear();
        network.run(Duration::from_secs(4));
    }
    assert_eq!(network.dead_declarations, 0);
}

#[test]
fn a_draining_daemon_is_known_to_drain_despite_an_uninformed_suspicion() {
    let mut network = Network::new(8);
    network.run(Duration::from_secs(15));
    let effects = network.detectors[3].start_draining();
    network.deliver(effects.into_iter().map(|effect| (3, effect)));
    network.run(Duration::from_secs(10));
    let is_draining = |network: &Network, observer: usize| {
        let name = member(3, 1).id.name;
        network.detectors[observer]
            .members()
            .any(|known| known.id.name == name && known.is_draining)
    };
    let others = || (0..8).filter(|observer| *observer != 3);
    assert!(others().all(|observer| is_draining(&network, observer)));
    let mut suspicion = network.detectors[3].local_member().clone();
    suspicion.is_draining = false;
    suspicion.liveness = Liveness::Suspect;
    let effects = network.detectors[0].merge_member(network.now, suspicion);
    assert!(is_draining(&network, 0));
    network.deliver(effects.into_iter().map(|effect| (0, effect)));
    network.run(Duration::from_secs(10));
    for observer in others() {
        assert_eq!(network.liveness(observer, 3), Some(Liveness::Alive), "at {observer}");
        assert!(is_draining(&network, observer), "at {observer}");
    }
    // Its next run does not drain.
    network.detectors[0].merge_member(network.now, member(3, 2));
    assert!(!is_draining(&network, 0));
}

#[test]
fn both_sides_of_a_healed_partition_rejoin() {
    let mut network = Network::new(12);
    network.run(Duration::from_secs(20));
    network.partition_at = Some(5);
    network.run(Duration::from_secs(120));
    assert_eq!(network.liveness(0, 11), Some(Liveness::Dead));
    network.partition_at = None;
    network.run(Duration::from_secs(60));
    for observer in 0..12 {
        for subject in (0..12).filter(|subject| *subject != observer) {
            assert_eq!(network.liveness(observer, subject), Some(Liveness::Alive));
        }
    }
}

#[test]
fn new_incarnation_supersedes_the_old_one() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 1);
    detector.merge_member(Moment::ZERO, member(1, 5));
    detector.merge_member(Moment::ZERO, member(1, 4));
    let known: Vec<_> = detector.members().map(|member| member.id.incarnation).collect();
    assert_eq!(known, [Incarnation(5)]);
    let members: Vec<_> = detector.members().cloned().collect();
    assert!(!may_be_alive(&members, &NodeId::new("node-1", 4), 0));
    assert!(may_be_alive(&members, &NodeId::new("node-1", 5), 0));
}

#[test]
fn forgotten_incarnation_is_not_considered_alive() {
    let started = 1_000_000;
    let node = NodeId::new("node-9", started);
    assert!(may_be_alive(&[], &node, started + 1_000));
    assert!(!may_be_alive(&[], &node, started + 700_000));
}

#[test]
fn backend_updates_and_settings_revisions_reach_all_members() {
    let mut network = Network::new(20);
    network.run(Duration::from_secs(30));
    let update = BackendPhase {
        name: BackendName("engine".into()),
        incarnation: Incarnation(1),
        phase: Phase::Leaving,
    };
    network.detectors[7].gossip_backend(update);
    let head = ControlVersions { settings_revision: 4, shard_epochs: 0 };
    network.detectors[7].set_control_versions(head);
    network.run(Duration::from_secs(30));
    let informed = network.backends.iter().filter(|known| !known.is_empty()).count();
    assert!(informed >= 19, "{informed} of 20");
    assert!(network.behind.iter().any(|behind| *behind));
}

#[test]
fn announced_updates_spread_before_the_next_probe() {
    let mut network = Network::new(30);
    network.run(Duration::from_secs(30));
    let update = BackendPhase {
        name: BackendName("engine".into()),
        incarnation: Incarnation(1),
        phase: Phase::Leaving,
    };
    network.forwards_at_once = true;
    let effects = network.apply(7, Effect::Backend(update));
    network.deliver(effects);
    let informed = network.backends.iter().filter(|known| !known.is_empty()).count();
    assert!(informed >= 28, "{informed} of 30");
}

#[test]
fn datagram_fits_into_one_packet() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 1);
    for index in 1..200 {
        detector.merge_member(Moment::ZERO, member(index, 1));
    }
    let largest = (1..100)
        .flat_map(|second| detector.tick(Duration::from_secs(second)))
        .filter_map(|effect| match effect {
            Effect::Send { gossip, .. } => Some(musli::wire::to_vec(&*gossip).unwrap().len()),
            _ => None,
        })
        .max();
    assert!(largest.is_some_and(|bytes| bytes < 1400), "{largest:?}");
}

fn ping_from(from: Member) -> GossipMessage {
    GossipMessage {
        from,
        probe: Probe::Ping { sequence: 1 },
        head: ControlVersions::default(),
        rumours: Vec::new(),
    }
}

/// Names of the members in the datagrams sent to an address.
fn members_sent_to(effects: &[Effect], to: SocketAddr) -> BTreeSet<String> {
    let datagrams = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to: address, gossip } if *address == to => Some(gossip),
        _ => None,
    });
    let updates = datagrams.flat_map(|gossip| gossip.rumours.iter());
    updates
        .filter_map(|update| match update {
            GossipUpdate::Member(member) => Some(member.id.name.0.clone()),
            GossipUpdate::Backend(_) => None,
        })
        .collect()
}

#[test]
fn newcomer_receives_all_live_members_at_once() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 7);
    for index in 1..20 {
        detector.merge_member(Moment::ZERO, member(index, 1));
    }
    let newcomer = member(30, 1);
    let effects = detector.receive(TICK, newcomer.address, ping_from(newcomer.clone()));
    let known = members_sent_to(&effects, newcomer.address);
    assert!((1..20).all(|index| known.contains(&format!("node-{index}"))), "{known:?}");
    // A restarted daemon has lost its state, so it counts as a newcomer too.
    let restarted = member(30, 2);
    let effects = detector.receive(TICK, restarted.address, ping_from(restarted.clone()));
    assert!(members_sent_to(&effects, restarted.address).len() >= 19);
    // A known daemon does not receive the members again.
    let again = detector.receive(TICK, restarted.address, ping_from(restarted.clone()));
    assert_eq!(again.iter().filter(|e| matches!(e, Effect::Send { .. })).count(), 1);
}

#[test]
fn pinged_daemon_learns_of_the_sender() {
    let mut detectors = [
        Detector::new(DetectorConfig::default(), member(0, 1), 1),
        Detector::new(DetectorConfig::default(), member(1, 1), 2),
    ];
    let Effect::Send { to, gossip } = detectors[0].ping_address(address(1)) else {
        panic!("ping_address must send a datagram");
    };
    assert_eq!(to, address(1));
    detectors[1].receive(TICK, address(0), *gossip);
    assert!(detectors[1].members().any(|known| known.id == member(0, 1).id));
}

#[test]
fn incarnation_is_raised_above_an_earlier_run_with_a_fast_clock() {
    let mut restarted = Detector::new(DetectorConfig::default(), member(0, 100), 1);
    let mut earlier = member(0, 5_000);
    earlier.liveness = Liveness::Dead;
    let mut gossip = ping_from(member(1, 1));
    gossip.rumours.push(GossipUpdate::Member(earlier.clone()));
    restarted.receive(TICK, address(1), gossip);
    assert_eq!(restarted.local_member().id.incarnation, Incarnation(5_001));
    assert!(restarted.local_member().supersedes(&earlier));
}
