//! Events of a server's stream (`text/event-stream`), from bytes that come in any pieces.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest unfinished event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const BOUNDARY: &[u8] = b"\n\n";

/// An event cannot be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is malformed")]
pub struct MalformedEvent;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, where it has one.
    pub id: Option<u64>,
    /// Its data; nothing for a comment.
    pub data: Option<String>,
    /// The version of the weights from here on, where it tells a change.
    pub version: Option<u64>,
    /// Its bytes as they came, with the blank line that ends it.
    pub raw: Bytes,
}

/// Splits a stream into events.
#[derive(Debug)]
pub struct Parser {
    /// Lower-case name of the field that tells a change of version.
    version_field: String,
    buffer: BytesMut,
}

impl Parser {
    /// A parser at the start of a stream.
    pub fn new(version_field: &str) -> Self {
        Self { version_field: version_field.to_owned(), buffer: BytesMut::new() }
    }

    /// Takes in bytes; returns the events that they complete.
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

    /// Whether the stream stands between two events.
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
