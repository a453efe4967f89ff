//! Which daemon takes over the issuing of commands.

use std::collections::BTreeSet;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::Moment;
use heronbend_gateway::versions::published::PublishedVersions;
use heronbend_gateway::versions::takeover::Holder;
use heronbend_gateway::versions::takeover::Successor;
use heronbend_gateway::versions::takeover::TakeoverOrder;
use heronbend_gateway::versions::takeover::TakeoverView;
use heronbend_gateway::versions::takeover::CANDIDATES;
use heronbend_gateway::versions::takeover::TAKEOVER_DELAY;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

const STEP: Duration = Duration::from_millis(100);
/// When the simulation starts, with all commands so far known to all.
const START: Moment = Duration::from_secs(60);
/// Longest interval between two commands of a holder at work.
const COMMAND_PERIOD: Duration = Duration::from_millis(1200);
/// Longest time until a daemon knows of a change of the members. A candidate that the holder does not
/// know yet hears of no command for this time and `COMMAND_PERIOD`, less than `TAKEOVER_DELAY`.
const DETECTION: Duration = Duration::from_millis(1000);
/// Longest time from becoming a candidate to the complete list of versions.
const LISTING: Duration = Duration::from_millis(800);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// The view of the first candidate, which has long known of all commands.
fn candidate() -> TakeoverView {
    TakeoverView {
        holder: Holder::Reachable,
        is_draining: false,
        is_candidate: true,
        listed_at: Some(at(0)),
        ahead: 0,
        last_activity: Some(at(20_000)),
    }
}

/// A daemon that fell out of the candidates is no longer told of commands.
#[test]
fn a_former_candidate_does_not_take_over_from_a_live_holder() {
    let former = TakeoverView { is_candidate: false, ahead: 3, ..candidate() };
    assert!(!former.is_my_turn(at(28_400)));
    assert!(!TakeoverView { listed_at: None, ..former }.is_my_turn(at(600_000)));
}

/// It knows nothing of commands between its two candidacies.
#[test]
fn a_returning_candidate_counts_idle_time_from_its_new_list() {
    let listing = TakeoverView { listed_at: None, ..candidate() };
    assert!(!listing.is_my_turn(at(40_000)));
    let listed = TakeoverView { listed_at: Some(at(40_000)), ..candidate() };
    assert!(!listed.is_my_turn(at(40_000) + TAKEOVER_DELAY - STEP));
    assert!(listed.is_my_turn(at(40_000) + TAKEOVER_DELAY));
}

#[test]
fn the_holder_continues_and_the_first_candidate_follows_a_lost_one() {
    let holder = TakeoverView { holder: Holder::Local, is_candidate: false, ..candidate() };
    assert!(holder.is_my_turn(at(20_000)));
    let lost = TakeoverView { holder: Holder::Lost, ..candidate() };
    assert!(lost.is_my_turn(at(20_100)));
    assert!(!TakeoverView { is_draining: true, ..lost }.is_my_turn(at(600_000)));
}

#[test]
fn a_draining_daemon_does_not_follow_an_unknown_holder() {
    let unknown = TakeoverView { holder: Holder::Unknown, ..candidate() };
    assert!(unknown.is_my_turn(at(600_000)));
    assert!(!TakeoverView { is_draining: true, ..unknown }.is_my_turn(at(600_000)));
    // The holder continues until it leaves.
    let holder = TakeoverView { holder: Holder::Local, is_draining: true, ..candidate() };
    assert!(holder.is_my_turn(at(20_000)));
}

#[test]
fn draining_daemons_leave_their_places_to_others() {
    let successor = |number, is_draining| Successor { node: node(number), is_draining };
    let all = TakeoverOrder::new((0..5).map(|number| successor(number, false)));
    let first = all.candidates().to_vec();
    assert_eq!(first.len(), CANDIDATES);
    let left =
        TakeoverOrder::new((0..5).map(|number| successor(number, first.contains(&node(number)))));
    assert_eq!(left.candidates().len(), 2);
    assert!(left.candidates().iter().all(|node| !first.contains(node)));
    let holder = left.candidates()[0].name.clone();
    assert_eq!(left.position(&left.candidates()[1], Some(&holder)), 0);
}

#[test]
fn the_first_candidate_follows_a_holder_that_cannot_reach_servers() {
    assert!(!candidate().is_my_turn(at(20_000) + TAKEOVER_DELAY - STEP));
    assert!(candidate().is_my_turn(at(20_000) + TAKEOVER_DELAY));
}

#[test]
fn the_next_candidate_follows_one_that_cannot_reach_the_store() {
    let second = TakeoverView { holder: Holder::Lost, ahead: 1, ..candidate() };
    assert!(!second.is_my_turn(at(20_000) + TAKEOVER_DELAY - STEP));
    assert!(second.is_my_turn(at(20_000) + TAKEOVER_DELAY));
}

#[test]
fn a_new_watch_counts_from_its_own_list() {
    let versions = PublishedVersions::default();
    assert_eq!(versions.listed_at(), None);
    versions.note_listed(at(100));
    versions.note_listed(at(900));
    assert_eq!(versions.listed_at(), Some(at(100)), "listing again keeps the watch");
    versions.note_unwatched();
    assert_eq!(versions.listed_at(), None);
    versions.note_listed(at(5_000));
    assert_eq!(versions.listed_at(), Some(at(5_000)));
}

/// What daemons are told of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    Joined,
    Draining,
    Lost,
}

/// One daemon of a simulated fleet.
struct Daemon {
    id: NodeId,
    is_alive: bool,
    is_draining: bool,
    /// Live daemons, as known here.
    members: BTreeSet<NodeId>,
    /// Those of them that are draining, as known here.
    draining: BTreeSet<NodeId>,
    /// Changes of the members that are not known here yet.
    pending: Vec<(Moment, NodeId, News)>,
    candidate_since: Option<Moment>,
    listing_time: Duration,
    last_command: Option<Moment>,
}

impl Daemon {
    fn new(number: usize, members: BTreeSet<NodeId>, random: &mut StdRng) -> Self {
        Self {
            id: node(number),
            is_alive: true,
            is_draining: false,
            members,
            draining: BTreeSet::new(),
            pending: Vec::new(),
            candidate_since: None,
            listing_time: random.random_range(Duration::ZERO..LISTING),
            last_command: Some(START),
        }
    }

    /// The takeover order, as known here.
    fn order(&self) -> TakeoverOrder {
        let successor = |node: &NodeId| {
            let is_draining = self.draining.contains(node);
            Successor { node: node.clone(), is_draining }
        };
        let local = Successor { node: self.id.clone(), is_draining: self.is_draining };
        TakeoverOrder::new(self.members.iter().map(successor).chain([local]))
    }

    fn update(&mut self, now: Moment) {
        for (_, id, news) in self.pending.extract_if(.., |(when, ..)| *when <= now) {
            match news {
                News::Joined => self.members.insert(id),
                News::Draining => self.draining.insert(id),
                News::Lost => self.members.remove(&id),
            };
        }
        if !self.order().candidates().contains(&self.id) {
            self.candidate_since = None;
        } else if self.candidate_since.is_none() {
            self.candidate_since = Some(now);
        }
    }

    fn view(&self, now: Moment, holder: &NodeId) -> TakeoverView {
        let listed_at = self.candidate_since.map(|since| since + self.listing_time);
        let relation = match holder {
            holder if *holder == self.id => Holder::Local,
            holder if self.members.contains(holder) => Holder::Reachable,
            _ => Holder::Lost,
        };
        TakeoverView {
            holder: relation,
            is_draining: self.is_draining,
            is_candidate: self.candidate_since.is_some(),
            listed_at: listed_at.filter(|listed_at| *listed_at <= now),
            ahead: self.order().position(&self.id, Some(&holder.name)),
            last_activity: self.last_command,
        }
    }
}

fn node(number: usize) -> NodeId {
    NodeId::new(&format!("d{number}"), 1)
}

struct Fleet {
    daemons: Vec<Daemon>,
    holder: NodeId,
    now: Moment,
    random: StdRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(4..12);
        let all: BTreeSet<NodeId> = (0..count).map(node).collect();
        let daemons = (0..count).map(|number| {
            let mut others = all.clone();
            others.remove(&node(number));
            Daemon::new(number, others, &mut random)
        });
        let daemons: Vec<Daemon> = daemons.collect();
        let holder = daemons[random.random_range(0..count)].id.clone();
        Self { daemons, holder, now: START, random }
    }

    fn live(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(|daemon| daemon.is_alive)
    }

    /// Tells each live daemon of a change, each after a delay of its own.
    fn tell(&mut self, id: &NodeId, news: News) {
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.id != *id) {
            let delay = self.random.random_range(Duration::ZERO..DETECTION);
            // News of a daemon come in their order.
            let earlier = daemon.pending.iter().filter(|(_, known, _)| known == id);
            let earlier = earlier.map(|(when, ..)| *when).max().unwrap_or_default();
            daemon.pending.push((earlier.max(self.now + delay), id.clone(), news));
        }
    }

    fn join(&mut self) {
        let members = self.live().map(|daemon| daemon.id.clone()).collect();
        let mut joined = Daemon::new(self.daemons.len(), members, &mut self.random);
        joined.draining = self.draining().collect();
        let id = joined.id.clone();
        self.daemons.push(joined);
        self.tell(&id, News::Joined);
    }

    /// The live daemons that are draining.
    fn draining(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.live().filter(|daemon| daemon.is_draining).map(|daemon| daemon.id.clone())
    }

    /// The live daemons that are not draining, without the holder.
    fn active(&self) -> Vec<NodeId> {
        let active = self.live().filter(|daemon| !daemon.is_draining && daemon.id != self.holder);
        active.map(|daemon| daemon.id.clone()).collect()
    }

    fn drain(&mut self, id: &NodeId) {
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.id == *id);
        daemon.expect("it exists").is_draining = true;
        self.tell(id, News::Draining);
    }

    /// A daemon other than the holder starts to drain, if enough others are left.
    fn drain_any(&mut self) {
        let active = self.active();
        if active.len() > CANDIDATES {
            let draining = active[self.random.random_range(0..active.len())].clone();
            self.drain(&draining);
        }
    }

    fn lose(&mut self, id: &NodeId) {
        let lost = self.daemons.iter_mut().find(|daemon| daemon.id == *id);
        lost.expect("it exists").is_alive = false;
        self.tell(id, News::Lost);
    }

    fn lose_any_but_the_holder(&mut self) {
        let draining = self.draining().filter(|id| *id != self.holder);
        let mut others: Vec<NodeId> = draining.collect();
        if self.active().len() > CANDIDATES {
            others.extend(self.active());
        }
        if !others.is_empty() {
            let lost = others[self.random.random_range(0..others.len())].clone();
            self.lose(&lost);
        }
    }

    /// All candidates start to drain at once, if others are left.
    fn drain_all_candidates(&mut self) {
        let live = self.live().map(|daemon| {
            let is_draining = daemon.is_draining;
            Successor { node: daemon.id.clone(), is_draining }
        });
        let candidates = TakeoverOrder::new(live).candidates().to_vec();
        if self.active().iter().any(|id| !candidates.contains(id)) {
            candidates.iter().for_each(|id| self.drain(id));
        }
    }

    /// The holder has a command accepted and tells the candidates that it knows.
    fn command(&mut self) {
        let holder = self.live().find(|daemon| daemon.id == self.holder).expect("it is alive");
        let order = holder.order();
        for daemon in &mut self.daemons {
            let is_told = order.candidates().contains(&daemon.id) || daemon.id == self.holder;
            if is_told {
                daemon.last_command = Some(self.now);
            }
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        for daemon in &mut self.daemons {
            daemon.update(self.now);
        }
    }

    /// The daemons other than the holder that would issue commands now.
    fn successors(&self) -> Vec<NodeId> {
        let ready = self.live().filter(|daemon| {
            daemon.id != self.holder && daemon.view(self.now, &self.holder).is_my_turn(self.now)
        });
        ready.map(|daemon| daemon.id.clone()).collect()
    }
}

/// Daemons join, drain and are lost while the holder works. Then all candidates may drain, and the
/// holder is lost or stops commanding.
fn run(seed: u64) {
    let mut fleet = Fleet::new(seed);
    let mut next_command = fleet.now;
    for _ in 0..600 {
        fleet.advance();
        if fleet.now >= next_command {
            fleet.command();
            next_command = fleet.now + fleet.random.random_range(STEP..COMMAND_PERIOD);
        }
        match fleet.random.random_range(0..60) {
            0 => (0..fleet.random.random_range(1..6)).for_each(|_| fleet.join()),
            1 | 2 => fleet.lose_any_but_the_holder(),
            3 | 4 => fleet.drain_any(),
            5 if fleet.random.random_bool(0.1) => fleet.drain(&fleet.holder.clone()),
            _ => {}
        }
        let successors = fleet.successors();
        assert!(successors.is_empty(), "seed {seed}, {:?}: {successors:?}", fleet.now);
    }
    if fleet.random.random_bool(0.5) {
        fleet.drain_all_candidates();
    }
    let is_lost = fleet.random.random_bool(0.7);
    if is_lost {
        let holder = fleet.holder.clone();
        fleet.lose(&holder);
    }
    // The first in line may be unable to reach the store without the others knowing.
    let able = fleet.active().len().min(CANDIDATES - usize::from(!is_lost));
    let cut_off = fleet.random.random_range(0..able);
    let turns = TAKEOVER_DELAY * u32::try_from(cut_off + 1).expect("few candidates");
    let until = fleet.now + DETECTION + LISTING + turns + STEP * 3;
    while fleet.successors().len() <= cut_off {
        assert!(fleet.now < until, "seed {seed}: {cut_off} cut off, nobody takes over");
        fleet.advance();
    }
}

#[test]
fn one_daemon_at_a_time_issues_commands_and_a_lost_one_is_followed() {
    let first: u64 = rand::rng().random_range(0..1 << 40);
    let seeds = first..first + 60;
    println!("seeds {seeds:?}");
    seeds.for_each(run);
}
