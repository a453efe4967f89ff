//! What servers report about their load, and how much of a report still holds.
//!
//! A server reports the load of all callers, of which this daemon knows only its own part. A report
//! loses its value with its age: requests that ran then have finished since. The load of a server
//! without a recent report is assumed to be the mean of its service, so that it attracts no more
//! requests than others. What the daemon measures itself takes precedence over reports.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Mean time between two changes of a server's slowdown, which follows the load of the programs
/// beside it.
pub const SLOWDOWN_MEMORY: Duration = Duration::from_millis(50);
/// Weight below which a report has no effect. It is reached after three times the time in which the
/// reported load changes, since e^-3 is just below.
pub const MIN_WEIGHT: f64 = 0.05;
/// Requests of other callers that are assumed at most, in multiples of the slots.
const MAX_OTHERS_PER_SLOT: f64 = 4.0;
/// Range of the slowdown that is taken into account.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 4.0);
/// Run time of requests while none has finished, in milliseconds.
const DEFAULT_RUN_MILLIS: f64 = 20.0;
/// Factor by which earlier samples fade with each new one.
const SAMPLE_MEMORY: f64 = 0.95;
/// Weight of the assumption that reports are true, in samples of a full wait.
const PRIOR_WEIGHT: f64 = 0.5;
/// Weight of a report in the mean load of a server.
const MEAN_WEIGHT: f64 = 0.05;
/// Time without a report after which the mean load of a server is unknown. Other callers' demand
/// may have changed since.
const MEAN_MAX_AGE: Duration = Duration::from_secs(3);
/// Number of requests in flight whose expected wait is compared with the measured one.
const MAX_CLAIMS: usize = 32;
/// Difference up to which two times belong to the same request.
const SAME_START: Duration = Duration::from_millis(1);

/// The load of a server, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes relative to the usual, if the server reports it; 1 is as usual.
    pub slowdown: Option<f64>,
}

/// A report and what was known when it was received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReceivedReport {
    pub report: LoadReport,
    pub received_at: Moment,
    /// This daemon's own requests in flight at that time.
    own_in_flight: u32,
}

/// The effect of a report on the expected time of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Expected number of requests of other callers.
    pub others: f64,
    /// Factor of the run time.
    pub slowdown: f64,
}

impl ReportedLoad {
    /// The load that is assumed without a report.
    pub const NONE: Self = Self { others: 0.0, slowdown: 1.0 };

    /// Wait for a slot that is caused by other callers, in run times.
    pub fn expected_wait(&self, own_in_flight: u32, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let own = f64::from(own_in_flight);
        let queued = |requests: f64| (requests + 1.0 - slots).max(0.0);
        (queued(own + self.others) - queued(own)) / slots
    }

    /// Part of the slots that is in use, at most 1 unless this daemon alone uses more.
    pub fn utilization(&self, own_in_flight: u32, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let own = f64::from(own_in_flight);
        let all = ((own + self.others) / slots).min(1.0);
        all.max(own / slots)
    }
}

/// The last report of a server, with what is needed to judge it.
#[derive(Debug, Clone, Default)]
pub struct ReportHistory {
    last: Option<ReceivedReport>,
    /// Mean load that the server reports of other callers, by slot.
    mean_others_per_slot: Option<f64>,
    run_time: RunTime,
    accuracy: ReportAccuracy,
}

impl ReportHistory {
    /// Creates the history of a server whose first report is received at `now`.
    pub fn new(now: Moment) -> Self {
        let run_time = RunTime { updated_at: now, ..RunTime::default() };
        Self { run_time, ..Self::default() }
    }

    /// Records a report of a server that has `slots`. `own_in_flight` includes the request whose
    /// response brought it.
    pub fn record(&mut self, now: Moment, report: LoadReport, own_in_flight: u32, slots: u32) {
        let received = ReceivedReport { report, received_at: now, own_in_flight };
        let per_slot = received.unweighted(slots).others / f64::from(slots.max(1));
        let mean = self.mean_others_per_slot(now).unwrap_or(per_slot);
        self.mean_others_per_slot = Some(mean + (per_slot - mean) * MEAN_WEIGHT);
        self.last = Some(received);
    }

    /// Mean load that the server reports of other callers, by slot, if it reports any.
    pub fn mean_others_per_slot(&self, now: Moment) -> Option<f64> {
        let age = now.saturating_sub(self.last?.received_at);
        self.mean_others_per_slot.filter(|_| age < MEAN_MAX_AGE)
    }

    /// The last report.
    pub fn last(&self) -> Option<ReceivedReport> {
        self.last
    }

    /// Records that the number of this daemon's requests in flight is about to change from
    /// `in_flight`.
    pub fn in_flight_changes(&mut self, now: Moment, in_flight: u32) {
        self.run_time.advance(now, in_flight);
    }

    /// Records that a request has finished.
    pub fn request_finished(&mut self) {
        self.run_time.request_finished();
    }

    /// Records that a request is sent, to compare its measured wait with the reported one.
    pub fn request_sent(&mut self, now: Moment, slots: u32) {
        let Some(last) = self.last else {
            return;
        };
        let weight = self.load_weight(now.saturating_sub(last.received_at));
        if weight >= MIN_WEIGHT {
            let wait = last.unweighted(slots).expected_wait(0, slots);
            self.accuracy.request_sent(now, weight, wait);
        }
    }

    /// Compares the latency of a response with the wait that the report implied. `usual_millis` is
    /// the latency without a wait.
    pub fn response_received(&mut self, now: Moment, latency: Duration, usual_millis: f64) {
        self.accuracy.response_received(now, latency, usual_millis);
    }

    /// Weight of the running and waiting requests of a report of this age.
    ///
    /// Requests that ran at the time of the report leave at the rate at which work completes, so
    /// that the load is correlated by e^(-age / run time).
    pub fn load_weight(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() * 1e3 / self.run_time.millis()).exp()
    }

    /// Weight of the slowdown of a report of this age: its mean correlation during a run.
    pub fn slowdown_weight(&self, age: Duration) -> f64 {
        let memory = SLOWDOWN_MEMORY.as_secs_f64() * 1e3;
        let run = (self.run_time.millis() / memory).max(f64::EPSILON);
        let at_start = (-age.as_secs_f64() * 1e3 / memory).exp();
        at_start * (1.0 - (-run).exp()) / run
    }

    /// The load that the last report implies now, as far as it can be relied on, and otherwise
    /// `assumed` requests of other callers. `None` if the report has no effect any more.
    pub fn current(&self, now: Moment, slots: u32, assumed: f64) -> Option<ReportedLoad> {
        let last = self.last?;
        let age = now.saturating_sub(last.received_at);
        let (load, slowdown) = (self.load_weight(age), self.slowdown_weight(age));
        let load = if load < MIN_WEIGHT { 0.0 } else { load };
        let slowdown = if slowdown < MIN_WEIGHT { 0.0 } else { slowdown };
        let reported = last.unweighted(slots);
        let current = ReportedLoad {
            others: assumed + (reported.others - assumed) * load * self.accuracy.ratio(),
            slowdown: 1.0 + (reported.slowdown - 1.0) * slowdown,
        };
        (load > 0.0 || slowdown > 0.0).then_some(current)
    }
}

impl ReceivedReport {
    /// The load by the report alone.
    fn unweighted(&self, slots: u32) -> ReportedLoad {
        let total = f64::from(self.report.running) + f64::from(self.report.waiting);
        let others = (total - f64::from(self.own_in_flight)).max(0.0);
        let most = f64::from(slots.max(1)) * MAX_OTHERS_PER_SLOT;
        let (least, greatest) = SLOWDOWN_RANGE;
        let slowdown = self.report.slowdown.unwrap_or(1.0).clamp(least, greatest);
        ReportedLoad { others: others.min(most), slowdown }
    }
}

/// Mean time that requests of this daemon stay at a server, by Little's law: the requests in flight,
/// integrated over time, by the number of those that finished.
#[derive(Debug, Clone, Default)]
struct RunTime {
    in_flight_millis: f64,
    finished: f64,
    updated_at: Moment,
}

impl RunTime {
    fn advance(&mut self, now: Moment, in_flight: u32) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64() * 1e3;
        self.in_flight_millis += passed * f64::from(in_flight);
        self.updated_at = now;
    }

    fn request_finished(&mut self) {
        self.in_flight_millis *= SAMPLE_MEMORY;
        self.finished = (self.finished + 1.0) * SAMPLE_MEMORY;
    }

    fn millis(&self) -> f64 {
        if self.finished == 0.0 {
            return DEFAULT_RUN_MILLIS;
        }
        (self.in_flight_millis / self.finished).max(1.0)
    }
}

/// A request in flight whose wait was predicted by a report.
#[derive(Debug, Clone, Copy)]
struct Claim {
    sent_at: Moment,
    weight: f64,
    /// Predicted wait, in run times.
    wait: f64,
}

/// How well the reported waits of a server agree with the measured ones: the slope of the measured
/// over the reported wait.
#[derive(Debug, Clone, Default)]
struct ReportAccuracy {
    claims: VecDeque<Claim>,
    reported_by_measured: f64,
    reported_squared: f64,
}

impl ReportAccuracy {
    fn request_sent(&mut self, now: Moment, weight: f64, wait: f64) {
        if self.claims.len() == MAX_CLAIMS {
            self.claims.pop_front();
        }
        self.claims.push_back(Claim { sent_at: now, weight, wait });
    }

    fn response_received(&mut self, now: Moment, latency: Duration, usual_millis: f64) {
        let sent_at = now.saturating_sub(latency);
        let is_same = |claim: &Claim| claim.sent_at.abs_diff(sent_at) <= SAME_START;
        let Some(claim) =
            self.claims.iter().position(is_same).and_then(|position| self.claims.remove(position))
        else {
            return;
        };
        let measured = latency.as_secs_f64() * 1e3 / usual_millis.max(1.0) - 1.0;
        let cross = claim.weight * claim.wait * measured;
        let square = claim.weight * claim.wait * claim.wait;
        self.reported_by_measured = self.reported_by_measured * SAMPLE_MEMORY + cross;
        self.reported_squared = self.reported_squared * SAMPLE_MEMORY + square;
    }

    /// Factor for the reported load, from 0 to 1.
    fn ratio(&self) -> f64 {
        let ratio =
            (self.reported_by_measured + PRIOR_WEIGHT) / (self.reported_squared + PRIOR_WEIGHT);
        ratio.clamp(0.0, 1.0)
    }
}
