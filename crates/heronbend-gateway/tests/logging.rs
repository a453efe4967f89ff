//! Logs under a storm of lines: bounded, never waiting, and told of.

use heronbend_gateway::logging::Buffer;
use heronbend_gateway::metrics::Metrics;

/// More lines than the buffer holds.
const LINES: usize = 20_000;

#[test]
fn a_storm_of_lines_is_bounded_and_what_is_dropped_is_counted() {
    let buffer = Buffer::default();
    let line = format!("level=INFO event=storm filler={}\n", "x".repeat(60));
    let kept = (0..LINES).filter(|_| buffer.push(&line)).count();
    assert!(kept > 0 && kept < LINES);
    let (bytes, dropped) = buffer.drain();
    assert_eq!(bytes.len(), kept * line.len());
    assert!(bytes.len() <= 256 * 1024);
    assert_eq!(dropped, (LINES - kept) as u64);
    let page = Metrics::default().encode();
    let told = format!("heronbend_log_lines_dropped_total {dropped}");
    assert!(page.contains(&told), "{page}");
    assert!(buffer.push(&line), "there is room again");
}
