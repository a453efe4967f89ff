//! The claim register of one request.

use musli::{Decode, Encode};

use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

/// The answer to a not-repeatable request, kept so that a retry gets the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StoredAnswer {
    /// The back end answered.
    Answer {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The request was handed over and no whole answer came back.
    Unknown,
}

/// State of a request's key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Claim {
    /// This attempt may dispatch.
    Held {
        /// Unique number of the attempt.
        attempt: u64,
        /// The daemon that makes it.
        holder: NodeId,
        /// Digest of the request, so that a key is not used for two different requests.
        request_digest: u64,
    },
    /// The attempt ended and will not be repeated.
    Settled {
        /// Unique number of the attempt.
        attempt: u64,
        /// Digest of the request.
        request_digest: u64,
        /// What came of it.
        answer: StoredAnswer,
        /// Wall-clock seconds since the Unix epoch after which the register may be collected.
        expires: u64,
    },
    /// The attempt was certainly not run; another may claim the key.
    Released {
        /// Unique number of the attempt.
        attempt: u64,
    },
}

/// A change of a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ClaimChange {
    /// Asks to be the one attempt that dispatches.
    Acquire {
        /// Unique number of the attempt.
        attempt: u64,
        /// The daemon that makes it.
        holder: NodeId,
        /// Digest of the request.
        request_digest: u64,
    },
    /// States how the held attempt ended.
    Settle {
        /// Unique number of the attempt.
        attempt: u64,
        /// What came of it.
        answer: StoredAnswer,
        /// When the register may be collected, see [`Claim::Settled`].
        expires: u64,
    },
    /// States that the held attempt was certainly not run.
    Release {
        /// Unique number of the attempt.
        attempt: u64,
    },
}

/// What the author of a change learns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ClaimResponse {
    /// This attempt holds the claim.
    Granted,
    /// Another attempt holds it.
    InProgress {
        /// The daemon that makes the other attempt.
        holder: NodeId,
    },
    /// The request was settled before.
    Settled(StoredAnswer),
    /// The key was used for a different request.
    Mismatch,
    /// The change is made.
    Done,
    /// The attempt does not hold the claim; nothing was changed.
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
            Claim::Held { request_digest: other, .. }
            | Claim::Settled { request_digest: other, .. },
        ) if *other != request_digest => ClaimResponse::Mismatch,
        Some(Claim::Held { attempt: other, holder, .. }) if *other != attempt => {
            ClaimResponse::InProgress { holder: holder.clone() }
        }
        Some(Claim::Settled { answer, .. }) => ClaimResponse::Settled(answer.clone()),
        Some(Claim::Released { attempt: other }) if *other == attempt => ClaimResponse::NotHolder,
        Some(Claim::Held { .. } | Claim::Released { .. }) | None => ClaimResponse::Granted,
    };
    let value = match (current, &response) {
        (Some(kept), response) if *response != ClaimResponse::Granted => kept.clone(),
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
        Some(Claim::Held { attempt: held, request_digest, .. }) if *held == attempt => Applied {
            value: Claim::Settled {
                attempt,
                request_digest: *request_digest,
                answer: answer.clone(),
                expires,
            },
            response: ClaimResponse::Done,
        },
        Some(Claim::Settled { attempt: settled, .. }) if *settled == attempt => {
            unchanged(current, attempt, ClaimResponse::Done)
        }
        _ => unchanged(current, attempt, ClaimResponse::NotHolder),
    }
}

fn release(current: Option<&Claim>, attempt: u64) -> Applied<Claim, ClaimResponse> {
    match current {
        Some(Claim::Held { attempt: held, .. }) if *held == attempt => {
            Applied { value: Claim::Released { attempt }, response: ClaimResponse::Done }
        }
        Some(Claim::Released { attempt: released }) if *released == attempt => {
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
