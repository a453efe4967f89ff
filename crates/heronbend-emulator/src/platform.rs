//! Emulated platform: object API, machine list and weight store.
//!
//! `POST /control` injects a [`Fault`].

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use heronbend::external::platform::{Machine, MachineList, StoredVersions, Versioned};
use heronbend_http::http_types::{Method, Request, Response, StatusCode};
use heronbend_http::{error_response, json_response, Outcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol::Timer;

use crate::service::{bad_request, not_found, query_value, read_json, serve};

/// Maximum duration of a watch request.
const MAX_WATCH: Duration = Duration::from_secs(20);
const WATCH_POLL: Duration = Duration::from_millis(10);
/// Time without a heartbeat after which a machine is removed from the list.
const MACHINE_EXPIRY: Duration = Duration::from_secs(5);

/// Flags of `platform`.
#[derive(Args)]
pub struct PlatformArguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Delay until a change is visible in the machine list, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    list_lag_ms: u64,
    /// Total throughput of the weight store, in version loads per second.
    #[arg(long, default_value_t = 50.0)]
    loads_per_second: f64,
}

/// Injected fault, active until the next `POST /control`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects every request with status 503.
    Down,
    /// Delays every response.
    Slow {
        /// Delay in milliseconds.
        millis: u64,
    },
    /// Returns an empty machine list.
    ForgetMachines,
    /// Applies writes but truncates their responses.
    LoseAnswers,
}

struct RegisteredMachine {
    machine: Machine,
    last_heartbeat: Instant,
}

#[derive(Default)]
struct State {
    fault: Fault,
    objects: BTreeMap<String, Versioned<Value>>,
    machines: BTreeMap<String, RegisteredMachine>,
    /// Past machine lists with their times, newest last.
    list_history: Vec<(Instant, MachineList)>,
    weights: BTreeMap<String, BTreeSet<u64>>,
    store_free_at: Option<Instant>,
    object_reads: u64,
}

type SharedState = Rc<RefCell<State>>;

/// Runs the platform until the process exits.
pub fn run(arguments: &PlatformArguments) -> anyhow::Result<()> {
    let list_lag = Duration::from_millis(arguments.list_lag_ms);
    let load_time = Duration::from_secs_f64(1.0 / arguments.loads_per_second);
    serve(arguments.listen, |executor, address| {
        log::info!("event=started role=platform address={address}");
        let state = SharedState::default();
        executor.spawn(record_list_history(state.clone())).detach();
        Ok(move |request| handle(state.clone(), request, list_lag, load_time))
    })
}

async fn handle(
    state: SharedState,
    mut request: Request,
    list_lag: Duration,
    load_time: Duration,
) -> Response {
    let path = request.url().path().to_owned();
    if path == "/control" {
        return match read_json::<Fault>(&mut request).await {
            Ok(fault) => {
                log::info!("event=fault_set fault={fault:?}");
                state.borrow_mut().fault = fault;
                Response::new(StatusCode::NoContent)
            }
            Err(response) => response,
        };
    }
    let fault = state.borrow().fault;
    match fault {
        Fault::Down => return unavailable(),
        Fault::Slow { millis } => drop(Timer::after(Duration::from_millis(millis)).await),
        Fault::None | Fault::LoseAnswers | Fault::ForgetMachines => {}
    }
    let is_write = request.method() != Method::Get;
    let response = dispatch(&state, request, &path, list_lag, load_time).await;
    if fault == Fault::LoseAnswers && is_write {
        return truncated_response();
    }
    response
}

async fn dispatch(
    state: &SharedState,
    mut request: Request,
    path: &str,
    list_lag: Duration,
    load_time: Duration,
) -> Response {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (Method::Get, ["objects", name]) => read_object(state, &request, name).await,
        (Method::Put, ["objects", name]) => write_object(state, &mut request, name).await,
        (Method::Get, ["machines"]) => get_machines(state, list_lag),
        (Method::Put, ["machines", name]) => register_machine(state, &mut request, name).await,
        (Method::Get, ["weights", model]) => get_versions(state, model),
        (Method::Put, ["weights", model, version]) => publish_version(state, model, version),
        (Method::Get, ["weights", model, version]) => {
            load_version(state, model, version, load_time).await
        }
        (Method::Get, ["statistics"]) => {
            let reads = state.borrow().object_reads;
            json_response(StatusCode::Ok, &serde_json::json!({ "object_reads": reads }))
        }
        _ => not_found(path),
    }
}

fn unavailable() -> Response {
    error_response(
        StatusCode::ServiceUnavailable,
        "platform_down",
        "the platform is down",
        Outcome::NotRun,
    )
}

/// Builds a response whose body is aborted, so that the client cannot read it.
fn truncated_response() -> Response {
    let (sender, body) = heronbend_http::stream_body();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    smol::block_on(sender.abort("injected fault: response lost"));
    response
}

async fn read_object(state: &SharedState, request: &Request, name: &str) -> Response {
    let known_version: Option<u64> =
        query_value(request, "after").and_then(|text| text.parse().ok());
    let deadline = Instant::now() + MAX_WATCH;
    loop {
        {
            let mut state = state.borrow_mut();
            if state.fault == Fault::Down {
                return unavailable();
            }
            state.object_reads += u64::from(known_version.is_none());
            let current = state.objects.get(name);
            match (current, known_version) {
                (Some(object), None) => return json_response(StatusCode::Ok, object),
                (Some(object), Some(known_version)) if object.version > known_version => {
                    return json_response(StatusCode::Ok, object);
                }
                (None, None) => return not_found(name),
                _ => {}
            }
        }
        if Instant::now() >= deadline {
            return Response::new(StatusCode::NoContent);
        }
        Timer::after(WATCH_POLL).await;
    }
}

/// Replaces an object if its version is the one in the query; 0 creates the object.
async fn write_object(state: &SharedState, request: &mut Request, name: &str) -> Response {
    let expected: Option<u64> = query_value(request, "version").and_then(|text| text.parse().ok());
    let Some(expected) = expected else {
        return bad_request("version_missing", "the query must name the version to replace");
    };
    let value: Value = match read_json(request).await {
        Ok(value) => value,
        Err(response) => return response,
    };
    let mut state = state.borrow_mut();
    let current = state.objects.get(name).map_or(0, |object| object.version);
    if current != expected {
        let message = format!("the version is {current}, not {expected}");
        return error_response(StatusCode::Conflict, "conflict", message, Outcome::NotRun);
    }
    let version = current + 1;
    state.objects.insert(name.to_owned(), Versioned { version, value });
    json_response(StatusCode::Ok, &serde_json::json!({ "version": version }))
}

async fn register_machine(state: &SharedState, request: &mut Request, name: &str) -> Response {
    let machine: Machine = match read_json(request).await {
        Ok(machine) => machine,
        Err(response) => return response,
    };
    if machine.name != name {
        return bad_request("name_mismatch", "path and body name different machines");
    }
    let mut state = state.borrow_mut();
    let newest = state.machines.get(name).map(|registered| registered.machine.incarnation);
    if newest.is_none_or(|newest| machine.incarnation >= newest) {
        let last_heartbeat = Instant::now();
        state.machines.insert(name.to_owned(), RegisteredMachine { machine, last_heartbeat });
    }
    Response::new(StatusCode::NoContent)
}

/// Records the machine list every 100 ms, so that requests can get a delayed version of it.
async fn record_list_history(state: SharedState) {
    loop {
        {
            let now = Instant::now();
            let mut state = state.borrow_mut();
            state.machines.retain(|_, registered| registered.last_heartbeat + MACHINE_EXPIRY > now);
            let machines: Vec<Machine> =
                state.machines.values().map(|registered| registered.machine.clone()).collect();
            let last = state.list_history.last().map(|(_, list)| list);
            if last.is_none_or(|list| list.machines != machines) {
                let version = last.map_or(0, |list| list.version) + 1;
                state.list_history.push((now, MachineList { version, machines }));
            }
            let surplus = state.list_history.len().saturating_sub(1000);
            state.list_history.drain(..surplus);
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

fn get_machines(state: &SharedState, list_lag: Duration) -> Response {
    let state = state.borrow();
    if state.fault == Fault::ForgetMachines {
        return json_response(StatusCode::Ok, &MachineList::default());
    }
    let now = Instant::now();
    let old_enough = state.list_history.iter().rev().find(|(since, _)| *since + list_lag <= now);
    let list = old_enough.map(|(_, list)| list.clone()).unwrap_or_default();
    json_response(StatusCode::Ok, &list)
}

fn get_versions(state: &SharedState, model: &str) -> Response {
    let state = state.borrow();
    let latest = state.weights.get(model).and_then(|versions| versions.last().copied());
    json_response(StatusCode::Ok, &StoredVersions { latest })
}

fn publish_version(state: &SharedState, model: &str, version: &str) -> Response {
    let Ok(version) = version.parse() else {
        return bad_request("bad_version", "a version is a number");
    };
    let mut state = state.borrow_mut();
    state.weights.entry(model.to_owned()).or_default().insert(version);
    log::info!("event=version_published model={model} version={version}");
    Response::new(StatusCode::NoContent)
}

/// Responds once the version is loaded; loads are serialized at the throughput of the store.
async fn load_version(
    state: &SharedState,
    model: &str,
    version: &str,
    load_time: Duration,
) -> Response {
    let ready_at = {
        let mut state = state.borrow_mut();
        let is_published = version.parse().is_ok_and(|version: u64| {
            state.weights.get(model).is_some_and(|versions| versions.contains(&version))
        });
        if !is_published {
            return not_found(&format!("{model} {version}"));
        }
        let now = Instant::now();
        let start = state.store_free_at.map_or(now, |free| free.max(now));
        state.store_free_at = Some(start + load_time);
        start + load_time
    };
    Timer::at(ready_at).await;
    json_response(StatusCode::Ok, &serde_json::json!({ "version": version }))
}
