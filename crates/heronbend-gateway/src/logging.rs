//! A non-blocking logger that writes structured lines to standard output.
//!
//! Lines go through a bounded buffer to a writer thread. When the buffer is full, lines are dropped
//! and counted, and the writer logs their number.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use log::{LevelFilter, Log, Metadata, Record};

/// Capacity of the buffer, in bytes.
const CAPACITY_BYTES: usize = 256 * 1024;
/// How long the writer waits to collect lines for one write.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A bounded buffer of lines to be written.
#[derive(Default)]
pub struct Buffer {
    pending: Mutex<Vec<u8>>,
    not_empty: Condvar,
    /// Lines dropped since the last [`Self::drain`].
    unreported_drops: AtomicU64,
}

impl Buffer {
    /// Appends a line without blocking. Returns `false` if the buffer is full and the line is
    /// dropped.
    pub fn push(&self, line: &str) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.len() + line.len() > CAPACITY_BYTES {
            self.unreported_drops.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let was_empty = pending.is_empty();
        pending.extend_from_slice(line.as_bytes());
        drop(pending);
        if was_empty {
            self.not_empty.notify_one();
        }
        true
    }

    /// Blocks until the buffer is not empty.
    fn wait_for_lines(&self) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.is_empty() {
            pending = self.not_empty.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Takes all buffered lines, and the number of lines dropped since the last call.
    pub fn drain(&self) -> (Vec<u8>, u64) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut *pending), self.unreported_drops.swap(0, Ordering::Relaxed))
    }

    fn is_empty(&self) -> bool {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }
}

/// The [`log`] backend of a daemon.
pub struct BoundedLogger {
    buffer: Arc<Buffer>,
    level: LevelFilter,
}

impl BoundedLogger {
    /// Installs the global logger and starts its writer thread. Lines carry no timestamp: the log
    /// collector adds one.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be spawned.
    pub fn install(level: LevelFilter) -> std::io::Result<()> {
        let buffer = Arc::new(Buffer::default());
        let writer = buffer.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || run_writer(&writer))?;
        let logger = Box::new(Self { buffer, level });
        // Fails only if a logger is already installed.
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
        let line = escape_controls(format!("level={} {}", record.level(), record.args()));
        self.buffer.push(&(line + "\n"));
    }

    fn flush(&self) {
        for _ in 0..MAX_FLUSH_POLLS {
            if self.buffer.is_empty() {
                return;
            }
            std::thread::sleep(BATCH_DELAY);
        }
    }
}

/// Escapes control characters, which names of other writers may contain, so that a line stays one.
fn escape_controls(line: String) -> String {
    if !line.contains(char::is_control) {
        return line;
    }
    let escaped = line.chars().map(|character| match character {
        character if character.is_control() => character.escape_default().to_string(),
        character => character.to_string(),
    });
    escaped.collect()
}

/// Maximum number of times that a flush polls the buffer.
const MAX_FLUSH_POLLS: u32 = 4;

fn run_writer(buffer: &Buffer) {
    let mut output = std::io::stdout();
    loop {
        buffer.wait_for_lines();
        std::thread::sleep(BATCH_DELAY);
        let (bytes, dropped) = buffer.drain();
        // A failed write cannot be reported anywhere else.
        let _ = output.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(output, "level=WARN event=log_lines_dropped count={dropped}");
        }
        let _ = output.flush();
    }
}
