//! Whether a text under way had better go on at a faster server, without I/O.
//!
//! A move is not free: the new server reads all that is there anew, the text may wait for its batch,
//! and a connection is lost. Paces are measured over few events, and the best of many servers looks
//! faster than it is; without a price texts wander from server to server.

use std::time::Duration;

/// A text is moved only where it wins more than this, whatever moves have cost so far.
const MIN_GAIN: Duration = Duration::from_millis(200);
/// A move has to win this many times what moves have cost of late: paces are guesses.
const GAIN_FACTOR: f64 = 1.5;
/// Weight of a new move in the mean cost of moves.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Share of the time until a step's results are due by which a text may end where it is. The rest is
/// for its score, for listing, and for texts that turn out longer than they were expected to be.
const DEADLINE_SHARE: f64 = 0.6;

/// What moves have cost of late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MigrationCost {
    mean: Option<Duration>,
}

impl MigrationCost {
    /// Takes in the time from asking a server to go on with a text until its first event.
    pub fn record(&mut self, delay: Duration) {
        let mean = self.mean.unwrap_or(delay);
        self.mean = Some(mean.mul_f64(1.0 - SAMPLE_WEIGHT) + delay.mul_f64(SAMPLE_WEIGHT));
    }

    /// Whether a text that would win so much time is to be moved.
    pub fn is_exceeded_by(&self, gain: Duration) -> bool {
        let cost = self.mean.unwrap_or_default().mul_f64(GAIN_FACTOR);
        gain > cost.max(MIN_GAIN)
    }
}

/// Whether a text ends in good time where it is: after `rest` more, in a step that began `age` ago and
/// whose results are due `due` after its begin. Never where no time is set.
pub fn meets_deadline(age: Duration, remaining: Duration, deadline: Option<Duration>) -> bool {
    deadline.is_some_and(|deadline| age + remaining <= deadline.mul_f64(DEADLINE_SHARE))
}
