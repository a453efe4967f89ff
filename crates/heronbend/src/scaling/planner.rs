//! Which orders follow from what is wanted and what is there.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Demand;
use super::Policy;
use super::Terms;
use super::Zone;
use crate::Moment;

/// Time after a refusal in which no more of the kind are ordered in the zone.
const REFUSED_REST: Duration = Duration::from_secs(8);
/// Time after which servers that were ordered and do not serve are ordered again, beside the time
/// that they take to start. Entries lapse and come back within less.
const MISSING_MARGIN: Duration = Duration::from_secs(6);

/// An order: how many servers of a kind a zone is to have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The zone.
    pub zone: String,
    /// Whether they may be taken away.
    pub is_revocable: bool,
    /// How many there are to be.
    pub count: u32,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It was taken.
    Taken,
    /// There are no such servers to be had now.
    NoneToBeHad,
    /// Nothing is known of it, or nothing was done.
    Failed,
}

/// What whoever orders next has to know: it is kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Servers on demand that each zone was set up with.
    pub floor: BTreeMap<String, u32>,
    /// Revocable servers that were ordered last, by zone.
    pub revocable: BTreeMap<String, u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    ordered: Option<Moment>,
    refused_until: Moment,
}

/// Plans the orders of one service.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    memory: Memory,
    recent: BTreeMap<(String, bool), Recent>,
}

impl Planner {
    /// A planner that knows what was ordered before it.
    pub fn new(policy: Policy, memory: Memory) -> Self {
        Self { policy, memory, recent: BTreeMap::new() }
    }

    /// What whoever orders next has to know.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Notes with how many servers on demand each zone was set up, unless that is known; whether it
    /// was not.
    pub fn note_floor(&mut self, zones: &[Zone]) -> bool {
        if !self.memory.floor.is_empty() || zones.is_empty() {
            return false;
        }
        let floor = zones.iter().map(|zone| (zone.name.clone(), zone.on_demand));
        self.memory.floor = floor.collect();
        true
    }

    /// The orders to give now.
    pub fn plan(&self, now: Moment, terms: &Terms, zones: &[Zone], demand: Demand) -> Vec<Order> {
        let mut orders: Vec<Order> = Vec::new();
        for zone in zones.iter().chain(&self.emptied(zones)) {
            orders.extend(self.restore(now, terms, zone));
        }
        if terms.revocable_price.is_some() {
            orders.extend(self.revocable(now, terms, zones, demand));
        }
        orders
    }

    /// Zones that were set up with servers and show none any more.
    fn emptied(&self, zones: &[Zone]) -> Vec<Zone> {
        let is_seen = |name: &String| zones.iter().any(|zone| zone.name == *name);
        let emptied = self.memory.floor.keys().filter(|name| !is_seen(name));
        let zone =
            |name: &String| Zone { name: name.clone(), price: 1.0, on_demand: 0, revocable: 0 };
        emptied.map(zone).collect()
    }

    /// Servers on demand that a zone's floor lacks.
    fn restore(&self, now: Moment, terms: &Terms, zone: &Zone) -> Option<Order> {
        let floor = self.floor(terms, zone);
        let is_due = zone.on_demand < floor && self.may_order(now, terms, &zone.name, false);
        is_due.then(|| Order { zone: zone.name.clone(), is_revocable: false, count: floor })
    }

    fn floor(&self, terms: &Terms, zone: &Zone) -> u32 {
        let floor = self.memory.floor.get(&zone.name).copied().unwrap_or(zone.on_demand);
        floor.clamp(terms.min, terms.max)
    }

    /// Changes of the zones' revocable servers. They are spread over all zones that have them, so
    /// that one zone's loss takes the smallest part; what is left over goes where they cost least.
    fn revocable(&self, now: Moment, terms: &Terms, zones: &[Zone], demand: Demand) -> Vec<Order> {
        let floor: u32 = zones.iter().map(|zone| self.floor(terms, zone)).sum();
        let there: u32 = zones.iter().map(|zone| zone.revocable).sum();
        let wanted = self.policy.wanted(floor, there, demand);
        let mut open: Vec<&Zone> =
            zones.iter().filter(|zone| !self.is_refused(now, &zone.name, true)).collect();
        open.sort_by(|left, right| left.price.total_cmp(&right.price));
        let shares =
            spread(wanted, &open, |zone| terms.max - self.floor(terms, zone).min(terms.max));
        let shares = open.into_iter().zip(shares);
        let orders = shares.filter_map(|(zone, count)| {
            let ordered = self.memory.revocable.get(&zone.name).copied().unwrap_or(0);
            let is_missing = zone.revocable < count && self.may_order(now, terms, &zone.name, true);
            let is_due = count != ordered || is_missing;
            is_due.then(|| Order { zone: zone.name.clone(), is_revocable: true, count })
        });
        orders.collect()
    }

    /// Whether an order is worth repeating: not while its servers may still be starting.
    fn may_order(&self, now: Moment, terms: &Terms, zone: &str, is_revocable: bool) -> bool {
        let recent = self.recent(zone, is_revocable);
        let wait = terms.boot + MISSING_MARGIN;
        now >= recent.refused_until && recent.ordered.is_none_or(|ordered| now >= ordered + wait)
    }

    fn is_refused(&self, now: Moment, zone: &str, is_revocable: bool) -> bool {
        now < self.recent(zone, is_revocable).refused_until
    }

    fn recent(&self, zone: &str, is_revocable: bool) -> Recent {
        self.recent.get(&(zone.to_owned(), is_revocable)).copied().unwrap_or_default()
    }

    /// Notes what became of an order.
    pub fn note(&mut self, now: Moment, order: &Order, reply: Reply) {
        let recent = self.recent.entry((order.zone.clone(), order.is_revocable)).or_default();
        match reply {
            Reply::Taken => {
                recent.ordered = Some(now);
                if order.is_revocable {
                    self.memory.revocable.insert(order.zone.clone(), order.count);
                }
            }
            Reply::NoneToBeHad => recent.refused_until = now + REFUSED_REST,
            Reply::Failed => {}
        }
    }
}

/// Shares `wanted` servers out among zones, one after the other, as far as each has room.
fn spread(wanted: u32, zones: &[&Zone], room: impl Fn(&Zone) -> u32) -> Vec<u32> {
    let mut shares = vec![0; zones.len()];
    let mut left = wanted;
    while left > 0 {
        let before = left;
        for (share, zone) in shares.iter_mut().zip(zones) {
            if left > 0 && *share < room(zone) {
                *share += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    shares
}
