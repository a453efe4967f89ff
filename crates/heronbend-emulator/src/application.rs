//! Stand-ins for application servers and scorers.
//!
//! An answer names the path and the caller's nonce, so that the load can tell its own answer from
//! anybody else's.

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
use crate::registration::keep_registered;
use crate::service::{read_json, serve, MAX_BODY_BYTES};

/// Work that arrives this long after a server began to leave is noted in its ledger.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Flags of `app` and `scorer`.
#[derive(Args)]
pub struct ApplicationArguments {
    /// Name in the list of machines.
    #[arg(long)]
    name: String,
    /// Pool in the settings.
    #[arg(long)]
    pool: String,
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The platform.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Zone.
    #[arg(long, default_value = "shawinigan")]
    zone: String,
    /// Time to serve a request, in microseconds.
    #[arg(long, default_value_t = 0)]
    service_micros: u64,
    /// Keep no ledger, for measuring speed.
    #[arg(long)]
    no_ledger: bool,
}

/// What the process stands in for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// An application server.
    Serve,
    /// A scorer of samples.
    Score,
}

/// A sample to be scored.
#[derive(Serialize, Deserialize)]
pub struct ScoreRequest {
    /// Its text.
    pub text: String,
}

/// The answer of an application server.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplicationAnswer {
    /// Path of the request.
    pub path: String,
    /// Nonce of the caller.
    pub nonce: String,
    /// Number of bytes in the request's body.
    pub received: usize,
    /// The server.
    pub server: String,
}

/// Header with which a caller marks its request.
pub const NONCE_HEADER: &str = "x-nonce";

/// Faults of an application server, set by `POST /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ApplicationFaults {
    /// Its process ends when it begins a request with this path.
    pub ends_on: Option<String>,
}

struct Server {
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

/// Runs the stand-in until the process is ended.
pub fn run(arguments: ApplicationArguments, duty: Duty) -> anyhow::Result<()> {
    serve(arguments.listen, move |executor, address| {
        let server = Rc::new(Server {
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
            executor.spawn(keep_registered(platform, machine, phase)).detach();
        }
        Ok(move |request| handle(server.clone(), request, duty))
    })
}

async fn handle(server: Rc<Server>, mut request: Request, duty: Duty) -> Response {
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
        _ if server.phase.get() != Phase::Live => server.refuse_leaving(),
        (Method::Post, "/score") if duty == Duty::Score => {
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

impl Server {
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

    fn refuse_leaving(&self) -> Response {
        let late = |since: Instant| since.elapsed() > LEAVING_GRACE;
        if self.leaving_since.get().is_some_and(late) {
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
        let execution = Execution {
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
            self.ledger.borrow_mut().executions.push(execution);
        }
        self.running.set(self.running.get() + 1);
        if !self.service_time.is_zero() {
            Timer::after(self.service_time).await;
        }
        self.running.set(self.running.get() - 1);
        let answer =
            ApplicationAnswer { path, nonce, received: body.len(), server: self.name.clone() };
        let mut response = json_response(StatusCode::Ok, &answer);
        response.insert_header(ATTEMPT_HEADER, attempt.as_str());
        response
    }
}
