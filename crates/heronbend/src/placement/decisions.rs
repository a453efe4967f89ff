//! Where requests go: the decisions of the [`Placer`], over what it is fed with.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::eligibility;
use super::eligibility::AttemptHistory;
use super::eligibility::EligibilityContext;
use super::eligibility::Exclusion;
use super::eligibility::Requirements;
use super::eligibility::VersionStatus;
use super::exclusion_counts::ExclusionCounts;
use super::health::ServerHealth;
use super::keys::RegionSetKey;
use super::keys::ServerKey;
use super::keys::ServiceKey;
use super::keys::ZoneKey;
use super::placer::Choice;
use super::placer::EligibleServers;
use super::placer::Placer;
use super::queue::TicketKey;
use super::queue::Urgency;
use super::rank;
use super::rank::Profile;
use super::rank::Weights;
use super::server::Server;
use super::wait_policy;
use super::wait_policy::Decision;
use super::wait_policy::WaitState;
use crate::Moment;

/// How long what bars servers from a need is believed without looking again, while nothing is told of
/// any server: only the mere passing of time changes it then.
const ELIGIBLE_CACHE_TTL: Duration = Duration::from_millis(50);
/// Of more servers than this a text is offered a subset, always the same one of a daemon while it has
/// places: a fleet of thousands costs no more than one of a hundred, and each daemon keeps to servers
/// that it is connected to and whose pace it knows. Drawn anew for each text, nearly every text of a fleet
/// of 7,777 servers would open a connection. So many places hold two steps of some hundred texts.
const SUBSET_SIZE: usize = 128;
/// A subset with fewer free servers than this is no choice, and a larger one is looked at.
const MIN_SUBSET_CANDIDATES: usize = 8;
/// How much larger the next subset is.
const SUBSET_GROWTH: usize = 4;
/// Texts of a lane that a free server is offered to: the first one takes it unless all free servers
/// failed at it.
const LOOK_AHEAD: usize = 16;
/// Another server counts as faster from this ratio on; paces vary by a few parts in a hundred.
const MIN_SPEEDUP: f64 = 1.15;

impl Placer {
    fn eligibility_context(
        &self,
        now: Moment,
        server: &Server,
        requirements: &Requirements,
        has_ready_server: bool,
    ) -> EligibilityContext {
        let state = self.service_states.get(&requirements.service).copied().unwrap_or_default();
        EligibilityContext {
            now,
            has_ready_server,
            is_evacuated: self.evacuated.contains(&server.registration.zone),
            is_region_allowed: self
                .is_region_allowed(server.registration.zone, requirements.allowed_regions),
            max_in_flight: state.max_in_flight.unwrap_or(u32::MAX),
            needs_permit: state.cold_start.is_some(),
        }
    }

    fn is_region_allowed(&self, zone: ZoneKey, allowed_regions: Option<RegionSetKey>) -> bool {
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

    fn has_ready_server(&self, now: Moment, service: ServiceKey) -> bool {
        let is_running = |server: &Server| server.is_ready() && !server.health.has_exited(now);
        self.servers_of(service).any(|(_, server)| is_running(server))
    }

    /// Servers that nothing bars from a need, with what bars the others, as of a moment ago.
    fn cached_eligible(
        &mut self,
        now: Moment,
        requirements: &Requirements,
    ) -> (Rc<[ServerKey]>, ExclusionCounts) {
        let change_count = self.change_count;
        let is_current = |eligible: &EligibleServers| {
            eligible.change_count == change_count && now < eligible.computed_at + ELIGIBLE_CACHE_TTL
        };
        self.eligible_cache.retain(is_current);
        if let Some(eligible) =
            self.eligible_cache.iter().find(|eligible| eligible.requirements == *requirements)
        {
            return (eligible.servers.clone(), eligible.exclusions.clone());
        }
        let (servers, exclusions) = self.find_eligible(now, requirements);
        let servers: Rc<[ServerKey]> = servers.into();
        let eligible = EligibleServers {
            requirements: *requirements,
            change_count,
            computed_at: now,
            servers,
            exclusions,
        };
        let found = (eligible.servers.clone(), eligible.exclusions.clone());
        self.eligible_cache.push(eligible);
        found
    }

    /// Servers that nothing bars from a need, with what bars the others.
    fn find_eligible(
        &self,
        now: Moment,
        requirements: &Requirements,
    ) -> (Vec<ServerKey>, ExclusionCounts) {
        let has_ready_server = self.has_ready_server(now, requirements.service);
        let mut exclusions = ExclusionCounts::default();
        let mut eligible = Vec::new();
        for (key, server) in self.servers_of(requirements.service) {
            let context = self.eligibility_context(now, server, requirements, has_ready_server);
            match eligibility::check_eligibility(server, requirements, &context) {
                _ if self.awaits_evacuations => exclusions.add(Exclusion::NotReady),
                Some(exclusion) => exclusions.add(exclusion),
                None => eligible.push(key),
            }
        }
        (eligible, exclusions)
    }

    /// Servers that may be sent requests of a need.
    pub fn eligible_servers(&self, now: Moment, requirements: &Requirements) -> Vec<ServerKey> {
        self.find_eligible(now, requirements).0
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
        let (mut eligible, mut exclusions) = self.find_eligible(now, requirements);
        exclude_tried(&mut eligible, history, &mut exclusions);
        let available = self.available_for_call(now, requirements, &eligible, &mut exclusions);
        let available = self.separate_suspects(available, history.is_isolated);
        if history.spares_last_healthy
            && self.includes_last_healthy(now, requirements.service, &available)
        {
            return wait_policy::wait_or_reject(now, wait, Some(Exclusion::LastHealthy));
        }
        if available.is_empty() {
            self.record_permit_demand(now, requirements, &eligible, 1);
            return wait_policy::wait_or_reject(now, wait, exclusions.dominant());
        }
        let best = self.cheapest(now, &available, rank::CALL, is_connected);
        match best.and_then(|key| self.choice(now, requirements, key)) {
            Some(choice) => Decision::Place(choice),
            None => wait_policy::wait_or_reject(now, wait, exclusions.dominant()),
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
        let (mut eligible, mut exclusions) = self.find_eligible(now, requirements);
        exclude_tried(&mut eligible, history, &mut exclusions);
        let available = self.filter_available(now, requirements, &eligible, false, &mut exclusions);
        let available = self.separate_suspects(available, history.is_isolated);
        if history.spares_last_healthy
            && self.includes_last_healthy(now, requirements.service, &available)
        {
            return wait_policy::wait_or_reject(now, wait, Some(Exclusion::LastHealthy));
        }
        let has_place =
            |key: &ServerKey| self.get(*key).is_some_and(|server| server.free_slots() > 0);
        let idle: Vec<ServerKey> = available.iter().copied().filter(has_place).collect();
        let newest = idle.iter().map(|key| self.version_at(now, requirements, *key)).max();
        let best: Vec<ServerKey> = idle
            .into_iter()
            .filter(|key| Some(self.version_at(now, requirements, *key)) == newest)
            .collect();
        let chosen = self
            .cheapest(now, &best, rank::CALL, |_| true)
            .or_else(|| self.cheapest(now, &available, rank::CALL, |_| true));
        match chosen.and_then(|key| self.choice(now, requirements, key)) {
            Some(choice) => Decision::Place(choice),
            None => {
                self.record_permit_demand(now, requirements, &eligible, 1);
                wait_policy::wait_or_reject(now, wait, exclusions.dominant())
            }
        }
    }

    /// Whether a stream that runs at a server could go on at another one.
    pub fn has_alternative(&self, now: Moment, requirements: &Requirements, id: &str) -> bool {
        let current = self.key(id);
        self.eligible_servers(now, requirements).into_iter().any(|key| Some(key) != current)
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
        let (eligible, mut exclusions) = self.find_eligible(now, requirements);
        self.filter_available(now, requirements, &eligible, true, &mut exclusions);
        exclusions.dominant()
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
        for requirements in self.queue.lanes_by_urgency() {
            if let Some(placed) = self.place_first_in_lane(now, &requirements, &is_connected) {
                self.queue.remove(placed.0);
                return Some(placed);
            }
        }
        None
    }

    /// The first text of a lane that some free server fits.
    fn place_first_in_lane(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        let waiting = u32::try_from(self.queue.waiting_count(requirements)).unwrap_or(u32::MAX);
        if available.is_empty() {
            self.record_permit_demand(now, requirements, &eligible, waiting);
            return None;
        }
        for ticket in self.queue.most_urgent(requirements, LOOK_AHEAD) {
            let history = self.queue.history(ticket).cloned().unwrap_or_default();
            if let Some(key) =
                self.select_for_batch_item(now, (&eligible, &available), &history, is_connected)
            {
                let choice = self.choice(now, requirements, key)?;
                return Some((ticket, choice));
            }
        }
        None
    }

    /// The place of a text among `free` servers: not one that failed at it while another one of `open`
    /// has not, and not the one whose attempt ended last while another one is free.
    fn select_for_batch_item(
        &mut self,
        now: Moment,
        (eligible, available): (&[ServerKey], &[ServerKey]),
        history: &AttemptHistory,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let has_failed = |key: &ServerKey| history.failed.contains(key);
        let has_other = eligible.iter().any(|key| !has_failed(key));
        let mut candidates: Vec<ServerKey> = available.to_vec();
        if has_other {
            candidates.retain(|key| !has_failed(key));
        }
        let candidates = self.separate_suspects(candidates, history.is_isolated);
        let service = candidates.first().and_then(|key| Some(self.get(*key)?.registration.service));
        if history.spares_last_healthy
            && service.is_some_and(|service| self.includes_last_healthy(now, service, &candidates))
        {
            return None;
        }
        let other: Vec<ServerKey> =
            candidates.iter().copied().filter(|key| Some(*key) != history.last).collect();
        self.cheapest(now, &other, rank::BATCH_ITEM, is_connected)
            .or_else(|| self.cheapest(now, &candidates, rank::BATCH_ITEM, is_connected))
    }

    /// Those of some servers where requests that may end theirs are kept apart from all others. Two of
    /// them never meet: if their server ended, nothing would tell which of them it was. One goes to a
    /// server without any other request of this daemon if there is one, and any other request to a
    /// server without such a one.
    fn separate_suspects(&self, servers: Vec<ServerKey>, is_isolated: bool) -> Vec<ServerKey> {
        if !is_isolated && self.suspects == 0 {
            return servers;
        }
        let with = |is_wanted: fn(&ServerHealth) -> bool| -> Vec<ServerKey> {
            let wanted = |key: &ServerKey| self.get(*key).is_some_and(|it| is_wanted(&it.health));
            servers.iter().copied().filter(wanted).collect()
        };
        let without_suspects = with(|health| health.suspects == 0);
        if !is_isolated {
            return if without_suspects.is_empty() { servers } else { without_suspects };
        }
        let idle = with(|health| health.in_flight == 0);
        if idle.is_empty() {
            without_suspects
        } else {
            idle
        }
    }

    /// Whether some servers, which could be chosen, hold the last sound one of a service that lists
    /// several.
    fn includes_last_healthy(
        &self,
        now: Moment,
        service: ServiceKey,
        servers: &[ServerKey],
    ) -> bool {
        let ready = || self.servers_of(service).filter(|(_, server)| server.is_ready());
        let is_healthy = |server: &Server| !server.health.is_in_backoff(now);
        let healthy: Vec<ServerKey> =
            ready().filter(|(_, server)| is_healthy(server)).map(|(key, _)| key).collect();
        let is_included = healthy.first().is_some_and(|last| servers.contains(last));
        healthy.len() == 1 && ready().count() > 1 && is_included
    }

    /// A place for a text now, without waiting.
    pub fn place_batch_item(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
    ) -> Option<Choice> {
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        let key = self.select_for_batch_item(now, (&eligible, &available), history, &|_| true)?;
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
        let current = self.key(id);
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let mut available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        available.retain(|key| Some(*key) != current);
        let other = self.cheapest(now, &available, rank::BATCH_ITEM, |_| true)?;
        let other_latency = self.expected_latency(now, other, requirements.service)?;
        let is_faster = per_event.as_secs_f64() > other_latency.as_secs_f64() * MIN_SPEEDUP;
        is_faster.then(|| (per_event - other_latency) * remaining)
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
            let servers = self.servers_of(service).map(|(_, server)| server);
            servers.filter(|server| server.is_ready())
        };
        let is_known = peers().any(|peer| peer.health.mean_millis.is_some());
        let best = rank::best_millis(peers(), None, rank::BATCH_ITEM);
        let millis = self.get(key)?.health.decayed_mean_millis(now, best);
        is_known.then(|| Duration::from_secs_f64(millis / 1e3))
    }

    /// Those of `open` servers that have a place for a text: of many only some, where that is enough.
    fn available_for_batch_item(
        &self,
        now: Moment,
        requirements: &Requirements,
        eligible: &[ServerKey],
        exclusions: &mut ExclusionCounts,
    ) -> Vec<ServerKey> {
        let mut size = SUBSET_SIZE;
        while size < eligible.len() {
            let subset = self.subset(eligible, size);
            let mut available = self.filter_available(
                now,
                requirements,
                &subset,
                true,
                &mut ExclusionCounts::default(),
            );
            available.retain(|key| self.get(*key).is_some_and(|server| !server.is_cold(now)));
            if available.len() >= MIN_SUBSET_CANDIDATES {
                return available;
            }
            size *= SUBSET_GROWTH;
        }
        self.filter_available(now, requirements, eligible, true, exclusions)
    }

    /// Those of `open` servers that can be sent a call: of many only some, where enough of these have
    /// free places.
    fn available_for_call(
        &self,
        now: Moment,
        requirements: &Requirements,
        eligible: &[ServerKey],
        exclusions: &mut ExclusionCounts,
    ) -> Vec<ServerKey> {
        if eligible.len() > SUBSET_SIZE {
            let subset = self.subset(eligible, SUBSET_SIZE);
            let available = self.filter_available(
                now,
                requirements,
                &subset,
                true,
                &mut ExclusionCounts::default(),
            );
            if available.len() >= MIN_SUBSET_CANDIDATES {
                return available;
            }
        }
        self.filter_available(now, requirements, eligible, false, exclusions)
    }

    /// So many of some servers, which are in the order of their keys: those that follow a place of this
    /// daemon's own in that order. Servers that come and go move it by as many.
    fn subset(&self, servers: &[ServerKey], size: usize) -> Vec<ServerKey> {
        let offset = self.subset_offset * self.arena.len() as f64;
        let first = servers.partition_point(|key| f64::from(key.index) < offset);
        let (before, from) = servers.split_at(first);
        from.iter().chain(before).take(size).copied().collect()
    }

    /// Those of `open` servers that can be sent a request now. Warm ones come alone where there are
    /// any: a cold server's rate is kept for when nothing else is free.
    fn filter_available(
        &self,
        now: Moment,
        requirements: &Requirements,
        eligible: &[ServerKey],
        needs_slot: bool,
        exclusions: &mut ExclusionCounts,
    ) -> Vec<ServerKey> {
        let mut warm = Vec::new();
        let mut cold = Vec::new();
        for (key, server) in eligible.iter().filter_map(|key| Some((*key, self.get(*key)?))) {
            let context = self.eligibility_context(now, server, requirements, true);
            match eligibility::check_availability(server, &context, needs_slot) {
                Some(exclusion) => exclusions.add(exclusion),
                None if context.needs_permit && server.is_cold(now) => cold.push(key),
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
    fn record_permit_demand(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        eligible: &[ServerKey],
        waiting: u32,
    ) {
        let is_bounded = self
            .service_states
            .get(&requirements.service)
            .is_some_and(|state| state.cold_start.is_some());
        if !is_bounded {
            return;
        }
        let mut left = waiting;
        for key in eligible {
            let Some(server) = self.get(*key).filter(|server| server.is_cold(now)) else {
                continue;
            };
            let permits = server.free_slots().min(left);
            if permits > 0 && !server.health.is_in_backoff(now) {
                left -= permits;
                let demand = self.permit_demand.entry(*key).or_default();
                *demand = (*demand).max(permits);
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
        let baseline =
            service.and_then(|service| self.service_states.get(&service)?.baseline_millis);
        let best_millis = rank::best_millis(found(), baseline, profile);
        let weights = Weights::new(now, best_millis, profile);
        let ignores_connections = self.random.random_range(0..rank::EXPLORE_EVERY) == 0;
        let mut best: Option<(bool, f64, ServerKey)> = None;
        for key in keys {
            let jitter = self.random.random::<f64>();
            let Some(server) = self.get(*key) else {
                continue;
            };
            let latency_millis = self.zone_latency(server.registration.zone).as_secs_f64() * 1e3;
            let is_connected = ignores_connections || is_connected(*key);
            let cost = rank::cost(server, &weights, latency_millis, is_connected) + jitter;
            let candidate = (server.health.is_in_backoff(now), cost, *key);
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
        let version_status = eligibility::version_status(self.get(key)?, requirements, now);
        Some(Choice { server: key, version_status })
    }

    /// The version of the weights that a server has for a need.
    fn version_at(&self, now: Moment, requirements: &Requirements, key: ServerKey) -> u64 {
        let Some(server) = self.get(key) else {
            return 0;
        };
        match eligibility::version_status(server, requirements, now) {
            VersionStatus::Expected(version) => version,
            _ => requirements
                .model
                .and_then(|(model, _)| server.registered_version(model))
                .unwrap_or(0),
        }
    }
}

/// Leaves out servers that may not be sent a request again.
fn exclude_tried(
    eligible: &mut Vec<ServerKey>,
    history: &AttemptHistory,
    exclusions: &mut ExclusionCounts,
) {
    eligible.retain(|key| {
        let is_tried = history.tried.contains(key);
        if is_tried {
            exclusions.add(Exclusion::AlreadyTried);
        }
        !is_tried
    });
}
