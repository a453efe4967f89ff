//! Shard placement: creates the shard map and replaces members that left the cluster.
//!
//! Several daemons may change the placement concurrently, since the shard map is written by
//! compare-and-swap. To avoid duplicate work, only the soft leader replaces members; any daemon may
//! reopen a shard that it found sealed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use heronbend::external::platform::{Versioned, SHARD_MAP_OBJECT};
use heronbend::identity::NodeId;
use heronbend::membership::Liveness;
use heronbend::record::Record;
use heronbend::register::shard_map::{choose_members, REPLICATION_FACTOR};
use heronbend::register::{
    ReplicaRequest, ShardConfig, ShardId, ShardMap, Transition, TransitionStep,
};
use rand::Rng;
use smol::channel::bounded;
use smol::Timer;

use super::register::RegisterManager;
use crate::platform_client::{PlatformClient, PlatformError};
use crate::shared::Shared;

/// Number of shards. Fixed for the lifetime of a deployment, since keys are mapped to shards by it.
const SHARD_COUNT: u32 = 8;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const TRANSITION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Loads the shard map and maintains shard placement until the process exits.
pub async fn maintain_placement(manager: RegisterManager) {
    let platform = PlatformClient::new(manager.shared.identity.platform);
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let is_unknown = manager.shared.shard_map.load().shards.is_empty();
        // Until the machine list is loaded, every daemon would consider itself the soft leader.
        let knows_daemons = manager.shared.backends.load().generation > 0;
        let may_write = knows_daemons && !manager.shared.is_draining();
        let may_place = may_write && manager.shared.is_soft_leader();
        let sealed = manager.take_sealed();
        let must_reopen = may_write && !sealed.is_empty();
        let is_due = is_unknown || must_reopen || (may_place && needs_placement(&manager.shared));
        if !is_due {
            continue;
        }
        if must_reopen {
            // Random delay, since several daemons may find the same shard sealed.
            Timer::after(CHECK_INTERVAL.mul_f64(rand::rng().random())).await;
        }
        if let Err(error) = update_placement(&manager, &platform, may_place, &sealed).await {
            log::debug!("event=placing_failed error={error}");
        }
    }
}

/// Loads the shard map and, where allowed, creates it, replaces members and reopens sealed shards.
async fn update_placement(
    manager: &RegisterManager,
    platform: &PlatformClient,
    may_place: bool,
    sealed: &BTreeSet<ShardId>,
) -> Result<(), PlatformError> {
    manager.shared.metrics.store_reads.inc();
    let stored: Option<Versioned<ShardMap>> = platform.read(SHARD_MAP_OBJECT).await?;
    match stored {
        Some(stored) => {
            let previous = manager.shared.shard_map.load_full();
            manager.merge_shard_map(&stored.value);
            // Skip shards that were reopened in a newer epoch.
            let still_sealed = |shard: &&ShardId| {
                let epoch = |map: &ShardMap| map.config(**shard).map(|config| config.epoch);
                epoch(&previous) == epoch(&stored.value)
            };
            let sealed: BTreeSet<ShardId> = sealed.iter().filter(still_sealed).copied().collect();
            if !sealed.is_empty() || (may_place && needs_placement(&manager.shared)) {
                replace_members(manager, platform, stored, may_place, &sealed).await?;
            }
        }
        None if may_place && manager.shared.settings.load().is_some() => {
            let initial = ShardMap::initial(SHARD_COUNT, &candidates(&manager.shared));
            platform.write(SHARD_MAP_OBJECT, 0, &initial).await?;
            log::info!("event=shard_map_created shards={SHARD_COUNT}");
        }
        None => {}
    }
    Ok(())
}

/// Runs a transition for every shard that needs new members, then commits all new replica sets at
/// once.
async fn replace_members(
    manager: &RegisterManager,
    platform: &PlatformClient,
    stored: Versioned<ShardMap>,
    may_place: bool,
    sealed: &BTreeSet<ShardId>,
) -> Result<(), PlatformError> {
    let Versioned { version, value: mut map } = stored;
    let mut moved = Vec::new();
    let started = Instant::now();
    for (index, config) in map.shards.clone().into_iter().enumerate() {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        let replacement =
            replacement_members(&manager.shared, shard, &config).filter(|_| may_place);
        let unchanged = sealed.contains(&shard).then(|| config.members.clone());
        let Some(members) = replacement.or(unchanged) else {
            continue;
        };
        if let Some(next) = run_transition(manager, shard, config, members, None).await {
            map.shards[index] = next;
            moved.push(shard);
        }
    }
    if moved.is_empty() {
        return Ok(());
    }
    commit(manager, platform, version, map, &moved).await?;
    let millis = started.elapsed().as_millis();
    log::info!("event=shards_moved shards={} millis={millis}", moved.len());
    Ok(())
}

/// Reopens shards that have permanently lost a majority of their members, from the remaining
/// replicas.
///
/// Committed data may be lost, so this is only run on an operator's request. Returns the number of
/// reopened shards.
pub async fn rebuild(manager: &RegisterManager) -> Result<usize, PlatformError> {
    let platform = PlatformClient::new(manager.shared.identity.platform);
    let Some(stored) = platform.read::<ShardMap>(SHARD_MAP_OBJECT).await? else {
        return Ok(0);
    };
    let Versioned { version, value: mut map } = stored;
    manager.merge_shard_map(&map);
    let candidates = candidates(&manager.shared);
    let mut moved = Vec::new();
    for (index, config) in map.shards.clone().into_iter().enumerate() {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        let is_alive = |node: &&NodeId| candidates.iter().any(|(alive, _)| alive == *node);
        let survivors: BTreeSet<NodeId> = config.members.iter().filter(is_alive).cloned().collect();
        if survivors.len() >= config.majority() {
            continue;
        }
        let members = choose_members(shard, &candidates);
        if let Some(next) = run_transition(manager, shard, config, members, Some(survivors)).await {
            map.shards[index] = next;
            moved.push(shard);
        }
    }
    if !moved.is_empty() {
        commit(manager, &platform, version, map, &moved).await?;
        log::warn!("event=shards_rebuilt shards={}", moved.len());
    }
    Ok(moved.len())
}

/// Writes new replica sets to the stored shard map and sends them to their members.
async fn commit(
    manager: &RegisterManager,
    platform: &PlatformClient,
    version: u64,
    mut map: ShardMap,
    moved: &[ShardId],
) -> Result<(), PlatformError> {
    match platform.write(SHARD_MAP_OBJECT, version, &map).await {
        Ok(()) => {}
        Err(error) => {
            // The write may have succeeded although the response was lost, so read the stored map
            // back.
            log::warn!("event=shard_map_write_failed error={error}");
            if let Some(stored) = platform.read::<ShardMap>(SHARD_MAP_OBJECT).await? {
                map = stored.value;
            }
        }
    }
    manager.merge_shard_map(&map);
    for shard in moved {
        if let Some(config) = map.config(*shard) {
            for member in &config.members {
                manager.configure(*shard, member.clone(), config.clone());
            }
        }
    }
    Ok(())
}

/// Seals the old replica set and stages its state at the new one; returns the replica set to
/// commit.
///
/// With `survivors`, only their state is used, see [`Transition::start_forced_recovery`].
async fn run_transition(
    manager: &RegisterManager,
    shard: ShardId,
    old: ShardConfig,
    members: BTreeSet<NodeId>,
    survivors: Option<BTreeSet<NodeId>>,
) -> Option<ShardConfig> {
    let sources = survivors.as_ref().unwrap_or(&old.members);
    let old_members: Vec<NodeId> = sources.iter().cloned().collect();
    let new_members: Vec<NodeId> = members.iter().cloned().collect();
    for member in &old_members {
        let config = old.clone();
        manager
            .call_replica(shard, member, ReplicaRequest::Configure { config })
            .or(async {
                Timer::after(Duration::from_millis(100)).await;
                None
            })
            .await;
    }
    let identifier = manager.shared.unique_number();
    let (mut transition, request) = match survivors {
        None => Transition::<Record>::start(old, members, identifier),
        Some(survivors) => Transition::start_forced_recovery(old, survivors, members, identifier),
    };
    let (sender, replies) = bounded(old_members.len() + new_members.len());
    let first_targets = if old_members.is_empty() { &new_members } else { &old_members };
    manager.broadcast(shard, first_targets, &request, &sender);
    let deadline = Instant::now() + TRANSITION_TIMEOUT;
    loop {
        let received = async { replies.recv().await.ok() };
        let (from, reply) = received
            .or(async {
                Timer::at(deadline).await;
                None
            })
            .await?;
        match transition.on_reply(&from, reply) {
            TransitionStep::Waiting => {}
            TransitionStep::Stage(stage) => {
                manager.broadcast(shard, &new_members, &stage, &sender);
            }
            TransitionStep::Commit(config) => return Some(config),
            TransitionStep::Superseded => return None,
        }
    }
}

/// Returns whether a shard has missing members that can be replaced.
pub fn needs_placement(shared: &Shared) -> bool {
    let map = shared.shard_map.load();
    map.shards.iter().enumerate().any(|(index, config)| {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        replacement_members(shared, shard, config).is_some()
    })
}

/// Returns the alive members of a shard plus replacements, or `None` if no member is missing or no
/// replacement is available.
fn replacement_members(
    shared: &Shared,
    shard: ShardId,
    config: &ShardConfig,
) -> Option<BTreeSet<NodeId>> {
    let candidates = candidates(shared);
    let is_alive = |node: &NodeId| candidates.iter().any(|(alive, _)| alive == node);
    let kept: BTreeSet<NodeId> =
        config.members.iter().filter(|node| is_alive(node)).cloned().collect();
    if kept.len() >= REPLICATION_FACTOR {
        return None;
    }
    let free: Vec<_> =
        candidates.iter().filter(|(node, _)| !kept.contains(node)).cloned().collect();
    let mut members = kept.clone();
    for node in choose_members(shard, &free) {
        if members.len() < REPLICATION_FACTOR {
            members.insert(node);
        }
    }
    (members.len() > kept.len()).then_some(members)
}

/// Returns the daemons that can host replicas, with their zones.
fn candidates(shared: &Shared) -> Vec<(NodeId, String)> {
    let identity = &shared.identity;
    let local = (identity.node.clone(), identity.zone.clone());
    let members = shared.members.load();
    let others = members
        .iter()
        .filter(|member| member.liveness <= Liveness::Suspect)
        .map(|member| (member.id.clone(), member.zone.clone()));
    std::iter::once(local).chain(others).collect()
}
