//! Scales services by ordering servers, at the daemon that holds the lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::scaling::policy::NEAR_DEADLINE;
use heronbend::scaling::Demand;
use heronbend::scaling::Order;
use heronbend::scaling::OrderOutcome;
use heronbend::scaling::Planner;
use heronbend::scaling::PlannerState;
use heronbend::scaling::Policy;
use heronbend::scaling::Zone;
use heronbend::Moment;
use smol::Timer;

use super::takeover;
use crate::batch::registry::Job;
use crate::configuration::Configuration;
use crate::configuration::RouteKind;
use crate::configuration::Scaling;
use crate::directory::ServerState;
use crate::gateway::Gateway;
use crate::lease_manager::LeaseManager;
use crate::ports::Actor;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::Provider;
use crate::ports::ProviderError;
use crate::ports::Revision;
use crate::ports::ServerOrder;
use crate::ports::StoreError;

/// Kind of the planner state records, which are named by service.
const RECORD_KIND: &str = "heronbend-scaling";
/// Interval between plans. Shorter than the start time of a server.
const PLANNING_PERIOD: Duration = Duration::from_secs(1);
/// Time after a start or store outage during which nothing is ordered, so that servers can register
/// again.
const STABILIZATION_TIME: Duration = Duration::from_secs(5);
/// How long completed steps are considered.
const RECENT_STEP_WINDOW: Duration = Duration::from_secs(10);
/// Policy for revocable servers.
const POLICY: Policy = Policy::OnDemandOnly;

/// Planner of one service, and the revision of its stored state.
struct ServicePlan {
    planner: Planner,
    revision: Option<Revision>,
}

struct Scaler {
    gateway: Rc<Gateway>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseManager>,
    plans: BTreeMap<String, ServicePlan>,
    /// When a step was last seen near its deadline.
    last_pressure: Moment,
}

/// Runs until the daemon stops.
pub async fn run(gateway: Rc<Gateway>, provider: Rc<dyn Provider>, lease: Rc<LeaseManager>) {
    gateway.members.bootstrap.wait().await;
    let mut scaler =
        Scaler { gateway, provider, lease, plans: BTreeMap::new(), last_pressure: Moment::ZERO };
    loop {
        Timer::after(PLANNING_PERIOD).await;
        if scaler.is_stable() && takeover::is_first(&scaler.gateway) {
            scaler.scale_all().await;
        } else {
            // Another daemon may order servers now; its state is read from the store later.
            scaler.plans.clear();
        }
    }
}

impl Scaler {
    fn is_stable(&self) -> bool {
        let gateway = &self.gateway;
        let since = gateway.store_reachable_since.get();
        gateway.is_ready()
            && gateway.store.is_reachable()
            && gateway.now() >= since + STABILIZATION_TIME
    }

    async fn scale_all(&mut self) {
        let Some(configuration) = self.gateway.configuration() else {
            return;
        };
        for service in configuration.services.values() {
            if let Some(scaling) = &service.scaling {
                self.scale_service(&configuration, &service.name, scaling).await;
            }
        }
    }

    async fn scale_service(
        &mut self,
        configuration: &Configuration,
        service: &str,
        scaling: &Scaling,
    ) {
        let zones = self.zones(service, scaling);
        let demand = self.demand(configuration, service);
        if !self.plans.contains_key(service) {
            let Some(plan) = self.load_plan(service).await else {
                return;
            };
            self.plans.insert(service.to_owned(), plan);
        }
        let Some(mut plan) = self.plans.remove(service) else {
            return;
        };
        let mut has_changed = plan.planner.record_floor(&zones);
        let now = self.gateway.now();
        for order in plan.planner.plan(now, &scaling.spec, &zones, demand) {
            // No requests are sent to an evacuated zone, so new servers would be idle.
            if self.gateway.evacuated.borrow().contains(&order.zone) {
                continue;
            }
            if !self.lease.acquire_or_renew().await {
                break;
            }
            let outcome = self.send_order(service, &order, &zones, demand).await;
            plan.planner.record_outcome(self.gateway.now(), &order, outcome);
            has_changed |= outcome == OrderOutcome::Accepted && order.is_revocable;
        }
        if !has_changed || self.save_plan(service, &mut plan).await {
            self.plans.insert(service.to_owned(), plan);
        }
    }

    /// The ready servers of a service by zone.
    fn zones(&self, service: &str, scaling: &Scaling) -> Vec<Zone> {
        let directory = self.gateway.directory.borrow();
        let ready = directory
            .all()
            .filter(|server| server.service == service && server.state == ServerState::Ready);
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        for server in ready {
            let zone = zones.entry(&server.zone).or_insert_with(|| Zone {
                name: server.zone.clone(),
                price: scaling.zone_prices.get(&server.zone).copied().unwrap_or(1.0),
                on_demand: 0,
                revocable: 0,
            });
            if server.is_revocable {
                zone.revocable += 1;
            } else {
                zone.on_demand += 1;
            }
        }
        zones.into_values().collect()
    }

    /// How close the steps of a service are to their deadline.
    fn demand(&mut self, configuration: &Configuration, service: &str) -> Demand {
        let now = self.gateway.now();
        let deadline = configuration
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Rollout)
            .filter(|route| route.destinations.iter().any(|part| part.service == service))
            .filter_map(|route| route.result_deadline)
            .min();
        let jobs = self.gateway.jobs.all();
        let times = jobs.iter().filter_map(|job| step_time(job, now));
        let slowest_step =
            deadline.zip(times.max()).map(|(deadline, time)| time.div_duration_f64(deadline));
        if slowest_step.is_some_and(|share| share > NEAR_DEADLINE) {
            self.last_pressure = now;
        }
        Demand { slowest_step, calm_for: now.saturating_sub(self.last_pressure) }
    }

    async fn send_order(
        &self,
        service: &str,
        order: &Order,
        zones: &[Zone],
        demand: Demand,
    ) -> OrderOutcome {
        let Some(fence) = self.lease.token() else {
            return OrderOutcome::Failed;
        };
        let actor = Actor { holder: self.gateway.identity.node.name.clone(), fence };
        let call = ServerOrder {
            service: service.to_owned(),
            zone: order.zone.clone(),
            count: order.count,
            is_revocable: order.is_revocable,
        };
        let result = self.provider.order_servers(&call, &actor).await;
        self.gateway.metrics.record_provider_call("scale", result.is_ok());
        let zone = zones.iter().find(|zone| zone.name == order.zone);
        log::info!(
            "event=servers_ordered service={service} zone={} revocable={} count={} on_demand={} revocable_there={} slowest_step={:.2} fence={fence} outcome={}",
            order.zone,
            order.is_revocable,
            order.count,
            zone.map_or(0, |zone| zone.on_demand),
            zone.map_or(0, |zone| zone.revocable),
            demand.slowest_step.unwrap_or_default(),
            result.as_ref().map_or_else(ToString::to_string, |()| "done".to_owned())
        );
        match result {
            Ok(()) => OrderOutcome::Accepted,
            // A retry would be rejected too, so back off as if there were no capacity.
            Err(ProviderError::NoCapacity | ProviderError::Refused(_)) => OrderOutcome::NoCapacity,
            Err(ProviderError::Fenced) => {
                self.lease.invalidate();
                OrderOutcome::Failed
            }
            Err(ProviderError::NotDone(_) | ProviderError::Unknown(_)) => OrderOutcome::Failed,
        }
    }

    /// Reads the stored planner state. Returns `None` if the store fails or the record is
    /// malformed.
    async fn load_plan(&self, service: &str) -> Option<ServicePlan> {
        match self.gateway.store.get(RECORD_KIND, service).await {
            Ok(None) => {
                let planner = Planner::new(POLICY, PlannerState::default());
                Some(ServicePlan { planner, revision: None })
            }
            Ok(Some(object)) => parse_plan(&object),
            Err(error) => {
                log::warn!("event=scaling_not_read service={service} error=\"{error}\"");
                None
            }
        }
    }

    /// Writes the planner state. Returns false if it has to be read again.
    async fn save_plan(&self, service: &str, plan: &mut ServicePlan) -> bool {
        let content = serde_json::json!(plan.planner.state());
        let store = &self.gateway.store;
        let written = match plan.revision {
            Some(at) => store.replace(RECORD_KIND, service, content, Condition::At(at)).await,
            None => store.create(RECORD_KIND, service, content).await,
        };
        match written {
            Ok(object) => {
                plan.revision = Some(object.revision);
                true
            }
            Err(StoreError::Conflict(_)) => false,
            Err(error) => {
                log::warn!("event=scaling_not_written service={service} error=\"{error}\"");
                false
            }
        }
    }
}

fn parse_plan(object: &Object) -> Option<ServicePlan> {
    match serde_json::from_value::<PlannerState>(object.content.clone()) {
        Ok(state) => {
            let planner = Planner::new(POLICY, state);
            Some(ServicePlan { planner, revision: Some(object.revision) })
        }
        Err(error) => {
            log::error!("event=scaling_malformed service={} error=\"{error}\"", object.name);
            None
        }
    }
}

/// Duration of a trainer's step so far, if it is in progress or ended recently.
fn step_time(job: &Job, now: Moment) -> Option<Duration> {
    job.ownership.borrow().0.model.as_ref()?;
    match job.ended_at.get() {
        Some(ended) if now.saturating_sub(ended) > RECENT_STEP_WINDOW => None,
        Some(ended) => Some(ended.saturating_sub(job.first_seen)),
        None => Some(now.saturating_sub(job.first_seen)),
    }
}
