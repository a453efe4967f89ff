//! Compares the boot clock with `/proc/uptime`.

use std::time::Duration;

use heronbend_net::boot_clock::since_boot;
use heronbend_net::boot_clock::BootClock;

/// Reads `/proc/uptime`, which includes suspensions and has a resolution of 10 ms.
fn uptime() -> Duration {
    let text = std::fs::read_to_string("/proc/uptime").unwrap();
    let seconds = text.split_whitespace().next().unwrap();
    Duration::from_secs_f64(seconds.parse().unwrap())
}

#[test]
fn it_agrees_with_the_uptime() {
    let resolution = Duration::from_millis(10);
    let before = uptime();
    let elapsed = since_boot();
    let after = uptime();
    assert!(before <= elapsed + resolution, "{before:?} {elapsed:?}");
    assert!(elapsed <= after + resolution, "{elapsed:?} {after:?}");
}

#[test]
fn it_starts_at_zero_and_advances() {
    let clock = BootClock::start();
    let first = clock.elapsed();
    std::thread::sleep(Duration::from_millis(2));
    assert!(clock.elapsed() >= first + Duration::from_millis(2));
}
