//! Divides a route's requests among its destinations.
//!
//! An additive sequence with the golden ratio keeps every stretch of requests close to the weights,
//! and each daemon begins it at another point, so that few requests at many daemons add up as well.

use std::collections::HashMap;

use crate::configuration::Route;

/// Fractional part of the golden ratio.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The sequences of all routes.
#[derive(Debug, Clone)]
pub struct Splitter {
    start: f64,
    positions: HashMap<String, f64>,
}

impl Splitter {
    /// A splitter whose sequences begin at `start`, between 0 and 1.
    pub fn new(start: f64) -> Self {
        Self { start, positions: HashMap::new() }
    }

    /// The service of a route's next request; nothing when the route has no destination.
    pub fn next<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let total: u64 = route.destinations.iter().map(|part| u64::from(part.weight)).sum();
        if route.destinations.len() <= 1 || total == 0 {
            return route.destinations.first().map(|part| part.service.as_str());
        }
        if !self.positions.contains_key(&route.name) {
            self.positions.insert(route.name.clone(), self.start);
        }
        let position = self.positions.get_mut(&route.name)?;
        *position = (*position + STEP).fract();
        let mut left = *position * total as f64;
        for part in &route.destinations {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        route.destinations.last().map(|part| part.service.as_str())
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.positions.retain(|name, _| is_configured(name));
    }
}
