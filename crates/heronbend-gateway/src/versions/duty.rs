//! Holds the lease and gives the orders that the plan asks for.

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
use super::named::{candidates, is_candidate, newest_job, place_in_line};
use super::plan::{self, EngineState, Load, ModelState, Urgency};
use super::{EngineReport, SwapMode, VersionOrder};
use crate::configuration::{Destination, RouteKind};
use crate::directory::{Server, ServerState};
use crate::gateway::Gateway;
use crate::http::client::WholeAnswer;
use crate::lease_keeper::LeaseKeeper;
use crate::lease_news::LeaseName;
use crate::peers::Hint;
use crate::peers::INTRODUCTION;
use crate::ports::dialect::ServerCall;
use crate::wait;

/// How long a daemon waits for the one before it in line, when no order is seen to be taken.
const STALL: Duration = Duration::from_millis(2500);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a report shows whether an order was taken.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// First look at a server that is loading, and the time between further ones.
const FIRST_REPORT: Duration = Duration::from_millis(960);
const REPORT_PERIOD: Duration = Duration::from_millis(60);
/// Time from a load's begin after which it takes no part of what loads share. That it is over shows
/// some tenths of a second later.
const LOAD_SHARED: Duration = Duration::from_millis(1000);
/// How long a load is followed.
const LOAD_LIMIT: Duration = Duration::from_secs(6);
/// Rest after an order failed.
const FAILED_REST: Duration = Duration::from_millis(400);
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// Rest after a look at what is due, in times that it took: among thousands of servers something changes
/// all the time, and the looks take a tenth of the processor at most.
const PLAN_RESTS: u32 = 9;
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Notes an order that some daemon has given to a run of a server.
pub fn note_order_taken(
    gateway: &Rc<Gateway>,
    holder: NodeName,
    (server, incarnation): (&str, Incarnation),
    model: &str,
    version: u64,
) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    let is_known_run = directory.get(server).is_none_or(|known| known.incarnation == incarnation);
    // Daemons of an earlier build do not tell which run it was.
    if is_known_run || incarnation == Incarnation::default() {
        directory.placer.record_load_command(now, server, model, version);
    }
    drop(directory);
    gateway.versions.order_taken(now, holder);
    gateway.places.changed.notify(usize::MAX);
    wake_when_loaded(gateway);
}

/// Items that wait for a place look again when a load may be over.
fn wake_when_loaded(gateway: &Rc<Gateway>) {
    let waker = gateway.clone();
    let wake = async move {
        Timer::after(EXPECTED_LOAD_TIME).await;
        waker.places.changed.notify(usize::MAX);
    };
    gateway.executor.spawn(wake).detach();
}

/// Whether streams of clients go to servers that hold models.
fn serves_streams(gateway: &Gateway) -> bool {
    gateway.configuration().is_some_and(|configuration| {
        let has_models = |part: &Destination| {
            configuration.services.get(&part.service).is_some_and(|service| service.is_engine)
        };
        let streams = configuration.routes.iter().filter(|route| route.kind == RouteKind::Stream);
        streams.flat_map(|route| &route.destinations).any(has_models)
    })
}

/// Tells of an order whoever has to know: the daemons that run jobs, which send texts to the server, and
/// those that may give the next orders. Where clients' streams go to such servers, all daemons.
///
/// Told to all, the orders of one version for some hundred servers were some hundred thousand datagrams
/// among a thousand daemons, all from one.
fn tell_of_order(gateway: &Gateway, order: Hint) {
    if serves_streams(gateway) {
        gateway.members.tell_all(order);
        return;
    }
    let jobs = gateway.jobs.all();
    let open = jobs.iter().filter(|job| !job.ended.get());
    let mut concerned: BTreeSet<NodeId> = open.map(|job| job.owner()).collect();
    concerned.extend(candidates(gateway));
    concerned.remove(&gateway.identity.node);
    gateway.members.tell(concerned.into_iter().collect(), order);
}

/// A load that this daemon orders, or has ordered.
#[derive(Debug, Clone)]
struct Begun {
    model: String,
    version: u64,
    since: Moment,
}

struct Duty {
    gateway: Rc<Gateway>,
    lease: LeaseKeeper,
    /// Servers that an order is being given to, or that rest after one failed.
    busy: RefCell<HashMap<String, Option<Begun>>>,
    /// Time that the last looks at what is due took.
    plan_took: Cell<Duration>,
}

/// Runs until the daemon ends.
pub async fn run(gateway: Rc<Gateway>) {
    let lease = LeaseKeeper::new(gateway.clone(), LeaseName::Orders);
    let duty = Rc::new(Duty {
        gateway: gateway.clone(),
        lease,
        busy: RefCell::default(),
        plan_took: Cell::default(),
    });
    gateway.members.introduction.wait().await;
    // The others were told of the holder, and hear of its renewals.
    if is_candidate(&gateway) || !gateway.members.introduction.is_complete() {
        duty.lease.read().await;
    }
    loop {
        // Until others have been heard of, nobody can tell who of them is alive.
        Timer::after(INTRODUCTION.saturating_sub(gateway.now())).await;
        let changed = gateway.versions.changed.listen();
        for load in duty.loads_to_order().await {
            let (model, version, since) = (load.model.clone(), load.version, gateway.now());
            let begun = Begun { model, version, since };
            duty.busy.borrow_mut().insert(load.server.clone(), Some(begun));
            gateway.executor.spawn(duty.clone().carry_out(load)).detach();
        }
        Timer::after((duty.plan_took.take() * PLAN_RESTS).min(IDLE_WAIT)).await;
        wait::at_most(IDLE_WAIT, changed).await;
    }
}

impl Duty {
    /// The loads that this daemon is to order now.
    async fn loads_to_order(&self) -> Vec<Load> {
        let due = self.loads_due();
        let is_waiting = self.lease.waits_until().is_some();
        if due.is_empty() || is_waiting || !self.is_my_turn() {
            return Vec::new();
        }
        let is_urgent = due.iter().any(|load| load.urgency != Urgency::WhenIdle);
        // Loads that wait for an idle server renew the lease only once such a server is found.
        if is_urgent && !self.lease.ensure().await {
            return Vec::new();
        }
        self.loads_due()
    }

    fn loads_due(&self) -> Vec<Load> {
        let named = self.gateway.versions.named();
        if named.is_empty() {
            return Vec::new();
        }
        let now = self.gateway.now();
        let configuration = self.gateway.configuration();
        let is_cut_by_loads = configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| route.single_version)
        });
        let serves_streams = serves_streams(&self.gateway);
        let models = named
            .into_iter()
            .map(|(model, (version, since))| {
                let job = newest_job(&self.gateway, &model);
                let (demand, texts) = job.map_or((0, 0), |job| {
                    let ownership = &job.ownership.borrow().0;
                    (ownership.expected_tokens, ownership.total)
                });
                // How many streams come is not known beforehand: all servers take part.
                let texts = if serves_streams { 0 } else { texts };
                let is_pressed = self.gateway.versions.is_pressed(&model);
                let named_for = now.saturating_sub(since);
                let state =
                    ModelState { version, demand, texts, is_pressed, named_for, is_cut_by_loads };
                (model, state)
            })
            .collect();
        let due = plan::loads_due(&models, &self.engines());
        let took = self.gateway.now().saturating_sub(now);
        self.plan_took.set(self.plan_took.get() + took);
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
        let trains = |server: &&Rc<Server>| {
            let is_ready = server.state == ServerState::Ready && !server.models.is_empty();
            let is_known = configuration.services.contains_key(&server.service);
            is_ready && is_known && !evacuated.contains(&server.zone)
        };
        directory
            .all()
            .filter(trains)
            .map(|server| {
                let placer = &directory.placer;
                let open = placer.pending_load(now, &server.id);
                let open = open.map(|order| Begun {
                    model: placer.model_name(order.model).to_owned(),
                    version: order.version,
                    since: order.since,
                });
                let loading = busy.get(&server.id).cloned().flatten().or(open);
                let is_under_way =
                    loading.as_ref().is_some_and(|load| now < load.since + LOAD_SHARED);
                EngineState {
                    server: server.clone(),
                    is_loading: busy.contains_key(&server.id) || loading.is_some(),
                    loading: loading.map(|load| (load.model, load.version)),
                    is_under_way,
                    in_flight: placer.in_flight(&server.id),
                }
            })
            .collect()
    }

    /// Whether it falls to this daemon to give the orders that are due.
    ///
    /// The last holder goes on while it is alive. Otherwise the daemons that are alive stand in
    /// line, and each waits longer than the one before it: the first one may be cut off from the
    /// store without the others knowing.
    fn is_my_turn(&self) -> bool {
        let gateway = &self.gateway;
        let mut before = 0;
        let holder = gateway.versions.lease.last_holder().map(|(holder, _)| holder);
        if let Some(holder) = &holder {
            if *holder == gateway.identity.node.name {
                return true;
            }
            if gateway.draining.get() {
                return false;
            }
            if !gateway.members.is_name_lost(gateway.now(), holder) {
                before += 1;
            }
        }
        before += place_in_line(gateway, holder.as_ref());
        self.stalled_for() >= STALL * u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Time for which orders could have been given and were not.
    ///
    /// Not counted are the time before the newest version was named, that in which the holder has
    /// to wait for the one before it, and that in which the store was out of reach: nobody can
    /// renew the lease then, and to change the holder costs a pause.
    fn stalled_for(&self) -> Duration {
        let versions = &self.gateway.versions;
        let named = versions.named();
        let newest = named.values().map(|(_, since)| *since).max();
        let takeover = LEASE_DURATION + self.gateway.tuning().lease_pause;
        let holder_acts = versions.lease.last_holder().map(|(_, since)| since + takeover);
        let store_reached = Some(self.gateway.store_reached_since.get());
        let begun = [newest, versions.last_order(), holder_acts, store_reached].into_iter().max();
        self.gateway.now().saturating_sub(begun.flatten().unwrap_or_default())
    }

    /// Gives an order and follows it until the server shows the version.
    async fn carry_out(self: Rc<Self>, load: Load) {
        let done = self.order_and_follow(&load).await;
        if !done {
            // Whatever became of it, the server is looked at anew after a rest.
            self.busy.borrow_mut().insert(load.server.clone(), None);
            Timer::after(FAILED_REST).await;
        }
        self.busy.borrow_mut().remove(&load.server);
        self.gateway.versions.changed.notify(usize::MAX);
    }

    async fn order_and_follow(&self, load: &Load) -> bool {
        let gateway = &self.gateway;
        let Some(server) = gateway.directory.borrow().get(&load.server).cloned() else {
            return false;
        };
        let Some(report) = self.report(&server).await else {
            return false;
        };
        if report.incarnation > server.incarnation {
            // It has started again, and its entry of before tells nothing of it any more.
            return false;
        }
        if report.models.get(&load.model).is_some_and(|version| *version >= load.version) {
            self.note_loaded(&server, &report);
            return true;
        }
        if load.urgency == Urgency::WhenIdle && report.requests > 0 {
            return false;
        }
        if load.urgency == Urgency::WhenIdle && !self.lease.ensure().await {
            return false;
        }
        let Some(fence) = self.lease.token() else {
            return false;
        };
        let order = VersionOrder {
            model: load.model.clone(),
            version: load.version,
            mode: SwapMode::Continue,
            holder: gateway.identity.node.name.to_string(),
            fence,
            expected_sequence: report.sequence,
        };
        gateway.metrics.orders.inc();
        let answer = self.call(&server, gateway.dialect.order_call(&order)).await;
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
            // Without an answer the server may have taken it: its reports tell.
            None => {}
            Some(_) => return false,
        }
        if status.is_none() {
            Timer::after(REPORT_LAG).await;
            let report = self.report(&server).await;
            let is_taken =
                report.is_some_and(|now| now.busy || now.sequence != order.expected_sequence);
            if !is_taken {
                // The next order expects the same sequence, so that only one of them counts.
                return false;
            }
        } else {
            let holder = gateway.identity.node.name.clone();
            let run = (server.id.as_str(), server.incarnation);
            note_order_taken(gateway, holder.clone(), run, &load.model, load.version);
            let hint = Hint::OrderTaken {
                holder,
                server: server.id.clone(),
                model: load.model.clone(),
                version: load.version,
                incarnation: server.incarnation,
            };
            tell_of_order(gateway, hint);
        }
        self.follow(&server, load).await
    }

    /// Looks at a server until it has loaded; false when it has not.
    async fn follow(&self, server: &Server, load: &Load) -> bool {
        let begun = self.gateway.now();
        let mut rest = FIRST_REPORT;
        while self.gateway.now() < begun + LOAD_LIMIT {
            Timer::after(rest).await;
            rest = REPORT_PERIOD;
            if !self.is_listed(server) {
                return false;
            }
            let Some(report) = self.report(server).await else {
                continue;
            };
            let held = report.models.get(&load.model).copied().unwrap_or(0);
            if held >= load.version {
                self.note_loaded(server, &report);
                let millis = (self.gateway.now() - begun).as_millis();
                log::info!(
                    "event=version_loaded server={} model={} version={held} after_ms={millis}",
                    server.id,
                    load.model
                );
                return true;
            }
            if !report.busy {
                // Not taken, or dropped on the way: ordered anew by the plan.
                return false;
            }
        }
        false
    }

    /// Whether this very run of a server is listed.
    fn is_listed(&self, server: &Server) -> bool {
        let directory = self.gateway.directory.borrow();
        directory.get(&server.id).is_some_and(|known| known.incarnation == server.incarnation)
    }

    /// Takes a server's own word for its versions ahead of its entry.
    fn note_loaded(&self, server: &Server, report: &EngineReport) {
        if !self.is_listed(server) || report.incarnation > server.incarnation {
            return;
        }
        let mut directory = self.gateway.directory.borrow_mut();
        let Some(known) = directory.get(&server.id) else {
            return;
        };
        let mut updated = Server::clone(known);
        let models = Rc::make_mut(&mut updated.models);
        for (model, version) in &report.models {
            let held = models.entry(model.clone()).or_default();
            *held = (*held).max(*version);
        }
        directory.insert(self.gateway.now(), updated);
        drop(directory);
        self.gateway.places.changed.notify(usize::MAX);
    }

    async fn report(&self, server: &Server) -> Option<EngineReport> {
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

    /// Calls a server's own interface; nothing when there is no whole answer.
    async fn call(&self, server: &Server, call: ServerCall) -> Option<WholeAnswer> {
        let names = self.gateway.dialect.headers();
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().ok()?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        headers.insert(http::header::HOST, host);
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(names.expected_server.clone(), HeaderValue::from_str(&server.id).ok()?);
        let pool = &self.gateway.servers;
        pool.fetch(server.address, request, CALL_TIMEOUT, MAX_REPORT_BYTES).await.ok()
    }
}
