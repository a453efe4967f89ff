//! Divides a route's requests among its destinations.
//!
//! An additive sequence with the golden ratio keeps every stretch of requests close to the weights,
//! and each daemon begins it at another point, so that few requests at many daemons add up as well.

use std::collections::HashMap;

use crate::configuration::Route;

/// Fractional destination of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The sequences of all routes.
#[derive(Debug, Clone)]
pub struct TrafficSplitter {
    start: f64,
    positions: HashMap<String, f64>,
}

impl TrafficSplitter {
    /// A splitter whose sequences begin at `start`, between 0 and 1.
    pub fn new(start: f64) -> Self {
        Self { start, positions: HashMap::new() }
    }

    /// The service of a route's next request; nothing when the route has no destination.
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

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.positions.retain(|name, _| is_configured(name));
    }
}
