//! Slack of batch items: the time to spare before the target of their step.
//!
//! An item with slack runs on a slow server, which keeps the fast servers for the items that would
//! otherwise be late. Slack shrinks while an item waits, so that every item qualifies for a faster
//! server in the end.

use std::collections::HashMap;
use std::time::Duration;

use super::keys::ServerKey;
use crate::Moment;

/// Ratio of paces above which another server counts as faster; smaller differences are noise.
pub const MIN_SPEEDUP: f64 = 1.15;
/// Factor by which a text may exceed its expected length before it is late. Callers' estimates are
/// off by a factor with a standard deviation of e^0.5.
const LENGTH_MARGIN: f64 = 1.65;
/// Time from the placement of an item until its first event: the prompt is processed, and the text
/// joins a batch.
const START_DELAY: Duration = Duration::from_millis(100);

/// The remaining work of a batch item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// When the item should be complete.
    pub target: Moment,
    /// Expected number of remaining events.
    pub remaining: u32,
}

impl Work {
    /// Whether the item meets its target on a server that takes `pace_millis` per event, even if
    /// its length is underestimated.
    pub fn fits(&self, now: Moment, pace_millis: f64) -> bool {
        let millis = f64::from(self.remaining) * pace_millis * LENGTH_MARGIN;
        now + START_DELAY + from_millis(millis) <= self.target
    }

    /// Whether a running item is expected to miss its target on a server that takes `pace_millis`
    /// per event.
    pub fn is_late(&self, now: Moment, pace_millis: f64) -> bool {
        now + self.duration(pace_millis) > self.target
    }

    /// Expected run time at `pace_millis` per event.
    pub fn duration(&self, pace_millis: f64) -> Duration {
        from_millis(f64::from(self.remaining) * pace_millis)
    }

    /// Time to spare at `pace_millis` per event, in milliseconds; negative if the item is late.
    pub fn slack_millis(&self, now: Moment, pace_millis: f64) -> f64 {
        let left = self.target.as_secs_f64() - now.as_secs_f64();
        left * 1e3 - f64::from(self.remaining) * pace_millis
    }
}

/// Weight of a new sample in the pace of a server.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Mean times between two events of a text, for the servers that have run texts.
///
/// Unlike the latencies of [`health`](super::health) they include neither prompts nor time in a
/// server's queue, and do not decay. Kept apart from the servers, most of which run no texts.
#[derive(Debug, Default)]
pub struct Paces {
    millis: HashMap<ServerKey, f64>,
}

impl Paces {
    /// Records the mean time between two events of a text.
    pub fn record(&mut self, server: ServerKey, per_event: Duration) {
        let sample = per_event.as_secs_f64() * 1e3;
        let mean = self.millis.entry(server).or_insert(sample);
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
    }

    /// Pace of a server in milliseconds per event, if it is known.
    pub fn get(&self, server: ServerKey) -> Option<f64> {
        self.millis.get(&server).copied()
    }

    /// Removes a server.
    pub fn remove(&mut self, server: ServerKey) {
        self.millis.remove(&server);
    }
}

/// Paces of the servers that may run a request, in milliseconds per event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceRange {
    pub fastest: f64,
    pub slowest: f64,
}

impl PaceRange {
    /// Returns the range of the known paces, or `None` if the servers do not differ measurably.
    pub fn new(paces: impl Iterator<Item = f64>) -> Option<Self> {
        let add = |range: Option<Self>, pace: f64| {
            let range = range.unwrap_or(Self { fastest: pace, slowest: pace });
            Some(Self { fastest: range.fastest.min(pace), slowest: range.slowest.max(pace) })
        };
        let range = paces.fold(None, add)?;
        is_faster(range.fastest, range.slowest).then_some(range)
    }
}

/// Whether `pace_millis` is measurably faster than `other_millis`.
pub fn is_faster(pace_millis: f64, other_millis: f64) -> bool {
    pace_millis * MIN_SPEEDUP < other_millis
}

/// A server that could run an item.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    pub pace_millis: f64,
    pub free_slots: u32,
}

/// Returns the indices of the servers that an item should use, all equally fast: the slowest ones
/// on which it meets its target, or else the fastest ones.
///
/// Slow slots that the `behind` shorter items behind it will fill anyway are left to them.
pub fn select(now: Moment, work: &Work, behind: usize, servers: &[Candidate]) -> Vec<usize> {
    let slots_from = |pace: f64| -> u32 {
        let slower = servers.iter().filter(|server| server.pace_millis >= pace);
        slower.map(|server| server.free_slots).sum()
    };
    let is_wanted = |pace: &f64| work.fits(now, *pace) && slots_from(*pace) as usize > behind;
    let paces = || servers.iter().map(|server| server.pace_millis);
    let slowest = paces().filter(is_wanted).reduce(f64::max);
    let fastest = paces().fold(f64::INFINITY, f64::min);
    let is_selected = |pace: f64| match slowest {
        Some(slowest) => pace <= slowest && !is_faster(pace, slowest),
        None => !is_faster(fastest, pace),
    };
    (0..servers.len()).filter(|index| is_selected(servers[*index].pace_millis)).collect()
}

fn from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
