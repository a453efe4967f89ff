//! Replicated registers: hosts this daemon's replicas, runs proposals and serves calls of other
//! daemons.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use heronbend::record::{Record, RecordChange, RecordResponse};
use heronbend::register::messages::ShardRequest;
use heronbend::register::{
    Ballot, Key, Progress, Proposal, Rejection, Replica, ReplicaReply, ReplicaRequest, ShardConfig,
    ShardId, ShardMap,
};
use heronbend::settings::SettingsObject;
use rand::Rng;
use smol::channel::{bounded, Sender};
use smol::net::TcpListener;
use smol::Timer;
use thiserror::Error;

use super::settings::SettingsCall;
use super::Executor;
use crate::peer::{serve_peers, ControlData, PeerClient, PeerReply, PeerRequest};
use crate::platform_client::PlatformError;
use crate::shared::{epoch_seconds, MembershipInput, Shared};

/// Timeout of one proposal round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// Total timeout of a change, including retries.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_millis(40);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// Errors of a register change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RegisterError {
    /// The change was not applied: no value was sent to a replica.
    #[error("no majority of replicas could be reached; nothing was changed")]
    NotApplied,
    /// The change may have been applied, or may still be.
    #[error("no majority of replicas confirmed; whether the register was changed is unknown")]
    Unknown,
}

/// Inputs of the register task.
#[derive(Debug)]
pub enum RegisterCall {
    /// Change a register.
    Change {
        /// Key of the register.
        key: Key,
        /// Change to apply.
        change: RecordChange,
        /// Receives the result.
        reply: Sender<Result<RecordResponse, RegisterError>>,
    },
    /// Fetch newer control data from a peer.
    FetchControl {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Reopen shards that have lost a majority of their replicas, accepting data loss.
    Rebuild {
        /// Receives the number of reopened shards.
        reply: Sender<Result<usize, PlatformError>>,
    },
    /// Fetch control data from several peers.
    Survey {
        /// Addresses of the peers.
        peers: Vec<SocketAddr>,
        /// Receives the number of peers that replied.
        reply: Sender<usize>,
    },
}

/// Changes a register and waits for the result. Can be called from any thread.
pub async fn change_register(
    shared: &Shared,
    key: Key,
    change: RecordChange,
) -> Result<RecordResponse, RegisterError> {
    let (reply, result) = bounded(1);
    let call = RegisterCall::Change { key, change, reply };
    if shared.register.sender.try_send(call).is_err() {
        return Err(RegisterError::NotApplied);
    }
    result.recv().await.unwrap_or(Err(RegisterError::Unknown))
}

/// State of the register task. Clones share it within the task's thread.
#[derive(Clone)]
pub struct RegisterManager {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    executor: Executor,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    replicas: Rc<RefCell<BTreeMap<ShardId, Replica<Record>>>>,
    highest_round: Rc<RefCell<u64>>,
    /// Shards whose current epoch was reported as sealed by a member: a transition was started but
    /// not committed, and only a new transition reopens the shard.
    sealed: Rc<RefCell<BTreeSet<ShardId>>>,
}

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, executor: Executor, listener: TcpListener) {
    let manager = RegisterManager {
        peers: PeerClient::new(shared.clone(), executor.clone()),
        shared: shared.clone(),
        executor: executor.clone(),
        replicas: Rc::default(),
        highest_round: Rc::default(),
        sealed: Rc::default(),
    };
    let server = manager.clone();
    let handler = move |request| server.handle_peer_request(request);
    executor.spawn(serve_peers(shared.clone(), executor.clone(), listener, handler)).detach();
    executor.spawn(manager.clone().remove_expired_periodically()).detach();
    executor.spawn(super::shards::maintain_placement(manager.clone())).detach();
    while let Ok(call) = shared.register.receiver.recv().await {
        let manager = manager.clone();
        executor.spawn(async move { manager.handle_call(call).await }).detach();
    }
}

impl RegisterManager {
    async fn handle_call(self, call: RegisterCall) {
        match call {
            RegisterCall::Change { key, change, reply } => {
                let result = self.change(&key, &change).await;
                match result {
                    Ok(_) => self.shared.metrics.register_changes.inc(),
                    Err(RegisterError::Unknown) => self.shared.metrics.register_unknown.inc(),
                    Err(RegisterError::NotApplied) => 0,
                };
                let _ = reply.try_send(result);
            }
            RegisterCall::FetchControl { peer } => drop(self.fetch_control(peer).await),
            RegisterCall::Rebuild { reply } => {
                let _ = reply.try_send(super::shards::rebuild(&self).await);
            }
            RegisterCall::Survey { peers, reply } => {
                let mut replied = 0;
                let calls: Vec<_> = peers
                    .into_iter()
                    .map(|peer| {
                        let manager = self.clone();
                        self.executor.spawn(async move { manager.fetch_control(peer).await })
                    })
                    .collect();
                for call in calls {
                    replied += usize::from(call.await.is_some());
                }
                let _ = reply.try_send(replied);
            }
        }
    }

    /// Applies a change, retrying with random backoff until [`CHANGE_TIMEOUT`].
    async fn change(
        &self,
        key: &Key,
        change: &RecordChange,
    ) -> Result<RecordResponse, RegisterError> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let mut may_be_applied = false;
        loop {
            let map = self.shared.shard_map.load_full();
            let target =
                map.shard_of(key).and_then(|shard| Some((shard, map.config(shard)?.clone())));
            if let Some((shard, config)) = target {
                let (mut proposal, request) =
                    Proposal::start(key.clone(), change.clone(), config, self.next_ballot());
                let outcome = self.run_proposal(shard, &mut proposal, request).await;
                may_be_applied |= outcome.sent_value;
                if let Some(response) = outcome.response {
                    return Ok(response);
                }
                self.observe_round(outcome.above);
            }
            if Instant::now() >= deadline {
                return Err(if may_be_applied {
                    RegisterError::Unknown
                } else {
                    RegisterError::NotApplied
                });
            }
            self.shared.metrics.register_retries.inc();
            let backoff = MAX_BACKOFF.mul_f64(rand::rng().random());
            Timer::after(backoff).await;
        }
    }

    /// Runs one proposal round until it completes, is preempted or times out.
    async fn run_proposal(
        &self,
        shard: ShardId,
        proposal: &mut Proposal<Record>,
        request: ReplicaRequest<Record>,
    ) -> RoundOutcome {
        let mut outcome = RoundOutcome::default();
        let members: Vec<NodeId> = proposal.members().iter().cloned().collect();
        let (sender, replies) = bounded(members.len() * 2);
        self.broadcast(shard, &members, &request, &sender);
        let deadline = Instant::now() + ROUND_TIMEOUT;
        loop {
            let received = async { replies.recv().await.ok() };
            let next = received
                .or(async {
                    Timer::at(deadline).await;
                    None
                })
                .await;
            let Some((from, reply)) = next else {
                return outcome;
            };
            if let ReplicaReply::Rejected { reason: Rejection::Epoch { known }, .. } = &reply {
                self.update_stale_replica(shard, &from, *known, proposal.epoch());
            }
            match proposal.on_reply(&from, reply) {
                Progress::Waiting => {}
                Progress::Broadcast(accept) => {
                    outcome.sent_value = true;
                    self.broadcast(shard, &members, &accept, &sender);
                }
                Progress::Done(response) => {
                    outcome.response = Some(response);
                    return outcome;
                }
                Progress::Preempted { above } => {
                    outcome.above = above;
                    return outcome;
                }
            }
        }
    }

    /// Sends a request to all members; replies are forwarded to `sender` as they arrive.
    pub fn broadcast(
        &self,
        shard: ShardId,
        members: &[NodeId],
        request: &ReplicaRequest<Record>,
        sender: &Sender<(NodeId, ReplicaReply<Record>)>,
    ) {
        for member in members {
            let manager = self.clone();
            let (member, request, sender) = (member.clone(), request.clone(), sender.clone());
            self.executor
                .spawn(async move {
                    if let Some(reply) = manager.call_replica(shard, &member, request).await {
                        let _ = sender.try_send((member, reply));
                    }
                })
                .detach();
        }
    }

    /// Calls one replica; returns `None` if it is unknown or did not reply within
    /// [`ROUND_TIMEOUT`].
    pub async fn call_replica(
        &self,
        shard: ShardId,
        member: &NodeId,
        request: ReplicaRequest<Record>,
    ) -> Option<ReplicaReply<Record>> {
        if *member == self.shared.identity.node {
            return Some(self.handle(shard, request));
        }
        let address = {
            let members = self.shared.members.load();
            let entry = members.iter().find(|entry| entry.id == *member)?;
            entry.address
        };
        let request =
            PeerRequest::Shard { to: member.clone(), request: ShardRequest { shard, request } };
        let reply = self.peers.call(address, Some(&member.name), request, ROUND_TIMEOUT).await?;
        match reply {
            PeerReply::Shard(reply) => Some(reply),
            PeerReply::Control(_) | PeerReply::WrongRun => None,
        }
    }

    fn handle_peer_request(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Shard { to, .. } if to != self.shared.identity.node => PeerReply::WrongRun,
            PeerRequest::Shard { request, .. } => {
                PeerReply::Shard(self.handle(request.shard, request.request))
            }
            PeerRequest::Control => PeerReply::Control(self.control_data()),
        }
    }

    /// Handles a request to this daemon's replica of a shard, creating the replica if needed.
    fn handle(&self, shard: ShardId, request: ReplicaRequest<Record>) -> ReplicaReply<Record> {
        let mut replicas = self.replicas.borrow_mut();
        let node = &self.shared.identity.node;
        replicas.entry(shard).or_insert_with(|| Replica::new(node.clone())).handle(request)
    }

    fn control_data(&self) -> ControlData {
        let settings = self.shared.settings.load_full();
        let settings = settings.and_then(|active| serde_json::to_vec(&active.object).ok());
        let mut members = self.shared.members.load_full().as_ref().clone();
        members.push(self.shared.identity.member());
        ControlData {
            settings: settings.unwrap_or_default(),
            shard_map: self.shared.shard_map.load_full().as_ref().clone(),
            members,
        }
    }

    /// Fetches a peer's control data and merges it; returns `None` if the peer did not reply.
    async fn fetch_control(&self, peer: SocketAddr) -> Option<()> {
        let reply = self.peers.call(peer, None, PeerRequest::Control, CONTROL_TIMEOUT).await?;
        let PeerReply::Control(control) = reply else {
            return None;
        };
        self.merge_shard_map(&control.shard_map);
        if let Ok(object) = serde_json::from_slice::<SettingsObject>(&control.settings) {
            let _ = self.shared.settings_channel.sender.try_send(SettingsCall::Offer(object));
        }
        for member in control.members {
            let _ = self.shared.membership.sender.try_send(MembershipInput::Merge(member));
        }
        Some(())
    }

    /// Merges newer replica sets into the shard map and configures this daemon's replicas.
    pub fn merge_shard_map(&self, map: &ShardMap) {
        let mut current = self.shared.shard_map.load_full().as_ref().clone();
        if !current.merge(map) {
            return;
        }
        self.shared.shard_map.store(Arc::new(current.clone()));
        for (index, config) in current.shards.into_iter().enumerate() {
            let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
            self.handle(shard, ReplicaRequest::Configure { config });
        }
    }

    /// Returns and clears the set of shards found sealed.
    pub fn take_sealed(&self) -> BTreeSet<ShardId> {
        self.sealed.take()
    }

    /// Handles a rejected epoch: sends the current replica set to a replica with an older one.
    ///
    /// A replica that rejects the epoch it has itself has sealed it; the shard is recorded as
    /// sealed.
    fn update_stale_replica(
        &self,
        shard: ShardId,
        from: &NodeId,
        known_epoch: u64,
        proposed_epoch: u64,
    ) {
        if known_epoch == proposed_epoch {
            self.sealed.borrow_mut().insert(shard);
        }
        let map = self.shared.shard_map.load();
        let newer = map.config(shard).filter(|config| config.epoch > known_epoch).cloned();
        if let Some(config) = newer {
            self.configure(shard, from.clone(), config);
        }
    }

    /// Sends a replica set to one replica in the background.
    pub fn configure(&self, shard: ShardId, member: NodeId, config: ShardConfig) {
        let manager = self.clone();
        self.executor
            .spawn(async move {
                manager.call_replica(shard, &member, ReplicaRequest::Configure { config }).await;
            })
            .detach();
    }

    fn next_ballot(&self) -> Ballot {
        let mut highest = self.highest_round.borrow_mut();
        *highest += 1;
        Ballot { round: *highest, proposer: self.shared.unique_number() }
    }

    fn observe_round(&self, round: u64) {
        let mut highest = self.highest_round.borrow_mut();
        *highest = (*highest).max(round);
    }

    /// Removes expired records from this daemon's replicas.
    async fn remove_expired_periodically(self) {
        loop {
            Timer::after(EXPIRY_INTERVAL).await;
            let now = epoch_seconds();
            for replica in self.replicas.borrow_mut().values_mut() {
                replica.remove_expired(|_, record| record.is_expired(now));
            }
        }
    }
}

/// Outcome of one proposal round.
#[derive(Default)]
struct RoundOutcome {
    /// Result of the change if the round completed.
    response: Option<RecordResponse>,
    /// Whether a value was sent to replicas, which may have accepted it.
    sent_value: bool,
    /// Round of the competing ballot if this one was preempted, else 0.
    above: u64,
}
