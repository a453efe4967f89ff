//! The text of an item, from the events that servers send.

use std::collections::BTreeSet;

use super::result_log::ItemResult;

/// Largest unfinished event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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

/// Events of one item, from one or more servers.
#[derive(Debug, Clone, Default)]
pub struct ItemText {
    events: Vec<String>,
    versions: BTreeSet<u64>,
    last_event: u64,
}

impl ItemText {
    /// Number of the last event; 0 before the first.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Versions of the weights that made an event.
    pub fn versions(&self) -> &BTreeSet<u64> {
        &self.versions
    }

    /// The data of all events, separated by line feeds.
    pub fn text(&self) -> String {
        self.events.join("\n")
    }

    /// The result of a whole text.
    pub fn into_result(self, item: &str, score: Option<String>) -> ItemResult {
        ItemResult {
            item: item.to_owned(),
            state: super::ItemState::Done,
            text: self.text(),
            versions: self.versions.into_iter().collect(),
            score,
        }
    }
}

/// Reads the events of one server's stream into an item's text.
#[derive(Debug)]
pub struct EventReader<'a> {
    /// Lower-case name of the field that tells a change of version.
    version_field: &'a str,
    /// The version that makes the next event; not told by an answer without events.
    version: Option<u64>,
    unread: Vec<u8>,
}

impl<'a> EventReader<'a> {
    /// A reader for a stream that starts under `version`.
    pub fn new(version_field: &'a str, version: Option<u64>) -> Self {
        Self { version_field, version, unread: Vec::new() }
    }

    /// Takes in bytes; returns how many whole events they completed.
    pub fn read(&mut self, bytes: &[u8], text: &mut ItemText) -> Result<usize, StreamError> {
        self.unread.extend_from_slice(bytes);
        let mut events = 0;
        while let Some(end) = find(&self.unread, b"\n\n") {
            let event: Vec<u8> = self.unread.drain(..end + 2).collect();
            let event = std::str::from_utf8(&event[..end]).map_err(|_| StreamError::Malformed)?;
            events += usize::from(self.read_event(event, text)?);
        }
        if self.unread.len() > MAX_EVENT_BYTES {
            return Err(StreamError::Malformed);
        }
        Ok(events)
    }

    /// Whether the stream ended between two events.
    pub fn is_between_events(&self) -> bool {
        self.unread.is_empty()
    }

    fn read_event(&mut self, event: &str, text: &mut ItemText) -> Result<bool, StreamError> {
        let mut id = None;
        let mut data: Option<String> = None;
        for line in event.split('\n') {
            let line = line.strip_suffix('\r').unwrap_or(line);
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "" => {}
                "id" => id = Some(value.parse::<u64>().map_err(|_| StreamError::Malformed)?),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                field if field == self.version_field => {
                    let version = value.trim().parse().map_err(|_| StreamError::Malformed)?;
                    self.version = Some(version);
                }
                _ => {}
            }
        }
        let Some(data) = data else {
            return Ok(false);
        };
        if id != Some(text.last_event + 1) {
            return Err(StreamError::OutOfTurn);
        }
        let version = self.version.ok_or(StreamError::Malformed)?;
        text.last_event += 1;
        text.events.push(data);
        text.versions.insert(version);
        Ok(true)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
