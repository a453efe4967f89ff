//! Which servers may run a request.
//!
//! All rules that exclude a server are in this module; the remaining servers are ranked by
//! [`rank`](super::rank). [`check_eligibility`] depends on the requirements only,
//! [`check_availability`] also on the load. Rules that depend on a request's own attempts are
//! applied by the caller.

use super::keys::ModelKey;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::server::Server;
use super::server::EXPECTED_LOAD_TIME;
use crate::Moment;

/// What requests of one kind require of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requirements {
    pub service: ServiceKey,
    /// The model and its minimum version, if one is required.
    pub model: Option<(ModelKey, u64)>,
    /// The regions in which the request may run; `None` allows any region.
    pub allowed_regions: Option<RegionSetKey>,
}

/// The previous attempts of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Servers that must not be sent the request again.
    pub tried: Vec<ServerKey>,
    /// Servers that failed for the request. They are used again only if no other server is
    /// eligible.
    pub failed: Vec<ServerKey>,
    /// The server of the last attempt. Another one is preferred.
    pub last: Option<ServerKey>,
    /// Whether the request may crash its server and must be kept away from other requests.
    pub is_isolated: bool,
    /// Whether the request must not run on the last healthy server of a service that has several.
    pub spares_last_healthy: bool,
}

/// Whether a server has the required version of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// Its registration shows the version.
    Registered,
    /// It should have loaded this version by now, but its registration does not show it yet. The
    /// request must state the version that it expects.
    Expected(u64),
    /// It does not have the version.
    Unavailable,
}

/// Why a server cannot run a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// Its process has exited, and it is still registered or was a moment ago. A replacement may
    /// register at any time.
    ServerExited,
    /// It is not registered, or is draining.
    NotReady,
    /// Its zone is evacuated by the operator.
    Evacuated,
    /// Its region is not one of the allowed regions.
    RegionNotAllowed,
    /// It does not have the required version of the weights.
    VersionMismatch,
    /// This daemon has reached its limit of requests in flight on the server.
    InFlightLimit,
    /// It has no free slot, as far as this daemon knows.
    NoFreeSlot,
    /// It is in backoff after a failure or rejection.
    Backoff,
    /// It is cold and no permit is available.
    NoPermit,
    /// The request must not be sent to it again.
    AlreadyTried,
    /// It is the last healthy server, and the request is likely to crash it.
    LastHealthy,
}

impl Exclusion {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerExited => "ended",
            Self::NotReady => "gone",
            Self::Evacuated => "evacuated",
            Self::RegionNotAllowed => "outside_homes",
            Self::VersionMismatch => "version",
            Self::InFlightLimit => "share",
            Self::NoFreeSlot => "full",
            Self::Backoff => "avoided",
            Self::NoPermit => "cold",
            Self::AlreadyTried => "tried",
            Self::LastHealthy => "last",
        }
    }
}

/// Conditions other than the server's own state that decide whether it is excluded.
#[derive(Debug, Clone, Copy)]
pub struct EligibilityContext {
    pub now: Moment,
    /// Whether the service has any ready server whose process has not exited.
    pub has_ready_server: bool,
    pub is_evacuated: bool,
    /// Whether the server's region is one of the allowed regions.
    pub is_region_allowed: bool,
    /// Maximum number of requests this daemon may have in flight on the server.
    pub max_in_flight: u32,
    /// Whether a cold server of the service requires a permit per request.
    pub needs_permit: bool,
}

/// Returns why a server is ineligible for `requirements` regardless of its load, or `None` if it is
/// eligible.
pub fn check_eligibility(
    server: &Server,
    requirements: &Requirements,
    context: &EligibilityContext,
) -> Option<Exclusion> {
    let is_usable =
        server.is_ready() || (!context.has_ready_server && server.is_in_grace_period(context.now));
    if !is_usable {
        return Some(Exclusion::NotReady);
    }
    if context.is_evacuated {
        return Some(Exclusion::Evacuated);
    }
    if !context.is_region_allowed {
        return Some(Exclusion::RegionNotAllowed);
    }
    if server.health.has_exited(context.now) {
        return Some(Exclusion::ServerExited);
    }
    (version_status(server, requirements, context.now) == VersionStatus::Unavailable)
        .then_some(Exclusion::VersionMismatch)
}

/// Returns why an eligible server cannot be sent a request now, or `None` if it can.
pub fn check_availability(
    server: &Server,
    context: &EligibilityContext,
    needs_slot: bool,
) -> Option<Exclusion> {
    if server.health.in_flight >= context.max_in_flight {
        return Some(Exclusion::InFlightLimit);
    }
    if needs_slot && server.free_slots() == 0 {
        return Some(Exclusion::NoFreeSlot);
    }
    if needs_slot && server.health.is_in_backoff(context.now) {
        return Some(Exclusion::Backoff);
    }
    let needs_permit = context.needs_permit && server.is_cold(context.now);
    (needs_permit && !server.has_permit(context.now)).then_some(Exclusion::NoPermit)
}

/// Whether a server has the required version of a model.
pub fn version_status(server: &Server, requirements: &Requirements, now: Moment) -> VersionStatus {
    let Some((model, min_version)) = requirements.model else {
        return VersionStatus::Registered;
    };
    if let Some(load) = server.pending_load(now).filter(|load| load.model == model) {
        let may_be_loaded = now >= load.since + EXPECTED_LOAD_TIME;
        return if may_be_loaded && load.version >= min_version {
            VersionStatus::Expected(load.version)
        } else {
            VersionStatus::Unavailable
        };
    }
    match server.registered_version(model) {
        Some(version) if version >= min_version => VersionStatus::Registered,
        _ => VersionStatus::Unavailable,
    }
}
