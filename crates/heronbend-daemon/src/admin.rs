//! Operators' HTTP interface, on a separate listener.

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

use crate::failpoints::Faults;
use crate::front::readiness;
use crate::shared::{shard_epochs, BackendsInput, Shared, StepStatus};
use crate::tasks::register::RegisterCall;
use crate::tasks::settings::{edit_settings, EditError};
use crate::tasks::shards::needs_placement;
use crate::tasks::Executor;

const MAX_BODY_BYTES: u64 = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Response of `GET /admin/status`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name and incarnation of the daemon.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// Whether the daemon can serve: settings are loaded and confirmed.
    pub serves: bool,
    /// Revision of the active settings.
    pub settings_revision: u64,
    /// Sum of the shards' epochs.
    pub shard_epochs: u64,
    /// Whether a shard has a missing member that can be replaced.
    pub shards_need_placing: bool,
    /// Steps that the daemon coordinates.
    pub steps: Vec<StepStatus>,
    /// Requests in flight.
    pub exchanges: u64,
    /// Other daemons.
    pub members: Vec<Member>,
    /// Known backends.
    pub backends: Vec<BackendStatus>,
    /// Replica sets of the shards.
    pub shard_map: ShardMap,
}

/// A backend in [`Status`].
#[derive(Debug, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Zone.
    pub zone: String,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Loaded weight version.
    pub version: Option<u64>,
}

/// Body of `POST /admin/drain`.
#[derive(Debug, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of a backend, or of this daemon.
    pub node: String,
}

/// Body of `POST /admin/shards/rebuild`.
#[derive(Debug, Serialize, Deserialize)]
pub struct RebuildRequest {
    /// Must be `true`: the operator accepts that data of the shards may be lost.
    pub accept_loss: bool,
}

/// Response of `POST /admin/shards/rebuild`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rebuilt {
    /// Number of reopened shards.
    pub shards: usize,
}

/// Response of `POST /admin/settings`.
#[derive(Debug, Serialize, Deserialize)]
pub struct EditAccepted {
    /// Revision created by the edit.
    pub revision: u64,
}

/// Serves the interface until the process exits.
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
            response.set_body(shared.metrics.encode());
            response.insert_header("content-type", "application/openmetrics-text; version=1.0.0");
            response
        }
        (Method::Get, "/admin/status") => json_response(StatusCode::Ok, &status(&shared)),
        (Method::Get, "/admin/settings") => match shared.settings.load_full() {
            Some(active) => json_response(StatusCode::Ok, &active.object),
            None => json_response(StatusCode::Ok, &heronbend::settings::SettingsObject::default()),
        },
        (Method::Post, "/admin/settings") => match read_json(&mut request).await {
            Ok(edit) => edit_response(edit_settings(&shared, edit).await),
            Err(response) => response,
        },
        (Method::Post, "/admin/drain") => match read_json(&mut request).await {
            Ok(body) => drain(&shared, &body),
            Err(response) => response,
        },
        (Method::Post, "/admin/shards/rebuild") => match read_json(&mut request).await {
            Ok(body) => rebuild(&shared, &body).await,
            Err(response) => response,
        },
        (Method::Post, "/admin/failpoints") => match read_json::<Faults>(&mut request).await {
            Ok(faults) => set_failpoints(&shared, faults),
            Err(response) => response,
        },
        _ => reject(StatusCode::NotFound, "not_found"),
    }
}

fn reject(status: StatusCode, code: &str) -> Response {
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
        reject(StatusCode::Forbidden, "failpoints_not_allowed")
    }
}

fn edit_response(result: Result<u64, EditError>) -> Response {
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

/// Reopens shards that have lost a majority of their replicas, if the operator accepts data loss.
async fn rebuild(shared: &Shared, body: &RebuildRequest) -> Response {
    if !body.accept_loss {
        return reject(StatusCode::BadRequest, "loss_not_accepted");
    }
    let (reply, result) = smol::channel::bounded(1);
    if shared.register.sender.try_send(RegisterCall::Rebuild { reply }).is_err() {
        return reject(StatusCode::ServiceUnavailable, "busy");
    }
    match result.recv().await {
        Ok(Ok(shards)) => json_response(StatusCode::Ok, &Rebuilt { shards }),
        Ok(Err(error)) => {
            log::warn!("event=rebuild_failed error={error}");
            reject(StatusCode::ServiceUnavailable, "platform_failed")
        }
        Err(_) => reject(StatusCode::ServiceUnavailable, "busy"),
    }
}

/// Drains this daemon, or marks a backend as leaving on all daemons.
fn drain(shared: &Shared, body: &DrainRequest) -> Response {
    if body.node == shared.identity.node.name.0 {
        shared.draining.store(true, Ordering::Release);
        return Response::new(StatusCode::Accepted);
    }
    let table = shared.backends.load();
    let entry = table.backends.iter().find(|entry| entry.backend.name.0 == body.node);
    let Some(entry) = entry else {
        return reject(StatusCode::NotFound, "unknown_node");
    };
    let stated = BackendPhase {
        name: BackendName(body.node.clone()),
        incarnation: entry.backend.incarnation,
        phase: Phase::Leaving,
    };
    let signal = Signal { source: SignalSource::Operator, stated };
    match shared.backends_channel.sender.try_send(BackendsInput::Signal(signal)) {
        Ok(()) => Response::new(StatusCode::Accepted),
        Err(_) => reject(StatusCode::ServiceUnavailable, "busy"),
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
        serves: shared.can_serve(),
        settings_revision: shared.control_versions().settings_revision,
        shard_epochs: shard_epochs(&shard_map),
        shards_need_placing: needs_placement(shared),
        steps: shared.steps.load_full().as_ref().clone(),
        exchanges: shared.in_flight.load(Ordering::Relaxed),
        members: shared.members.load_full().as_ref().clone(),
        backends: table
            .backends
            .iter()
            .map(|entry| BackendStatus {
                name: entry.backend.name.0.clone(),
                pool: entry.backend.pool.clone(),
                zone: entry.backend.zone.clone(),
                phase: entry.phase,
                running: entry.report.running,
                waiting: entry.report.waiting,
                version: entry.report.version,
            })
            .collect(),
        shard_map: shard_map.as_ref().clone(),
    }
}
