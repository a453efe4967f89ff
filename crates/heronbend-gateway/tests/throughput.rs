//! Estimates of text length and server throughput.

mod support;

use std::time::Duration;

use heronbend_gateway::batch::length_estimate::LengthEstimator;
use heronbend_gateway::batch::throughput::ThroughputMeter;
use support::item;

const FAST: Duration = Duration::from_millis(40);

#[test]
fn remaining_events_use_the_estimate_or_the_growth() {
    let mut estimator = LengthEstimator::default();
    let estimated = item("a", Some(5000));
    // The ratio of tokens to events is not known yet.
    assert_eq!(estimator.expected_remaining(&estimated, 20), 10);
    estimator.record(&item("b", Some(500)), 10);
    assert_eq!(estimator.expected_remaining(&estimated, 20), 80);
    // The text has exceeded its estimate.
    assert_eq!(estimator.expected_remaining(&estimated, 140), 70);
    assert_eq!(estimator.expected_remaining(&item("c", None), 40), 20);
}

#[test]
fn slow_server_is_detected_after_few_events() {
    let mut fast = ThroughputMeter::new(Duration::ZERO);
    assert_eq!(fast.record(FAST * 7, 7), None);
    assert_eq!(fast.record(FAST * 8, 1), Some(FAST));
    let mut slow = ThroughputMeter::new(Duration::ZERO);
    let per_event = Duration::from_millis(220);
    assert_eq!(slow.record(per_event, 1), None);
    assert_eq!(slow.record(per_event * 2, 1), Some(per_event));
}
