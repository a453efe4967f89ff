//! Encoded and compressed updates of a kind, as they are sent to peers.
//!
//! An update is compressed once for all followers that request it from the same revision.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::rc::Rc;

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use musli::Decode;
use musli::Encode;
use thiserror::Error;

use crate::encoded_object::EncodedObject;
use crate::ports::Revision;
use crate::replica::Digest;
use crate::replica::Update;
use crate::replica::Verification;

/// Largest update in bytes before compression; bounds the memory that a malformed one may take.
const MAX_BYTES: u64 = 64 * 1024 * 1024;
/// Compressed updates that are cached per kind, for followers at different revisions.
const MAX_CACHED_PER_KIND: usize = 4;

/// Wire form of an [`Update`].
#[derive(Debug, Encode, Decode)]
struct Content {
    is_whole: bool,
    objects: Vec<Rc<EncodedObject>>,
    removed: Vec<String>,
    at: Revision,
    #[musli(default)]
    digest: Option<Digest>,
}

/// Why an update could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The compressed data is malformed, or too large.
    #[error("decompressing: {0}")]
    Decompress(#[from] std::io::Error),
    /// The decompressed data is malformed.
    #[error("decoding: {0}")]
    Decode(String),
}

/// Encodes and compresses an update.
pub fn encode(update: &Update) -> std::io::Result<Vec<u8>> {
    let content = Content {
        is_whole: update.is_snapshot,
        objects: update.objects.clone(),
        removed: update.removed.clone(),
        at: update.at,
        digest: update.digest,
    };
    let bytes = musli::wire::to_vec(&content)
        .map_err(|error| std::io::Error::other(format!("encoding: {error}")))?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// Decompresses and decodes the result of [`encode`].
pub fn decode(compressed: &[u8]) -> Result<Update, DecodeError> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_BYTES).read_to_end(&mut bytes)?;
    let content: Content =
        musli::wire::from_slice(&bytes).map_err(|error| DecodeError::Decode(error.to_string()))?;
    Ok(Update {
        is_snapshot: content.is_whole,
        objects: content.objects,
        removed: content.removed,
        at: content.at,
        digest: content.digest,
    })
}

/// Identifies a compressed update of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheKey {
    /// Revision of the followers that it is for.
    pub since: Revision,
    /// Revision of the replica after the update.
    pub at: Revision,
    /// How these followers verify the update.
    pub verification: Verification,
}

struct CachedUpdate {
    key: CacheKey,
    compressed: Rc<[u8]>,
}

/// Cache of recently compressed updates, by kind.
#[derive(Default)]
pub struct UpdateCache {
    kinds: RefCell<HashMap<&'static str, Vec<CachedUpdate>>>,
}

impl UpdateCache {
    /// Returns the cached update of a kind, or calls `encode` to create it.
    ///
    /// # Errors
    ///
    /// Fails if `encode` does.
    pub fn get(
        &self,
        kind: &'static str,
        key: CacheKey,
        encode: impl FnOnce() -> std::io::Result<Vec<u8>>,
    ) -> std::io::Result<Rc<[u8]>> {
        let mut kinds = self.kinds.borrow_mut();
        let cached = kinds.entry(kind).or_default();
        if let Some(entry) = cached.iter().find(|entry| entry.key == key) {
            return Ok(entry.compressed.clone());
        }
        let compressed: Rc<[u8]> = encode()?.into();
        cached.retain(|entry| entry.key.at == key.at);
        if cached.len() >= MAX_CACHED_PER_KIND {
            cached.remove(0);
        }
        cached.push(CachedUpdate { key, compressed: compressed.clone() });
        Ok(compressed)
    }
}
