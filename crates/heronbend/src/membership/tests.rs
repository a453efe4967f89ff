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
    }
}

/// Daemons on a network without delay; those in `silent` neither send nor receive.
struct Network {
    now: Moment,
    detectors: Vec<Detector>,
    silent: BTreeSet<usize>,
    backends: Vec<BTreeSet<String>>,
    behind: Vec<bool>,
    passes_on_at_once: bool,
    /// Daemons below this index are cut off from the others.
    cut_at: Option<usize>,
    /// Times that some daemon declared another one dead.
    declared_dead: usize,
}

impl Network {
    fn new(count: usize) -> Self {
        Self::with_config(count, DetectorConfig::default())
    }

    fn with_config(count: usize, config: DetectorConfig) -> Self {
        let mut detectors: Vec<_> =
            (0..count).map(|index| Detector::new(config, member(index, 1), index as u64)).collect();
        for detector in &mut detectors {
            detector.learn(Moment::ZERO, member(0, 1));
        }
        Self {
            now: Moment::ZERO,
            detectors,
            silent: BTreeSet::new(),
            backends: vec![BTreeSet::new(); count],
            behind: vec![false; count],
            passes_on_at_once: false,
            cut_at: None,
            declared_dead: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let mut queue = Vec::new();
            for index in 0..self.detectors.len() {
                if !self.silent.contains(&index) {
                    let effects = self.detectors[index].tick(self.now);
                    queue.extend(effects.into_iter().map(|effect| (index, effect)));
                }
            }
            self.deliver(queue);
        }
    }

    /// Applies effects, and those that follow from them, at once.
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
                let is_cut = self.cut_at.is_some_and(|cut| (index < cut) != (target < cut));
                if is_cut || self.silent.contains(&target) {
                    return Vec::new();
                }
                let effects = self.detectors[target].receive(self.now, address(index), *gossip);
                effects.into_iter().map(|effect| (target, effect)).collect()
            }
            Effect::Backend(stated) => {
                if !self.backends[index].insert(stated.name.0.clone()) {
                    return Vec::new();
                }
                self.detectors[index].spread_backend(stated);
                if !self.passes_on_at_once {
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
                self.declared_dead += usize::from(change.member.liveness == Liveness::Dead);
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
fn everybody_learns_of_everybody_through_one_seed() {
    let mut network = Network::new(20);
    network.run(Duration::from_secs(30));
    for detector in &network.detectors {
        assert_eq!(detector.members().count(), 19);
    }
}

#[test]
fn a_silent_daemon_is_declared_dead_everywhere_and_may_come_back() {
    let mut network = Network::new(8);
    network.run(Duration::from_secs(15));
    network.silent.insert(3);
    network.run(Duration::from_secs(40));
    for observer in (0..8).filter(|observer| *observer != 3) {
        assert_eq!(network.liveness(observer, 3), Some(Liveness::Dead));
    }
    let members: Vec<_> = network.detectors[0].members().cloned().collect();
    assert!(!may_be_alive(&members, &NodeId::new("node-3", 1), 0));
    network.silent.clear();
    network.run(Duration::from_secs(60));
    for observer in (0..8).filter(|observer| *observer != 3) {
        assert_eq!(network.liveness(observer, 3), Some(Liveness::Alive), "at {observer}");
    }
}

/// Short times, as where the loss of a daemon is to be known within two seconds.
const HASTY: DetectorConfig = DetectorConfig {
    period: Duration::from_millis(400),
    direct_timeout: Duration::from_millis(150),
    suspicion: Duration::from_millis(1200),
    helpers: 2,
    forget_after: Duration::from_secs(600),
    fanout_in_region: 3,
    fanout_elsewhere: 2,
};

#[test]
fn among_many_a_daemon_that_was_silent_for_a_moment_is_declared_dead_by_nobody() {
    let mut network = Network::with_config(250, HASTY);
    for detector in &mut network.detectors {
        for index in 0..250 {
            detector.learn(Moment::ZERO, member(index, 1));
        }
    }
    network.run(Duration::from_secs(2));
    for index in [17, 90, 160, 201] {
        network.silent.insert(index);
        network.run(Duration::from_millis(900));
        network.silent.clear();
        network.run(Duration::from_secs(4));
    }
    assert_eq!(network.declared_dead, 0);
}

#[test]
fn two_sides_that_were_cut_off_find_each_other_again() {
    let mut network = Network::new(12);
    network.run(Duration::from_secs(20));
    network.cut_at = Some(5);
    network.run(Duration::from_secs(120));
    assert_eq!(network.liveness(0, 11), Some(Liveness::Dead));
    network.cut_at = None;
    network.run(Duration::from_secs(60));
    for observer in 0..12 {
        for subject in (0..12).filter(|subject| *subject != observer) {
            assert_eq!(network.liveness(observer, subject), Some(Liveness::Alive));
        }
    }
}

#[test]
fn a_new_run_supersedes_the_old_and_the_old_is_dead() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 1);
    detector.learn(Moment::ZERO, member(1, 5));
    detector.learn(Moment::ZERO, member(1, 4));
    let known: Vec<_> = detector.members().map(|member| member.id.incarnation).collect();
    assert_eq!(known, [Incarnation(5)]);
    let members: Vec<_> = detector.members().cloned().collect();
    assert!(!may_be_alive(&members, &NodeId::new("node-1", 4), 0));
    assert!(may_be_alive(&members, &NodeId::new("node-1", 5), 0));
}

#[test]
fn a_run_that_was_forgotten_is_not_taken_for_alive() {
    let started = 1_000_000;
    let node = NodeId::new("node-9", started);
    assert!(may_be_alive(&[], &node, started + 1_000));
    assert!(!may_be_alive(&[], &node, started + 700_000));
}

#[test]
fn rumours_of_back_ends_and_newer_settings_reach_everybody() {
    let mut network = Network::new(20);
    network.run(Duration::from_secs(30));
    let stated = BackendPhase {
        name: BackendName("engine".into()),
        incarnation: Incarnation(1),
        phase: Phase::Leaving,
    };
    network.detectors[7].spread_backend(stated);
    let head = Head { settings_revision: 4, shard_epochs: 0 };
    network.detectors[7].set_head(head);
    network.run(Duration::from_secs(30));
    let reached = network.backends.iter().filter(|known| !known.is_empty()).count();
    assert!(reached >= 19, "{reached} of 20");
    assert!(network.behind.iter().any(|behind| *behind));
}

#[test]
fn what_is_announced_is_known_before_the_next_probe() {
    let mut network = Network::new(30);
    network.run(Duration::from_secs(30));
    let stated = BackendPhase {
        name: BackendName("engine".into()),
        incarnation: Incarnation(1),
        phase: Phase::Leaving,
    };
    network.passes_on_at_once = true;
    let effects = network.apply(7, Effect::Backend(stated));
    network.deliver(effects);
    let reached = network.backends.iter().filter(|known| !known.is_empty()).count();
    assert!(reached >= 28, "{reached} of 30");
}

#[test]
fn a_datagram_stays_within_one_packet() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 1);
    for index in 1..200 {
        detector.learn(Moment::ZERO, member(index, 1));
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

fn ping_from(from: Member) -> Gossip {
    Gossip { from, probe: Probe::Ping { sequence: 1 }, head: Head::default(), rumours: Vec::new() }
}

/// Members that a daemon is told of at once, by the datagrams sent to it.
fn told(effects: &[Effect], to: SocketAddr) -> BTreeSet<String> {
    let datagrams = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to: address, gossip } if *address == to => Some(gossip),
        _ => None,
    });
    let rumours = datagrams.flat_map(|gossip| gossip.rumours.iter());
    rumours
        .filter_map(|rumour| match rumour {
            Rumour::Member(member) => Some(member.id.name.0.clone()),
            Rumour::Backend(_) => None,
        })
        .collect()
}

#[test]
fn a_newcomer_is_told_at_once_of_all_members_that_are_alive() {
    let mut detector = Detector::new(DetectorConfig::default(), member(0, 1), 7);
    for index in 1..20 {
        detector.learn(Moment::ZERO, member(index, 1));
    }
    let newcomer = member(30, 1);
    let effects = detector.receive(TICK, newcomer.address, ping_from(newcomer.clone()));
    let known = told(&effects, newcomer.address);
    assert!((1..20).all(|index| known.contains(&format!("node-{index}"))), "{known:?}");
    // A later run of a known daemon has forgotten everything, and is a newcomer as well.
    let restarted = member(30, 2);
    let effects = detector.receive(TICK, restarted.address, ping_from(restarted.clone()));
    assert!(told(&effects, restarted.address).len() >= 19);
    // Whoever is known is not told again.
    let again = detector.receive(TICK, restarted.address, ping_from(restarted.clone()));
    assert_eq!(again.iter().filter(|e| matches!(e, Effect::Send { .. })).count(), 1);
}

#[test]
fn a_greeted_daemon_becomes_a_member() {
    let mut detectors = [
        Detector::new(DetectorConfig::default(), member(0, 1), 1),
        Detector::new(DetectorConfig::default(), member(1, 1), 2),
    ];
    let Effect::Send { to, gossip } = detectors[0].greet(address(1)) else {
        panic!("a greeting is a datagram");
    };
    assert_eq!(to, address(1));
    detectors[1].receive(TICK, address(0), *gossip);
    assert!(detectors[1].members().any(|known| known.id == member(0, 1).id));
}

#[test]
fn a_run_outlives_an_earlier_one_whose_clock_was_ahead() {
    let mut restarted = Detector::new(DetectorConfig::default(), member(0, 100), 1);
    let mut earlier = member(0, 5_000);
    earlier.liveness = Liveness::Dead;
    let mut gossip = ping_from(member(1, 1));
    gossip.rumours.push(Rumour::Member(earlier.clone()));
    restarted.receive(TICK, address(1), gossip);
    assert_eq!(restarted.me().id.incarnation, Incarnation(5_001));
    assert!(restarted.me().supersedes(&earlier));
}
