//! Exchanges the demand for services between daemons, and computes this daemon's shares.
//!
//! Daemons exchange reports only for services under pressure, at most one per
//! [`REPORT_INTERVAL`] and service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use heronbend::admission::shares::Demand;
use heronbend::admission::shares::Shares;
use heronbend::admission::shares::TenantDemand;
use heronbend::admission::shares::CLASSES;
use heronbend::admission::shares::MAX_DAEMONS;
use heronbend::admission::shares::MAX_TENANTS;
use heronbend::membership::Liveness;
use heronbend::Moment;

use crate::gateway::Gateway;
use crate::peers::messages::DemandReport;
use crate::peers::messages::ReportedTenant;
use crate::peers::Hint;

/// Shortest time between two reports of a service, on average.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of services with an exchange.
const MAX_SERVICES: usize = 256;
const MILLI: f64 = 1000.0;

/// Demand of this daemon for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalDemand {
    /// Demand in requests per second by priority class, most urgent first.
    pub requests_per_second: [f64; CLASSES],
    /// Demand of the tenants.
    pub tenants: Vec<TenantDemand>,
    /// Requests per second that all servers of the service can handle.
    pub capacity_per_second: f64,
}

/// State of the exchange.
#[derive(Debug, Default)]
pub struct DemandExchange {
    services: RefCell<HashMap<String, Service>>,
}

#[derive(Debug)]
struct Service {
    shares: Shares,
    demand: Option<LocalDemand>,
    next_report_at: Moment,
    is_fallback: bool,
}

impl Service {
    fn new() -> Self {
        // Times are relative to the start of this process.
        let shares = Shares::new(Moment::ZERO);
        Self { shares, demand: None, next_report_at: Moment::ZERO, is_fallback: false }
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
            services.retain(|_, known| known.shares.is_active(now));
            if services.len() >= MAX_SERVICES {
                return None;
            }
            services.insert(service.to_owned(), Service::new());
        }
        services.get_mut(service).map(action)
    }
}

/// Records the demand of this daemon for a service under pressure, and reports it to the others.
pub fn note_demand(gateway: &Gateway, service: &str, demand: LocalDemand) {
    if let Some(report) = prepare_report(gateway, service, demand) {
        gateway.members.broadcast(Hint::DemandReported(report));
    }
}

/// Records the demand of this daemon, and returns the report that has to be sent, if one is due.
pub fn prepare_report(
    gateway: &Gateway,
    service: &str,
    demand: LocalDemand,
) -> Option<DemandReport> {
    let now = gateway.now();
    let report = gateway.demand_exchange.with_service(now, service, |known| {
        update_members(gateway, &mut known.shares);
        let own = own_demand(gateway, now, &demand);
        known.demand = Some(demand);
        if now < known.next_report_at || gateway.members.alive_count() >= MAX_DAEMONS {
            return None;
        }
        let latest_debt = now.saturating_sub(REPORT_INTERVAL);
        known.next_report_at = known.next_report_at.max(latest_debt) + REPORT_INTERVAL;
        Some(known.shares.announce(now, &own))
    });
    report.flatten().map(|report| encode(service, &report))
}

/// Returns this daemon's share of a service, in requests per second, to be used for at most
/// [`EVALUATION_INTERVAL`](heronbend::admission::shares::EVALUATION_INTERVAL). `None` without an
/// exchange, or while this daemon has not noted its demand.
pub fn shared_rate(gateway: &Gateway, service: &str) -> Option<f64> {
    let now = gateway.now();
    let mut services = gateway.demand_exchange.services.borrow_mut();
    let known = services.get_mut(service)?;
    let demand = known.demand.as_ref().filter(|_| known.shares.is_active(now))?;
    let own = own_demand(gateway, now, demand);
    let local = &gateway.identity.node.name;
    let share = known.shares.share(now, local, &own, demand.capacity_per_second);
    if known.is_fallback != share.is_fallback {
        known.is_fallback = share.is_fallback;
        log::info!(
            "event=share_changed service={service} is_fallback={} requests_per_second={:.3} \
             capacity_per_second={:.3}",
            share.is_fallback,
            share.requests_per_second,
            demand.capacity_per_second
        );
    }
    Some(share.requests_per_second)
}

/// Whether any daemon has reported its demand for a service recently. All daemons that use the
/// service then have to note their demand, so that others may borrow what they leave.
pub fn is_under_pressure(gateway: &Gateway, service: &str) -> bool {
    let services = gateway.demand_exchange.services.borrow();
    services.get(service).is_some_and(|known| known.shares.is_active(gateway.now()))
}

/// Handles a report of another daemon.
pub fn receive(gateway: &Gateway, report: &DemandReport) {
    if report.daemon == gateway.identity.node.name {
        return;
    }
    let now = gateway.now();
    gateway
        .demand_exchange
        .with_service(now, &report.service, |known| known.shares.report(now, &decode(report)));
}

fn update_members(gateway: &Gateway, shares: &mut Shares) {
    let members = gateway.members.all();
    let has_left = |liveness| liveness == Liveness::Left;
    members
        .iter()
        .filter(|member| has_left(member.liveness))
        .for_each(|member| shares.forget(&member.id.name));
    let alive = members.into_iter().filter(|member| member.liveness <= Liveness::Suspect);
    let local = gateway.identity.node.name.clone();
    shares.set_members(gateway.now(), alive.map(|member| member.id.name).chain([local]));
}

fn own_demand(gateway: &Gateway, now: Moment, demand: &LocalDemand) -> Demand {
    let node = &gateway.identity.node;
    let mut tenants = demand.tenants.clone();
    tenants.sort_by(|a, b| b.requests_per_second.total_cmp(&a.requests_per_second));
    tenants.truncate(MAX_TENANTS);
    Demand {
        daemon: node.name.clone(),
        // The incarnation is the time of the start, so this grows across restarts.
        sent_millis: node.incarnation.0 + now.as_millis() as u64,
        requests_per_second: demand.requests_per_second,
        tenants,
    }
}

fn encode(service: &str, demand: &Demand) -> DemandReport {
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
    }
}

/// Rounds up: a daemon may use less than it reports, but not more.
fn to_milli(value: f64) -> u64 {
    (value * MILLI).ceil() as u64
}

fn decode(report: &DemandReport) -> Demand {
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
