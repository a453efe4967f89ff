//! The operators' interface, on a listener of its own.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use heronbend::lifecycle::{BackendName, BackendPhase, Phase, Signal, SignalSource};
use heronbend::membership::Member;
use heronbend::register::ShardMap;
use heronbend_http::http_types::{Method, Request, Response, StatusCode};
use heronbend_http::{
    error_response, json_response, read_body, Connections, Outcome, ServerLimits,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;

use crate::duties::register::RegisterCall;
use crate::duties::settings::{edit_settings, EditError};
use crate::duties::shards::needs_placing;
use crate::duties::Executor;
use crate::failpoints::Faults;
use crate::front::readiness;
use crate::shared::{shard_epochs, BackendsInput, Shared, StepStatus};

const MAX_BODY_BYTES: u64 = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer of `GET /admin/status`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The daemon and its run.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether it serves: settings known and confirmed.
    pub serves: bool,
    /// Revision of the settings in force.
    pub settings_revision: u64,
    /// Sum of the shards' epochs.
    pub shard_epochs: u64,
    /// Whether a shard waits for a member to be replaced.
    pub shards_need_placing: bool,
    /// Steps that this daemon coordinates.
    pub steps: Vec<StepStatus>,
    /// Requests under way.
    pub exchanges: u64,
    /// Other daemons.
    pub members: Vec<Member>,
    /// Back ends.
    pub backends: Vec<BackendStatus>,
    /// Replica sets.
    pub shard_map: ShardMap,
}

/// A back end in [`Status`].
#[derive(Debug, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// Its phase.
    pub phase: Phase,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Its weight version.
    pub version: Option<u64>,
}

/// Body of `POST /admin/drain`.
#[derive(Debug, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the back end, or of this daemon.
    pub node: String,
}

/// Body of `POST /admin/shards/rebuild`.
#[derive(Debug, Serialize, Deserialize)]
pub struct RebuildRequest {
    /// The operator accepts that what the shards held may be lost.
    pub accept_loss: bool,
}

/// Answer of `POST /admin/shards/rebuild`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rebuilt {
    /// Shards that were opened again.
    pub shards: usize,
}

/// Answer of `POST /admin/settings`.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditAccepted {
    /// The revision that the edit made.
    pub revision: u64,
}

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor, listener: TcpListener) {
    let handler = move |request| handle(shared.clone(), request);
    let limits = ServerLimits { max_body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
    if let Err(error) = Connections::default().serve(executor, listener, limits, handler).await {
        log::error!("event=admin_listener_failed error={error}");
    }
}

async fn handle(shared: Arc<Shared>, mut request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Get, "/healthz") => Response::new(StatusCode::NoContent),
        (Method::Get, "/readyz") => readiness(&shared),
        (Method::Get, "/metrics") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(shared.metrics.render());
            response.insert_header("content-type", "application/openmetrics-text; version=1.0.0");
            response
        }
        (Method::Get, "/admin/status") => json_response(StatusCode::Ok, &status(&shared)),
        (Method::Get, "/admin/settings") => match shared.settings.load_full() {
            Some(known) => json_response(StatusCode::Ok, &known.object),
            None => json_response(StatusCode::Ok, &heronbend::settings::SettingsObject::default()),
        },
        (Method::Post, "/admin/settings") => match read_json(&mut request).await {
            Ok(edit) => answer_edit(edit_settings(&shared, edit).await),
            Err(response) => response,
        },
        (Method::Post, "/admin/drain") => match read_json(&mut request).await {
            Ok(order) => drain(&shared, &order),
            Err(response) => response,
        },
        (Method::Post, "/admin/shards/rebuild") => match read_json(&mut request).await {
            Ok(order) => rebuild(&shared, &order).await,
            Err(response) => response,
        },
        (Method::Post, "/admin/failpoints") => match read_json::<Faults>(&mut request).await {
            Ok(faults) => set_failpoints(&shared, faults),
            Err(response) => response,
        },
        _ => refuse(StatusCode::NotFound, "not_found"),
    }
}

fn refuse(status: StatusCode, code: &str) -> Response {
    error_response(status, code, code.replace('_', " "), Outcome::NotRun)
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let body =
        read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT).await.map_err(|error| error.response())?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = error.to_string();
        error_response(StatusCode::BadRequest, "invalid_json", message, Outcome::NotRun)
    })
}

fn set_failpoints(shared: &Shared, faults: Faults) -> Response {
    if shared.failpoints.set(faults) {
        Response::new(StatusCode::NoContent)
    } else {
        refuse(StatusCode::Forbidden, "failpoints_not_allowed")
    }
}

fn answer_edit(result: Result<u64, EditError>) -> Response {
    match result {
        Ok(revision) => json_response(StatusCode::Ok, &EditAccepted { revision }),
        Err(error) => {
            let status = match &error {
                EditError::Conflict(_) => StatusCode::Conflict,
                EditError::StoreDown => StatusCode::ServiceUnavailable,
                EditError::Unknown => StatusCode::GatewayTimeout,
            };
            json_response(status, &error)
        }
    }
}

/// Opens shards that have lost a majority; only for an operator who accepts the loss.
async fn rebuild(shared: &Shared, order: &RebuildRequest) -> Response {
    if !order.accept_loss {
        return refuse(StatusCode::BadRequest, "loss_not_accepted");
    }
    let (reply, result) = smol::channel::bounded(1);
    if shared.register.sender.try_send(RegisterCall::Rebuild { reply }).is_err() {
        return refuse(StatusCode::ServiceUnavailable, "busy");
    }
    match result.recv().await {
        Ok(Ok(shards)) => json_response(StatusCode::Ok, &Rebuilt { shards }),
        Ok(Err(error)) => {
            log::warn!("event=rebuild_failed error={error}");
            refuse(StatusCode::ServiceUnavailable, "platform_failed")
        }
        Err(_) => refuse(StatusCode::ServiceUnavailable, "busy"),
    }
}

/// Drains this daemon, or tells everybody that a back end leaves.
fn drain(shared: &Shared, order: &DrainRequest) -> Response {
    if order.node == shared.identity.node.name.0 {
        shared.draining.store(true, Ordering::Release);
        return Response::new(StatusCode::Accepted);
    }
    let table = shared.backends.load();
    let known = table.backends.iter().find(|known| known.backend.name.0 == order.node);
    let Some(known) = known else {
        return refuse(StatusCode::NotFound, "unknown_node");
    };
    let stated = BackendPhase {
        name: BackendName(order.node.clone()),
        incarnation: known.backend.incarnation,
        phase: Phase::Leaving,
    };
    let signal = Signal { source: SignalSource::Operator, stated };
    match shared.backends_ring.sender.try_send(BackendsInput::Signal(signal)) {
        Ok(()) => Response::new(StatusCode::Accepted),
        Err(_) => refuse(StatusCode::ServiceUnavailable, "busy"),
    }
}

fn status(shared: &Shared) -> Status {
    let table = shared.backends.load();
    let shard_map = shared.shard_map.load_full();
    Status {
        node: shared.identity.node.to_string(),
        zone: shared.identity.zone.clone(),
        region: shared.identity.region.clone(),
        draining: shared.is_draining(),
        serves: shared.serves(),
        settings_revision: shared.head().settings_revision,
        shard_epochs: shard_epochs(&shard_map),
        shards_need_placing: needs_placing(shared),
        steps: shared.steps.load_full().as_ref().clone(),
        exchanges: shared.exchanges.load(Ordering::Relaxed),
        members: shared.members.load_full().as_ref().clone(),
        backends: table
            .backends
            .iter()
            .map(|known| BackendStatus {
                name: known.backend.name.0.clone(),
                pool: known.backend.pool.clone(),
                zone: known.backend.zone.clone(),
                phase: known.phase,
                running: known.report.running,
                waiting: known.report.waiting,
                version: known.report.version,
            })
            .collect(),
        shard_map: shard_map.as_ref().clone(),
    }
}
