//! What the stand-in's "model" says: a pure function of prompt, seed, weight version and position.
//!
//! Anyone can so recompute a text from the versions it claims, and a wrong claim shows. Lengths
//! depend on prompt and seed alone; they are log-normal, the shape reported for reasoning rollouts,
//! where a few samples run many times longer than the median.

use rand::rngs::SmallRng;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rapidhash::v3::rapidhash_v3;

/// Mean of the logarithm of a prompt's typical length; the median is 40 tokens.
const LOG_MEAN: f64 = 3.7;
/// Spread between prompts.
const PROMPT_SIGMA: f64 = 0.7;
/// Spread between samples of one prompt.
const SAMPLE_SIGMA: f64 = 0.3;

/// Digest of a prompt.
pub fn prompt_digest(prompt: &str) -> u64 {
    rapidhash_v3(prompt.as_bytes())
}

/// Length of the text in tokens, before any limit.
pub fn natural_length(prompt: u64, seed: u64) -> u32 {
    let typical = draw(prompt, LOG_MEAN, PROMPT_SIGMA);
    let length = draw(mix(&[prompt, seed]), typical.ln(), SAMPLE_SIGMA);
    (length as u32).max(1)
}

/// Appends the token at a position.
pub fn push_token(text: &mut String, prompt: u64, seed: u64, version: u64, position: u32) {
    let word = mix(&[prompt, seed, version, u64::from(position)]) & 0xffff;
    text.push_str(&format!("{word:04x} "));
}

/// The tokens `start..end` as drawn from one version.
pub fn tokens(prompt: u64, seed: u64, version: u64, start: u32, end: u32) -> String {
    let mut text = String::new();
    for position in start..end {
        push_token(&mut text, prompt, seed, version, position);
    }
    text
}

/// The reward that the scorer gives to a text, in thousandths.
pub fn reward_milli(text: &str) -> i64 {
    (rapidhash_v3(text.as_bytes()) % 1000) as i64
}

fn draw(seed: u64, log_mean: f64, sigma: f64) -> f64 {
    let distribution = LogNormal::new(log_mean, sigma).expect("sigma is positive");
    distribution.sample(&mut SmallRng::seed_from_u64(seed))
}

fn mix(parts: &[u64]) -> u64 {
    let mut bytes = [0; 32];
    for (target, part) in bytes.chunks_exact_mut(8).zip(parts) {
        target.copy_from_slice(&part.to_le_bytes());
    }
    rapidhash_v3(&bytes)
}
