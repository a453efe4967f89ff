//! Limits the calls of one daemon to its share of what the whole fleet may send to a service.
//!
//! Joins [`FleetRate`], which learns the capacity, with [`Shares`], which divides it. Without
//! either of them the daemon uses the rate that it learned by itself.

use std::time::Duration;

use super::adaptive_rate::AdaptiveRate;
use super::adaptive_rate::Adjustment;
use super::fleet_rate::Capacity;
use super::fleet_rate::FleetRate;
use super::fleet_rate::LoadReport;
use super::shares::Demand;
use super::shares::Shares;
use super::shares::CLASSES;
use super::shares::RETENTION;
use crate::identity::NodeName;
use crate::Moment;

/// How long a daemon counts as short of a service after it refused a call.
const SHORT_PERIOD: Duration = Duration::from_secs(1);
/// How long no daemon must have been short until reports and shares end.
const CALM_PERIOD: Duration = Duration::from_secs(3);

/// Lowest demand that a daemon reports, as a part of the equal share, so that some of its first
/// calls do not have to wait until an increase takes effect.
const MIN_DEMAND_SHARE: f64 = 0.25;
/// Class of that demand, the least urgent one.
const MIN_DEMAND_CLASS: usize = CLASSES - 1;

/// What a daemon's rate follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Its share of the capacity.
    Share,
    /// An equal part of the capacity as last known.
    Equal,
    /// The rate that the daemon learned by itself.
    Learned,
}

impl Source {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Equal => "equal",
            Self::Learned => "learned",
        }
    }
}

/// Rate at which a daemon may send calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls per second; `None` if no overload is known.
    pub per_second: Option<f64>,
    pub source: Source,
}

/// Shared limit of one service, as seen by one daemon.
#[derive(Debug, Clone)]
pub struct SharedLimit {
    shares: Shares,
    fleet: FleetRate,
    members: usize,
    /// When the local daemon last refused a call.
    refused_at: Option<Moment>,
    /// When any daemon was last known to be short.
    short_at: Option<Moment>,
}

impl SharedLimit {
    /// Creates the limit of a daemon that started at `started`.
    pub fn new(started: Moment) -> Self {
        Self {
            shares: Shares::new(started),
            fleet: FleetRate::default(),
            members: 1,
            refused_at: None,
            short_at: None,
        }
    }

    /// Sets the live members, including the local one.
    pub fn set_members(&mut self, now: Moment, members: impl Iterator<Item = NodeName>) {
        let members: Vec<NodeName> = members.collect();
        self.members = members.len().max(1);
        self.shares.set_members(now, members.into_iter());
    }

    /// Forgets a daemon that left the fleet and sends no more calls.
    pub fn forget(&mut self, daemon: &NodeName) {
        self.shares.forget(daemon);
        self.fleet.forget(daemon);
    }

    /// Records that the local daemon refused a call, or that a call found all servers full.
    pub fn record_short(&mut self, now: Moment) {
        self.refused_at = Some(now);
        self.short_at = Some(now);
    }

    /// Whether any daemon has been short recently. All daemons that use the service then report, so
    /// that others may use what they leave.
    pub fn is_under_pressure(&self, now: Moment) -> bool {
        self.short_at.is_some_and(|since| now < since + CALM_PERIOD)
    }

    /// Whether there is nothing that a later decision needs.
    pub fn is_idle(&self, now: Moment) -> bool {
        !self.is_under_pressure(now) && !self.shares.is_active(now)
    }

    /// Handles a report of another daemon.
    pub fn receive(&mut self, now: Moment, report: &LoadReport) {
        self.shares.report(now, &report.demand);
        self.fleet.observe(now, report);
        if report.is_short {
            self.short_at = Some(now);
        }
    }

    /// Handles a report of an earlier build, which tells only its demand.
    pub fn receive_demand(&mut self, now: Moment, demand: &Demand) {
        self.shares.report(now, demand);
    }

    /// Returns the report to send for the local daemon's demand and what it learned by itself.
    pub fn announce(&mut self, now: Moment, own: &Demand, local: &AdaptiveRate) -> LoadReport {
        let report = LoadReport {
            demand: self.shares.announce(now, &self.with_minimum(own)),
            counters: *local.counters(),
            capacity: self.fleet.told_capacity(),
            usual_share: local.usual_share(),
            is_short: self.refused_at.is_some_and(|since| now < since + SHORT_PERIOD),
        };
        self.fleet.observe(now, &report);
        report
    }

    /// Adjusts the fleet's rate. Returns the change if the local daemon decided about it.
    pub fn update(&mut self, now: Moment, local: &NodeName) -> Option<Adjustment> {
        self.fleet.update(now, local, self.members)
    }

    /// The rate of the whole fleet, as last known.
    pub fn capacity(&self) -> Option<Capacity> {
        self.fleet.capacity()
    }

    fn divided_per_second(&self) -> f64 {
        self.capacity().map_or(0.0, |capacity| capacity.divided_per_second)
    }

    /// Returns the rate to be used for at most
    /// [`EVALUATION_INTERVAL`](super::shares::EVALUATION_INTERVAL). `learned` is the rate that the
    /// daemon learned by itself.
    pub fn limit(&mut self, now: Moment, own: &Demand, learned: Option<f64>) -> Limit {
        let capacity = self.divided_per_second();
        let own = self.with_minimum(own);
        let share = self.shares.share(now, &own.daemon, &own, capacity);
        let Some(current_at) = self.fleet.current_at().filter(|_| capacity > 0.0) else {
            return Limit { per_second: learned, source: Source::Learned };
        };
        if self.fleet.is_current() && !share.is_fallback {
            return Limit { per_second: Some(share.requests_per_second), source: Source::Share };
        }
        let is_recent = now < current_at + RETENTION;
        let equal = capacity / self.members as f64;
        match learned {
            Some(learned) if learned < equal || !is_recent => {
                Limit { per_second: Some(learned), source: Source::Learned }
            }
            _ => Limit { per_second: Some(equal), source: Source::Equal },
        }
    }

    /// The demand, or the minimum that is reserved for a daemon with fewer calls.
    fn with_minimum(&self, own: &Demand) -> Demand {
        let equal = self.divided_per_second() / self.members as f64;
        let total: f64 = own.requests_per_second.iter().sum();
        let mut demand = own.clone();
        demand.requests_per_second[MIN_DEMAND_CLASS] += (equal * MIN_DEMAND_SHARE - total).max(0.0);
        demand
    }

    /// Ends the limit, when no daemon has been short for a while.
    pub fn end(&mut self) {
        self.fleet.end_limit();
    }
}
