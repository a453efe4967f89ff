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

use std::time::Duration;

use crate::Moment;

/// Minimum duration of a window.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// Duration after which a window is closed with any number of samples.
const MAX_WINDOW: Duration = Duration::from_secs(1);
/// Lowest objective that latencies are compared with, in seconds.
const MIN_OBJECTIVE_SECONDS: f64 = 0.001;
/// Number of samples that close a window after its minimum duration. The mean of five calls tells
/// a full queue from an empty one although calls vary in the work they require.
const WINDOW_SAMPLES: u32 = 5;
/// Share of the objective above which the mean latency lowers the rate. The rest covers the wait
/// at the daemon, the network and calls that take longer than the mean.
const MAX_LATENCY_SHARE: f64 = 0.4;
/// Share of the objective below which the mean latency raises the rate.
const ROOM_LATENCY_SHARE: f64 = 0.3;
/// Lowest difference of two shares that counts.
const MIN_SHARE_RANGE: f64 = 0.01;
/// Multiple of the usual latency that never counts as waiting. Services that need a large share of
/// the objective for the work itself are not throttled for it.
const USUAL_TOLERANCE: f64 = 1.5;
/// Share of the rate of calls that servers accepted at which the limit starts.
const ENTRY_SHARE: f64 = 0.9;
/// Lowest rate, as a share of the rate at which the limit started. Two of three servers may be
/// lost at once.
const FLOOR_SHARE: f64 = 0.2;
/// Lowest rate, in calls per second.
const MIN_RATE: f64 = 0.5;
/// Limits of the factor by which one window lowers the rate.
const MIN_FACTOR: f64 = 0.8;
const MAX_FACTOR: f64 = 0.97;
/// How long the servers' queues take to drain after the rate was lowered. Until then they still show
/// the load from before, and the rate is lowered again only if many calls are rejected.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Share of rejected attempts from which on the rate is lowered again at once.
const SEVERE_REJECTION_SHARE: f64 = 0.2;
/// Increase of the rate by one window, as a share of it: while calls wait, and in addition if none
/// waits at all.
const RAISE_SHARE: f64 = 0.03;
const HEADROOM_RAISE_SHARE: f64 = 0.06;
/// Minimum increase within a second, in calls per second. Equal steps make unequal rates converge.
const MIN_RAISE: f64 = 1.5;
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
    pub answered: u32,
    /// Number of attempts in the window that servers rejected.
    pub rejected: u32,
    /// Mean latency of the answers, as a share of their calls' objectives.
    pub mean_share: Option<f64>,
    /// That share outside of overload, if it is known.
    pub usual_share: Option<f64>,
}

/// Observations since the last change.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    started: Moment,
    offered: u32,
    refused: u32,
    answered: u32,
    /// Number and total latency of the answers to calls that were sent within the window. Earlier
    /// calls do not show the effect of the last change.
    timed: u32,
    /// Sum of the latencies, each as a share of the objective of its call.
    latency_share_sum: f64,
    rejected: u32,
    found_full: u32,
}

impl Window {
    fn is_complete(&self, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.started);
        let has_samples = self.timed + self.rejected >= WINDOW_SAMPLES;
        elapsed >= MAX_WINDOW || (elapsed >= MIN_WINDOW && has_samples)
    }

    /// Mean latency as a share of the calls' objectives.
    fn mean_share(&self) -> Option<f64> {
        (self.timed > 0).then(|| self.latency_share_sum / f64::from(self.timed))
    }

    fn per_second(&self, now: Moment, count: u32) -> f64 {
        let elapsed = now.saturating_sub(self.started).max(MIN_WINDOW);
        f64::from(count) / elapsed.as_secs_f64()
    }
}

/// Learned rate of one daemon's calls to one service.
#[derive(Debug, Clone, Default)]
pub struct AdaptiveRate {
    /// Calls per second; `None` outside of overload.
    rate: Option<f64>,
    /// Lowest rate of the current overload, in calls per second.
    floor: f64,
    usual_share: Option<f64>,
    window: Window,
    /// When the rate was last lowered.
    lowered_at: Option<Moment>,
    /// Since when callers ask for less than the servers can run.
    calm_since: Option<Moment>,
}

impl AdaptiveRate {
    /// The rate in calls per second; `None` if calls are not limited.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Rate at which callers asked in the current window, in calls per second.
    pub fn demand(&self, now: Moment) -> f64 {
        self.window.per_second(now, self.window.offered)
    }

    /// Mean latency outside of overload, as a share of the calls' objectives, if it is known.
    pub fn usual_share(&self) -> Option<f64> {
        self.usual_share
    }

    /// Ends the limit, if there is one. The usual latency is kept.
    pub fn end_limit(&mut self) {
        self.rate = None;
        self.calm_since = None;
    }

    /// Records that a caller asked for the service.
    pub fn record_offered(&mut self) {
        self.window.offered += 1;
    }

    /// Records that a call was refused without being sent.
    pub fn record_refused(&mut self) {
        self.window.refused += 1;
    }

    /// Records an answer, the time from sending the call until it arrived, and the latency objective
    /// of the call.
    pub fn record_answer(&mut self, now: Moment, latency: Duration, objective: Duration) {
        self.window.answered += 1;
        if now.saturating_sub(latency) >= self.window.started {
            self.window.timed += 1;
            self.window.latency_share_sum +=
                latency.as_secs_f64() / objective.as_secs_f64().max(MIN_OBJECTIVE_SECONDS);
        }
    }

    /// Records that a server rejected an attempt because it was full.
    pub fn record_rejection(&mut self) {
        self.window.rejected += 1;
    }

    /// Records that a call was refused because the servers it was sent to rejected it.
    pub fn record_found_full(&mut self) {
        self.window.found_full += 1;
    }

    /// Adjusts the rate if there are enough observations.
    pub fn adjust(&mut self, now: Moment) -> Option<Adjustment> {
        if !self.window.is_complete(now) {
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
            mean_share: window.mean_share(),
            usual_share: self.usual_share,
        })
    }

    /// Starts the limit if the servers are overloaded.
    fn start_limit(&mut self, now: Moment, window: &Window) -> Option<Reason> {
        let is_slow = window.mean_share().is_some_and(|mean| mean > self.max_share());
        if window.found_full == 0 && !(window.rejected > 0 && is_slow) {
            self.learn_usual(window, USUAL_WEIGHT);
            return None;
        }
        let accepted = window.offered.saturating_sub(window.found_full);
        let rate = (window.per_second(now, accepted) * ENTRY_SHARE).max(MIN_RATE);
        self.floor = (rate * FLOOR_SHARE).max(MIN_RATE);
        self.rate = Some(rate);
        self.calm_since = None;
        Some(Reason::Full)
    }

    fn update_limit(&mut self, now: Moment, rate: f64, window: &Window) -> Option<Reason> {
        self.learn_usual(window, USUAL_DRIFT);
        let offered = window.per_second(now, window.offered);
        self.track_calm(now, rate, offered, window);
        if self.calm_since.is_some_and(|since| now >= since + CALM_PERIOD) {
            self.end_limit();
            return Some(Reason::Calm);
        }
        let is_settling = self.lowered_at.is_some_and(|since| now < since + SETTLE_TIME);
        if window.rejected > 0 {
            let attempts = f64::from(window.rejected + window.answered);
            let share = f64::from(window.rejected) / attempts;
            if is_settling && share < SEVERE_REJECTION_SHARE {
                return None;
            }
            self.lower(now, rate, 1.0 - share);
            return Some(Reason::Full);
        }
        let is_pressing = window.refused > 0 || offered >= rate * PRESSING_SHARE;
        let elapsed = now.saturating_sub(window.started).min(MAX_WINDOW);
        let min_raise = MIN_RAISE * elapsed.as_secs_f64();
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
            self.lower(now, rate, self.max_share() / mean);
            return Some(Reason::Latency);
        }
        let room = self.room_share();
        if mean > room {
            return None;
        }
        let usual = self.usual_share.unwrap_or(mean);
        let headroom = ((room - mean) / (room - usual).max(MIN_SHARE_RANGE)).clamp(0.0, 1.0);
        let raise = rate * (RAISE_SHARE + HEADROOM_RAISE_SHARE * headroom);
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
        self.tolerated_share().max(MAX_LATENCY_SHARE)
    }

    /// Mean latency up to which the servers have room for more, as a share of the objective.
    fn room_share(&self) -> f64 {
        self.tolerated_share().max(ROOM_LATENCY_SHARE)
    }

    /// Mean latency up to which calls do not wait at the servers, as a share of the objective.
    fn tolerated_share(&self) -> f64 {
        self.usual_share.unwrap_or(0.0) * USUAL_TOLERANCE
    }

    fn lower(&mut self, now: Moment, rate: f64, factor: f64) {
        self.lowered_at = Some(now);
        let lowered = rate * factor.clamp(MIN_FACTOR, MAX_FACTOR);
        self.rate = Some(lowered.max(self.floor));
    }

    fn track_calm(&mut self, now: Moment, rate: f64, offered: f64, window: &Window) {
        let asks_for_less = offered < rate * CALM_SHARE && window.refused == 0;
        let does_not_wait = window.mean_share().is_some_and(|mean| mean <= self.tolerated_share());
        let is_calm = window.rejected == 0 && (asks_for_less || does_not_wait);
        // A window lasts this long only if nobody asked in the meantime.
        let was_idle = now.saturating_sub(window.started) >= CALM_PERIOD;
        let since = if was_idle { window.started } else { now };
        self.calm_since = is_calm.then(|| self.calm_since.unwrap_or(since));
    }

    /// Learns the usual latency. A lower mean is taken at once, a higher one with `weight`.
    fn learn_usual(&mut self, window: &Window, weight: f64) {
        let Some(mean) = window.mean_share().filter(|_| window.rejected == 0) else {
            return;
        };
        let usual = self.usual_share.unwrap_or(mean);
        let weight = if mean < usual { 1.0_f64.min(weight * 5.0) } else { weight };
        self.usual_share = Some(usual + (mean - usual) * weight);
    }
}
