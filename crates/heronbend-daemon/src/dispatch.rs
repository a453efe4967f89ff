//! Request dispatch: backend selection, attempts, retries and outcome classification.
//!
//! Each sending thread has its own [`Dispatcher`]. Before every selection it refreshes its router
//! from the published [`BackendTable`](crate::shared::BackendTable), so leaving backends get no new
//! requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::admission::{backoff, RetryBudget};
use heronbend::external::engine::{ATTEMPT_HEADER, CALLER_REQUEST_HEADER, CODE_LEAVING};
use heronbend::lifecycle::{Backend, BackendName, BackendPhase, Phase, Signal, SignalSource};
use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::Fingerprint;
use heronbend::routing::{Query, RequestOutcome, RouteError, Router};
use heronbend::settings::policy::PoolPolicy;
use heronbend::Moment;
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::{
    Client, ClientError, ClientResponse, ErrorBody, HeadError, Outcome, OUTCOME_HEADER,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use smol::Timer;
use thiserror::Error;

use crate::quarantine::Quarantine;
use crate::shared::{BackendsInput, Shared};
use crate::tasks::Executor;

/// Maximum size of an application server's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Interval at which a request retries selection while no backend has a free slot.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(2);
const SECOND: Duration = Duration::from_secs(1);

/// Errors of dispatching a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DispatchError {
    /// No backend of the pool is live, or none has the requested weight version.
    #[error("no back end of pool {0} is available")]
    NoBackend(String),
    /// Every backend of the pool is at its in-flight limit.
    #[error("every back end of pool {0} is at its limit")]
    Full(String),
    /// Every attempt was rejected or could not be delivered; the request did not run.
    #[error("no back end took the request: {0}")]
    NotRun(String),
    /// Requests with the same fingerprint crashed backends; holds the time until a retry is
    /// allowed.
    #[error("requests like this one ended the back ends that ran them")]
    Quarantined(Duration),
    /// A backend may have run the request, entirely or in part.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

impl DispatchError {
    /// Returns the outcome to report to the caller.
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
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Caller name and the caller's request id, sent as `CALLER_REQUEST_HEADER`.
    pub caller_request: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request belongs to an accepted step, so that it has to run in the end. Crashes of
    /// backends are not held against it.
    pub is_owed: bool,
}

impl ApplicationRequest {
    /// Returns the fingerprint that identifies repetitions of this request.
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

/// A fully read response of an application server.
#[derive(Debug, Clone)]
pub struct ApplicationResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `content-type` header; empty if absent.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Failure of a single attempt.
pub enum AttemptFailure {
    /// The request did not run.
    NotRun(String),
    /// The connection was lost before the response was complete; the request may have run.
    ConnectionBroken(String),
    /// Any other failure after which the request may have run.
    Unknown(String),
}

/// Sends requests on behalf of one thread. Clones share all state.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Rc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    executor: Executor,
    client: Client,
    router: RefCell<Router>,
    generation: Cell<u64>,
    budget: RefCell<RetryBudget>,
    quarantine: Quarantine,
    random: RefCell<SmallRng>,
}

/// A selected backend with one in-flight request reserved on it.
///
/// Dropping the value without calling [`finish`](Self::finish) records a cancelled request.
pub struct SelectedBackend {
    dispatcher: Dispatcher,
    /// The selected backend.
    pub backend: Backend,
    outcome: RequestOutcome,
}

impl SelectedBackend {
    /// Releases the backend and records the outcome of the attempt.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SelectedBackend {
    fn drop(&mut self) {
        let inner = &self.dispatcher.inner;
        let mut router = inner.router.borrow_mut();
        router.finished(inner.shared.now(), &self.backend, self.outcome);
    }
}

/// An admitted attempt. If it is a probe, it is returned on drop unless a backend may have run it.
pub struct AdmittedAttempt {
    dispatcher: Dispatcher,
    probe: Option<Fingerprint>,
    may_have_run: bool,
}

impl AdmittedAttempt {
    /// Records that the attempt is about to be sent. If its outcome stays unknown, it may have run.
    pub fn note_start(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the backend did not run the attempt.
    pub fn note_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for AdmittedAttempt {
    fn drop(&mut self) {
        if let Some(request) = self.probe.filter(|_| !self.may_have_run) {
            let inner = &self.dispatcher.inner;
            inner.quarantine.return_probe(inner.shared.now(), request);
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without backends; the first selection loads them.
    pub fn new(shared: Arc<Shared>, executor: Executor) -> Self {
        let seed = shared.unique_number();
        let zone = shared.identity.zone.clone();
        Self {
            inner: Rc::new(Inner {
                executor,
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

    /// Returns the state shared by all threads.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.inner.shared
    }

    /// Returns the number of free slots in a pool on engines with at least `min_version`.
    ///
    /// If there are none, fresh load reports are requested.
    pub fn free_slots(&self, pool: &PoolPolicy, min_version: Option<u64>) -> usize {
        self.refresh();
        let query = Query {
            pool: &pool.name,
            max_in_flight: pool.max_in_flight,
            prefix: None,
            min_version,
            exclude: &[],
        };
        let free_slots = self.inner.router.borrow().free_slots(self.inner.shared.now(), &query);
        if free_slots == 0 && min_version.is_some() {
            self.inner.shared.request_reports();
        }
        free_slots
    }

    /// Selects a backend, waiting up to the pool's recovery window for a free slot.
    pub async fn select_backend(
        &self,
        pool: &PoolPolicy,
        prefix: Option<u64>,
        min_version: Option<u64>,
        tried: &[BackendName],
    ) -> Result<SelectedBackend, DispatchError> {
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
            let selected = self.inner.router.borrow_mut().choose(self.inner.shared.now(), &query);
            let error = match selected {
                Ok(backend) => {
                    return Ok(SelectedBackend {
                        dispatcher: self.clone(),
                        backend,
                        outcome: RequestOutcome::Cancelled,
                    });
                }
                Err(RouteError::NoBackend) => DispatchError::NoBackend(pool.name.clone()),
                Err(RouteError::Full) => DispatchError::Full(pool.name.clone()),
            };
            if Instant::now() >= window_end {
                return Err(error);
            }
            Timer::after(RECOVERY_POLL_INTERVAL).await;
        }
    }

    /// Withdraws a retry from the budget and waits for the backoff; returns `false` if the budget
    /// is empty.
    pub async fn prepare_retry(&self, retry: u32) -> bool {
        let metrics = &self.inner.shared.metrics;
        if !self.inner.budget.borrow_mut().withdraw() {
            metrics.retries_withheld.inc();
            return false;
        }
        metrics.retries.inc();
        let delay = backoff(retry, &mut *self.inner.random.borrow_mut());
        Timer::after(delay).await;
        true
    }

    /// Deposits the retry ratio of a new request into the retry budget.
    pub fn record_new_request(&self) {
        let settings = self.inner.shared.settings.load();
        let ratio = settings.as_ref().map_or(0.0, |active| active.policy.retry_budget);
        self.inner.budget.borrow_mut().deposit(ratio);
    }

    /// Checks an attempt of a request against the quarantine. An owed request is always admitted.
    ///
    /// # Errors
    ///
    /// Returns [`DispatchError::Quarantined`] if requests with its fingerprint crashed backends.
    pub fn admit(
        &self,
        is_owed: bool,
        request: impl FnOnce() -> Fingerprint,
    ) -> Result<AdmittedAttempt, DispatchError> {
        let quarantine = &self.inner.quarantine;
        let admitted =
            if is_owed { Ok(None) } else { quarantine.admit(self.inner.shared.now(), request) };
        let probe =
            admitted.map_err(|rejection| DispatchError::Quarantined(rejection.retry_after))?;
        Ok(AdmittedAttempt { dispatcher: self.clone(), probe, may_have_run: false })
    }

    /// Records a complete response, which clears the request's fingerprint in the quarantine.
    pub fn note_response(&self, request: impl FnOnce() -> Fingerprint) {
        self.inner.quarantine.note_response(request);
    }

    /// Records a failed attempt in the quarantine and returns the failure's message. The backend is
    /// probed in the background, so that the request does not wait. Without a `request` to hold it
    /// against, the backend is only probed.
    pub fn record_failure(
        &self,
        failure: AttemptFailure,
        request: Option<Fingerprint>,
        backend: &Backend,
    ) -> String {
        match failure {
            AttemptFailure::NotRun(message) | AttemptFailure::Unknown(message) => message,
            AttemptFailure::ConnectionBroken(message) => {
                let now = self.inner.shared.now();
                let quarantine = &self.inner.quarantine;
                let run = match request {
                    Some(request) => quarantine.note_broken_connection(now, request, backend),
                    None => quarantine.run_id(backend),
                };
                self.probe_in_background(now, backend.clone(), run);
                message
            }
        }
    }

    fn probe_in_background(&self, now: Moment, backend: Backend, run: String) {
        let dispatcher = self.clone();
        let probing = async move { dispatcher.inner.quarantine.probe(now, &backend, &run).await };
        self.inner.executor.spawn(probing).detach();
    }

    /// Sends one attempt and waits for the response head; returns the reply and the attempt id.
    pub async fn attempt(
        &self,
        backend: &Backend,
        mut request: Request,
        caller_request: &str,
        timeout: Duration,
    ) -> Result<(ClientResponse, String), AttemptFailure> {
        let shared = &self.inner.shared;
        shared.metrics.attempts.inc();
        let attempt = format!("{:016x}", shared.unique_number());
        request.insert_header(ATTEMPT_HEADER, attempt.as_str());
        request.insert_header(CALLER_REQUEST_HEADER, caller_request);
        let reply = self.inner.client.send(backend.address, request, timeout).await;
        let reply = reply.map_err(|error| classify_error(&error))?;
        if reply.header(OUTCOME_HEADER) == Some(Outcome::NotRun.as_str()) {
            return Err(self.rejection(backend, reply).await);
        }
        if reply.header(ATTEMPT_HEADER).is_some_and(|echoed| echoed != attempt) {
            shared.metrics.foreign_answers.inc();
            let message = "the back end answered another attempt".to_owned();
            return Err(AttemptFailure::Unknown(message));
        }
        Ok((reply, attempt))
    }

    /// Sends a request to a pool, with retries, and reads the full response.
    pub async fn send_to_application(
        &self,
        pool: &PoolPolicy,
        request: &ApplicationRequest,
    ) -> Result<ApplicationResponse, DispatchError> {
        self.record_new_request();
        let deadline = Instant::now() + pool.request_timeout;
        let mut tried = Vec::new();
        let mut last_error = None;
        for attempt_number in 1..=pool.max_attempts {
            if attempt_number > 1 && !self.prepare_retry(attempt_number - 1).await {
                break;
            }
            let mut admitted = match self.admit(request.is_owed, || request.fingerprint()) {
                Ok(admitted) => admitted,
                Err(error) => return Err(last_error.unwrap_or(error)),
            };
            let selected = match self.select_backend(pool, None, None, &tried).await {
                Ok(selected) => selected,
                Err(error) => return Err(last_error.unwrap_or(error)),
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let name = selected.backend.name.clone();
            admitted.note_start();
            match self.attempt_full_response(&selected.backend, request, remaining).await {
                Ok(response) => {
                    let failed = response.status.is_server_error();
                    if !failed {
                        self.note_response(|| request.fingerprint());
                    }
                    selected.finish(if failed {
                        RequestOutcome::Failed
                    } else {
                        RequestOutcome::Answered
                    });
                    return Ok(response);
                }
                Err(AttemptFailure::NotRun(message)) => {
                    admitted.note_not_run();
                    selected.finish(RequestOutcome::Failed);
                    last_error = last_error.or(Some(DispatchError::NotRun(message)));
                }
                Err(
                    failure @ (AttemptFailure::ConnectionBroken(_) | AttemptFailure::Unknown(_)),
                ) => {
                    let backend = selected.backend.clone();
                    selected.finish(RequestOutcome::Failed);
                    let blamed = (!request.is_owed).then(|| request.fingerprint());
                    let message = self.record_failure(failure, blamed, &backend);
                    last_error = Some(DispatchError::Unknown(message));
                    if !request.idempotent {
                        break;
                    }
                }
            }
            tried.push(name);
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(last_error.unwrap_or_else(|| DispatchError::NoBackend(pool.name.clone())))
    }

    async fn attempt_full_response(
        &self,
        backend: &Backend,
        request: &ApplicationRequest,
        timeout: Duration,
    ) -> Result<ApplicationResponse, AttemptFailure> {
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
            let body = reply
                .read_full(MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| classify_error(&error))?;
            Ok(ApplicationResponse { status, content_type, body })
        };
        futures_lite::FutureExt::or(read, async {
            Timer::after(timeout).await;
            Err(AttemptFailure::Unknown("no whole answer in time".to_owned()))
        })
        .await
    }

    /// Converts a reply with the outcome `not run` to a failure.
    async fn rejection(&self, backend: &Backend, reply: ClientResponse) -> AttemptFailure {
        let body = reply.read_full(MAX_RESPONSE_BYTES).await.unwrap_or_default();
        let code = serde_json::from_slice::<ErrorBody>(&body).map(|body| body.error.code);
        let code = code.unwrap_or_else(|_| "refused".to_owned());
        if code == CODE_LEAVING {
            self.report_leaving(backend);
        }
        AttemptFailure::NotRun(code)
    }

    /// Marks a backend as leaving after it said so itself, and reports this to the backends task.
    fn report_leaving(&self, backend: &Backend) {
        self.inner.router.borrow_mut().mark_leaving(&backend.name);
        let stated = BackendPhase {
            name: backend.name.clone(),
            incarnation: backend.incarnation,
            phase: Phase::Leaving,
        };
        let source = SignalSource::BackendReport;
        let input = BackendsInput::Signal(Signal { source, stated });
        let _ = self.inner.shared.backends_channel.sender.try_send(input);
    }

    /// Updates the router if a newer backend table has been published.
    fn refresh(&self) {
        let table = self.inner.shared.backends.load();
        if table.generation == self.inner.generation.get() {
            return;
        }
        self.inner.generation.set(table.generation);
        let mut router = self.inner.router.borrow_mut();
        let subset = || table.backends.iter().filter(|entry| entry.in_subset);
        router.update(subset().map(|entry| (entry.backend.clone(), entry.phase)));
        for entry in subset() {
            router.report(&entry.backend.name, entry.report);
        }
    }
}

/// Returns the `retry-after` delay for a dispatch error.
pub fn retry_after(error: &DispatchError) -> Duration {
    match error {
        DispatchError::Full(_) => SECOND,
        DispatchError::Quarantined(retry_after) => *retry_after,
        DispatchError::NoBackend(_) | DispatchError::NotRun(_) | DispatchError::Unknown(_) => {
            SECOND * 2
        }
    }
}

fn classify_error(error: &ClientError) -> AttemptFailure {
    let message = error.to_string();
    match error {
        error if error.is_not_sent() => AttemptFailure::NotRun(message),
        ClientError::Exchange(_) | ClientError::Head(HeadError::Closed | HeadError::Io(_)) => {
            AttemptFailure::ConnectionBroken(message)
        }
        _ => AttemptFailure::Unknown(message),
    }
}
