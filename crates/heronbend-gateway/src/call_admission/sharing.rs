//! Limits the calls to a service by this daemon's share of what the fleet may send.
//!
//! While any daemon is short of a service, the daemons that use it report their load and each works
//! out its share; see [`crate::demand_exchange`].

use std::rc::Rc;
use std::time::Duration;

use heronbend::admission::shared_limit::Source;
use smol::Timer;

use super::ServiceQueue;
use crate::admission_settings::LimitSource;
use crate::demand_exchange;
use crate::demand_exchange::LocalLoad;
use crate::gateway::Gateway;

/// Interval between two computations of the share. Shorter than
/// [`EVALUATION_INTERVAL`](heronbend::admission::shares::EVALUATION_INTERVAL).
const INTERVAL: Duration = Duration::from_millis(200);

/// Whether the settings ask for shared limits.
pub(super) fn is_enabled(gateway: &Gateway) -> bool {
    let settings = gateway.admission_settings();
    settings.is_some_and(|settings| settings.limit == LimitSource::Shared)
}

/// Starts to share the limit of a service if any daemon is short of it.
pub(super) fn start(gateway: &Rc<Gateway>, service: &Rc<ServiceQueue>) {
    if is_needed(gateway, service) && !service.is_sharing.replace(true) {
        let sharing = run(gateway.clone(), service.clone());
        gateway.executor.spawn(sharing).detach();
    }
}

fn is_needed(gateway: &Gateway, service: &ServiceQueue) -> bool {
    is_enabled(gateway)
        && demand_exchange::is_under_pressure(gateway, &service.name)
        && service.is_enabled(gateway)
}

/// Reports the load and applies the limit until no daemon is short of the service.
async fn run(gateway: Rc<Gateway>, service: Rc<ServiceQueue>) {
    service.rate.borrow_mut().set_overloaded(true);
    while is_needed(&gateway, &service) {
        apply_limit(&gateway, &service);
        Timer::after(INTERVAL).await;
    }
    demand_exchange::end(&gateway, &service.name);
    service.is_sharing.set(false);
    service.rate.borrow_mut().set_overloaded(false);
    // What the daemon learned meanwhile was not in force, unless shared limits were disabled.
    if is_enabled(&gateway) {
        service.rate.borrow_mut().end_limit();
    }
    let learned = service.rate.borrow().rate();
    service.set_rate(&gateway, learned);
}

fn apply_limit(gateway: &Gateway, service: &ServiceQueue) {
    let now = gateway.now();
    let requests_per_second = service.demand.borrow_mut().demand(now);
    let tenants = service.demand.borrow().tenants(now);
    let observed = service.rate.borrow();
    let load = LocalLoad { requests_per_second, tenants, observed: &observed };
    demand_exchange::tell_load(gateway, &service.name, &load);
    let Some(limit) = demand_exchange::shared_limit(gateway, &service.name, &load) else {
        return;
    };
    if limit.source == Source::Share {
        gateway.metrics.shares_used.inc();
    }
    service.set_rate(gateway, limit.per_second);
}
