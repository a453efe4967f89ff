//! Settings distribution: watches the store, merges settings from peers and commits edits.
//!
//! Only the first [`WATCHERS_PER_REGION`] alive daemons of each region watch the store. The others
//! learn of new revisions by gossip and fetch them from a peer.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::external::platform::{Versioned, SETTINGS_OBJECT};
use heronbend::membership::Liveness;
use heronbend::settings::{EditConflict, NodeEdit, Policy, SettingsObject};
use serde::{Deserialize, Serialize};
use smol::channel::{bounded, Sender};
use smol::Timer;
use thiserror::Error;

use super::register::RegisterCall;
use super::Executor;
use crate::platform_client::{PlatformClient, PlatformError};
use crate::shared::{ActiveSettings, Shared};

/// Number of daemons per region that watch the store.
const WATCHERS_PER_REGION: usize = 2;
const RETRY_DELAY: Duration = Duration::from_millis(250);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);

/// An edit request of an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EditRequest {
    /// Identifier chosen by the client; repeated requests with the same identifier are applied
    /// once.
    pub id: String,
    /// Changes, by settings node.
    pub edits: Vec<NodeEdit>,
}

/// Errors of an edit.
#[derive(Debug, Clone, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditError {
    /// The edit conflicts with the current settings; nothing was changed.
    #[error(transparent)]
    Conflict(EditConflict),
    /// The store could not be reached; nothing was changed.
    #[error("the store cannot be reached; nothing was changed")]
    StoreDown,
    /// The store may have applied the edit; it can be retried with the same identifier.
    #[error("whether the store took the edit is unknown; send it again under the same identifier")]
    Unknown,
}

/// Inputs of the settings task.
#[derive(Debug)]
pub enum SettingsCall {
    /// Settings received from a peer.
    Offer(SettingsObject),
    /// An operator's edit.
    Edit {
        /// Edit to commit.
        request: EditRequest,
        /// Receives the resulting revision.
        reply: Sender<Result<u64, EditError>>,
    },
}

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, executor: Executor, seeds: Vec<SocketAddr>) {
    let platform = PlatformClient::new(shared.identity.platform);
    executor.spawn(watch_settings(shared.clone(), platform.clone())).detach();
    executor.spawn(confirm_settings(shared.clone(), platform.clone(), seeds)).detach();
    while let Ok(call) = shared.settings_channel.receiver.recv().await {
        match call {
            SettingsCall::Offer(object) => apply_if_newer(&shared, object),
            SettingsCall::Edit { request, reply } => {
                let (shared, platform) = (shared.clone(), platform.clone());
                executor
                    .spawn(async move {
                        let result = commit_edit(&shared, &platform, &request).await;
                        let _ = reply.try_send(result);
                    })
                    .detach();
            }
        }
    }
}

/// Commits an edit through the settings task. Can be called from any thread.
pub async fn edit_settings(shared: &Shared, request: EditRequest) -> Result<u64, EditError> {
    let (reply, result) = bounded(1);
    let call = SettingsCall::Edit { request, reply };
    if shared.settings_channel.sender.try_send(call).is_err() {
        return Err(EditError::StoreDown);
    }
    result.recv().await.unwrap_or(Err(EditError::Unknown))
}

/// Activates settings if their revision is newer and they are valid.
fn apply_if_newer(shared: &Shared, object: SettingsObject) {
    let current = shared.settings.load();
    let is_newer = current.as_ref().is_none_or(|current| object.revision > current.object.revision);
    if !is_newer || object.revision == 0 {
        return;
    }
    if let Err(findings) = object.tree.validate("store") {
        log::error!(
            "event=settings_invalid revision={} findings={:?}",
            object.revision,
            findings.0
        );
        return;
    }
    let policy = Policy::compile(&object.tree, object.revision);
    log::info!("event=settings_in_force revision={}", object.revision);
    shared.metrics.settings_revision.set(object.revision as i64);
    shared.settings.store(Some(Arc::new(ActiveSettings { object, policy })));
}

/// Reads and activates the stored settings; returns the version of the stored object, or 0 if
/// absent.
async fn read_store(shared: &Shared, platform: &PlatformClient) -> Result<u64, PlatformError> {
    shared.metrics.store_reads.inc();
    let stored: Option<Versioned<SettingsObject>> = platform.read(SETTINGS_OBJECT).await?;
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    if let Some(stored) = stored {
        apply_if_newer(shared, stored.value);
    }
    Ok(version)
}

/// Returns whether this daemon watches the store on behalf of its region.
fn is_watcher(shared: &Shared) -> bool {
    let identity = &shared.identity;
    shared
        .alive_nodes()
        .iter()
        .filter(|(_, _, region)| *region == identity.region)
        .take(WATCHERS_PER_REGION)
        .any(|(name, _, _)| *name == identity.node.name)
}

/// Watches the store for new settings while this daemon is a watcher or has no settings yet.
async fn watch_settings(shared: Arc<Shared>, platform: PlatformClient) {
    let mut version = None;
    loop {
        if !is_watcher(&shared) && shared.settings.load().is_some() {
            version = None;
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        let result = match version {
            None => read_store(&shared, &platform).await.map(Some),
            Some(0) => {
                Timer::after(RETRY_DELAY).await;
                Ok(None)
            }
            Some(after) => watch_store(&shared, &platform, after).await.map(Some),
        };
        match result {
            Ok(next) => version = next,
            Err(error) => {
                log::debug!("event=settings_watch_failed error={error}");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for a change of the stored settings after a version and activates it; returns the version
/// of the stored object.
async fn watch_store(
    shared: &Shared,
    platform: &PlatformClient,
    after: u64,
) -> Result<u64, PlatformError> {
    shared.metrics.store_reads.inc();
    let changed: Option<Versioned<SettingsObject>> = platform.watch(SETTINGS_OBJECT, after).await?;
    let Some(changed) = changed else {
        return Ok(after);
    };
    apply_if_newer(shared, changed.value);
    Ok(changed.version)
}

/// Confirms the settings at startup and after a pause: from the store or, if it is unavailable,
/// from a majority of the known daemons.
async fn confirm_settings(shared: Arc<Shared>, platform: PlatformClient, seeds: Vec<SocketAddr>) {
    loop {
        Timer::after(CONFIRM_INTERVAL).await;
        let is_confirmed = shared.settings_confirmed.load(Ordering::Acquire);
        if is_confirmed && shared.settings.load().is_some() {
            continue;
        }
        let confirmed = match read_store(&shared, &platform).await {
            Ok(_) => true,
            Err(_) => sync_from_peers(&shared, &seeds).await,
        };
        if confirmed && !is_confirmed {
            shared.settings_confirmed.store(true, Ordering::Release);
            log::info!(
                "event=settings_confirmed revision={}",
                shared.control_versions().settings_revision
            );
        }
    }
}

/// Fetches the settings of all known daemons; returns whether a majority replied.
async fn sync_from_peers(shared: &Shared, seeds: &[SocketAddr]) -> bool {
    let mut peers: Vec<SocketAddr> = shared
        .members
        .load()
        .iter()
        .filter(|member| member.liveness <= Liveness::Suspect)
        .map(|member| member.address)
        .chain(seeds.iter().copied())
        .collect();
    peers.sort();
    peers.dedup();
    let cluster_size = peers.len() + 1;
    let (reply, result) = bounded(1);
    let call = RegisterCall::Survey { peers, reply };
    if shared.register.sender.try_send(call).is_err() {
        return false;
    }
    let replied = result.recv().await.unwrap_or(0);
    replied > 0 && replied + 1 > cluster_size / 2
}

/// Commits an edit by compare-and-swap. A lost response is resolved by reading the stored edits
/// back.
async fn commit_edit(
    shared: &Shared,
    platform: &PlatformClient,
    request: &EditRequest,
) -> Result<u64, EditError> {
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let mut may_be_stored = false;
    while Instant::now() < deadline {
        shared.metrics.store_reads.inc();
        let stored = match platform.read::<SettingsObject>(SETTINGS_OBJECT).await {
            Ok(stored) => stored,
            Err(_) => {
                Timer::after(RETRY_DELAY).await;
                continue;
            }
        };
        let (version, object) = match stored {
            Some(stored) => (stored.version, stored.value),
            None => (0, SettingsObject::default()),
        };
        if let Some(edit) = object.edits.iter().find(|edit| edit.id == request.id) {
            let revision = edit.revision;
            apply_if_newer(shared, object);
            return Ok(revision);
        }
        let next =
            object.apply(&request.id, &request.edits, "edit").map_err(EditError::Conflict)?;
        match platform.write(SETTINGS_OBJECT, version, &next).await {
            Ok(()) => {
                let revision = next.revision;
                apply_if_newer(shared, next);
                return Ok(revision);
            }
            Err(PlatformError::Conflict) => {}
            Err(error) => {
                log::info!("event=edit_unanswered id={} error={error}", request.id);
                may_be_stored |= matches!(error, PlatformError::NoResponse(_));
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
    Err(if may_be_stored { EditError::Unknown } else { EditError::StoreDown })
}
