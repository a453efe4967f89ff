//! One daemon's queue of calls to a service whose servers cannot run all of them.
//!
//! Load: calls at 1.2 to 5 times what the servers can run, from many tenants, with callers that
//! come back after a refusal. Calls are admitted at a rate, through a token bucket. Who may use
//! which token is decided by claims: a call loses one for each more urgent priority that asked for
//! the same service recently, if it can no longer meet its latency objective, and if its tenant has
//! used its share. Each lost claim raises the number of tokens that must be left in the bucket, so
//! that calls with all claims find one.
//!
//! A call that cannot be admitted within a quarter of its objective is refused at once: its caller
//! can use the rest of its time better elsewhere or later. Nothing is polled: the caller of
//! [`CallQueue::poll`] is told when the next call is due.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::fair_share::FairShare;
use super::fair_share::TenantKey;
use super::return_schedule::ReturnSchedule;
use crate::Moment;

/// Share of the objective that a call may wait to be admitted.
pub const MAX_WAIT_SHARE: f64 = 0.25;
/// Share of the objective after which a caller that has been trying can no longer be served in
/// time: what is left is needed for the wait here, the servers' usual latency under load and the
/// network.
const LATE_SHARE: f64 = 0.3;
/// Tokens that each lost claim leaves in the bucket, and the time at the admission rate for which
/// they last at high rates.
const CLAIM_TOKENS: f64 = 1.0;
const CLAIM_PERIOD: Duration = Duration::from_millis(20);
/// Maximum number of claims that count.
const MAX_LOST_CLAIMS: u32 = 4;
/// How long a priority takes a claim from less urgent ones after its last call.
const PRIORITY_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of more urgent priorities that take a claim each.
const MAX_PRIORITY_CLAIMS: usize = 2;
/// How long calls that can no longer meet their objective come after all others once one that could
/// was refused.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(1);
/// Lost claims of a second attempt of a call that is still unanswered.
const HEDGE_LOST_CLAIMS: u32 = 2;

/// A call that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    pub tenant: TenantKey,
    /// Weight of the tenant; greater than 0.
    pub weight: f64,
    /// Latency objective of an attempt of the caller.
    pub objective: Duration,
    /// How long the caller has been trying, including earlier attempts.
    pub age: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Moment,
}

/// Key of a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(u64);

/// A call that is refused and has not run on any server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Delay after which the caller should come back.
    pub retry_after: Duration,
    /// Expected wait until it could have been admitted.
    pub expected_wait: Duration,
    /// Number of waiting calls that were ahead of it.
    pub ahead: usize,
    /// Admission rate in calls per second; `None` if no limit is known yet.
    pub rate: Option<f64>,
    /// Tokens in the bucket, and the number that the call needed.
    pub tokens: f64,
    pub needed: f64,
    /// Whether it could no longer meet its objective.
    pub is_late: bool,
    /// Whether its tenant had used its share.
    pub is_over_share: bool,
}

/// Decision on a call that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It may be sent now.
    Admit,
    /// It waits; [`CallQueue::poll`] decides about it.
    Wait {
        key: CallKey,
        /// Number of calls ahead of it.
        ahead: usize,
        expected_wait: Duration,
    },
    Refuse(Refusal),
}

/// Decision on a waiting call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    pub key: CallKey,
    pub priority: u8,
    /// How long it waited.
    pub waited: Duration,
    /// `Ok` if it may be sent now.
    pub result: Result<(), Refusal>,
}

/// Claims of a call, which decide the order of waiting calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    lost_claims: u32,
    /// Time until which the call can meet its objective.
    in_time_until: Moment,
    key: CallKey,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    call: Call,
    since: Moment,
    is_late: bool,
    is_over_share: bool,
}

/// Calls that wait for a service, and the tokens that admit them.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// Admission rate in calls per second; `None` admits everything.
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Moment,
    waiting: BTreeMap<Order, Waiting>,
    orders: HashMap<CallKey, Order>,
    next_key: u64,
    shares: FairShare,
    /// When a call of each priority last asked.
    asked_at: BTreeMap<u8, Moment>,
    returns: ReturnSchedule,
    /// When a call that could meet its objective was last refused.
    in_time_refused_at: Option<Moment>,
}

impl CallQueue {
    /// Sets the admission rate in calls per second; `None` admits everything. The bucket is empty
    /// when a limit starts.
    pub fn set_rate(&mut self, now: Moment, rate: Option<f64>) {
        self.refill(now);
        if self.rate.is_none() {
            self.tokens = 0.0;
        }
        self.rate = rate;
    }

    /// The admission rate in calls per second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no calls wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides about a new call.
    pub fn offer(&mut self, now: Moment, call: Call) -> Decision {
        self.shares.record_asked(now, call.tenant, call.weight);
        self.asked_at.insert(call.priority, now);
        let Some(rate) = self.rate else {
            self.shares.record_admitted(now, call.tenant);
            return Decision::Admit;
        };
        self.refill(now);
        let is_late = is_late(&call);
        let is_over_share = self.shares.is_over_share(now, call.tenant, rate);
        let order = Order {
            lost_claims: self.lost_claims(now, call.priority, is_late, is_over_share),
            in_time_until: now + call.objective.saturating_sub(call.age),
            key: CallKey(self.next_key),
        };
        self.next_key += 1;
        let entry = Waiting { call, since: now, is_late, is_over_share };
        let ahead = self.waiting.range(..order).count();
        if ahead == 0 && self.tokens >= self.needed(order.lost_claims) {
            self.take_token(now, call.tenant);
            return Decision::Admit;
        }
        let expected_wait = self.expected_wait(order.lost_claims, ahead);
        if !may_wait(now, &entry, expected_wait) {
            return Decision::Refuse(self.refuse(now, &order, &entry, ahead));
        }
        self.waiting.insert(order, entry);
        self.orders.insert(order.key, order);
        Decision::Wait { key: order.key, ahead, expected_wait }
    }

    /// Takes a token for a second attempt of a call that was admitted before, unless calls need it.
    pub fn admit_hedge(&mut self, now: Moment) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        let has_room = self.waiting.is_empty() && self.tokens >= self.needed(HEDGE_LOST_CLAIMS);
        if has_room {
            self.tokens -= 1.0;
        }
        has_room
    }

    /// Removes a waiting call whose caller left. Returns how long it waited.
    pub fn cancel(&mut self, now: Moment, key: CallKey) -> Option<Duration> {
        let order = self.orders.remove(&key)?;
        let entry = self.waiting.remove(&order)?;
        Some(now.saturating_sub(entry.since))
    }

    /// Refuses a call that was admitted and found all servers full. It has not run anywhere.
    pub fn refuse_admitted(&mut self, now: Moment, call: &Call) -> Refusal {
        let earliest = call.objective.mul_f64(MAX_WAIT_SHARE);
        Refusal {
            retry_after: self.returns.next_delay(now, call.priority, self.rate, earliest),
            expected_wait: earliest,
            ahead: self.waiting.len(),
            rate: self.rate,
            tokens: self.tokens,
            needed: self.needed(0),
            is_late: is_late(call),
            is_over_share: false,
        }
    }

    /// Admits the calls that are due and refuses those that cannot be admitted in time any more.
    pub fn poll(&mut self, now: Moment) -> Vec<Outcome> {
        self.refill(now);
        let mut outcomes = Vec::new();
        while let Some((order, entry)) = self.first_due() {
            self.remove(&order);
            if now >= entry.call.deadline {
                let refusal = self.refuse(now, &order, &entry, 0);
                outcomes.push(outcome(now, &order, &entry, Err(refusal)));
                continue;
            }
            self.take_token(now, entry.call.tenant);
            outcomes.push(outcome(now, &order, &entry, Ok(())));
        }
        let waiting: Vec<(Order, Waiting)> =
            self.waiting.iter().map(|(order, entry)| (*order, *entry)).collect();
        let mut ahead = 0;
        for (order, entry) in waiting {
            let expected_wait = self.expected_wait(order.lost_claims, ahead);
            if may_wait(now, &entry, expected_wait) {
                ahead += 1;
                continue;
            }
            self.remove(&order);
            let refusal = self.refuse(now, &order, &entry, ahead);
            outcomes.push(outcome(now, &order, &entry, Err(refusal)));
        }
        outcomes
    }

    /// Delay after which [`Self::poll`] may admit the next call; `None` if no calls wait.
    pub fn next_due(&self) -> Option<Duration> {
        let (order, _) = self.waiting.first_key_value()?;
        Some(self.expected_wait(order.lost_claims, 0))
    }

    /// The first waiting call, if there are enough tokens for it or no limit.
    fn first_due(&self) -> Option<(Order, Waiting)> {
        let (order, entry) = self.waiting.first_key_value()?;
        let is_due = self.rate.is_none() || self.tokens >= self.needed(order.lost_claims);
        is_due.then_some((*order, *entry))
    }

    fn remove(&mut self, order: &Order) {
        self.waiting.remove(order);
        self.orders.remove(&order.key);
    }

    fn take_token(&mut self, now: Moment, tenant: TenantKey) {
        if self.rate.is_some() {
            self.tokens -= 1.0;
        }
        self.shares.record_admitted(now, tenant);
    }

    fn refuse(&mut self, now: Moment, order: &Order, entry: &Waiting, ahead: usize) -> Refusal {
        let expected_wait = self.expected_wait(order.lost_claims, ahead);
        let priority = entry.call.priority;
        if !entry.is_late {
            self.in_time_refused_at = Some(now);
        }
        Refusal {
            retry_after: self.returns.next_delay(now, priority, self.rate, expected_wait),
            expected_wait,
            ahead,
            rate: self.rate,
            tokens: self.tokens,
            needed: self.needed(order.lost_claims),
            is_late: entry.is_late,
            is_over_share: entry.is_over_share,
        }
    }

    fn lost_claims(&self, now: Moment, priority: u8, is_late: bool, is_over_share: bool) -> u32 {
        if is_late && self.refuses_calls_in_time(now) {
            return MAX_LOST_CLAIMS;
        }
        let is_recent = |asked_at: &Moment| now < *asked_at + PRIORITY_PERIOD;
        let more_urgent = self.asked_at.range(..priority).filter(|(_, at)| is_recent(at)).count();
        let more_urgent = u32::try_from(more_urgent.min(MAX_PRIORITY_CLAIMS)).unwrap_or(u32::MAX);
        (more_urgent + u32::from(is_late) + u32::from(is_over_share)).min(MAX_LOST_CLAIMS)
    }

    fn refuses_calls_in_time(&self, now: Moment) -> bool {
        self.in_time_refused_at.is_some_and(|refused_at| now < refused_at + SHORTAGE_PERIOD)
    }

    /// Tokens that must be in the bucket for a call that lost this many claims.
    fn needed(&self, lost_claims: u32) -> f64 {
        1.0 + f64::from(lost_claims) * self.tokens_per_claim()
    }

    fn tokens_per_claim(&self) -> f64 {
        CLAIM_TOKENS.max(self.rate.unwrap_or_default() * CLAIM_PERIOD.as_secs_f64())
    }

    fn expected_wait(&self, lost_claims: u32, ahead: usize) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let missing = self.needed(lost_claims) + ahead as f64 - self.tokens;
        Duration::try_from_secs_f64(missing.max(0.0) / rate).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        if let Some(rate) = self.rate {
            let capacity = self.needed(MAX_LOST_CLAIMS);
            self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        }
    }
}

/// Whether a call can no longer meet its objective.
fn is_late(call: &Call) -> bool {
    call.age >= call.objective.mul_f64(LATE_SHARE)
}

/// Whether a call may wait that much longer.
fn may_wait(now: Moment, entry: &Waiting, expected_wait: Duration) -> bool {
    let waited = now.saturating_sub(entry.since);
    let longest = entry.call.objective.mul_f64(MAX_WAIT_SHARE);
    let is_short = waited.saturating_add(expected_wait) <= longest;
    is_short && now.saturating_add(expected_wait) < entry.call.deadline
}

fn outcome(now: Moment, order: &Order, entry: &Waiting, result: Result<(), Refusal>) -> Outcome {
    let waited = now.saturating_sub(entry.since);
    Outcome { key: order.key, priority: entry.call.priority, waited, result }
}
