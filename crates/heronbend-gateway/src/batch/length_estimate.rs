//! How many events texts are expected to have, from callers' guesses in tokens, without I/O.
//!
//! A guess is right in the median and may be far off. How many tokens an event holds is learnt from
//! texts that became whole.

use super::specification::Item;

/// Weight of a new text in the mean number of tokens in an event.
const SAMPLE_WEIGHT: f64 = 0.02;
/// A text that has outgrown its guess, or has none, is expected to grow by this share of itself.
const GROWTH_SHARE: f64 = 0.5;

/// What is known of the lengths of texts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LengthEstimator {
    tokens_per_event: Option<f64>,
}

impl LengthEstimator {
    /// Takes in the length of a whole text, in events.
    pub fn record(&mut self, item: &Item, events: u64) {
        let Some(guess) = item.expected_tokens.filter(|_| events > 0) else {
            return;
        };
        let sample = guess as f64 / events as f64;
        let mean = self.tokens_per_event.unwrap_or(sample);
        self.tokens_per_event = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Events that a text with so many already is expected to gain yet.
    pub fn expected_remaining(&self, item: &Item, events: u64) -> u32 {
        let guess = item.expected_tokens.zip(self.tokens_per_event);
        let guessed =
            guess.map_or(0.0, |(tokens, tokens_per_event)| tokens as f64 / tokens_per_event);
        let current = events as f64;
        (guessed - current).max(current * GROWTH_SHARE) as u32
    }
}
