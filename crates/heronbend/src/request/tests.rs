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

fn apply_all(changes: &[ClaimChange]) -> Vec<ClaimResponse> {
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
fn only_one_attempt_is_granted_a_key() {
    let responses =
        apply_all(&[acquire(1, 5), acquire(1, 5), acquire(2, 5), settle(1), acquire(3, 5)]);
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
fn key_is_rejected_for_a_different_request() {
    let responses = apply_all(&[acquire(1, 5), acquire(2, 6), settle(1), acquire(3, 6)]);
    assert_eq!(responses[1], ClaimResponse::Mismatch);
    assert_eq!(responses[3], ClaimResponse::Mismatch);
}

#[test]
fn released_key_is_granted_only_to_another_attempt() {
    let release = ClaimChange::Release { attempt: 1 };
    let responses =
        apply_all(&[acquire(1, 5), release.clone(), acquire(1, 5), acquire(2, 5), release]);
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
fn attempt_without_the_claim_cannot_settle() {
    assert_eq!(apply_all(&[acquire(1, 5), settle(2)])[1], ClaimResponse::NotHolder);
}
