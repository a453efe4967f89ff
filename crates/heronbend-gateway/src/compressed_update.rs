//! News of a kind as it travels to followers: encoded and compressed once for all that ask from the
//! same revision.
//!
//! Entries of servers differ in few bytes. A tenth of the bytes is left of a batch of them, and a
//! watcher that tells a hundred followers of a change makes the text once.

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
use crate::replica::Checking;
use crate::replica::Digest;
use crate::replica::News;

/// Largest news in bytes before it is compressed; bounds what a malformed one may take.
const MAX_BYTES: u64 = 64 * 1024 * 1024;
/// Texts that are kept for other followers of the same kind: those between the slowest and the
/// fastest of them.
const KEPT_TEXTS: usize = 4;

/// What is encoded.
#[derive(Debug, Encode, Decode)]
struct Content {
    is_whole: bool,
    objects: Vec<Rc<EncodedObject>>,
    removed: Vec<String>,
    at: Revision,
    #[musli(default)]
    digest: Option<Digest>,
}

/// News that cannot be understood.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// It is not compressed as agreed, or too large.
    #[error("decompressing: {0}")]
    Decompress(#[from] std::io::Error),
    /// It is not encoded as agreed.
    #[error("decoding: {0}")]
    Decode(String),
}

/// Encodes and compresses news.
pub fn pack(news: &News) -> std::io::Result<Vec<u8>> {
    let content = Content {
        is_whole: news.is_whole,
        objects: news.objects.clone(),
        removed: news.removed.clone(),
        at: news.at,
        digest: news.digest,
    };
    let bytes = musli::wire::to_vec(&content)
        .map_err(|error| std::io::Error::other(format!("encoding: {error}")))?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// What [`pack`] made.
pub fn unpack(packed: &[u8]) -> Result<News, UnpackError> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(MAX_BYTES).read_to_end(&mut bytes)?;
    let content: Content =
        musli::wire::from_slice(&bytes).map_err(|error| UnpackError::Decode(error.to_string()))?;
    Ok(News {
        is_whole: content.is_whole,
        objects: content.objects,
        removed: content.removed,
        at: content.at,
        digest: content.digest,
    })
}

/// What a text tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// The revision that those who are told know.
    pub since: Revision,
    /// The revision up to which it goes.
    pub at: Revision,
    /// Whether they check what they are told.
    pub checking: Checking,
}

struct Text {
    span: Span,
    packed: Rc<[u8]>,
}

/// Texts that were made a moment ago, by kind.
#[derive(Default)]
pub struct Texts {
    kinds: RefCell<HashMap<&'static str, Vec<Text>>>,
}

impl Texts {
    /// The text of a kind's news; made by `pack` unless it is known.
    pub fn get(
        &self,
        kind: &'static str,
        span: Span,
        pack: impl FnOnce() -> std::io::Result<Vec<u8>>,
    ) -> std::io::Result<Rc<[u8]>> {
        let mut kinds = self.kinds.borrow_mut();
        let texts = kinds.entry(kind).or_default();
        if let Some(text) = texts.iter().find(|text| text.span == span) {
            return Ok(text.packed.clone());
        }
        let packed: Rc<[u8]> = pack()?.into();
        texts.retain(|text| text.span.at == span.at);
        if texts.len() >= KEPT_TEXTS {
            texts.remove(0);
        }
        texts.push(Text { span, packed: packed.clone() });
        Ok(packed)
    }
}
