//! Digests by which a segment of a text says which events it continues.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

/// Stands for all events of a text up to one of them, with the versions that made them.
///
/// Two runs of one item number their events alike, so a number alone does not tell what comes
/// before it. Texts of which one digest agrees agree in all events before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Of a text without events.
    pub const EMPTY: Self = Self(0);

    /// The digest after one more event.
    pub fn chain(self, event: &str, version: u64) -> Self {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        bytes.extend_from_slice(&self.0.to_le_bytes());
        bytes.extend_from_slice(&version.to_le_bytes());
        bytes.extend_from_slice(event.as_bytes());
        Self(rapidhash_v3(&bytes))
    }
}
