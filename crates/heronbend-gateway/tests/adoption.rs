//! Jobs of daemons that are lost, or taken for lost, in a fleet whose views differ.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::{Incarnation, NodeId};
use heronbend::membership::Liveness;
use heronbend_gateway::batch::adoption::{self, Reason};
use heronbend_gateway::batch::ownership::{place_in_line, Ownership};
use heronbend_gateway::batch::ownership_duty;
use heronbend_gateway::peers::{PeerReply, PeerStatus, Peers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::memory_store::MemoryStore;
use support::{gateway, job, member, node, run};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_owner_that_nothing_is_known_of_is_not_lost_at_once() {
    assert_eq!(adoption::reason(PeerStatus::Unknown, SECOND, 0), None);
    assert_eq!(adoption::reason(PeerStatus::Unknown, 5 * SECOND, 0), Some(Reason::Unknown));
    assert_eq!(adoption::reason(PeerStatus::Terminated, Duration::ZERO, 0), Some(Reason::Ended));
    assert_eq!(adoption::reason(PeerStatus::Unreachable, Duration::ZERO, 1), None);
    assert_eq!(adoption::reason(PeerStatus::Alive, 99 * SECOND, 0), None);
}

#[test]
fn the_standing_of_a_run_goes_by_what_is_known_of_its_daemon() {
    let peers = Peers::default();
    let run =
        |name: &str, incarnation| NodeId { incarnation: Incarnation(incarnation), ..node(name) };
    peers.publish(vec![
        member(run("a", 5), Liveness::Suspect),
        member(run("b", 5), Liveness::Dead),
        member(run("c", 5), Liveness::Left),
    ]);
    assert_eq!(peers.status_of(&run("a", 5)), PeerStatus::Alive);
    assert_eq!(peers.status_of(&run("a", 4)), PeerStatus::Terminated);
    assert_eq!(peers.status_of(&run("a", 6)), PeerStatus::Alive, "a later run, not heard of yet");
    assert_eq!(peers.status_of(&run("b", 5)), PeerStatus::Unreachable);
    assert_eq!(peers.status_of(&run("c", 5)), PeerStatus::Terminated);
    assert_eq!(peers.status_of(&run("d", 5)), PeerStatus::Unknown);
}

#[test]
fn only_the_daemon_that_runs_a_job_says_so() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            assert_eq!(ownership_duty::confirm_owner(&gateway, "j", 1), PeerReply::NotOwner);
            let ownership = Ownership::new(&job("j", 1), gateway.identity.node.clone(), None);
            let job = gateway.jobs.learn("j", ownership.clone(), 1);
            assert_eq!(ownership_duty::confirm_owner(&gateway, "j", 1), PeerReply::NotOwner);
            job.running.set(true);
            assert_eq!(ownership_duty::confirm_owner(&gateway, "j", 1), PeerReply::Running);
            // The asker knows of a newer ownership than this daemon.
            assert_eq!(ownership_duty::confirm_owner(&gateway, "j", 2), PeerReply::NotOwner);
            gateway.jobs.learn("j", Ownership { owner: node("b"), ..ownership }, 2);
            assert_eq!(ownership_duty::confirm_owner(&gateway, "j", 2), PeerReply::NotOwner);
        })
    });
}

/// A fleet in which every daemon has a view of its own of who is alive, and a clock that is stepped.
struct Fleet {
    random: SmallRng,
    names: Vec<NodeId>,
    dead: Vec<bool>,
    /// For each daemon the owner that it knows, and since when that is lost to it.
    known: Vec<(usize, Option<Duration>)>,
    /// When each daemon hears of the newest owner.
    hears_at: Vec<Option<Duration>>,
    owner: usize,
    revision: u32,
    now: Duration,
}

const MEMBERS: usize = 250;
const STEP: Duration = Duration::from_millis(100);
/// Daemons of a hundred that a daemon knows nothing of, or takes for lost though they are well.
const WRONG_IN_100: u64 = 8;

impl Fleet {
    fn new(seed: u64) -> Self {
        let names: Vec<NodeId> = (0..MEMBERS).map(|number| node(&format!("n{number}"))).collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let owner = random.random_range(0..MEMBERS);
        Self {
            random,
            names,
            dead: vec![false; MEMBERS],
            known: vec![(owner, None); MEMBERS],
            hears_at: vec![None; MEMBERS],
            owner,
            revision: 1,
            now: Duration::ZERO,
        }
    }

    /// What one daemon believes of another; it differs from daemon to daemon and from second to second.
    fn standing(&self, viewer: usize, subject: usize) -> PeerStatus {
        if self.dead[subject] {
            return PeerStatus::Unreachable;
        }
        let mix = (viewer * 31 + subject * 17) as u64 + self.now.as_secs() * 7;
        match mix * 2_654_435_761 % 100 {
            wrong if wrong < WRONG_IN_100 / 2 => PeerStatus::Unreachable,
            wrong if wrong < WRONG_IN_100 => PeerStatus::Unknown,
            _ => PeerStatus::Alive,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for me in 0..MEMBERS {
            if self.hears_at[me].is_some_and(|at| at <= self.now) {
                self.hears_at[me] = None;
                self.known[me] = (self.owner, None);
            }
            if !self.dead[me] {
                self.look(me);
            }
        }
    }

    fn look(&mut self, me: usize) {
        let (owner, lost_since) = self.known[me];
        let standing = self.standing(me, owner);
        if me == owner || standing == PeerStatus::Alive {
            self.known[me].1 = None;
            return;
        }
        let since = lost_since.unwrap_or(self.now);
        self.known[me].1 = Some(since);
        let alive: Vec<NodeId> = (0..MEMBERS)
            .filter(|other| *other == me || self.standing(me, *other) == PeerStatus::Alive)
            .map(|other| self.names[other].clone())
            .collect();
        let place = place_in_line("job", &self.names[me], &alive);
        let Some(reason) = adoption::reason(standing, self.now - since, place) else {
            return;
        };
        let answers = !self.dead[owner] && owner == self.owner;
        let knows_newest = owner == self.owner;
        if (reason.may_be_wrong() && answers) || !knows_newest {
            // The owner says that it runs the job, or the store that another owner was written.
            self.known[me] = (self.owner, None);
            return;
        }
        self.owner = me;
        self.revision += 1;
        self.known[me] = (me, None);
        for other in (0..MEMBERS).filter(|other| *other != me) {
            let delay = Duration::from_millis(self.random.random_range(1..300));
            self.hears_at[other] = Some(self.now + delay);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }
}

#[test]
fn a_job_changes_hands_once_for_each_loss_of_its_owner_although_views_differ() {
    let seed: u64 = rand::random();
    println!("first seed {seed}");
    for seed in (0..10).map(|number| seed.wrapping_add(number)) {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * SECOND);
        assert_eq!(fleet.revision, 1, "no owner was lost, seed {seed}");
        for losses in 1..=3 {
            let lost = fleet.owner;
            fleet.dead[lost] = true;
            fleet.run(3 * SECOND);
            assert_eq!(fleet.revision, 1 + losses, "after loss {losses}, seed {seed}");
            assert!(!fleet.dead[fleet.owner]);
        }
    }
}
