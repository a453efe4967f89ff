//! How many texts are read here, and how long each read may rest for that.
//!
//! Events of a text come some hundredths of a second apart, and each costs a wake-up and a call to the
//! system. Nobody waits for a single event: what counts is when the text is whole. A daemon that reads
//! many texts lets each rest between two reads, so that several events come at once.

use std::cell::Cell;
use std::time::Duration;

/// Rest for each text that is read at the same time: 200 texts rest 20 ms, less than the time between
/// two events, and 1,500 rest for three of them.
const DELAY_PER_READER: Duration = Duration::from_micros(100);
/// Longest rest: a small part of the time that a step has.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// Rests that are shorter than this save nothing.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Texts that are read at the same time.
#[derive(Debug, Default)]
pub struct ReadPacer {
    active: Cell<u32>,
}

/// One text that is read; it leaves the crowd when dropped.
pub struct ReaderGuard<'a>(&'a ReadPacer);

impl ReadPacer {
    /// Adds a text.
    pub fn register(&self) -> ReaderGuard<'_> {
        self.active.set(self.active.get() + 1);
        ReaderGuard(self)
    }

    /// How long a text rests between two reads; nothing where that saves nothing.
    pub fn delay(&self) -> Option<Duration> {
        let delay = (DELAY_PER_READER * self.active.get()).min(MAX_DELAY);
        (delay >= MIN_DELAY).then_some(delay)
    }
}

impl Drop for ReaderGuard<'_> {
    fn drop(&mut self) {
        let pacer = self.0;
        pacer.active.set(pacer.active.get().saturating_sub(1));
    }
}
