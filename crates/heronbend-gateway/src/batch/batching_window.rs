//! Decides how long results are buffered before they are committed in one chunk, without I/O.
//!
//! A trainer pauses after every read that returns results, and cannot use an incomplete step. Near
//! the end of a step a partial chunk would only delay the read that completes it, so results are
//! buffered longer there, and the results that complete the step are committed immediately.
//!
//! A trainer in a long poll receives a chunk immediately; one between polls receives it with its
//! next poll. Results that approach their deadline are therefore committed before it, or slightly
//! after it if a long poll is open, since the last text may complete in the meantime.

use std::time::Duration;

/// Window while a step is far from complete.
const BULK_WINDOW: Duration = Duration::from_millis(900);
/// Window for jobs that are not training steps, and for steps past their deadline.
const DEFAULT_WINDOW: Duration = Duration::from_millis(450);
/// Window near the end of a step, longer than the longest texts usually take, so that no chunk that
/// the trainer cannot use yet comes just before the last one.
const TAIL_WINDOW: Duration = Duration::from_secs(8);
/// Fraction of the desired groups from which a step counts as near its end.
const TAIL_SHARE: f64 = 0.6;
/// Complete groups are committed this long before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Upper bound on a trainer's delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Results are committed this long before a long poll times out, so that it still returns them.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(80);
/// Time past the deadline for which results may still be buffered while a long poll is open.
const OVERDUE_GRACE: Duration = Duration::from_millis(350);

/// Deadline for results, relative to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// Time left.
    Remaining(Duration),
    /// Time since the deadline.
    Overdue(Duration),
}

/// Progress of a training step while results are pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepProgress {
    /// Number of complete groups that the trainer waits for.
    pub desired_groups: usize,
    /// Groups whose results are all committed.
    pub committed_groups: usize,
    /// Groups whose results are all committed or pending.
    pub complete_groups: usize,
    /// Required items without a result.
    pub required_missing: usize,
    /// Required items whose result is not committed.
    pub required_uncommitted: usize,
    /// Deadline for the results, if the route sets one.
    pub deadline: Option<Deadline>,
    /// Time left in the current long poll for new results; zero if there is none.
    pub long_poll_left: Duration,
}

impl StepProgress {
    /// Whether committing the pending results completes the step.
    pub fn completes_step(&self) -> bool {
        let is_complete = self.complete_groups >= self.desired_groups && self.required_missing == 0;
        let is_committed =
            self.committed_groups >= self.desired_groups && self.required_uncommitted == 0;
        is_complete && !is_committed
    }

    /// Whether any further group may complete the step. The trainer has the desired number of
    /// groups, but this daemon may not know all required items.
    fn may_complete_step(&self) -> bool {
        self.committed_groups >= self.desired_groups && self.complete_groups > self.committed_groups
    }

    fn is_in_tail(&self) -> bool {
        self.complete_groups as f64 >= self.desired_groups as f64 * TAIL_SHARE
    }
}

/// Returns how much longer to buffer results that have been pending for `waited`, or `None` to
/// commit them now. `step` is `None` for jobs that are not training steps.
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

/// Time until pending results must be committed to meet the deadline; `None` if it has been missed.
fn time_to_flush(deadline: Deadline, long_poll_left: Duration) -> Option<Duration> {
    if long_poll_left > LONG_POLL_MARGIN {
        let poll_left = long_poll_left - LONG_POLL_MARGIN;
        return match deadline {
            // The next poll starts before the deadline.
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
