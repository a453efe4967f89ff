//! Placement decisions of the [`Placer`].

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
use super::rank::CostParameters;
use super::rank::Profile;
use super::server::Server;
use super::slack;
use super::slack::Candidate;
use super::slack::PaceRange;
use super::slack::Work;
use super::slack::MIN_SPEEDUP;
use super::wait_policy;
use super::wait_policy::Decision;
use super::wait_policy::WaitState;
use crate::Moment;

/// Lifetime of a cached set of eligible servers while no server changes. Eligibility still depends
/// on time, for example on the end of a grace period.
const ELIGIBLE_CACHE_TTL: Duration = Duration::from_millis(50);
/// Batch items are offered a subset of at most this many servers, which bounds the cost of a
/// decision in a large fleet. The subset is stable per daemon, so that its connections and latency
/// estimates are reused: with a new subset for each item, nearly every item of a fleet of 7,777
/// servers would open a connection. 128 servers hold two steps of some hundred items.
const SUBSET_SIZE: usize = 128;
/// A subset with fewer available servers than this is widened.
const MIN_SUBSET_CANDIDATES: usize = 8;
/// Factor by which a subset grows each time it is widened.
const SUBSET_GROWTH: usize = 4;
/// Maximum number of tickets of a lane that are tried if servers are available but not suitable for
/// the first ticket.
const LOOK_AHEAD: usize = 16;

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

    /// Like [`Self::find_eligible`], but reuses a recent result for the same requirements.
    pub(super) fn cached_eligible(
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

    /// Returns the servers that are eligible for `requirements`, in key order, and counts why the
    /// others are excluded.
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

    /// Returns the servers that are eligible for `requirements`, whatever their load.
    pub fn eligible_servers(&self, now: Moment, requirements: &Requirements) -> Vec<ServerKey> {
        self.find_eligible(now, requirements).0
    }

    /// Returns the total number of slots of the eligible servers.
    pub fn total_slots(&self, now: Moment, requirements: &Requirements) -> u32 {
        let eligible_servers = self.eligible_servers(now, requirements);
        eligible_servers.into_iter().filter_map(|key| Some(self.get(key)?.registration.slots)).sum()
    }

    /// Chooses a server for a call.
    ///
    /// Servers without an open connection are slightly more expensive. A server without a free slot
    /// is used if no better one exists, and one in backoff only if all are.
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

    /// Chooses a server for a stream: among the servers with a free slot, one with the newest
    /// weights, or the best of all servers if none has a free slot.
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
        let has_free_slot =
            |key: &ServerKey| self.get(*key).is_some_and(|server| server.free_slots() > 0);
        let with_free_slot: Vec<ServerKey> =
            available.iter().copied().filter(has_free_slot).collect();
        let best = self.with_newest_version(now, requirements, with_free_slot);
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

    /// Whether a stream that runs on server `id` could continue on another server.
    pub fn has_alternative(&self, now: Moment, requirements: &Requirements, id: &str) -> bool {
        let current = self.key(id);
        self.eligible_servers(now, requirements).into_iter().any(|key| Some(key) != current)
    }

    /// Adds a batch item to the queue.
    pub fn enqueue(
        &mut self,
        now: Moment,
        requirements: Requirements,
        urgency: Urgency,
        history: AttemptHistory,
    ) -> TicketKey {
        self.queue.add(now, requirements, urgency, history)
    }

    /// Sets the remaining work of a queued batch item, which is used if items are scheduled by
    /// slack.
    pub fn set_work(&mut self, ticket: TicketKey, work: Work) {
        self.queue.set_work(ticket, work);
    }

    /// Removes a batch item from the queue.
    pub fn cancel(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Number of queued batch items.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the most frequent reason why servers cannot take a batch item now.
    pub fn main_exclusion(&self, now: Moment, requirements: &Requirements) -> Option<Exclusion> {
        let (eligible, mut exclusions) = self.find_eligible(now, requirements);
        self.filter_available(now, requirements, &eligible, true, &mut exclusions);
        exclusions.dominant()
    }

    /// Number of queued items with the same requirements ahead of this one.
    pub fn queue_position(&self, ticket: TicketKey) -> Option<usize> {
        self.queue.queue_position(ticket)
    }

    /// Places the most urgent batch item that an available server can run, and removes it from the
    /// queue.
    ///
    /// The caller must report the item with [`Self::request_started`] before it asks for the next
    /// one. Servers without an open connection are slightly more expensive.
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

    /// Places the first item of a lane that an available server can run.
    fn place_first_in_lane(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<(TicketKey, Choice)> {
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        let waiting = u32::try_from(self.queue.lane_len(requirements)).unwrap_or(u32::MAX);
        if available.is_empty() {
            self.record_permit_demand(now, requirements, &eligible, waiting);
            return None;
        }
        let urgent = self.queue.most_urgent(requirements, LOOK_AHEAD);
        for (ahead, ticket) in urgent.into_iter().enumerate() {
            let history = self.queue.history(ticket).cloned().unwrap_or_default();
            let work = self.queue.work(ticket);
            let behind = self.queue.lane_len(requirements) - ahead - 1;
            let servers = (&*eligible, &*available);
            if let Some(key) =
                self.select_for_batch_item(now, servers, &history, (work, behind), is_connected)
            {
                let choice = self.choice(now, requirements, key)?;
                return Some((ticket, choice));
            }
        }
        None
    }

    /// Selects one of the `available` servers for a batch item. Skips servers that failed for the
    /// item while another eligible one has not, and the server of the last attempt while another
    /// one is available.
    fn select_for_batch_item(
        &mut self,
        now: Moment,
        (eligible, available): (&[ServerKey], &[ServerKey]),
        history: &AttemptHistory,
        (work, behind): (Option<Work>, usize),
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
        let work = work.filter(|_| self.schedules_by_slack);
        let other = self.select_by_slack(now, eligible, other, (work, behind));
        self.cheapest(now, &other, rank::BATCH_ITEM, is_connected)
            .or_else(|| self.cheapest(now, &candidates, rank::BATCH_ITEM, is_connected))
    }

    /// Keeps the slowest of the `available` servers on which an item with `work` meets its target,
    /// or the fastest ones if it is late on all. Keeps all if the `eligible` ones are of one class.
    fn select_by_slack(
        &self,
        now: Moment,
        eligible: &[ServerKey],
        available: Vec<ServerKey>,
        (work, behind): (Option<Work>, usize),
    ) -> Vec<ServerKey> {
        let Some(work) = work else {
            return available;
        };
        let Some(range) = self.pace_range(eligible) else {
            return available;
        };
        let candidate = |key: &ServerKey| Candidate {
            pace_millis: self.assumed_pace(*key, range),
            free_slots: self.get(*key).map_or(0, Server::free_slots),
        };
        let candidates: Vec<Candidate> = available.iter().map(candidate).collect();
        let selected = slack::select(now, &work, behind, &candidates);
        selected.into_iter().map(|index| available[index]).collect()
    }

    /// Whether items with these requirements are placed by slack: it is enabled, and there are fast
    /// and slow servers for them.
    pub fn uses_slack(&mut self, now: Moment, requirements: &Requirements) -> bool {
        if !self.schedules_by_slack {
            return false;
        }
        let (eligible, _) = self.cached_eligible(now, requirements);
        self.pace_range(&eligible).is_some()
    }

    /// Range of the known paces, or `None` if there are no classes of fast and slow servers.
    pub(super) fn pace_range(&self, servers: &[ServerKey]) -> Option<PaceRange> {
        PaceRange::new(servers.iter().filter_map(|key| self.paces.get(*key)))
    }

    /// Pace of a server in milliseconds per event. A server whose pace is unknown is assumed to be
    /// slow, so that it is explored by items with slack.
    pub(super) fn assumed_pace(&self, key: ServerKey, range: PaceRange) -> f64 {
        self.paces.get(key).unwrap_or(range.slowest)
    }

    /// Keeps suspects, requests that may crash their server, away from other requests.
    ///
    /// Two suspects never share a server, since a crash could not be attributed to either of them.
    /// A suspect goes to an idle server if possible, and other requests avoid servers that run a
    /// suspect if possible.
    pub(super) fn separate_suspects(
        &self,
        servers: Vec<ServerKey>,
        is_isolated: bool,
    ) -> Vec<ServerKey> {
        if !is_isolated && self.suspects == 0 {
            return servers;
        }
        let with = |is_wanted: fn(&ServerHealth) -> bool| -> Vec<ServerKey> {
            let wanted =
                |key: &ServerKey| self.get(*key).is_some_and(|server| is_wanted(&server.health));
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

    /// Whether `servers` contains the only healthy server of a service that has several ready ones.
    pub(super) fn includes_last_healthy(
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

    /// Chooses a server for a batch item now, without queueing it.
    pub fn place_batch_item(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
    ) -> Option<Choice> {
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        let servers = (&*eligible, &*available);
        let key = self.select_for_batch_item(now, servers, history, (None, 0), &|_| true)?;
        self.choice(now, requirements, key)
    }

    /// Returns the time that a batch item with `remaining` events would save by migrating from
    /// server `id`, where each event takes `per_event`, to the best other server with a free slot.
    ///
    /// Returns `None` if no other server is noticeably faster.
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

    /// Expected latency of a response of the server, or of an event of a batch item. `None` if no
    /// latency of any server of the service is known.
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

    /// Returns the `eligible` servers that have a slot for a batch item. In a large fleet only a
    /// subset is examined, which is widened until it has enough candidates.
    pub(super) fn available_for_batch_item(
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

    /// Returns the `eligible` servers that can be sent a call. In a large fleet only a subset is
    /// examined if it has enough servers with a free slot.
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

    /// Returns the `size` servers that follow this daemon's offset in key order, wrapping around.
    /// Each server that joins or leaves shifts the subset by at most one position.
    fn subset(&self, servers: &[ServerKey], size: usize) -> Vec<ServerKey> {
        let offset = self.subset_offset * self.arena.len() as f64;
        let first = servers.partition_point(|key| f64::from(key.index) < offset);
        let (before, from) = servers.split_at(first);
        from.iter().chain(before).take(size).copied().collect()
    }

    /// Returns the `eligible` servers that can be sent a request now. Cold servers are returned
    /// only if no warm one is available, which saves their permits.
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

    /// Records the permits that `waiting` requests could use on cold servers, up to their free
    /// slots.
    pub(super) fn record_permit_demand(
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

    /// Returns the server with the lowest cost; one in backoff only if all are.
    pub(super) fn cheapest(
        &mut self,
        now: Moment,
        keys: &[ServerKey],
        profile: Profile,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let servers = || keys.iter().filter_map(|key| self.get(*key));
        let service = servers().next().map(|server| server.registration.service);
        let baseline =
            service.and_then(|service| self.service_states.get(&service)?.baseline_millis);
        let best_millis = rank::best_millis(servers(), baseline, profile);
        let parameters = CostParameters::new(now, best_millis, profile);
        let ignores_connections = self.random.random_range(0..rank::EXPLORE_EVERY) == 0;
        let mut best: Option<(bool, f64, ServerKey)> = None;
        for key in keys {
            let jitter = self.random.random::<f64>();
            let Some(server) = self.get(*key) else {
                continue;
            };
            let latency_millis = self.zone_latency(server.registration.zone).as_secs_f64() * 1e3;
            let is_connected = ignores_connections || is_connected(*key);
            let cost = rank::cost(server, &parameters, latency_millis, is_connected) + jitter;
            let candidate = (server.health.is_in_backoff(now), cost, *key);
            let is_better = best.is_none_or(|(in_backoff, known, _)| {
                candidate.0.cmp(&in_backoff).then(candidate.1.total_cmp(&known)).is_lt()
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }

    pub(super) fn choice(
        &self,
        now: Moment,
        requirements: &Requirements,
        key: ServerKey,
    ) -> Option<Choice> {
        let version_status = eligibility::version_status(self.get(key)?, requirements, now);
        Some(Choice { server: key, version_status })
    }

    /// Keeps the servers with the newest version of the required model.
    pub(super) fn with_newest_version(
        &self,
        now: Moment,
        requirements: &Requirements,
        servers: Vec<ServerKey>,
    ) -> Vec<ServerKey> {
        let version = |key: &ServerKey| self.version_at(now, requirements, *key);
        let newest = servers.iter().map(version).max();
        servers.into_iter().filter(|key| Some(version(key)) == newest).collect()
    }

    /// Version of the required model that a server has or is expected to have; 0 if there is none.
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

/// Removes servers that must not be sent the request again.
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
