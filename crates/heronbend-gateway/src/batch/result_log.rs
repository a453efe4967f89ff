//! The log of a job's results, without I/O.
//!
//! The log is written in chunks with consecutive numbers from 0. Chunk n may be written only by
//! somebody who knows chunks 0 to n - 1, under the condition that there is no chunk n. A result has
//! its position once the chunk that holds it is known to be in the store, and keeps it for ever.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum ItemState {
    /// Its text is whole.
    Done,
    /// It was given up.
    Terminated,
}

/// The result of an item.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
pub struct ItemResult {
    /// The item.
    pub item: String,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds; empty unless it is done.
    pub text: String,
    /// Versions of the weights that made an event of the text, ascending.
    pub versions: Vec<u64>,
    /// Signature of the reward call's answer.
    pub score: Option<String>,
}

/// Results from a position on, for a reader.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultsPage {
    /// Items of the job.
    pub total: usize,
    /// Position of the first result.
    pub from: usize,
    /// The results.
    pub results: Vec<Rc<ItemResult>>,
}

/// A chunk that is to be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// Its number.
    pub number: u32,
    /// Its results.
    pub results: Vec<Rc<ItemResult>>,
}

/// Most text bytes in one chunk; a chunk is one object, whose size is bounded.
const MAX_CHUNK_BYTES: usize = 480 * 1024;
/// Most text bytes in one page.
const MAX_PAGE_BYTES: usize = 900 * 1024;
/// Bytes of a result apart from its text.
const RESULT_OVERHEAD: usize = 256;

/// One daemon's view of a job's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ResultLog {
    results: Vec<Rc<ItemResult>>,
    committed: BTreeSet<String>,
    chunks: u32,
    pending: Vec<Rc<ItemResult>>,
    writing: bool,
    /// Whether the store may hold one chunk more than is known here.
    in_doubt: bool,
}

impl ResultLog {
    /// Results whose position is settled.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether no result is settled.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Chunks known to be in the store.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Whether an item's result is settled.
    pub fn is_committed(&self, item: &str) -> bool {
        self.committed.contains(item)
    }

    /// Whether an item's result is settled or waits to be written.
    pub fn has_result(&self, item: &str) -> bool {
        self.is_committed(item) || self.pending.iter().any(|pending| pending.item == item)
    }

    /// Results that wait to be written.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether so many results wait that the next chunk is half full. What comes last is to fit into
    /// one chunk: a reader that sees a part of it looks again only after a rest.
    pub fn is_chunk_half_full(&self) -> bool {
        let bytes = self.pending.iter().map(|result| result.text.len() + RESULT_OVERHEAD);
        bytes.sum::<usize>() >= MAX_CHUNK_BYTES / 2
    }

    /// Settled results from a position on, as many as fit one answer.
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

    /// Adds a result that is to be written; one of an item that has a result already is dropped.
    pub fn add(&mut self, result: ItemResult) {
        let is_pending = self.pending.iter().any(|pending| pending.item == result.item);
        if !is_pending && !self.is_committed(&result.item) {
            self.pending.push(Rc::new(result));
        }
    }

    /// The next chunk to write, unless one is being written or nothing waits.
    ///
    /// Until [`ResultLog::settle`] or [`ResultLog::write_failed`] is called, no further chunk is
    /// given out: a chunk whose outcome is unknown has to be written, or read, before the next one.
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

    /// Notes that a chunk could not be written; `is_unknown` where it may have been, or may be yet.
    pub fn write_failed(&mut self, is_unknown: bool) {
        self.writing = false;
        self.in_doubt |= is_unknown;
    }

    /// Whether the store may hold a chunk that is not known here, and that others may have read.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Notes that a chunk, of whichever writer, is in the store. Chunks come in order; one that is
    /// known already is passed over, and one after a gap is not taken in.
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

    /// Takes in results that another daemon has settled, up to chunk number `chunks`.
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
