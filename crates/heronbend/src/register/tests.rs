use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;

use super::*;
use crate::identity::NodeId;

/// The set of authors that changed the register; the response is its size.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct AuthorSet(BTreeSet<u64>);

impl RegisterValue for AuthorSet {
    type Change = u64;
    type Response = usize;

    fn apply(current: Option<&Self>, change: &u64) -> Applied<Self, usize> {
        let mut value = current.cloned().unwrap_or_default();
        value.0.insert(*change);
        let response = value.0.len();
        Applied { value, response }
    }
}

struct Cluster {
    replicas: BTreeMap<NodeId, Replica<AuthorSet>>,
    config: ShardConfig,
}

fn key() -> Key {
    Key("k".into())
}

fn node(index: u64) -> NodeId {
    NodeId::new(&format!("node-{index}"), 1)
}

impl Cluster {
    fn new() -> Self {
        let members: BTreeSet<_> = (0..3).map(node).collect();
        let config = ShardConfig { epoch: 1, transition: 0, members: members.clone() };
        let mut replicas = BTreeMap::new();
        for index in 0..5 {
            let mut replica = Replica::new(node(index));
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
            replicas.insert(node(index), replica);
        }
        Self { replicas, config }
    }

    /// Runs a proposal with the members in `reachable`.
    fn propose(
        &mut self,
        author: u64,
        round: u64,
        reachable: &[NodeId],
    ) -> Progress<AuthorSet, usize> {
        let ballot = Ballot { round, proposer: author };
        let (mut proposal, mut request) =
            Proposal::<AuthorSet>::start(key(), author, self.config.clone(), ballot);
        loop {
            let mut next = Progress::Waiting;
            for member in reachable {
                let reply = self.replicas.get_mut(member).unwrap().handle(request.clone());
                match proposal.on_reply(member, reply) {
                    Progress::Waiting => {}
                    Progress::Broadcast(request) => next = Progress::Broadcast(request),
                    end => return end,
                }
            }
            match next {
                Progress::Broadcast(accept) => request = accept,
                end => return end,
            }
        }
    }

    fn transition(
        &mut self,
        members: &[NodeId],
        identifier: u64,
        reachable: &[NodeId],
    ) -> Option<ShardConfig> {
        let members = members.iter().cloned().collect();
        let (mut transition, seal) =
            Transition::<AuthorSet>::start(self.config.clone(), members, identifier);
        let mut stage = None;
        for member in reachable {
            let reply = self.replicas.get_mut(member).unwrap().handle(seal.clone());
            if let TransitionStep::Stage(request) = transition.on_reply(member, reply) {
                stage = Some(request);
            }
        }
        let stage = stage?;
        let targets: Vec<_> = transition.target().members.iter().cloned().collect();
        for member in targets {
            let reply = self.replicas.get_mut(&member).unwrap().handle(stage.clone());
            if let TransitionStep::Commit(config) = transition.on_reply(&member, reply) {
                return Some(config);
            }
        }
        None
    }

    fn configure(&mut self, config: ShardConfig) {
        for replica in self.replicas.values_mut() {
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
        }
        self.config = config;
    }
}

#[test]
fn change_is_visible_to_every_majority() {
    let mut cluster = Cluster::new();
    assert_eq!(cluster.propose(1, 1, &[node(0), node(1)]), Progress::Done(1));
    assert_eq!(cluster.propose(2, 2, &[node(1), node(2)]), Progress::Done(2));
    assert_eq!(cluster.propose(3, 3, &[node(0), node(2)]), Progress::Done(3));
}

#[test]
fn minority_cannot_decide() {
    let mut cluster = Cluster::new();
    assert_eq!(cluster.propose(1, 1, &[node(0)]), Progress::Waiting);
}

#[test]
fn lower_ballot_is_preempted_and_learns_the_higher_round() {
    let mut cluster = Cluster::new();
    let all = [node(0), node(1), node(2)];
    assert_eq!(cluster.propose(1, 7, &all), Progress::Done(1));
    assert_eq!(cluster.propose(2, 3, &all), Progress::Preempted { above: 7 });
}

#[test]
fn epoch_change_copies_state_and_ends_the_old_epoch() {
    let mut cluster = Cluster::new();
    let old_members = [node(0), node(1), node(2)];
    assert_eq!(cluster.propose(1, 1, &old_members), Progress::Done(1));
    let new_members = [node(2), node(3), node(4)];
    let config = cluster.transition(&new_members, 99, &[node(1), node(2)]).unwrap();
    assert_matches!(cluster.propose(2, 2, &old_members), Progress::Preempted { .. });
    cluster.configure(config);
    assert_eq!(cluster.propose(2, 3, &[node(3), node(4)]), Progress::Done(2));
}

#[test]
fn staged_state_of_a_losing_transition_is_not_activated() {
    let mut cluster = Cluster::new();
    let members = [node(2), node(3), node(4)];
    let loser = cluster.transition(&members, 7, &[node(0), node(1)]).unwrap();
    let winner = ShardConfig { transition: 8, ..loser };
    cluster.configure(winner);
    assert!(cluster.replicas.values().all(|replica| replica.active_epoch().is_none()));
}

#[test]
fn restarted_replica_is_not_a_member() {
    let mut cluster = Cluster::new();
    let restarted = NodeId::new("node-0", 2);
    let mut replica: Replica<AuthorSet> = Replica::new(restarted);
    replica.handle(ReplicaRequest::Configure { config: cluster.config.clone() });
    assert_eq!(replica.active_epoch(), None);
    assert_eq!(cluster.propose(1, 1, &[node(1), node(2)]), Progress::Done(1));
}

#[test]
fn forced_recovery_uses_the_state_of_survivors() {
    let mut cluster = Cluster::new();
    let all = [node(0), node(1), node(2)];
    assert_eq!(cluster.propose(1, 1, &all), Progress::Done(1));
    let members: BTreeSet<_> = [node(2), node(3), node(4)].into();
    let survivors = BTreeSet::from([node(2)]);
    let old = cluster.config.clone();
    let (mut transition, seal) =
        Transition::<AuthorSet>::start_forced_recovery(old, survivors, members, 9);
    let reply = cluster.replicas.get_mut(&node(2)).unwrap().handle(seal);
    let step = transition.on_reply(&node(2), reply);
    assert_matches!(step, TransitionStep::Stage(ReplicaRequest::Stage { slots, .. }) if slots.len() == 1);
}

#[test]
fn forced_recovery_without_survivors_starts_empty() {
    let mut cluster = Cluster::new();
    let members: BTreeSet<_> = [node(2), node(3), node(4)].into();
    let old = cluster.config.clone();
    let (mut transition, stage) =
        Transition::<AuthorSet>::start_forced_recovery(old, BTreeSet::new(), members.clone(), 9);
    let mut committed = None;
    for member in &members {
        let reply = cluster.replicas.get_mut(member).unwrap().handle(stage.clone());
        if let TransitionStep::Commit(config) = transition.on_reply(member, reply) {
            committed = Some(config);
        }
    }
    cluster.configure(committed.expect("every new member has staged the state"));
    assert_eq!(cluster.propose(1, 1, &[node(3), node(4)]), Progress::Done(1));
}

#[test]
fn chosen_members_are_in_distinct_zones() {
    let candidates: Vec<_> =
        (0..9).map(|index| (node(index), format!("zone-{}", index % 3))).collect();
    for shard in 0..32 {
        let members = shard_map::choose_members(ShardId(shard), &candidates);
        let zones: BTreeSet<_> = candidates
            .iter()
            .filter(|(node, _)| members.contains(node))
            .map(|(_, zone)| zone)
            .collect();
        assert_eq!(zones.len(), 3);
    }
}
