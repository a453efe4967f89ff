//! One part of a text as a checkpoint holds it.

use serde::Deserialize;
use serde::Serialize;

use super::digest::Digest;

/// Consecutive events of one item's text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Position of the item in its job.
    pub item: usize,
    /// Number of the event that it follows; 0 at the start of the text.
    pub after: u64,
    /// The digest of the text up to that event.
    #[serde(default)]
    pub follows: Digest,
    /// The data of its events.
    pub events: Vec<String>,
    /// The version of the weights that made each event.
    pub versions: Vec<u64>,
}
