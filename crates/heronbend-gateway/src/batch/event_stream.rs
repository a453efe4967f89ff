//! The text of an item, from the events that servers send.

use std::collections::BTreeSet;

use super::digest::Digest;
use super::result_log::ItemResult;
use super::segment::Segment;
use crate::events::{MalformedEvent, Parser};

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

impl From<MalformedEvent> for StreamError {
    fn from(_: MalformedEvent) -> Self {
        Self::Malformed
    }
}

/// Events of one item, from one or more servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ItemText {
    events: Vec<String>,
    /// The version of the weights that made each event.
    made_by: Vec<u64>,
    /// The digest of the text up to each event.
    digests: Vec<Digest>,
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

    /// The digest of the events up to number `event`; nothing where the text is shorter.
    pub fn digest_at(&self, event: u64) -> Option<Digest> {
        match usize::try_from(event).ok()?.checked_sub(1) {
            None => Some(Digest::EMPTY),
            Some(index) => self.digests.get(index).copied(),
        }
    }

    /// Whether `other` has the same events as far as this text goes.
    pub fn is_start_of(&self, other: &Self) -> bool {
        other.digest_at(self.last_event()) == self.digest_at(self.last_event())
    }

    /// The events after number `after`, as a segment of an item's text.
    pub fn segment(&self, item: usize, after: u64) -> Segment {
        let from = usize::try_from(after).unwrap_or(usize::MAX).min(self.events.len());
        Segment {
            item,
            after,
            follows: self.digest_at(after).unwrap_or_default(),
            events: self.events[from..].to_vec(),
            versions: self.made_by[from..].to_vec(),
        }
    }

    /// The text that a segment makes of the events that it continues; nothing where these are not
    /// the first ones of this text.
    pub fn continued_by(&self, segment: &Segment) -> Option<Self> {
        if self.digest_at(segment.after) != Some(segment.follows) {
            return None;
        }
        let known = usize::try_from(segment.after).ok()?;
        let mut text = self.clone();
        text.events.truncate(known);
        text.made_by.truncate(known);
        text.digests.truncate(known);
        for (event, version) in segment.events.iter().zip(&segment.versions) {
            text.push(event.clone(), *version);
        }
        Some(text)
    }

    fn push(&mut self, event: String, version: u64) {
        let before = self.digests.last().copied().unwrap_or(Digest::EMPTY);
        self.digests.push(before.then(&event, version));
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
