//! Which servers may run a request.
//!
//! Every rule that keeps a request from a server stands here, in [`exclusion`]; what is left is
//! ranked. Rules that hold for all requests of a kind come first, those that concern one request's
//! own history last.

use super::keys::ModelKey;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::server::Server;
use super::server::EXPECTED_LOAD_TIME;
use crate::Moment;

/// What requests of one kind need of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requirements {
    /// The service.
    pub service: ServiceKey,
    /// The model and the oldest version of it, where one is needed.
    pub model: Option<(ModelKey, u64)>,
    /// The regions in which it may run; anywhere where there are none.
    pub allowed_regions: Option<RegionSetKey>,
}

/// What became of one request so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Servers that may not be sent it again.
    pub tried: Vec<ServerKey>,
    /// Servers that failed at it: used again only if there is no other that fits.
    pub failed: Vec<ServerKey>,
    /// The server whose attempt ended last: not the next one, if there is another.
    pub last: Option<ServerKey>,
    /// Whether it may end the server that runs it, so that it is kept apart from other requests.
    pub is_isolated: bool,
    /// Whether it is likely to end it: the last sound server of several is not risked for it.
    pub spares_last_healthy: bool,
}

/// Whether a server can run requests of a model under a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// Its entry says so.
    Registered,
    /// It may have loaded this version by now; a request has to say which version it expects.
    Expected(u64),
    /// It cannot.
    Unavailable,
}

/// Why a server may not run a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// Its process ended a moment ago, and its entry still stands. What starts in its place may be listed at
    /// any time.
    ServerExited,
    /// Its entry went, or says that it is about to leave.
    NotReady,
    /// The operator has its zone evacuated.
    Evacuated,
    /// It stands in a region that is none of the request's homes.
    RegionNotAllowed,
    /// It has not the version of the weights that is needed.
    VersionMismatch,
    /// It has as many requests of this daemon as fall to it.
    InFlightLimit,
    /// All of its places are taken, as far as is known.
    NoFreeSlot,
    /// It failed or refused a moment ago.
    Backoff,
    /// It is cold, and no permit is at hand.
    NoPermit,
    /// The request may not be sent there again.
    AlreadyTried,
    /// It is the last sound one, and the request is likely to end it.
    LastHealthy,
}

impl Exclusion {
    /// Its name in logs and metrics.
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

/// What an exclusion depends on beside the server.
#[derive(Debug, Clone, Copy)]
pub struct EligibilityContext {
    /// The time.
    pub now: Moment,
    /// Whether the service has a server whose entry is there and which does not leave.
    pub has_ready_server: bool,
    /// Whether the server's zone is evacuated.
    pub is_evacuated: bool,
    /// Whether the server's region is one of the request's homes.
    pub is_region_allowed: bool,
    /// Requests that this daemon may have at one server of the service.
    pub max_in_flight: u32,
    /// Whether a cold server of the service may only be sent to with a permit.
    pub needs_permit: bool,
}

/// Why a server may not be sent anything of a need at all, whatever its load; nothing if it may.
pub fn check_eligibility(
    server: &Server,
    requirements: &Requirements,
    context: &EligibilityContext,
) -> Option<Exclusion> {
    let is_ready =
        server.is_ready() || (!context.has_ready_server && server.is_in_grace_period(context.now));
    if !is_ready {
        return Some(Exclusion::NotReady);
    }
    if context.is_evacuated {
        return Some(Exclusion::Evacuated);
    }
    if !context.is_region_allowed {
        return Some(Exclusion::RegionNotAllowed);
    }
    if server.health.has_exited(context.now) {
        return Some(if server.is_ready() { Exclusion::ServerExited } else { Exclusion::NotReady });
    }
    (version_status(server, requirements, context.now) == VersionStatus::Unavailable)
        .then_some(Exclusion::VersionMismatch)
}

/// Why a server cannot be sent a request now, though nothing bars it.
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

/// Whether a server can run requests of a need, by the version of its weights.
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
