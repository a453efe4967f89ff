//! Incremental parser for event streams (`text/event-stream`).

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Maximum size of an incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const BOUNDARY: &[u8] = b"\n\n";

/// An event is malformed or too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is malformed")]
pub struct MalformedEvent;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Event number, if given.
    pub id: Option<u64>,
    /// Data, with lines joined by newlines; `None` for a comment.
    pub data: Option<String>,
    /// New weight version that applies from this event on, if it changes.
    pub version: Option<u64>,
    /// Raw bytes, including the blank line at the end.
    pub raw: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug)]
pub struct Parser {
    /// Lower-case name of the field that announces a new weight version.
    version_field: String,
    buffer: BytesMut,
}

impl Parser {
    /// Creates a parser for the start of a stream.
    pub fn new(version_field: &str) -> Self {
        Self { version_field: version_field.to_owned(), buffer: BytesMut::new() }
    }

    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, MalformedEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find(&self.buffer, BOUNDARY) {
            let raw = self.buffer.split_to(end + BOUNDARY.len()).freeze();
            events.push(self.parse(raw)?);
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(MalformedEvent);
        }
        Ok(events)
    }

    /// Size of the buffered partial event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no partial event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    fn parse(&self, raw: Bytes) -> Result<Event, MalformedEvent> {
        let text = std::str::from_utf8(&raw).map_err(|_| MalformedEvent)?;
        let (mut id, mut data, mut version) = (None, None::<String>, None);
        for line in text.trim_end_matches('\n').split('\n') {
            let line = line.strip_suffix('\r').unwrap_or(line);
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => id = Some(value.parse().map_err(|_| MalformedEvent)?),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                field if field == self.version_field => {
                    version = Some(value.trim().parse().map_err(|_| MalformedEvent)?);
                }
                _ => {}
            }
        }
        Ok(Event { id, data, version, raw })
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
