//! Learns the rate at which one daemon may send calls to a service.
//!
//! Load: all daemons of a fleet together offer a service more than its servers can run. There are
//! more daemons than slots, so a limit in whole requests in flight is too coarse; a rate is not.
//! Each daemon sees only its own calls and learns from two signals, without messages:
//!
//! - *Rejections*: a call that finds all servers full shows that more is sent than they can run, and
//!   so does a rejection while answers take too long. Nothing else starts the limit, so that slow
//!   servers alone never do.
//! - *Latency*: while the limit is in force, answers that take too large a share of the objective
//!   show that calls wait in the servers' own queues, where nobody orders or refuses them.
//!
//! The rate falls in proportion to the excess and rises in steps, so that the daemons converge to
//! equal rates while each of them uses less if its callers ask for less.
//!
//! The same controller learns the rate of a whole fleet from the sums of what its daemons observe,
//! with [`FLEET`] as its parameters; see [`super::fleet_rate`].

use std::time::Duration;

use crate::Moment;

/// Lowest objective that latencies are compared with, in seconds.
const MIN_OBJECTIVE_SECONDS: f64 = 0.001;
/// Lowest difference of two shares that counts.
const MIN_SHARE_RANGE: f64 = 0.01;
/// Multiple of the usual latency that never counts as waiting. Services that need a large share of
/// the objective for the work itself are not throttled for it.
const USUAL_TOLERANCE: f64 = 1.5;
/// Lowest rate, as a share of the rate at which the limit started. Two of three servers may be
/// lost at once.
const FLOOR_SHARE: f64 = 0.2;
/// Lowest rate, in calls per second.
const MIN_RATE: f64 = 0.5;
/// Share of rejected attempts from which on the rate is lowered again at once.
const SEVERE_REJECTION_SHARE: f64 = 0.2;
/// Increase by a window in which callers asked for less than the rate.
const RELAX_SHARE: f64 = 0.1;
/// Multiple of what callers ask for up to which the rate is raised without being used. More would
/// let a sudden demand through.
const MAX_RELAXED: f64 = 2.5;
/// Share of the rate from which on callers ask for all of it.
const PRESSING_SHARE: f64 = 0.8;
/// Share of the rate below which callers ask for less than the servers can run.
const CALM_SHARE: f64 = 0.5;
/// How long callers must ask for less, or calls must not wait at the servers, until the limit ends.
const CALM_PERIOD: Duration = Duration::from_secs(3);
/// Weight of a new window in the usual latency outside of overload, and of a slower one within it.
const USUAL_WEIGHT: f64 = 0.1;
const USUAL_DRIFT: f64 = 0.01;

/// Parameters of a controller, which follow from the number of samples that it sees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parameters {
    /// Minimum duration of a window.
    pub min_window: Duration,
    /// Duration after which a window is closed with any number of samples.
    pub max_window: Duration,
    /// Number of samples that close a window after its minimum duration.
    pub window_samples: u64,
    /// Share of the objective above which the mean latency lowers the rate. The rest covers the
    /// wait at the daemon, the network and calls that take longer than the mean.
    pub max_latency_share: f64,
    /// Share of the objective below which the mean latency raises the rate.
    pub room_latency_share: f64,
    /// Share of the rate of calls that servers accepted, or answered, at which the limit starts.
    pub entry_share: f64,
    /// Limits of the factor by which one window lowers the rate.
    pub min_factor: f64,
    pub max_factor: f64,
    /// How long the servers' queues take to drain after the rate was lowered. Until then they still
    /// show the load from before, and the rate is lowered again only if many calls are rejected.
    pub settle_time: Duration,
    /// Increase of the rate by one window, as a share of it: while calls wait, and in addition if
    /// none waits at all.
    pub raise_share: f64,
    pub headroom_raise_share: f64,
    /// Minimum increase within a second, in calls per second. Equal steps make unequal rates
    /// converge.
    pub min_raise: f64,
    /// Whether each rejected attempt lowers the rate, or only calls that found all servers full.
    /// One daemon sees too few calls to wait for those.
    pub counts_attempts: bool,
    /// Share of the rate of answers below which the rate is not lowered. Servers can run at least
    /// what they have just answered; one daemon sees too few answers to tell.
    pub answered_share: f64,
    /// Share of the rate that must be used until it is raised. Shares follow the demand with a
    /// delay; until then a higher rate would not be used, but exceed what the servers run
    /// afterwards.
    pub min_used_share: f64,
    /// Whether low latencies end the limit although calls are refused.
    pub ends_while_refusing: bool,
}

/// Parameters for the calls of one daemon. The mean of five calls tells a full queue from an empty
/// one although calls vary in the work they require.
pub const DAEMON: Parameters = Parameters {
    min_window: Duration::from_millis(250),
    max_window: Duration::from_secs(1),
    window_samples: 5,
    max_latency_share: 0.4,
    room_latency_share: 0.3,
    entry_share: 0.9,
    min_factor: 0.8,
    max_factor: 0.97,
    settle_time: Duration::from_millis(600),
    raise_share: 0.03,
    headroom_raise_share: 0.06,
    min_raise: 1.5,
    counts_attempts: true,
    answered_share: 0.0,
    min_used_share: 0.0,
    ends_while_refusing: true,
};

/// Parameters for the calls of all daemons of a fleet.
pub const FLEET: Parameters = Parameters {
    min_window: Duration::from_millis(400),
    max_window: Duration::from_secs(1),
    window_samples: 20,
    max_latency_share: 0.5,
    room_latency_share: 0.4,
    entry_share: 1.0,
    min_factor: 0.9,
    max_factor: 0.98,
    settle_time: Duration::from_millis(1000),
    raise_share: 0.01,
    headroom_raise_share: 0.05,
    min_raise: 1.5,
    counts_attempts: false,
    answered_share: 0.9,
    min_used_share: 0.9,
    ends_while_refusing: false,
};

/// Observations of a daemon since its start. They only grow, so that the loss of a report loses
/// nothing that the next one does not contain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCounters {
    /// Calls that callers asked for.
    pub offered: u64,
    /// Calls refused without being sent.
    pub refused: u64,
    /// Answers of servers.
    pub answered: u64,
    /// Attempts that servers rejected because they were full.
    pub rejected: u64,
    /// Calls refused because all servers they were sent to rejected them.
    pub found_full: u64,
    /// Sum of the latencies of the answers, in thousandths of the objectives of their calls.
    pub latency_millishares: u64,
}

impl LoadCounters {
    /// What was observed after `earlier`; `None` if that was before a restart.
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        Some(Self {
            offered: self.offered.checked_sub(earlier.offered)?,
            refused: self.refused.checked_sub(earlier.refused)?,
            answered: self.answered.checked_sub(earlier.answered)?,
            rejected: self.rejected.checked_sub(earlier.rejected)?,
            found_full: self.found_full.checked_sub(earlier.found_full)?,
            latency_millishares: self
                .latency_millishares
                .checked_sub(earlier.latency_millishares)?,
        })
    }
}

/// Why the rate changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Servers rejected calls because they were full.
    Full,
    /// Calls waited in the servers' queues.
    Latency,
    /// The servers have room for more.
    Room,
    /// The callers ask for less than the servers can run; the limit has ended.
    Calm,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Latency => "latency",
            Self::Room => "room",
            Self::Calm => "calm",
        }
    }
}

/// A change of the rate, with the observations that caused it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Adjustment {
    /// The new rate in calls per second; `None` if calls are not limited any more.
    pub rate: Option<f64>,
    pub reason: Reason,
    /// Number of answers in the window.
    pub answered: u64,
    /// Number of attempts in the window that servers rejected.
    pub rejected: u64,
    /// Number of calls in the window that found all servers full.
    pub found_full: u64,
    /// Mean latency of the answers, as a share of their calls' objectives.
    pub mean_share: Option<f64>,
    /// That share outside of overload, if it is known.
    pub usual_share: Option<f64>,
}

/// Observations since the last change.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    started: Moment,
    offered: u64,
    refused: u64,
    answered: u64,
    /// Number and total latency of the answers to calls that were sent within the window. Earlier
    /// calls do not show the effect of the last change.
    timed: u64,
    /// Sum of the latencies, each as a share of the objective of its call.
    latency_share_sum: f64,
    rejected: u64,
    found_full: u64,
}

impl Window {
    fn is_complete(&self, now: Moment, parameters: &Parameters) -> bool {
        let elapsed = now.saturating_sub(self.started);
        let has_samples = self.timed.saturating_add(self.rejected) >= parameters.window_samples;
        elapsed >= parameters.max_window || (elapsed >= parameters.min_window && has_samples)
    }

    /// Mean latency as a share of the calls' objectives.
    fn mean_share(&self) -> Option<f64> {
        (self.timed > 0).then(|| self.latency_share_sum / self.timed as f64)
    }

    fn add(&mut self, counters: &LoadCounters) {
        self.offered = self.offered.saturating_add(counters.offered);
        self.refused = self.refused.saturating_add(counters.refused);
        self.answered = self.answered.saturating_add(counters.answered);
        self.timed = self.timed.saturating_add(counters.answered);
        self.latency_share_sum += counters.latency_millishares as f64 / 1000.0;
        self.rejected = self.rejected.saturating_add(counters.rejected);
        self.found_full = self.found_full.saturating_add(counters.found_full);
    }
}

/// How much of a rate was used in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Answers per second.
    pub answered_per_second: f64,
    /// Whether calls were refused.
    pub has_refused: bool,
    /// Whether the servers answered without long waits.
    pub has_room: bool,
}

/// Learned rate of the calls to one service.
#[derive(Debug, Clone)]
pub struct AdaptiveRate {
    parameters: Parameters,
    /// Calls per second; `None` outside of overload.
    rate: Option<f64>,
    /// Lowest rate of the current overload, in calls per second.
    floor: f64,
    usual_share: Option<f64>,
    /// Whether the servers are overloaded although this controller has no limit.
    is_overloaded: bool,
    window: Window,
    /// Own observations since the start.
    counters: LoadCounters,
    /// When the rate was last lowered.
    lowered_at: Option<Moment>,
    /// Since when callers ask for less than the servers can run.
    calm_since: Option<Moment>,
}

impl Default for AdaptiveRate {
    fn default() -> Self {
        Self::new(DAEMON)
    }
}

impl AdaptiveRate {
    /// Creates a controller without a limit.
    pub fn new(parameters: Parameters) -> Self {
        Self {
            parameters,
            rate: None,
            floor: 0.0,
            usual_share: None,
            is_overloaded: false,
            window: Window::default(),
            counters: LoadCounters::default(),
            lowered_at: None,
            calm_since: None,
        }
    }

    /// The rate in calls per second; `None` if calls are not limited.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Rate at which callers asked in the current window, in calls per second.
    pub fn demand(&self, now: Moment) -> f64 {
        self.per_second(now, &self.window, self.window.offered)
    }

    /// Mean latency outside of overload, as a share of the calls' objectives, if it is known.
    pub fn usual_share(&self) -> Option<f64> {
        self.usual_share
    }

    /// Own observations since the start.
    pub fn counters(&self) -> &LoadCounters {
        &self.counters
    }

    /// Sets the rate of a limit that is in force elsewhere, in calls per second.
    pub fn set_rate(&mut self, rate: f64) {
        if self.rate.is_none() {
            self.floor = (rate * FLOOR_SHARE).max(MIN_RATE);
            self.calm_since = None;
        }
        self.rate = Some(rate.max(MIN_RATE));
    }

    /// Sets the mean latency outside of overload, as a share of the calls' objectives.
    pub fn set_usual_share(&mut self, usual_share: f64) {
        self.usual_share = Some(usual_share);
    }

    /// Sets whether the servers are known to be overloaded, so that latencies are not usual even if
    /// this controller has no limit.
    pub fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    /// Begins a new window without the observations of the current one.
    pub fn restart_window(&mut self, now: Moment) {
        self.window = Window { started: now, ..Window::default() };
    }

    /// Adds what daemons observed.
    pub fn record_counters(&mut self, counters: &LoadCounters) {
        self.window.add(counters);
    }

    /// Ends the limit, if there is one. The usual latency is kept.
    pub fn end_limit(&mut self) {
        self.rate = None;
        self.calm_since = None;
    }

    /// Records that a caller asked for the service.
    pub fn record_offered(&mut self) {
        self.window.offered += 1;
        self.counters.offered += 1;
    }

    /// Records that a call was refused without being sent.
    pub fn record_refused(&mut self) {
        self.window.refused += 1;
        self.counters.refused += 1;
    }

    /// Records an answer, the time from sending the call until it arrived, and the latency objective
    /// of the call.
    pub fn record_answer(&mut self, now: Moment, latency: Duration, objective: Duration) {
        let share = latency.as_secs_f64() / objective.as_secs_f64().max(MIN_OBJECTIVE_SECONDS);
        self.counters.answered += 1;
        self.counters.latency_millishares += (share * 1000.0).round() as u64;
        self.window.answered += 1;
        if now.saturating_sub(latency) >= self.window.started {
            self.window.timed += 1;
            self.window.latency_share_sum += share;
        }
    }

    /// Records that a server rejected an attempt because it was full.
    pub fn record_rejection(&mut self) {
        self.window.rejected += 1;
        self.counters.rejected += 1;
    }

    /// Records that a call was refused because the servers it was sent to rejected it.
    pub fn record_found_full(&mut self) {
        self.window.found_full += 1;
        self.counters.found_full += 1;
    }

    /// What the current window shows, if there are enough observations.
    pub fn usage(&self, now: Moment) -> Option<Usage> {
        let window = &self.window;
        let is_complete = window.is_complete(now, &self.parameters);
        is_complete.then(|| Usage {
            answered_per_second: self.per_second(now, window, window.answered),
            has_refused: window.refused > 0,
            has_room: window.mean_share().is_some_and(|mean| mean <= self.max_share()),
        })
    }

    /// Adjusts the rate if there are enough observations.
    pub fn adjust(&mut self, now: Moment) -> Option<Adjustment> {
        if !self.window.is_complete(now, &self.parameters) {
            return None;
        }
        let window = self.window;
        self.window = Window { started: now, ..Window::default() };
        let before = self.rate;
        let reason = match before {
            None => self.start_limit(now, &window),
            Some(rate) => self.update_limit(now, rate, &window),
        };
        let reason = reason.filter(|_| before != self.rate)?;
        Some(Adjustment {
            rate: self.rate,
            reason,
            answered: window.answered,
            rejected: window.rejected,
            found_full: window.found_full,
            mean_share: window.mean_share(),
            usual_share: self.usual_share,
        })
    }

    /// Starts the limit if the servers are overloaded.
    fn start_limit(&mut self, now: Moment, window: &Window) -> Option<Reason> {
        let is_slow = window.mean_share().is_some_and(|mean| mean > self.max_share());
        let sees_fleet = !self.parameters.counts_attempts;
        let is_short = window.found_full > 0 || (sees_fleet && window.refused > 0);
        // The rate of a fleet starts from its answers.
        let is_known = !sees_fleet || window.answered > 0;
        let is_overloaded = is_short || (window.rejected > 0 && is_slow);
        if !is_overloaded || !is_known {
            self.learn_usual(window, USUAL_WEIGHT);
            return None;
        }
        // Daemons that already limit their calls refuse some of what is offered.
        let accepted = match sees_fleet {
            true => window.answered,
            false => window.offered.saturating_sub(window.found_full),
        };
        let rate =
            (self.per_second(now, window, accepted) * self.parameters.entry_share).max(MIN_RATE);
        self.floor = (rate * FLOOR_SHARE).max(MIN_RATE);
        self.rate = Some(rate);
        self.calm_since = None;
        Some(Reason::Full)
    }

    fn update_limit(&mut self, now: Moment, rate: f64, window: &Window) -> Option<Reason> {
        self.learn_usual(window, USUAL_DRIFT);
        let offered = self.per_second(now, window, window.offered);
        self.track_calm(now, rate, offered, window);
        if self.calm_since.is_some_and(|since| now >= since + CALM_PERIOD) {
            self.end_limit();
            return Some(Reason::Calm);
        }
        let is_settling =
            self.lowered_at.is_some_and(|since| now < since + self.parameters.settle_time);
        let share = self.rejected_share(window);
        if share > 0.0 {
            if is_settling && share < SEVERE_REJECTION_SHARE {
                return None;
            }
            self.lower(now, rate, (1.0 - share).min(self.latency_factor(window)), window);
            return Some(Reason::Full);
        }
        let is_pressing = window.refused > 0 || offered >= rate * PRESSING_SHARE;
        let elapsed = now.saturating_sub(window.started).min(self.parameters.max_window);
        let min_raise = self.parameters.min_raise * elapsed.as_secs_f64();
        if !is_pressing {
            return self.relax(rate, offered);
        }
        // Without an answer there is no sign of load either.
        let Some(mean) = window.mean_share() else {
            self.rate = Some(rate + min_raise);
            return Some(Reason::Room);
        };
        if mean > self.max_share() {
            if is_settling {
                return None;
            }
            self.lower(now, rate, self.max_share() / mean, window);
            return Some(Reason::Latency);
        }
        let room = self.room_share();
        let answered = self.per_second(now, window, window.answered);
        if mean > room || answered < rate * self.parameters.min_used_share {
            return None;
        }
        let usual = self.usual_share.unwrap_or(mean);
        // The usual latency of a fleet is known only roughly.
        let lowest = if self.parameters.counts_attempts { usual } else { usual.max(room / 2.0) };
        let headroom = ((room - mean) / (room - lowest).max(MIN_SHARE_RANGE)).clamp(0.0, 1.0);
        let Parameters { raise_share, headroom_raise_share, .. } = self.parameters;
        let raise = rate * (raise_share + headroom_raise_share * headroom);
        self.rate = Some(rate + raise.max(min_raise));
        Some(Reason::Room)
    }

    /// Raises a rate that callers don't use.
    fn relax(&mut self, rate: f64, offered: f64) -> Option<Reason> {
        let highest = (offered * MAX_RELAXED).max(rate);
        self.rate = Some((rate * (1.0 + RELAX_SHARE)).min(highest));
        Some(Reason::Room)
    }

    /// Mean latency above which calls wait too long at the servers, as a share of the objective.
    fn max_share(&self) -> f64 {
        self.tolerated_share().max(self.parameters.max_latency_share)
    }

    /// Mean latency up to which the servers have room for more, as a share of the objective.
    fn room_share(&self) -> f64 {
        self.tolerated_share().max(self.parameters.room_latency_share)
    }

    /// Mean latency up to which calls do not wait at the servers, as a share of the objective.
    fn tolerated_share(&self) -> f64 {
        self.usual_share.unwrap_or(0.0) * USUAL_TOLERANCE
    }

    fn lower(&mut self, now: Moment, rate: f64, factor: f64, window: &Window) {
        let Parameters { min_factor, max_factor, answered_share, .. } = self.parameters;
        self.lowered_at = Some(now);
        let lowered = rate * factor.clamp(min_factor, max_factor);
        let answered = self.per_second(now, window, window.answered) * answered_share;
        self.rate = Some(lowered.max(answered.min(rate)).max(self.floor));
    }

    /// Factor by which the latency alone lowers the rate of a fleet. One daemon sees too few
    /// answers beside a rejection.
    fn latency_factor(&self, window: &Window) -> f64 {
        let mean = window.mean_share().filter(|_| !self.parameters.counts_attempts);
        mean.map_or(1.0, |mean| (self.max_share() / mean).min(1.0))
    }

    /// Share of the load that was rejected.
    fn rejected_share(&self, window: &Window) -> f64 {
        let rejected =
            if self.parameters.counts_attempts { window.rejected } else { window.found_full };
        rejected as f64 / rejected.saturating_add(window.answered).max(1) as f64
    }

    fn per_second(&self, now: Moment, window: &Window, count: u64) -> f64 {
        let elapsed = now.saturating_sub(window.started).max(self.parameters.min_window);
        count as f64 / elapsed.as_secs_f64()
    }

    fn track_calm(&mut self, now: Moment, rate: f64, offered: f64, window: &Window) {
        let asks_for_less = offered < rate * CALM_SHARE && window.refused == 0;
        let does_not_wait = window.mean_share().is_some_and(|mean| mean <= self.tolerated_share());
        let may_end = window.refused == 0 || self.parameters.ends_while_refusing;
        let is_calm =
            self.rejected_share(window) == 0.0 && may_end && (asks_for_less || does_not_wait);
        // A window lasts this long only if nobody asked in the meantime.
        let was_idle = now.saturating_sub(window.started) >= CALM_PERIOD;
        let since = if was_idle { window.started } else { now };
        self.calm_since = is_calm.then(|| self.calm_since.unwrap_or(since));
    }

    /// Learns the usual latency. A lower mean is taken at once, a higher one with `weight`.
    fn learn_usual(&mut self, window: &Window, weight: f64) {
        let is_usual = window.rejected == 0 && !self.is_overloaded;
        let Some(mean) = window.mean_share().filter(|_| is_usual) else {
            return;
        };
        let usual = self.usual_share.unwrap_or(mean);
        let weight = if mean < usual { 1.0_f64.min(weight * 5.0) } else { weight };
        self.usual_share = Some(usual + (mean - usual) * weight);
    }
}
