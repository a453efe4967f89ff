//! Usage counts by window and daemon.

use std::collections::BTreeMap;

use super::Counts;
use super::Window;
use crate::identity::NodeId;

/// Grow-only counters, one per window, daemon incarnation and tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    windows: BTreeMap<Window, BTreeMap<NodeId, Counts>>,
}

impl Ledger {
    /// Adds one request counted by this daemon.
    pub fn increment(&mut self, me: &NodeId, window: Window, tenant: &str) {
        let daemons = self.windows.entry(window).or_default();
        daemons.entry(me.clone()).or_default().increment(tenant);
    }

    /// Merges the counts that a daemon reports for a window. Returns whether any count increased.
    pub fn merge(&mut self, daemon: &NodeId, window: Window, counts: &Counts) -> bool {
        let daemons = self.windows.entry(window).or_default();
        daemons.entry(daemon.clone()).or_default().merge(counts)
    }

    /// Iterates over the counts of a daemon by window.
    pub fn counts_of(&self, daemon: &NodeId) -> impl Iterator<Item = (Window, &Counts)> {
        let daemon = daemon.clone();
        self.windows.iter().filter_map(move |(window, daemons)| {
            daemons.get(&daemon).map(|counts| (*window, counts))
        })
    }

    /// Returns the sum of the counts of all daemons for a window.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::default();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            total.add(counts);
        }
        total
    }

    /// Removes all windows before `window`.
    pub fn forget_before(&mut self, window: Window) {
        self.windows = self.windows.split_off(&window);
    }
}
