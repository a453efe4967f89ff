//! The state of a server.

use std::time::Duration;

use super::health::ServerHealth;
use super::keys::ModelKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use crate::identity::Incarnation;
use crate::Moment;

/// Time from a load command until the server is expected to have loaded the version.
pub const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(850);
/// Time after which a load that the registration does not show is assumed to have failed.
const PENDING_LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a deregistered server is still used if its service has no ready one. Registrations may
/// expire while the store is unavailable although the servers are healthy.
pub const DEREGISTRATION_GRACE: Duration = Duration::from_millis(1200);

/// The parts of a server's registration that placement depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The incarnation of the server; zero if servers do not report one.
    pub incarnation: Incarnation,
    pub service: ServiceKey,
    pub zone: ZoneKey,
    /// Number of requests the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and accepts no new requests.
    pub is_draining: bool,
    /// Versions of the loaded models.
    pub versions: Vec<(ModelKey, u64)>,
    /// Remaining time for which the server is cold, as of the time the registration was written.
    pub cold_for: Duration,
    /// The store's revision of the registration. A revision that is read again does not restart
    /// `cold_for`.
    pub revision: u64,
}

/// Rate limit of a server while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartLimit {
    /// Requests per second, from all daemons together.
    pub per_second: f64,
    /// How long a server is cold after it starts.
    pub duration: Duration,
}

/// A load of a model version that a server has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    pub model: ModelKey,
    pub version: u64,
    /// When this daemon learned of the load.
    pub since: Moment,
}

/// A server in the arena.
#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    /// Its latest registration.
    pub registration: Registration,
    /// When the server was deregistered, if it is.
    pub deregistered_at: Option<Moment>,
    /// End of the cold period according to the registration.
    cold_until: Moment,
    /// End of a cold period that holds whatever the registration says.
    assumed_cold_until: Moment,
    /// The last load that the server accepted.
    last_load: Option<PendingLoad>,
    /// Expiry times of the permits for this server. Each permit allows one request while the server
    /// is cold.
    pub permits: Vec<Moment>,
    pub health: ServerHealth,
}

impl Server {
    /// Creates a server that was registered at `now`.
    pub fn new(now: Moment, id: &str, registration: Registration) -> Self {
        let cold_until = now.saturating_add(registration.cold_for);
        Self {
            id: id.to_owned(),
            registration,
            deregistered_at: None,
            cold_until,
            assumed_cold_until: Moment::ZERO,
            last_load: None,
            permits: Vec::new(),
            health: ServerHealth::default(),
        }
    }

    /// Replaces the registration. The cold period is updated only by a newer revision.
    pub fn update_registration(&mut self, now: Moment, registration: Registration) {
        if registration.revision > self.registration.revision {
            self.cold_until = now.saturating_add(registration.cold_for);
        }
        self.registration = registration;
        self.deregistered_at = None;
    }

    /// Treats the server as cold until `until`, whatever its registration says.
    pub fn assume_cold(&mut self, until: Moment) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether the server is cold or assumed to be cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until.max(self.assumed_cold_until)
    }

    /// Whether the server is registered and not draining.
    pub fn is_ready(&self) -> bool {
        self.deregistered_at.is_none() && !self.registration.is_draining
    }

    /// Whether the server was deregistered recently without draining, so that it may still be
    /// serving.
    pub fn is_in_grace_period(&self, now: Moment) -> bool {
        let since = self.deregistered_at.filter(|_| !self.registration.is_draining);
        since.is_some_and(|since| now < since + DEREGISTRATION_GRACE)
    }

    /// Number of slots that are not used by this daemon's requests.
    pub fn free_slots(&self) -> u32 {
        self.registration.slots.saturating_sub(self.health.in_flight)
    }

    /// The version of a model that the registration shows.
    pub fn registered_version(&self, model: ModelKey) -> Option<u64> {
        let held = self.registration.versions.iter().find(|(held, _)| *held == model);
        held.map(|(_, version)| *version)
    }

    /// Records that the server has accepted a load command.
    pub fn record_load_command(&mut self, load: PendingLoad) {
        self.last_load = Some(load);
    }

    /// The load in progress, unless the registration already shows the version.
    pub fn pending_load(&self, now: Moment) -> Option<PendingLoad> {
        let load = self.last_load?;
        let is_registered =
            self.registered_version(load.model).is_some_and(|held| held >= load.version);
        let is_recent = now < load.since + PENDING_LOAD_TIMEOUT;
        (!is_registered && is_recent).then_some(load)
    }

    /// Whether there is a valid permit.
    pub fn has_permit(&self, now: Moment) -> bool {
        self.permits.iter().any(|until| now < *until)
    }

    /// Uses the permit that expires first.
    pub fn use_permit(&mut self, now: Moment) {
        self.permits.retain(|until| now < *until);
        let next_expiring = (0..self.permits.len()).min_by_key(|index| self.permits[*index]);
        if let Some(index) = next_expiring {
            self.permits.swap_remove(index);
        }
    }
}
