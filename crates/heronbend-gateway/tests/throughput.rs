//! How long texts become, and how fast servers make them. Where they go is tested beside the machine
//! that decides it.

mod support;

use std::time::Duration;

use heronbend_gateway::batch::length_estimate::LengthEstimator;
use heronbend_gateway::batch::throughput::ThroughputMeter;
use support::item;

const FAST: Duration = Duration::from_millis(40);

#[test]
fn a_texts_rest_is_guessed_from_its_callers_guess_and_from_its_growth() {
    let mut estimator = LengthEstimator::default();
    let guessed = item("a", Some(5000));
    // Nothing is known of how many tokens an event holds.
    assert_eq!(estimator.expected_remaining(&guessed, 20), 10);
    estimator.record(&item("b", Some(500)), 10);
    assert_eq!(estimator.expected_remaining(&guessed, 20), 80);
    // It has outgrown its guess.
    assert_eq!(estimator.expected_remaining(&guessed, 140), 70);
    assert_eq!(estimator.expected_remaining(&item("c", None), 40), 20);
}

#[test]
fn a_slow_server_is_known_before_it_has_made_many_events() {
    let mut usual = ThroughputMeter::new(Duration::ZERO);
    assert_eq!(usual.record(FAST * 7, 7), None);
    assert_eq!(usual.record(FAST * 8, 1), Some(FAST));
    let mut slow = ThroughputMeter::new(Duration::ZERO);
    let per_event = Duration::from_millis(220);
    assert_eq!(slow.record(per_event, 1), None);
    assert_eq!(slow.record(per_event * 2, 1), Some(per_event));
}
