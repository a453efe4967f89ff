use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::*;

#[test]
fn a_caller_at_its_limit_is_rejected_until_a_request_completes() {
    let limits = CallerLimits::default();
    let first = limits.admit("town", 1);
    assert!(first.is_some());
    assert!(limits.admit("town", 1).is_none());
    assert!(limits.admit("village", 1).is_some());
    drop(first);
    assert!(limits.admit("town", 1).is_some());
}

#[test]
fn retries_stay_within_their_ratio_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit(0.1);
        retries += u32::from(budget.withdraw());
    }
    assert!((99..=100).contains(&retries), "{retries}");
}

#[test]
fn backoff_is_capped() {
    let mut random = SmallRng::seed_from_u64(1);
    assert!((1..100).all(|retry| backoff(retry, &mut random) <= Duration::from_millis(500)));
}
