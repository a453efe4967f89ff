//! The machine that decides where requests go: what it is fed with. What it decides is in
//! [`super::decisions`].

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
use super::keys::ModelKey;
use super::keys::Names;
use super::keys::RegionKey;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use super::queue::Queue;
use super::server::ColdStartLimit;
use super::server::PendingLoad;
use super::server::Registration;
use super::server::Server;
use super::server::DEREGISTRATION_GRACE;
use crate::Moment;

/// Weight of a new sample in the usual time of a service's answers: one server that turns slow is told
/// from it also by a daemon that sends to no other.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.02;
/// Time that a server of another zone of the same region adds to a request: a round trip and some more,
/// so that a zone's calls stay in it.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(2);
/// The same of another region.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(20);
/// Rest after a lender gave no permit, unless it says when there will be one.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A server that was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: ServerKey,
    /// Whether it is known to have the version that is needed.
    pub version_status: VersionStatus,
}

/// A cold server that requests wait for, and how many permits would be used there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDemand {
    /// The server.
    pub server: ServerKey,
    /// Permits that would be used now.
    pub permits: u32,
}

/// What is known of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceState {
    /// Requests that this daemon may have at one of its servers.
    pub(super) max_in_flight: Option<u32>,
    /// What one of its servers bears while it is cold; nothing where that is not bounded.
    pub(super) cold_start: Option<ColdStartLimit>,
    /// Mean time of an answer over a long time, in milliseconds.
    pub(super) baseline_millis: Option<f64>,
}

/// Servers that nothing bars from a need, as of some moment.
pub(super) struct EligibleServers {
    pub(super) requirements: Requirements,
    /// Count of changes that it was found after.
    pub(super) change_count: u64,
    pub(super) computed_at: Moment,
    pub(super) servers: Rc<[ServerKey]>,
    pub(super) exclusions: ExclusionCounts,
}

pub(super) struct ArenaSlot {
    generation: u32,
    server: Option<Server>,
}

/// Decides which server runs a request, how long work waits and when it is turned away.
pub struct Placer {
    pub(super) services: Names<ServiceKey>,
    pub(super) zones: Names<ZoneKey>,
    pub(super) regions: Names<RegionKey>,
    pub(super) models: Names<ModelKey>,
    pub(super) region_sets: Vec<BTreeSet<RegionKey>>,
    pub(super) region_of: HashMap<ZoneKey, RegionKey>,
    pub(super) local_zone: Option<ZoneKey>,
    pub(super) evacuated: BTreeSet<ZoneKey>,
    /// Whether the evacuations are still to be heard of: any zone may be evacuated until then.
    pub(super) awaits_evacuations: bool,
    pub(super) service_states: HashMap<ServiceKey, ServiceState>,
    pub(super) arena: Vec<ArenaSlot>,
    /// Indices of `places` that hold no server.
    free_indices: Vec<u32>,
    /// Servers whose entries went and that are not forgotten yet: a release of thousands costs for each
    /// that leaves a look at those that left a moment ago, and not at all that there are.
    deregistered: BTreeSet<ServerKey>,
    pub(super) by_id: HashMap<String, ServerKey>,
    pub(super) by_service: BTreeMap<ServiceKey, BTreeSet<ServerKey>>,
    pub(super) queue: Queue,
    /// Requests under way that may end their servers.
    pub(super) suspects: u32,
    /// Permits that a lender is being asked for, or after which time it may be asked again.
    pub(super) permit_requests: HashMap<ServerKey, Option<Moment>>,
    pub(super) permit_demand: BTreeMap<ServerKey, u32>,
    pub(super) random: SmallRng,
    /// Where the subset of this daemon begins among all servers, from 0 to 1.
    pub(super) subset_offset: f64,
    /// Counts what may change which servers a need is barred from.
    pub(super) change_count: u64,
    /// What was found last, by need.
    pub(super) eligible_cache: Vec<EligibleServers>,
}

impl Placer {
    /// A machine that knows nothing yet and draws among equals by `seed`.
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let subset_offset = random.random();
        Self {
            services: Names::default(),
            zones: Names::default(),
            regions: Names::default(),
            models: Names::default(),
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

    /// The key of a service.
    pub fn service(&mut self, name: &str) -> ServiceKey {
        self.services.key(name)
    }

    /// The key of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneKey {
        self.zones.key(name)
    }

    /// The key of a model.
    pub fn model(&mut self, name: &str) -> ModelKey {
        self.models.key(name)
    }

    /// The name of a model.
    pub fn model_name(&self, key: ModelKey) -> &str {
        self.models.name(key)
    }

    /// The key of a set of regions in which requests may run; of an empty one, that of nowhere.
    pub fn region_set<'a>(&mut self, regions: impl Iterator<Item = &'a str>) -> RegionSetKey {
        let set: BTreeSet<RegionKey> = regions.map(|name| self.regions.key(name)).collect();
        let known = self.region_sets.iter().position(|known| *known == set);
        let index = known.unwrap_or_else(|| {
            self.region_sets.push(set);
            self.region_sets.len() - 1
        });
        RegionSetKey::from(u32::try_from(index).unwrap_or(u32::MAX))
    }

    // Where things are.

    /// Notes the region of a zone.
    pub fn set_region(&mut self, zone: &str, region: &str) {
        self.change_count += 1;
        let (zone, region) = (self.zones.key(zone), self.regions.key(region));
        self.region_of.insert(zone, region);
    }

    /// Whether some zone is known to be in a region.
    pub fn is_known_region(&self, name: &str) -> bool {
        self.region_of.values().any(|region| self.regions.name(*region) == name)
    }

    /// Notes the zone of this daemon.
    pub fn set_local_zone(&mut self, zone: &str) {
        self.local_zone = Some(self.zones.key(zone));
    }

    /// Time that a zone adds to a request.
    pub fn zone_latency(&self, zone: ZoneKey) -> Duration {
        if Some(zone) == self.local_zone {
            return Duration::ZERO;
        }
        let region = |zone: ZoneKey| self.region_of.get(&zone);
        let is_far = match (region(zone), self.local_zone.and_then(region)) {
            (Some(there), Some(local_region)) => there != local_region,
            _ => false,
        };
        if is_far {
            CROSS_REGION_LATENCY
        } else {
            CROSS_ZONE_LATENCY
        }
    }

    // Limits.

    /// Notes how many requests this daemon may have at one server of a service, and what such a server
    /// bears while it is cold.
    pub fn set_service(
        &mut self,
        name: &str,
        max_in_flight: u32,
        cold_start: Option<ColdStartLimit>,
    ) {
        let service = self.services.key(name);
        let cold_start = cold_start.filter(|service_states| service_states.per_second > 0.0);
        let state = self.service_states.entry(service).or_default();
        (state.max_in_flight, state.cold_start) = (Some(max_in_flight), cold_start);
    }

    /// What a server of a service bears while it is cold, where that is bounded.
    pub fn cold_start_limit(&self, key: ServerKey) -> Option<ColdStartLimit> {
        let service = self.get(key)?.registration.service;
        self.service_states.get(&service)?.cold_start
    }

    /// Has no server used until the evacuations are known.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// Notes that the evacuations are known.
    pub fn mark_evacuations_loaded(&mut self) {
        self.change_count += 1;
        self.awaits_evacuations = false;
    }

    /// Whether the evacuations are known, where there may be any.
    pub fn evacuations_loaded(&self) -> bool {
        !self.awaits_evacuations
    }

    /// Notes that nothing may be sent to a zone's servers any more.
    pub fn evacuate(&mut self, zone: &str) {
        self.change_count += 1;
        let zone = self.zones.key(zone);
        self.evacuated.insert(zone);
    }

    /// Notes that a zone's servers may be sent to again. They may have turned cold a moment ago,
    /// before their entries tell of it.
    pub fn readmit(&mut self, now: Moment, zone: &str) {
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

    /// Takes in a server's entry.
    ///
    /// A later run of the server than the one that is known gets another key: nothing that was known of
    /// the former one holds for it. An entry of an earlier run changes nothing.
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

    /// Takes in a further entry of the run of a server that is known.
    fn update_registration(&mut self, now: Moment, key: ServerKey, registration: Registration) {
        self.deregistered.remove(&key);
        let service = registration.service;
        let Some(server) = self.get_mut(key) else {
            return;
        };
        let before = server.registration.service;
        server.update_registration(now, registration);
        if before != service {
            self.remove_from_service(before, key);
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

    /// Notes that a server's entry went; the servers that are forgotten by now.
    pub fn deregister(&mut self, now: Moment, id: &str) -> Vec<ServerKey> {
        self.change_count += 1;
        let key = self.key(id);
        if let Some((key, server)) = key.and_then(|key| Some((key, self.get_mut(key)?))) {
            server.deregistered_at.get_or_insert(now);
            self.deregistered.insert(key);
        }
        self.evict_deregistered(now)
    }

    /// Forgets servers whose entries went long ago and at which nothing is under way.
    fn evict_deregistered(&mut self, now: Moment) -> Vec<ServerKey> {
        let is_expired = |server: &Server| {
            let deregistered =
                server.deregistered_at.is_some_and(|since| now >= since + DEREGISTRATION_GRACE);
            deregistered && server.health.in_flight == 0
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

    /// Forgets a server, with whatever was known of it.
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
    }

    fn remove_from_service(&mut self, service: ServiceKey, key: ServerKey) {
        if let Some(servers) = self.by_service.get_mut(&service) {
            servers.remove(&key);
        }
    }

    /// The key of a server.
    pub fn key(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// The identifier of a server.
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

    /// Notes an order that a server has taken.
    pub fn record_load_command(&mut self, now: Moment, id: &str, model: &str, version: u64) {
        self.change_count += 1;
        let model = self.models.key(model);
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.record_load_command(PendingLoad { model, version, since: now });
        }
    }

    /// The order that a server works on, if its entry does not show the version yet.
    pub fn pending_load(&self, now: Moment, id: &str) -> Option<PendingLoad> {
        self.get(self.key(id)?)?.pending_load(now)
    }

    // What is under way.

    /// Notes that a request is being sent to the run of a server that is known; one that goes to a cold
    /// server uses a permit.
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

    /// Notes how a request ended at the run of a server that it was sent to.
    pub fn request_finished(&mut self, now: Moment, key: ServerKey, end: AttemptOutcome) {
        if let Some(server) = self.get_mut(key) {
            server.health.in_flight = server.health.in_flight.saturating_sub(1);
        }
        self.record_outcome_at(now, key, end);
    }

    /// Notes an outcome without a request ending.
    pub fn record_outcome(&mut self, now: Moment, id: &str, end: AttemptOutcome) {
        if end == AttemptOutcome::ServerExited {
            self.change_count += 1;
        }
        if let Some(key) = self.key(id) {
            self.record_outcome_at(now, key, end);
        }
    }

    fn record_outcome_at(&mut self, now: Moment, key: ServerKey, end: AttemptOutcome) {
        let Some(server) = self.get_mut(key) else {
            return;
        };
        server.health.record_outcome(now, end);
        let service = server.registration.service;
        if let AttemptOutcome::Succeeded(latency) = end {
            let millis = latency.as_secs_f64() * 1e3;
            let baseline = &mut self.service_states.entry(service).or_default().baseline_millis;
            let known = baseline.unwrap_or(millis);
            *baseline = Some(known + (millis - known) * BASELINE_SAMPLE_WEIGHT);
        }
    }

    /// Notes that a request runs at a server that may end it.
    pub fn add_suspect(&mut self, id: &str) {
        self.suspects += 1;
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.health.suspects += 1;
        }
    }

    /// Notes that it runs there no longer.
    pub fn remove_suspect(&mut self, id: &str) {
        self.suspects = self.suspects.saturating_sub(1);
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.health.suspects = server.health.suspects.saturating_sub(1);
        }
    }

    /// Requests that this daemon has under way at a server.
    pub fn in_flight(&self, id: &str) -> u32 {
        let server = self.key(id).and_then(|key| self.get(key));
        server.map_or(0, |server| server.health.in_flight)
    }

    /// Whether a server is being avoided.
    pub fn is_in_backoff(&self, now: Moment, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| server.health.is_in_backoff(now))
    }

    /// Whether texts that run at a server had better go on elsewhere: its zone is evacuated.
    pub fn is_in_evacuated_zone(&self, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| self.evacuated.contains(&server.registration.zone))
    }

    // Permits.

    /// Cold servers that requests wait for since the last call, which are not being asked for yet.
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

    /// Takes in what a lender gave: permits that hold until then, or none before `again`.
    pub fn grant_permits(
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

    /// Servers that are cold, by zone.
    pub fn count_cold_servers(&self, now: Moment, zone: ZoneKey) -> usize {
        let servers = self.arena.iter().filter_map(|slot| slot.server.as_ref());
        servers.filter(|server| server.registration.zone == zone && server.is_cold(now)).count()
    }
}
