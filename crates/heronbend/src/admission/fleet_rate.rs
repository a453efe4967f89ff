//! Learns the rate at which all daemons of a fleet together may send calls to a service.
//!
//! Load: as for [`super::adaptive_rate`], whose controller runs here on the sums of what all
//! daemons report. It sees many times the samples of one daemon, so its windows are exact and its
//! steps small. Attempts that one full server rejects do not lower the rate while the calls find
//! room elsewhere.
//!
//! Daemons leave a part of their shares unused: demand varies, and shares follow it with a delay.
//! What is divided among them thus exceeds the learned rate by a factor that makes up for this.
//!
//! All daemons run the controller, but their windows are not aligned and reports are lost. To
//! agree, they adopt the rate of the first daemon by name that hears most of the others. When it
//! fails, the next one goes on from the same rate.

use std::collections::BTreeMap;
use std::time::Duration;

use super::adaptive_rate::AdaptiveRate;
use super::adaptive_rate::Adjustment;
use super::adaptive_rate::LoadCounters;
use super::adaptive_rate::Usage;
use super::adaptive_rate::FLEET;
use super::shares::Demand;
use super::shares::VALIDITY;
use crate::identity::NodeName;
use crate::Moment;

/// Longest time between two reports of a daemon whose difference counts. A longer one contains what
/// was observed before the overload.
const MAX_REPORT_GAP: Duration = Duration::from_secs(2);
/// Share of the members that must be heard, as a fraction. With fewer, the sums say little about
/// the fleet.
const HEARD_NUMERATOR: usize = 3;
const HEARD_DENOMINATOR: usize = 4;

/// Largest factor by which more is divided than was learned.
const MAX_FACTOR: f64 = 1.5;
/// Rounding of told rates.
const FACTOR_TOLERANCE: f64 = 0.01;
/// Part of the difference between the learned rate and what is used that a window makes up for, as
/// an exponent.
const FACTOR_GAIN: f64 = 0.8;
/// The usual latency is that below which one in so many daemons is.
const USUAL_QUANTILE: usize = 4;

/// Rate of the calls of all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Calls per second that the servers run without long waits.
    pub per_second: f64,
    /// Calls per second that are divided among the daemons.
    pub divided_per_second: f64,
}

impl Capacity {
    fn is_valid(&self) -> bool {
        let factor = self.divided_per_second / self.per_second;
        is_positive(self.per_second) && (1.0..=MAX_FACTOR + FACTOR_TOLERANCE).contains(&factor)
    }
}

/// What a daemon tells about its calls to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Its demand.
    pub demand: Demand,
    /// Its observations since its start.
    pub counters: LoadCounters,
    /// What it learned about the fleet; `None` while it hears too few daemons to know.
    pub capacity: Option<Capacity>,
    /// Mean latency outside of overload, as a share of the calls' objectives.
    pub usual_share: Option<f64>,
    /// Whether it refused calls recently.
    pub is_short: bool,
}

/// Latest report of a daemon.
#[derive(Debug, Clone)]
struct Heard {
    received_at: Moment,
    sent_millis: u64,
    counters: LoadCounters,
    capacity: Option<Capacity>,
    usual_share: Option<f64>,
}

impl Heard {
    fn is_valid(&self, now: Moment) -> bool {
        now < self.received_at + VALIDITY
    }
}

/// Learned rate of all daemons' calls to one service.
#[derive(Debug, Clone)]
pub struct FleetRate {
    controller: AdaptiveRate,
    /// Factor by which more is divided than was learned.
    factor: f64,
    heard: BTreeMap<NodeName, Heard>,
    /// Whether most members are heard.
    is_observing: bool,
    /// Whether the rate is learned from most of the daemons, here or at another one.
    is_current: bool,
    /// When it last was.
    current_at: Option<Moment>,
}

impl Default for FleetRate {
    fn default() -> Self {
        Self {
            controller: controller(),
            factor: 1.0,
            heard: BTreeMap::new(),
            is_observing: false,
            is_current: false,
            current_at: None,
        }
    }
}

impl FleetRate {
    /// Handles a report, of another daemon or of the local one. Duplicate and reordered reports
    /// have no effect.
    pub fn observe(&mut self, now: Moment, report: &LoadReport) {
        let (daemon, sent_millis) = (&report.demand.daemon, report.demand.sent_millis);
        let known = self.heard.get(daemon);
        if known.is_some_and(|known| known.sent_millis >= sent_millis) {
            return;
        }
        let longest = MAX_REPORT_GAP.as_millis() as u64;
        let recent = known.filter(|known| sent_millis <= known.sent_millis.saturating_add(longest));
        if let Some(counters) = recent.and_then(|known| report.counters.since(&known.counters)) {
            self.controller.record_counters(&counters);
        }
        let heard = Heard {
            received_at: now,
            sent_millis,
            counters: report.counters,
            capacity: report.capacity.filter(Capacity::is_valid),
            usual_share: report.usual_share.filter(|share| is_positive(*share)),
        };
        self.heard.insert(daemon.clone(), heard);
    }

    /// Forgets a daemon that left the fleet.
    pub fn forget(&mut self, daemon: &NodeName) {
        self.heard.remove(daemon);
    }

    /// Adjusts the rate, or adopts that of another daemon. `members` is the number of daemons.
    pub fn update(&mut self, now: Moment, local: &NodeName, members: usize) -> Option<Adjustment> {
        self.heard.retain(|_, heard| now < heard.received_at + MAX_REPORT_GAP);
        self.track_observing(now, members);
        let led_by_other = self.told_by_other(now, local);
        let adjustment = self.is_observing.then(|| self.adjust(now)).flatten();
        if let Some(capacity) = led_by_other {
            self.controller.set_rate(capacity.per_second);
            self.factor = capacity.divided_per_second / capacity.per_second;
        }
        self.is_current = led_by_other.is_some() || self.is_observing;
        if self.is_current {
            self.current_at = Some(now);
        }
        adjustment.filter(|_| led_by_other.is_none())
    }

    /// The rate of the whole fleet, as last known; `None` without a limit.
    pub fn capacity(&self) -> Option<Capacity> {
        self.controller
            .rate()
            .map(|per_second| Capacity { per_second, divided_per_second: per_second * self.factor })
    }

    /// The rate to tell other daemons.
    pub fn told_capacity(&self) -> Option<Capacity> {
        self.capacity().filter(|_| self.is_observing)
    }

    /// Whether the rate follows from the reports of most daemons, received here or at another one.
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// When [`Self::is_current`] last held.
    pub fn current_at(&self) -> Option<Moment> {
        self.current_at
    }

    /// Ends the limit.
    pub fn end_limit(&mut self) {
        self.controller = controller();
        self.factor = 1.0;
        self.is_observing = false;
        self.is_current = false;
        self.current_at = None;
    }

    fn track_observing(&mut self, now: Moment, members: usize) {
        let heard = self.heard.values().filter(|heard| heard.is_valid(now)).count();
        let hears_most = heard * HEARD_DENOMINATOR >= members * HEARD_NUMERATOR;
        if hears_most && !self.is_observing {
            self.controller.restart_window(now);
        }
        self.is_observing = hears_most;
    }

    fn adjust(&mut self, now: Moment) -> Option<Adjustment> {
        if let Some(usual_share) = self.usual_share(now) {
            self.controller.set_usual_share(usual_share);
        }
        let rate = self.controller.rate();
        let usage = self.controller.usage(now);
        if let Some((rate, usage)) = rate.zip(usage) {
            self.adjust_factor(rate, usage);
        }
        self.controller.adjust(now)
    }

    /// Makes up for what daemons leave unused while others refuse calls.
    fn adjust_factor(&mut self, rate: f64, usage: Usage) {
        let used = usage.answered_per_second / rate;
        let may_grow = usage.has_refused && usage.has_room;
        if used > 0.0 && (used > 1.0 || may_grow) {
            self.factor = (self.factor / used.powf(FACTOR_GAIN)).clamp(1.0, MAX_FACTOR);
        }
    }

    /// The rate told by the first daemon that tells one, unless that is the local daemon.
    fn told_by_other(&self, now: Moment, local: &NodeName) -> Option<Capacity> {
        let telling = |heard: &Heard| heard.capacity.filter(|_| heard.is_valid(now));
        let mut told = self.heard.iter().filter_map(|(name, heard)| Some((name, telling(heard)?)));
        let (name, capacity) = told.next()?;
        let leads = self.told_capacity().is_some() && local <= name;
        (!leads).then_some(capacity)
    }

    /// The usual latency. Daemons without calls before the overload take that for usual, so a low
    /// one is used.
    fn usual_share(&self, now: Moment) -> Option<f64> {
        let valid = self.heard.values().filter(|heard| heard.is_valid(now));
        let mut shares: Vec<f64> = valid.filter_map(|heard| heard.usual_share).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / USUAL_QUANTILE).copied()
    }
}

/// A controller without a limit. Daemons report only under pressure, so it sees no usual latency.
fn controller() -> AdaptiveRate {
    let mut controller = AdaptiveRate::new(FLEET);
    controller.set_overloaded(true);
    controller
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
