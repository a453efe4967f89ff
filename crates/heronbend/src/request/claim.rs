//! The claim on a request key, as stored in a register.

use musli::{Decode, Encode};

use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

/// Stored outcome of a non-idempotent request, returned to retries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StoredAnswer {
    /// The backend responded.
    Answer {
        /// HTTP status code of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The request was sent, but no complete response was received.
    Unknown,
}

/// State of a request key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Claim {
    /// The attempt may dispatch the request.
    Held {
        /// Unique identifier of the attempt.
        attempt: u64,
        /// Daemon that runs the attempt.
        holder: NodeId,
        /// Digest of the request, which detects reuse of the key for a different request.
        request_digest: u64,
    },
    /// The attempt has ended, and the request is not dispatched again.
    Settled {
        /// Unique identifier of the attempt.
        attempt: u64,
        /// Digest of the request.
        request_digest: u64,
        /// Outcome of the request.
        answer: StoredAnswer,
        /// Wall-clock time, in seconds since the Unix epoch, after which the register may be
        /// removed.
        expires: u64,
    },
    /// The request was certainly not run; another attempt may claim the key.
    Released {
        /// Unique identifier of the attempt.
        attempt: u64,
    },
}

/// Change of a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ClaimChange {
    /// Claims the key for an attempt.
    Acquire {
        /// Unique identifier of the attempt.
        attempt: u64,
        /// Daemon that runs the attempt.
        holder: NodeId,
        /// Digest of the request.
        request_digest: u64,
    },
    /// Stores the outcome of the attempt that holds the claim.
    Settle {
        /// Unique identifier of the attempt.
        attempt: u64,
        /// Outcome of the request.
        answer: StoredAnswer,
        /// Time after which the register may be removed, see [`Claim::Settled`].
        expires: u64,
    },
    /// Releases the claim of an attempt whose request was certainly not run.
    Release {
        /// Unique identifier of the attempt.
        attempt: u64,
    },
}

/// Response to a [`ClaimChange`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ClaimResponse {
    /// The attempt holds the claim.
    Granted,
    /// Another attempt holds the claim.
    InProgress {
        /// Daemon that runs the other attempt.
        holder: NodeId,
    },
    /// The request has already been settled.
    Settled(StoredAnswer),
    /// The key belongs to a request with another digest.
    Mismatch,
    /// The claim was settled or released.
    Done,
    /// The attempt does not hold the claim, which is unchanged.
    NotHolder,
}

impl RegisterValue for Claim {
    type Change = ClaimChange;
    type Response = ClaimResponse;

    fn apply(current: Option<&Self>, change: &ClaimChange) -> Applied<Self, ClaimResponse> {
        match change {
            ClaimChange::Acquire { attempt, holder, request_digest } => {
                acquire(current, *attempt, holder, *request_digest)
            }
            ClaimChange::Settle { attempt, answer, expires } => {
                settle(current, *attempt, answer, *expires)
            }
            ClaimChange::Release { attempt } => release(current, *attempt),
        }
    }
}

fn acquire(
    current: Option<&Claim>,
    attempt: u64,
    holder: &NodeId,
    request_digest: u64,
) -> Applied<Claim, ClaimResponse> {
    let response = match current {
        Some(
            Claim::Held { request_digest: claimed_digest, .. }
            | Claim::Settled { request_digest: claimed_digest, .. },
        ) if *claimed_digest != request_digest => ClaimResponse::Mismatch,
        Some(Claim::Held { attempt: held_by, holder, .. }) if *held_by != attempt => {
            ClaimResponse::InProgress { holder: holder.clone() }
        }
        Some(Claim::Settled { answer, .. }) => ClaimResponse::Settled(answer.clone()),
        Some(Claim::Released { attempt: released_by }) if *released_by == attempt => {
            ClaimResponse::NotHolder
        }
        Some(Claim::Held { .. } | Claim::Released { .. }) | None => ClaimResponse::Granted,
    };
    let value = match (current, &response) {
        (Some(claim), response) if *response != ClaimResponse::Granted => claim.clone(),
        _ => Claim::Held { attempt, holder: holder.clone(), request_digest },
    };
    Applied { value, response }
}

fn settle(
    current: Option<&Claim>,
    attempt: u64,
    answer: &StoredAnswer,
    expires: u64,
) -> Applied<Claim, ClaimResponse> {
    match current {
        Some(Claim::Held { attempt: held_by, request_digest, .. }) if *held_by == attempt => {
            Applied {
                value: Claim::Settled {
                    attempt,
                    request_digest: *request_digest,
                    answer: answer.clone(),
                    expires,
                },
                response: ClaimResponse::Done,
            }
        }
        Some(Claim::Settled { attempt: settled_by, .. }) if *settled_by == attempt => {
            unchanged(current, attempt, ClaimResponse::Done)
        }
        _ => unchanged(current, attempt, ClaimResponse::NotHolder),
    }
}

fn release(current: Option<&Claim>, attempt: u64) -> Applied<Claim, ClaimResponse> {
    match current {
        Some(Claim::Held { attempt: held_by, .. }) if *held_by == attempt => {
            Applied { value: Claim::Released { attempt }, response: ClaimResponse::Done }
        }
        Some(Claim::Released { attempt: released_by }) if *released_by == attempt => {
            unchanged(current, attempt, ClaimResponse::Done)
        }
        _ => unchanged(current, attempt, ClaimResponse::NotHolder),
    }
}

fn unchanged(
    current: Option<&Claim>,
    attempt: u64,
    response: ClaimResponse,
) -> Applied<Claim, ClaimResponse> {
    let value = current.cloned().unwrap_or(Claim::Released { attempt });
    Applied { value, response }
}
