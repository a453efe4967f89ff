//! The machine that decides where requests go.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::eligible;
use super::eligible::Circumstances;
use super::eligible::Exclusion;
use super::eligible::Fitness;
use super::eligible::History;
use super::eligible::Need;
use super::keys::HomesKey;
use super::keys::ModelKey;
use super::keys::Names;
use super::keys::RegionKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use super::load::AttemptEnd;
use super::patience;
use super::patience::Answer;
use super::patience::Waited;
use super::queue::Queue;
use super::queue::TicketKey;
use super::queue::Urgency;
use super::rank;
use super::rank::Taste;
use super::rank::Weights;
use super::server::ColdTerms;
use super::server::Listing;
use super::server::OpenOrder;
use super::server::Server;
use super::server::LAPSED_USE;
use crate::Moment;

/// How long what bars servers from a need is believed without looking again, while nothing is told of
/// any server: only the mere passing of time changes it then.
const OPEN_BELIEVED: Duration = Duration::from_millis(50);
/// Of more free servers than this a text is offered so many, drawn at random: the best of them is
/// nearly as good as the best of all, and a fleet of thousands costs no more than one of a hundred
/// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
const SAMPLE: usize = 64;
/// Texts of a lane that a free server is offered to: the first one takes it unless all free servers
/// failed at it.
const LOOK_AHEAD: usize = 16;
/// Another server counts as faster from this ratio on; paces vary by a few parts in a hundred.
const FASTER: f64 = 1.15;
/// Weight of a new sample in the usual time of a service's answers: one server that turns slow is told
/// from it also by a daemon that sends to no other.
const USUAL_WEIGHT: f64 = 0.02;
/// Round trip to another zone of the same region that is assumed until one is measured.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// The same to another region.
const OTHER_REGION: Duration = Duration::from_millis(20);
/// Rest after a lender gave no permit, unless it says when there will be one.
const PERMIT_REST: Duration = Duration::from_millis(100);

/// A server that was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: ServerKey,
    /// Whether it is known to have the version that is needed.
    pub fitness: Fitness,
}

/// A cold server that requests wait for, and how many permits would be used there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// The server.
    pub server: ServerKey,
    /// Permits that would be used now.
    pub permits: u32,
}

/// What is known of a service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceState {
    /// Requests that this daemon may have at one of its servers.
    share: Option<u32>,
    /// What one of its servers bears while it is cold; nothing where that is not bounded.
    cold: Option<ColdTerms>,
    /// Mean time of an answer over a long time, in milliseconds.
    usual_millis: Option<f64>,
}

/// Servers that nothing bars from a need, as of some moment.
struct Open {
    need: Need,
    /// Count of changes that it was found after.
    changes: u64,
    at: Moment,
    servers: Rc<[ServerKey]>,
    tally: Tally,
}

struct Place {
    generation: u32,
    server: Option<Server>,
}

/// Decides which server runs a request, how long work waits and when it is turned away.
pub struct Placer {
    services: Names<ServiceKey>,
    zones: Names<ZoneKey>,
    regions: Names<RegionKey>,
    models: Names<ModelKey>,
    homes: Vec<BTreeSet<RegionKey>>,
    region_of: HashMap<ZoneKey, RegionKey>,
    round_trips: HashMap<ZoneKey, Duration>,
    here: Option<ZoneKey>,
    evacuated: BTreeSet<ZoneKey>,
    terms: HashMap<ServiceKey, ServiceState>,
    places: Vec<Place>,
    by_id: HashMap<String, ServerKey>,
    by_service: BTreeMap<ServiceKey, BTreeSet<ServerKey>>,
    queue: Queue,
    /// Permits that a lender is being asked for, or after which time it may be asked again.
    asking: HashMap<ServerKey, Option<Moment>>,
    shortages: BTreeMap<ServerKey, u32>,
    random: SmallRng,
    /// Counts what may change which servers a need is barred from.
    changes: u64,
    /// What was found last, by need.
    known_open: Vec<Open>,
}

impl Placer {
    /// A machine that knows nothing yet and draws among equals by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            services: Names::default(),
            zones: Names::default(),
            regions: Names::default(),
            models: Names::default(),
            homes: Vec::new(),
            region_of: HashMap::new(),
            round_trips: HashMap::new(),
            here: None,
            evacuated: BTreeSet::new(),
            terms: HashMap::new(),
            places: Vec::new(),
            by_id: HashMap::new(),
            by_service: BTreeMap::new(),
            queue: Queue::default(),
            asking: HashMap::new(),
            shortages: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            changes: 0,
            known_open: Vec::new(),
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
    pub fn homes<'a>(&mut self, regions: impl Iterator<Item = &'a str>) -> HomesKey {
        let set: BTreeSet<RegionKey> = regions.map(|name| self.regions.key(name)).collect();
        let known = self.homes.iter().position(|known| *known == set);
        let index = known.unwrap_or_else(|| {
            self.homes.push(set);
            self.homes.len() - 1
        });
        HomesKey::from(u32::try_from(index).unwrap_or(u32::MAX))
    }

    // Where things are.

    /// Notes the region of a zone.
    pub fn set_region(&mut self, zone: &str, region: &str) {
        self.changes += 1;
        let (zone, region) = (self.zones.key(zone), self.regions.key(region));
        self.region_of.insert(zone, region);
    }

    /// Whether some zone is known to be in a region.
    pub fn knows_region(&self, name: &str) -> bool {
        self.region_of.values().any(|region| self.regions.name(*region) == name)
    }

    /// Notes the zone of this daemon.
    pub fn set_here(&mut self, zone: &str) {
        self.here = Some(self.zones.key(zone));
    }

    /// Notes how long a message to a zone and back takes.
    pub fn set_round_trip(&mut self, zone: &str, time: Duration) {
        let zone = self.zones.key(zone);
        self.round_trips.insert(zone, time);
    }

    /// Time that a zone adds to a request.
    pub fn distance(&self, zone: ZoneKey) -> Duration {
        if Some(zone) == self.here {
            return Duration::ZERO;
        }
        if let Some(known) = self.round_trips.get(&zone) {
            return (*known).max(OTHER_ZONE);
        }
        let region = |zone: ZoneKey| self.region_of.get(&zone);
        let is_far = match (region(zone), self.here.and_then(region)) {
            (Some(there), Some(here)) => there != here,
            _ => false,
        };
        if is_far {
            OTHER_REGION
        } else {
            OTHER_ZONE
        }
    }

    // Limits.

    /// Notes how many requests this daemon may have at one server of a service, and what such a server
    /// bears while it is cold.
    pub fn set_service(&mut self, name: &str, share: u32, cold: Option<ColdTerms>) {
        let service = self.services.key(name);
        let cold = cold.filter(|terms| terms.per_second > 0.0);
        let state = self.terms.entry(service).or_default();
        (state.share, state.cold) = (Some(share), cold);
    }

    /// What a server of a service bears while it is cold, where that is bounded.
    pub fn cold_terms(&self, key: ServerKey) -> Option<ColdTerms> {
        let service = self.get(key)?.listing.service;
        self.terms.get(&service)?.cold
    }

    /// Notes that nothing may be sent to a zone's servers any more.
    pub fn evacuate(&mut self, zone: &str) {
        self.changes += 1;
        let zone = self.zones.key(zone);
        self.evacuated.insert(zone);
    }

    /// Notes that a zone's servers may be sent to again. They may have turned cold a moment ago,
    /// before their entries tell of it.
    pub fn readmit(&mut self, now: Moment, zone: &str) {
        self.changes += 1;
        let zone = self.zones.key(zone);
        if !self.evacuated.remove(&zone) {
            return;
        }
        let terms = &self.terms;
        for server in self.places.iter_mut().filter_map(|place| place.server.as_mut()) {
            let cold = terms.get(&server.listing.service).and_then(|service| service.cold);
            if let Some(cold) = cold.filter(|_| server.listing.zone == zone) {
                server.assume_cold(now + cold.lasts);
            }
        }
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: ZoneKey) -> bool {
        self.evacuated.contains(&zone)
    }

    // Servers.

    /// Takes in a server's entry.
    pub fn list(&mut self, now: Moment, id: &str, listing: Listing) -> ServerKey {
        self.changes += 1;
        let service = listing.service;
        if let Some(key) = self.by_id.get(id).copied() {
            if let Some(server) = self.get_mut(key) {
                let before = server.listing.service;
                server.relist(now, listing);
                if before != service {
                    self.unlink(before, key);
                }
                self.by_service.entry(service).or_default().insert(key);
                return key;
            }
        }
        let key = self.add(Server::new(now, id, listing));
        self.by_id.insert(id.to_owned(), key);
        self.by_service.entry(service).or_default().insert(key);
        key
    }

    fn add(&mut self, server: Server) -> ServerKey {
        if let Some(index) = self.places.iter().position(|place| place.server.is_none()) {
            let place = &mut self.places[index];
            place.generation += 1;
            place.server = Some(server);
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            return ServerKey { index, generation: place.generation };
        }
        let index = u32::try_from(self.places.len()).unwrap_or(u32::MAX);
        self.places.push(Place { generation: 0, server: Some(server) });
        ServerKey { index, generation: 0 }
    }

    /// Notes that a server's entry went.
    pub fn unlist(&mut self, now: Moment, id: &str) {
        self.changes += 1;
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.gone_since.get_or_insert(now);
        }
        self.forget_gone(now);
    }

    /// Forgets servers whose entries went long ago and at which nothing is under way.
    fn forget_gone(&mut self, now: Moment) {
        let is_over = |server: &Server| {
            let gone = server.gone_since.is_some_and(|since| now >= since + LAPSED_USE);
            gone && server.load.in_flight == 0
        };
        let mut forgotten = Vec::new();
        for (index, place) in self.places.iter_mut().enumerate() {
            if place.server.as_ref().is_some_and(is_over) {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                let key = ServerKey { index, generation: place.generation };
                forgotten.extend(place.server.take().map(|server| (key, server)));
            }
        }
        for (key, server) in forgotten {
            self.unlink(server.listing.service, key);
            self.by_id.remove(&server.id);
            self.asking.remove(&key);
            self.shortages.remove(&key);
        }
    }

    fn unlink(&mut self, service: ServiceKey, key: ServerKey) {
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

    /// Whether a server belongs to the service of a need.
    pub fn serves(&self, key: ServerKey, need: &Need) -> bool {
        self.get(key).is_some_and(|server| server.listing.service == need.service)
    }

    fn get(&self, key: ServerKey) -> Option<&Server> {
        let place = self.places.get(key.index as usize)?;
        place.server.as_ref().filter(|_| place.generation == key.generation)
    }

    fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        let place = self.places.get_mut(key.index as usize)?;
        place.server.as_mut().filter(|_| place.generation == key.generation)
    }

    fn of_service(&self, service: ServiceKey) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.by_service.get(&service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Notes an order that a server has taken.
    pub fn order_taken(&mut self, now: Moment, id: &str, model: &str, version: u64) {
        self.changes += 1;
        let model = self.models.key(model);
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.order_taken(OpenOrder { model, version, since: now });
        }
    }

    /// The order that a server works on, if its entry does not show the version yet.
    pub fn open_order(&self, now: Moment, id: &str) -> Option<OpenOrder> {
        self.get(self.key(id)?)?.open_order(now)
    }

    // What is under way.

    /// Notes that a request is being sent; one that goes to a cold server uses a permit.
    pub fn began(&mut self, now: Moment, id: &str) {
        let key = self.key(id);
        let is_bounded = key.and_then(|key| self.cold_terms(key)).is_some();
        if let Some(server) = key.and_then(|key| self.get_mut(key)) {
            server.load.in_flight += 1;
            if is_bounded && server.is_cold(now) {
                server.use_permit(now);
            }
        }
    }

    /// Notes how a request ended.
    pub fn ended(&mut self, now: Moment, id: &str, end: AttemptEnd) {
        if let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) {
            server.load.in_flight = server.load.in_flight.saturating_sub(1);
        }
        self.note(now, id, end);
    }

    /// Notes an outcome without a request ending.
    pub fn note(&mut self, now: Moment, id: &str, end: AttemptEnd) {
        let Some(server) = self.key(id).and_then(|key| self.get_mut(key)) else {
            return;
        };
        server.load.note(now, end);
        let service = server.listing.service;
        if let AttemptEnd::Answered(latency) = end {
            let millis = latency.as_secs_f64() * 1e3;
            let usual = &mut self.terms.entry(service).or_default().usual_millis;
            let known = usual.unwrap_or(millis);
            *usual = Some(known + (millis - known) * USUAL_WEIGHT);
        }
    }

    /// Requests that this daemon has under way at a server.
    pub fn in_flight(&self, id: &str) -> u32 {
        let server = self.key(id).and_then(|key| self.get(key));
        server.map_or(0, |server| server.load.in_flight)
    }

    /// Whether a server is being avoided.
    pub fn is_avoided(&self, now: Moment, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| server.load.is_avoided(now))
    }

    /// Whether texts that run at a server had better go on elsewhere: its zone is evacuated.
    pub fn is_to_be_left(&self, id: &str) -> bool {
        let server = self.key(id).and_then(|key| self.get(key));
        server.is_some_and(|server| self.evacuated.contains(&server.listing.zone))
    }

    // Permits.

    /// Cold servers that requests wait for since the last call, which are not being asked for yet.
    pub fn take_shortages(&mut self, now: Moment) -> Vec<Shortage> {
        let shortages = std::mem::take(&mut self.shortages);
        let mut due = Vec::new();
        for (server, permits) in shortages {
            let may_ask = match self.asking.get(&server) {
                None => true,
                Some(None) => false,
                Some(Some(from)) => now >= *from,
            };
            if may_ask {
                self.asking.insert(server, None);
                due.push(Shortage { server, permits });
            }
        }
        due
    }

    /// Takes in what a lender gave: permits that hold until then, or none before `again`.
    pub fn note_loan(
        &mut self,
        now: Moment,
        key: ServerKey,
        permits: u32,
        until: Moment,
        again: Option<Duration>,
    ) {
        if permits == 0 {
            let rest = again.unwrap_or(PERMIT_REST);
            self.asking.insert(key, Some(now + rest));
            return;
        }
        self.asking.remove(&key);
        if let Some(server) = self.get_mut(key) {
            server.permits.retain(|until| now < *until);
            server.permits.extend((0..permits).map(|_| until));
        }
    }

    /// Servers that are cold, by zone.
    pub fn cold_servers(&self, now: Moment, zone: ZoneKey) -> usize {
        let servers = self.places.iter().filter_map(|place| place.server.as_ref());
        servers.filter(|server| server.listing.zone == zone && server.is_cold(now)).count()
    }

    // Decisions.

    fn circumstances(
        &self,
        now: Moment,
        server: &Server,
        need: &Need,
        has_listed: bool,
    ) -> Circumstances {
        let terms = self.terms.get(&need.service).copied().unwrap_or_default();
        Circumstances {
            now,
            has_listed,
            is_evacuated: self.evacuated.contains(&server.listing.zone),
            is_home: self.is_home(server.listing.zone, need.homes),
            share: terms.share.unwrap_or(u32::MAX),
            needs_permit: terms.cold.is_some(),
        }
    }

    fn is_home(&self, zone: ZoneKey, homes: Option<HomesKey>) -> bool {
        let Some(homes) = homes else {
            return true;
        };
        let index: u32 = homes.into();
        let homes = self.homes.get(index as usize);
        let region = self.region_of.get(&zone);
        homes.zip(region).is_some_and(|(homes, region)| homes.contains(region))
    }

    fn has_listed(&self, service: ServiceKey) -> bool {
        self.of_service(service).any(|(_, server)| server.is_ready())
    }

    /// Servers that nothing bars from a need, with what bars the others, as of a moment ago.
    fn open_lately(&mut self, now: Moment, need: &Need) -> (Rc<[ServerKey]>, Tally) {
        let changes = self.changes;
        let is_current = |open: &Open| open.changes == changes && now < open.at + OPEN_BELIEVED;
        self.known_open.retain(is_current);
        if let Some(open) = self.known_open.iter().find(|open| open.need == *need) {
            return (open.servers.clone(), open.tally.clone());
        }
        let (servers, tally) = self.open(now, need);
        let servers: Rc<[ServerKey]> = servers.into();
        let open = Open { need: *need, changes, at: now, servers, tally };
        let found = (open.servers.clone(), open.tally.clone());
        self.known_open.push(open);
        found
    }

    /// Servers that nothing bars from a need, with what bars the others.
    fn open(&self, now: Moment, need: &Need) -> (Vec<ServerKey>, Tally) {
        let has_listed = self.has_listed(need.service);
        let mut tally = Tally::default();
        let mut open = Vec::new();
        for (key, server) in self.of_service(need.service) {
            let at = self.circumstances(now, server, need, has_listed);
            match eligible::barred(server, need, &at) {
                Some(exclusion) => tally.add(exclusion),
                None => open.push(key),
            }
        }
        (open, tally)
    }

    /// Servers that may be sent requests of a need.
    pub fn usable(&self, now: Moment, need: &Need) -> Vec<ServerKey> {
        self.open(now, need).0
    }

    /// Places of the servers that may be sent requests of a need.
    pub fn slots(&self, now: Moment, need: &Need) -> u32 {
        let usable = self.usable(now, need);
        usable.into_iter().filter_map(|key| Some(self.get(key)?.listing.slots)).sum()
    }

    /// What becomes of a call. Servers that are not connected cost a little more; a server whose
    /// places are all taken is used if no other is better, one that is avoided only if all are.
    pub fn call(
        &mut self,
        now: Moment,
        need: &Need,
        history: &History,
        waited: &Waited,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Answer {
        let (mut open, mut tally) = self.open(now, need);
        skip_tried(&mut open, history, &mut tally);
        let free = self.unengaged(now, need, &open, false, &mut tally);
        if free.is_empty() {
            self.note_shortage(now, need, &open, 1);
            return patience::unplaced(now, waited, tally.reason());
        }
        let best = self.cheapest(now, &free, rank::CALL, is_connected);
        match best.and_then(|key| self.choice(now, need, key)) {
            Some(choice) => Answer::Place(choice),
            None => patience::unplaced(now, waited, tally.reason()),
        }
    }

    /// What becomes of a stream: of the servers with free places one with the newest weights, or the
    /// best of all if none has a free place.
    pub fn stream(
        &mut self,
        now: Moment,
        need: &Need,
        history: &History,
        waited: &Waited,
    ) -> Answer {
        let (mut open, mut tally) = self.open(now, need);
        skip_tried(&mut open, history, &mut tally);
        let free = self.unengaged(now, need, &open, false, &mut tally);
        let has_place =
            |key: &ServerKey| self.get(*key).is_some_and(|server| server.free_slots() > 0);
        let idle: Vec<ServerKey> = free.iter().copied().filter(has_place).collect();
        let newest = idle.iter().map(|key| self.version_at(now, need, *key)).max();
        let best: Vec<ServerKey> = idle
            .into_iter()
            .filter(|key| Some(self.version_at(now, need, *key)) == newest)
            .collect();
        let chosen = self
            .cheapest(now, &best, rank::CALL, |_| true)
            .or_else(|| self.cheapest(now, &free, rank::CALL, |_| true));
        match chosen.and_then(|key| self.choice(now, need, key)) {
            Some(choice) => Answer::Place(choice),
            None => {
                self.note_shortage(now, need, &open, 1);
                patience::unplaced(now, waited, tally.reason())
            }
        }
    }

    /// Whether a stream that runs at a server could go on at another one.
    pub fn has_other(&self, now: Moment, need: &Need, id: &str) -> bool {
        let here = self.key(id);
        self.usable(now, need).into_iter().any(|key| Some(key) != here)
    }

    /// Has a text wait for a place.
    pub fn wait(
        &mut self,
        now: Moment,
        need: Need,
        urgency: Urgency,
        history: History,
    ) -> TicketKey {
        self.queue.add(now, need, urgency, history)
    }

    /// Takes back a text that waited.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Texts that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// What keeps most servers from texts of a need now.
    pub fn obstacle(&self, now: Moment, need: &Need) -> Option<Exclusion> {
        let (open, mut tally) = self.open(now, need);
        self.unengaged(now, need, &open, true, &mut tally);
        tally.reason()
    }

    /// Texts of the same need that are placed before this one.
    pub fn place_in_line(&self, ticket: TicketKey) -> Option<usize> {
        self.queue.place_in_line(ticket)
    }

    /// The most urgent text that a place is free for, with the place. Whoever drives the machine notes
    /// that it began before it asks for the next one. Servers that are not connected cost a little more.
    pub fn next_placed(
        &mut self,
        now: Moment,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        for need in self.queue.needs() {
            if let Some(placed) = self.place_first(now, &need, &is_connected) {
                self.queue.remove(placed.0);
                return Some(placed);
            }
        }
        None
    }

    /// The first text of a lane that some free server fits.
    fn place_first(
        &mut self,
        now: Moment,
        need: &Need,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        let (open, mut tally) = self.open_lately(now, need);
        let free = self.free_for_text(now, need, &open, &mut tally);
        let waiting = u32::try_from(self.queue.waiting(need)).unwrap_or(u32::MAX);
        if free.is_empty() {
            self.note_shortage(now, need, &open, waiting);
            return None;
        }
        for ticket in self.queue.first(need, LOOK_AHEAD) {
            let history = self.queue.history(ticket).cloned().unwrap_or_default();
            if let Some(key) = self.text_place(now, (&open, &free), &history, is_connected) {
                let choice = self.choice(now, need, key)?;
                return Some((ticket, choice));
            }
        }
        None
    }

    /// The place of a text among `free` servers: not one that failed at it while another one of `open`
    /// has not, and not the one whose attempt ended last while another one is free.
    fn text_place(
        &mut self,
        now: Moment,
        (open, free): (&[ServerKey], &[ServerKey]),
        history: &History,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let has_failed = |key: &ServerKey| history.failed.contains(key);
        let has_sound = open.iter().any(|key| !has_failed(key));
        let mut fit: Vec<ServerKey> = free.to_vec();
        if has_sound {
            fit.retain(|key| !has_failed(key));
        }
        let other: Vec<ServerKey> =
            fit.iter().copied().filter(|key| Some(*key) != history.last).collect();
        self.cheapest(now, &other, rank::TEXT, is_connected)
            .or_else(|| self.cheapest(now, &fit, rank::TEXT, is_connected))
    }

    /// A place for a text now, without waiting.
    pub fn text(&mut self, now: Moment, need: &Need, history: &History) -> Option<Choice> {
        let (open, mut tally) = self.open_lately(now, need);
        let free = self.free_for_text(now, need, &open, &mut tally);
        let key = self.text_place(now, (&open, &free), history, &|_| true)?;
        self.choice(now, need, key)
    }

    /// Time that a text with `remaining` events would win at the best other server with a free place,
    /// where an event takes `per_event` at its own.
    pub fn gain(
        &mut self,
        now: Moment,
        need: &Need,
        id: &str,
        per_event: Duration,
        remaining: u32,
    ) -> Option<Duration> {
        let here = self.key(id);
        let (open, mut tally) = self.open_lately(now, need);
        let mut free = self.free_for_text(now, need, &open, &mut tally);
        free.retain(|key| Some(*key) != here);
        let other = self.cheapest(now, &free, rank::TEXT, |_| true)?;
        let there = self.expected_latency(now, other, need.service)?;
        let is_faster = per_event.as_secs_f64() > there.as_secs_f64() * FASTER;
        is_faster.then(|| (per_event - there) * remaining)
    }

    /// Expected latency of a server's answers, or of the events of its texts; nothing where no latency
    /// of any server of its service is known.
    fn expected_latency(
        &self,
        now: Moment,
        key: ServerKey,
        service: ServiceKey,
    ) -> Option<Duration> {
        let peers = || {
            let servers = self.of_service(service).map(|(_, server)| server);
            servers.filter(|server| server.is_ready())
        };
        let is_known = peers().any(|peer| peer.load.mean_millis.is_some());
        let best = rank::best_millis(peers(), None, rank::TEXT);
        let millis = self.get(key)?.load.faded_millis(now, best);
        is_known.then(|| Duration::from_secs_f64(millis / 1e3))
    }

    /// Those of `open` servers that have a place for a text: of many only some, where that is enough.
    fn free_for_text(
        &mut self,
        now: Moment,
        need: &Need,
        open: &[ServerKey],
        tally: &mut Tally,
    ) -> Vec<ServerKey> {
        if open.len() > SAMPLE {
            let drawn = rand::seq::index::sample(&mut self.random, open.len(), SAMPLE);
            let some: Vec<ServerKey> = drawn.into_iter().map(|index| open[index]).collect();
            let mut free = self.unengaged(now, need, &some, true, &mut Tally::default());
            free.retain(|key| self.get(*key).is_some_and(|server| !server.is_cold(now)));
            if !free.is_empty() {
                return free;
            }
        }
        self.unengaged(now, need, open, true, tally)
    }

    /// Those of `open` servers that can be sent a request now. Warm ones come alone where there are
    /// any: a cold server's rate is kept for when nothing else is free.
    fn unengaged(
        &self,
        now: Moment,
        need: &Need,
        open: &[ServerKey],
        needs_slot: bool,
        tally: &mut Tally,
    ) -> Vec<ServerKey> {
        let mut warm = Vec::new();
        let mut cold = Vec::new();
        for (key, server) in open.iter().filter_map(|key| Some((*key, self.get(*key)?))) {
            let at = self.circumstances(now, server, need, true);
            match eligible::engaged(server, &at, needs_slot) {
                Some(exclusion) => tally.add(exclusion),
                None if at.needs_permit && server.is_cold(now) => cold.push(key),
                None => warm.push(key),
            }
        }
        if warm.is_empty() {
            cold
        } else {
            warm
        }
    }

    /// Notes which cold servers `waiting` requests would use, as far as they have places.
    fn note_shortage(&mut self, now: Moment, need: &Need, open: &[ServerKey], waiting: u32) {
        let is_bounded = self.terms.get(&need.service).is_some_and(|terms| terms.cold.is_some());
        if !is_bounded {
            return;
        }
        let mut left = waiting;
        for key in open {
            let Some(server) = self.get(*key).filter(|server| server.is_cold(now)) else {
                continue;
            };
            let permits = server.free_slots().min(left);
            if permits > 0 && !server.load.is_avoided(now) {
                left -= permits;
                let noted = self.shortages.entry(*key).or_default();
                *noted = (*noted).max(permits);
            }
        }
    }

    /// The cheapest of some servers; one that is avoided only if all are.
    fn cheapest(
        &mut self,
        now: Moment,
        keys: &[ServerKey],
        taste: Taste,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let found = || keys.iter().filter_map(|key| self.get(*key));
        let service = found().next().map(|server| server.listing.service);
        let usual = service.and_then(|service| self.terms.get(&service)?.usual_millis);
        let best_millis = rank::best_millis(found(), usual, taste);
        let weights = Weights::new(now, best_millis, taste);
        let mut best: Option<(bool, f64, ServerKey)> = None;
        for key in keys {
            let jitter = self.random.random::<f64>();
            let Some(server) = self.get(*key) else {
                continue;
            };
            let distance = self.distance(server.listing.zone).as_secs_f64() * 1e3;
            let cost = rank::cost(server, &weights, distance, is_connected(*key)) + jitter;
            let candidate = (server.load.is_avoided(now), cost, *key);
            let is_better = best.is_none_or(|(avoided, known, _)| {
                candidate.0.cmp(&avoided).then(candidate.1.total_cmp(&known)).is_lt()
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }

    fn choice(&self, now: Moment, need: &Need, key: ServerKey) -> Option<Choice> {
        let fitness = eligible::fitness(self.get(key)?, need, now);
        Some(Choice { server: key, fitness })
    }

    /// The version of the weights that a server has for a need.
    fn version_at(&self, now: Moment, need: &Need, key: ServerKey) -> u64 {
        let Some(server) = self.get(key) else {
            return 0;
        };
        match eligible::fitness(server, need, now) {
            Fitness::Expected(version) => version,
            _ => need.model.and_then(|(model, _)| server.listed_version(model)).unwrap_or(0),
        }
    }
}

/// Leaves out servers that may not be sent a request again.
fn skip_tried(open: &mut Vec<ServerKey>, history: &History, tally: &mut Tally) {
    open.retain(|key| {
        let is_tried = history.tried.contains(key);
        if is_tried {
            tally.add(Exclusion::Tried);
        }
        !is_tried
    });
}

/// What keeps servers from a request, counted.
#[derive(Debug, Clone, Default)]
struct Tally {
    counts: BTreeMap<Exclusion, u32>,
}

impl Tally {
    fn add(&mut self, exclusion: Exclusion) {
        *self.counts.entry(exclusion).or_default() += 1;
    }

    /// What keeps most of the servers that are there from it. An operator's word counts only where
    /// it concerns all of them: the others may have a place soon.
    fn reason(&self) -> Option<Exclusion> {
        let lasts = |exclusion: &Exclusion| {
            matches!(exclusion, Exclusion::Evacuated | Exclusion::OutsideHomes)
        };
        let there = self.counts.iter().filter(|(exclusion, _)| **exclusion != Exclusion::Gone);
        let passing = there.clone().filter(|(exclusion, _)| !lasts(exclusion));
        let most = |counts: &mut dyn Iterator<Item = (&Exclusion, &u32)>| {
            counts.max_by_key(|(_, count)| **count).map(|(exclusion, _)| *exclusion)
        };
        most(&mut passing.clone())
            .or_else(|| most(&mut there.clone()))
            .or_else(|| self.counts.contains_key(&Exclusion::Gone).then_some(Exclusion::Gone))
    }
}
