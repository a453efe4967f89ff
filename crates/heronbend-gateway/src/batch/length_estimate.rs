//! Estimates the number of events in a text, without I/O.
//!
//! Callers estimate the output of an item in tokens. Completed texts give the ratio of tokens to
//! events.

use super::specification::Item;

/// Weight of a new sample in the moving average of tokens per event.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Expected further growth of a text that has no estimate or has exceeded it, relative to its
/// length.
const GROWTH_SHARE: f64 = 0.5;

/// Converts token estimates to events with a ratio learned from completed texts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LengthEstimator {
    tokens_per_event: Option<f64>,
}

impl LengthEstimator {
    /// Records the length of a completed text in events.
    pub fn record(&mut self, item: &Item, events: u64) {
        let Some(guess) = item.expected_tokens.filter(|_| events > 0) else {
            return;
        };
        let sample = guess as f64 / events as f64;
        let mean = self.tokens_per_event.unwrap_or(sample);
        self.tokens_per_event = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Number of events still expected for a text that has `events` already.
    pub fn expected_remaining(&self, item: &Item, events: u64) -> u32 {
        let guess = item.expected_tokens.zip(self.tokens_per_event);
        let guessed =
            guess.map_or(0.0, |(tokens, tokens_per_event)| tokens as f64 / tokens_per_event);
        let current = events as f64;
        (guessed - current).max(current * GROWTH_SHARE) as u32
    }
}
