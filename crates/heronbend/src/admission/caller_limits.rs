//! How many requests each caller has under way.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Requests under way by caller, for one thread.
#[derive(Debug, Clone, Default)]
pub struct CallerLimits {
    under_way: Rc<RefCell<HashMap<String, usize>>>,
}

/// One request under way; dropping it frees the place.
#[derive(Debug)]
pub struct CallerPermit {
    limits: CallerLimits,
    caller: String,
}

impl CallerLimits {
    /// A place for one more request of `caller`, unless `limit` are under way.
    pub fn admit(&self, caller: &str, limit: usize) -> Option<CallerPermit> {
        let mut under_way = self.under_way.borrow_mut();
        let count = under_way.entry(caller.to_owned()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(CallerPermit { limits: self.clone(), caller: caller.to_owned() })
    }
}

impl Drop for CallerPermit {
    fn drop(&mut self) {
        let mut under_way = self.limits.under_way.borrow_mut();
        if let Some(count) = under_way.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(&self.caller);
            }
        }
    }
}
