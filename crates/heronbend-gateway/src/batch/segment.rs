//! A part of a text as stored in a checkpoint.

use serde::Deserialize;
use serde::Serialize;

use super::digest::Digest;

/// Consecutive events of the text of one item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Position of the item in the job.
    pub item: usize,
    /// Number of the event before the segment; 0 at the start of the text.
    pub after: u64,
    /// Digest of the text up to and including that event.
    #[serde(default)]
    pub follows: Digest,
    /// Data of each event.
    pub events: Vec<String>,
    /// Weight version that generated each event.
    pub versions: Vec<u64>,
}
