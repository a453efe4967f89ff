//! The text of an item, from the events that servers send.

use std::collections::BTreeSet;

use super::checkpoint::Segment;
use super::result_log::ItemResult;
use crate::events::{Malformed, Parser};

/// Why a stream cannot be a continuation of the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event's number is missing or not the next one.
    #[error("an event is missing or out of turn")]
    OutOfTurn,
    /// An event cannot be understood.
    #[error("an event is malformed")]
    Malformed,
}

impl From<Malformed> for StreamError {
    fn from(_: Malformed) -> Self {
        Self::Malformed
    }
}

/// Events of one item, from one or more servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemText {
    events: Vec<String>,
    /// The version of the weights that made each event.
    made_by: Vec<u64>,
}

impl ItemText {
    /// Number of the last event; 0 before the first.
    pub fn last_event(&self) -> u64 {
        self.events.len() as u64
    }

    /// Versions of the weights that made an event.
    pub fn versions(&self) -> BTreeSet<u64> {
        self.made_by.iter().copied().collect()
    }

    /// Whether all events were made under `min_version` or later, and under one version alone where
    /// `is_single` asks for that.
    pub fn versions_fit(&self, min_version: u64, is_single: bool) -> bool {
        let first = self.made_by.first();
        let is_mixed = self.made_by.iter().any(|version| Some(version) != first);
        self.made_by.iter().all(|version| *version >= min_version) && !(is_single && is_mixed)
    }

    /// The events after number `after`, as a segment of an item's text.
    pub fn segment(&self, item: usize, after: u64) -> Segment {
        let from = usize::try_from(after).unwrap_or(usize::MAX).min(self.events.len());
        Segment {
            item,
            after,
            events: self.events[from..].to_vec(),
            versions: self.made_by[from..].to_vec(),
        }
    }

    /// Takes in the events of a segment that follow what is known; one after a gap adds nothing.
    pub fn extend_from(&mut self, segment: &Segment) {
        let Some(known) = self.last_event().checked_sub(segment.after) else {
            return;
        };
        let new = segment.events.iter().zip(&segment.versions);
        for (event, version) in new.skip(usize::try_from(known).unwrap_or(usize::MAX)) {
            self.push(event.clone(), *version);
        }
    }

    fn push(&mut self, event: String, version: u64) {
        self.events.push(event);
        self.made_by.push(version);
    }

    /// The data of all events, separated by line feeds.
    pub fn text(&self) -> String {
        self.events.join("\n")
    }

    /// The result of a whole text.
    pub fn result(&self, item: &str, score: Option<String>) -> ItemResult {
        ItemResult {
            item: item.to_owned(),
            state: super::ItemState::Done,
            text: self.text(),
            versions: self.versions().into_iter().collect(),
            score,
        }
    }
}

/// Reads the events of one server's stream into an item's text.
#[derive(Debug)]
pub struct EventReader {
    parser: Parser,
    /// The version that makes the next event; not told by an answer without events.
    version: Option<u64>,
}

impl EventReader {
    /// A reader for a stream that starts under `version`; changes are told in `version_field`.
    pub fn new(version_field: &str, version: Option<u64>) -> Self {
        Self { parser: Parser::new(version_field), version }
    }

    /// Takes in bytes; returns how many whole events they completed.
    pub fn read(&mut self, bytes: &[u8], text: &mut ItemText) -> Result<usize, StreamError> {
        let mut count = 0;
        for event in self.parser.push(bytes)? {
            self.version = event.version.or(self.version);
            let Some(data) = event.data else {
                continue;
            };
            if event.id != Some(text.last_event() + 1) {
                return Err(StreamError::OutOfTurn);
            }
            let version = self.version.ok_or(StreamError::Malformed)?;
            text.push(data, version);
            count += 1;
        }
        Ok(count)
    }

    /// Whether the stream ended between two events.
    pub fn is_between_events(&self) -> bool {
        self.parser.is_between_events()
    }
}
