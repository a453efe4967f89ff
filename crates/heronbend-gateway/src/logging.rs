//! Structured lines on standard output that never hold the program up.
//!
//! Lines go through a bounded buffer to a thread of their own, which writes what has gathered. When
//! the buffer is full, lines are dropped and counted, and a line says how many.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use log::{LevelFilter, Log, Metadata, Record};

/// Most bytes that wait to be written.
const CAPACITY_BYTES: usize = 256 * 1024;
/// Lines that come within this time are written together.
const GATHERING: Duration = Duration::from_millis(50);

/// Lines dropped by this process so far.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Lines that wait to be written.
#[derive(Default)]
pub struct Buffer {
    waiting: Mutex<Vec<u8>>,
    filled: Condvar,
    /// Lines dropped since the last were told of.
    untold: AtomicU64,
}

impl Buffer {
    /// Adds a line, unless there is no room for it; never waits for room.
    pub fn push(&self, line: &str) -> bool {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() + line.len() > CAPACITY_BYTES {
            self.untold.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let was_empty = waiting.is_empty();
        waiting.extend_from_slice(line.as_bytes());
        drop(waiting);
        if was_empty {
            self.filled.notify_one();
        }
        true
    }

    /// Waits for lines.
    fn wait(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        while waiting.is_empty() {
            waiting = self.filled.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// The lines that wait, and how many were dropped since the last call.
    pub fn take(&self) -> (Vec<u8>, u64) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut *waiting), self.untold.swap(0, Ordering::Relaxed))
    }

    fn is_empty(&self) -> bool {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }
}

/// The logger of a daemon.
pub struct BoundedLogger {
    buffer: Arc<Buffer>,
    level: LevelFilter,
}

impl BoundedLogger {
    /// Makes this the program's logger, and starts its thread. Its lines carry no time where the
    /// system that collects them adds one.
    pub fn install(level: LevelFilter) -> std::io::Result<()> {
        let buffer = Arc::new(Buffer::default());
        let writer = buffer.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_out(&writer))?;
        let logger = Box::new(Self { buffer, level });
        // Only a second logger could make this fail, and there is none.
        let _ = log::set_boxed_logger(logger);
        log::set_max_level(level);
        Ok(())
    }
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        self.buffer.push(&format!("level={} {}\n", record.level(), record.args()));
    }

    fn flush(&self) {
        for _ in 0..FLUSH_LOOKS {
            if self.buffer.is_empty() {
                return;
            }
            std::thread::sleep(GATHERING);
        }
    }
}

/// How often a flush looks whether all is written.
const FLUSH_LOOKS: u32 = 4;

fn write_out(buffer: &Buffer) {
    let mut output = std::io::stdout();
    loop {
        buffer.wait();
        std::thread::sleep(GATHERING);
        let (bytes, dropped) = buffer.take();
        // Nobody reads: there is no other place to say so.
        let _ = output.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(output, "level=WARN event=log_lines_dropped count={dropped}");
        }
        let _ = output.flush();
    }
}
