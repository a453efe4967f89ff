//! Division of a service's capacity among daemons, without a coordinator.
//!
//! Each daemon announces its demand and divides the capacity by the demands that it has heard:
//!
//! 1. Each daemon gets its demand up to the equal share.
//! 2. What is left is divided among the demands beyond that, by weight of class and tenants.
//! 3. What nobody demands is divided equally.
//!
//! The part of a daemon never grows when the demand or weight of another one grows. The parts of
//! all daemons thus add up to at most the capacity if each daemon counts
//!
//! - every other daemon with at least the claim that this one uses: a daemon without a valid report
//!   counts with an infinite demand and the largest weight;
//! - itself with no more than any of its announcements that others may still hold, so that an
//!   increase takes effect [`HOLD`] after it was announced, and a decrease is announced once the
//!   share in use has been computed from it.
//!
//! The bound assumes that daemons agree on members and capacity, and that of the messages that a
//! daemon has received from another one since it started, the fastest took at most [`MAX_TRANSIT`].
//! Slower messages expire as if they had not been delayed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::fair_division::divide;
use super::fair_division::Claim;
use crate::identity::NodeName;
use crate::Moment;

/// Number of priority classes.
pub const CLASSES: usize = 4;
/// Largest number of tenants in a report.
pub const MAX_TENANTS: usize = 8;
/// Largest number of daemons that exchange reports; larger fleets use equal shares.
pub const MAX_DAEMONS: usize = 128;
/// How long a report is used after the earliest time at which it could have arrived.
pub const VALIDITY: Duration = Duration::from_secs(1);
/// Longest transit of the fastest message between two daemons.
pub const MAX_TRANSIT: Duration = Duration::from_millis(250);
/// Longest time for which a computed share is used.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// How long others may use shares that are based on a report, after it was sent. Includes a margin
/// for the drift of clocks.
pub const HOLD: Duration = Duration::from_millis(1550);
/// How long an equal share is reserved for a daemon that failed, as it may only be cut off.
pub const RETENTION: Duration = Duration::from_secs(30);

const _: () = assert!(
    HOLD.as_millis()
        > VALIDITY.as_millis() + MAX_TRANSIT.as_millis() + EVALUATION_INTERVAL.as_millis()
);

/// Weights of the priority classes, most urgent first.
const CLASS_WEIGHTS: [f64; CLASSES] = [8.0, 4.0, 2.0, 1.0];
/// Largest weight of a daemon's tenants together; the smallest is 1.
const MAX_WEIGHT: f64 = 8.0;
/// Allowed drift between the clocks of two daemons.
const MAX_DRIFT_PER_MILLI: f64 = 0.0005;

/// Demand of a tenant at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantDemand {
    /// Hash of the tenant's name.
    pub tenant_hash: u64,
    /// Demand in requests per second.
    pub requests_per_second: f64,
    /// Configured weight of the tenant.
    pub weight: f64,
}

/// Demand of one daemon for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The daemon.
    pub daemon: NodeName,
    /// When the demand was announced, in milliseconds on the daemon's own clock. Greater in later
    /// reports, also after a restart.
    pub sent_millis: u64,
    /// Demand in requests per second by priority class, most urgent first.
    pub requests_per_second: [f64; CLASSES],
    /// The tenants with the largest demand, at most [`MAX_TENANTS`].
    pub tenants: Vec<TenantDemand>,
}

/// Share of the local daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests per second that the daemon may send.
    pub requests_per_second: f64,
    /// Whether no other daemon's demand was known.
    pub is_fallback: bool,
}

/// Claim of a daemon on the capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DaemonClaim {
    demand: [f64; CLASSES],
    weight: f64,
}

/// What a daemon is known to claim at most.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Bound {
    Reported(DaemonClaim),
    /// A daemon without a valid report.
    Unknown,
    /// A failed daemon, which hears no reports and thus uses at most its equal share.
    CutOff,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    sent_at: Moment,
    claim: DaemonClaim,
}

#[derive(Debug, Clone)]
struct ClaimInUse {
    since: Moment,
    claim: DaemonClaim,
    /// Tenants with at least the weight of the claim.
    tenants: Vec<TenantDemand>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    sent_millis: u64,
    received_at: Moment,
    /// Smallest difference between the local clock and the sender's, in milliseconds.
    clock_offset: f64,
    valid_until: Moment,
    claim: DaemonClaim,
}

/// Shares of a service's capacity, as seen by one daemon.
#[derive(Debug, Clone)]
pub struct Shares {
    started: Moment,
    /// Members, with the time since when they have failed.
    members: BTreeMap<NodeName, Option<Moment>>,
    reports: BTreeMap<NodeName, Report>,
    /// Own announcements that others may hold, oldest first.
    announcements: VecDeque<Announcement>,
    /// The claim behind the share in use.
    in_use: Option<ClaimInUse>,
}

impl DaemonClaim {
    fn new(demand: &Demand) -> Self {
        let weight: f64 = demand.tenants.iter().map(|tenant| sanitize(tenant.weight)).sum();
        Self {
            demand: demand.requests_per_second.map(sanitize),
            weight: weight.clamp(1.0, MAX_WEIGHT),
        }
    }

    fn min(self, other: Self) -> Self {
        let demand = std::array::from_fn(|class| self.demand[class].min(other.demand[class]));
        Self { demand, weight: self.weight.min(other.weight) }
    }

    fn total(&self) -> f64 {
        self.demand.iter().sum()
    }

    /// Claims by class beyond the equal share, which serves the most urgent classes first.
    fn excess(&self, equal: f64) -> [Claim; CLASSES] {
        let mut equal_left = equal;
        std::array::from_fn(|class| {
            let covered = self.demand[class].min(equal_left);
            equal_left -= covered;
            let demand = self.demand[class] - covered;
            Claim { demand, weight: self.weight * CLASS_WEIGHTS[class] }
        })
    }
}

impl Bound {
    fn claim(self) -> DaemonClaim {
        match self {
            Self::Reported(claim) => claim,
            Self::Unknown => DaemonClaim { demand: [f64::INFINITY; CLASSES], weight: MAX_WEIGHT },
            Self::CutOff => DaemonClaim { demand: [0.0; CLASSES], weight: 1.0 },
        }
    }

    fn base(self, equal: f64) -> f64 {
        match self {
            Self::Reported(claim) => claim.total().min(equal),
            Self::Unknown | Self::CutOff => equal,
        }
    }
}

impl Shares {
    /// Creates the shares of a daemon that started at `started`.
    pub fn new(started: Moment) -> Self {
        Self {
            started,
            members: BTreeMap::new(),
            reports: BTreeMap::new(),
            announcements: VecDeque::new(),
            in_use: None,
        }
    }

    /// Handles a report of another daemon. Duplicate and reordered reports have no effect.
    pub fn report(&mut self, now: Moment, demand: &Demand) {
        let offset = millis(now) - demand.sent_millis as f64;
        let known = self.reports.get(&demand.daemon);
        if known.is_some_and(|report| report.sent_millis >= demand.sent_millis) {
            return;
        }
        let clock_offset = known.map_or(offset, |report| report.clock_offset_at(now).min(offset));
        let delay = Duration::from_secs_f64((offset - clock_offset) / 1000.0);
        let report = Report {
            sent_millis: demand.sent_millis,
            received_at: now,
            clock_offset,
            valid_until: (now + VALIDITY).saturating_sub(delay),
            claim: DaemonClaim::new(demand),
        };
        self.reports.insert(demand.daemon.clone(), report);
    }

    /// Returns the report to send for the local daemon's demand, which covers the share in use.
    pub fn announce(&mut self, now: Moment, own: &Demand) -> Demand {
        let mut report = own.clone();
        if let Some(in_use) = self.in_use_at(now) {
            for (announced, used) in report.requests_per_second.iter_mut().zip(in_use.claim.demand)
            {
                *announced = announced.max(used);
            }
            if in_use.claim.weight > DaemonClaim::new(own).weight {
                report.tenants.clone_from(&in_use.tenants);
            }
        }
        self.announcements.retain(|announcement| now < announcement.sent_at + HOLD);
        self.announcements
            .push_back(Announcement { sent_at: now, claim: DaemonClaim::new(&report) });
        report
    }

    fn in_use_at(&self, now: Moment) -> Option<&ClaimInUse> {
        self.in_use.as_ref().filter(|in_use| now <= in_use.since + EVALUATION_INTERVAL)
    }

    /// Forgets a daemon that left the fleet and sends no more requests.
    pub fn forget(&mut self, daemon: &NodeName) {
        self.members.remove(daemon);
        self.reports.remove(daemon);
    }

    /// Sets the live members, with or without the local one. A member that is missing keeps its
    /// equal share for [`RETENTION`], and beyond that while most members are missing, in which case
    /// the local daemon is the one that is cut off.
    pub fn set_members(&mut self, now: Moment, members: impl Iterator<Item = NodeName>) {
        let alive: BTreeSet<NodeName> = members.collect();
        for (name, failed_since) in &mut self.members {
            match alive.contains(name) {
                true => *failed_since = None,
                false => *failed_since = failed_since.or(Some(now)),
            }
        }
        for name in alive {
            self.members.entry(name).or_insert(None);
        }
        let failed = self.members.values().filter(|failed_since| failed_since.is_some()).count();
        if 2 * failed < self.members.len() {
            self.members.retain(|_, failed| failed.is_none_or(|since| now < since + RETENTION));
        }
        let members = &self.members;
        self.reports.retain(|name, report| members.contains_key(name) || report.is_valid(now));
    }

    /// Whether a report of another daemon or of the local one may be in use somewhere.
    pub fn is_active(&self, now: Moment) -> bool {
        self.reports.values().any(|report| report.is_valid(now))
            || self.announcements.iter().any(|announcement| now < announcement.sent_at + HOLD)
    }

    /// Whether the whole demand of the local daemon has been announced long enough ago to be used.
    pub fn covers(&self, now: Moment, own: &Demand) -> bool {
        now >= self.started + HOLD && self.committed_claim(now, own) == DaemonClaim::new(own)
    }

    /// Returns the share of the local daemon, to be used for at most [`EVALUATION_INTERVAL`].
    ///
    /// `own` is its current demand; `capacity_per_second` is the number of requests per second that
    /// all servers of the service can handle.
    pub fn share(
        &mut self,
        now: Moment,
        local: &NodeName,
        own: &Demand,
        capacity_per_second: f64,
    ) -> Share {
        let capacity = sanitize(capacity_per_second);
        let others: Vec<Bound> = self.others(now, local);
        let daemons = others.len() + 1;
        let equal = capacity / daemons as f64;
        let is_known = |bound: &Bound| matches!(bound, Bound::Reported(_));
        let is_fallback = !others.is_empty() && !others.iter().any(is_known);
        // Others may hold a report of an earlier run, or not know this daemon yet.
        if now < self.started + HOLD {
            self.in_use = None;
            return Share { requests_per_second: 0.0, is_fallback: true };
        }
        if daemons > MAX_DAEMONS {
            return Share { requests_per_second: equal, is_fallback: true };
        }
        let claim = self.committed_claim(now, own);
        self.in_use = Some(ClaimInUse { since: now, claim, tenants: own.tenants.clone() });
        let own = Bound::Reported(claim);
        let requests_per_second = own_part(own, &others, capacity, equal);
        Share { requests_per_second, is_fallback }
    }

    fn others(&self, now: Moment, local: &NodeName) -> Vec<Bound> {
        let members = self.members.iter().filter(|(name, _)| *name != local);
        let listed = members.map(|(name, failed_since)| self.bound(now, name, *failed_since));
        // A daemon that reports before membership knows it counts as a member.
        let unlisted = self.reports.iter().filter(|(name, report)| {
            *name != local && !self.members.contains_key(*name) && report.is_valid(now)
        });
        listed.chain(unlisted.map(|(_, report)| Bound::Reported(report.claim))).collect()
    }

    fn bound(&self, now: Moment, name: &NodeName, failed_since: Option<Moment>) -> Bound {
        let report = self.reports.get(name).filter(|report| report.is_valid(now));
        match (report, failed_since) {
            (Some(report), _) => Bound::Reported(report.claim),
            (None, Some(since)) if now >= since + HOLD => Bound::CutOff,
            (None, _) => Bound::Unknown,
        }
    }

    /// The part of the current demand that every announcement in use covers.
    fn committed_claim(&self, now: Moment, own: &Demand) -> DaemonClaim {
        let announced = self.announcements.iter();
        announced
            .filter(|announcement| now < announcement.sent_at + HOLD)
            .fold(DaemonClaim::new(own), |claim, announcement| claim.min(announcement.claim))
    }
}

impl Report {
    fn is_valid(&self, now: Moment) -> bool {
        now < self.valid_until
    }

    fn clock_offset_at(&self, now: Moment) -> f64 {
        let elapsed = millis(now.saturating_sub(self.received_at));
        self.clock_offset + elapsed * MAX_DRIFT_PER_MILLI
    }
}

/// Returns the part of the capacity that `own` may use beside `others`.
fn own_part(own: Bound, others: &[Bound], capacity: f64, equal: f64) -> f64 {
    let bounds = || std::iter::once(own).chain(others.iter().copied());
    let base: f64 = bounds().map(|bound| bound.base(equal)).sum();
    let surplus = (capacity - base).max(0.0);
    let excess: Vec<Claim> = bounds().flat_map(|bound| bound.claim().excess(equal)).collect();
    let parts = divide(surplus, &excess);
    let borrowed: f64 = parts[..CLASSES].iter().sum();
    let spare = (surplus - parts.iter().sum::<f64>()).max(0.0);
    own.base(equal) + borrowed + spare / (others.len() + 1) as f64
}

/// Divides a daemon's share among its tenants, in the order of `tenants`, in requests per second.
pub fn tenant_shares(share: Share, tenants: &[TenantDemand]) -> Vec<f64> {
    let claim = |tenant: &TenantDemand| Claim {
        demand: sanitize(tenant.requests_per_second),
        weight: sanitize(tenant.weight).max(f64::MIN_POSITIVE),
    };
    let claims: Vec<Claim> = tenants.iter().map(claim).collect();
    divide(share.requests_per_second, &claims)
}

fn millis(moment: Moment) -> f64 {
    moment.as_secs_f64() * 1000.0
}

/// Values from the network may be negative or not a number.
fn sanitize(value: f64) -> f64 {
    if value.is_nan() {
        0.0
    } else {
        value.max(0.0)
    }
}
