//! Limits the calls to a service by this daemon's share of its capacity.
//!
//! While any daemon is short of a service, the daemons that use it report their demand and each
//! works out its share; see [`crate::demand_exchange`]. The learned rate decides when a service is
//! under pressure, and stands in until there is a share.

use std::rc::Rc;
use std::time::Duration;

use heronbend::admission::shares::CLASSES;
use heronbend::Moment;
use smol::Timer;

use super::ServiceQueue;
use crate::admission_settings::LimitSource;
use crate::demand_exchange;
use crate::demand_exchange::LocalDemand;
use crate::gateway::Gateway;
use crate::slot_queue;

/// Interval between two computations of the share. Shorter than
/// [`EVALUATION_INTERVAL`](heronbend::admission::shares::EVALUATION_INTERVAL).
const INTERVAL: Duration = Duration::from_millis(200);
/// Time constant of the measured demand.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// Factor by which more is announced than was asked, since an increase takes effect late.
const HEADROOM: f64 = 1.25;
/// Work of a call if none is known, in seconds.
const DEFAULT_WORK_SECONDS: f64 = 0.02;

/// Rates at which callers ask for a service, by priority class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandMeter {
    per_second: [f64; CLASSES],
    updated_at: Moment,
}

impl DemandMeter {
    /// Records a call.
    pub(super) fn record(&mut self, now: Moment, priority: u8) {
        *self = Self { per_second: self.per_second(now), updated_at: now };
        let class = usize::from(priority).min(CLASSES - 1);
        self.per_second[class] += 1.0 / DEMAND_MEMORY.as_secs_f64();
    }

    /// Calls per second by priority class, most urgent first.
    fn per_second(&self, now: Moment) -> [f64; CLASSES] {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining = (-age / DEMAND_MEMORY.as_secs_f64()).exp();
        self.per_second.map(|rate| rate * remaining)
    }
}

/// Starts to share the capacity of a service, if the settings ask for it and it is under pressure.
pub(super) fn start(gateway: &Rc<Gateway>, service: &Rc<ServiceQueue>) {
    if is_needed(gateway, service) && !service.is_sharing.replace(true) {
        let sharing = run(gateway.clone(), service.clone());
        gateway.executor.spawn(sharing).detach();
    }
}

fn is_needed(gateway: &Gateway, service: &ServiceQueue) -> bool {
    let settings = gateway.admission_settings();
    let is_shared = settings.is_some_and(|settings| settings.limit == LimitSource::Shared);
    let is_short = service.rate.borrow().rate().is_some();
    is_shared && (is_short || demand_exchange::is_under_pressure(gateway, &service.name))
}

/// Reports the demand and applies the share until the service is no longer under pressure.
async fn run(gateway: Rc<Gateway>, service: Rc<ServiceQueue>) {
    while is_needed(&gateway, &service) {
        demand_exchange::note_demand(&gateway, &service.name, local_demand(&gateway, &service));
        gateway.metrics.shares_told.inc();
        let share = demand_exchange::shared_rate(&gateway, &service.name);
        if share.is_some() {
            gateway.metrics.shares_used.inc();
        }
        let learned = service.rate.borrow().rate();
        // A share of nothing, as just after the start, would admit nobody; the learned rate stands
        // in.
        service.set_rate(&gateway, share.filter(|rate| *rate > 0.0).or(learned));
        Timer::after(INTERVAL).await;
    }
    service.is_sharing.set(false);
    let learned = service.rate.borrow().rate();
    service.set_rate(&gateway, learned);
}

fn local_demand(gateway: &Gateway, service: &ServiceQueue) -> LocalDemand {
    let now = gateway.now();
    let requirements = slot_queue::requirements(gateway, &service.name, None, None);
    let slots = gateway.directory.borrow().placer.total_slots(now, &requirements);
    let usual = service.rate.borrow().usual_share();
    let work = usual.map(|share| share * service.objective.get().as_secs_f64());
    let work = work.filter(|seconds| *seconds > 0.0).unwrap_or(DEFAULT_WORK_SECONDS);
    LocalDemand {
        requests_per_second: service.demand.borrow().per_second(now).map(|rate| rate * HEADROOM),
        tenants: Vec::new(),
        capacity_per_second: f64::from(slots) / work,
    }
}
