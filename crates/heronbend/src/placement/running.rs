//! Batch items in progress that may move to a faster server.
//!
//! A running item that is late on its server is offered a slot on a faster one when the slot frees,
//! ahead of waiting items with more slack.

use std::collections::BTreeMap;

use super::eligibility::AttemptHistory;
use super::eligibility::Requirements;
use super::keys::ServerKey;
use super::slack::Work;

/// Maximum number of moves of one item. Each one costs a prompt on the new server, and an item
/// that is still late then has met too many slow servers to gain from another one.
pub const MAX_MOVES: u32 = 3;

/// Key of a running batch item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(u64);

/// A batch item in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    pub server: ServerKey,
    pub requirements: Requirements,
    /// Priority of the tenant or route; 0 is the highest.
    pub priority: u8,
    pub work: Work,
    /// Whether `work` has been updated since the start of the run.
    pub has_progressed: bool,
    /// Number of previous moves.
    pub moves: u32,
    pub history: AttemptHistory,
}

impl Run {
    /// Whether the item may move at all. A suspect stays where it is isolated.
    pub fn is_movable(&self) -> bool {
        self.moves < MAX_MOVES && !self.history.is_isolated
    }
}

/// The batch items in progress.
#[derive(Debug, Default)]
pub struct Runs {
    next_key: u64,
    runs: BTreeMap<RunKey, Run>,
}

impl Runs {
    /// Adds an item.
    pub fn add(&mut self, run: Run) -> RunKey {
        let key = RunKey(self.next_key);
        self.next_key += 1;
        self.runs.insert(key, run);
        key
    }

    /// Updates the expected number of remaining events of an item.
    pub fn set_remaining(&mut self, key: RunKey, remaining: u32) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.work.remaining = remaining;
            run.has_progressed = true;
        }
    }

    /// Removes an item.
    pub fn remove(&mut self, key: RunKey) {
        self.runs.remove(&key);
    }

    /// Returns the items that may move.
    pub fn movable(&self) -> impl Iterator<Item = (RunKey, &Run)> {
        self.runs.iter().filter(|(_, run)| run.is_movable()).map(|(key, run)| (*key, run))
    }
}
