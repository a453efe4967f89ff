//! Adoption of jobs whose owner is lost or suspected, with membership views that differ.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::{Incarnation, NodeId};
use heronbend::membership::Liveness;
use heronbend_gateway::batch::adoption::{self, AdoptionReason};
use heronbend_gateway::batch::ownership::{takeover_position, Ownership};
use heronbend_gateway::batch::ownership_manager;
use heronbend_gateway::peers::{PeerReply, PeerStatus, Peers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::memory_store::MemoryStore;
use support::{gateway, job, member, node, run};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn unknown_owner_is_lost_only_after_a_grace_period() {
    assert_eq!(adoption::reason_for_position(PeerStatus::Unknown, SECOND, 0), None);
    assert_eq!(
        adoption::reason_for_position(PeerStatus::Unknown, 5 * SECOND, 0),
        Some(AdoptionReason::Unknown)
    );
    assert_eq!(
        adoption::reason_for_position(PeerStatus::Terminated, Duration::ZERO, 0),
        Some(AdoptionReason::Ended)
    );
    assert_eq!(adoption::reason_for_position(PeerStatus::Unreachable, Duration::ZERO, 1), None);
    assert_eq!(adoption::reason_for_position(PeerStatus::Alive, 99 * SECOND, 0), None);
}

#[test]
fn standing_of_an_incarnation_follows_the_membership_view() {
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
    assert_eq!(
        peers.status_of(&run("a", 6)),
        PeerStatus::Alive,
        "a newer incarnation than the known one"
    );
    assert_eq!(peers.status_of(&run("b", 5)), PeerStatus::Unreachable);
    assert_eq!(peers.status_of(&run("c", 5)), PeerStatus::Terminated);
    assert_eq!(peers.status_of(&run("d", 5)), PeerStatus::Unknown);
}

#[test]
fn only_the_running_owner_confirms_a_job() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            assert_eq!(ownership_manager::confirm_owner(&gateway, "j", 1), PeerReply::NotOwner);
            let ownership = Ownership::new(&job("j", 1), gateway.identity.node.clone(), None);
            let job = gateway.jobs.upsert("j", ownership.clone(), 1);
            assert_eq!(ownership_manager::confirm_owner(&gateway, "j", 1), PeerReply::NotOwner);
            job.tenure.borrow_mut().start(job.revision());
            assert_eq!(ownership_manager::confirm_owner(&gateway, "j", 1), PeerReply::Running);
            // The caller knows a newer revision than this daemon.
            assert_eq!(ownership_manager::confirm_owner(&gateway, "j", 2), PeerReply::NotOwner);
            gateway.jobs.upsert("j", Ownership { owner: node("b"), ..ownership }, 2);
            assert_eq!(ownership_manager::confirm_owner(&gateway, "j", 2), PeerReply::NotOwner);
        })
    });
}

/// A simulated fleet with a stepped clock, in which every daemon has its own membership view.
struct Fleet {
    random: SmallRng,
    nodes: Vec<NodeId>,
    dead: Vec<bool>,
    /// For each daemon, the owner that it knows and since when it sees that owner as lost.
    known: Vec<(usize, Option<Duration>)>,
    /// When each daemon learns of the newest owner.
    notified_at: Vec<Option<Duration>>,
    owner: usize,
    revision: u32,
    now: Duration,
}

const MEMBERS: usize = 250;
const STEP: Duration = Duration::from_millis(100);
/// Percentage of healthy daemons that a daemon sees as silent or unknown.
const WRONG_PERCENT: u64 = 8;

impl Fleet {
    fn new(seed: u64) -> Self {
        let nodes: Vec<NodeId> = (0..MEMBERS).map(|number| node(&format!("n{number}"))).collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let owner = random.random_range(0..MEMBERS);
        Self {
            random,
            nodes,
            dead: vec![false; MEMBERS],
            known: vec![(owner, None); MEMBERS],
            notified_at: vec![None; MEMBERS],
            owner,
            revision: 1,
            now: Duration::ZERO,
        }
    }

    /// A daemon's view of another one, which varies by daemon and changes every second.
    fn standing(&self, viewer: usize, subject: usize) -> PeerStatus {
        if self.dead[subject] {
            return PeerStatus::Unreachable;
        }
        let hash = (viewer * 31 + subject * 17) as u64 + self.now.as_secs() * 7;
        match hash * 2_654_435_761 % 100 {
            wrong if wrong < WRONG_PERCENT / 2 => PeerStatus::Unreachable,
            wrong if wrong < WRONG_PERCENT => PeerStatus::Unknown,
            _ => PeerStatus::Alive,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for viewer in 0..MEMBERS {
            if self.notified_at[viewer].is_some_and(|at| at <= self.now) {
                self.notified_at[viewer] = None;
                self.known[viewer] = (self.owner, None);
            }
            if !self.dead[viewer] {
                self.check_owner(viewer);
            }
        }
    }

    fn check_owner(&mut self, viewer: usize) {
        let (owner, lost_since) = self.known[viewer];
        let standing = self.standing(viewer, owner);
        if viewer == owner || standing == PeerStatus::Alive {
            self.known[viewer].1 = None;
            return;
        }
        let since = lost_since.unwrap_or(self.now);
        self.known[viewer].1 = Some(since);
        let alive: Vec<NodeId> = (0..MEMBERS)
            .filter(|other| *other == viewer || self.standing(viewer, *other) == PeerStatus::Alive)
            .map(|other| self.nodes[other].clone())
            .collect();
        let position = takeover_position("job", &self.nodes[viewer], &alive);
        let Some(reason) = adoption::reason_for_position(standing, self.now - since, position)
        else {
            return;
        };
        let answers = !self.dead[owner] && owner == self.owner;
        let knows_newest = owner == self.owner;
        if (reason.needs_confirmation() && answers) || !knows_newest {
            // The owner confirms that it runs the job, or the write conflicts with a newer owner.
            self.known[viewer] = (self.owner, None);
            return;
        }
        self.owner = viewer;
        self.revision += 1;
        self.known[viewer] = (viewer, None);
        for other in (0..MEMBERS).filter(|other| *other != viewer) {
            let delay = Duration::from_millis(self.random.random_range(1..300));
            self.notified_at[other] = Some(self.now + delay);
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
fn job_is_adopted_once_per_lost_owner_despite_differing_views() {
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
