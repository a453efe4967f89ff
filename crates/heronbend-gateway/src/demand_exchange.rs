//! Exchanges the demand for services between daemons, and computes this daemon's shares.
//!
//! Daemons exchange reports only for services under pressure, at most one per
//! [`REPORT_INTERVAL`] and service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use heronbend::admission::adaptive_rate::Adjustment;
use heronbend::admission::adaptive_rate::LoadCounters;
use heronbend::admission::fleet_rate::Capacity;
use heronbend::admission::fleet_rate::LoadReport;
use heronbend::admission::shared_limit::Limit;
use heronbend::admission::shares::Demand;
use heronbend::admission::shares::TenantDemand;
use heronbend::admission::shares::CLASSES;
use heronbend::admission::shares::MAX_DAEMONS;
use heronbend::admission::shares::MAX_TENANTS;
use heronbend::admission::AdaptiveRate;
use heronbend::admission::SharedLimit;
use heronbend::membership::Liveness;
use heronbend::Moment;

use crate::gateway::Gateway;
use crate::peers::messages::DemandReport;
use crate::peers::messages::ReportedLoad;
use crate::peers::messages::ReportedTenant;
use crate::peers::Hint;

/// Shortest time between two reports of a service, on average.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two log lines about the share of a service from the same source.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of services with an exchange.
const MAX_SERVICES: usize = 256;
const MILLI: f64 = 1000.0;

/// Load of this daemon's calls to a service.
#[derive(Debug)]
pub struct LocalLoad<'a> {
    /// Demand in requests per second by priority class, most urgent first.
    pub requests_per_second: [f64; CLASSES],
    /// Demand of the tenants.
    pub tenants: Vec<TenantDemand>,
    /// What the daemon observed and learned by itself.
    pub observed: &'a AdaptiveRate,
}

/// State of the exchange.
#[derive(Debug, Default)]
pub struct DemandExchange {
    services: RefCell<HashMap<String, Service>>,
}

#[derive(Debug)]
struct Service {
    limit: SharedLimit,
    /// Whether the limit of this daemon's calls follows from it.
    is_in_use: bool,
    next_report_at: Moment,
    /// Limit that was logged last, and when.
    logged: Option<(Moment, Limit)>,
}

impl Service {
    fn new() -> Self {
        // Times are relative to the start of this process.
        let limit = SharedLimit::new(Moment::ZERO);
        Self { limit, is_in_use: false, next_report_at: Moment::ZERO, logged: None }
    }

    /// Whether a limit is to be logged: a new source at once, a different rate from time to time.
    fn is_news(&self, now: Moment, limit: &Limit) -> bool {
        self.logged.is_none_or(|(logged_at, logged)| {
            let is_due = now >= logged_at + LOG_INTERVAL;
            logged.source != limit.source || (is_due && logged.per_second != limit.per_second)
        })
    }
}

impl DemandExchange {
    /// Calls `action` with the exchange of a service, unless there are too many.
    fn with_service<T>(
        &self,
        now: Moment,
        service: &str,
        action: impl FnOnce(&mut Service) -> T,
    ) -> Option<T> {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.retain(|_, known| known.is_in_use || !known.limit.is_idle(now));
            if services.len() >= MAX_SERVICES {
                return None;
            }
            services.insert(service.to_owned(), Service::new());
        }
        services.get_mut(service).map(action)
    }
}

/// Reports the load of this daemon's calls to a service under pressure to the others, if a report
/// is due.
pub fn tell_load(gateway: &Gateway, service: &str, load: &LocalLoad) {
    if let Some(report) = prepare_report(gateway, service, load) {
        gateway.metrics.shares_told.inc();
        gateway.members.broadcast(Hint::DemandReported(report));
    }
}

/// Returns the report of this daemon's load that has to be sent, if one is due. Fleets of more than
/// [`MAX_DAEMONS`] send none.
pub fn prepare_report(gateway: &Gateway, service: &str, load: &LocalLoad) -> Option<DemandReport> {
    let now = gateway.now();
    let report = gateway.demand_exchange.with_service(now, service, |known| {
        known.is_in_use = true;
        update_members(gateway, &mut known.limit);
        if now < known.next_report_at || gateway.members.alive_count() >= MAX_DAEMONS {
            return None;
        }
        let latest_debt = now.saturating_sub(REPORT_INTERVAL);
        known.next_report_at = known.next_report_at.max(latest_debt) + REPORT_INTERVAL;
        Some(known.limit.announce(now, &own_demand(gateway, now, load), load.observed))
    });
    report.flatten().map(|report| encode(service, &report))
}

/// Returns the limit of this daemon's calls to a service, to be used for at most
/// [`EVALUATION_INTERVAL`](heronbend::admission::shares::EVALUATION_INTERVAL). `None` without an
/// exchange, or while no daemon is short.
pub fn shared_limit(gateway: &Gateway, service: &str, load: &LocalLoad) -> Option<Limit> {
    let now = gateway.now();
    let mut services = gateway.demand_exchange.services.borrow_mut();
    let known = services.get_mut(service).filter(|known| known.limit.is_under_pressure(now))?;
    let own = own_demand(gateway, now, load);
    if let Some(adjustment) = known.limit.update(now, &own.daemon) {
        log_capacity(service, &adjustment);
    }
    let limit = known.limit.limit(now, &own, load.observed.rate());
    if known.is_news(now, &limit) {
        known.logged = Some((now, limit));
        log_limit(service, &limit, known.limit.capacity());
    }
    Some(limit)
}

/// Records that this daemon refused a call to a service, or that a call found all servers full.
pub fn record_short(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    gateway.demand_exchange.with_service(now, service, |known| known.limit.record_short(now));
}

/// Whether any daemon has been short of a service recently. All daemons that use it then report
/// their load, so that others may borrow what they leave.
pub fn is_under_pressure(gateway: &Gateway, service: &str) -> bool {
    let services = gateway.demand_exchange.services.borrow();
    services.get(service).is_some_and(|known| known.limit.is_under_pressure(gateway.now()))
}

/// Ends the limit of a service.
pub fn end(gateway: &Gateway, service: &str) {
    if let Some(known) = gateway.demand_exchange.services.borrow_mut().get_mut(service) {
        known.is_in_use = false;
        known.logged = None;
        known.limit.end();
    }
}

/// Handles a report of another daemon.
pub fn receive(gateway: &Gateway, report: &DemandReport) {
    if report.daemon == gateway.identity.node.name {
        return;
    }
    let now = gateway.now();
    gateway.demand_exchange.with_service(now, &report.service, |known| match decode(report) {
        Reported::Load(load) => known.limit.receive(now, &load),
        Reported::Demand(demand) => known.limit.receive_demand(now, &demand),
    });
}

fn log_capacity(service: &str, adjustment: &Adjustment) {
    let text = |value: Option<f64>| value.map_or("none".to_owned(), |value| format!("{value:.2}"));
    log::info!(
        "event=capacity_changed service={service} capacity_per_s={} reason={} answered={} rejected={} found_full={} usual_share={} mean_share={}",
        text(adjustment.rate),
        adjustment.reason.name(),
        adjustment.answered,
        adjustment.rejected,
        adjustment.found_full,
        text(adjustment.usual_share),
        text(adjustment.mean_share)
    );
}

fn log_limit(service: &str, limit: &Limit, capacity: Option<Capacity>) {
    let text = |value: Option<f64>| value.map_or("none".to_owned(), |value| format!("{value:.1}"));
    log::info!(
        "event=share_changed service={service} rate_per_s={} source={} capacity_per_s={} divided_per_s={}",
        text(limit.per_second),
        limit.source.name(),
        text(capacity.map(|capacity| capacity.per_second)),
        text(capacity.map(|capacity| capacity.divided_per_second))
    );
}

fn update_members(gateway: &Gateway, limit: &mut SharedLimit) {
    let members = gateway.members.all();
    let has_left = |liveness| liveness == Liveness::Left;
    members
        .iter()
        .filter(|member| has_left(member.liveness))
        .for_each(|member| limit.forget(&member.id.name));
    let alive = members.into_iter().filter(|member| member.liveness <= Liveness::Suspect);
    let local = gateway.identity.node.name.clone();
    limit.set_members(gateway.now(), alive.map(|member| member.id.name).chain([local]));
}

fn own_demand(gateway: &Gateway, now: Moment, load: &LocalLoad) -> Demand {
    let node = &gateway.identity.node;
    let mut tenants = load.tenants.clone();
    tenants.sort_by(|a, b| b.requests_per_second.total_cmp(&a.requests_per_second));
    tenants.truncate(MAX_TENANTS);
    Demand {
        daemon: node.name.clone(),
        // The incarnation is the time of the start, so this grows across restarts.
        sent_millis: node.incarnation.0 + now.as_millis() as u64,
        requests_per_second: load.requests_per_second,
        tenants,
    }
}

fn encode(service: &str, report: &LoadReport) -> DemandReport {
    let demand = &report.demand;
    let tenant = |tenant: &TenantDemand| ReportedTenant {
        tenant_hash: tenant.tenant_hash,
        millirequests_per_second: to_milli(tenant.requests_per_second),
        milliweight: to_milli(tenant.weight),
    };
    DemandReport {
        daemon: demand.daemon.clone(),
        service: service.to_owned(),
        sent_millis: demand.sent_millis,
        millirequests_per_second: demand.requests_per_second.map(to_milli).to_vec(),
        tenants: demand.tenants.iter().map(tenant).collect(),
        load: Some(encode_load(report)),
    }
}

fn encode_load(report: &LoadReport) -> ReportedLoad {
    let counters = &report.counters;
    ReportedLoad {
        offered: counters.offered,
        refused: counters.refused,
        answered: counters.answered,
        rejected: counters.rejected,
        found_full: counters.found_full,
        latency_millishares: counters.latency_millishares,
        capacity_millirequests_per_second: report.capacity.map_or(0, |it| to_milli(it.per_second)),
        divided_millirequests_per_second: report
            .capacity
            .map_or(0, |it| to_milli(it.divided_per_second)),
        usual_millishare: report.usual_share.map_or(0, to_milli),
        is_short: report.is_short,
    }
}

/// Rounds up: a daemon may use less than it reports, but not more.
fn to_milli(value: f64) -> u64 {
    (value * MILLI).ceil() as u64
}

/// Content of a report.
enum Reported {
    Load(LoadReport),
    /// Of an earlier build.
    Demand(Demand),
}

fn decode(report: &DemandReport) -> Reported {
    let demand = decode_demand(report);
    let Some(load) = &report.load else { return Reported::Demand(demand) };
    let known = |milli: u64| (milli > 0).then(|| from_milli(milli));
    Reported::Load(LoadReport {
        demand,
        counters: LoadCounters {
            offered: load.offered,
            refused: load.refused,
            answered: load.answered,
            rejected: load.rejected,
            found_full: load.found_full,
            latency_millishares: load.latency_millishares,
        },
        capacity: known(load.capacity_millirequests_per_second).map(|per_second| Capacity {
            per_second,
            divided_per_second: from_milli(load.divided_millirequests_per_second),
        }),
        usual_share: known(load.usual_millishare),
        is_short: load.is_short,
    })
}

fn decode_demand(report: &DemandReport) -> Demand {
    let rates = &report.millirequests_per_second;
    let rate = |class: usize| rates.get(class).map_or(0.0, |rate| from_milli(*rate));
    let tenant = |tenant: &ReportedTenant| TenantDemand {
        tenant_hash: tenant.tenant_hash,
        requests_per_second: from_milli(tenant.millirequests_per_second),
        weight: from_milli(tenant.milliweight),
    };
    Demand {
        daemon: report.daemon.clone(),
        sent_millis: report.sent_millis,
        requests_per_second: std::array::from_fn(rate),
        tenants: report.tenants.iter().take(MAX_TENANTS).map(tenant).collect(),
    }
}

fn from_milli(value: u64) -> f64 {
    value as f64 / MILLI
}
