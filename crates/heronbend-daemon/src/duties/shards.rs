//! Places shards: creates the shard map, and replaces members that are gone.
//!
//! Any daemon may do this at any time, also two at once: the object API's compare-and-swap decides.
//! That only the first daemon alive does it saves work.

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

use super::register::RegisterDuty;
use crate::platform_client::{PlatformClient, PlatformError};
use crate::shared::Shared;

/// Number of shards; fixed for the life of a deployment, since keys map to it.
const SHARDS: u32 = 8;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const TRANSITION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Keeps the shard map known and its members alive, until the process ends.
pub async fn keep_placed(duty: RegisterDuty) {
    let platform = PlatformClient::new(duty.shared.identity.platform);
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let is_unknown = duty.shared.shard_map.load().shards.is_empty();
        // Before the list of machines is known every daemon would take itself for the first.
        let knows_daemons = duty.shared.backends.load().generation > 0;
        let may_write = knows_daemons && !duty.shared.is_draining();
        let places = may_write && duty.shared.is_first_alive();
        let sealed = duty.take_sealed();
        let reopens = may_write && !sealed.is_empty();
        let is_due = is_unknown || reopens || (places && needs_placing(&duty.shared));
        if !is_due {
            continue;
        }
        if reopens {
            // Several daemons find a shard sealed at the same time; one is enough.
            Timer::after(CHECK_INTERVAL.mul_f64(rand::rng().random())).await;
        }
        if let Err(error) = place(&duty, &platform, places, &sealed).await {
            log::debug!("event=placing_failed error={error}");
        }
    }
}

async fn place(
    duty: &RegisterDuty,
    platform: &PlatformClient,
    places: bool,
    sealed: &BTreeSet<ShardId>,
) -> Result<(), PlatformError> {
    duty.shared.metrics.store_reads.inc();
    let stored: Option<Versioned<ShardMap>> = platform.read(SHARD_MAP_OBJECT).await?;
    match stored {
        Some(stored) => {
            let known = duty.shared.shard_map.load_full();
            duty.learn_map(&stored.value);
            // A shard whose stored epoch is newer than the one found sealed is open already.
            let still_sealed = |shard: &&ShardId| {
                let epoch = |map: &ShardMap| map.config(**shard).map(|config| config.epoch);
                epoch(&known) == epoch(&stored.value)
            };
            let sealed: BTreeSet<ShardId> = sealed.iter().filter(still_sealed).copied().collect();
            if !sealed.is_empty() || (places && needs_placing(&duty.shared)) {
                replace_members(duty, platform, stored, places, &sealed).await?;
            }
        }
        None if places && duty.shared.settings.load().is_some() => {
            let first = ShardMap::initial(SHARDS, &candidates(&duty.shared));
            platform.write(SHARD_MAP_OBJECT, 0, &first).await?;
            log::info!("event=shard_map_created shards={SHARDS}");
        }
        None => {}
    }
    Ok(())
}

/// Moves every shard that needs it, then writes all new replica sets at once.
async fn replace_members(
    duty: &RegisterDuty,
    platform: &PlatformClient,
    stored: Versioned<ShardMap>,
    places: bool,
    sealed: &BTreeSet<ShardId>,
) -> Result<(), PlatformError> {
    let Versioned { version, value: mut map } = stored;
    let mut moved = Vec::new();
    let started = Instant::now();
    for (index, config) in map.shards.clone().into_iter().enumerate() {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        let better = better_members(&duty.shared, shard, &config).filter(|_| places);
        let same = sealed.contains(&shard).then(|| config.members.clone());
        let Some(members) = better.or(same) else {
            continue;
        };
        if let Some(next) = prepare(duty, shard, config, members, None).await {
            map.shards[index] = next;
            moved.push(shard);
        }
    }
    if moved.is_empty() {
        return Ok(());
    }
    commit(duty, platform, version, map, &moved).await?;
    let millis = started.elapsed().as_millis();
    log::info!("event=shards_moved shards={} millis={millis}", moved.len());
    Ok(())
}

/// Opens shards again that have lost a majority of their members for good, with what is left of
/// them; how many. What they held may be lost: only an operator may choose this.
pub async fn rebuild(duty: &RegisterDuty) -> Result<usize, PlatformError> {
    let platform = PlatformClient::new(duty.shared.identity.platform);
    let Some(stored) = platform.read::<ShardMap>(SHARD_MAP_OBJECT).await? else {
        return Ok(0);
    };
    let Versioned { version, value: mut map } = stored;
    duty.learn_map(&map);
    let candidates = candidates(&duty.shared);
    let mut moved = Vec::new();
    for (index, config) in map.shards.clone().into_iter().enumerate() {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        let is_alive = |node: &&NodeId| candidates.iter().any(|(alive, _)| alive == *node);
        let survivors: BTreeSet<NodeId> = config.members.iter().filter(is_alive).cloned().collect();
        if survivors.len() >= config.majority() {
            continue;
        }
        let members = choose_members(shard, &candidates);
        if let Some(next) = prepare(duty, shard, config, members, Some(survivors)).await {
            map.shards[index] = next;
            moved.push(shard);
        }
    }
    if !moved.is_empty() {
        commit(duty, &platform, version, map, &moved).await?;
        log::warn!("event=shards_rebuilt shards={}", moved.len());
    }
    Ok(moved.len())
}

/// Writes new replica sets into the stored map and tells their members.
async fn commit(
    duty: &RegisterDuty,
    platform: &PlatformClient,
    version: u64,
    mut map: ShardMap,
    moved: &[ShardId],
) -> Result<(), PlatformError> {
    match platform.write(SHARD_MAP_OBJECT, version, &map).await {
        Ok(()) => {}
        Err(error) => {
            // The answer may have been lost after the write: the stored map tells.
            log::warn!("event=shard_map_write_failed error={error}");
            if let Some(stored) = platform.read::<ShardMap>(SHARD_MAP_OBJECT).await? {
                map = stored.value;
            }
        }
    }
    duty.learn_map(&map);
    for shard in moved {
        if let Some(config) = map.config(*shard) {
            for member in &config.members {
                duty.configure(*shard, member.clone(), config.clone());
            }
        }
    }
    Ok(())
}

/// Seals the old set and stages its state at the new one; the replica set to commit.
///
/// With `survivors`, their state is enough, see [`Transition::start_forced_recovery`].
async fn prepare(
    duty: &RegisterDuty,
    shard: ShardId,
    old: ShardConfig,
    members: BTreeSet<NodeId>,
    survivors: Option<BTreeSet<NodeId>>,
) -> Option<ShardConfig> {
    let asked = survivors.as_ref().unwrap_or(&old.members);
    let old_members: Vec<NodeId> = asked.iter().cloned().collect();
    let new_members: Vec<NodeId> = members.iter().cloned().collect();
    for member in &old_members {
        let config = old.clone();
        duty.ask(shard, member, ReplicaRequest::Configure { config })
            .or(async {
                Timer::after(Duration::from_millis(100)).await;
                None
            })
            .await;
    }
    let identifier = duty.shared.unique_number();
    let (mut transition, request) = match survivors {
        None => Transition::<Record>::start(old, members, identifier),
        Some(survivors) => Transition::start_forced_recovery(old, survivors, members, identifier),
    };
    let (sender, replies) = bounded(old_members.len() + new_members.len());
    let first_asked = if old_members.is_empty() { &new_members } else { &old_members };
    duty.broadcast(shard, first_asked, &request, &sender);
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
                duty.broadcast(shard, &new_members, &stage, &sender);
            }
            TransitionStep::Commit(config) => return Some(config),
            TransitionStep::Superseded => return None,
        }
    }
}

/// Whether some shard could have better members than it has.
pub fn needs_placing(shared: &Shared) -> bool {
    let map = shared.shard_map.load();
    map.shards.iter().enumerate().any(|(index, config)| {
        let shard = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
        better_members(shared, shard, config).is_some()
    })
}

/// A full set that keeps the members that are alive; `None` when there is nothing to gain.
///
/// A set of which one member is gone stays as it is until a daemon can take the place.
fn better_members(
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

/// Daemons that can hold replicas, with their zones.
fn candidates(shared: &Shared) -> Vec<(NodeId, String)> {
    let identity = &shared.identity;
    let me = (identity.node.clone(), identity.zone.clone());
    let members = shared.members.load();
    let others = members
        .iter()
        .filter(|member| member.liveness <= Liveness::Suspect)
        .map(|member| (member.id.clone(), member.zone.clone()));
    std::iter::once(me).chain(others).collect()
}
