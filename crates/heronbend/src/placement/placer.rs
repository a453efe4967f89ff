//! The state of the [`Placer`] and its updates. Its decisions are in [`super::decisions`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::eligibility::Requirements;
use super::eligibility::VersionStatus;
use super::exclusion_counts::ExclusionCounts;
use super::health::AttemptOutcome;
use super::keys::Interner;
use super::keys::ModelKey;
use super::keys::RegionKey;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use super::queue::Queue;
use super::running::Runs;
use super::server::ColdStartLimit;
use super::server::PendingLoad;
use super::server::Registration;
use super::server::Server;
use super::server::DEREGISTRATION_GRACE;
use super::slack::Paces;
use crate::Moment;

/// Weight of a new sample in a service's baseline latency. It is low, so that a server that becomes
/// slow is noticed even by a daemon that uses no other server.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.02;
/// Latency added by a server in another zone of the same region. It exceeds the network round trip,
/// so that calls prefer their own zone.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(2);
/// Latency added by a server in another region.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(20);
/// Delay before permits are requested again after a request was declined without a retry time.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The server chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    pub server: ServerKey,
    /// Whether the server has the required version of the weights.
    pub version_status: VersionStatus,
}

/// Permits that waiting requests could use on a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDemand {
    pub server: ServerKey,
    /// Number of permits that could be used now.
    pub permits: u32,
}

/// Limits and latency of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceState {
    /// Maximum number of requests this daemon may have in flight per server.
    pub(super) max_in_flight: Option<u32>,
    /// Rate limit of a cold server; `None` if cold servers are not limited.
    pub(super) cold_start: Option<ColdStartLimit>,
    /// Long-term mean latency, in milliseconds.
    pub(super) baseline_millis: Option<f64>,
}

/// A cached set of eligible servers.
pub(super) struct EligibleServers {
    pub(super) requirements: Requirements,
    /// Value of [`Placer::change_count`] when the set was computed.
    pub(super) change_count: u64,
    pub(super) computed_at: Moment,
    pub(super) servers: Rc<[ServerKey]>,
    pub(super) exclusions: ExclusionCounts,
}

pub(super) struct ArenaSlot {
    generation: u32,
    server: Option<Server>,
}

/// Decides which server runs a request, how long requests wait, and when they are rejected.
///
/// It performs no I/O: callers report servers, limits, requests and the time, and carry out its
/// decisions.
pub struct Placer {
    pub(super) services: Interner<ServiceKey>,
    pub(super) zones: Interner<ZoneKey>,
    pub(super) regions: Interner<RegionKey>,
    pub(super) models: Interner<ModelKey>,
    pub(super) region_sets: Vec<BTreeSet<RegionKey>>,
    pub(super) region_of: HashMap<ZoneKey, RegionKey>,
    pub(super) local_zone: Option<ZoneKey>,
    pub(super) evacuated: BTreeSet<ZoneKey>,
    /// Whether the evacuated zones are still unknown. No server is eligible until they are known.
    pub(super) awaits_evacuations: bool,
    pub(super) service_states: HashMap<ServiceKey, ServiceState>,
    pub(super) arena: Vec<ArenaSlot>,
    /// Indices of `arena` that hold no server.
    free_indices: Vec<u32>,
    /// Deregistered servers that are not evicted yet. Kept separately, so that a deregistration
    /// does not scan all servers.
    deregistered: BTreeSet<ServerKey>,
    pub(super) by_id: HashMap<String, ServerKey>,
    pub(super) by_service: BTreeMap<ServiceKey, BTreeSet<ServerKey>>,
    pub(super) queue: Queue,
    /// Batch items in progress; empty unless they are scheduled by slack.
    pub(super) runs: Runs,
    pub(super) paces: Paces,
    pub(super) schedules_by_slack: bool,
    /// Number of requests in flight that may crash their server.
    pub(super) suspects: u32,
    /// Cold servers for which permits have been requested. The value is `None` while a request is
    /// in flight, else the time after which permits may be requested again.
    pub(super) permit_requests: HashMap<ServerKey, Option<Moment>>,
    pub(super) permit_demand: BTreeMap<ServerKey, u32>,
    pub(super) random: SmallRng,
    /// Start of this daemon's subset of servers, as a fraction of the arena from 0 to 1.
    pub(super) subset_offset: f64,
    /// Incremented by each change that may affect eligibility; invalidates `eligible_cache`.
    pub(super) change_count: u64,
    /// Recently computed sets of eligible servers, at most one for each set of requirements.
    pub(super) eligible_cache: Vec<EligibleServers>,
}

impl Placer {
    /// Creates an empty placer. `seed` initializes the random choice between equal servers.
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let subset_offset = random.random();
        Self {
            services: Interner::default(),
            zones: Interner::default(),
            regions: Interner::default(),
            models: Interner::default(),
            region_sets: Vec::new(),
            region_of: HashMap::new(),
            local_zone: None,
            evacuated: BTreeSet::new(),
            awaits_evacuations: false,
            service_states: HashMap::new(),
            arena: Vec::new(),
            free_indices: Vec::new(),
            deregistered: BTreeSet::new(),
            by_id: HashMap::new(),
            by_service: BTreeMap::new(),
            queue: Queue::default(),
            runs: Runs::default(),
            paces: Paces::default(),
            schedules_by_slack: false,
            suspects: 0,
            permit_requests: HashMap::new(),
            permit_demand: BTreeMap::new(),
            random,
            subset_offset,
            change_count: 0,
            eligible_cache: Vec::new(),
        }
    }

    // Names.

    /// Returns the key of a service.
    pub fn service(&mut self, name: &str) -> ServiceKey {
        self.services.key(name)
    }

    /// Returns the key of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneKey {
        self.zones.key(name)
    }

    /// Returns the key of a model.
    pub fn model(&mut self, name: &str) -> ModelKey {
        self.models.key(name)
    }

    /// Returns the name of a model.
    pub fn model_name(&self, key: ModelKey) -> &str {
        self.models.name(key)
    }

    /// Returns the key of a set of allowed regions. An empty set allows no region.
    pub fn region_set<'a>(&mut self, regions: impl Iterator<Item = &'a str>) -> RegionSetKey {
        let set: BTreeSet<RegionKey> = regions.map(|name| self.regions.key(name)).collect();
        let known = self.region_sets.iter().position(|known| *known == set);
        let index = known.unwrap_or_else(|| {
            self.region_sets.push(set);
            self.region_sets.len() - 1
        });
        RegionSetKey::from(u32::try_from(index).unwrap_or(u32::MAX))
    }

    // Topology.

    /// Sets the region of a zone.
    pub fn set_region(&mut self, zone: &str, region: &str) {
        self.change_count += 1;
        let (zone, region) = (self.zones.key(zone), self.regions.key(region));
        self.region_of.insert(zone, region);
    }

    /// Whether any known zone is in the region.
    pub fn is_known_region(&self, name: &str) -> bool {
        self.region_of.values().any(|region| self.regions.name(*region) == name)
    }

    /// Sets the zone of this daemon.
    pub fn set_local_zone(&mut self, zone: &str) {
        self.local_zone = Some(self.zones.key(zone));
    }

    /// Network latency that a server in `zone` adds to a request.
    pub fn zone_latency(&self, zone: ZoneKey) -> Duration {
        if Some(zone) == self.local_zone {
            return Duration::ZERO;
        }
        let region = |zone: ZoneKey| self.region_of.get(&zone);
        let is_far = match (region(zone), self.local_zone.and_then(region)) {
            (Some(other_region), Some(local_region)) => other_region != local_region,
            _ => false,
        };
        if is_far {
            CROSS_REGION_LATENCY
        } else {
            CROSS_ZONE_LATENCY
        }
    }

    // Limits.

    /// Enables scheduling by slack: batch items with time to spare leave the fast servers to those
    /// that need them.
    pub fn set_slack_scheduling(&mut self, is_enabled: bool) {
        self.schedules_by_slack = is_enabled;
    }

    /// Whether scheduling by slack is enabled. It applies where [`Self::uses_slack`] holds.
    pub fn schedules_by_slack(&self) -> bool {
        self.schedules_by_slack
    }

    /// Sets the limits of a service: the number of requests this daemon may have in flight per
    /// server, and the rate limit of cold servers, if there is one.
    pub fn set_service_limits(
        &mut self,
        name: &str,
        max_in_flight: u32,
        cold_start: Option<ColdStartLimit>,
    ) {
        let service = self.services.key(name);
        let cold_start = cold_start.filter(|limit| limit.per_second > 0.0);
        let state = self.service_states.entry(service).or_default();
        (state.max_in_flight, state.cold_start) = (Some(max_in_flight), cold_start);
    }

    /// Returns the rate limit that applies to a server while it is cold, if there is one.
    pub fn cold_start_limit(&self, key: ServerKey) -> Option<ColdStartLimit> {
        let service = self.get(key)?.registration.service;
        self.service_states.get(&service)?.cold_start
    }

    /// Makes all servers ineligible until [`Self::mark_evacuations_loaded`] is called.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// Marks the evacuated zones as known.
    pub fn mark_evacuations_loaded(&mut self) {
        self.change_count += 1;
        self.awaits_evacuations = false;
    }

    /// Whether the evacuated zones are known.
    pub fn evacuations_loaded(&self) -> bool {
        !self.awaits_evacuations
    }

    /// Excludes the servers of a zone from new requests.
    pub fn evacuate(&mut self, zone: &str) {
        self.change_count += 1;
        let zone = self.zones.key(zone);
        self.evacuated.insert(zone);
    }

    /// Ends the evacuation of a zone. Its servers are treated as cold, since they may have become
    /// cold before their registrations show it.
    pub fn end_evacuation(&mut self, now: Moment, zone: &str) {
        self.change_count += 1;
        let zone = self.zones.key(zone);
        if !self.evacuated.remove(&zone) {
            return;
        }
        let service_states = &self.service_states;
        for server in self.arena.iter_mut().filter_map(|slot| slot.server.as_mut()) {
            let cold_start = service_states
                .get(&server.registration.service)
                .and_then(|service| service.cold_start);
            if let Some(cold_start) = cold_start.filter(|_| server.registration.zone == zone) {
                server.assume_cold(now + cold_start.duration);
            }
        }
    }

    // Servers.

    /// Adds or updates a server.
    ///
    /// A new incarnation of a known server gets a new key and starts without the state of the
    /// previous one. A registration of an older incarnation is ignored.
    pub fn register(&mut self, now: Moment, id: &str, registration: Registration) -> ServerKey {
        self.change_count += 1;
        let known =
            self.key(id).and_then(|key| Some((key, self.get(key)?.registration.incarnation)));
        match known {
            Some((key, known)) if known > registration.incarnation => return key,
            Some((key, known)) if known == registration.incarnation => {
                self.update_registration(now, key, registration);
                return key;
            }
            Some((key, _)) => self.evict(key),
            None => {}
        }
        let service = registration.service;
        let key = self.insert_server(Server::new(now, id, registration));
        self.by_id.insert(id.to_owned(), key);
        self.by_service.entry(service).or_default().insert(key);
        key
    }

    /// Updates the registration of a known incarnation.
    fn update_registration(&mut self, now: Moment, key: ServerKey, registration: Registration) {
        self.deregistered.remove(&key);
        let service = registration.service;
        let Some(server) = self.get_mut(key) else {
            return;
        };
        let previous = server.registration.service;
        server.update_registration(now, registration);
        if previous != service {
            self.remove_from_service(previous, key);
        }
        self.by_service.entry(service).or_default().insert(key);
    }

    fn insert_server(&mut self, server: Server) -> ServerKey {
        if let Some(index) = self.free_indices.pop() {
            let slot = &mut self.arena[index as usize];
            slot.generation += 1;
            slot.server = Some(server);
            return ServerKey { index, generation: slot.generation };
        }
        let index = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        self.arena.push(ArenaSlot { generation: 0, server: Some(server) });
        ServerKey { index, generation: 0 }
    }

    /// Marks a server as deregistered. Returns the keys of all servers that are evicted by now.
    pub fn deregister(&mut self, now: Moment, id: &str) -> Vec<ServerKey> {
        self.change_count += 1;
        let key = self.key(id);
        if let Some((key, server)) = key.and_then(|key| Some((key, self.get_mut(key)?))) {
            server.deregistered_at.get_or_insert(now);
            self.deregistered.insert(key);
        }
        self.evict_deregistered(now)
    }

    /// Evicts idle servers whose grace period after deregistration is over.
    fn evict_deregistered(&mut self, now: Moment) -> Vec<ServerKey> {
        let is_expired = |server: &Server| {
            let is_past_grace =
                server.deregistered_at.is_some_and(|since| now >= since + DEREGISTRATION_GRACE);
            is_past_grace && server.health.in_flight == 0
        };
        let expired: Vec<ServerKey> = self
            .deregistered
            .iter()
            .copied()
            .filter(|key| self.get(*key).is_none_or(&is_expired))
            .collect();
        for key in &expired {
            self.evict(*key);
        }
        expired
    }

    /// Removes a server and all its state.
    fn evict(&mut self, key: ServerKey) {
        self.deregistered.remove(&key);
        let slot = self.arena.get_mut(key.index as usize);
        let Some(slot) = slot.filter(|slot| slot.generation == key.generation) else {
            return;
        };
        let Some(server) = slot.server.take() else {
            return;
        };
        self.free_indices.push(key.index);
        self.remove_from_service(server.registration.service, key);
        self.by_id.remove(&server.id);
        self.permit_requests.remove(&key);
        self.permit_demand.remove(&key);
        self.paces.remove(key);
    }

    fn remove_from_service(&mut self, service: ServiceKey, key: ServerKey) {
        if let Some(servers) = self.by_service.get_mut(&service) {
            servers.remove(&key);
        }
    }

    /// Returns the key of a server.
    pub fn key(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the identifier of a server.
    pub fn id(&self, key: ServerKey) -> Option<&str> {
        self.get(key).map(|server| server.id.as_str())
    }

    pub(super) fn get(&self, key: ServerKey) -> Option<&Server> {
        let slot = self.arena.get(key.index as usize)?;
        slot.server.as_ref().filter(|_| slot.generation == key.generation)
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        let slot = self.arena.get_mut(key.index as usize)?;
        slot.server.as_mut().filter(|_| slot.generation == key.generation)
    }

    pub(super) fn servers_of(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.by_service.get(&service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Records that a server has accepted a command to load a version of a model.
    pub fn record_load_command(&mut self, now: Moment, id: &str, model: &str, version: u64) {
        self.change_count += 1;
        let model = self.models.key(model);
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.record_load_command(PendingLoad { model, version, since: now });
        }
    }

    /// Returns the version a server is loading, unless its registration already shows it.
    pub fn pending_load(&self, now: Moment, id: &str) -> Option<PendingLoad> {
        self.get(self.key(id)?)?.pending_load(now)
    }

    // Requests in flight.

    /// Records that a request is sent to the current incarnation of a server. Uses a permit if the
    /// server is cold. Returns the key to pass to [`Self::request_finished`].
    pub fn request_started(&mut self, now: Moment, id: &str) -> Option<ServerKey> {
        let key = self.key(id)?;
        let is_bounded = self.cold_start_limit(key).is_some();
        let server = self.get_mut(key)?;
        server.health.in_flight += 1;
        if is_bounded && server.is_cold(now) {
            server.use_permit(now);
        }
        Some(key)
    }

    /// Records the outcome of a request.
    pub fn request_finished(&mut self, now: Moment, key: ServerKey, outcome: AttemptOutcome) {
        if let Some(server) = self.get_mut(key) {
            server.health.in_flight = server.health.in_flight.saturating_sub(1);
        }
        self.record_outcome_at(now, key, outcome);
    }

    /// Whether the process of a server is believed to have exited.
    pub fn has_exited(&self, now: Moment, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| server.health.has_exited(now))
    }

    /// Records an outcome without finishing a request.
    pub fn record_outcome(&mut self, now: Moment, id: &str, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::ServerExited {
            self.change_count += 1;
        }
        if let Some(key) = self.key(id) {
            self.record_outcome_at(now, key, outcome);
        }
    }

    fn record_outcome_at(&mut self, now: Moment, key: ServerKey, outcome: AttemptOutcome) {
        let Some(server) = self.get_mut(key) else {
            return;
        };
        server.health.record_outcome(now, outcome);
        let service = server.registration.service;
        if let AttemptOutcome::Succeeded(latency) = outcome {
            let millis = latency.as_secs_f64() * 1e3;
            let baseline = &mut self.service_states.entry(service).or_default().baseline_millis;
            let known = baseline.unwrap_or(millis);
            *baseline = Some(known + (millis - known) * BASELINE_SAMPLE_WEIGHT);
        }
    }

    /// Records the mean time between two events of a text on a server.
    pub fn record_pace(&mut self, id: &str, per_event: Duration) {
        if let Some(key) = self.key(id) {
            self.paces.record(key, per_event);
        }
    }

    /// Mean time between two events of a text on a server, if it is known.
    pub fn pace(&self, id: &str) -> Option<Duration> {
        let millis = self.paces.get(self.key(id)?)?;
        Some(Duration::from_secs_f64(millis / 1e3))
    }

    /// Records that a request that may crash its server is running on a server.
    pub fn add_suspect(&mut self, id: &str) {
        self.suspects += 1;
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.health.suspects += 1;
        }
    }

    /// Records that such a request has finished.
    pub fn remove_suspect(&mut self, id: &str) {
        self.suspects = self.suspects.saturating_sub(1);
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.health.suspects = server.health.suspects.saturating_sub(1);
        }
    }

    /// Number of requests this daemon has in flight on a server.
    pub fn in_flight(&self, id: &str) -> u32 {
        let server = self.key(id).and_then(|key| self.get(key));
        server.map_or(0, |server| server.health.in_flight)
    }

    /// Whether a server is in backoff.
    pub fn is_in_backoff(&self, now: Moment, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| server.health.is_in_backoff(now))
    }

    /// Whether the server's zone is evacuated, so that its batch items should migrate.
    pub fn is_in_evacuated_zone(&self, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| self.evacuated.contains(&server.registration.zone))
    }

    // Permits.

    /// Takes the permit demand recorded since the last call, except for servers whose permits are
    /// being requested or may not be requested yet.
    pub fn take_permit_demand(&mut self, now: Moment) -> Vec<PermitDemand> {
        let permit_demand = std::mem::take(&mut self.permit_demand);
        let mut due = Vec::new();
        for (server, permits) in permit_demand {
            let may_request = match self.permit_requests.get(&server) {
                None => true,
                Some(None) => false,
                Some(Some(from)) => now >= *from,
            };
            if may_request {
                self.permit_requests.insert(server, None);
                due.push(PermitDemand { server, permits });
            }
        }
        due
    }

    /// Records the response to a permit request: `permits` that are valid until `until`. If there
    /// are none, permits may be requested again after `retry_after`.
    pub fn record_permit_grant(
        &mut self,
        now: Moment,
        key: ServerKey,
        permits: u32,
        until: Moment,
        retry_after: Option<Duration>,
    ) {
        if permits == 0 {
            let delay = retry_after.unwrap_or(PERMIT_RETRY_DELAY);
            self.permit_requests.insert(key, Some(now + delay));
            return;
        }
        self.permit_requests.remove(&key);
        if let Some(server) = self.get_mut(key) {
            server.permits.retain(|until| now < *until);
            server.permits.extend((0..permits).map(|_| until));
        }
    }

    /// Number of cold servers in a zone.
    pub fn count_cold_servers(&self, now: Moment, zone: ZoneKey) -> usize {
        let servers = self.arena.iter().filter_map(|slot| slot.server.as_ref());
        servers.filter(|server| server.registration.zone == zone && server.is_cold(now)).count()
    }
}
