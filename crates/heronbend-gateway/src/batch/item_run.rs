//! Runs one item: its text at one or more servers, then its score.

use std::cell::OnceCell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::placement::AttemptHistory;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Requirements;
use heronbend::placement::Urgency;
use heronbend::placement::VersionStatus;
use heronbend::quarantine::Fingerprint;
use heronbend::Moment;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use smol::Timer;

use super::event_stream::{EventReader, ItemText};
use super::moves;
use super::pace::PaceMeter;
use super::registry::Job;
use super::result_log::{ItemResult, ItemState};
use super::reward::{self, Score};
use super::specification::{Item, JobSpecification};
use crate::access;
use crate::configuration::{Configuration, Route};
use crate::directory::Server;
use crate::exchange::{self, AttemptFailure, Outgoing};
use crate::gateway::Gateway;
use crate::homes;
use crate::http::client::{Exchange, ExchangeError};
use crate::places;
use crate::places::Placed;
use crate::quarantine;
use crate::quarantine::evidence;
use crate::quarantine::passage;
use crate::quarantine::Isolation;
use crate::quarantine::Pass;

/// Longest silence before the first event. A request may wait in the server's queue.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(2500);
/// Longest silence between two events. Servers fall silent while they load a version.
const EVENT_LIMIT: Duration = Duration::from_millis(1600);
/// Time that a server is given for an item, for want of a shorter bound.
const ITEM_DEADLINE: Duration = Duration::from_secs(30);
/// Wait for the first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(50);
/// Half of the rest after the first attempt that added nothing.
const IDLE_REST: Duration = Duration::from_millis(5);
const MAX_REST_DOUBLINGS: u32 = 6;
/// Longest rest until it is looked again whether an item that is held back may be sent to engines.
const HELD_REST: Duration = Duration::from_secs(1);

/// Lowest rank that servers tell apart.
const MAX_SERVER_PRIORITY: u8 = 9;

/// Why a text is moved to a faster server.
const OUTPACED: &str = "outpaced";
/// Why a text leaves a server whose zone is evacuated.
const EVACUATED: &str = "evacuated";

/// How an attempt at one server ended.
enum RunEnd {
    /// The text is whole.
    Whole,
    /// The server has not run it, or broke off: to be continued elsewhere.
    Again,
    /// The server failed at it.
    Failed,
    /// It can never be done.
    Impossible,
}

/// One item that is being run.
struct ItemRun<'a> {
    gateway: &'a Rc<Gateway>,
    job: &'a Job,
    specification: &'a JobSpecification,
    item: &'a Item,
    text: Rc<RefCell<ItemText>>,
    failures: u32,
    /// Attempts in a row that added nothing.
    idle_attempts: u32,
    /// Since when the configuration in force has no route for it.
    route_missing: Option<heronbend::Moment>,
    /// The service that was drawn for it.
    service: Option<String>,
    /// The server whose attempt ended last, to be avoided once, and those that failed at it: one more
    /// failure may be the last that the route allows.
    history: AttemptHistory,
    /// Found when it is first asked for.
    fingerprint: OnceCell<Fingerprint>,
    /// Whether it has been logged that the item is held back.
    is_held: bool,
}

/// Runs an item until it has a result; goes on with `text`, which may have been begun elsewhere.
pub async fn run(
    gateway: &Rc<Gateway>,
    job: &Job,
    specification: &JobSpecification,
    item: &Item,
    text: Rc<RefCell<ItemText>>,
) -> ItemResult {
    let run = ItemRun {
        gateway,
        job,
        specification,
        item,
        text,
        failures: 0,
        idle_attempts: 0,
        route_missing: None,
        service: None,
        history: AttemptHistory::default(),
        fingerprint: OnceCell::new(),
        is_held: false,
    };
    run.run_whole().await
}

impl ItemRun<'_> {
    async fn run_whole(mut self) -> ItemResult {
        let begun = self.gateway.now();
        loop {
            let Some(configuration) = self.gateway.configuration() else {
                // A daemon that has just started cannot tell whether the route is still there.
                Timer::after(CONFIGURATION_WAIT).await;
                continue;
            };
            let Some(route) = self.route(&configuration) else {
                // The daemon that took the job in may know a newer configuration than this one.
                let missing_since = *self.route_missing.get_or_insert(self.gateway.now());
                let missing_for = self.gateway.now().saturating_sub(missing_since);
                if missing_for > self.gateway.tuning().configuration_notice * 2 {
                    return self.terminated("route removed");
                }
                Timer::after(CONFIGURATION_WAIT).await;
                continue;
            };
            self.route_missing = None;
            let Some(service) = self.service(&route) else {
                return self.terminated("route without a service");
            };
            let need = self.need(&configuration, &route, &service);
            let urgency = self.urgency(&configuration, &route);
            let Some(pass) = self.admit(&route).await else {
                continue;
            };
            self.keep_apart(pass, &route);
            let history = self.history.clone();
            let placed = places::text(self.gateway, &self.item.id, need, urgency, history).await;
            // What is known may have changed while it waited for a place.
            if pass != Pass::Probe && self.is_barred(&route) {
                continue;
            }
            let before = self.last_event();
            let key = placed.key;
            match self.attempt(placed, need, &route).await {
                RunEnd::Whole => break,
                RunEnd::Again => self.rest(before).await,
                RunEnd::Failed => {
                    self.failures += 1;
                    self.history.failed.push(key);
                }
                RunEnd::Impossible => return self.terminated("impossible"),
            }
            if self.failures >= route.max_attempts.max(1) {
                return self.terminated("failed too often");
            }
            self.history.last = Some(key);
        }
        let text_millis = (self.gateway.now() - begun).as_millis();
        self.gateway.lengths.borrow_mut().learn(self.item, self.last_event());
        let score = match &self.item.reward {
            None => None,
            Some(call) => match reward::score(self.gateway, self.job, &self.item.id, call).await {
                Score::Signed(signature) => Some(signature),
                Score::Failed => return self.terminated("reward failed too often"),
            },
        };
        log::info!(
            "event=item_done job={} item={} events={} versions={:?} text_ms={text_millis} total_ms={}",
            self.job.id,
            self.item.id,
            self.last_event(),
            self.text.borrow().versions(),
            (self.gateway.now() - begun).as_millis()
        );
        self.text.borrow().result(&self.item.id, score)
    }

    /// How the item may be sent to engines; nothing after a rest, where it may not yet. It is not
    /// terminated: its caller has been promised that it waits until it can be run.
    async fn admit(&mut self, route: &Route) -> Option<Pass> {
        let admitted = quarantine::admit(self.gateway, || self.fingerprint(route)).await;
        let refused = match admitted {
            Ok(pass) => {
                self.is_held = false;
                return Some(pass);
            }
            Err(refused) => refused,
        };
        if !std::mem::replace(&mut self.is_held, true) {
            log::warn!(
                "event=item_held job={} item={} request={} come_back_ms={}",
                self.job.id,
                self.item.id,
                self.fingerprint(route),
                refused.retry_after.as_millis()
            );
        }
        Timer::after(refused.retry_after.min(HELD_REST)).await;
        None
    }

    fn keep_apart(&mut self, pass: Pass, route: &Route) {
        let mut history = std::mem::take(&mut self.history);
        quarantine::keep_apart(self.gateway, pass, || self.fingerprint(route), &mut history);
        self.history = history;
    }

    /// Whether the item, which was admitted, may not be sent to engines by now.
    fn is_barred(&self, route: &Route) -> bool {
        !quarantine::may_go_on(self.gateway, || self.fingerprint(route))
    }

    /// What tells that the item has come before.
    fn fingerprint(&self, route: &Route) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let outgoing = self.outgoing(VersionStatus::Registered, route);
            // One that cannot be sent at all ends no engine.
            let names = self.gateway.dialect.headers();
            outgoing.map_or_else(Fingerprint::default, |outgoing| outgoing.fingerprint(names))
        })
    }

    /// Rests after an attempt that added nothing to the text, longer after each one in a row.
    async fn rest(&mut self, before: u64) {
        if self.last_event() > before {
            self.idle_attempts = 0;
            return;
        }
        self.idle_attempts += 1;
        let rest = IDLE_REST * 2_u32.pow(self.idle_attempts.min(MAX_REST_DOUBLINGS));
        Timer::after(rest).await;
    }

    fn terminated(&self, reason: &str) -> ItemResult {
        log::warn!(
            "event=item_terminated job={} item={} reason=\"{reason}\" failures={}",
            self.job.id,
            self.item.id,
            self.failures
        );
        ItemResult {
            item: self.item.id.clone(),
            state: ItemState::Terminated,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }

    /// The item's route in force; nothing when it has been removed.
    fn route(&self, configuration: &Configuration) -> Option<Rc<Route>> {
        let path = self.item.path.split('?').next().unwrap_or_default();
        let route = configuration.route(&self.specification.host, path);
        route
            .or_else(|| configuration.route(&self.specification.host, &self.specification.path))
            .cloned()
    }

    /// The service that runs the item: drawn once, unless the route leads elsewhere meanwhile.
    fn service(&mut self, route: &Route) -> Option<String> {
        let is_current = |service: &String| {
            route.destinations.iter().any(|part| part.service == *service && part.weight > 0)
        };
        if !self.service.as_ref().is_some_and(is_current) {
            let drawn = self.gateway.splitter.borrow_mut().next(route).map(str::to_owned);
            self.service = drawn;
        }
        self.service.clone()
    }

    fn last_event(&self) -> u64 {
        self.text.borrow().last_event()
    }

    /// What the item needs of a server.
    fn need(&self, configuration: &Configuration, route: &Route, service: &str) -> Requirements {
        let owner = access::owner_of_job(configuration, self.specification.tenant.as_deref());
        let homes = homes::of(configuration, route, &owner);
        let step = self.specification.step.as_ref();
        let model = step.map(|step| (step.model.as_str(), step.min_version));
        places::need(self.gateway, service, model, homes.as_ref())
    }

    /// How urgent the item is among those that wait.
    fn urgency(&self, configuration: &Configuration, route: &Route) -> Urgency {
        let owner = access::owner_of_job(configuration, self.specification.tenant.as_deref());
        let rest = self.gateway.lengths.borrow().expected_rest(self.item, self.last_event());
        Urgency {
            priority: access::priority(configuration, &owner, route),
            deadline: self.job.known_since + route.result_deadline.unwrap_or_default(),
            remaining_tokens: Reverse(u64::from(rest)),
        }
    }

    fn min_version(&self) -> u64 {
        self.specification.step.as_ref().map_or(0, |step| step.min_version)
    }

    async fn attempt(&mut self, placed: Placed, need: Requirements, route: &Route) -> RunEnd {
        let Placed { server, version_status, counted, .. } = placed;
        let server = &server;
        let Some(outgoing) = self.outgoing(version_status, route) else {
            return RunEnd::Impossible;
        };
        let is_alone = self.history.is_isolated;
        let isolated = passage::isolate(self.gateway, server, &outgoing, is_alone).await;
        let Ok(isolation) = isolated else {
            counted.fail(&AttemptFailure::Held);
            return RunEnd::Again;
        };
        let first_event = self.last_event();
        let asked = self.gateway.now();
        let answer = exchange::begin(self.gateway, server, &outgoing, ITEM_DEADLINE);
        let answer = answer.or(async {
            Timer::after(FIRST_EVENT_LIMIT).await;
            Err(AttemptFailure::Unknown("no head in time"))
        });
        let exchange = match answer.await {
            Ok(exchange) => exchange,
            Err(failure) => {
                self.log_attempt(server, &format!("{failure:?}"), 0);
                if matches!(failure, AttemptFailure::BrokenOff) {
                    evidence::note_break(self.gateway, server, &outgoing, 0);
                }
                counted.fail(&failure);
                return RunEnd::Again;
            }
        };
        if exchange.status != StatusCode::OK {
            let status = exchange.status;
            quarantine::note_answer(self.gateway, &outgoing, status);
            self.log_attempt(server, status.as_str(), 0);
            // A server that fails at all it gets is always free, and would get ever more.
            let is_failure = status == StatusCode::INTERNAL_SERVER_ERROR;
            let end = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Abandoned };
            counted.end(end);
            return match status {
                StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
                StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
                _ => RunEnd::Again,
            };
        }
        if first_event > 0 {
            self.gateway.metrics.items_resumed.inc();
        }
        let reading = (need, route);
        let outcome = self.read_events(server, exchange, reading, asked, isolation).await;
        let events = self.last_event().saturating_sub(first_event);
        match outcome {
            Ok(()) => {
                let per_event = counted.elapsed() / u32::try_from(events.max(1)).unwrap_or(1);
                counted.end(AttemptOutcome::Succeeded(per_event));
                quarantine::note_answer(self.gateway, &outgoing, StatusCode::OK);
                RunEnd::Whole
            }
            Err(reason @ (OUTPACED | EVACUATED)) => {
                self.log_attempt(server, reason, events);
                counted.end(AttemptOutcome::Abandoned);
                RunEnd::Again
            }
            Err(reason) => {
                self.log_attempt(server, reason, events);
                if exchange::is_break(reason) {
                    evidence::note_break(self.gateway, server, &outgoing, events);
                }
                counted.fail(&AttemptFailure::Unknown(reason));
                RunEnd::Again
            }
        }
    }

    fn log_attempt(&self, server: &Server, outcome: &str, events: u64) {
        log::info!(
            "event=item_attempt job={} item={} server={} outcome=\"{outcome}\" events={events} last_event={}",
            self.job.id,
            self.item.id,
            server.id,
            self.last_event()
        );
    }

    fn outgoing(&self, version_status: VersionStatus, route: &Route) -> Option<Outgoing> {
        let names = self.gateway.dialect.headers();
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        let configuration = self.gateway.configuration()?;
        let tenant = self.specification.tenant.as_deref();
        let owner = access::owner_of_job(&configuration, tenant);
        access::set_tenant(&mut headers, &names.tenant, &owner);
        let priority = access::priority(&configuration, &owner, route).min(MAX_SERVER_PRIORITY);
        headers.insert(names.priority.clone(), HeaderValue::from(u16::from(priority)));
        headers.insert(names.request_id.clone(), HeaderValue::from_str(&self.item.id).ok()?);
        let host = HeaderValue::from_str(&self.specification.host).ok()?;
        headers.insert(http::header::HOST, host);
        if self.last_event() > 0 {
            headers.insert(names.last_event.clone(), HeaderValue::from(self.last_event()));
        }
        if let VersionStatus::Expected(version) = version_status {
            headers.insert(names.expected_version.clone(), HeaderValue::from(version));
        }
        Some(Outgoing {
            id: self.item.id.clone(),
            method: Method::POST,
            target: self.item.path.parse().ok()?,
            headers,
            body: self.item.decoded_body(),
            hold: None,
            billing: None,
            fingerprint: OnceCell::new(),
        })
    }

    /// Reads events until the text is whole; an error when it has to be continued elsewhere.
    async fn read_events(
        &mut self,
        server: &Rc<Server>,
        exchange: Exchange,
        (need, route): (Requirements, &Route),
        asked: Moment,
        isolation: Option<Isolation>,
    ) -> Result<(), &'static str> {
        let (mut exchange, mut isolation) = (exchange, isolation);
        let mut pace = PaceMeter::new(self.gateway.now());
        let names = self.gateway.dialect.headers();
        // An answer that has nothing to add to the text tells no version.
        let version = exchange.header(&names.weight_version).and_then(|value| value.parse().ok());
        let field = names.weight_version.as_str();
        let mut reader = EventReader::new(field, version);
        let mut limit = FIRST_EVENT_LIMIT;
        let mut resumed_at = (self.last_event() > 0).then_some(asked);
        let _reader = self.gateway.crowd.enter();
        let outcome = loop {
            let bytes = exchange.next_bytes().or(async {
                Timer::after(limit).await;
                Err(ExchangeError::Timeout)
            });
            match bytes.await {
                Ok(Some(bytes)) => {
                    let read = reader.read(&bytes, &mut self.text.borrow_mut());
                    match read {
                        Ok(0) => {}
                        Ok(events) => {
                            limit = EVENT_LIMIT;
                            // It has begun and its engine lives: others need not wait for its end.
                            drop(isolation.take());
                            if let Some(asked) = resumed_at.take() {
                                let delay = self.gateway.now().saturating_sub(asked);
                                self.gateway.move_cost.borrow_mut().learn(delay);
                            }
                            if self.is_outpaced(server, &mut pace, events, (need, route)) {
                                break Err(OUTPACED);
                            }
                            if self.is_to_be_left(server, &need) {
                                break Err(EVACUATED);
                            }
                        }
                        Err(_) => break Err("malformed stream"),
                    }
                }
                Ok(None) if self.last_event() == 0 => break Err("no events"),
                Ok(None) if reader.is_between_events() => break Ok(()),
                Ok(None) => break Err(exchange::CUT),
                Err(ExchangeError::Timeout) => break Err("silent"),
                Err(_) => break Err(exchange::BROKEN_OFF),
            }
            if !self.versions_fit(route) {
                break Err("versions do not fit");
            }
            if let Some(rest) = self.gateway.crowd.rest() {
                Timer::after(rest).await;
            }
        };
        if !self.versions_fit(route) {
            *self.text.borrow_mut() = ItemText::default();
        }
        if outcome.is_ok() {
            exchange.keep();
        }
        outcome
    }

    /// Whether the text had better go on at another server.
    fn is_outpaced(
        &self,
        server: &Server,
        pace: &mut PaceMeter,
        events: usize,
        (need, route): (Requirements, &Route),
    ) -> bool {
        let now = self.gateway.now();
        let Some(per_event) = pace.add(now, events as u64) else {
            return false;
        };
        {
            let placer = &mut self.gateway.directory.borrow_mut().placer;
            placer.record_outcome(now, &server.id, AttemptOutcome::Succeeded(per_event));
        }
        let lengths = self.gateway.lengths.borrow();
        let remaining = lengths.expected_rest(self.item, self.last_event());
        let age = now.saturating_sub(self.job.known_since);
        if moves::is_in_time(age, per_event * remaining, route.result_deadline) {
            return false;
        }
        let gain = {
            let placer = &mut self.gateway.directory.borrow_mut().placer;
            placer.migration_gain(now, &need, &server.id, per_event, remaining)
        };
        gain.is_some_and(|gain| self.gateway.move_cost.borrow().is_exceeded_by(gain))
    }

    /// Whether the text has to go on elsewhere, and can: its server's zone is evacuated.
    fn is_to_be_left(&self, server: &Server, need: &Requirements) -> bool {
        let placer = &mut self.gateway.directory.borrow_mut().placer;
        placer.is_in_evacuated_zone(&server.id)
            && placer.place_batch_item(self.gateway.now(), need, &self.history).is_some()
    }

    fn versions_fit(&self, route: &Route) -> bool {
        self.text.borrow().versions_fit(self.min_version(), route.single_version)
    }
}
