//! Calls that score completed texts.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use heronbend::rollout::pace::Pace;
use heronbend::Moment;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use smol::Timer;

use super::registry::Job;
use super::reward_limit;
use super::specification::RewardCall;
use crate::access;
use crate::attempt::OutgoingRequest;
use crate::call_admission::AdmittedCall;
use crate::forward::{forward, ForwardError, RequestLimits};
use crate::gateway::Gateway;
use crate::http::client::FullResponse;
use crate::memory::SMALL_RESERVATION_BYTES;
use crate::region_policy;
use crate::route_parts::RouteParts;

/// Maximum number of servers tried in one round, unless the call keeps losing its servers.
const ATTEMPTS_PER_ROUND: u32 = 2;
/// Minimum timeout of the first round.
const MIN_ROUND_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the first round as a multiple of the route's target latency.
const ROUND_TARGET_MULTIPLE: u32 = 4;
/// Number of times that the timeout is doubled after rounds that exceeded it.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before a call that its server rejects is tried again.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a reward call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Score {
    /// Signature in the successful response.
    Signed(String),
    /// The call failed as often as the route allows.
    Failed,
    /// No server has answered it, and its item may be given up.
    Overdue,
}

/// Repeats a reward call until it succeeds, reaches the failure limit of its route, or fails after
/// `give_up_at`.
pub async fn score(
    gateway: &Rc<Gateway>,
    job: &Job,
    item: &str,
    call: &RewardCall,
    give_up_at: Option<Moment>,
) -> Score {
    let mut failures = 0;
    let mut has_tried = false;
    let mut exceeded = 0;
    let mut pace = Pace::default();
    loop {
        let is_overdue = give_up_at.is_some_and(|at| gateway.now() >= at);
        if std::mem::replace(&mut has_tried, true) && is_overdue {
            return Score::Overdue;
        }
        let Some(prepared) = prepare_call(gateway, job, call) else {
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        // Without room for the answer the call would run in vain.
        if gateway.response_memory.available() < SMALL_RESERVATION_BYTES {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        let PreparedCall { outgoing, parts, mut limits, max_failures } = prepared;
        let _permit = reward_limit::acquire(gateway, parts.service()).await;
        limits.deadline = gateway.now() + round_timeout(limits.target_latency, exceeded);
        limits.is_idempotent = true;
        limits.max_attempts = attempts_per_round(pace);
        let answer = forward(gateway, parts, outgoing, limits, AdmittedCall::unlimited()).await;
        if let Ok(answer) = &answer {
            let signature = gateway.dialect.headers().signature.clone();
            let signature = answer.headers.get(signature).and_then(|value| value.to_str().ok());
            match signature {
                Some(signature) if answer.status.is_success() => {
                    return Score::Signed(signature.to_owned());
                }
                // Only this status means that a server tried and failed. Others may be due to the
                // deadline of the round.
                _ => failures += u32::from(answer.status == StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
        exceeded += u32::from(has_exceeded_timeout(&answer));
        match &answer {
            Ok(_) => pace.record_answer(),
            Err(ForwardError::Unknown) => pace.record_loss(),
            Err(_) => {}
        }
        let retry_delay = retry_delay(&answer).max(pace.take_delay());
        log::info!(
            "event=reward_failed job={} item={item} reward={} failures={failures} status={}",
            job.id,
            call.id,
            answer.map_or_else(|error| format!("{error:?}"), |answer| answer.status.to_string())
        );
        if failures >= max_failures {
            return Score::Failed;
        }
        Timer::after(retry_delay).await;
    }
}

/// Maximum number of servers tried in the next round.
fn attempts_per_round(pace: Pace) -> u32 {
    if pace.is_delaying() {
        1
    } else {
        ATTEMPTS_PER_ROUND
    }
}

/// Timeout of a round after a number of rounds that exceeded theirs. Grows, as slow servers would
/// otherwise never complete the call.
fn round_timeout(target_latency: Duration, exceeded: u32) -> Duration {
    let first = (target_latency * ROUND_TARGET_MULTIPLE).max(MIN_ROUND_TIMEOUT);
    first * 2_u32.pow(exceeded.min(MAX_TIMEOUT_DOUBLINGS))
}

/// Whether a round ended at its deadline, at this daemon or at the server.
fn has_exceeded_timeout(answer: &Result<FullResponse, ForwardError>) -> bool {
    match answer {
        Ok(answer) => answer.status == StatusCode::GATEWAY_TIMEOUT,
        Err(error) => *error == ForwardError::TimedOut,
    }
}

/// Delay before the next round, longer for a call that its server rejects.
fn retry_delay(answer: &Result<FullResponse, ForwardError>) -> Duration {
    match answer {
        Ok(answer) if answer.status.is_client_error() => REJECTED_RETRY_DELAY,
        _ => RETRY_DELAY,
    }
}

/// A reward call as it is sent under the configuration in force.
struct PreparedCall {
    outgoing: OutgoingRequest,
    /// The parts of its route, first one that may run it.
    parts: RouteParts,
    limits: RequestLimits,
    /// Number of failures after which the item is given up.
    max_failures: u32,
}

/// Prepares a reward call; `None` if no route or service takes it.
fn prepare_call(gateway: &Gateway, job: &Job, call: &RewardCall) -> Option<PreparedCall> {
    let configuration = gateway.configuration()?;
    let path = call.path.split('?').next().unwrap_or_default();
    let route = configuration.match_route(&call.host, path)?;
    let names = gateway.dialect.headers();
    let mut headers = HeaderMap::new();
    headers.insert(names.request_id.clone(), HeaderValue::from_str(&call.id).ok()?);
    headers.insert(http::header::HOST, HeaderValue::from_str(&call.host).ok()?);
    let outgoing = OutgoingRequest {
        id: call.id.clone(),
        method: Method::POST,
        target: call.path.parse().ok()?,
        headers,
        body: call.decoded_body(),
        reservation: None,
        billing: None,
        is_owed: true,
        fingerprint: OnceCell::new(),
    };
    let owner = access::job_caller(&configuration, job.ownership.borrow().0.tenant.as_deref());
    let allowed_regions = region_policy::allowed_regions(&configuration, route, &owner);
    let limits = RequestLimits::for_route(route, gateway.now(), None, allowed_regions);
    let services = gateway.splitter.borrow_mut().pick(route);
    let parts = RouteParts::new(gateway, services, limits.allowed_regions.as_ref())?;
    // Reward calls are limited by service, so that another part may take all of them.
    let parts = parts.served_first(gateway);
    let max_failures = route.max_attempts.max(1);
    Some(PreparedCall { outgoing, parts, limits, max_failures })
}
