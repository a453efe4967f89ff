//! Queues and refuses calls to services whose servers cannot run all of them.
//!
//! The decisions are in [`heronbend::admission`]. This module keeps their state for each service,
//! wakes waiting calls and logs what was decided. It is disabled without
//! [`AdmissionSettings`](crate::admission_settings::AdmissionSettings), and for services that have a
//! slot for each daemon: there each daemon can have a call in flight.

mod sharing;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::admission::adaptive_rate::Adjustment;
use heronbend::admission::call_queue::Call;
use heronbend::admission::call_queue::CallKey;
use heronbend::admission::call_queue::CallQueue;
use heronbend::admission::call_queue::Decision;
use heronbend::admission::call_queue::Outcome;
use heronbend::admission::call_queue::Refusal;
use heronbend::admission::AdaptiveRate;
use heronbend::admission::CallerAge;
use heronbend::admission::TenantKey;
use heronbend::Moment;
use smol::channel::bounded;
use smol::channel::Receiver;
use smol::channel::Sender;

use self::sharing::DemandMeter;
use crate::gateway::Gateway;
use crate::slot_queue;
use crate::wait;

/// How long the comparison of a service's slots with the number of daemons is reused.
const ENABLED_TTL: Duration = Duration::from_millis(500);
/// Minimum delay between two polls of a queue.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// A call of a client that asks to be sent to a service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Request id.
    pub id: String,
    /// Name of the route.
    pub route: String,
    /// Name of the tenant, if there is one.
    pub tenant: Option<String>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time that the caller still has.
    pub remaining: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Moment,
}

/// Queues of calls, by service.
#[derive(Default)]
pub struct CallAdmission {
    services: RefCell<HashMap<String, Rc<ServiceQueue>>>,
    ages: RefCell<HashMap<String, CallerAge>>,
    tenants: RefCell<HashMap<String, TenantKey>>,
    /// Number of waiting calls of each priority.
    waiting: RefCell<BTreeMap<u8, i64>>,
}

/// The calls to one service.
struct ServiceQueue {
    name: String,
    queue: RefCell<CallQueue>,
    /// Learned rate, which limits the queue.
    rate: RefCell<AdaptiveRate>,
    /// Where the outcome of each waiting call is sent.
    waiting: RefCell<HashMap<CallKey, Sender<Outcome>>>,
    /// Whether a task decides about the waiting calls.
    is_polling: Cell<bool>,
    /// Notified when the next call may be due earlier than before.
    changed: Event,
    /// Whether calls to the service are limited, and until when that holds.
    enabled: Cell<(bool, Moment)>,
    /// Rate at which callers ask, told to other daemons if the capacity is shared.
    demand: RefCell<DemandMeter>,
    /// Latency objective of the latest call.
    objective: Cell<Duration>,
    /// Whether the daemon takes part in sharing the capacity of the service.
    is_sharing: Cell<bool>,
}

impl CallAdmission {
    fn service(&self, name: &str) -> Rc<ServiceQueue> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let service = Rc::new(ServiceQueue {
            name: name.to_owned(),
            queue: RefCell::default(),
            rate: RefCell::default(),
            waiting: RefCell::default(),
            is_polling: Cell::new(false),
            changed: Event::new(),
            enabled: Cell::new((false, Moment::ZERO)),
            demand: RefCell::default(),
            objective: Cell::default(),
            is_sharing: Cell::new(false),
        });
        self.services.borrow_mut().insert(name.to_owned(), service.clone());
        service
    }

    /// Key of a tenant, or of the callers of a route without a tenant.
    fn tenant_key(&self, request: &CallRequest) -> TenantKey {
        let name = match &request.tenant {
            Some(tenant) => format!("tenant {tenant}"),
            None => format!("route {}", request.route),
        };
        let mut tenants = self.tenants.borrow_mut();
        let next = TenantKey(u32::try_from(tenants.len()).unwrap_or(u32::MAX));
        *tenants.entry(name).or_insert(next)
    }

    /// Changes the number of waiting calls of a priority by `difference`, and returns it.
    fn count_waiting(&self, priority: u8, difference: i64) -> i64 {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.entry(priority).or_default();
        *count += difference;
        *count
    }

    fn age(&self, now: Moment, request: &CallRequest) -> Duration {
        let mut ages = self.ages.borrow_mut();
        ages.entry(request.route.clone()).or_default().record(now, request.remaining)
    }
}

/// A call that may be sent. Reports what becomes of its attempts.
#[derive(Clone)]
pub struct AdmittedCall {
    /// How long it waited to be admitted.
    pub waited: Duration,
    /// `None` if the service is not limited.
    limited: Option<LimitedCall>,
}

#[derive(Clone)]
struct LimitedCall {
    gateway: Rc<Gateway>,
    service: Rc<ServiceQueue>,
    call: Call,
}

impl AdmittedCall {
    /// A call that is not subject to a limit.
    pub fn unlimited() -> Self {
        Self { waited: Duration::ZERO, limited: None }
    }

    /// Whether the call is refused once all servers have rejected it.
    pub fn is_limited(&self) -> bool {
        self.limited.is_some()
    }

    /// Records an answer of a server after `latency`.
    pub fn record_answer(&self, latency: Duration) {
        if let Some(limited) = &self.limited {
            let (now, objective) = (limited.gateway.now(), limited.call.objective);
            limited.service.rate.borrow_mut().record_answer(now, latency, objective);
            limited.adjust();
        }
    }

    /// Records that a server rejected the call without running it.
    pub fn record_rejection(&self) {
        if let Some(limited) = &self.limited {
            limited.service.rate.borrow_mut().record_rejection();
        }
    }

    /// Records that the servers the call was sent to rejected it. Returns its refusal; `None` if
    /// the service is not limited.
    pub fn refuse_found_full(&self) -> Option<Refusal> {
        let limited = self.limited.as_ref()?;
        limited.service.rate.borrow_mut().record_found_full();
        limited.adjust();
        let now = limited.gateway.now();
        Some(limited.service.queue.borrow_mut().refuse_admitted(now, &limited.call))
    }

    /// Whether a second attempt may be sent while the first is unanswered.
    pub fn may_hedge(&self) -> bool {
        self.limited.as_ref().is_none_or(|limited| {
            limited.service.queue.borrow_mut().admit_hedge(limited.gateway.now())
        })
    }
}

impl LimitedCall {
    fn adjust(&self) {
        let now = self.gateway.now();
        let adjustment = self.service.rate.borrow_mut().adjust(now);
        if let Some(adjustment) = adjustment {
            self.service.apply(&self.gateway, &adjustment);
        }
    }

    fn change_waiting(&self, difference: i64) {
        let priority = self.call.priority;
        let count = self.gateway.call_admission.count_waiting(priority, difference);
        self.gateway.metrics.set_calls_waiting(priority, count);
    }
}

impl ServiceQueue {
    fn apply(&self, gateway: &Gateway, adjustment: &Adjustment) {
        let share = |value: Option<f64>| value.map_or("none".to_owned(), |v| format!("{v:.2}"));
        let rate = rate_text(adjustment.rate);
        log::info!(
            "event=rate_changed service={} rate_per_s={rate} reason={} answered={} rejected={} usual_share={} mean_share={}",
            self.name,
            adjustment.reason.name(),
            adjustment.answered,
            adjustment.rejected,
            share(adjustment.usual_share),
            share(adjustment.mean_share)
        );
        if !self.is_sharing.get() {
            self.set_rate(gateway, adjustment.rate);
        }
    }

    fn set_rate(&self, gateway: &Gateway, rate: Option<f64>) {
        gateway.metrics.set_admission_rate(&self.name, rate);
        self.queue.borrow_mut().set_rate(gateway.now(), rate);
        self.changed.notify(usize::MAX);
    }

    /// Ends the limit of a service whose calls are no longer limited. What was learned must not
    /// apply when they are again.
    fn end_limit(&self, gateway: &Gateway) {
        if self.rate.borrow().rate().is_none() {
            return;
        }
        log::info!("event=rate_changed service={} rate_per_s=none reason=disabled", self.name);
        self.rate.borrow_mut().end_limit();
        self.set_rate(gateway, None);
    }

    /// Whether calls are limited: the servers have fewer slots than there are daemons.
    fn is_enabled(&self, gateway: &Gateway) -> bool {
        if gateway.admission_settings().is_none() {
            return false;
        }
        let now = gateway.now();
        let (is_enabled, until) = self.enabled.get();
        if now < until {
            return is_enabled;
        }
        let requirements = slot_queue::requirements(gateway, &self.name, None, None);
        let slots = gateway.directory.borrow().placer.total_slots(now, &requirements);
        let is_enabled = (slots as usize) < gateway.members.alive_count() + 1;
        self.enabled.set((is_enabled, now + ENABLED_TTL));
        is_enabled
    }
}

/// Waits until a call may be sent to a service, or refuses it.
pub async fn admit(
    gateway: &Rc<Gateway>,
    service: &str,
    request: &CallRequest,
) -> Result<AdmittedCall, Refusal> {
    let service = gateway.call_admission.service(service);
    if !service.is_enabled(gateway) {
        service.end_limit(gateway);
        return Ok(AdmittedCall::unlimited());
    }
    let now = gateway.now();
    let call = describe(gateway, now, request);
    service.rate.borrow_mut().record_offered();
    service.demand.borrow_mut().record(now, call.priority);
    service.objective.set(call.objective);
    sharing::start(gateway, &service);
    let decision = service.queue.borrow_mut().offer(now, call);
    let limited = LimitedCall { gateway: gateway.clone(), service, call };
    let admitted = match decision {
        Decision::Admit => Ok(Duration::ZERO),
        Decision::Refuse(refusal) => Err(refusal),
        Decision::Wait { key, ahead, expected_wait } => {
            let waiting = WaitingCall::new(&limited, key);
            let outcome = waiting.outcome().await;
            log_wait(request, &limited.service.name, ahead, expected_wait, &outcome);
            gateway.metrics.record_call_wait(call.priority, outcome.waited);
            outcome.result.map(|()| outcome.waited)
        }
    };
    if admitted.is_err() {
        limited.service.rate.borrow_mut().record_refused();
    }
    limited.adjust();
    admitted.map(|waited| AdmittedCall { waited, limited: Some(limited) })
}

fn describe(gateway: &Gateway, now: Moment, request: &CallRequest) -> Call {
    let settings = gateway.admission_settings();
    let weight =
        settings.map(|settings| settings.weight(request.tenant.as_deref(), &request.route));
    Call {
        priority: request.priority,
        tenant: gateway.call_admission.tenant_key(request),
        weight: weight.unwrap_or(1.0),
        objective: request.objective,
        age: gateway.call_admission.age(now, request),
        deadline: request.deadline,
    }
}

/// A waiting call, which leaves the queue when dropped.
struct WaitingCall<'a> {
    limited: &'a LimitedCall,
    key: CallKey,
    outcome: Receiver<Outcome>,
}

impl<'a> WaitingCall<'a> {
    fn new(limited: &'a LimitedCall, key: CallKey) -> Self {
        let (sender, outcome) = bounded(1);
        let service = &limited.service;
        service.waiting.borrow_mut().insert(key, sender);
        limited.change_waiting(1);
        if service.is_polling.replace(true) {
            service.changed.notify(usize::MAX);
        } else {
            let polling = poll_until_empty(limited.gateway.clone(), service.clone());
            limited.gateway.executor.spawn(polling).detach();
        }
        Self { limited, key, outcome }
    }

    /// Waits for the decision.
    async fn outcome(&self) -> Outcome {
        match self.outcome.recv().await {
            Ok(outcome) => outcome,
            Err(_) => {
                // The queue never drops a sender without an outcome.
                log::error!("event=call_without_outcome service={}", self.limited.service.name);
                let call = &self.limited.call;
                let now = self.limited.gateway.now();
                let refusal = self.limited.service.queue.borrow_mut().refuse_admitted(now, call);
                let (key, priority) = (self.key, call.priority);
                Outcome { key, priority, waited: Duration::ZERO, result: Err(refusal) }
            }
        }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let (gateway, service) = (&self.limited.gateway, &self.limited.service);
        service.waiting.borrow_mut().remove(&self.key);
        let left = service.queue.borrow_mut().cancel(gateway.now(), self.key);
        if let Some(waited) = left {
            log::debug!(
                "event=call_left service={} waited_ms={}",
                service.name,
                waited.as_millis()
            );
        }
        self.limited.change_waiting(-1);
    }
}

/// Decides about waiting calls until none is left.
async fn poll_until_empty(gateway: Rc<Gateway>, service: Rc<ServiceQueue>) {
    loop {
        let changed = service.changed.listen();
        let due = service.queue.borrow().next_due();
        let Some(delay) = due else {
            service.is_polling.set(false);
            return;
        };
        wait::at_most(delay.max(MIN_POLL_DELAY), changed).await;
        let outcomes = service.queue.borrow_mut().poll(gateway.now());
        for outcome in outcomes {
            let waiting = service.waiting.borrow_mut().remove(&outcome.key);
            if let Some(waiting) = waiting {
                // A call whose caller left takes no outcome; its token is lost.
                let _ = waiting.try_send(outcome);
            }
        }
    }
}

fn log_wait(
    request: &CallRequest,
    service: &str,
    position: usize,
    expected_wait: Duration,
    outcome: &Outcome,
) {
    let result = if outcome.result.is_ok() { "admitted" } else { "refused" };
    log::info!(
        "event=call_queued id={} tenant={} priority={} service={service} position={position} expected_wait_ms={} waited_ms={} outcome={result}",
        request.id,
        request.tenant.as_deref().unwrap_or("none"),
        request.priority,
        expected_wait.as_millis(),
        outcome.waited.as_millis()
    );
}

/// Logs and counts a refused call.
pub fn note_refused(gateway: &Gateway, service: &str, request: &CallRequest, refusal: &Refusal) {
    gateway.metrics.record_call_refused(request.priority, "overloaded");
    log::info!(
        "event=call_refused id={} route={} tenant={} priority={} service={service} reason=overloaded expected_wait_ms={} ahead={} rate_per_s={} tokens={:.1} needed={:.1} retry_after_ms={} late={} over_share={}",
        request.id,
        request.route,
        request.tenant.as_deref().unwrap_or("none"),
        request.priority,
        refusal.expected_wait.as_millis(),
        refusal.ahead,
        rate_text(refusal.rate),
        refusal.tokens,
        refusal.needed,
        refusal.retry_after.as_millis(),
        refusal.is_late,
        refusal.is_over_share
    );
}

fn rate_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| format!("{rate:.1}"))
}
