//! The call that scores a whole text.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use smol::Timer;

use super::registry::Job;
use super::reward_turn;
use super::specification::RewardCall;
use crate::access;
use crate::exchange::Outgoing;
use crate::forward::{forward, Allowance, ForwardError};
use crate::gateway::Gateway;
use crate::homes;
use crate::http::client::WholeAnswer;

/// Servers that one round of a call may be sent to.
const ATTEMPTS_A_ROUND: u32 = 2;
/// Shortest time that a round is given.
const MIN_ROUND: Duration = Duration::from_millis(600);
/// A round is given this many times the route's target latency.
const ROUND_TARGETS: u32 = 4;
const REST: Duration = Duration::from_millis(40);
/// Longest rest until it is looked again whether a call that is held back may be made.
const HELD_REST: Duration = Duration::from_secs(1);

/// How a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Score {
    /// The signature of a good answer.
    Signed(String),
    /// It failed too often.
    Failed,
}

/// Calls until there is a score, or the call has failed as often as its route allows.
pub async fn score(gateway: &Rc<Gateway>, job: &Job, item: &str, call: &RewardCall) -> Score {
    let mut failures = 0;
    loop {
        let Some((outgoing, service, mut allowance, most)) = prepare(gateway, job, call) else {
            Timer::after(REST).await;
            continue;
        };
        let _pass = reward_turn::enter(gateway, &service).await;
        let round = (allowance.target_latency * ROUND_TARGETS).max(MIN_ROUND);
        allowance.deadline = gateway.now() + round;
        allowance.is_repeatable = true;
        allowance.max_attempts = ATTEMPTS_A_ROUND;
        let answer = forward(gateway, &service, outgoing, allowance).await;
        if let Ok(answer) = &answer {
            let signature = gateway.dialect.headers().signature.clone();
            let signature = answer.headers.get(signature).and_then(|value| value.to_str().ok());
            match signature {
                Some(signature) if answer.status.is_success() => {
                    return Score::Signed(signature.to_owned());
                }
                _ => failures += 1,
            }
        }
        let rest = rest(&answer);
        log::info!(
            "event=reward_failed job={} item={item} reward={} failures={failures} status={}",
            job.id,
            call.id,
            answer.map_or_else(|error| format!("{error:?}"), |answer| answer.status.to_string())
        );
        if failures >= most {
            return Score::Failed;
        }
        Timer::after(rest).await;
    }
}

/// Rest before the next round: longer where the call is kept from servers.
fn rest(answer: &Result<WholeAnswer, ForwardError>) -> Duration {
    match answer {
        Err(ForwardError::Quarantined(refused)) => refused.retry_after.clamp(REST, HELD_REST),
        _ => REST,
    }
}

fn prepare(
    gateway: &Gateway,
    job: &Job,
    call: &RewardCall,
) -> Option<(Outgoing, String, Allowance, u32)> {
    let configuration = gateway.configuration()?;
    let path = call.path.split('?').next().unwrap_or_default();
    let route = configuration.route(&call.host, path)?;
    let service = gateway.splitter.borrow_mut().next(route)?.to_owned();
    let names = gateway.dialect.headers();
    let mut headers = HeaderMap::new();
    headers.insert(names.request_id.clone(), HeaderValue::from_str(&call.id).ok()?);
    headers.insert(http::header::HOST, HeaderValue::from_str(&call.host).ok()?);
    let outgoing = Outgoing {
        id: call.id.clone(),
        method: Method::POST,
        target: call.path.parse().ok()?,
        headers,
        body: call.decoded_body(),
        hold: None,
        billing: None,
        fingerprint: OnceCell::new(),
    };
    let owner = access::owner_of_job(&configuration, job.ownership.borrow().0.tenant.as_deref());
    let homes = homes::of(&configuration, route, &owner);
    let allowance = Allowance::of_route(route, gateway.now(), None, homes);
    Some((outgoing, service, allowance, route.max_attempts.max(1)))
}
