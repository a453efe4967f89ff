//! How long results wait until they are listed together, without I/O.
//!
//! Each chunk has a price, and a trainer that has just read something rests before it reads again. It
//! can do nothing with a part of a step: towards the step's end a chunk that does not make the step
//! whole only delays the look that finds it whole. So results wait longer there, and what makes the
//! step whole is listed at once.

use std::time::Duration;

/// Wait of results while most of a step is missing.
const BULK_WAIT: Duration = Duration::from_millis(900);
/// Wait of results of a job that no trainer waits for, and of steps that are late.
const PLAIN_WAIT: Duration = Duration::from_millis(450);
/// Longest wait while a step nears its end: longer than the longest texts of steps that are in time
/// take, so that a chunk without use does not come just before the last one.
const TAIL_WAIT: Duration = Duration::from_secs(8);
/// Share of the groups that a trainer waits for from which on a step nears its end.
const TAIL_SHARE: f64 = 0.6;
/// Whole groups are listed this long before a step's results are due, counted from when the step was
/// first heard of here, some hundredths of a second after its hand-in began.
const DUE_MARGIN: Duration = Duration::from_millis(100);

/// What is known of a step when a result waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Whole groups that the trainer waits for.
    pub desired: usize,
    /// Groups whose results are listed.
    pub listed: usize,
    /// Groups whose results are listed or wait.
    pub whole: usize,
    /// Groups that the trainer cannot do without and that are not whole yet.
    pub required_missing: usize,
    /// Groups that the trainer cannot do without and that are not listed yet.
    pub required_unlisted: usize,
    /// Time left until the results are due, if the route says when; none once they are late.
    pub time_left: Option<Duration>,
}

impl Step {
    /// Whether the waiting results make the trainer's wait end.
    pub fn is_decided(&self) -> bool {
        let is_whole = self.whole >= self.desired && self.required_missing == 0;
        let is_listed = self.listed >= self.desired && self.required_unlisted == 0;
        is_whole && !is_listed
    }

    /// Whether the trainer may be content as soon as any further group is whole: it has as many as it
    /// asked for, and which ones it cannot do without is not known for sure.
    fn may_end_with_any_group(&self) -> bool {
        self.listed >= self.desired && self.whole > self.listed
    }

    fn nears_its_end(&self) -> bool {
        self.whole as f64 >= self.desired as f64 * TAIL_SHARE
    }
}

/// How long the oldest waiting result may wait for others; nothing where it is listed at once.
pub fn wait(step: Option<&Step>) -> Option<Duration> {
    let Some(step) = step else {
        return Some(PLAIN_WAIT);
    };
    if step.is_decided() || step.may_end_with_any_group() {
        return None;
    }
    let usual = if step.nears_its_end() { TAIL_WAIT } else { BULK_WAIT };
    match step.time_left {
        Some(left) if left > DUE_MARGIN => Some(usual.min(left - DUE_MARGIN)),
        _ => Some(PLAIN_WAIT),
    }
}
