//! Weighted traffic split of a route among its destinations.
//!
//! Uses a low-discrepancy sequence (multiples of the golden ratio modulo 1), which keeps short runs
//! of requests close to the weights. Each daemon starts at a different point, so that low traffic
//! spread over many daemons matches the weights as well.

use std::collections::HashMap;

use crate::configuration::Route;

/// Fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Traffic split state of all routes.
#[derive(Debug, Clone)]
pub struct TrafficSplitter {
    start: f64,
    positions: HashMap<String, f64>,
}

impl TrafficSplitter {
    /// Creates a splitter whose sequences begin at `start`, in the range 0 to 1.
    pub fn new(start: f64) -> Self {
        Self { start, positions: HashMap::new() }
    }

    /// Picks the service for the next request of a route; `None` if the route has no destination.
    pub fn pick<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let total: u64 =
            route.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
        if route.destinations.len() <= 1 || total == 0 {
            return route.destinations.first().map(|destination| destination.service.as_str());
        }
        if !self.positions.contains_key(&route.name) {
            self.positions.insert(route.name.clone(), self.start);
        }
        let position = self.positions.get_mut(&route.name)?;
        *position = (*position + GOLDEN_RATIO_FRACTION).fract();
        let mut remaining = *position * total as f64;
        for destination in &route.destinations {
            remaining -= f64::from(destination.weight);
            if remaining < 0.0 {
                return Some(&destination.service);
            }
        }
        route.destinations.last().map(|destination| destination.service.as_str())
    }

    /// Drops the state of routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.positions.retain(|name, _| is_configured(name));
    }
}
