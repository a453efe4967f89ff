//! Commands servers to load the versions that the plan selects, while holding the lease.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use heronbend::placement::server::EXPECTED_LOAD_TIME;
use heronbend::Moment;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use smol::Timer;

use super::lease::LEASE_DURATION;
use super::plan::{self, EngineState, Load, ModelState, Urgency};
use super::takeover::Holder;
use super::takeover::TakeoverView;
use super::watch::{is_candidate, newest_job, takeover_order};
use super::{EngineReport, SwapMode, VersionCommand};
use crate::configuration::{Destination, RouteKind};
use crate::directory::{Server, ServerState};
use crate::gateway::Gateway;
use crate::http::client::FullResponse;
use crate::lease_manager::LeaseManager;
use crate::lease_state::LeaseName;
use crate::peers::Hint;
use crate::peers::MEMBERSHIP_GRACE;
use crate::ports::dialect::ServerCall;
use crate::wait;

const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay until a report shows whether a command was accepted.
const REPORT_DELAY: Duration = Duration::from_millis(150);
/// Delay before the first poll of a loading server, and the interval between further ones.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(960);
const POLL_PERIOD: Duration = Duration::from_millis(60);
/// Time from the start of a load during which it uses the bandwidth that loads share. Reports show
/// the end of a load some tenths of a second later.
const TRANSFER_TIME: Duration = Duration::from_millis(1000);
/// How long to wait for a load to complete.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before a server is considered again after a failed command.
const RETRY_DELAY: Duration = Duration::from_millis(400);
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// Pause after planning, as a multiple of the time it took. Bounds planning to a tenth of a core,
/// since large fleets change all the time.
const PLANNING_PAUSE_FACTOR: u32 = 9;
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Records that a server, identified by its id and incarnation, accepted a command from any daemon.
pub fn note_command_accepted(
    gateway: &Rc<Gateway>,
    holder: NodeName,
    (server, incarnation): (&str, Incarnation),
    model: &str,
    version: u64,
) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    let is_same_incarnation =
        directory.get(server).is_none_or(|known| known.incarnation == incarnation);
    // Older builds do not send the incarnation.
    if is_same_incarnation || incarnation == Incarnation::default() {
        directory.placer.record_load_command(now, server, model, version);
    }
    drop(directory);
    gateway.versions.note_command_accepted(now, holder);
    gateway.slot_queue.changed.notify(usize::MAX);
    wake_when_loaded(gateway);
}

/// Wakes waiting batch items when the load is expected to be complete.
fn wake_when_loaded(gateway: &Rc<Gateway>) {
    let waker = gateway.clone();
    let wake = async move {
        Timer::after(EXPECTED_LOAD_TIME).await;
        waker.slot_queue.changed.notify(usize::MAX);
    };
    gateway.executor.spawn(wake).detach();
}

/// Whether any stream route leads to servers that load models.
fn serves_streams(gateway: &Gateway) -> bool {
    gateway.configuration().is_some_and(|configuration| {
        let has_models = |part: &Destination| {
            configuration.services.get(&part.service).is_some_and(|service| service.is_engine)
        };
        let streams = configuration.routes.iter().filter(|route| route.kind == RouteKind::Stream);
        streams.flat_map(|route| &route.destinations).any(has_models)
    })
}

/// Announces an accepted command to the daemons that need it: owners of active jobs and candidates
/// for the lease. If clients' streams use these servers, to all daemons.
///
/// Limiting the recipients keeps the number of datagrams from growing with commands times daemons.
fn announce_command(gateway: &Gateway, hint: Hint) {
    if serves_streams(gateway) {
        gateway.members.broadcast(hint);
        return;
    }
    let jobs = gateway.jobs.all();
    let active = jobs.iter().filter(|job| !job.ended.get());
    let mut recipients: BTreeSet<NodeId> = active.map(|job| job.owner()).collect();
    recipients.extend(takeover_order(gateway).candidates().iter().cloned());
    recipients.remove(&gateway.identity.node);
    gateway.members.send_to(recipients.into_iter().collect(), hint);
}

/// A load that this daemon is commanding or has commanded.
#[derive(Debug, Clone)]
struct StartedLoad {
    model: String,
    version: u64,
    since: Moment,
}

struct Dispatcher {
    gateway: Rc<Gateway>,
    lease: LeaseManager,
    /// Servers with a command in progress, or in the delay after a failed one (`None`).
    busy: RefCell<HashMap<String, Option<StartedLoad>>>,
    /// Time spent on planning since the last pause.
    planning_time: Cell<Duration>,
}

/// Runs until the daemon stops.
pub async fn run(gateway: Rc<Gateway>) {
    let lease = LeaseManager::new(gateway.clone(), LeaseName::Orders);
    let dispatcher = Rc::new(Dispatcher {
        gateway: gateway.clone(),
        lease,
        busy: RefCell::default(),
        planning_time: Cell::default(),
    });
    // Other daemons learn of the holder and its renewals from peers.
    gateway.members.bootstrap.wait().await;
    if is_candidate(&gateway) || !gateway.members.bootstrap.is_complete() {
        dispatcher.lease.read().await;
    }
    loop {
        // Until the membership grace period ends, the set of live daemons is unknown.
        Timer::after(MEMBERSHIP_GRACE.saturating_sub(gateway.now())).await;
        let changed = gateway.versions.changed.listen();
        for load in dispatcher.next_loads().await {
            let (model, version, since) = (load.model.clone(), load.version, gateway.now());
            let started = StartedLoad { model, version, since };
            dispatcher.busy.borrow_mut().insert(load.server.clone(), Some(started));
            gateway.executor.spawn(dispatcher.clone().execute(load)).detach();
        }
        Timer::after((dispatcher.planning_time.take() * PLANNING_PAUSE_FACTOR).min(IDLE_WAIT))
            .await;
        wait::at_most(IDLE_WAIT, changed).await;
    }
}

impl Dispatcher {
    /// The loads to command now. Empty if this daemon may not act.
    async fn next_loads(&self) -> Vec<Load> {
        let due = self.loads_due();
        let is_waiting = self.lease.waits_until().is_some();
        if due.is_empty() || is_waiting || !self.is_my_turn() {
            return Vec::new();
        }
        let is_urgent = due.iter().any(|load| load.urgency != Urgency::WhenIdle);
        // Loads that wait for an idle server renew the lease only once such a server is found.
        if is_urgent && !self.lease.acquire_or_renew().await {
            return Vec::new();
        }
        self.loads_due()
    }

    fn loads_due(&self) -> Vec<Load> {
        let newest = self.gateway.versions.newest();
        if newest.is_empty() {
            return Vec::new();
        }
        let now = self.gateway.now();
        let configuration = self.gateway.configuration();
        let requires_single_version = configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| route.single_version)
        });
        let serves_streams = serves_streams(&self.gateway);
        let models = newest
            .into_iter()
            .map(|(model, (version, since))| {
                let job = newest_job(&self.gateway, &model);
                let (demand, step_items) = job.map_or((0, 0), |job| {
                    let ownership = &job.ownership.borrow().0;
                    (ownership.expected_tokens, ownership.total)
                });
                // The number of streams is unknown, so all servers are used.
                let step_items = if serves_streams { 0 } else { step_items };
                let has_slow_steps = self.gateway.versions.has_slow_steps(&model);
                let published_for = now.saturating_sub(since);
                let state = ModelState {
                    version,
                    demand,
                    step_items,
                    has_slow_steps,
                    published_for,
                    requires_single_version,
                };
                (model, state)
            })
            .collect();
        let due = plan::loads_due(&models, &self.engines());
        let elapsed = self.gateway.now().saturating_sub(now);
        self.planning_time.set(self.planning_time.get() + elapsed);
        due
    }

    fn engines(&self) -> Vec<EngineState> {
        let now = self.gateway.now();
        let directory = self.gateway.directory.borrow();
        let busy = self.busy.borrow();
        let evacuated = self.gateway.evacuated.borrow();
        let Some(configuration) = self.gateway.configuration() else {
            return Vec::new();
        };
        let is_eligible = |server: &&Rc<Server>| {
            let is_ready = server.state == ServerState::Ready && !server.models.is_empty();
            let is_known = configuration.services.contains_key(&server.service);
            is_ready && is_known && !evacuated.contains(&server.zone)
        };
        directory
            .all()
            .filter(is_eligible)
            .map(|server| {
                let placer = &directory.placer;
                let pending = placer.pending_load(now, &server.id);
                let pending = pending.map(|command| StartedLoad {
                    model: placer.model_name(command.model).to_owned(),
                    version: command.version,
                    since: command.since,
                });
                let loading = busy.get(&server.id).cloned().flatten().or(pending);
                let is_transferring =
                    loading.as_ref().is_some_and(|load| now < load.since + TRANSFER_TIME);
                EngineState {
                    server: server.clone(),
                    is_loading: busy.contains_key(&server.id) || loading.is_some(),
                    loading: loading.map(|load| (load.model, load.version)),
                    is_transferring,
                    in_flight: placer.in_flight(&server.id),
                }
            })
            .collect()
    }

    /// Whether this daemon should issue the commands that are due.
    fn is_my_turn(&self) -> bool {
        let gateway = &self.gateway;
        let holder = gateway.versions.lease.holder();
        let view = TakeoverView {
            holder: self.holder_state(holder.as_ref()),
            is_draining: gateway.draining.get(),
            is_candidate: is_candidate(gateway),
            listed_at: gateway.versions.listed_at(),
            ahead: takeover_order(gateway).position(&gateway.identity.node, holder.as_ref()),
            last_activity: self.last_activity(),
        };
        view.is_my_turn(gateway.now())
    }

    fn holder_state(&self, holder: Option<&NodeName>) -> Holder {
        let gateway = &self.gateway;
        match holder {
            None => Holder::Unknown,
            Some(holder) if *holder == gateway.identity.node.name => Holder::Local,
            Some(holder) if gateway.members.is_unreachable(gateway.now(), holder) => Holder::Lost,
            Some(_) => Holder::Reachable,
        }
    }

    /// When a command was last accepted, or impossible.
    ///
    /// Excludes the time before the newest version was published, the holder's wait after a
    /// takeover, and store outages: the lease cannot be renewed then, and a change of holder costs
    /// a pause.
    fn last_activity(&self) -> Option<Moment> {
        let versions = &self.gateway.versions;
        let newest = versions.newest();
        let newest = newest.values().map(|(_, since)| *since).max();
        let takeover = LEASE_DURATION + self.gateway.tuning().lease_pause;
        let holder_active = versions.lease.last_holder().map(|(_, since)| since + takeover);
        let store_reached = Some(self.gateway.store_reachable_since.get());
        [newest, versions.last_command(), holder_active, store_reached].into_iter().flatten().max()
    }

    /// Commands a load and waits until the server reports the version.
    async fn execute(self: Rc<Self>, load: Load) {
        let done = self.command_and_await(&load).await;
        if !done {
            // The outcome is unknown or negative, so the server is considered again after a delay.
            self.busy.borrow_mut().insert(load.server.clone(), None);
            Timer::after(RETRY_DELAY).await;
        }
        self.busy.borrow_mut().remove(&load.server);
        self.gateway.versions.changed.notify(usize::MAX);
    }

    async fn command_and_await(&self, load: &Load) -> bool {
        let gateway = &self.gateway;
        let Some(server) = gateway.directory.borrow().get(&load.server).cloned() else {
            return false;
        };
        let Some(report) = self.fetch_report(&server).await else {
            return false;
        };
        if report.incarnation > server.incarnation {
            // The server restarted, so its registration is out of date.
            return false;
        }
        if report.models.get(&load.model).is_some_and(|version| *version >= load.version) {
            self.note_loaded(&server, &report);
            return true;
        }
        if load.urgency == Urgency::WhenIdle && report.requests > 0 {
            return false;
        }
        if load.urgency == Urgency::WhenIdle && !self.lease.acquire_or_renew().await {
            return false;
        }
        let Some(fence) = self.lease.token() else {
            return false;
        };
        let command = VersionCommand {
            model: load.model.clone(),
            version: load.version,
            mode: SwapMode::Continue,
            holder: gateway.identity.node.name.to_string(),
            fence,
            expected_sequence: report.sequence,
        };
        gateway.metrics.load_commands.inc();
        let answer = self.call(&server, gateway.dialect.command_call(&command)).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=order_given server={} model={} version={} urgency={:?} fence={fence} expected={} status={}",
            server.id,
            load.model,
            load.version,
            load.urgency,
            report.sequence,
            status.map_or_else(|| "none".to_owned(), |status| status.as_u16().to_string())
        );
        match status {
            Some(StatusCode::ACCEPTED | StatusCode::OK) => {}
            // Without a response, reports show whether the command was accepted.
            None => {}
            Some(_) => return false,
        }
        if status.is_none() {
            Timer::after(REPORT_DELAY).await;
            let report = self.fetch_report(&server).await;
            let is_accepted =
                report.is_some_and(|now| now.busy || now.sequence != command.expected_sequence);
            if !is_accepted {
                // The next command expects the same sequence number, so at most one of them is
                // executed.
                return false;
            }
        } else {
            let holder = gateway.identity.node.name.clone();
            let server_run = (server.id.as_str(), server.incarnation);
            note_command_accepted(gateway, holder.clone(), server_run, &load.model, load.version);
            let hint = Hint::OrderTaken {
                holder,
                server: server.id.clone(),
                model: load.model.clone(),
                version: load.version,
                incarnation: server.incarnation,
            };
            announce_command(gateway, hint);
        }
        self.await_load(&server, load).await
    }

    /// Polls a server until it has loaded the version. Returns false if the load fails or times
    /// out.
    async fn await_load(&self, server: &Server, load: &Load) -> bool {
        let started = self.gateway.now();
        let mut delay = FIRST_POLL_DELAY;
        while self.gateway.now() < started + LOAD_TIMEOUT {
            Timer::after(delay).await;
            delay = POLL_PERIOD;
            if !self.is_registered(server) {
                return false;
            }
            let Some(report) = self.fetch_report(server).await else {
                continue;
            };
            let loaded = report.models.get(&load.model).copied().unwrap_or(0);
            if loaded >= load.version {
                self.note_loaded(server, &report);
                let millis = (self.gateway.now() - started).as_millis();
                log::info!(
                    "event=version_loaded server={} model={} version={loaded} after_ms={millis}",
                    server.id,
                    load.model
                );
                return true;
            }
            if !report.busy {
                // Not accepted or aborted; the plan selects the load again.
                return false;
            }
        }
        false
    }

    /// Whether this incarnation of a server is still registered.
    fn is_registered(&self, server: &Server) -> bool {
        let directory = self.gateway.directory.borrow();
        directory.get(&server.id).is_some_and(|known| known.incarnation == server.incarnation)
    }

    /// Applies the versions that a server reports before its registration shows them.
    fn note_loaded(&self, server: &Server, report: &EngineReport) {
        if !self.is_registered(server) || report.incarnation > server.incarnation {
            return;
        }
        let mut directory = self.gateway.directory.borrow_mut();
        let Some(known) = directory.get(&server.id) else {
            return;
        };
        let mut updated = Server::clone(known);
        let models = Rc::make_mut(&mut updated.models);
        for (model, version) in &report.models {
            let loaded = models.entry(model.clone()).or_default();
            *loaded = (*loaded).max(*version);
        }
        directory.insert(self.gateway.now(), updated);
        drop(directory);
        self.gateway.slot_queue.changed.notify(usize::MAX);
    }

    async fn fetch_report(&self, server: &Server) -> Option<EngineReport> {
        let answer = self.call(server, self.gateway.dialect.report_call()).await?;
        if answer.status != StatusCode::OK {
            return None;
        }
        match self.gateway.dialect.report(&answer.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!("event=report_malformed server={} error=\"{error}\"", server.id);
                None
            }
        }
    }

    /// Calls a server's management API. Returns `None` without a complete response.
    ///
    /// The call has no request id, so a response with one belongs to a request that was sent on the
    /// connection before.
    async fn call(&self, server: &Server, call: ServerCall) -> Option<FullResponse> {
        let names = self.gateway.dialect.headers();
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().ok()?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        headers.insert(http::header::HOST, host);
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(names.expected_server.clone(), HeaderValue::from_str(&server.id).ok()?);
        let pool = &self.gateway.server_connections;
        let response =
            pool.fetch(server.address, request, CALL_TIMEOUT, MAX_REPORT_BYTES).await.ok()?;
        let is_foreign = response.headers.contains_key(&names.request_id);
        if is_foreign {
            self.gateway.metrics.invalid_responses.inc();
            log::warn!("event=foreign_response server={} status={}", server.id, response.status);
        }
        Some(response).filter(|_| !is_foreign)
    }
}
