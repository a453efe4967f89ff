//! The append-only log of a job's results, without I/O.
//!
//! The log consists of chunks numbered from 0. A daemon may write chunk n only if it knows chunks 0
//! to n - 1, with a create that fails if chunk n exists. A result is committed, and its position
//! final, once its chunk is known to be in the store.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum ItemState {
    /// The text is complete.
    Done,
    /// The item was given up.
    Terminated,
}

/// The result of an item.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
pub struct ItemResult {
    /// Identifier of the item.
    pub item: String,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events, separated by line feeds; empty unless the state is `Done`.
    pub text: String,
    /// Weight versions that generated events of the text, ascending.
    pub versions: Vec<u64>,
    /// Signature in the response to the reward call, if the item has one.
    pub score: Option<String>,
}

/// A page of consecutive committed results.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultsPage {
    /// Number of items in the job.
    pub total: usize,
    /// Position of the first result in the page.
    pub from: usize,
    /// The results.
    pub results: Vec<Rc<ItemResult>>,
}

/// A chunk to be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// Its number.
    pub number: u32,
    /// Its results.
    pub results: Vec<Rc<ItemResult>>,
}

/// Maximum size of a chunk in bytes, below the object size limit.
const MAX_CHUNK_BYTES: usize = 480 * 1024;
/// Maximum size of a page in bytes.
pub const MAX_PAGE_BYTES: usize = 900 * 1024;
/// Estimated size of a result without its text, in bytes.
const RESULT_OVERHEAD: usize = 256;

/// A daemon's view of the log of one job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ResultLog {
    results: Vec<Rc<ItemResult>>,
    committed: BTreeSet<String>,
    chunks: u32,
    pending: Vec<Rc<ItemResult>>,
    writing: bool,
    /// Whether the store may hold one more chunk than this view.
    in_doubt: bool,
}

impl ResultLog {
    /// Number of committed results.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether no results are committed.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Number of chunks known to be in the store.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Whether the result of an item is committed.
    pub fn is_committed(&self, item: &str) -> bool {
        self.committed.contains(item)
    }

    /// Whether the result of an item is committed or pending.
    pub fn has_result(&self, item: &str) -> bool {
        self.is_committed(item) || self.pending.iter().any(|pending| pending.item == item)
    }

    /// Number of results that are not committed yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether the pending results fill at least half a chunk. Writing at that point leaves room
    /// for the final results to fit into one chunk, so that a reader receives them in one poll.
    pub fn is_chunk_half_full(&self) -> bool {
        let bytes = self.pending.iter().map(|result| result.text.len() + RESULT_OVERHEAD);
        bytes.sum::<usize>() >= MAX_CHUNK_BYTES / 2
    }

    /// Committed results from position `from`, limited by size; at least one if any exists.
    pub fn page(&self, from: usize) -> Vec<Rc<ItemResult>> {
        let mut bytes = 0;
        let mut page = Vec::new();
        for result in self.results.iter().skip(from) {
            bytes += result.text.len() + RESULT_OVERHEAD;
            if !page.is_empty() && bytes > MAX_PAGE_BYTES {
                break;
            }
            page.push(result.clone());
        }
        page
    }

    /// Adds a pending result. Ignored if the item already has a result.
    pub fn add(&mut self, result: ItemResult) {
        let is_pending = self.pending.iter().any(|pending| pending.item == result.item);
        if !is_pending && !self.is_committed(&result.item) {
            self.pending.push(Rc::new(result));
        }
    }

    /// Returns the next chunk to write, or `None` if a write is in progress or no result is
    /// pending.
    ///
    /// The write remains in progress until [`ResultLog::commit`] or [`ResultLog::write_failed`] is
    /// called.
    pub fn start_write(&mut self) -> Option<Chunk> {
        if self.writing || self.pending.is_empty() {
            return None;
        }
        let mut bytes = 0;
        let fitting = self.pending.iter().take_while(|result| {
            bytes += result.text.len() + RESULT_OVERHEAD;
            bytes <= MAX_CHUNK_BYTES
        });
        let count = fitting.count().max(1);
        self.writing = true;
        Some(Chunk { number: self.chunks, results: self.pending[..count].to_vec() })
    }

    /// Records a failed write. `is_unknown` means that the write may have taken effect or still
    /// may.
    pub fn write_failed(&mut self, is_unknown: bool) {
        self.writing = false;
        self.in_doubt |= is_unknown;
    }

    /// Whether the store may hold a chunk that is missing here but visible to other daemons.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Records that a chunk by any writer is in the store. A chunk that is already known is
    /// ignored. Returns false, and ignores the chunk, if an earlier one is missing.
    pub fn commit(&mut self, number: u32, results: Vec<Rc<ItemResult>>) -> bool {
        if number != self.chunks {
            return number < self.chunks;
        }
        self.chunks += 1;
        self.writing = false;
        self.in_doubt = false;
        for result in results {
            if self.committed.insert(result.item.clone()) {
                self.results.push(result);
            }
        }
        let committed = &self.committed;
        self.pending.retain(|pending| !committed.contains(&pending.item));
        true
    }

    /// Appends results committed by another daemon, after which the log has `chunks` chunks.
    pub fn extend(&mut self, results: Vec<Rc<ItemResult>>, chunks: u32) {
        if chunks <= self.chunks {
            return;
        }
        for result in results {
            if self.committed.insert(result.item.clone()) {
                self.results.push(result);
            }
        }
        self.chunks = chunks;
    }
}
