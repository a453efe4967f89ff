//! Requests with an idempotency key, which are claimed in a register before dispatch.

use std::time::Duration;

use heronbend::record::{claim_key, RecordChange, RecordResponse};
use heronbend::register::Key;
use heronbend::request::{ClaimChange, ClaimResponse, StoredAnswer};
use heronbend::settings::policy::PoolPolicy;
use heronbend_http::http_types::StatusCode;
use heronbend_http::Outcome;

use super::rejection::{reject, reject_with_retry, Rejection};
use super::Front;
use crate::dispatch::{ApplicationRequest, ApplicationResponse, DispatchError};
use crate::shared::epoch_seconds;
use crate::tasks::register::{change_register, RegisterError};

const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a response body stored in a register, in bytes. A larger response is returned
/// once and stored as unknown.
const MAX_STORED_RESPONSE_BYTES: usize = 1 << 20;

/// Message for a claim whose earlier attempt has an unknown outcome.
const UNKNOWN_OUTCOME_MESSAGE: &str =
    "an earlier attempt was handed over and its outcome is unknown; it is not run again";

impl Front {
    /// Runs a request at most once per caller and key across all daemons.
    pub(super) async fn send_claimed(
        &self,
        pool: &PoolPolicy,
        request: &ApplicationRequest,
        caller: &str,
        key: &str,
        retention: Duration,
    ) -> Result<ApplicationResponse, Rejection> {
        let register = claim_key(caller, key);
        let attempt = self.shared.unique_number();
        let acquire = ClaimChange::Acquire {
            attempt,
            holder: self.shared.identity.node.clone(),
            request_digest: digest(request),
        };
        match self.change_claim(&register, acquire).await {
            Ok(ClaimResponse::Granted) => {}
            Ok(other) => return self.response_from_claim(other),
            Err(error) => {
                self.release_later(register, attempt, error);
                return Err(error.into());
            }
        }
        let result = self.dispatcher.send_to_application(pool, request).await;
        let expires = epoch_seconds() + retention.as_secs();
        let settlement = match &result {
            Ok(response) if response.body.len() <= MAX_STORED_RESPONSE_BYTES => {
                ClaimChange::Settle {
                    attempt,
                    answer: StoredAnswer::Answer {
                        status: response.status.into(),
                        content_type: response.content_type.clone(),
                        body: response.body.clone(),
                    },
                    expires,
                }
            }
            Err(error) if error.outcome() == Outcome::NotRun => ClaimChange::Release { attempt },
            Ok(_) | Err(_) => {
                ClaimChange::Settle { attempt, answer: StoredAnswer::Unknown, expires }
            }
        };
        // The response is returned even if storing it fails. Until it is stored, repetitions of the
        // request are rejected as in progress.
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
            _ => Err(RegisterError::NotApplied),
        }
    }

    /// Releases in the background a claim that may have been acquired by a failed change.
    fn release_later(&self, register: Key, attempt: u64, error: RegisterError) {
        if error == RegisterError::NotApplied {
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

    fn response_from_claim(
        &self,
        response: ClaimResponse,
    ) -> Result<ApplicationResponse, Rejection> {
        match response {
            ClaimResponse::Settled(StoredAnswer::Answer { status, content_type, body }) => {
                Ok(ApplicationResponse {
                    status: StatusCode::try_from(status).unwrap_or(StatusCode::Ok),
                    content_type,
                    body,
                })
            }
            ClaimResponse::Settled(StoredAnswer::Unknown) => Err(unknown_outcome()),
            ClaimResponse::InProgress { holder } if !self.shared.may_be_alive(&holder) => {
                Err(unknown_outcome())
            }
            ClaimResponse::InProgress { .. } => Err(reject_with_retry(
                StatusCode::Conflict,
                "in_progress",
                "a request with this key is in progress; this one was not run",
                IN_PROGRESS_RETRY_AFTER,
            )),
            ClaimResponse::Mismatch => Err(reject(
                StatusCode::UnprocessableEntity,
                "key_reused",
                "the key was used for a different request; this one was not run",
                Outcome::NotRun,
            )),
            ClaimResponse::Granted | ClaimResponse::Done | ClaimResponse::NotHolder => {
                Err(RegisterError::NotApplied.into())
            }
        }
    }
}

fn unknown_outcome() -> Rejection {
    reject(StatusCode::BadGateway, "outcome_unknown", UNKNOWN_OUTCOME_MESSAGE, Outcome::Unknown)
}

fn digest(request: &ApplicationRequest) -> u64 {
    let mut bytes = format!("{} {}\n", request.method, request.target).into_bytes();
    bytes.extend(&request.body);
    rapidhash::v3::rapidhash_v3(&bytes)
}
