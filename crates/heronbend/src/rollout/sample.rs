//! A sample and the weight versions it was drawn from.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use super::slots::SlotIndex;
use crate::identity::Incarnation;
use crate::lifecycle::BackendName;

/// A run of tokens drawn by one run of one engine from one weight version.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Segment {
    /// The weight version that the engine stamped on these tokens.
    pub version: u64,
    /// First token.
    pub start: u32,
    /// One past the last token.
    pub end: u32,
    /// The engine.
    pub engine: BackendName,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Why a generation ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the text.
    Stop,
    /// The text reached the limit of tokens.
    Length,
}

/// One drawn and scored sample.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Sample {
    /// Its place in the step.
    pub slot: SlotIndex,
    /// Seed of the sampling.
    pub seed: u64,
    /// The generated text.
    pub text: String,
    /// What produced it, in order and without gaps.
    pub segments: Vec<Segment>,
    /// Why it ended.
    pub finish_reason: FinishReason,
    /// The scorer's reward, in thousandths.
    pub reward_milli: i64,
}

impl Sample {
    /// The oldest weight version that took part; `None` for a sample without tokens.
    pub fn oldest_version(&self) -> Option<u64> {
        self.segments.iter().map(|segment| segment.version).min()
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.end)
    }

    /// Whether every token was drawn from `floor` or a later version.
    pub fn is_fresh(&self, floor: u64) -> bool {
        self.oldest_version().is_some_and(|oldest| oldest >= floor)
    }
}

/// Appends tokens to segments: extends the last one or opens a new one.
///
/// Returns `false`, and changes nothing, when the tokens do not follow on.
pub fn append_segment(segments: &mut Vec<Segment>, next: Segment) -> bool {
    let expected = segments.last().map_or(0, |segment| segment.end);
    if next.start != expected || next.end < next.start {
        return false;
    }
    match segments.last_mut() {
        Some(last)
            if last.version == next.version
                && last.engine == next.engine
                && last.incarnation == next.incarnation =>
        {
            last.end = next.end;
        }
        _ => segments.push(next),
    }
    true
}
