//! Emulated model engine.
//!
//! The engine batches continuously, so that an iteration takes longer with more sequences. It has a
//! limited prefix cache, runs sequences with lower priority values first, streams, resumes and cancels
//! generations, exports KV caches, reports its status and cache events with a delay, and executes
//! fenced commands. Each chunk carries the weight version that generated it.

mod batch;
mod prefix_cache;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use heronbend::external::engine::{
    CommandAction, CommandResponse, EngineCommand, EngineStatus, ExportRequest, GenerateRequest,
    ATTEMPT_HEADER, CALLER_REQUEST_HEADER, CODE_FENCED, CODE_FULL, CODE_LEAVING,
};
use heronbend::external::platform::{Machine, MachineKind};
use heronbend::identity::Incarnation;
use heronbend::lifecycle::Phase;
use heronbend_http::http_types::{Method, Request, Response, StatusCode};
use heronbend_http::{error_response, json_response, stream_body, Client, Outcome};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::application::LEAVING_GRACE;
use crate::ledger::Ledger;
use crate::registration::{get_json, run_registration};
use crate::service::{bad_request, not_found, query_value, read_json, serve, Executor};
use batch::{Batch, Sequence};

/// Delay of the reported status.
const STATUS_DELAY: Duration = Duration::from_millis(200);
/// Time to swap loaded weights in, during which no tokens are generated.
const SWAP_TIME: Duration = Duration::from_millis(20);

/// Flags of `engine`.
#[derive(Args)]
pub struct EngineArguments {
    /// Name in the machine list.
    #[arg(long)]
    name: String,
    /// Name of the pool in the settings.
    #[arg(long)]
    pool: String,
    /// Name of the served model.
    #[arg(long)]
    model: String,
    /// Initial weight version; without it the engine starts without weights.
    #[arg(long)]
    version: Option<u64>,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the platform; without it the engine does not register.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Zone of the engine.
    #[arg(long, default_value = "shawinigan")]
    zone: String,
    /// Maximum number of running sequences.
    #[arg(long, default_value_t = 16)]
    max_batch: usize,
    /// Maximum number of waiting sequences; further requests are rejected.
    #[arg(long, default_value_t = 256)]
    max_waiting: usize,
    /// Base time of a decoding iteration, in microseconds.
    #[arg(long, default_value_t = 2000)]
    iteration_micros: u64,
    /// Additional time per sequence in an iteration, in microseconds.
    #[arg(long, default_value_t = 100)]
    sequence_micros: u64,
}

/// Faults of an engine, set by `POST /faults`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EngineFaults {
    /// Number of following weight loads that fail during the swap.
    #[serde(default)]
    pub failing_loads: u32,
    /// Factor by which iterations take longer.
    #[serde(default = "one")]
    pub slowdown: f64,
}

fn one() -> f64 {
    1.0
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self { failing_loads: 0, slowdown: one() }
    }
}

struct Engine {
    arguments: EngineArguments,
    incarnation: Incarnation,
    phase: Rc<Cell<Phase>>,
    leaving_since: Cell<Option<Instant>>,
    version: Cell<Option<u64>>,
    fence: Cell<u64>,
    swapping: Cell<bool>,
    faults: Cell<EngineFaults>,
    batch: RefCell<Batch>,
    ledger: RefCell<Ledger>,
    reported: RefCell<EngineStatus>,
    client: Client,
}

/// Runs the engine until the process exits.
pub fn run(arguments: EngineArguments) -> anyhow::Result<()> {
    serve(arguments.listen, move |executor, address| {
        let engine = Rc::new(Engine::new(arguments));
        log::info!("event=started role=engine name={} address={address}", engine.arguments.name);
        engine.clone().start(executor, address);
        Ok(move |request| handle(engine.clone(), request))
    })
}

async fn handle(engine: Rc<Engine>, mut request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Post, "/v1/completions") => engine.generate(&mut request).await,
        (Method::Get, "/status") => json_response(StatusCode::Ok, &*engine.reported.borrow()),
        (Method::Get, "/ledger") => json_response(StatusCode::Ok, &*engine.ledger.borrow()),
        (Method::Get, "/cache-events") => {
            let after = query_value(&request, "after").and_then(|text| text.parse().ok());
            let events = engine.batch.borrow().cache.events_after(after.unwrap_or(0));
            json_response(StatusCode::Ok, &events)
        }
        (Method::Post, "/orders") => match read_json(&mut request).await {
            Ok(command) => engine.execute_command(command).await,
            Err(response) => response,
        },
        (Method::Post, "/kv/export") => match read_json::<ExportRequest>(&mut request).await {
            Ok(export) => match engine.batch.borrow_mut().export(&export.id) {
                Some(exported) => json_response(StatusCode::Ok, &exported),
                None => not_found(&export.id),
            },
            Err(response) => response,
        },
        (Method::Post, "/faults") => match read_json(&mut request).await {
            Ok(faults) => {
                engine.faults.set(faults);
                Response::new(StatusCode::NoContent)
            }
            Err(response) => response,
        },
        (Method::Post, "/leave") => {
            engine.phase.set(Phase::Leaving);
            engine.leaving_since.set(Some(Instant::now()));
            Response::new(StatusCode::NoContent)
        }
        (_, path) => not_found(path),
    }
}

impl Engine {
    fn new(arguments: EngineArguments) -> Self {
        let incarnation = Incarnation::starting_now();
        let batch = Batch::new(arguments.name.clone(), incarnation, arguments.max_batch);
        let reported = EngineStatus {
            incarnation,
            phase: Phase::Live,
            running: 0,
            waiting: 0,
            model: arguments.model.clone(),
            version: arguments.version,
        };
        Self {
            incarnation,
            phase: Rc::new(Cell::new(Phase::Live)),
            leaving_since: Cell::new(None),
            version: Cell::new(arguments.version),
            fence: Cell::new(0),
            swapping: Cell::new(false),
            faults: Cell::default(),
            batch: RefCell::new(batch),
            ledger: RefCell::default(),
            reported: RefCell::new(reported),
            client: Client::new(),
            arguments,
        }
    }

    fn start(self: Rc<Self>, executor: &Executor, address: SocketAddr) {
        if let Some(platform) = self.arguments.platform {
            let machine = Machine {
                name: self.arguments.name.clone(),
                kind: MachineKind::Engine,
                incarnation: self.incarnation,
                pool: self.arguments.pool.clone(),
                address,
                peer_address: None,
                zone: self.arguments.zone.clone(),
                region: "mauricie".into(),
                phase: Phase::Live,
            };
            let phase = self.phase.clone();
            executor.spawn(run_registration(platform, machine, phase)).detach();
        }
        executor.spawn(self.clone().run_status_reports()).detach();
        executor.spawn(self.run_iterations()).detach();
    }

    async fn run_status_reports(self: Rc<Self>) {
        loop {
            let status = {
                let batch = self.batch.borrow();
                EngineStatus {
                    incarnation: self.incarnation,
                    phase: self.phase.get(),
                    running: batch.running() as u32,
                    waiting: batch.waiting() as u32,
                    model: self.arguments.model.clone(),
                    version: self.version.get(),
                }
            };
            Timer::after(STATUS_DELAY).await;
            *self.reported.borrow_mut() = status;
        }
    }

    async fn run_iterations(self: Rc<Self>) {
        let base = Duration::from_micros(self.arguments.iteration_micros);
        let per_sequence = Duration::from_micros(self.arguments.sequence_micros);
        let mut due = Instant::now();
        loop {
            let version = self.version.get().filter(|_| !self.swapping.get());
            let work = version.map_or(0, |version| {
                let mut batch = self.batch.borrow_mut();
                batch.iterate(version, &mut self.ledger.borrow_mut().runs)
            });
            let time = (base + per_sequence * work as u32).mul_f64(self.faults.get().slowdown);
            due = (due + time).max(Instant::now());
            Timer::at(due).await;
        }
    }

    async fn generate(&self, request: &mut Request) -> Response {
        let header = |name: &str| {
            let value = request.header(name).map(|values| values.as_str());
            value.unwrap_or_default().to_owned()
        };
        let (attempt, caller_request) = (header(ATTEMPT_HEADER), header(CALLER_REQUEST_HEADER));
        let generation: GenerateRequest = match read_json(request).await {
            Ok(generation) => generation,
            Err(response) => return response,
        };
        if let Some(rejection) = self.rejection(&generation) {
            return rejection;
        }
        let (sender, body) = stream_body();
        let sequence = Sequence::new(&attempt, &caller_request, &generation, sender);
        self.batch.borrow_mut().enqueue(sequence);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header(ATTEMPT_HEADER, attempt.as_str());
        response
    }

    fn rejection(&self, generation: &GenerateRequest) -> Option<Response> {
        if self.phase.get() != Phase::Live {
            let is_late = |since: Instant| since.elapsed() > LEAVING_GRACE;
            if self.leaving_since.get().is_some_and(is_late) {
                self.ledger.borrow_mut().new_work_while_leaving += 1;
            }
            return Some(reject(StatusCode::ServiceUnavailable, CODE_LEAVING));
        }
        if generation.model != self.arguments.model {
            return Some(reject(StatusCode::NotFound, "unknown_model"));
        }
        if !generation.stream {
            return Some(bad_request("stream_only", "this engine answers as a stream only"));
        }
        if self.version.get().is_none() {
            return Some(reject(StatusCode::ServiceUnavailable, "no_weights"));
        }
        if self.batch.borrow().waiting() >= self.arguments.max_waiting {
            return Some(reject(StatusCode::TooManyRequests, CODE_FULL));
        }
        None
    }

    async fn execute_command(&self, command: EngineCommand) -> Response {
        if command.fence < self.fence.get() {
            return reject(StatusCode::Conflict, CODE_FENCED);
        }
        self.fence.set(command.fence);
        match command.action {
            CommandAction::LoadVersion { version } => self.load(command.fence, version).await,
            CommandAction::LoadAdapter { .. } | CommandAction::ChangeRole { .. } => {
                self.command_response()
            }
        }
    }

    /// Fetches a weight version from the store and swaps it in; generation pauses only for the swap.
    async fn load(&self, fence: u64, version: u64) -> Response {
        if let Some(platform) = self.arguments.platform {
            let path = format!("/weights/{}/{version}", self.arguments.model);
            let fetched: anyhow::Result<serde_json::Value> =
                get_json(&self.client, platform, &path).await;
            if let Err(error) = fetched {
                log::warn!("event=load_failed version={version} error={error:?}");
                return reject(StatusCode::BadGateway, "store_failed");
            }
        }
        if fence < self.fence.get() {
            return reject(StatusCode::Conflict, CODE_FENCED);
        }
        self.swapping.set(true);
        Timer::after(SWAP_TIME).await;
        self.swapping.set(false);
        let mut faults = self.faults.get();
        if faults.failing_loads > 0 {
            faults.failing_loads -= 1;
            self.faults.set(faults);
            self.version.set(None);
            self.batch.borrow_mut().abort_all(&mut self.ledger.borrow_mut().runs);
            return reject(StatusCode::InternalServerError, "swap_failed");
        }
        self.version.set(Some(version));
        self.reported.borrow_mut().version = Some(version);
        log::info!("event=version_loaded version={version}");
        self.command_response()
    }

    fn command_response(&self) -> Response {
        let version = self.version.get();
        json_response(StatusCode::Ok, &CommandResponse { version })
    }
}

fn reject(status: StatusCode, code: &str) -> Response {
    error_response(status, code, code.replace('_', " "), Outcome::NotRun)
}
