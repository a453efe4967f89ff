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
    Listed,
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
    Ended,
    /// Its entry went, or says that it is about to leave.
    Gone,
    /// The operator has its zone evacuated.
    Evacuated,
    /// It stands in a region that is none of the request's homes.
    OutsideHomes,
    /// It has not the version of the weights that is needed.
    Version,
    /// It has as many requests of this daemon as fall to it.
    Share,
    /// All of its places are taken, as far as is known.
    Full,
    /// It failed or refused a moment ago.
    Avoided,
    /// It is cold, and no permit is at hand.
    Cold,
    /// The request may not be sent there again.
    Tried,
    /// It is the last sound one, and the request is likely to end it.
    Last,
}

impl Exclusion {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Gone => "gone",
            Self::Evacuated => "evacuated",
            Self::OutsideHomes => "outside_homes",
            Self::Version => "version",
            Self::Share => "share",
            Self::Full => "full",
            Self::Avoided => "avoided",
            Self::Cold => "cold",
            Self::Tried => "tried",
            Self::Last => "last",
        }
    }
}

/// What an exclusion depends on beside the server.
#[derive(Debug, Clone, Copy)]
pub struct Circumstances {
    /// The time.
    pub now: Moment,
    /// Whether the service has a server whose entry is there and which does not leave.
    pub has_listed: bool,
    /// Whether the server's zone is evacuated.
    pub is_evacuated: bool,
    /// Whether the server's region is one of the request's homes.
    pub is_home: bool,
    /// Requests that this daemon may have at one server of the service.
    pub share: u32,
    /// Whether a cold server of the service may only be sent to with a permit.
    pub needs_permit: bool,
}

/// Why a server may not be sent anything of a need at all, whatever its load; nothing if it may.
pub fn barred(
    server: &Server,
    requirements: &Requirements,
    at: &Circumstances,
) -> Option<Exclusion> {
    let is_usable = server.is_ready() || (!at.has_listed && server.is_lapsed(at.now));
    if !is_usable {
        return Some(Exclusion::Gone);
    }
    if at.is_evacuated {
        return Some(Exclusion::Evacuated);
    }
    if !at.is_home {
        return Some(Exclusion::OutsideHomes);
    }
    if server.load.has_ended(at.now) {
        return Some(if server.is_ready() { Exclusion::Ended } else { Exclusion::Gone });
    }
    (version_status(server, requirements, at.now) == VersionStatus::Unavailable)
        .then_some(Exclusion::Version)
}

/// Why a server cannot be sent a request now, though nothing bars it.
pub fn engaged(server: &Server, at: &Circumstances, needs_slot: bool) -> Option<Exclusion> {
    if server.load.in_flight >= at.share {
        return Some(Exclusion::Share);
    }
    if needs_slot && server.free_slots() == 0 {
        return Some(Exclusion::Full);
    }
    if needs_slot && server.load.is_in_backoff(at.now) {
        return Some(Exclusion::Avoided);
    }
    let needs_permit = at.needs_permit && server.is_cold(at.now);
    (needs_permit && !server.has_permit(at.now)).then_some(Exclusion::Cold)
}

/// Whether a server can run requests of a need, by the version of its weights.
pub fn version_status(server: &Server, requirements: &Requirements, now: Moment) -> VersionStatus {
    let Some((model, min_version)) = requirements.model else {
        return VersionStatus::Listed;
    };
    if let Some(order) = server.pending_load(now).filter(|order| order.model == model) {
        let may_be_loaded = now >= order.since + EXPECTED_LOAD_TIME;
        return if may_be_loaded && order.version >= min_version {
            VersionStatus::Expected(order.version)
        } else {
            VersionStatus::Unavailable
        };
    }
    match server.listed_version(model) {
        Some(version) if version >= min_version => VersionStatus::Listed,
        _ => VersionStatus::Unavailable,
    }
}
