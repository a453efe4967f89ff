//! Trainer endpoints: posting steps, fetching and completing batches.

use std::rc::Rc;
use std::time::Duration;

use heronbend::rollout::api::StepRequest;
use heronbend::rollout::StepRefusal;
use heronbend_http::http_types::{Method, Response, StatusCode};
use heronbend_http::{json_response, read_body, Outcome};

use super::rejection::{reject, reject_with_retry, Rejection};
use super::{AdmittedRequest, Front};
use crate::tasks::rollout::{call_rollout, RolloutCall, RolloutError, StepName};

const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Front {
    pub(super) async fn serve_trainer(
        self: Rc<Self>,
        mut admitted: AdmittedRequest,
        trainer: &str,
        rest: &[&str],
    ) -> Result<Response, Rejection> {
        check_trainer(&admitted, trainer)?;
        let (step, action) = match rest {
            ["steps", step, action @ ..] => (step.parse::<u64>().ok(), action),
            _ => (None, rest),
        };
        let Some(step) = step else {
            return Err(not_found());
        };
        let name = StepName { trainer: trainer.to_owned(), step };
        match (admitted.request.method(), action) {
            (Method::Post, []) => self.post_step(&mut admitted, name).await,
            (Method::Get, ["batches", number]) => {
                let number = number.parse().map_err(|_| not_found())?;
                let floor = query_number(&admitted, "floor")?;
                let make = |reply| RolloutCall::Fetch { name, number, floor, reply };
                match call_rollout(&self.shared, make).await? {
                    Some(batch) => Ok(json_response(StatusCode::Ok, &batch)),
                    None => Ok(Response::new(StatusCode::NoContent)),
                }
            }
            (Method::Post, ["complete"]) => {
                let number = query_number(&admitted, "batch")?;
                let number = u32::try_from(number).map_err(|_| not_found())?;
                let make = |reply| RolloutCall::Complete { name, number, reply };
                call_rollout(&self.shared, make).await?;
                Ok(Response::new(StatusCode::NoContent))
            }
            _ => Err(not_found()),
        }
    }

    async fn post_step(
        &self,
        admitted: &mut AdmittedRequest,
        name: StepName,
    ) -> Result<Response, Rejection> {
        let (max_body, timeout) = (admitted.policy().max_body, admitted.policy().body_timeout);
        let body = read_body(&mut admitted.request, max_body, timeout)
            .await
            .map_err(|error| error.response())?;
        let request: StepRequest = serde_json::from_slice(&body).map_err(|error| {
            let message = error.to_string();
            reject(StatusCode::BadRequest, "invalid_json", &message, Outcome::NotRun)
        })?;
        let make = |reply| RolloutCall::Post { name, request, reply };
        let accepted = call_rollout(&self.shared, make).await?;
        Ok(json_response(StatusCode::Ok, &accepted))
    }
}

fn check_trainer(admitted: &AdmittedRequest, trainer: &str) -> Result<(), Rejection> {
    let policy = admitted.policy().trainers.get(trainer);
    let policy = policy.ok_or(RolloutError::UnknownTrainer)?;
    if policy.caller == admitted.caller.name {
        return Ok(());
    }
    let message = format!("caller {} may not act for trainer {trainer}", admitted.caller.name);
    Err(reject(StatusCode::Forbidden, "forbidden", &message, Outcome::NotRun))
}

fn query_number(admitted: &AdmittedRequest, name: &str) -> Result<u64, Rejection> {
    let url = admitted.request.url();
    let value = url.query_pairs().find(|(key, _)| key == name);
    value.and_then(|(_, value)| value.parse().ok()).ok_or_else(|| {
        let message = format!("the query must state {name} as a number");
        reject(StatusCode::BadRequest, "bad_query", &message, Outcome::NotRun)
    })
}

fn not_found() -> Rejection {
    let message = "see the trainers' interface for the paths there are";
    reject(StatusCode::NotFound, "not_found", message, Outcome::NotRun)
}

impl From<RolloutError> for Rejection {
    fn from(error: RolloutError) -> Self {
        let message = error.to_string();
        let (status, code) = match &error {
            RolloutError::Register(error) => return (*error).into(),
            RolloutError::Draining => {
                return reject_with_retry(
                    StatusCode::ServiceUnavailable,
                    "draining",
                    &message,
                    RETRY_AFTER,
                );
            }
            RolloutError::UnknownTrainer => (StatusCode::NotFound, "unknown_trainer"),
            RolloutError::BadStep => (StatusCode::BadRequest, "bad_step"),
            RolloutError::NotCoordinator => (StatusCode::Conflict, "not_coordinator"),
            RolloutError::Acknowledged => (StatusCode::Gone, "batch_acknowledged"),
            RolloutError::Refused(StepRefusal::Complete) => (StatusCode::Gone, "step_complete"),
            RolloutError::Refused(StepRefusal::Fenced { .. }) => {
                (StatusCode::Conflict, "not_coordinator")
            }
            RolloutError::Refused(_) => (StatusCode::Conflict, "step_refused"),
        };
        reject(status, code, &message, Outcome::NotRun)
    }
}
