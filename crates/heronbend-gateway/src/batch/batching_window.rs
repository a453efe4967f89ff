//! How long results wait until they are listed together, without I/O.
//!
//! Each chunk has a price, and a trainer that has just read something rests before it reads again. It
//! can do nothing with a part of a step: towards the step's end a chunk that does not make the step
//! whole only delays the look that finds it whole. So results wait longer there, and what makes the
//! step whole is listed at once.
//!
//! A trainer whose read is held hears of a chunk at once; one that rests hears of it some tenths of a
//! second later. So results that are due are listed in time for a trainer that rests, and a little
//! later for one whose read is held: the last text may end just then.

use std::time::Duration;

/// Wait of results while most of a step is missing.
const BULK_WINDOW: Duration = Duration::from_millis(900);
/// Wait of results of a job that no trainer waits for, and of steps that are late.
const DEFAULT_WINDOW: Duration = Duration::from_millis(450);
/// Longest wait while a step nears its end: longer than the longest texts of steps that are in time
/// take, so that a chunk without use does not come just before the last one.
const TAIL_WINDOW: Duration = Duration::from_secs(8);
/// Share of the groups that a trainer waits for from which on a step nears its end.
const TAIL_SHARE: f64 = 0.6;
/// Whole groups are listed this long before a step's results are due, counted from when the step was
/// first heard of here, some hundredths of a second after its hand-in began.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Rest of a trainer between two reads, at most: readers ask about twice a second.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Results are listed this long before a held read ends, so that it still hears of them.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(80);
/// Time after which results that are due are listed also where a read is held: trainers take what they
/// read within some tenths of a second after that for in time.
const OVERDUE_GRACE: Duration = Duration::from_millis(350);

/// When results are due, from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// In so long.
    Remaining(Duration),
    /// So long ago.
    Overdue(Duration),
}

/// What is known of a step when a result waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepProgress {
    /// Whole groups that the trainer waits for.
    pub desired_groups: usize,
    /// Groups whose results are listed.
    pub committed_groups: usize,
    /// Groups whose results are listed or wait.
    pub complete_groups: usize,
    /// Groups that the trainer cannot do without and that are not whole yet.
    pub required_missing: usize,
    /// Groups that the trainer cannot do without and that are not listed yet.
    pub required_uncommitted: usize,
    /// When the results are due, if the route says when.
    pub deadline: Option<Deadline>,
    /// How much longer a read of the newest results is held here.
    pub long_poll_left: Duration,
}

impl StepProgress {
    /// Whether the waiting results make the trainer's wait end.
    pub fn completes_step(&self) -> bool {
        let is_complete = self.complete_groups >= self.desired_groups && self.required_missing == 0;
        let is_committed =
            self.committed_groups >= self.desired_groups && self.required_uncommitted == 0;
        is_complete && !is_committed
    }

    /// Whether the trainer may be content as soon as any further group is whole: it has as many as it
    /// asked for, and which ones it cannot do without is not known for sure.
    fn may_complete_step(&self) -> bool {
        self.committed_groups >= self.desired_groups && self.complete_groups > self.committed_groups
    }

    fn is_in_tail(&self) -> bool {
        self.complete_groups as f64 >= self.desired_groups as f64 * TAIL_SHARE
    }
}

/// How much longer results may wait of which the oldest has waited for `waited`; nothing where they are
/// listed at once.
pub fn remaining_wait(step: Option<&StepProgress>, waited: Duration) -> Option<Duration> {
    let Some(step) = step else {
        return DEFAULT_WINDOW.checked_sub(waited);
    };
    if step.completes_step() || step.may_complete_step() {
        return None;
    }
    let window = if step.is_in_tail() { TAIL_WINDOW } else { BULK_WINDOW };
    let window = window.checked_sub(waited)?;
    match step.deadline {
        None => DEFAULT_WINDOW.checked_sub(waited),
        Some(deadline) => match time_to_flush(deadline, step.long_poll_left) {
            Some(left) => Some(window.min(left)),
            None => DEFAULT_WINDOW.checked_sub(waited),
        },
    }
}

/// Time until results that are due have to be listed; nothing once that is over.
fn time_to_flush(deadline: Deadline, long_poll_left: Duration) -> Option<Duration> {
    if long_poll_left > LONG_POLL_MARGIN {
        let poll_left = long_poll_left - LONG_POLL_MARGIN;
        return match deadline {
            // The reader is back before they are due.
            Deadline::Remaining(left) if left > long_poll_left + POLL_INTERVAL => {
                Some(left - DEADLINE_MARGIN)
            }
            Deadline::Remaining(left) => Some(poll_left.min(left + OVERDUE_GRACE)),
            Deadline::Overdue(late) => Some(poll_left.min(OVERDUE_GRACE.checked_sub(late)?)),
        };
    }
    match deadline {
        Deadline::Remaining(left) => left.checked_sub(DEADLINE_MARGIN),
        Deadline::Overdue(_) => None,
    }
}
