//! Requests with an idempotency key: claimed in a register before they are dispatched.

use std::time::Duration;

use heronbend::record::{claim_key, RecordChange, RecordResponse};
use heronbend::register::Key;
use heronbend::request::{ClaimChange, ClaimResponse, StoredAnswer};
use heronbend::settings::policy::PoolPolicy;
use heronbend_http::http_types::StatusCode;
use heronbend_http::Outcome;

use super::rejection::{refuse, refuse_with_retry, Refusal};
use super::Front;
use crate::dispatch::{ApplicationAnswer, ApplicationRequest, DispatchError};
use crate::shared::epoch_seconds;
use crate::tasks::register::{change_register, RegisterError};

const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is kept in a register; a larger one is answered once and kept as unknown.
const MAX_KEPT_ANSWER_BYTES: usize = 1 << 20;

/// Outcome of a claim that this attempt does not hold.
const UNKNOWN_OUTCOME: &str =
    "an earlier attempt was handed over and its outcome is unknown; it is not run again";

impl Front {
    /// Runs a request at most once for its caller and key, on whichever daemon it arrives.
    pub(super) async fn send_claimed(
        &self,
        pool: &PoolPolicy,
        request: &ApplicationRequest,
        caller: &str,
        key: &str,
        retention: Duration,
    ) -> Result<ApplicationAnswer, Refusal> {
        let register = claim_key(caller, key);
        let attempt = self.shared.unique_number();
        let acquire = ClaimChange::Acquire {
            attempt,
            holder: self.shared.identity.node.clone(),
            request_digest: digest(request),
        };
        match self.change_claim(&register, acquire).await {
            Ok(ClaimResponse::Granted) => {}
            Ok(other) => return self.answer_from_claim(other),
            Err(error) => {
                self.release_later(register, attempt, error);
                return Err(error.into());
            }
        }
        let result = self.dispatcher.send_to_application(pool, request).await;
        let expires = epoch_seconds() + retention.as_secs();
        let settlement = match &result {
            Ok(answer) if answer.body.len() <= MAX_KEPT_ANSWER_BYTES => ClaimChange::Settle {
                attempt,
                answer: StoredAnswer::Answer {
                    status: answer.status.into(),
                    content_type: answer.content_type.clone(),
                    body: answer.body.clone(),
                },
                expires,
            },
            Err(error) if error.outcome() == Outcome::NotRun => ClaimChange::Release { attempt },
            Ok(_) | Err(_) => {
                ClaimChange::Settle { attempt, answer: StoredAnswer::Unknown, expires }
            }
        };
        // The answer is true whatever becomes of the settlement: until it is made, others are told
        // that the request is in progress.
        if let Err(error) = self.change_claim(&register, settlement).await {
            log::warn!("event=claim_not_settled attempt={attempt:016x} error={error}");
        }
        result.map_err(DispatchError::into)
    }

    async fn change_claim(
        &self,
        register: &Key,
        change: ClaimChange,
    ) -> Result<ClaimResponse, RegisterError> {
        let change = RecordChange::Claim(change);
        match change_register(&self.shared, register.clone(), change).await? {
            RecordResponse::Claim(response) => Ok(response),
            _ => Err(RegisterError::NotDone),
        }
    }

    /// The claim may have been made in this attempt's name, which will not use it: give it back.
    fn release_later(&self, register: Key, attempt: u64, error: RegisterError) {
        if error == RegisterError::NotDone {
            return;
        }
        let shared = self.shared.clone();
        self.executor
            .spawn(async move {
                let change = RecordChange::Claim(ClaimChange::Release { attempt });
                let _ = change_register(&shared, register, change).await;
            })
            .detach();
    }

    fn answer_from_claim(&self, response: ClaimResponse) -> Result<ApplicationAnswer, Refusal> {
        match response {
            ClaimResponse::Settled(StoredAnswer::Answer { status, content_type, body }) => {
                Ok(ApplicationAnswer {
                    status: StatusCode::try_from(status).unwrap_or(StatusCode::Ok),
                    content_type,
                    body,
                })
            }
            ClaimResponse::Settled(StoredAnswer::Unknown) => Err(unknown()),
            ClaimResponse::InProgress { holder } if !self.shared.may_be_alive(&holder) => {
                Err(unknown())
            }
            ClaimResponse::InProgress { .. } => Err(refuse_with_retry(
                StatusCode::Conflict,
                "in_progress",
                "a request with this key is in progress; this one was not run",
                IN_PROGRESS_RETRY,
            )),
            ClaimResponse::Mismatch => Err(refuse(
                StatusCode::UnprocessableEntity,
                "key_reused",
                "the key was used for a different request; this one was not run",
                Outcome::NotRun,
            )),
            ClaimResponse::Granted | ClaimResponse::Done | ClaimResponse::NotHolder => {
                Err(RegisterError::NotDone.into())
            }
        }
    }
}

fn unknown() -> Refusal {
    refuse(StatusCode::BadGateway, "outcome_unknown", UNKNOWN_OUTCOME, Outcome::Unknown)
}

fn digest(request: &ApplicationRequest) -> u64 {
    let mut bytes = format!("{} {}\n", request.method, request.target).into_bytes();
    bytes.extend(&request.body);
    rapidhash::v3::rapidhash_v3(&bytes)
}
