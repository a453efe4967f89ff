//! Chained digests of texts, used to match a segment to the events that it continues.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

/// Digest of a prefix of a text: its events and the weight versions that generated them.
///
/// Event numbers alone do not identify a prefix, since every run of an item numbers its events from
/// 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Digest of an empty text.
    pub const EMPTY: Self = Self(0);

    /// Returns the digest of the prefix extended by one event.
    pub fn chain(self, event: &str, version: u64) -> Self {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        bytes.extend_from_slice(&self.0.to_le_bytes());
        bytes.extend_from_slice(&version.to_le_bytes());
        bytes.extend_from_slice(event.as_bytes());
        Self(rapidhash_v3(&bytes))
    }
}
