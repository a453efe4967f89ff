//! Sends requests to back ends: choice, attempts, retries, and what is known of each outcome.
//!
//! One [`Dispatcher`] for each thread that sends. It takes the published table over when that has
//! changed, so that a leaving back end gets nothing new from the next choice on.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::admission::{backoff, RetryBudget};
use heronbend::external::engine::{ATTEMPT_HEADER, CALLER_REQUEST_HEADER, CODE_LEAVING};
use heronbend::lifecycle::{Backend, BackendName, BackendPhase, Phase, Signal, SignalSource};
use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::Fingerprint;
use heronbend::routing::{Query, RouteRefusal, Router, Verdict};
use heronbend::settings::policy::PoolPolicy;
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::{Client, ClientError, ErrorBody, HeadError, Outcome, Reply, OUTCOME_HEADER};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use smol::Timer;
use thiserror::Error;

use crate::quarantine::Quarantine;
use crate::shared::{BackendsInput, Shared};

/// Largest answer of an application server in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Interval at which a request that found the pool full looks again.
const RECOVERY_POLL: Duration = Duration::from_millis(2);
const SECOND: Duration = Duration::from_secs(1);

/// Why a request got no answer from a back end.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DispatchError {
    /// No back end of the pool is live, or none has the version asked for.
    #[error("no back end of pool {0} is available")]
    NoBackend(String),
    /// Every back end of the pool is at its limit.
    #[error("every back end of pool {0} is at its limit")]
    Full(String),
    /// Every attempt was refused or never arrived; nothing was run.
    #[error("no back end took the request: {0}")]
    NotRun(String),
    /// Requests like this one ended the back ends that ran them: it is not sent to any for so long.
    #[error("requests like this one ended the back ends that ran them")]
    Quarantined(Duration),
    /// A back end may have run the request, or part of it.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

impl DispatchError {
    /// Whether the request was run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unknown(_) => Outcome::Unknown,
            Self::NoBackend(_) | Self::Full(_) | Self::NotRun(_) | Self::Quarantined(_) => {
                Outcome::NotRun
            }
        }
    }
}

/// A request to an application server.
#[derive(Debug, Clone)]
pub struct ApplicationRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// The caller and its identifier of the request.
    pub caller_request: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl ApplicationRequest {
    /// What tells that the request has come before.
    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&FingerprintInput {
            method: self.method.as_ref(),
            host: "",
            target: &self.target,
            tenant: None,
            body: &self.body,
        })
    }
}

/// A whole answer of an application server.
#[derive(Debug, Clone)]
pub struct ApplicationAnswer {
    /// Status.
    pub status: StatusCode,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// How one attempt failed.
pub enum AttemptFailure {
    /// Nothing was run.
    NotRun(String),
    /// The connection ended before the answer had come: something may have been run.
    BrokenOff(String),
    /// Something may have been run.
    Unknown(String),
}

/// Sends requests for one thread. Clones share everything.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Rc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    client: Client,
    router: RefCell<Router>,
    generation: Cell<u64>,
    budget: RefCell<RetryBudget>,
    quarantine: Quarantine,
    random: RefCell<SmallRng>,
}

/// A chosen back end; dropping it without a verdict counts as abandoned.
pub struct Chosen {
    dispatcher: Dispatcher,
    /// The back end.
    pub backend: Backend,
    verdict: Verdict,
}

impl Chosen {
    /// Notes how the attempt ended.
    pub fn conclude(mut self, verdict: Verdict) {
        self.verdict = verdict;
    }
}

impl Drop for Chosen {
    fn drop(&mut self) {
        let inner = &self.dispatcher.inner;
        let mut router = inner.router.borrow_mut();
        router.finished(inner.shared.now(), &self.backend, self.verdict);
    }
}

impl Dispatcher {
    /// A dispatcher that knows no back end yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        let seed = shared.unique_number();
        let zone = shared.identity.zone.clone();
        Self {
            inner: Rc::new(Inner {
                client: Client::new(),
                router: RefCell::new(Router::new(&zone, seed)),
                generation: Cell::new(0),
                budget: RefCell::default(),
                quarantine: Quarantine::default(),
                random: RefCell::new(SmallRng::seed_from_u64(seed)),
                shared,
            }),
        }
    }

    /// What all threads share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.inner.shared
    }

    /// Places left in a pool for this thread, at engines that have `min_version`.
    pub fn free_places(&self, pool: &PoolPolicy, min_version: Option<u64>) -> usize {
        self.refresh();
        let query = Query {
            pool: &pool.name,
            max_in_flight: pool.max_in_flight,
            prefix: None,
            min_version,
            exclude: &[],
        };
        let places = self.inner.router.borrow().free_places(self.inner.shared.now(), &query);
        if places == 0 && min_version.is_some() {
            self.inner.shared.want_reports();
        }
        places
    }

    /// Chooses a back end, waiting up to the pool's recovery window for a place.
    pub async fn choose(
        &self,
        pool: &PoolPolicy,
        prefix: Option<u64>,
        min_version: Option<u64>,
        tried: &[BackendName],
    ) -> Result<Chosen, DispatchError> {
        let window_end = Instant::now() + pool.recovery_window;
        loop {
            self.refresh();
            let query = Query {
                pool: &pool.name,
                max_in_flight: pool.max_in_flight,
                prefix: prefix.filter(|_| pool.prefix_affinity),
                min_version,
                exclude: tried,
            };
            let chosen = self.inner.router.borrow_mut().choose(self.inner.shared.now(), &query);
            let refusal = match chosen {
                Ok(backend) => {
                    return Ok(Chosen {
                        dispatcher: self.clone(),
                        backend,
                        verdict: Verdict::Abandoned,
                    });
                }
                Err(RouteRefusal::NoBackend) => DispatchError::NoBackend(pool.name.clone()),
                Err(RouteRefusal::Full) => DispatchError::Full(pool.name.clone()),
            };
            if Instant::now() >= window_end {
                return Err(refusal);
            }
            Timer::after(RECOVERY_POLL).await;
        }
    }

    /// Waits before another attempt; whether the retry budget allows it.
    pub async fn may_retry(&self, retry: u32) -> bool {
        let metrics = &self.inner.shared.metrics;
        if !self.inner.budget.borrow_mut().withdraw() {
            metrics.retries_withheld.inc();
            return false;
        }
        metrics.retries.inc();
        let pause = backoff(retry, &mut *self.inner.random.borrow_mut());
        Timer::after(pause).await;
        true
    }

    /// Notes a fresh request, which pays for a share of a retry.
    pub fn note_fresh(&self) {
        let settings = self.inner.shared.settings.load();
        let share = settings.as_ref().map_or(0.0, |known| known.policy.retry_budget);
        self.inner.budget.borrow_mut().deposit(share);
    }

    /// Whether a request may be sent to a back end, for what is known of requests like it.
    pub fn admit(&self, request: impl FnOnce() -> Fingerprint) -> Result<(), DispatchError> {
        let admitted = self.inner.quarantine.admit(self.inner.shared.now(), request);
        admitted.map_err(|refused| DispatchError::Quarantined(refused.retry_after))
    }

    /// Notes a whole answer to a request.
    pub fn note_answer(&self, request: impl FnOnce() -> Fingerprint) {
        self.inner.quarantine.note_answer(request);
    }

    /// Notes how an attempt failed; the message that says it.
    pub async fn note_failure(
        &self,
        failure: AttemptFailure,
        request: Fingerprint,
        backend: &Backend,
    ) -> String {
        match failure {
            AttemptFailure::NotRun(message) | AttemptFailure::Unknown(message) => message,
            AttemptFailure::BrokenOff(message) => {
                let now = self.inner.shared.now();
                self.inner.quarantine.note_break(now, request, backend).await;
                message
            }
        }
    }

    /// Sends one attempt and waits for the head of its answer.
    pub async fn attempt(
        &self,
        backend: &Backend,
        mut request: Request,
        caller_request: &str,
        timeout: Duration,
    ) -> Result<(Reply, String), AttemptFailure> {
        let shared = &self.inner.shared;
        shared.metrics.attempts.inc();
        let attempt = format!("{:016x}", shared.unique_number());
        request.insert_header(ATTEMPT_HEADER, attempt.as_str());
        request.insert_header(CALLER_REQUEST_HEADER, caller_request);
        let reply = self.inner.client.send(backend.address, request, timeout).await;
        let reply = reply.map_err(|error| classify(&error))?;
        if reply.header(OUTCOME_HEADER) == Some(Outcome::NotRun.as_str()) {
            return Err(self.refused(backend, reply).await);
        }
        if reply.header(ATTEMPT_HEADER).is_some_and(|echoed| echoed != attempt) {
            shared.metrics.foreign_answers.inc();
            let message = "the back end answered another attempt".to_owned();
            return Err(AttemptFailure::Unknown(message));
        }
        Ok((reply, attempt))
    }

    /// Sends a request to a pool and reads its whole answer.
    pub async fn send_to_application(
        &self,
        pool: &PoolPolicy,
        request: &ApplicationRequest,
    ) -> Result<ApplicationAnswer, DispatchError> {
        self.note_fresh();
        let deadline = Instant::now() + pool.request_timeout;
        let mut tried = Vec::new();
        let mut last = None;
        for number in 1..=pool.max_attempts {
            if number > 1 && !self.may_retry(number - 1).await {
                break;
            }
            if let Err(refusal) = self.admit(|| request.fingerprint()) {
                return Err(last.unwrap_or(refusal));
            }
            let chosen = match self.choose(pool, None, None, &tried).await {
                Ok(chosen) => chosen,
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            };
            let left = deadline.saturating_duration_since(Instant::now());
            let name = chosen.backend.name.clone();
            match self.exchange(&chosen.backend, request, left).await {
                Ok(answer) => {
                    let failed = answer.status.is_server_error();
                    if !failed {
                        self.note_answer(|| request.fingerprint());
                    }
                    chosen.conclude(if failed { Verdict::Failed } else { Verdict::Answered });
                    return Ok(answer);
                }
                Err(AttemptFailure::NotRun(message)) => {
                    chosen.conclude(Verdict::Failed);
                    last = last.or(Some(DispatchError::NotRun(message)));
                }
                Err(failure @ (AttemptFailure::BrokenOff(_) | AttemptFailure::Unknown(_))) => {
                    let backend = chosen.backend.clone();
                    chosen.conclude(Verdict::Failed);
                    let message = self.note_failure(failure, request.fingerprint(), &backend).await;
                    last = Some(DispatchError::Unknown(message));
                    if !request.repeatable {
                        break;
                    }
                }
            }
            tried.push(name);
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(last.unwrap_or_else(|| DispatchError::NoBackend(pool.name.clone())))
    }

    async fn exchange(
        &self,
        backend: &Backend,
        request: &ApplicationRequest,
        timeout: Duration,
    ) -> Result<ApplicationAnswer, AttemptFailure> {
        let url = Url::parse(&format!("http://{}{}", backend.address, request.target))
            .map_err(|error| AttemptFailure::NotRun(error.to_string()))?;
        let mut outgoing = Request::new(request.method, url);
        for (name, value) in &request.headers {
            outgoing.insert_header(name.as_str(), value.as_str());
        }
        outgoing.set_body(request.body.clone());
        let read = async {
            let (reply, _) =
                self.attempt(backend, outgoing, &request.caller_request, timeout).await?;
            let status = reply.status();
            let content_type = reply.header("content-type").unwrap_or_default().to_owned();
            let body = reply.read_all(MAX_ANSWER_BYTES).await.map_err(|error| classify(&error))?;
            Ok(ApplicationAnswer { status, content_type, body })
        };
        futures_lite::FutureExt::or(read, async {
            Timer::after(timeout).await;
            Err(AttemptFailure::Unknown("no whole answer in time".to_owned()))
        })
        .await
    }

    /// A back end says that it did not run the request.
    async fn refused(&self, backend: &Backend, reply: Reply) -> AttemptFailure {
        let body = reply.read_all(MAX_ANSWER_BYTES).await.unwrap_or_default();
        let code = serde_json::from_slice::<ErrorBody>(&body).map(|body| body.error.code);
        let code = code.unwrap_or_else(|_| "refused".to_owned());
        if code == CODE_LEAVING {
            self.note_leaving(backend);
        }
        AttemptFailure::NotRun(code)
    }

    /// The back end itself says that it leaves: the earliest sign there is.
    fn note_leaving(&self, backend: &Backend) {
        self.inner.router.borrow_mut().mark_leaving(&backend.name);
        let stated = BackendPhase {
            name: backend.name.clone(),
            incarnation: backend.incarnation,
            phase: Phase::Leaving,
        };
        let source = SignalSource::BackendReport;
        let input = BackendsInput::Signal(Signal { source, stated });
        let _ = self.inner.shared.backends_ring.sender.try_send(input);
    }

    /// Takes the published table over if it is newer.
    fn refresh(&self) {
        let table = self.inner.shared.backends.load();
        if table.generation == self.inner.generation.get() {
            return;
        }
        self.inner.generation.set(table.generation);
        let mut router = self.inner.router.borrow_mut();
        let subset = || table.backends.iter().filter(|known| known.in_subset);
        router.update(subset().map(|known| (known.backend.clone(), known.phase)));
        for known in subset() {
            router.report(&known.backend.name, known.report);
        }
    }
}

/// How long a refused caller should wait before it asks again.
pub fn retry_after(error: &DispatchError) -> Duration {
    match error {
        DispatchError::Full(_) => SECOND,
        DispatchError::Quarantined(retry_after) => *retry_after,
        DispatchError::NoBackend(_) | DispatchError::NotRun(_) | DispatchError::Unknown(_) => {
            SECOND * 2
        }
    }
}

fn classify(error: &ClientError) -> AttemptFailure {
    let message = error.to_string();
    match error {
        error if error.is_not_sent() => AttemptFailure::NotRun(message),
        ClientError::Exchange(_) | ClientError::Head(HeadError::Closed | HeadError::Io(_)) => {
            AttemptFailure::BrokenOff(message)
        }
        _ => AttemptFailure::Unknown(message),
    }
}
