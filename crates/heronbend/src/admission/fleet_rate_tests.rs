//! Tests the learned rate of a fleet with reports that the replays do not bring about.

use std::time::Duration;

use super::adaptive_rate::AdaptiveRate;
use super::adaptive_rate::LoadCounters;
use super::adaptive_rate::FLEET;
use super::fleet_rate::FleetRate;
use super::fleet_rate::LoadReport;
use super::shares::Demand;
use super::shares::CLASSES;
use crate::identity::NodeName;
use crate::Moment;

fn report(sent_millis: u64, counters: LoadCounters) -> LoadReport {
    let demand = Demand {
        daemon: NodeName("a".to_owned()),
        sent_millis,
        requests_per_second: [0.0; CLASSES],
        tenants: Vec::new(),
    };
    LoadReport { demand, counters, capacity: None, usual_share: None, is_short: true }
}

#[test]
fn refusals_without_answers_do_not_start_a_limit() {
    let mut controller = AdaptiveRate::new(FLEET);
    controller.record_counters(&LoadCounters {
        offered: 500,
        refused: 500,
        found_full: 500,
        ..LoadCounters::default()
    });
    controller.adjust(Moment::from_secs(1));
    assert_eq!(controller.rate(), None);
    controller.record_counters(&LoadCounters {
        offered: 500,
        refused: 100,
        answered: 400,
        latency_millishares: 100_000,
        ..LoadCounters::default()
    });
    controller.adjust(Moment::from_secs(2));
    assert_eq!(controller.rate(), Some(400.0));
}

#[test]
fn reports_with_the_largest_values_are_handled() {
    let largest = LoadCounters {
        offered: u64::MAX,
        refused: u64::MAX,
        answered: u64::MAX,
        rejected: u64::MAX,
        found_full: u64::MAX,
        latency_millishares: u64::MAX,
    };
    let mut fleet = FleetRate::default();
    let now = Moment::from_secs(1);
    let later = u64::MAX - 2;
    fleet.observe(now, &report(later, LoadCounters::default()));
    fleet.observe(now, &report(later + 1, largest));
    fleet.observe(now, &report(later + 2, largest));
    let mut controller = AdaptiveRate::new(FLEET);
    controller.record_counters(&largest);
    controller.record_counters(&largest);
    controller.adjust(now + Duration::from_secs(1));
    assert!(controller.rate().is_some_and(f64::is_finite));
}
