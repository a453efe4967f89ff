//! What is known of a server.

use std::time::Duration;

use super::health::ServerHealth;
use super::keys::ModelKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use crate::identity::Incarnation;
use crate::Moment;

/// Time from an order until the server may have loaded the version.
pub const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(850);
/// Time after which an order that does not show is no longer believed in.
const PENDING_LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a server whose entry went is still used where its service has no listed one. Entries
/// may lapse while the store is down although the servers are well.
pub const DEREGISTRATION_GRACE: Duration = Duration::from_millis(1200);

/// What a server's entry says, as the decisions need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The run of the server that wrote it; zero where servers do not say.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: ServiceKey,
    /// Its zone.
    pub zone: ZoneKey,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave and gets nothing new.
    pub is_draining: bool,
    /// Versions of the models that it holds.
    pub versions: Vec<(ModelKey, u64)>,
    /// How much longer it is cold, counted from when the entry was written.
    pub cold_for: Duration,
    /// The store's revision of the entry: one that is read again tells nothing new.
    pub revision: u64,
}

/// What a server of a service bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartLimit {
    /// Requests a second, from all daemons together.
    pub per_second: f64,
    /// How long a server is cold after its start.
    pub duration: Duration,
}

/// An order to load a version that a server has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    /// The model.
    pub model: ModelKey,
    /// The version.
    pub version: u64,
    /// When this daemon heard of it.
    pub since: Moment,
}

/// A server in the arena.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its identifier.
    pub id: String,
    /// What its entry says.
    pub registration: Registration,
    /// Since when its entry is gone, if it is.
    pub deregistered_at: Option<Moment>,
    /// Until when it is cold by its entry.
    cold_until: Moment,
    /// Until when it has to be taken for cold whatever its entry says.
    assumed_cold_until: Moment,
    /// The order that it took last.
    last_load: Option<PendingLoad>,
    /// Permits to send one request each to it while it is cold: until when each holds.
    pub permits: Vec<Moment>,
    /// Load and health.
    pub health: ServerHealth,
}

impl Server {
    /// A server that was listed at `now`.
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

    /// Takes a newer entry in. One that is known already says nothing of how cold the server is now.
    pub fn update_registration(&mut self, now: Moment, registration: Registration) {
        if registration.revision > self.registration.revision {
            self.cold_until = now.saturating_add(registration.cold_for);
        }
        self.registration = registration;
        self.deregistered_at = None;
    }

    /// Takes the server for cold until then, whatever its entry says.
    pub fn assume_cold(&mut self, until: Moment) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether the server may be cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until.max(self.assumed_cold_until)
    }

    /// Whether it takes requests, as far as its entry says.
    pub fn is_ready(&self) -> bool {
        self.deregistered_at.is_none() && !self.registration.is_draining
    }

    /// Whether its entry went so short a time ago that it may serve on.
    pub fn is_in_grace_period(&self, now: Moment) -> bool {
        let since = self.deregistered_at.filter(|_| !self.registration.is_draining);
        since.is_some_and(|since| now < since + DEREGISTRATION_GRACE)
    }

    /// Requests that it could take beside those that this daemon has there.
    pub fn free_slots(&self) -> u32 {
        self.registration.slots.saturating_sub(self.health.in_flight)
    }

    /// The version of a model that its entry shows.
    pub fn registered_version(&self, model: ModelKey) -> Option<u64> {
        let held = self.registration.versions.iter().find(|(held, _)| *held == model);
        held.map(|(_, version)| *version)
    }

    /// Notes an order that it has taken.
    pub fn record_load_command(&mut self, load: PendingLoad) {
        self.last_load = Some(load);
    }

    /// The order that it works on, if its entry does not show the version yet.
    pub fn pending_load(&self, now: Moment) -> Option<PendingLoad> {
        let load = self.last_load?;
        let is_registered =
            self.registered_version(load.model).is_some_and(|held| held >= load.version);
        let is_recent = now < load.since + PENDING_LOAD_TIMEOUT;
        (!is_registered && is_recent).then_some(load)
    }

    /// Whether a permit to send it a request is at hand.
    pub fn has_permit(&self, now: Moment) -> bool {
        self.permits.iter().any(|until| now < *until)
    }

    /// Uses the permit that holds the shortest time.
    pub fn use_permit(&mut self, now: Moment) {
        self.permits.retain(|until| now < *until);
        let next_expiring = (0..self.permits.len()).min_by_key(|index| self.permits[*index]);
        if let Some(index) = next_expiring {
            self.permits.swap_remove(index);
        }
    }
}
