//! Drives registers: this daemon's replicas, its proposals, and calls between daemons.

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

/// Longest wait for the replies of one round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for one change, all rounds together.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_millis(40);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const COLLECT_INTERVAL: Duration = Duration::from_secs(30);

/// Why a register was not changed, or is not known to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RegisterError {
    /// The change was not made: no value was sent out.
    #[error("no majority of replicas could be reached; nothing was changed")]
    NotDone,
    /// The change may have been made, or be made yet.
    #[error("no majority of replicas confirmed; whether the register was changed is unknown")]
    Unknown,
}

/// An input of the register duty.
#[derive(Debug)]
pub enum RegisterCall {
    /// Change a register.
    Change {
        /// The register.
        key: Key,
        /// The change.
        change: RecordChange,
        /// Where the result goes.
        reply: Sender<Result<RecordResponse, RegisterError>>,
    },
    /// Fetch newer control data from a peer.
    FetchControl {
        /// The peer.
        peer: SocketAddr,
    },
    /// Open shards again that have lost a majority, accepting that what they held may be lost; the
    /// answer is how many.
    Rebuild {
        /// Where the count goes.
        reply: Sender<Result<usize, PlatformError>>,
    },
    /// Ask these peers for control data; the answer is how many replied.
    Survey {
        /// The peers.
        peers: Vec<SocketAddr>,
        /// Where the count goes.
        reply: Sender<usize>,
    },
}

/// Changes a register and waits for the result. For any thread.
pub async fn change_register(
    shared: &Shared,
    key: Key,
    change: RecordChange,
) -> Result<RecordResponse, RegisterError> {
    let (reply, result) = bounded(1);
    let call = RegisterCall::Change { key, change, reply };
    if shared.register.sender.try_send(call).is_err() {
        return Err(RegisterError::NotDone);
    }
    result.recv().await.unwrap_or(Err(RegisterError::Unknown))
}

/// The register duty's state, shared by the tasks of its thread.
#[derive(Clone)]
pub struct RegisterDuty {
    /// What all threads share.
    pub shared: Arc<Shared>,
    executor: Executor,
    /// Calls to peers.
    pub peers: PeerClient,
    replicas: Rc<RefCell<BTreeMap<ShardId, Replica<Record>>>>,
    highest_round: Rc<RefCell<u64>>,
    /// Shards of which a member said that the epoch in force is sealed: some transition was begun and
    /// not committed, and only another one opens the shard again.
    sealed: Rc<RefCell<BTreeSet<ShardId>>>,
}

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor, listener: TcpListener) {
    let duty = RegisterDuty {
        peers: PeerClient::new(shared.clone(), executor.clone()),
        shared: shared.clone(),
        executor: executor.clone(),
        replicas: Rc::default(),
        highest_round: Rc::default(),
        sealed: Rc::default(),
    };
    let server = duty.clone();
    let answer = move |request| server.answer(request);
    executor.spawn(serve_peers(shared.clone(), executor.clone(), listener, answer)).detach();
    executor.spawn(duty.clone().keep_collecting()).detach();
    executor.spawn(super::shards::keep_placed(duty.clone())).detach();
    while let Ok(call) = shared.register.receiver.recv().await {
        let duty = duty.clone();
        executor.spawn(async move { duty.serve(call).await }).detach();
    }
}

impl RegisterDuty {
    async fn serve(self, call: RegisterCall) {
        match call {
            RegisterCall::Change { key, change, reply } => {
                let result = self.change(&key, &change).await;
                match result {
                    Ok(_) => self.shared.metrics.register_changes.inc(),
                    Err(RegisterError::Unknown) => self.shared.metrics.register_unknown.inc(),
                    Err(RegisterError::NotDone) => 0,
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
                        let duty = self.clone();
                        self.executor.spawn(async move { duty.fetch_control(peer).await })
                    })
                    .collect();
                for call in calls {
                    replied += usize::from(call.await.is_some());
                }
                let _ = reply.try_send(replied);
            }
        }
    }

    /// Makes one change, in as many rounds as it takes within the time given.
    async fn change(
        &self,
        key: &Key,
        change: &RecordChange,
    ) -> Result<RecordResponse, RegisterError> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let mut may_take_effect = false;
        loop {
            let map = self.shared.shard_map.load_full();
            let place =
                map.shard_of(key).and_then(|shard| Some((shard, map.config(shard)?.clone())));
            if let Some((shard, config)) = place {
                let (mut proposal, request) =
                    Proposal::start(key.clone(), change.clone(), config, self.next_ballot());
                let outcome = self.drive(shard, &mut proposal, request).await;
                may_take_effect |= outcome.sent_value;
                if let Some(response) = outcome.response {
                    return Ok(response);
                }
                self.see_round(outcome.above);
            }
            if Instant::now() >= deadline {
                return Err(if may_take_effect {
                    RegisterError::Unknown
                } else {
                    RegisterError::NotDone
                });
            }
            self.shared.metrics.register_retries.inc();
            let backoff = MAX_BACKOFF.mul_f64(rand::rng().random());
            Timer::after(backoff).await;
        }
    }

    /// Sends a proposal's requests and feeds it the replies until it ends or time runs out.
    async fn drive(
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
                self.help_with_epoch(shard, &from, *known, proposal.epoch());
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
                Progress::Interrupted { above } => {
                    outcome.above = above;
                    return outcome;
                }
            }
        }
    }

    /// Sends a request to members; replies go to `sender` as they come.
    pub fn broadcast(
        &self,
        shard: ShardId,
        members: &[NodeId],
        request: &ReplicaRequest<Record>,
        sender: &Sender<(NodeId, ReplicaReply<Record>)>,
    ) {
        for member in members {
            let duty = self.clone();
            let (member, request, sender) = (member.clone(), request.clone(), sender.clone());
            self.executor
                .spawn(async move {
                    if let Some(reply) = duty.ask(shard, &member, request).await {
                        let _ = sender.try_send((member, reply));
                    }
                })
                .detach();
        }
    }

    /// Asks one replica; `None` when it did not reply in time.
    pub async fn ask(
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
            let known = members.iter().find(|known| known.id == *member)?;
            known.address
        };
        let request =
            PeerRequest::Shard { to: member.clone(), request: ShardRequest { shard, request } };
        let reply = self.peers.call(address, Some(&member.name), request, ROUND_TIMEOUT).await?;
        match reply {
            PeerReply::Shard(reply) => Some(reply),
            PeerReply::Control(_) | PeerReply::WrongRun => None,
        }
    }

    fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Shard { to, .. } if to != self.shared.identity.node => PeerReply::WrongRun,
            PeerRequest::Shard { request, .. } => {
                PeerReply::Shard(self.handle(request.shard, request.request))
            }
            PeerRequest::Control => PeerReply::Control(self.control_data()),
        }
    }

    /// Handles a request to this daemon's replica of a shard.
    fn handle(&self, shard: ShardId, request: ReplicaRequest<Record>) -> ReplicaReply<Record> {
        let mut replicas = self.replicas.borrow_mut();
        let node = &self.shared.identity.node;
        replicas.entry(shard).or_insert_with(|| Replica::new(node.clone())).handle(request)
    }

    fn control_data(&self) -> ControlData {
        let settings = self.shared.settings.load_full();
        let settings = settings.and_then(|known| serde_json::to_vec(&known.object).ok());
        let mut members = self.shared.members.load_full().as_ref().clone();
        members.push(self.shared.identity.member());
        ControlData {
            settings: settings.unwrap_or_default(),
            shard_map: self.shared.shard_map.load_full().as_ref().clone(),
            members,
        }
    }

    async fn fetch_control(&self, peer: SocketAddr) -> Option<()> {
        let reply = self.peers.call(peer, None, PeerRequest::Control, CONTROL_TIMEOUT).await?;
        let PeerReply::Control(control) = reply else {
            return None;
        };
        self.learn_map(&control.shard_map);
        if let Ok(object) = serde_json::from_slice::<SettingsObject>(&control.settings) {
            let _ = self.shared.settings_ring.sender.try_send(SettingsCall::Offer(object));
        }
        for member in control.members {
            let _ = self.shared.membership.sender.try_send(MembershipInput::Learn(member));
        }
        Some(())
    }

    /// Takes over newer replica sets and tells this daemon's replicas of them.
    pub fn learn_map(&self, map: &ShardMap) {
        let mut known = self.shared.shard_map.load_full().as_ref().clone();
        if !known.merge(map) {
            return;
        }
        self.shared.shard_map.store(Arc::new(known.clone()));
        for (index, config) in known.shards.into_iter().enumerate() {
            let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
            self.handle(shard, ReplicaRequest::Configure { config });
        }
    }

    /// Takes the shards that were found sealed.
    pub fn take_sealed(&self) -> BTreeSet<ShardId> {
        self.sealed.take()
    }

    /// A replica that lags is told the replica set in force; one that has sealed it is noted.
    fn help_with_epoch(&self, shard: ShardId, from: &NodeId, known: u64, proposed: u64) {
        if known == proposed {
            self.sealed.borrow_mut().insert(shard);
        }
        let map = self.shared.shard_map.load();
        let newer = map.config(shard).filter(|config| config.epoch > known).cloned();
        if let Some(config) = newer {
            self.configure(shard, from.clone(), config);
        }
    }

    /// Tells one replica the replica set in force, without waiting.
    pub fn configure(&self, shard: ShardId, member: NodeId, config: ShardConfig) {
        let duty = self.clone();
        self.executor
            .spawn(async move {
                duty.ask(shard, &member, ReplicaRequest::Configure { config }).await;
            })
            .detach();
    }

    fn next_ballot(&self) -> Ballot {
        let mut highest = self.highest_round.borrow_mut();
        *highest += 1;
        Ballot { round: *highest, proposer: self.shared.unique_number() }
    }

    fn see_round(&self, round: u64) {
        let mut highest = self.highest_round.borrow_mut();
        *highest = (*highest).max(round);
    }

    async fn keep_collecting(self) {
        loop {
            Timer::after(COLLECT_INTERVAL).await;
            let now = epoch_seconds();
            for replica in self.replicas.borrow_mut().values_mut() {
                replica.collect(|_, record| record.is_expired(now));
            }
        }
    }
}

#[derive(Default)]
struct RoundOutcome {
    response: Option<RecordResponse>,
    sent_value: bool,
    above: u64,
}
