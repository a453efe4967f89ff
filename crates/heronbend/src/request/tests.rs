use assert_matches::assert_matches;

use super::*;
use crate::identity::NodeId;
use crate::register::RegisterValue;

fn acquire(attempt: u64, request_digest: u64) -> ClaimChange {
    ClaimChange::Acquire { attempt, holder: NodeId::new("daemon", 1), request_digest }
}

fn settle(attempt: u64) -> ClaimChange {
    ClaimChange::Settle { attempt, answer: StoredAnswer::Unknown, expires: 9 }
}

fn run(changes: &[ClaimChange]) -> Vec<ClaimResponse> {
    let mut current: Option<Claim> = None;
    let mut responses = Vec::new();
    for change in changes {
        let applied = Claim::apply(current.as_ref(), change);
        current = Some(applied.value);
        responses.push(applied.response);
    }
    responses
}

#[test]
fn one_attempt_holds_a_key_and_others_learn_of_it() {
    let responses = run(&[acquire(1, 5), acquire(1, 5), acquire(2, 5), settle(1), acquire(3, 5)]);
    assert_matches!(
        responses.as_slice(),
        [
            ClaimResponse::Granted,
            ClaimResponse::Granted,
            ClaimResponse::InProgress { .. },
            ClaimResponse::Done,
            ClaimResponse::Settled(StoredAnswer::Unknown),
        ]
    );
}

#[test]
fn a_key_is_not_shared_by_different_requests() {
    let responses = run(&[acquire(1, 5), acquire(2, 6), settle(1), acquire(3, 6)]);
    assert_eq!(responses[1], ClaimResponse::Mismatch);
    assert_eq!(responses[3], ClaimResponse::Mismatch);
}

#[test]
fn a_released_key_may_be_claimed_by_another_attempt_but_not_by_the_same() {
    let release = ClaimChange::Release { attempt: 1 };
    let responses = run(&[acquire(1, 5), release.clone(), acquire(1, 5), acquire(2, 5), release]);
    assert_matches!(
        responses[1..],
        [
            ClaimResponse::Done,
            ClaimResponse::NotHolder,
            ClaimResponse::Granted,
            ClaimResponse::NotHolder,
        ]
    );
}

#[test]
fn an_attempt_that_lost_its_claim_cannot_settle() {
    assert_eq!(run(&[acquire(1, 5), settle(2)])[1], ClaimResponse::NotHolder);
}
