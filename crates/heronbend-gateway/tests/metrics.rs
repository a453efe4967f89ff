//! The exported text of metrics.

use std::time::Duration;

use heronbend_gateway::metrics::Metrics;

fn assert_exported(metrics: &Metrics, lines: &[&str]) {
    let page = metrics.encode();
    for line in lines {
        assert!(page.lines().any(|exported| exported == *line), "{line} in\n{page}");
    }
}

#[test]
fn the_call_queue_is_exported_by_priority() {
    let metrics = Metrics::default();
    metrics.set_calls_waiting(0, 3);
    metrics.set_calls_waiting(2, 5);
    metrics.set_calls_waiting(2, 0);
    metrics.record_call_wait(1, Duration::from_millis(250));
    metrics.record_call_wait(1, Duration::from_millis(500));
    metrics.record_call_refused(2, "overloaded");
    metrics.record_call_refused(2, "overloaded");
    assert_exported(
        &metrics,
        &[
            "heronbend_calls_waiting{priority=\"0\"} 3",
            "heronbend_calls_waiting{priority=\"2\"} 0",
            "heronbend_call_wait_seconds_sum{priority=\"1\"} 0.75",
            "heronbend_call_wait_seconds_count{priority=\"1\"} 2",
            "heronbend_calls_refused_total{reason=\"overloaded\",priority=\"2\"} 2",
        ],
    );
}

#[test]
fn the_rate_of_a_service_is_exported_while_it_is_limited() {
    let metrics = Metrics::default();
    metrics.set_admission_rate("s", Some(2.5));
    assert_exported(&metrics, &["heronbend_admission_rate_calls_per_second{service=\"s\"} 2.5"]);
    metrics.set_admission_rate("s", None);
    assert!(!metrics.encode().contains("service=\"s\""));
}

#[test]
fn shares_are_counted() {
    let metrics = Metrics::default();
    metrics.shares_told.inc_by(2);
    metrics.shares_used.inc();
    assert_exported(&metrics, &["heronbend_shares_told_total 2", "heronbend_shares_used_total 1"]);
}
