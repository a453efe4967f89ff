//! Emulated application servers and scorers.
//!
//! Each response echoes the path and the caller's nonce, so that the load generator detects responses
//! delivered to the wrong caller.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use heronbend::external::engine::{
    EngineStatus, ATTEMPT_HEADER, CALLER_REQUEST_HEADER, CODE_LEAVING,
};
use heronbend::external::platform::{Machine, MachineKind};
use heronbend::identity::Incarnation;
use heronbend::lifecycle::Phase;
use heronbend_http::http_types::{Method, Request, Response, StatusCode};
use heronbend_http::{error_response, json_response, read_body, Outcome};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::ledger::{Execution, Ledger};
use crate::model_text::reward_milli;
use crate::registration::run_registration;
use crate::service::{read_json, serve, MAX_BODY_BYTES};

/// Requests received later than this after a server started leaving are counted in its ledger.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Flags of `app` and `scorer`.
#[derive(Args)]
pub struct ApplicationArguments {
    /// Name in the machine list.
    #[arg(long)]
    name: String,
    /// Name of the pool in the settings.
    #[arg(long)]
    pool: String,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the platform; without it the server does not register.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Zone of the server.
    #[arg(long, default_value = "shawinigan")]
    zone: String,
    /// Service time of a request, in microseconds.
    #[arg(long, default_value_t = 0)]
    service_micros: u64,
    /// Disable the ledger.
    #[arg(long)]
    no_ledger: bool,
}

/// Role of the emulated server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Application server.
    Serve,
    /// Scorer of samples.
    Score,
}

/// Body of `POST /score`.
#[derive(Serialize, Deserialize)]
pub struct ScoreRequest {
    /// Text of the sample.
    pub text: String,
}

/// Body of an application server's response.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplicationResponse {
    /// Path of the request.
    pub path: String,
    /// Value of the request's [`NONCE_HEADER`].
    pub nonce: String,
    /// Number of bytes in the request's body.
    pub received: usize,
    /// Name of the server.
    pub server: String,
}

/// Request header whose value the response echoes.
pub const NONCE_HEADER: &str = "x-nonce";

/// Faults of an application server, set by `POST /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ApplicationFaults {
    /// The process exits when it receives a request with this path.
    pub ends_on: Option<String>,
}

struct ApplicationServer {
    name: String,
    faults: RefCell<ApplicationFaults>,
    incarnation: Incarnation,
    phase: Rc<Cell<Phase>>,
    leaving_since: Cell<Option<Instant>>,
    running: Cell<u32>,
    service_time: Duration,
    keeps_ledger: bool,
    ledger: RefCell<Ledger>,
}

/// Runs the server until the process exits.
pub fn run(arguments: ApplicationArguments, role: Role) -> anyhow::Result<()> {
    serve(arguments.listen, move |executor, address| {
        let server = Rc::new(ApplicationServer {
            name: arguments.name.clone(),
            faults: RefCell::default(),
            incarnation: Incarnation::starting_now(),
            phase: Rc::new(Cell::new(Phase::Live)),
            leaving_since: Cell::new(None),
            running: Cell::new(0),
            service_time: Duration::from_micros(arguments.service_micros),
            keeps_ledger: !arguments.no_ledger,
            ledger: RefCell::default(),
        });
        log::info!("event=started role=application name={} address={address}", server.name);
        if let Some(platform) = arguments.platform {
            let machine = Machine {
                name: arguments.name,
                kind: MachineKind::Application,
                incarnation: server.incarnation,
                pool: arguments.pool,
                address,
                peer_address: None,
                zone: arguments.zone,
                region: "mauricie".into(),
                phase: Phase::Live,
            };
            let phase = server.phase.clone();
            executor.spawn(run_registration(platform, machine, phase)).detach();
        }
        Ok(move |request| handle(server.clone(), request, role))
    })
}

async fn handle(server: Rc<ApplicationServer>, mut request: Request, role: Role) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Get, "/ledger") => json_response(StatusCode::Ok, &*server.ledger.borrow()),
        (Method::Get, "/status") => json_response(StatusCode::Ok, &server.status()),
        (Method::Post, "/leave") => {
            server.phase.set(Phase::Leaving);
            server.leaving_since.set(Some(Instant::now()));
            Response::new(StatusCode::NoContent)
        }
        (Method::Post, "/faults") => match read_json(&mut request).await {
            Ok(faults) => {
                server.faults.replace(faults);
                Response::new(StatusCode::NoContent)
            }
            Err(response) => response,
        },
        (_, path) if server.faults.borrow().ends_on.as_deref() == Some(path) => {
            log::info!("event=ended_by_fault path={path}");
            std::process::exit(1)
        }
        _ if server.phase.get() != Phase::Live => server.reject_while_leaving(),
        (Method::Post, "/score") if role == Role::Score => {
            match read_json::<ScoreRequest>(&mut request).await {
                Ok(sample) => {
                    let reward = reward_milli(&sample.text);
                    json_response(StatusCode::Ok, &serde_json::json!({ "reward_milli": reward }))
                }
                Err(response) => response,
            }
        }
        _ => server.execute(request).await,
    }
}

impl ApplicationServer {
    fn status(&self) -> EngineStatus {
        EngineStatus {
            incarnation: self.incarnation,
            phase: self.phase.get(),
            running: self.running.get(),
            waiting: 0,
            model: String::new(),
            version: None,
        }
    }

    fn reject_while_leaving(&self) -> Response {
        let is_late = |since: Instant| since.elapsed() > LEAVING_GRACE;
        if self.leaving_since.get().is_some_and(is_late) {
            self.ledger.borrow_mut().new_work_while_leaving += 1;
        }
        error_response(
            StatusCode::ServiceUnavailable,
            CODE_LEAVING,
            "the server is leaving",
            Outcome::NotRun,
        )
    }

    async fn execute(&self, mut request: Request) -> Response {
        let header = |name: &str| {
            let value = request.header(name).map(|values| values.as_str());
            value.unwrap_or_default().to_owned()
        };
        let attempt = header(ATTEMPT_HEADER);
        let nonce = header(NONCE_HEADER);
        let key = header("idempotency-key");
        let record = Execution {
            attempt: attempt.clone(),
            caller_request: header(CALLER_REQUEST_HEADER),
            idempotency_key: (!key.is_empty()).then_some(key),
        };
        let path = request.url().path().to_owned();
        let body = match read_body(&mut request, MAX_BODY_BYTES, Duration::from_secs(10)).await {
            Ok(body) => body,
            Err(error) => return error.response(),
        };
        if self.keeps_ledger {
            self.ledger.borrow_mut().executions.push(record);
        }
        self.running.set(self.running.get() + 1);
        if !self.service_time.is_zero() {
            Timer::after(self.service_time).await;
        }
        self.running.set(self.running.get() - 1);
        let payload =
            ApplicationResponse { path, nonce, received: body.len(), server: self.name.clone() };
        let mut response = json_response(StatusCode::Ok, &payload);
        response.insert_header(ATTEMPT_HEADER, attempt.as_str());
        response
    }
}
