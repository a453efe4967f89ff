//! How many events texts are expected to have, from callers' guesses in tokens, without I/O.
//!
//! A guess is right in the median and may be far off. How many tokens an event holds is learnt from
//! texts that became whole.

use super::specification::Item;

/// Weight of a new text in the mean number of tokens in an event.
const SAMPLE_WEIGHT: f64 = 0.02;
/// A text that has outgrown its guess, or has none, is expected to grow by this share of itself.
const GROWTH: f64 = 0.5;

/// What is known of the lengths of texts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lengths {
    tokens_an_event: Option<f64>,
}

impl Lengths {
    /// Takes in the length of a whole text, in events.
    pub fn learn(&mut self, item: &Item, events: u64) {
        let Some(guess) = item.expected_tokens.filter(|_| events > 0) else {
            return;
        };
        let sample = guess as f64 / events as f64;
        let known = self.tokens_an_event.unwrap_or(sample);
        self.tokens_an_event = Some(known + (sample - known) * SAMPLE_WEIGHT);
    }

    /// Events that a text with so many already is expected to gain yet.
    pub fn expected_rest(&self, item: &Item, events: u64) -> u32 {
        let guess = item.expected_tokens.zip(self.tokens_an_event);
        let guessed = guess.map_or(0.0, |(tokens, an_event)| tokens as f64 / an_event);
        let made = events as f64;
        (guessed - made).max(made * GROWTH) as u32
    }
}
