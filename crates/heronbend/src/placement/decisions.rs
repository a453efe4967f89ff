//! Where requests go: the decisions of the [`Placer`], over what it is fed with.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::eligible;
use super::eligible::AttemptHistory;
use super::eligible::Circumstances;
use super::eligible::Exclusion;
use super::eligible::Requirements;
use super::eligible::VersionStatus;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use super::load::Load;
use super::placer::Choice;
use super::placer::Open;
use super::placer::Placer;
use super::queue::TicketKey;
use super::queue::Urgency;
use super::rank;
use super::rank::Profile;
use super::rank::Weights;
use super::server::Server;
use super::tally::Tally;
use super::wait_policy;
use super::wait_policy::Decision;
use super::wait_policy::WaitState;
use crate::Moment;

/// How long what bars servers from a need is believed without looking again, while nothing is told of
/// any server: only the mere passing of time changes it then.
const OPEN_BELIEVED: Duration = Duration::from_millis(50);
/// Of more servers than this a text is offered a subset, always the same one of a daemon while it has
/// places: a fleet of thousands costs no more than one of a hundred, and each daemon keeps to servers
/// that it is connected to and whose pace it knows. Drawn anew for each text, nearly every text of a fleet
/// of 7,777 servers would open a connection. So many places hold two steps of some hundred texts.
const SUBSET: usize = 128;
/// A subset with fewer free servers than this is no choice, and a larger one is looked at.
const MIN_CHOICE: usize = 8;
/// How much larger the next subset is.
const SUBSET_GROWTH: usize = 4;
/// Texts of a lane that a free server is offered to: the first one takes it unless all free servers
/// failed at it.
const LOOK_AHEAD: usize = 16;
/// Another server counts as faster from this ratio on; paces vary by a few parts in a hundred.
const FASTER: f64 = 1.15;

impl Placer {
    fn circumstances(
        &self,
        now: Moment,
        server: &Server,
        requirements: &Requirements,
        has_listed: bool,
    ) -> Circumstances {
        let terms = self.terms.get(&requirements.service).copied().unwrap_or_default();
        Circumstances {
            now,
            has_listed,
            is_evacuated: self.evacuated.contains(&server.registration.zone),
            is_home: self.is_home(server.registration.zone, requirements.allowed_regions),
            share: terms.share.unwrap_or(u32::MAX),
            needs_permit: terms.cold.is_some(),
        }
    }

    fn is_home(&self, zone: ZoneKey, allowed_regions: Option<RegionSetKey>) -> bool {
        let Some(allowed_regions) = allowed_regions else {
            return true;
        };
        let index: u32 = allowed_regions.into();
        let allowed_regions = self.region_sets.get(index as usize);
        let region = self.region_of.get(&zone);
        allowed_regions
            .zip(region)
            .is_some_and(|(allowed_regions, region)| allowed_regions.contains(region))
    }

    fn has_listed(&self, now: Moment, service: ServiceKey) -> bool {
        let is_listed = |server: &Server| server.is_ready() && !server.load.has_ended(now);
        self.of_service(service).any(|(_, server)| is_listed(server))
    }

    /// Servers that nothing bars from a need, with what bars the others, as of a moment ago.
    fn open_lately(
        &mut self,
        now: Moment,
        requirements: &Requirements,
    ) -> (Rc<[ServerKey]>, Tally) {
        let changes = self.changes;
        let is_current = |open: &Open| open.changes == changes && now < open.at + OPEN_BELIEVED;
        self.known_open.retain(is_current);
        if let Some(open) = self.known_open.iter().find(|open| open.requirements == *requirements) {
            return (open.servers.clone(), open.tally.clone());
        }
        let (servers, tally) = self.open(now, requirements);
        let servers: Rc<[ServerKey]> = servers.into();
        let open = Open { requirements: *requirements, changes, at: now, servers, tally };
        let found = (open.servers.clone(), open.tally.clone());
        self.known_open.push(open);
        found
    }

    /// Servers that nothing bars from a need, with what bars the others.
    fn open(&self, now: Moment, requirements: &Requirements) -> (Vec<ServerKey>, Tally) {
        let has_listed = self.has_listed(now, requirements.service);
        let mut tally = Tally::default();
        let mut open = Vec::new();
        for (key, server) in self.of_service(requirements.service) {
            let at = self.circumstances(now, server, requirements, has_listed);
            match eligible::barred(server, requirements, &at) {
                _ if self.awaits_evacuations => tally.add(Exclusion::Gone),
                Some(exclusion) => tally.add(exclusion),
                None => open.push(key),
            }
        }
        (open, tally)
    }

    /// Servers that may be sent requests of a need.
    pub fn eligible_servers(&self, now: Moment, requirements: &Requirements) -> Vec<ServerKey> {
        self.open(now, requirements).0
    }

    /// Places of the servers that may be sent requests of a need.
    pub fn total_slots(&self, now: Moment, requirements: &Requirements) -> u32 {
        let eligible_servers = self.eligible_servers(now, requirements);
        eligible_servers.into_iter().filter_map(|key| Some(self.get(key)?.registration.slots)).sum()
    }

    /// What becomes of a call. Servers that are not connected cost a little more; a server whose
    /// places are all taken is used if no other is better, one that is avoided only if all are.
    pub fn place_call(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
        wait: &WaitState,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Decision {
        let (mut open, mut tally) = self.open(now, requirements);
        skip_tried(&mut open, history, &mut tally);
        let free = self.free_for_call(now, requirements, &open, &mut tally);
        let free = self.apart(free, history.is_isolated);
        if history.spares_last_healthy && self.is_last(now, requirements.service, &free) {
            return wait_policy::unplaced(now, wait, Some(Exclusion::Last));
        }
        if free.is_empty() {
            self.note_shortage(now, requirements, &open, 1);
            return wait_policy::unplaced(now, wait, tally.reason());
        }
        let best = self.cheapest(now, &free, rank::CALL, is_connected);
        match best.and_then(|key| self.choice(now, requirements, key)) {
            Some(choice) => Decision::Place(choice),
            None => wait_policy::unplaced(now, wait, tally.reason()),
        }
    }

    /// What becomes of a stream: of the servers with free places one with the newest weights, or the
    /// best of all if none has a free place.
    pub fn place_stream(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
        wait: &WaitState,
    ) -> Decision {
        let (mut open, mut tally) = self.open(now, requirements);
        skip_tried(&mut open, history, &mut tally);
        let free = self.unengaged(now, requirements, &open, false, &mut tally);
        let free = self.apart(free, history.is_isolated);
        if history.spares_last_healthy && self.is_last(now, requirements.service, &free) {
            return wait_policy::unplaced(now, wait, Some(Exclusion::Last));
        }
        let has_place =
            |key: &ServerKey| self.get(*key).is_some_and(|server| server.free_slots() > 0);
        let idle: Vec<ServerKey> = free.iter().copied().filter(has_place).collect();
        let newest = idle.iter().map(|key| self.version_at(now, requirements, *key)).max();
        let best: Vec<ServerKey> = idle
            .into_iter()
            .filter(|key| Some(self.version_at(now, requirements, *key)) == newest)
            .collect();
        let chosen = self
            .cheapest(now, &best, rank::CALL, |_| true)
            .or_else(|| self.cheapest(now, &free, rank::CALL, |_| true));
        match chosen.and_then(|key| self.choice(now, requirements, key)) {
            Some(choice) => Decision::Place(choice),
            None => {
                self.note_shortage(now, requirements, &open, 1);
                wait_policy::unplaced(now, wait, tally.reason())
            }
        }
    }

    /// Whether a stream that runs at a server could go on at another one.
    pub fn has_alternative(&self, now: Moment, requirements: &Requirements, id: &str) -> bool {
        let here = self.key(id);
        self.eligible_servers(now, requirements).into_iter().any(|key| Some(key) != here)
    }

    /// Has a text wait for a place.
    pub fn enqueue(
        &mut self,
        now: Moment,
        requirements: Requirements,
        urgency: Urgency,
        history: AttemptHistory,
    ) -> TicketKey {
        self.queue.add(now, requirements, urgency, history)
    }

    /// Takes back a text that waited.
    pub fn cancel(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Texts that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// What keeps most servers from texts of a need now.
    pub fn main_exclusion(&self, now: Moment, requirements: &Requirements) -> Option<Exclusion> {
        let (open, mut tally) = self.open(now, requirements);
        self.unengaged(now, requirements, &open, true, &mut tally);
        tally.reason()
    }

    /// Texts of the same need that are placed before this one.
    pub fn queue_position(&self, ticket: TicketKey) -> Option<usize> {
        self.queue.queue_position(ticket)
    }

    /// The most urgent text that a place is free for, with the place. Whoever drives the machine notes
    /// that it began before it asks for the next one. Servers that are not connected cost a little more.
    pub fn place_next(
        &mut self,
        now: Moment,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        for requirements in self.queue.needs() {
            if let Some(placed) = self.place_first(now, &requirements, &is_connected) {
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
        requirements: &Requirements,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        let (open, mut tally) = self.open_lately(now, requirements);
        let free = self.free_for_text(now, requirements, &open, &mut tally);
        let waiting = u32::try_from(self.queue.waiting(requirements)).unwrap_or(u32::MAX);
        if free.is_empty() {
            self.note_shortage(now, requirements, &open, waiting);
            return None;
        }
        for ticket in self.queue.first(requirements, LOOK_AHEAD) {
            let history = self.queue.history(ticket).cloned().unwrap_or_default();
            if let Some(key) = self.text_place(now, (&open, &free), &history, is_connected) {
                let choice = self.choice(now, requirements, key)?;
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
        history: &AttemptHistory,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let has_failed = |key: &ServerKey| history.failed.contains(key);
        let has_sound = open.iter().any(|key| !has_failed(key));
        let mut fit: Vec<ServerKey> = free.to_vec();
        if has_sound {
            fit.retain(|key| !has_failed(key));
        }
        let fit = self.apart(fit, history.is_isolated);
        let service = fit.first().and_then(|key| Some(self.get(*key)?.registration.service));
        if history.spares_last_healthy
            && service.is_some_and(|service| self.is_last(now, service, &fit))
        {
            return None;
        }
        let other: Vec<ServerKey> =
            fit.iter().copied().filter(|key| Some(*key) != history.last).collect();
        self.cheapest(now, &other, rank::TEXT, is_connected)
            .or_else(|| self.cheapest(now, &fit, rank::TEXT, is_connected))
    }

    /// Those of some servers where requests that may end theirs are kept apart from all others. Two of
    /// them never meet: if their server ended, nothing would tell which of them it was. One goes to a
    /// server without any other request of this daemon if there is one, and any other request to a
    /// server without such a one.
    fn apart(&self, servers: Vec<ServerKey>, is_isolated: bool) -> Vec<ServerKey> {
        if !is_isolated && self.suspects == 0 {
            return servers;
        }
        let with = |is_wanted: fn(&Load) -> bool| -> Vec<ServerKey> {
            let wanted = |key: &ServerKey| self.get(*key).is_some_and(|it| is_wanted(&it.load));
            servers.iter().copied().filter(wanted).collect()
        };
        let without_suspects = with(|load| load.suspects == 0);
        if !is_isolated {
            return if without_suspects.is_empty() { servers } else { without_suspects };
        }
        let idle = with(|load| load.in_flight == 0);
        if idle.is_empty() {
            without_suspects
        } else {
            idle
        }
    }

    /// Whether some servers, which could be chosen, hold the last sound one of a service that lists
    /// several.
    fn is_last(&self, now: Moment, service: ServiceKey, servers: &[ServerKey]) -> bool {
        let listed = || self.of_service(service).filter(|(_, server)| server.is_ready());
        let is_sound = |server: &Server| !server.load.is_in_backoff(now);
        let sound: Vec<ServerKey> =
            listed().filter(|(_, server)| is_sound(server)).map(|(key, _)| key).collect();
        let is_risked = sound.first().is_some_and(|last| servers.contains(last));
        sound.len() == 1 && listed().count() > 1 && is_risked
    }

    /// A place for a text now, without waiting.
    pub fn place_batch_item(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
    ) -> Option<Choice> {
        let (open, mut tally) = self.open_lately(now, requirements);
        let free = self.free_for_text(now, requirements, &open, &mut tally);
        let key = self.text_place(now, (&open, &free), history, &|_| true)?;
        self.choice(now, requirements, key)
    }

    /// Time that a text with `remaining` events would win at the best other server with a free place,
    /// where an event takes `per_event` at its own.
    pub fn migration_gain(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        id: &str,
        per_event: Duration,
        remaining: u32,
    ) -> Option<Duration> {
        let here = self.key(id);
        let (open, mut tally) = self.open_lately(now, requirements);
        let mut free = self.free_for_text(now, requirements, &open, &mut tally);
        free.retain(|key| Some(*key) != here);
        let other = self.cheapest(now, &free, rank::TEXT, |_| true)?;
        let there = self.expected_latency(now, other, requirements.service)?;
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
        &self,
        now: Moment,
        requirements: &Requirements,
        open: &[ServerKey],
        tally: &mut Tally,
    ) -> Vec<ServerKey> {
        let mut size = SUBSET;
        while size < open.len() {
            let some = self.subset(open, size);
            let mut free = self.unengaged(now, requirements, &some, true, &mut Tally::default());
            free.retain(|key| self.get(*key).is_some_and(|server| !server.is_cold(now)));
            if free.len() >= MIN_CHOICE {
                return free;
            }
            size *= SUBSET_GROWTH;
        }
        self.unengaged(now, requirements, open, true, tally)
    }

    /// Those of `open` servers that can be sent a call: of many only some, where enough of these have
    /// free places.
    fn free_for_call(
        &self,
        now: Moment,
        requirements: &Requirements,
        open: &[ServerKey],
        tally: &mut Tally,
    ) -> Vec<ServerKey> {
        if open.len() > SUBSET {
            let some = self.subset(open, SUBSET);
            let free = self.unengaged(now, requirements, &some, true, &mut Tally::default());
            if free.len() >= MIN_CHOICE {
                return free;
            }
        }
        self.unengaged(now, requirements, open, false, tally)
    }

    /// So many of some servers, which are in the order of their keys: those that follow a place of this
    /// daemon's own in that order. Servers that come and go move it by as many.
    fn subset(&self, servers: &[ServerKey], size: usize) -> Vec<ServerKey> {
        let own = self.own_place * self.places.len() as f64;
        let first = servers.partition_point(|key| f64::from(key.index) < own);
        let (before, from) = servers.split_at(first);
        from.iter().chain(before).take(size).copied().collect()
    }

    /// Those of `open` servers that can be sent a request now. Warm ones come alone where there are
    /// any: a cold server's rate is kept for when nothing else is free.
    fn unengaged(
        &self,
        now: Moment,
        requirements: &Requirements,
        open: &[ServerKey],
        needs_slot: bool,
        tally: &mut Tally,
    ) -> Vec<ServerKey> {
        let mut warm = Vec::new();
        let mut cold = Vec::new();
        for (key, server) in open.iter().filter_map(|key| Some((*key, self.get(*key)?))) {
            let at = self.circumstances(now, server, requirements, true);
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
    fn note_shortage(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        open: &[ServerKey],
        waiting: u32,
    ) {
        let is_bounded =
            self.terms.get(&requirements.service).is_some_and(|terms| terms.cold.is_some());
        if !is_bounded {
            return;
        }
        let mut left = waiting;
        for key in open {
            let Some(server) = self.get(*key).filter(|server| server.is_cold(now)) else {
                continue;
            };
            let permits = server.free_slots().min(left);
            if permits > 0 && !server.load.is_in_backoff(now) {
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
        profile: Profile,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let found = || keys.iter().filter_map(|key| self.get(*key));
        let service = found().next().map(|server| server.registration.service);
        let usual = service.and_then(|service| self.terms.get(&service)?.usual_millis);
        let best_millis = rank::best_millis(found(), usual, profile);
        let weights = Weights::new(now, best_millis, profile);
        let explores = self.random.random_range(0..rank::EXPLORE_EVERY) == 0;
        let mut best: Option<(bool, f64, ServerKey)> = None;
        for key in keys {
            let jitter = self.random.random::<f64>();
            let Some(server) = self.get(*key) else {
                continue;
            };
            let distance = self.distance(server.registration.zone).as_secs_f64() * 1e3;
            let is_connected = explores || is_connected(*key);
            let cost = rank::cost(server, &weights, distance, is_connected) + jitter;
            let candidate = (server.load.is_in_backoff(now), cost, *key);
            let is_better = best.is_none_or(|(avoided, known, _)| {
                candidate.0.cmp(&avoided).then(candidate.1.total_cmp(&known)).is_lt()
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }

    fn choice(&self, now: Moment, requirements: &Requirements, key: ServerKey) -> Option<Choice> {
        let version_status = eligible::version_status(self.get(key)?, requirements, now);
        Some(Choice { server: key, version_status })
    }

    /// The version of the weights that a server has for a need.
    fn version_at(&self, now: Moment, requirements: &Requirements, key: ServerKey) -> u64 {
        let Some(server) = self.get(key) else {
            return 0;
        };
        match eligible::version_status(server, requirements, now) {
            VersionStatus::Expected(version) => version,
            _ => {
                requirements.model.and_then(|(model, _)| server.listed_version(model)).unwrap_or(0)
            }
        }
    }
}

/// Leaves out servers that may not be sent a request again.
fn skip_tried(open: &mut Vec<ServerKey>, history: &AttemptHistory, tally: &mut Tally) {
    open.retain(|key| {
        let is_tried = history.tried.contains(key);
        if is_tried {
            tally.add(Exclusion::Tried);
        }
        !is_tried
    });
}
