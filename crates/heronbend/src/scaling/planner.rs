//! Plans the orders that bring the observed servers to the wanted counts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Demand;
use super::Policy;
use super::ScalingSpec;
use super::Zone;
use crate::Moment;

/// Delay before servers of a kind are ordered again in a zone without capacity.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_secs(8);
/// Delay, beyond the boot time, before missing servers are ordered again. Longer than a
/// registration takes to expire and reappear.
const REORDER_MARGIN: Duration = Duration::from_secs(6);

/// An order that sets the number of servers of one kind in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Name of the zone.
    pub zone: String,
    /// Whether the order is for revocable servers.
    pub is_revocable: bool,
    /// Target number of servers.
    pub count: u32,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The provider accepted the order.
    Accepted,
    /// The provider has no capacity for it at present.
    NoCapacity,
    /// The order failed, or its result is unknown.
    Failed,
}

/// State of a planner that is kept in the store, for the next daemon that plans.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerState {
    /// Initial number of on-demand servers by zone.
    pub floor: BTreeMap<String, u32>,
    /// Number of revocable servers last ordered, by zone.
    pub revocable: BTreeMap<String, u32>,
}

/// The last order for one kind of server in one zone.
#[derive(Debug, Clone, Copy, Default)]
struct RecentOrder {
    ordered_at: Option<Moment>,
    backoff_until: Moment,
}

/// Plans the server orders of one service.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    state: PlannerState,
    /// Recent orders by zone and whether they are for revocable servers.
    recent: BTreeMap<(String, bool), RecentOrder>,
}

impl Planner {
    /// Creates a planner that continues from a stored state.
    pub fn new(policy: Policy, state: PlannerState) -> Self {
        Self { policy, state, recent: BTreeMap::new() }
    }

    /// The state to store for the next planner.
    pub fn state(&self) -> &PlannerState {
        &self.state
    }

    /// Records the current number of on-demand servers by zone as the floor, unless one is set.
    /// Returns whether it was recorded.
    pub fn record_floor(&mut self, zones: &[Zone]) -> bool {
        if !self.state.floor.is_empty() || zones.is_empty() {
            return false;
        }
        let floor = zones.iter().map(|zone| (zone.name.clone(), zone.on_demand));
        self.state.floor = floor.collect();
        true
    }

    /// Plans the orders to send now.
    pub fn plan(
        &self,
        now: Moment,
        spec: &ScalingSpec,
        zones: &[Zone],
        demand: Demand,
    ) -> Vec<Order> {
        let mut orders: Vec<Order> = Vec::new();
        for zone in zones.iter().chain(&self.empty_zones(zones)) {
            orders.extend(self.restore_floor(now, spec, zone));
        }
        if spec.revocable_price.is_some() {
            orders.extend(self.revocable_orders(now, spec, zones, demand));
        }
        orders
    }

    /// Zones that have a floor but no servers.
    fn empty_zones(&self, zones: &[Zone]) -> Vec<Zone> {
        let is_listed = |name: &String| zones.iter().any(|zone| zone.name == *name);
        let empty_zones = self.state.floor.keys().filter(|name| !is_listed(name));
        let zone =
            |name: &String| Zone { name: name.clone(), price: 1.0, on_demand: 0, revocable: 0 };
        empty_zones.map(zone).collect()
    }

    /// Order that restores a zone's floor of on-demand servers, if one is due.
    fn restore_floor(&self, now: Moment, spec: &ScalingSpec, zone: &Zone) -> Option<Order> {
        let floor = self.floor(spec, zone);
        let is_due = zone.on_demand < floor && self.may_order(now, spec, &zone.name, false);
        is_due.then(|| Order { zone: zone.name.clone(), is_revocable: false, count: floor })
    }

    /// Number of on-demand servers that a zone should have.
    fn floor(&self, spec: &ScalingSpec, zone: &Zone) -> u32 {
        let floor = self.state.floor.get(&zone.name).copied().unwrap_or(zone.on_demand);
        floor.clamp(spec.min, spec.max)
    }

    /// Orders that change the numbers of revocable servers. They are spread evenly over the zones
    /// with capacity, to limit the loss from one zone; the remainder goes to the cheapest zones.
    fn revocable_orders(
        &self,
        now: Moment,
        spec: &ScalingSpec,
        zones: &[Zone],
        demand: Demand,
    ) -> Vec<Order> {
        let floor: u32 = zones.iter().map(|zone| self.floor(spec, zone)).sum();
        let current: u32 = zones.iter().map(|zone| zone.revocable).sum();
        let wanted = self.policy.wanted(floor, current, demand);
        let mut available: Vec<&Zone> =
            zones.iter().filter(|zone| !self.is_backing_off(now, &zone.name, true)).collect();
        available.sort_by(|left, right| left.price.total_cmp(&right.price));
        let shares =
            distribute(wanted, &available, |zone| spec.max - self.floor(spec, zone).min(spec.max));
        let shares = available.into_iter().zip(shares);
        let orders = shares.filter_map(|(zone, count)| {
            let ordered = self.state.revocable.get(&zone.name).copied().unwrap_or(0);
            let is_missing = zone.revocable < count && self.may_order(now, spec, &zone.name, true);
            let is_due = count != ordered || is_missing;
            is_due.then(|| Order { zone: zone.name.clone(), is_revocable: true, count })
        });
        orders.collect()
    }

    /// Whether missing servers may be ordered again: not while those ordered last may still be
    /// booting.
    fn may_order(&self, now: Moment, spec: &ScalingSpec, zone: &str, is_revocable: bool) -> bool {
        let recent = self.recent(zone, is_revocable);
        let wait = spec.boot_time + REORDER_MARGIN;
        now >= recent.backoff_until
            && recent.ordered_at.is_none_or(|ordered_at| now >= ordered_at + wait)
    }

    /// Whether the backoff after a rejected order is still running.
    fn is_backing_off(&self, now: Moment, zone: &str, is_revocable: bool) -> bool {
        now < self.recent(zone, is_revocable).backoff_until
    }

    fn recent(&self, zone: &str, is_revocable: bool) -> RecentOrder {
        self.recent.get(&(zone.to_owned(), is_revocable)).copied().unwrap_or_default()
    }

    /// Records the result of an order.
    pub fn record_outcome(&mut self, now: Moment, order: &Order, outcome: OrderOutcome) {
        let recent = self.recent.entry((order.zone.clone(), order.is_revocable)).or_default();
        match outcome {
            OrderOutcome::Accepted => {
                recent.ordered_at = Some(now);
                if order.is_revocable {
                    self.state.revocable.insert(order.zone.clone(), order.count);
                }
            }
            OrderOutcome::NoCapacity => recent.backoff_until = now + NO_CAPACITY_BACKOFF,
            OrderOutcome::Failed => {}
        }
    }
}

/// Distributes `wanted` servers round-robin over zones, up to the capacity of each.
fn distribute(wanted: u32, zones: &[&Zone], capacity: impl Fn(&Zone) -> u32) -> Vec<u32> {
    let mut shares = vec![0; zones.len()];
    let mut remaining = wanted;
    while remaining > 0 {
        let before = remaining;
        for (share, zone) in shares.iter_mut().zip(zones) {
            if remaining > 0 && *share < capacity(zone) {
                *share += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            break;
        }
    }
    shares
}
