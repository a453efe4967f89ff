//! The counts that daemons have told, by daemon and window.

use std::collections::BTreeMap;

use super::Counts;
use super::Window;
use crate::identity::NodeId;

/// Grow-only counters: one for each run of a daemon, window and tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    windows: BTreeMap<Window, BTreeMap<NodeId, Counts>>,
}

impl Ledger {
    /// Counts one request of this daemon.
    pub fn increment(&mut self, me: &NodeId, window: Window, tenant: &str) {
        let daemons = self.windows.entry(window).or_default();
        daemons.entry(me.clone()).or_default().increment(tenant);
    }

    /// Takes in what a daemon told of a window; whether it was news.
    pub fn merge(&mut self, daemon: &NodeId, window: Window, counts: &Counts) -> bool {
        let daemons = self.windows.entry(window).or_default();
        daemons.entry(daemon.clone()).or_default().merge(counts)
    }

    /// The counts of a daemon, by window.
    pub fn counts_of(&self, daemon: &NodeId) -> impl Iterator<Item = (Window, &Counts)> {
        let daemon = daemon.clone();
        self.windows.iter().filter_map(move |(window, daemons)| {
            daemons.get(&daemon).map(|counts| (*window, counts))
        })
    }

    /// What all daemons have told of a window, added up.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::default();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            total.add(counts);
        }
        total
    }

    /// Forgets windows before this one.
    pub fn forget_before(&mut self, window: Window) {
        self.windows = self.windows.split_off(&window);
    }
}
