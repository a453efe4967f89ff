//! Weighted traffic split of a route among its destinations.
//!
//! Uses a low-discrepancy sequence (multiples of the golden ratio modulo 1), which keeps short runs
//! of requests close to the weights. Each daemon starts at a different point, so that low traffic
//! spread over many daemons matches the weights as well.

use std::collections::HashMap;

use crate::configuration::Destination;
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

    /// Services for the next request of a route: first the one that the weights pick, then the
    /// others, in the order in which they stand in for it. Empty if the route has no destination.
    ///
    /// Requests that one service cannot serve are split among the others by their weights.
    pub fn pick(&mut self, route: &Route) -> Vec<String> {
        let mut parts: Vec<&Destination> =
            route.destinations.iter().filter(|part| part.weight > 0).collect();
        if parts.is_empty() {
            parts.extend(route.destinations.first());
        }
        let mut position = if parts.len() > 1 { self.next_position(&route.name) } else { 0.0 };
        let mut services = Vec::with_capacity(parts.len());
        while !parts.is_empty() {
            let (index, within) = locate(&parts, position);
            services.push(parts.remove(index).service.clone());
            position = within;
        }
        services
    }

    /// Next position in the sequence of a route, in the range 0 to 1.
    fn next_position(&mut self, route: &str) -> f64 {
        let position = match self.positions.get_mut(route) {
            Some(position) => position,
            None => self.positions.entry(route.to_owned()).or_insert(self.start),
        };
        *position = (*position + GOLDEN_RATIO_FRACTION).fract();
        *position
    }

    /// Drops the state of routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.positions.retain(|name, _| is_configured(name));
    }
}

/// Index of the part at `position` if the parts divide the range 0 to 1 by their weights, and the
/// position within that part's range, scaled to the range 0 to 1.
fn locate(parts: &[&Destination], position: f64) -> (usize, f64) {
    let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
    let mut remaining = position * total;
    for (index, part) in parts.iter().enumerate() {
        let weight = f64::from(part.weight);
        if remaining < weight {
            return (index, remaining / weight);
        }
        remaining -= weight;
    }
    (parts.len() - 1, 0.0)
}
