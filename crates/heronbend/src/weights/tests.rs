use std::time::Duration;

use super::*;
use crate::identity::{Incarnation, NodeId};
use crate::lifecycle::BackendName;
use crate::register::RegisterValue;
use crate::Moment;

fn name(index: usize) -> BackendName {
    BackendName(format!("engine-{index}"))
}

fn rollout(engines: usize) -> VersionRollout {
    let mut rollout = VersionRollout::new(0.5);
    for index in 0..engines {
        rollout.observe(&name(index), Incarnation(1), Some(1));
    }
    rollout
}

#[test]
fn waves_keep_the_serving_floor() {
    let mut rollout = rollout(5);
    rollout.publish(2);
    let wave = rollout.tick(Moment::ZERO);
    assert_eq!(wave.len(), 2);
    assert!(rollout.tick(Moment::ZERO).is_empty());
    rollout.on_result(Moment::ZERO, &wave[0], LoadResult::Loaded);
    assert_eq!(rollout.tick(Moment::ZERO).len(), 1);
}

#[test]
fn failed_load_is_retried_after_a_delay_and_does_not_count_as_loaded() {
    let mut rollout = rollout(1);
    rollout.publish(2);
    let wave = rollout.tick(Moment::ZERO);
    rollout.on_result(Moment::ZERO, &wave[0], LoadResult::Failed);
    assert_eq!(rollout.up_to_date(), 0);
    assert!(rollout.tick(Moment::ZERO).is_empty());
    assert_eq!(rollout.tick(Duration::from_secs(1)), wave);
}

#[test]
fn older_version_is_not_rolled_out_after_a_newer_one() {
    let mut rollout = rollout(1);
    rollout.publish(3);
    rollout.publish(2);
    assert_eq!(rollout.tick(Moment::ZERO)[0].version, 3);
}

#[test]
fn restarted_engine_receives_a_command_immediately() {
    let mut rollout = rollout(1);
    rollout.publish(2);
    rollout.tick(Moment::ZERO);
    rollout.observe(&name(0), Incarnation(2), None);
    assert_eq!(rollout.tick(Moment::ZERO).len(), 1);
}

#[test]
fn each_new_holder_gets_a_higher_token() {
    let acquire = |current: Option<&Fence>, holder: u64| {
        let holder = NodeId::new("daemon", holder);
        Fence::apply(current, &FenceChange { holder, above: 0 }).value
    };
    let first = acquire(None, 1);
    let same = acquire(Some(&first), 1);
    let second = acquire(Some(&same), 2);
    assert_eq!((first.token, same.token, second.token), (1, 1, 2));
}

#[test]
fn lost_register_issues_tokens_above_those_engines_have_seen() {
    let holder = NodeId::new("daemon", 1);
    let change = FenceChange { holder, above: 3 };
    let first = Fence::apply(None, &change).value;
    let again = Fence::apply(Some(&first), &change).value;
    assert_eq!((first.token, again.token), (4, 4));
}
