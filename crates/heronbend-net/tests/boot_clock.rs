//! The clock that counts suspensions, against the system's own word.

use std::time::Duration;

use heronbend_net::boot_clock::since_boot;
use heronbend_net::boot_clock::BootClock;

/// What the system says of the time since its start, which includes suspensions, in hundredths.
fn uptime() -> Duration {
    let text = std::fs::read_to_string("/proc/uptime").unwrap();
    let seconds = text.split_whitespace().next().unwrap();
    Duration::from_secs_f64(seconds.parse().unwrap())
}

#[test]
fn it_tells_the_time_since_the_machine_was_started() {
    let hundredth = Duration::from_millis(10);
    let before = uptime();
    let told = since_boot();
    let after = uptime();
    assert!(before <= told + hundredth, "{before:?} {told:?}");
    assert!(told <= after + hundredth, "{told:?} {after:?}");
}

#[test]
fn it_begins_at_zero_and_goes_on() {
    let clock = BootClock::start();
    let first = clock.elapsed();
    std::thread::sleep(Duration::from_millis(2));
    assert!(clock.elapsed() >= first + Duration::from_millis(2));
}
