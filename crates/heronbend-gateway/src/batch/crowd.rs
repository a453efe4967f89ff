//! How many texts are read here, and how long each read may rest for that.
//!
//! Events of a text come some hundredths of a second apart, and each costs a wake-up and a call to the
//! system. Nobody waits for a single event: what counts is when the text is whole. A daemon that reads
//! many texts lets each rest between two reads, so that several events come at once.

use std::cell::Cell;
use std::time::Duration;

/// Rest for each text that is read at the same time: 200 texts rest 20 ms, less than the time between
/// two events, and 1,500 rest for three of them.
const REST_A_TEXT: Duration = Duration::from_micros(100);
/// Longest rest: a small part of the time that a step has.
const MAX_REST: Duration = Duration::from_millis(200);
/// Rests that are shorter than this save nothing.
const MIN_REST: Duration = Duration::from_millis(30);

/// Texts that are read at the same time.
#[derive(Debug, Default)]
pub struct Crowd {
    reading: Cell<u32>,
}

/// One text that is read; it leaves the crowd when dropped.
pub struct Reader<'a>(&'a Crowd);

impl Crowd {
    /// Adds a text.
    pub fn enter(&self) -> Reader<'_> {
        self.reading.set(self.reading.get() + 1);
        Reader(self)
    }

    /// How long a text rests between two reads; nothing where that saves nothing.
    pub fn rest(&self) -> Option<Duration> {
        let rest = (REST_A_TEXT * self.reading.get()).min(MAX_REST);
        (rest >= MIN_REST).then_some(rest)
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        let crowd = self.0;
        crowd.reading.set(crowd.reading.get().saturating_sub(1));
    }
}
