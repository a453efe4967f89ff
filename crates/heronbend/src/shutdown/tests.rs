//! Tests of the admission of requests during a stop.

use super::Repetition::Allowed;
use super::Repetition::Forbidden;
use super::*;

const SERVING_TIME: Duration = Duration::from_millis(6800);

fn at(millis: u64) -> Moment {
    Moment::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn early_requests_are_admitted_whatever_their_deadline() {
    let shutdown = Shutdown::start(at(0), SERVING_TIME);
    assert!(shutdown.admits(at(0), at(60_000), Forbidden));
    assert!(shutdown.admits(at(2499), at(60_000), Forbidden));
}

#[test]
fn late_requests_are_admitted_only_if_they_end_before_the_cutoff() {
    let shutdown = Shutdown::start(at(0), SERVING_TIME);
    assert!(!shutdown.admits(at(2500), at(6801), Forbidden));
    assert!(shutdown.admits(at(2500), at(6800), Forbidden));
    assert!(shutdown.admits(at(6799), at(6800), Forbidden));
    assert!(!shutdown.admits(at(6801), at(8000), Forbidden));
}

#[test]
fn requests_that_may_be_repeated_are_admitted_until_the_cutoff() {
    let shutdown = Shutdown::start(at(0), SERVING_TIME);
    assert!(shutdown.admits(at(6000), at(60_000), Allowed));
}
