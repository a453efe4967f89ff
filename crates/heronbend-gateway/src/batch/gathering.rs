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
/// Rest of a trainer between two reads, at most: readers ask about twice a second.
const READER_REST: Duration = Duration::from_millis(600);
/// Results are listed this long before a held read ends, so that it still hears of them.
const HELD_MARGIN: Duration = Duration::from_millis(80);
/// Time after which results that are due are listed also where a read is held: trainers take what they
/// read within some tenths of a second after that for in time.
const HELD_GRACE: Duration = Duration::from_millis(350);

/// When results are due, from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// In so long.
    In(Duration),
    /// So long ago.
    Since(Duration),
}

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
    /// When the results are due, if the route says when.
    pub due: Option<Due>,
    /// How much longer a read of the newest results is held here.
    pub held_for: Duration,
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

/// How much longer results may wait of which the oldest has waited for `waited`; nothing where they are
/// listed at once.
pub fn wait(step: Option<&Step>, waited: Duration) -> Option<Duration> {
    let Some(step) = step else {
        return PLAIN_WAIT.checked_sub(waited);
    };
    if step.is_decided() || step.may_end_with_any_group() {
        return None;
    }
    let usual = if step.nears_its_end() { TAIL_WAIT } else { BULK_WAIT };
    let usual = usual.checked_sub(waited)?;
    match step.due {
        None => PLAIN_WAIT.checked_sub(waited),
        Some(due) => match last_moment(due, step.held_for) {
            Some(left) => Some(usual.min(left)),
            None => PLAIN_WAIT.checked_sub(waited),
        },
    }
}

/// Time until results that are due have to be listed; nothing once that is over.
fn last_moment(due: Due, held_for: Duration) -> Option<Duration> {
    if held_for > HELD_MARGIN {
        let while_held = held_for - HELD_MARGIN;
        return match due {
            // The reader is back before they are due.
            Due::In(left) if left > held_for + READER_REST => Some(left - DUE_MARGIN),
            Due::In(left) => Some(while_held.min(left + HELD_GRACE)),
            Due::Since(late) => Some(while_held.min(HELD_GRACE.checked_sub(late)?)),
        };
    }
    match due {
        Due::In(left) => left.checked_sub(DUE_MARGIN),
        Due::Since(_) => None,
    }
}
