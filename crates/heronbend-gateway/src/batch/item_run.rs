//! Runs one item: generates its text on one or more servers, then requests its score.

mod parts;

use std::cell::OnceCell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::placement::AttemptHistory;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Requirements;
use heronbend::placement::Run;
use heronbend::placement::ServerKey;
use heronbend::placement::Urgency;
use heronbend::placement::VersionStatus;
use heronbend::placement::Work;
use heronbend::rollout::pace::Pace;
use heronbend::Moment;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use smol::Timer;

use super::event_stream::{EventReader, ItemText};
use super::migration;
use super::registry::Job;
use super::result_log::{ItemResult, ItemState};
use super::reward::{self, Score};
use super::route_change;
use super::specification::{Item, JobSpecification};
use super::throughput::ThroughputMeter;
use crate::access;
use crate::attempt::{self, AttemptFailure, OutgoingRequest};
use crate::configuration::{Configuration, Route};
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::http::client::{Exchange, ExchangeError};
use crate::quarantine;
use crate::quarantine::crash_detection;
use crate::region_policy;
use crate::slot_queue;
use crate::slot_queue::AssignedSlot;
use crate::slot_queue::RunRegistration;
use crate::wait;

/// Timeout for the first event, including time in the server's queue.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout between two events. Servers pause their streams while they load a version.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Upper bound on the duration of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for a configuration or a missing route.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Base of the exponential backoff after attempts without progress.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Largest priority value that servers distinguish.
const MAX_SERVER_PRIORITY: u8 = 9;

/// Reason for giving up an item that has waited for as long as its route allows.
const QUEUE_LIMIT: &str = "queue limit";
/// Reason for migrating a text to a faster server.
const OUTPACED: &str = "outpaced";
/// Reason for migrating a text out of an evacuated zone.
const EVACUATED: &str = "evacuated";

/// Why an item stops waiting for a slot of its service.
enum WaitEnd {
    /// The route has changed, and with it perhaps where the item may run and for how long it waits.
    RouteChanged,
    /// It may be given up.
    Overdue,
    /// Its part of the route cannot run it, and this service of another part can.
    ServedElsewhere(String),
}

/// Result of an attempt on one server.
enum AttemptResult {
    /// The text is complete.
    Complete,
    /// The server did not run the item or the stream broke; retry on another server.
    Retry,
    /// The server reported a failure.
    Failed,
    /// The request is invalid and is not retried.
    Unsendable,
}

/// State of an item that is being run.
struct ItemRun<'a> {
    gateway: &'a Rc<Gateway>,
    job: &'a Job,
    specification: &'a JobSpecification,
    item: &'a Item,
    text: Rc<RefCell<ItemText>>,
    failures: u32,
    /// Consecutive attempts that produced no events.
    attempts_without_progress: u32,
    /// Servers lost in a row under attempts that produced no events.
    pace: Pace,
    /// When the route was first found missing from the configuration.
    route_missing_since: Option<heronbend::Moment>,
    /// Time after the submission from which the item may be given up, by the route last known.
    max_queue: Option<Duration>,
    /// The service selected by the route's weights.
    service: Option<String>,
    /// The last server, which the next attempt avoids, and all servers that failed the item.
    history: AttemptHistory,
    /// Number of moves to faster servers.
    moves: u32,
    /// Slot on a faster server for the next attempt.
    offered_slot: Option<AssignedSlot>,
}

/// Runs an item until it has a result. Continues `text`, which may hold events restored from a
/// checkpoint.
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
        attempts_without_progress: 0,
        pace: Pace::default(),
        route_missing_since: None,
        max_queue: None,
        service: None,
        history: AttemptHistory::default(),
        moves: 0,
        offered_slot: None,
    };
    run.run_to_completion().await
}

/// Waits for a slot on a faster server; forever if the text is not registered for a move.
async fn offered_slot(run: &Option<RunRegistration>) -> AssignedSlot {
    match run {
        Some(run) => run.offered_slot().await,
        None => std::future::pending().await,
    }
}

impl ItemRun<'_> {
    async fn run_to_completion(mut self) -> ItemResult {
        let started = self.gateway.now();
        loop {
            let Some(configuration) = self.gateway.configuration() else {
                // Until the first configuration arrives the route cannot be looked up.
                Timer::after(CONFIGURATION_POLL_INTERVAL).await;
                continue;
            };
            let Some(route) = self.route(&configuration) else {
                if self.is_route_removed(&configuration) {
                    return self.terminated("route removed");
                }
                if self.is_overdue() {
                    return self.terminated(QUEUE_LIMIT);
                }
                Timer::after(CONFIGURATION_POLL_INTERVAL).await;
                continue;
            };
            self.route_missing_since = None;
            self.max_queue = route.max_queue;
            let Some(service) = self.service(&configuration, &route) else {
                if self.is_overdue() {
                    return self.terminated(QUEUE_LIMIT);
                }
                // A later configuration may give the route a service again.
                Timer::after(CONFIGURATION_POLL_INTERVAL).await;
                continue;
            };
            let requirements = self.requirements(&configuration, &route, &service);
            let urgency = self.urgency(&configuration, &route);
            let placed = match self.offered_slot.take() {
                Some(offered) => Ok(offered),
                None => self.acquire_slot(requirements, urgency, &route, &service).await,
            };
            let placed = match placed {
                Ok(placed) => placed,
                Err(WaitEnd::Overdue) => return self.terminated(QUEUE_LIMIT),
                Err(WaitEnd::RouteChanged) => continue,
                Err(WaitEnd::ServedElsewhere(service)) => {
                    self.service = Some(service);
                    continue;
                }
            };
            let events_before = self.last_event();
            let key = placed.key;
            match self.attempt(placed, requirements, urgency, &route).await {
                AttemptResult::Complete => break,
                AttemptResult::Retry if self.is_overdue() && self.last_event() == events_before => {
                    return self.terminated(QUEUE_LIMIT);
                }
                AttemptResult::Retry => self.back_off(events_before).await,
                AttemptResult::Failed => {
                    self.failures += 1;
                    self.history.failed.push(key);
                }
                AttemptResult::Unsendable => return self.terminated("impossible"),
            }
            if self.failures >= route.max_attempts.max(1) {
                return self.terminated("failed too often");
            }
            self.history.last = Some(key);
        }
        let text_millis = (self.gateway.now() - started).as_millis();
        self.gateway.length_estimator.borrow_mut().record(self.item, self.last_event());
        let score = match &self.item.reward {
            None => None,
            Some(call) => {
                let give_up_at = self.give_up_at();
                let score =
                    reward::score(self.gateway, self.job, &self.item.id, call, give_up_at).await;
                match score {
                    Score::Signed(signature) => Some(signature),
                    Score::Failed => return self.terminated("reward failed too often"),
                    Score::Overdue => return self.terminated(QUEUE_LIMIT),
                }
            }
        };
        log::info!(
            "event=item_done job={} item={} events={} versions={:?} text_ms={text_millis} total_ms={}",
            self.job.id,
            self.item.id,
            self.last_event(),
            self.text.borrow().versions(),
            (self.gateway.now() - started).as_millis()
        );
        self.text.borrow().result(&self.item.id, score)
    }

    /// Whether the route, which `configuration` lacks, has been removed since the job was accepted.
    /// A daemon that is behind may not have the route yet.
    fn is_route_removed(&mut self, configuration: &Configuration) -> bool {
        if configuration.version < self.specification.configuration {
            self.route_missing_since = None;
            return false;
        }
        let now = self.gateway.now();
        let missing_since = *self.route_missing_since.get_or_insert(now);
        now.saturating_sub(missing_since) > self.gateway.tuning().configuration_notice * 2
    }

    /// Waits for a slot, or until the item should no longer wait for this service.
    async fn acquire_slot(
        &self,
        requirements: Requirements,
        urgency: Urgency,
        route: &Route,
        service: &str,
    ) -> Result<AssignedSlot, WaitEnd> {
        let work = self.work(route).filter(|work| work.remaining > 0);
        let history = self.history.clone();
        let id = &self.item.id;
        let slot = slot_queue::acquire_slot(self.gateway, id, requirements, urgency, history, work);
        let is_current = |configuration: &Configuration| {
            self.route(configuration).is_some_and(|current| {
                *current == *route
                    && self.requirements(configuration, &current, service) == requirements
            })
        };
        let changed = async {
            route_change::wait(self.gateway, is_current).await;
            log::info!("event=item_requeued job={} item={id} service={service}", self.job.id);
            Err(WaitEnd::RouteChanged)
        };
        let moved = async {
            let other = self.served_elsewhere(requirements, route, service).await;
            self.log_diverted(service, &other);
            Err(WaitEnd::ServedElsewhere(other))
        };
        let overdue = async {
            match self.give_up_at() {
                Some(at) => wait::until(self.gateway, at).await,
                None => std::future::pending().await,
            }
            Err(WaitEnd::Overdue)
        };
        // A slot that is free at once is used, however late the item is.
        async { Ok(slot.await) }.or(changed).or(moved).or(overdue).await
    }

    /// From when the item may be given up; `None` if its route sets no limit.
    fn give_up_at(&self) -> Option<Moment> {
        self.max_queue.map(|max_queue| self.job.first_seen.saturating_add(max_queue))
    }

    /// Whether the item may be given up. It is, as soon as it has to wait or an attempt adds
    /// nothing to its text.
    fn is_overdue(&self) -> bool {
        self.give_up_at().is_some_and(|at| self.gateway.now() >= at)
    }

    /// Remaining work of the item; `None` unless items are scheduled by slack and have a deadline.
    fn work(&self, route: &Route) -> Option<Work> {
        if !self.gateway.directory.borrow().placer.schedules_by_slack() {
            return None;
        }
        let target = self.job.first_seen + migration::target_age(route.result_deadline?);
        Some(Work { target, remaining: self.expected_remaining() })
    }

    fn expected_remaining(&self) -> u32 {
        let estimator = self.gateway.length_estimator.borrow();
        estimator.expected_remaining(self.item, self.last_event())
    }

    /// Registers the text for a move to a faster server.
    fn register_run(
        &self,
        server: ServerKey,
        requirements: Requirements,
        urgency: Urgency,
        route: &Route,
    ) -> Option<RunRegistration> {
        let run = Run {
            server,
            requirements,
            priority: urgency.priority,
            work: self.work(route)?,
            has_progressed: false,
            moves: self.moves,
            history: self.history.clone(),
        };
        Some(RunRegistration::new(self.gateway, run))
    }

    /// Waits after an attempt that has to be repeated: with exponential backoff if it made no
    /// progress, and longer if the item keeps losing its servers.
    async fn back_off(&mut self, events_before: u64) {
        if self.last_event() > events_before {
            self.attempts_without_progress = 0;
            self.pace.record_answer();
            return;
        }
        self.attempts_without_progress += 1;
        let backoff =
            BACKOFF_BASE * 2_u32.pow(self.attempts_without_progress.min(MAX_BACKOFF_DOUBLINGS));
        let paced = self.pace.take_delay();
        if !paced.is_zero() {
            log::warn!(
                "event=item_paced job={} item={} delay_ms={}",
                self.job.id,
                self.item.id,
                paced.as_millis()
            );
        }
        Timer::after(backoff.max(paced)).await;
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

    /// The current route of the item, or `None` if it has been removed.
    fn route(&self, configuration: &Configuration) -> Option<Rc<Route>> {
        let path = self.item.path.split('?').next().unwrap_or_default();
        let route = configuration.match_route(&self.specification.host, path);
        route
            .or_else(|| {
                configuration.match_route(&self.specification.host, &self.specification.path)
            })
            .cloned()
    }

    fn last_event(&self) -> u64 {
        self.text.borrow().last_event()
    }

    /// Placement requirements of the item.
    fn requirements(
        &self,
        configuration: &Configuration,
        route: &Route,
        service: &str,
    ) -> Requirements {
        let owner = access::job_caller(configuration, self.specification.tenant.as_deref());
        let allowed_regions = region_policy::allowed_regions(configuration, route, &owner);
        let step = self.specification.step.as_ref();
        let model = step.map(|step| (step.model.as_str(), step.min_version));
        slot_queue::requirements(self.gateway, service, model, allowed_regions.as_ref())
    }

    /// Queueing priority of the item.
    fn urgency(&self, configuration: &Configuration, route: &Route) -> Urgency {
        let owner = access::job_caller(configuration, self.specification.tenant.as_deref());
        let remaining = self.expected_remaining();
        Urgency {
            priority: access::priority(configuration, &owner, route),
            deadline: self.job.first_seen + route.result_deadline.unwrap_or_default(),
            remaining_tokens: Reverse(u64::from(remaining)),
        }
    }

    fn min_version(&self) -> u64 {
        self.specification.step.as_ref().map_or(0, |step| step.min_version)
    }

    async fn attempt(
        &mut self,
        placed: AssignedSlot,
        requirements: Requirements,
        urgency: Urgency,
        route: &Route,
    ) -> AttemptResult {
        let AssignedSlot { server, key, version_status, guard } = placed;
        let server = &server;
        let Some(outgoing) = self.outgoing(version_status, route) else {
            return AttemptResult::Unsendable;
        };
        let first_event = self.last_event();
        let sent_at = self.gateway.now();
        let answer = attempt::send(self.gateway, server, &outgoing, ATTEMPT_TIMEOUT);
        let answer = answer.or(async {
            Timer::after(FIRST_EVENT_TIMEOUT).await;
            Err(AttemptFailure::Unknown("no head in time"))
        });
        let exchange = match answer.await {
            Ok(exchange) => exchange,
            Err(failure) => {
                self.log_attempt(server, &format!("{failure:?}"), 0);
                if matches!(failure, AttemptFailure::BrokenOff) {
                    self.note_loss(server, &outgoing, 0);
                }
                guard.fail(&failure);
                return AttemptResult::Retry;
            }
        };
        if exchange.status != StatusCode::OK {
            let status = exchange.status;
            self.pace.record_answer();
            quarantine::note_response(self.gateway, &outgoing, status);
            self.log_attempt(server, status.as_str(), 0);
            // Record failures: a server that fails every request is always idle and would attract
            // more.
            let is_failure = status == StatusCode::INTERNAL_SERVER_ERROR;
            let end = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Abandoned };
            guard.end(end);
            return match status {
                StatusCode::UNPROCESSABLE_ENTITY => AttemptResult::Unsendable,
                StatusCode::INTERNAL_SERVER_ERROR => AttemptResult::Failed,
                _ => AttemptResult::Retry,
            };
        }
        if first_event > 0 {
            self.gateway.metrics.items_resumed.inc();
        }
        let context = (requirements, route);
        let run = self.register_run(key, requirements, urgency, route);
        let outcome = self.read_events(server, exchange, context, sent_at, run).await;
        let events = self.last_event().saturating_sub(first_event);
        match outcome {
            Ok(()) => {
                let per_event = guard.elapsed() / u32::try_from(events.max(1)).unwrap_or(1);
                guard.end(AttemptOutcome::Succeeded(per_event));
                quarantine::note_response(self.gateway, &outgoing, StatusCode::OK);
                AttemptResult::Complete
            }
            Err(reason @ (OUTPACED | EVACUATED)) => {
                self.log_attempt(server, reason, events);
                guard.end(AttemptOutcome::Abandoned);
                AttemptResult::Retry
            }
            Err(reason) => {
                self.log_attempt(server, reason, events);
                if attempt::is_connection_loss(reason) {
                    self.note_loss(server, &outgoing, events);
                }
                guard.fail(&AttemptFailure::Unknown(reason));
                AttemptResult::Retry
            }
        }
    }

    /// Records that the connection to a server broke after `events` new events.
    fn note_loss(&mut self, server: &Rc<Server>, outgoing: &OutgoingRequest, events: u64) {
        crash_detection::note_broken_connection(self.gateway, server, outgoing, events);
        if events == 0 {
            self.pace.record_loss();
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

    fn outgoing(&self, version_status: VersionStatus, route: &Route) -> Option<OutgoingRequest> {
        let names = self.gateway.dialect.headers();
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        let configuration = self.gateway.configuration()?;
        let tenant = self.specification.tenant.as_deref();
        let owner = access::job_caller(&configuration, tenant);
        access::set_tenant_header(&mut headers, &names.tenant, &owner);
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
        Some(OutgoingRequest {
            id: self.item.id.clone(),
            method: Method::POST,
            target: self.item.path.parse().ok()?,
            headers,
            body: self.item.decoded_body(),
            reservation: None,
            billing: None,
            is_owed: true,
            fingerprint: OnceCell::new(),
        })
    }

    /// Reads events until the text is complete. Returns the reason if it must continue elsewhere.
    async fn read_events(
        &mut self,
        server: &Rc<Server>,
        exchange: Exchange,
        (requirements, route): (Requirements, &Route),
        sent_at: Moment,
        run: Option<RunRegistration>,
    ) -> Result<(), &'static str> {
        let mut exchange = exchange;
        let mut throughput = ThroughputMeter::new(self.gateway.now());
        // Starts at the first event, so that it does not include the prompt.
        let mut pace: Option<ThroughputMeter> = None;
        let names = self.gateway.dialect.headers();
        // The version header is absent if the response has no further events.
        let version = exchange.header(&names.weight_version).and_then(|value| value.parse().ok());
        let field = names.weight_version.as_str();
        let mut reader = EventReader::new(field, version);
        let mut next_event_by = self.gateway.now() + FIRST_EVENT_TIMEOUT;
        let mut resume_sent_at = (self.last_event() > 0).then_some(sent_at);
        let _reader = self.gateway.read_pacer.register();
        let outcome = loop {
            let left = next_event_by.saturating_sub(self.gateway.now());
            let bytes = exchange.next_bytes().or(async {
                Timer::after(left).await;
                Err(ExchangeError::Timeout)
            });
            let bytes = async { Ok(bytes.await) }.or(async { Err(offered_slot(&run).await) });
            let bytes = match bytes.await {
                Ok(bytes) => bytes,
                Err(offered) => {
                    self.offered_slot = Some(offered);
                    self.moves += 1;
                    break Err(OUTPACED);
                }
            };
            match bytes {
                Ok(Some(bytes)) => {
                    let read = reader.read(&bytes, &mut self.text.borrow_mut());
                    match read {
                        Ok(0) if self.gateway.now() >= next_event_by => break Err("silent"),
                        Ok(0) => {}
                        Ok(_) if self.exceeds_limits() => {
                            *self.text.borrow_mut() = ItemText::default();
                            break Err("text too long");
                        }
                        Ok(events) => {
                            next_event_by = self.gateway.now() + EVENT_TIMEOUT;
                            if let Some(sent_at) = resume_sent_at.take() {
                                let delay = self.gateway.now().saturating_sub(sent_at);
                                self.gateway.migration_cost.borrow_mut().record(delay);
                            }
                            if let Some(run) = &run {
                                self.record_pace(server, &mut pace, events, run);
                            }
                            if self.should_migrate(
                                server,
                                &mut throughput,
                                events,
                                (requirements, route),
                            ) {
                                break Err(OUTPACED);
                            }
                            if self.must_leave_zone(server, &requirements) {
                                break Err(EVACUATED);
                            }
                        }
                        Err(_) => break Err("malformed stream"),
                    }
                }
                Ok(None) if self.last_event() == 0 => break Err("no events"),
                Ok(None) if reader.is_between_events() => break Ok(()),
                Ok(None) => break Err(attempt::TRUNCATED),
                Err(ExchangeError::Timeout) => break Err("silent"),
                Err(_) => break Err(attempt::CONNECTION_BROKEN),
            }
            if !self.satisfies_versions(route) {
                break Err("versions do not fit");
            }
            if let Some(delay) = self.gateway.read_pacer.delay() {
                Timer::after(delay).await;
                next_event_by += delay;
            }
        };
        if !self.satisfies_versions(route) {
            *self.text.borrow_mut() = ItemText::default();
        }
        if outcome.is_ok() {
            exchange.return_to_pool();
        }
        outcome
    }

    /// Whether the text has more events than the item has tokens, each of which holds at least one,
    /// or is larger than an object that the store takes.
    fn exceeds_limits(&self) -> bool {
        let has_excess_events = self.item.tokens > 0 && self.last_event() > self.item.tokens;
        has_excess_events || self.text.borrow().bytes() > self.gateway.tuning().max_object_bytes
    }

    /// Records the pace of the server, and updates the remaining work of the text.
    fn record_pace(
        &self,
        server: &Server,
        pace: &mut Option<ThroughputMeter>,
        events: usize,
        run: &RunRegistration,
    ) {
        let now = self.gateway.now();
        let Some(meter) = pace else {
            *pace = Some(ThroughputMeter::new(now));
            return;
        };
        if let Some(per_event) = meter.record(now, events as u64) {
            self.gateway.directory.borrow_mut().placer.record_pace(&server.id, per_event);
            run.update(self.expected_remaining());
        }
    }

    /// Whether the text is expected to complete sooner on another server.
    fn should_migrate(
        &self,
        server: &Server,
        throughput: &mut ThroughputMeter,
        events: usize,
        (requirements, route): (Requirements, &Route),
    ) -> bool {
        let now = self.gateway.now();
        let Some(per_event) = throughput.record(now, events as u64) else {
            return false;
        };
        {
            let placer = &mut self.gateway.directory.borrow_mut().placer;
            placer.record_outcome(now, &server.id, AttemptOutcome::Succeeded(per_event));
        }
        if self.gateway.directory.borrow_mut().placer.uses_slack(now, &requirements) {
            return false;
        }
        let remaining = self.expected_remaining();
        let age = now.saturating_sub(self.job.first_seen);
        if migration::meets_deadline(age, per_event * remaining, route.result_deadline) {
            return false;
        }
        let gain = {
            let placer = &mut self.gateway.directory.borrow_mut().placer;
            placer.migration_gain(now, &requirements, &server.id, per_event, remaining)
        };
        gain.is_some_and(|gain| self.gateway.migration_cost.borrow().is_exceeded_by(gain))
    }

    /// Whether the server's zone is evacuated and another server can continue the text.
    fn must_leave_zone(&self, server: &Server, requirements: &Requirements) -> bool {
        let placer = &mut self.gateway.directory.borrow_mut().placer;
        placer.is_in_evacuated_zone(&server.id)
            && placer.place_batch_item(self.gateway.now(), requirements, &self.history).is_some()
    }

    fn satisfies_versions(&self, route: &Route) -> bool {
        self.text.borrow().satisfies_versions(self.min_version(), route.single_version)
    }
}
