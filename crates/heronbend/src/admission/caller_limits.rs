//! Limits on the number of in-flight requests of each caller.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Numbers of in-flight requests by caller. Clones share the counts; not thread-safe.
#[derive(Debug, Clone, Default)]
pub struct CallerLimits {
    in_flight: Rc<RefCell<HashMap<String, usize>>>,
}

/// Permit for one in-flight request; released on drop.
#[derive(Debug)]
pub struct CallerPermit {
    limits: CallerLimits,
    caller: String,
}

impl CallerLimits {
    /// Admits one more request of `caller`, unless `limit` requests are in flight.
    pub fn admit(&self, caller: &str, limit: usize) -> Option<CallerPermit> {
        let mut in_flight = self.in_flight.borrow_mut();
        let count = in_flight.entry(caller.to_owned()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(CallerPermit { limits: self.clone(), caller: caller.to_owned() })
    }
}

impl Drop for CallerPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limits.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.caller);
            }
        }
    }
}
