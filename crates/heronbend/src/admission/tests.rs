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

/// Guards against a retry that waits for a server using up the budget of other requests.
#[test]
fn a_waiting_retry_takes_one_token() {
    let mut budget = RetryBudget::default();
    let mut waiting = RetryToken::default();
    assert!((0..1000).all(|_| waiting.take(&mut budget)));
    let mut other = RetryToken::default();
    assert!(other.take(&mut budget));
    // Each attempt needs a token of its own.
    while budget.withdraw() {}
    assert!(waiting.take(&mut budget));
    waiting.spend();
    assert!(!waiting.take(&mut budget));
}

#[test]
fn backoff_is_capped() {
    let mut random = SmallRng::seed_from_u64(1);
    assert!((1..100).all(|retry| backoff(retry, &mut random) <= Duration::from_millis(500)));
}
