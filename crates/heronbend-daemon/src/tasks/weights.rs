//! Weight version rollout: polls the weight store and sends fenced load commands to engines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heronbend::external::engine::{CommandAction, CommandResponse, EngineCommand, CODE_FENCED};
use heronbend::lifecycle::{Backend, Phase};
use heronbend::record::{fence_key, RecordChange, RecordResponse};
use heronbend::settings::policy::ModelPolicy;
use heronbend::weights::{FenceChange, LoadCommand, LoadResult, VersionRollout};
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::{Client, ErrorBody};
use smol::Timer;

use super::register::change_register;
use super::Executor;
use crate::platform_client::PlatformClient;
use crate::shared::Shared;

const TICK: Duration = Duration::from_millis(200);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_RESPONSE_BYTES: usize = 1 << 16;

/// Rollout of one model that this daemon controls.
struct ModelRollout {
    fence: u64,
    rollout: VersionRollout,
}

/// Highest fencing token that an engine rejected as too low, by model.
type FencedTokens = Rc<RefCell<BTreeMap<String, u64>>>;
type ModelRollouts = Rc<RefCell<BTreeMap<String, ModelRollout>>>;

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let platform = PlatformClient::new(shared.identity.platform);
    let client = Client::new();
    let rollouts = ModelRollouts::default();
    let fenced = FencedTokens::default();
    loop {
        Timer::after(TICK).await;
        if !shared.is_soft_leader() || shared.is_draining() {
            rollouts.borrow_mut().clear();
            continue;
        }
        let Some(settings) = shared.settings.load_full() else {
            continue;
        };
        for model in settings.policy.models.values() {
            let floor = settings.policy.pools[&model.pool].serving_floor;
            if !ensure_fence(&shared, &rollouts, &fenced, &model.name, floor).await {
                continue;
            }
            if let Ok(versions) = platform.versions(&model.name).await {
                update_rollout(&rollouts, &model.name, |rollout_state| {
                    if let Some(latest) = versions.latest {
                        rollout_state.rollout.publish(latest);
                    }
                });
            }
            for (command, backend, fence) in due_commands(&shared, &rollouts, model, floor) {
                let task = send_command(
                    shared.clone(),
                    client.clone(),
                    (rollouts.clone(), fenced.clone()),
                    model.name.clone(),
                    command,
                    backend,
                    fence,
                );
                executor.spawn(task).detach();
            }
        }
    }
}

/// Calls `change` on a model's rollout if this daemon controls it.
fn update_rollout(rollouts: &ModelRollouts, model: &str, change: impl FnOnce(&mut ModelRollout)) {
    if let Some(rollout_state) = rollouts.borrow_mut().get_mut(model) {
        change(rollout_state);
    }
}

/// Acquires a fencing token for a model unless this daemon already holds one; returns whether it
/// does.
async fn ensure_fence(
    shared: &Shared,
    rollouts: &ModelRollouts,
    fenced: &FencedTokens,
    model: &str,
    floor: f64,
) -> bool {
    if rollouts.borrow().contains_key(model) {
        return true;
    }
    let holder = shared.identity.node.clone();
    let above = fenced.borrow().get(model).copied().unwrap_or(0);
    let change = RecordChange::Fence(FenceChange { holder, above });
    match change_register(shared, fence_key(model), change).await {
        Ok(RecordResponse::Fence(fence)) => {
            log::info!("event=fence_acquired model={model} token={}", fence.token);
            let rollout_state =
                ModelRollout { fence: fence.token, rollout: VersionRollout::new(floor) };
            rollouts.borrow_mut().insert(model.to_owned(), rollout_state);
            true
        }
        _ => false,
    }
}

/// Updates a rollout with the engines' reported versions and returns the load commands to send.
///
/// Engines outside this daemon's subset are not polled. They receive one command for the latest
/// version, and the response confirms it.
fn due_commands(
    shared: &Shared,
    rollouts: &ModelRollouts,
    model: &ModelPolicy,
    floor: f64,
) -> Vec<(LoadCommand, Backend, u64)> {
    let table = shared.backends.load_full();
    let engines: BTreeMap<_, _> = table
        .backends
        .iter()
        .filter(|entry| entry.backend.pool == model.pool && entry.phase == Phase::Live)
        .map(|entry| (&entry.backend.name, entry))
        .collect();
    let mut commands = Vec::new();
    update_rollout(rollouts, &model.name, |rollout_state| {
        rollout_state.rollout.set_serving_floor(floor);
        for (name, entry) in &engines {
            let incarnation = entry.backend.incarnation;
            if entry.in_subset {
                rollout_state.rollout.observe(name, incarnation, entry.report.version);
            } else {
                rollout_state.rollout.observe_presence(name, incarnation);
            }
        }
        rollout_state.rollout.retain(|name| engines.contains_key(name));
        for command in rollout_state.rollout.tick(shared.now()) {
            let backend = engines[&command.engine].backend.clone();
            commands.push((command, backend, rollout_state.fence));
        }
    });
    commands
}

/// Sends a load command to an engine and records its result.
async fn send_command(
    shared: Arc<Shared>,
    client: Client,
    (rollouts, fenced): (ModelRollouts, FencedTokens),
    model: String,
    command: LoadCommand,
    backend: Backend,
    fence: u64,
) {
    shared.metrics.weight_orders.inc();
    let result = execute_command(&client, &backend, &command, fence).await;
    let engine = &command.engine;
    log::info!("event=order_ended engine={engine} version={} result={result:?}", command.version);
    if result == LoadResult::Fenced {
        // Another daemon controls the rollout, or the register lost its tokens. The next tick
        // acquires a higher token if this daemon is still the soft leader.
        fenced.borrow_mut().insert(model.clone(), fence);
        rollouts.borrow_mut().remove(&model);
        return;
    }
    update_rollout(&rollouts, &model, |rollout_state| {
        rollout_state.rollout.on_result(shared.now(), &command, result)
    });
}

/// Sends a load command to an engine and classifies the response.
async fn execute_command(
    client: &Client,
    backend: &Backend,
    command: &LoadCommand,
    fence: u64,
) -> LoadResult {
    let body =
        EngineCommand { fence, action: CommandAction::LoadVersion { version: command.version } };
    let url = Url::parse(&format!("http://{}/orders", backend.address));
    let (Ok(url), Ok(body)) = (url, serde_json::to_vec(&body)) else {
        return LoadResult::Failed;
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    let response =
        client.fetch(backend.address, request, COMMAND_TIMEOUT, MAX_RESPONSE_BYTES).await;
    match response {
        Ok((StatusCode::Ok, bytes)) => match serde_json::from_slice::<CommandResponse>(&bytes) {
            Ok(done) if done.version == Some(command.version) => LoadResult::Loaded,
            _ => LoadResult::Failed,
        },
        Ok((StatusCode::Conflict, bytes)) => match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) if body.error.code == CODE_FENCED => LoadResult::Fenced,
            _ => LoadResult::Failed,
        },
        _ => LoadResult::Failed,
    }
}
