//! Rolls weight versions out: watches the weight store and sends fenced orders.

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
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// The rollout of one model, while this daemon paces it.
struct Pacing {
    fence: u64,
    rollout: VersionRollout,
}

/// The highest token of each model that an engine refused as too low.
type RefusedTokens = Rc<RefCell<BTreeMap<String, u64>>>;
type Pacings = Rc<RefCell<BTreeMap<String, Pacing>>>;

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let platform = PlatformClient::new(shared.identity.platform);
    let client = Client::new();
    let pacings = Pacings::default();
    let refused = RefusedTokens::default();
    loop {
        Timer::after(TICK).await;
        if !shared.is_first_alive() || shared.is_draining() {
            pacings.borrow_mut().clear();
            continue;
        }
        let Some(settings) = shared.settings.load_full() else {
            continue;
        };
        for model in settings.policy.models.values() {
            let floor = settings.policy.pools[&model.pool].serving_floor;
            if !ensure_fence(&shared, &pacings, &refused, &model.name, floor).await {
                continue;
            }
            if let Ok(versions) = platform.versions(&model.name).await {
                with(&pacings, &model.name, |pacing| {
                    if let Some(latest) = versions.latest {
                        pacing.rollout.publish(latest);
                    }
                });
            }
            for (order, backend, fence) in due_orders(&shared, &pacings, model, floor) {
                let task = send_order(
                    shared.clone(),
                    client.clone(),
                    (pacings.clone(), refused.clone()),
                    model.name.clone(),
                    order,
                    backend,
                    fence,
                );
                executor.spawn(task).detach();
            }
        }
    }
}

fn with(pacings: &Pacings, model: &str, change: impl FnOnce(&mut Pacing)) {
    if let Some(pacing) = pacings.borrow_mut().get_mut(model) {
        change(pacing);
    }
}

/// Gets a fencing token for a model, unless this daemon holds one already.
async fn ensure_fence(
    shared: &Shared,
    pacings: &Pacings,
    refused: &RefusedTokens,
    model: &str,
    floor: f64,
) -> bool {
    if pacings.borrow().contains_key(model) {
        return true;
    }
    let holder = shared.identity.node.clone();
    let above = refused.borrow().get(model).copied().unwrap_or(0);
    let change = RecordChange::Fence(FenceChange { holder, above });
    match change_register(shared, fence_key(model), change).await {
        Ok(RecordResponse::Fence(fence)) => {
            log::info!("event=fence_acquired model={model} token={}", fence.token);
            let pacing = Pacing { fence: fence.token, rollout: VersionRollout::new(floor) };
            pacings.borrow_mut().insert(model.to_owned(), pacing);
            true
        }
        _ => false,
    }
}

/// Feeds the rollout what engines state, and gives the orders that are due.
///
/// Engines outside this daemon's subset are not asked for reports: they are ordered the newest
/// version once, and their answer states it.
fn due_orders(
    shared: &Shared,
    pacings: &Pacings,
    model: &ModelPolicy,
    floor: f64,
) -> Vec<(LoadCommand, Backend, u64)> {
    let table = shared.backends.load_full();
    let engines: BTreeMap<_, _> = table
        .backends
        .iter()
        .filter(|known| known.backend.pool == model.pool && known.phase == Phase::Live)
        .map(|known| (&known.backend.name, known))
        .collect();
    let mut due = Vec::new();
    with(pacings, &model.name, |pacing| {
        pacing.rollout.set_serving_floor(floor);
        for (name, known) in &engines {
            let incarnation = known.backend.incarnation;
            if known.in_subset {
                pacing.rollout.observe(name, incarnation, known.report.version);
            } else {
                pacing.rollout.observe_presence(name, incarnation);
            }
        }
        pacing.rollout.retain(|name| engines.contains_key(name));
        for order in pacing.rollout.tick(shared.now()) {
            let backend = engines[&order.engine].backend.clone();
            due.push((order, backend, pacing.fence));
        }
    });
    due
}

async fn send_order(
    shared: Arc<Shared>,
    client: Client,
    (pacings, refused): (Pacings, RefusedTokens),
    model: String,
    order: LoadCommand,
    backend: Backend,
    fence: u64,
) {
    shared.metrics.weight_orders.inc();
    let result = order_engine(&client, &backend, &order, fence).await;
    let engine = &order.engine;
    log::info!("event=order_ended engine={engine} version={} result={result:?}", order.version);
    if result == LoadResult::Fenced {
        // Another daemon paces this model, or the register has forgotten its tokens; a higher one is
        // asked for if this daemon still should.
        refused.borrow_mut().insert(model.clone(), fence);
        pacings.borrow_mut().remove(&model);
        return;
    }
    with(&pacings, &model, |pacing| pacing.rollout.on_result(shared.now(), &order, result));
}

async fn order_engine(
    client: &Client,
    backend: &Backend,
    order: &LoadCommand,
    fence: u64,
) -> LoadResult {
    let body =
        EngineCommand { fence, action: CommandAction::LoadVersion { version: order.version } };
    let url = Url::parse(&format!("http://{}/orders", backend.address));
    let (Ok(url), Ok(body)) = (url, serde_json::to_vec(&body)) else {
        return LoadResult::Failed;
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    let answer = client.fetch(backend.address, request, ORDER_TIMEOUT, MAX_ANSWER_BYTES).await;
    match answer {
        Ok((StatusCode::Ok, bytes)) => match serde_json::from_slice::<CommandResponse>(&bytes) {
            Ok(done) if done.version == Some(order.version) => LoadResult::Loaded,
            _ => LoadResult::Failed,
        },
        Ok((StatusCode::Conflict, bytes)) => match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) if body.error.code == CODE_FENCED => LoadResult::Fenced,
            _ => LoadResult::Failed,
        },
        _ => LoadResult::Failed,
    }
}
