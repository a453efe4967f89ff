//! The log buffer under overload: bounded, non-blocking, with dropped lines counted.

use heronbend_gateway::logging::Buffer;
use heronbend_gateway::metrics::Metrics;

/// Exceeds the capacity of the buffer.
const LINES: usize = 20_000;

#[test]
fn overload_is_bounded_and_dropped_lines_are_counted() {
    let buffer = Buffer::default();
    let line = format!("level=INFO event=storm filler={}\n", "x".repeat(60));
    let kept = (0..LINES).filter(|_| buffer.push(&line)).count();
    assert!(kept > 0 && kept < LINES);
    let (bytes, dropped) = buffer.drain();
    assert_eq!(bytes.len(), kept * line.len());
    assert!(bytes.len() <= 256 * 1024);
    assert_eq!(dropped, (LINES - kept) as u64);
    let page = Metrics::default().encode();
    let metric = format!("heronbend_log_lines_dropped_total {dropped}");
    assert!(page.contains(&metric), "{page}");
    assert!(buffer.push(&line), "the drained buffer accepts lines");
}
