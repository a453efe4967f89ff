//! Orders servers, at the daemon that holds the lease for duties.

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

use super::line;
use crate::batch::registry::Job;
use crate::configuration::Configuration;
use crate::configuration::RouteKind;
use crate::configuration::Scaling;
use crate::directory::ServerState;
use crate::gateway::Gateway;
use crate::lease_keeper::LeaseKeeper;
use crate::ports::Actor;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::Provider;
use crate::ports::ProviderError;
use crate::ports::Revision;
use crate::ports::ServerOrder;
use crate::ports::StoreError;

/// Kind of the records of what was ordered; their names are those of the services.
const RECORD_KIND: &str = "heronbend-scaling";
/// Time between two looks at what is to be ordered. Servers take longer to start.
const LOOK: Duration = Duration::from_secs(1);
/// Time after the start, or after the store answers again, in which nothing is ordered: entries of
/// servers come back within two seconds.
const SETTLING: Duration = Duration::from_secs(5);
/// Steps that ended within this time are looked at.
const RECENT: Duration = Duration::from_secs(10);
/// How many revocable servers are ordered.
const POLICY: Policy = Policy::OnDemandOnly;

/// What is known of the orders of one service.
struct Plan {
    planner: Planner,
    revision: Option<Revision>,
}

struct Scaler {
    gateway: Rc<Gateway>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseKeeper>,
    plans: BTreeMap<String, Plan>,
    /// When a step was last seen to be near its limit.
    pressed: Moment,
}

/// Runs until the daemon ends.
pub async fn run(gateway: Rc<Gateway>, provider: Rc<dyn Provider>, lease: Rc<LeaseKeeper>) {
    gateway.members.introduction.wait().await;
    let mut scaler =
        Scaler { gateway, provider, lease, plans: BTreeMap::new(), pressed: Moment::ZERO };
    loop {
        Timer::after(LOOK).await;
        if scaler.is_settled() && line::is_first(&scaler.gateway) {
            scaler.look().await;
        } else {
            // Whoever orders meanwhile writes what it ordered.
            scaler.plans.clear();
        }
    }
}

impl Scaler {
    fn is_settled(&self) -> bool {
        let gateway = &self.gateway;
        let since = gateway.store_reached_since.get();
        gateway.is_ready() && gateway.store.is_reached() && gateway.now() >= since + SETTLING
    }

    async fn look(&mut self) {
        let Some(configuration) = self.gateway.configuration() else {
            return;
        };
        for service in configuration.services.values() {
            if let Some(scaling) = &service.scaling {
                self.look_at(&configuration, &service.name, scaling).await;
            }
        }
    }

    async fn look_at(&mut self, configuration: &Configuration, service: &str, scaling: &Scaling) {
        let zones = self.zones(service, scaling);
        let demand = self.demand(configuration, service);
        if !self.plans.contains_key(service) {
            let Some(plan) = self.read(service).await else {
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
            // Nothing is sent there: servers would be paid for and stand idle.
            if self.gateway.evacuated.borrow().contains(&order.zone) {
                continue;
            }
            if !self.lease.ensure().await {
                break;
            }
            let outcome = self.give(service, &order, &zones, demand).await;
            plan.planner.record_outcome(self.gateway.now(), &order, outcome);
            has_changed |= outcome == OrderOutcome::Accepted && order.is_revocable;
        }
        if !has_changed || self.write(service, &mut plan).await {
            self.plans.insert(service.to_owned(), plan);
        }
    }

    /// The servers of a service by zone, as they are listed.
    fn zones(&self, service: &str, scaling: &Scaling) -> Vec<Zone> {
        let directory = self.gateway.directory.borrow();
        let listed = directory
            .all()
            .filter(|server| server.service == service && server.state == ServerState::Ready);
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        for server in listed {
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

    /// How near to their limit the steps of a service are.
    fn demand(&mut self, configuration: &Configuration, service: &str) -> Demand {
        let now = self.gateway.now();
        let due = configuration
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Rollout)
            .filter(|route| route.destinations.iter().any(|part| part.service == service))
            .filter_map(|route| route.result_deadline)
            .min();
        let jobs = self.gateway.jobs.all();
        let times = jobs.iter().filter_map(|job| step_time(job, now));
        let slowest_step = due.zip(times.max()).map(|(due, time)| time.div_duration_f64(due));
        if slowest_step.is_some_and(|share| share > NEAR_DEADLINE) {
            self.pressed = now;
        }
        Demand { slowest_step, calm_for: now.saturating_sub(self.pressed) }
    }

    async fn give(
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
        let given = self.provider.order_servers(&call, &actor).await;
        self.gateway.metrics.duty_called("scale", given.is_ok());
        let there = zones.iter().find(|zone| zone.name == order.zone);
        log::info!(
            "event=servers_ordered service={service} zone={} revocable={} count={} on_demand={} revocable_there={} slowest_step={:.2} fence={fence} outcome={}",
            order.zone,
            order.is_revocable,
            order.count,
            there.map_or(0, |zone| zone.on_demand),
            there.map_or(0, |zone| zone.revocable),
            demand.slowest_step.unwrap_or_default(),
            given.as_ref().map_or_else(ToString::to_string, |()| "done".to_owned())
        );
        match given {
            Ok(()) => OrderOutcome::Accepted,
            // It would be refused again: the same rest as where there are none.
            Err(ProviderError::NoneToBeHad | ProviderError::Refused(_)) => OrderOutcome::NoCapacity,
            Err(ProviderError::Fenced) => {
                self.lease.lost_track();
                OrderOutcome::Failed
            }
            Err(ProviderError::NotDone(_) | ProviderError::Unknown(_)) => OrderOutcome::Failed,
        }
    }

    /// What was ordered before; nothing where the store does not tell.
    async fn read(&self, service: &str) -> Option<Plan> {
        match self.gateway.store.get(RECORD_KIND, service).await {
            Ok(None) => {
                let planner = Planner::new(POLICY, PlannerState::default());
                Some(Plan { planner, revision: None })
            }
            Ok(Some(object)) => plan_of(&object),
            Err(error) => {
                log::warn!("event=scaling_not_read service={service} error=\"{error}\"");
                None
            }
        }
    }

    /// Writes what was ordered; false when it has to be read again.
    async fn write(&self, service: &str, plan: &mut Plan) -> bool {
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

fn plan_of(object: &Object) -> Option<Plan> {
    match serde_json::from_value::<PlannerState>(object.content.clone()) {
        Ok(memory) => {
            let planner = Planner::new(POLICY, memory);
            Some(Plan { planner, revision: Some(object.revision) })
        }
        Err(error) => {
            log::error!("event=scaling_malformed service={} error=\"{error}\"", object.name);
            None
        }
    }
}

/// Time that a trainer's step has taken, if it is under way or ended a moment ago.
fn step_time(job: &Job, now: Moment) -> Option<Duration> {
    job.ownership.borrow().0.model.as_ref()?;
    match job.ended_since.get() {
        Some(ended) if now.saturating_sub(ended) > RECENT => None,
        Some(ended) => Some(ended.saturating_sub(job.known_since)),
        None => Some(now.saturating_sub(job.known_since)),
    }
}
