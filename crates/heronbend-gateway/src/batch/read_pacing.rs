//! Paces reads from many concurrent event streams.
//!
//! Every read costs a wake-up and a system call, and no caller waits for a single event of a batch
//! item. With many streams open, a delay between reads lets each read return several events.

use std::cell::Cell;
use std::time::Duration;

/// Delay per open stream. 200 streams wait 20 ms, which is less than the time between two events;
/// 1,500 streams wait for three events.
const DELAY_PER_READER: Duration = Duration::from_micros(100);
/// Maximum delay, which bounds the added latency.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// Shorter delays are skipped, as they would not coalesce events.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Counts the open event streams of this daemon.
#[derive(Debug, Default)]
pub struct ReadPacer {
    active: Cell<u32>,
}

/// Registration of an open stream, removed when dropped.
pub struct ReaderGuard<'a>(&'a ReadPacer);

impl ReadPacer {
    /// Registers a stream.
    pub fn register(&self) -> ReaderGuard<'_> {
        self.active.set(self.active.get() + 1);
        ReaderGuard(self)
    }

    /// Delay before the next read of a stream, or `None` if few streams are open.
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
