//! Tests of eligibility, ranking and queue order, and simulations of overload in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::*;
use crate::identity::Incarnation;
use crate::placement::server::EXPECTED_LOAD_TIME;
use crate::Moment;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const SEED: u64 = 7;

const COLD_LIMIT: ColdStartLimit =
    ColdStartLimit { per_second: 7.0, duration: Duration::from_secs(3) };

struct Fleet {
    placer: Placer,
    revision: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut placer = Placer::new(SEED);
        for (zone, region) in [("a", "north"), ("b", "north"), ("c", "south")] {
            placer.set_region(zone, region);
        }
        placer.set_local_zone("a");
        placer.set_service_limits("app", 100, None);
        placer.set_service_limits("engines", 100, Some(COLD_LIMIT));
        Self { placer, revision: 0 }
    }

    fn registration(&mut self, service: &str, zone: &str) -> Registration {
        self.revision += 1;
        Registration {
            service: self.placer.service(service),
            zone: self.placer.zone(zone),
            slots: 8,
            is_draining: false,
            versions: Vec::new(),
            cold_for: Duration::ZERO,
            incarnation: Incarnation::default(),
            revision: self.revision,
        }
    }

    fn add(&mut self, id: &str, service: &str, zone: &str) -> ServerKey {
        let registration = self.registration(service, zone);
        self.placer.register(SECOND, id, registration)
    }

    fn add_cold(&mut self, id: &str, zone: &str) -> ServerKey {
        let registration =
            Registration { cold_for: COLD_LIMIT.duration, ..self.registration("engines", zone) };
        self.placer.register(SECOND, id, registration)
    }

    fn requirements(&mut self, service: &str) -> Requirements {
        Requirements { service: self.placer.service(service), model: None, allowed_regions: None }
    }

    fn call(&mut self, now: Moment, requirements: &Requirements) -> Decision {
        self.placer.place_call(now, requirements, &AttemptHistory::default(), &wait(now), |_| true)
    }

    fn id(&self, decision: Decision) -> String {
        let Decision::Place(choice) = decision else {
            panic!("{decision:?}");
        };
        self.placer.id(choice.server).unwrap().to_owned()
    }
}

fn wait(since: Moment) -> WaitState {
    WaitState { since, deadline: since + SECOND, target: 200 * MILLI, was_sent: false }
}

fn urgency(deadline: Moment, remaining_tokens: u64) -> Urgency {
    Urgency { priority: 1, deadline, remaining_tokens: Reverse(remaining_tokens) }
}

#[test]
fn slow_server_is_avoided_until_its_latency_estimate_decays() {
    let mut fleet = Fleet::new();
    fleet.add("slow", "app", "a");
    fleet.add("fast", "app", "a");
    let requirements = fleet.requirements("app");
    for _ in 0..5 {
        fleet.placer.record_outcome(SECOND, "slow", AttemptOutcome::Succeeded(300 * MILLI));
        fleet.placer.record_outcome(SECOND, "fast", AttemptOutcome::Succeeded(10 * MILLI));
    }
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "fast");
    // The estimates have decayed, so both servers are used.
    let mut slow = 0;
    for _ in 0..200 {
        let chosen = fleet.call(SECOND * 60, &requirements);
        slow += u32::from(fleet.id(chosen) == "slow");
    }
    assert!(slow > 20, "{slow}");
}

#[test]
fn few_calls_reuse_few_connections_despite_varying_work() {
    let mut fleet = Fleet::new();
    for (id, zone) in [("near", "a"), ("other", "b"), ("third", "b"), ("far", "c")] {
        fleet.add(id, "app", zone);
    }
    let requirements = fleet.requirements("app");
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut connected: BTreeMap<ServerKey, u32> = BTreeMap::new();
    for number in 0..100 {
        let now = SECOND * number;
        let known = connected.clone();
        let none = AttemptHistory::default();
        let is_connected = |server| known.contains_key(&server);
        let decision = fleet.placer.place_call(now, &requirements, &none, &wait(now), is_connected);
        let Decision::Place(choice) = decision else {
            panic!("{decision:?}");
        };
        *connected.entry(choice.server).or_default() += 1;
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        // Calls vary in the work they require.
        let run_time = random.random_range(18..36) * MILLI;
        fleet.placer.record_outcome(now, &id, AttemptOutcome::Succeeded(run_time));
    }
    let near = fleet.placer.key("near").unwrap();
    assert!(connected[&near] >= 95, "{connected:?}");
    // A server that becomes slow is not used further.
    for _ in 0..5 {
        fleet.placer.record_outcome(SECOND * 100, "near", AttemptOutcome::Succeeded(120 * MILLI));
    }
    let chosen = fleet.call(SECOND * 100, &requirements);
    assert_ne!(fleet.id(chosen), "near");
}

#[test]
fn unconnected_servers_are_explored_and_calls_return_to_local_zone() {
    let mut fleet = Fleet::new();
    let known = fleet.add("known", "app", "a");
    fleet.add("unknown", "app", "a");
    let requirements = fleet.requirements("app");
    let none = AttemptHistory::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..400 {
        let is_connected = |server| server == known;
        let decision =
            fleet.placer.place_call(SECOND, &requirements, &none, &wait(SECOND), is_connected);
        *counts.entry(fleet.id(decision)).or_default() += 1;
    }
    assert!((4..40).contains(&counts["unknown"]), "{counts:?}");
    // The daemon has connections only to another zone, and the servers of its own zone are back.
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    let far = fleet.add("other", "app", "b");
    let requirements = fleet.requirements("app");
    let mut near = 0;
    for _ in 0..100 {
        let is_connected = |server| server == far;
        let decision =
            fleet.placer.place_call(SECOND, &requirements, &none, &wait(SECOND), is_connected);
        near += u32::from(fleet.id(decision) == "near");
    }
    assert!(near > 60, "{near}");
}

#[test]
fn two_consecutive_failures_start_a_backoff() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Failed);
    assert!(!fleet.placer.is_in_backoff(SECOND, "a"));
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Failed);
    assert!(fleet.placer.is_in_backoff(SECOND, "a"));
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Succeeded(5 * MILLI));
    assert!(!fleet.placer.is_in_backoff(SECOND, "a"));
}

#[test]
fn unreachable_server_backs_off_at_once_but_takes_calls_if_it_is_the_only_one() {
    let mut fleet = Fleet::new();
    let key = fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Unreachable);
    assert!(fleet.placer.is_in_backoff(SECOND, "a"));
    assert_matches!(fleet.call(SECOND, &requirements), Decision::Place(_));
    let tried = AttemptHistory { tried: vec![key], ..AttemptHistory::default() };
    let decision = fleet.placer.place_call(SECOND, &requirements, &tried, &wait(SECOND), |_| true);
    assert_matches!(decision, Decision::Wait(_));
    // A batch item is not sent to a server in backoff.
    assert_eq!(
        fleet.placer.place_batch_item(SECOND, &requirements, &AttemptHistory::default()),
        None
    );
}

#[test]
fn draining_and_deregistered_servers_are_not_eligible() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let draining = Registration { is_draining: true, ..fleet.registration("app", "a") };
    fleet.placer.register(SECOND, "b", draining);
    let requirements = fleet.requirements("app");
    let ids = |fleet: &Fleet, now| -> Vec<String> {
        let eligible_servers = fleet.placer.eligible_servers(now, &requirements).into_iter();
        eligible_servers.map(|key| fleet.placer.id(key).unwrap().to_owned()).collect()
    };
    assert_eq!(ids(&fleet, SECOND), ["a"]);
    fleet.add("c", "app", "a");
    fleet.placer.deregister(SECOND, "a");
    assert_eq!(ids(&fleet, SECOND), ["c"]);
}

#[test]
fn deregistered_servers_are_used_during_grace_period_if_none_is_ready() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.deregister(SECOND, "a");
    assert_eq!(fleet.placer.eligible_servers(SECOND + 500 * MILLI, &requirements).len(), 1);
    assert!(fleet.placer.eligible_servers(SECOND * 4, &requirements).is_empty());
}

#[test]
fn server_keys_are_not_reused() {
    let mut fleet = Fleet::new();
    let old = fleet.add("a", "app", "a");
    fleet.placer.deregister(SECOND, "a");
    fleet.placer.deregister(SECOND * 5, "a");
    let new = fleet.add("b", "app", "a");
    assert_ne!(old, new);
    assert_eq!((fleet.placer.id(old), fleet.placer.id(new)), (None, Some("b")));
}

#[test]
fn loading_server_is_eligible_after_expected_load_time() {
    let mut fleet = Fleet::new();
    let model = fleet.placer.model("m");
    let registration =
        Registration { versions: vec![(model, 3)], ..fleet.registration("engines", "a") };
    fleet.placer.register(SECOND, "e", registration);
    let service = fleet.placer.service("engines");
    let requirements =
        |min| Requirements { service, model: Some((model, min)), allowed_regions: None };
    let version_status = |fleet: &mut Fleet, now, min| {
        let choice =
            fleet.placer.place_batch_item(now, &requirements(min), &AttemptHistory::default());
        choice.map(|choice| choice.version_status)
    };
    assert_eq!(version_status(&mut fleet, SECOND, 3), Some(VersionStatus::Registered));
    assert_eq!(version_status(&mut fleet, SECOND, 4), None);
    fleet.placer.record_load_command(SECOND, "e", "m", 5);
    assert_eq!(version_status(&mut fleet, SECOND, 3), None);
    assert_eq!(
        version_status(&mut fleet, SECOND + EXPECTED_LOAD_TIME, 4),
        Some(VersionStatus::Expected(5))
    );
    assert_eq!(version_status(&mut fleet, SECOND + EXPECTED_LOAD_TIME, 6), None);
    let loaded = Registration { versions: vec![(model, 5)], ..fleet.registration("engines", "a") };
    fleet.placer.register(SECOND, "e", loaded);
    assert_eq!(version_status(&mut fleet, SECOND, 5), Some(VersionStatus::Registered));
}

#[test]
fn evacuated_zone_is_excluded_and_calls_are_rejected_if_no_zone_is_left() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.add("b", "app", "b");
    let requirements = fleet.requirements("app");
    fleet.placer.evacuate("a");
    for _ in 0..50 {
        let chosen = fleet.call(SECOND, &requirements);
        assert_eq!(fleet.id(chosen), "b");
    }
    fleet.placer.evacuate("b");
    let rejected =
        Decision::Reject(Rejection { reason: Some(Exclusion::Evacuated), retry_after: SECOND });
    assert_eq!(fleet.call(SECOND, &requirements), rejected);
    assert!(fleet.placer.is_in_evacuated_zone("b"));
    fleet.placer.end_evacuation(SECOND, "a");
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "a");
}

#[test]
fn calls_wait_for_busy_servers_despite_an_evacuation() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let busy = fleet.add("b", "app", "b");
    let requirements = fleet.requirements("app");
    fleet.placer.evacuate("a");
    let tried = AttemptHistory { tried: vec![busy], ..AttemptHistory::default() };
    let decision = fleet.placer.place_call(SECOND, &requirements, &tried, &wait(SECOND), |_| true);
    assert_matches!(decision, Decision::Wait(_));
}

#[test]
fn servers_are_assumed_cold_after_an_evacuation() {
    let mut fleet = Fleet::new();
    fleet.add("e", "engines", "a");
    let requirements = fleet.requirements("engines");
    let none = AttemptHistory::default();
    assert!(fleet.placer.place_batch_item(SECOND, &requirements, &none).is_some());
    fleet.placer.evacuate("a");
    fleet.placer.end_evacuation(SECOND * 10, "a");
    assert_eq!(fleet.placer.place_batch_item(SECOND * 10, &requirements, &none), None);
    // A registration that was written before the server became cold arrives late.
    fleet.add("e", "engines", "a");
    assert_eq!(fleet.placer.place_batch_item(SECOND * 12, &requirements, &none), None);
    assert!(fleet.placer.place_batch_item(SECOND * 13, &requirements, &none).is_some());
}

#[test]
fn cold_server_gets_one_request_per_permit() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("e", "a");
    let requirements = fleet.requirements("engines");
    for number in 0..5 {
        let _ = fleet.placer.enqueue(
            SECOND,
            requirements,
            urgency(SECOND, number),
            AttemptHistory::default(),
        );
    }
    assert_eq!(fleet.placer.place_next(SECOND, |_| true), None);
    assert_eq!(
        fleet.placer.take_permit_demand(SECOND),
        [PermitDemand { server: cold, permits: 5 }]
    );
    // Permits are requested only once at a time.
    assert_eq!(fleet.placer.place_next(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_permit_demand(SECOND), []);
    fleet.placer.record_permit_grant(SECOND, cold, 2, SECOND + 300 * MILLI, None);
    let mut placed = 0;
    while let Some((_, choice)) = fleet.placer.place_next(SECOND, |_| true) {
        assert_eq!(choice.server, cold);
        fleet.placer.request_started(SECOND, "e");
        placed += 1;
    }
    assert_eq!(placed, 2);
    assert_eq!(
        fleet.placer.take_permit_demand(SECOND),
        [PermitDemand { server: cold, permits: 3 }]
    );
    // Expired permits are not used.
    fleet.placer.record_permit_grant(SECOND, cold, 3, SECOND + 300 * MILLI, None);
    assert_eq!(fleet.placer.place_next(SECOND + 300 * MILLI, |_| true), None);
    // A warm server requires no permit.
    assert!(fleet.placer.place_next(SECOND * 4, |_| true).is_some());
}

#[test]
fn permits_are_requested_again_after_retry_after() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("e", "a");
    let requirements = fleet.requirements("engines");
    let _ =
        fleet.placer.enqueue(SECOND, requirements, urgency(SECOND, 1), AttemptHistory::default());
    assert_eq!(fleet.placer.place_next(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_permit_demand(SECOND).len(), 1);
    fleet.placer.record_permit_grant(SECOND, cold, 0, SECOND, Some(400 * MILLI));
    for (millis, requested) in [(399, 0), (400, 1)] {
        let now = SECOND + millis * MILLI;
        assert_eq!(fleet.placer.place_next(now, |_| true), None);
        assert_eq!(fleet.placer.take_permit_demand(now).len(), requested, "after {millis} ms");
    }
}

#[test]
fn warm_servers_are_preferred_to_cold_ones() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("cold", "a");
    fleet.add("warm", "engines", "b");
    let requirements = fleet.requirements("engines");
    fleet.placer.record_permit_grant(SECOND, cold, 7, SECOND * 2, None);
    for _ in 0..8 {
        let choice = fleet
            .placer
            .place_batch_item(SECOND, &requirements, &AttemptHistory::default())
            .unwrap();
        assert_ne!(choice.server, cold);
        fleet.placer.request_started(SECOND, "warm");
    }
    let choice =
        fleet.placer.place_batch_item(SECOND, &requirements, &AttemptHistory::default()).unwrap();
    assert_eq!(choice.server, cold);
}

#[test]
fn no_permits_are_requested_for_services_without_cold_start_limit() {
    let mut fleet = Fleet::new();
    let registration = Registration { cold_for: SECOND * 3, ..fleet.registration("app", "a") };
    fleet.placer.register(SECOND, "a", registration);
    let requirements = fleet.requirements("app");
    assert_matches!(fleet.call(SECOND, &requirements), Decision::Place(_));
    assert_eq!(fleet.placer.take_permit_demand(SECOND), []);
}

#[test]
fn rereading_a_registration_does_not_restart_the_cold_period() {
    let mut fleet = Fleet::new();
    let registration =
        Registration { cold_for: COLD_LIMIT.duration, ..fleet.registration("engines", "a") };
    fleet.placer.register(SECOND, "e", registration.clone());
    fleet.placer.register(SECOND * 5, "e", registration);
    let requirements = fleet.requirements("engines");
    assert!(fleet
        .placer
        .place_batch_item(SECOND * 5, &requirements, &AttemptHistory::default())
        .is_some());
}

#[test]
fn requests_run_only_in_allowed_regions_and_are_rejected_if_none_has_a_server() {
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    fleet.add("far", "app", "c");
    let south = fleet.placer.region_set(["south"].into_iter());
    let east = fleet.placer.region_set(["east"].into_iter());
    let nowhere = fleet.placer.region_set(std::iter::empty());
    let within = |allowed_regions, requirements: Requirements| Requirements {
        allowed_regions: Some(allowed_regions),
        ..requirements
    };
    let requirements = fleet.requirements("app");
    for _ in 0..50 {
        let chosen = fleet.call(SECOND, &within(south, requirements));
        assert_eq!(fleet.id(chosen), "far");
    }
    for allowed_regions in [east, nowhere] {
        let rejected = fleet.call(SECOND, &within(allowed_regions, requirements));
        assert_matches!(
            rejected,
            Decision::Reject(Rejection { reason: Some(Exclusion::RegionNotAllowed), .. })
        );
    }
}

#[test]
fn unsent_call_is_rejected_sooner_than_one_that_servers_rejected() {
    let mut fleet = Fleet::new();
    let requirements = fleet.requirements("app");
    let none = AttemptHistory::default();
    let started = wait(SECOND);
    let after = |fleet: &mut Fleet, millis, was_sent| {
        let wait = WaitState { was_sent, ..started };
        let now = SECOND + millis * MILLI;
        matches!(
            fleet.placer.place_call(now, &requirements, &none, &wait, |_| true),
            Decision::Wait(_)
        )
    };
    assert_eq!([39, 40].map(|millis| after(&mut fleet, millis, false)), [true, false]);
    assert_eq!([199, 200].map(|millis| after(&mut fleet, millis, true)), [true, false]);
}

#[test]
fn batch_items_fill_fast_servers_before_slow_ones() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("fast", 40), ("slow", 52)] {
        fleet.add(id, "engines", "a");
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let requirements = fleet.requirements("engines");
    let mut chosen = Vec::new();
    for _ in 0..9 {
        let choice = fleet
            .placer
            .place_batch_item(SECOND, &requirements, &AttemptHistory::default())
            .unwrap();
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        fleet.placer.request_started(SECOND, &id);
        chosen.push(id);
    }
    let fast = chosen.iter().filter(|id| *id == "fast").count();
    assert_eq!((fast, chosen[8].as_str()), (8, "slow"), "{chosen:?}");
}

#[test]
fn batch_items_are_spread_over_zones_and_regions() {
    let mut fleet = Fleet::new();
    for (id, zone) in [("near", "a"), ("other", "b"), ("far", "c")] {
        fleet.add(id, "engines", zone);
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(49 * MILLI));
    }
    let requirements = fleet.requirements("engines");
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..12 {
        let choice = fleet
            .placer
            .place_batch_item(SECOND, &requirements, &AttemptHistory::default())
            .unwrap();
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        fleet.placer.request_started(SECOND, &id);
        *counts.entry(id).or_default() += 1;
    }
    // Half of the slots are used, and no server is full.
    assert!(counts.values().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn migration_gain_depends_on_remaining_events() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("fast", 40), ("slow", 52)] {
        fleet.add(id, "engines", "a");
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let requirements = fleet.requirements("engines");
    let gain = |fleet: &mut Fleet, id, millis, remaining| {
        fleet.placer.migration_gain(SECOND, &requirements, id, millis * MILLI, remaining)
    };
    let long = gain(&mut fleet, "slow", 52, 100).unwrap();
    let short = gain(&mut fleet, "slow", 52, 5).unwrap();
    assert!(long > SECOND && short < 100 * MILLI);
    // There is no gain on the fastest server, nor from a move to a full one.
    assert_eq!(gain(&mut fleet, "fast", 40, 100), None);
    for _ in 0..8 {
        fleet.placer.request_started(SECOND, "fast");
    }
    assert_eq!(gain(&mut fleet, "slow", 52, 100), None);
}

#[test]
fn small_latency_differences_give_no_migration_gain() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("a", 40), ("b", 44)] {
        fleet.add(id, "engines", "a");
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let requirements = fleet.requirements("engines");
    assert_eq!(fleet.placer.migration_gain(SECOND, &requirements, "b", 44 * MILLI, 100), None);
}

#[test]
fn batch_item_avoids_a_failed_server_while_another_is_eligible() {
    let mut fleet = Fleet::new();
    let bad = fleet.add("bad", "engines", "a");
    fleet.add("good", "engines", "b");
    let requirements = fleet.requirements("engines");
    let history = AttemptHistory { failed: vec![bad], ..AttemptHistory::default() };
    for _ in 0..8 {
        fleet.placer.request_started(SECOND, "good");
    }
    // The other server is full, but will have a free slot again.
    assert_eq!(fleet.placer.place_batch_item(SECOND, &requirements, &history), None);
    fleet.placer.deregister(SECOND, "good");
    assert_eq!(
        fleet.placer.place_batch_item(SECOND, &requirements, &history).map(|choice| choice.server),
        Some(bad)
    );
}

#[test]
fn free_slot_goes_to_the_most_urgent_suitable_item() {
    let mut fleet = Fleet::new();
    let model = fleet.placer.model("m");
    let registration =
        Registration { versions: vec![(model, 4)], ..fleet.registration("engines", "a") };
    fleet.placer.register(SECOND, "e", Registration { slots: 1, ..registration });
    let service = fleet.placer.service("engines");
    let requirements =
        |min| Requirements { service, model: Some((model, min)), allowed_regions: None };
    let none = AttemptHistory::default;
    let placer = &mut fleet.placer;
    let later = placer.enqueue(SECOND, requirements(3), urgency(SECOND * 9, 90), none());
    let short = placer.enqueue(SECOND, requirements(4), urgency(SECOND * 5, 5), none());
    let long = placer.enqueue(SECOND, requirements(4), urgency(SECOND * 5, 50), none());
    // The most urgent item requires weights that no server has, and must not block the others.
    let unsuitable = placer.enqueue(SECOND, requirements(5), urgency(SECOND, 99), none());
    let ranked = Urgency { priority: 0, ..urgency(SECOND * 9, 1) };
    let first = placer.enqueue(SECOND, requirements(4), ranked, none());
    assert_eq!(placer.queue_position(short), Some(2));
    let mut order = Vec::new();
    while let Some((ticket, _)) = placer.place_next(SECOND, |_| true) {
        let key = placer.request_started(SECOND, "e").unwrap();
        order.push(ticket);
        placer.request_finished(SECOND, key, AttemptOutcome::Abandoned);
    }
    assert_eq!(order, [first, long, short, later]);
    assert_eq!(placer.main_exclusion(SECOND, &requirements(5)), Some(Exclusion::VersionMismatch));
    placer.cancel(unsuitable);
    assert_eq!(placer.queue_len(), 0);
}

/// A batch item of a simulation.
#[derive(Debug, Clone, Copy)]
struct BatchItem {
    requirements: Requirements,
    /// Run time on a healthy server without other load.
    run_time: Duration,
    deadline: Moment,
}

/// Simulates engines in virtual time, driven by the placer alone.
struct Simulation {
    fleet: Fleet,
    now: Moment,
    /// Factor by which a server slows its items.
    slowdown: BTreeMap<String, u32>,
    running: Vec<(Moment, String, BatchItem)>,
    waiting: BTreeMap<TicketKey, BatchItem>,
    finished: Vec<(Moment, BatchItem)>,
}

impl Simulation {
    fn new() -> Self {
        let fleet = Fleet::new();
        let (running, finished) = (Vec::new(), Vec::new());
        let (slowdown, waiting) = (BTreeMap::new(), BTreeMap::new());
        Self { fleet, now: SECOND, slowdown, running, waiting, finished }
    }

    fn submit(&mut self, item: BatchItem) {
        let remaining_tokens = u64::try_from(item.run_time.as_millis()).unwrap();
        let urgency = urgency(item.deadline, remaining_tokens);
        let ticket = self.fleet.placer.enqueue(
            self.now,
            item.requirements,
            urgency,
            AttemptHistory::default(),
        );
        self.waiting.insert(ticket, item);
    }

    fn place(&mut self) {
        while let Some((ticket, choice)) = self.fleet.placer.place_next(self.now, |_| true) {
            let id = self.fleet.placer.id(choice.server).unwrap().to_owned();
            self.fleet.placer.request_started(self.now, &id);
            let item = self.waiting.remove(&ticket).unwrap();
            let slowdown = self.slowdown.get(&id).copied().unwrap_or(1);
            self.running.push((self.now + item.run_time * slowdown, id, item));
        }
    }

    /// Finishes items in order of completion until none is running.
    fn run(&mut self) {
        self.place();
        while let Some(next) = (0..self.running.len()).min_by_key(|index| self.running[*index].0) {
            let (at, id, item) = self.running.swap_remove(next);
            self.now = at;
            let took = item.run_time * self.slowdown.get(&id).copied().unwrap_or(1);
            let per_event = took / u32::try_from(item.run_time.as_millis() / 50).unwrap().max(1);
            let key = self.fleet.placer.key(&id).unwrap();
            self.fleet.placer.request_finished(at, key, AttemptOutcome::Succeeded(per_event));
            self.finished.push((at, item));
            self.place();
        }
        assert!(self.waiting.is_empty(), "{} items are never placed", self.waiting.len());
    }

    fn remove_server(&mut self, id: &str) {
        self.fleet.placer.deregister(self.now, id);
        let is_lost = |(_, server, _): &(Moment, String, BatchItem)| server == id;
        let lost: Vec<_> = self.running.extract_if(.., |run| is_lost(run)).collect();
        for (_, server, item) in lost {
            let key = self.fleet.placer.key(&server).unwrap();
            self.fleet.placer.request_finished(self.now, key, AttemptOutcome::Failed);
            self.submit(item);
        }
    }
}

/// Four steps of 128 to 144 items arrive at once on 45 servers with 8 slots, a fifth of which are
/// four times slower. One item in fifty is long.
fn overload(seed: u64) -> Simulation {
    println!("seed {seed}");
    let mut random = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    let models: Vec<ModelKey> =
        ["w", "x", "y", "z"].iter().map(|name| simulation.fleet.placer.model(name)).collect();
    for number in 0..45 {
        let id = format!("e{number:02}");
        let zone = ["a", "b", "c"][number % 3];
        let versions = models.iter().map(|model| (*model, 1)).collect();
        let registration =
            Registration { versions, ..simulation.fleet.registration("engines", zone) };
        simulation.fleet.placer.register(SECOND, &id, registration);
        simulation.slowdown.insert(id, if number % 5 == 4 { 4 } else { 1 });
    }
    let service = simulation.fleet.placer.service("engines");
    for (model, items) in models.iter().zip([136, 128, 128, 144]) {
        let requirements =
            Requirements { service, model: Some((*model, 1)), allowed_regions: None };
        for _ in 0..items {
            let is_long = random.random_bool(0.02);
            let run_time = if is_long { 7000 } else { random.random_range(200..900) } * MILLI;
            simulation.submit(BatchItem { requirements, run_time, deadline: SECOND * 8 });
        }
    }
    simulation
}

#[test]
fn overload_starts_long_items_first_and_uses_all_slots() {
    for seed in 0..8 {
        let mut simulation = overload(seed);
        simulation.place();
        // There are 536 items for 360 slots: all slots are used, and no long item waits.
        assert_eq!(simulation.running.len(), 360);
        let longest_waiting = simulation.waiting.values().map(|item| item.run_time).max().unwrap();
        let shortest_running =
            simulation.running.iter().map(|(.., item)| item.run_time).min().unwrap();
        assert!(longest_waiting <= shortest_running);
        simulation.run();
        assert_eq!(simulation.finished.len(), 536);
        // Only long items remain at the end.
        let short = simulation.finished.iter().filter(|(_, item)| item.run_time < SECOND);
        let last_short = short.map(|(at, _)| *at).max().unwrap();
        assert!(last_short < SECOND * 6, "{last_short:?}");
    }
}

#[test]
fn overload_finishes_all_items_after_losing_a_third_of_the_servers() {
    for seed in 0..8 {
        let mut simulation = overload(seed);
        simulation.place();
        for number in (0..45).step_by(3) {
            simulation.remove_server(&format!("e{number:02}"));
        }
        simulation.place();
        assert_eq!(simulation.running.len(), 240);
        simulation.run();
        assert_eq!(simulation.finished.len(), 536);
    }
}

#[test]
fn last_free_slot_of_a_large_fleet_is_found() {
    let mut fleet = Fleet::new();
    for number in 0..2000 {
        let id = format!("e{number}");
        fleet.add(&id, "engines", "a");
        for _ in 0..8 {
            fleet.placer.request_started(SECOND, &id);
        }
    }
    let requirements = fleet.requirements("engines");
    assert_eq!(
        fleet.placer.place_batch_item(SECOND, &requirements, &AttemptHistory::default()),
        None
    );
    let key = fleet.placer.key("e1234").unwrap();
    fleet.placer.request_finished(SECOND, key, AttemptOutcome::Abandoned);
    let choice =
        fleet.placer.place_batch_item(SECOND, &requirements, &AttemptHistory::default()).unwrap();
    assert_eq!(fleet.placer.id(choice.server), Some("e1234"));
}

#[test]
fn later_step_does_not_delay_an_earlier_one() {
    let mut simulation = overload(1);
    let (requirements, run_time) = {
        let item = simulation.waiting.values().next().unwrap();
        (item.requirements, 900 * MILLI)
    };
    for _ in 0..200 {
        simulation.submit(BatchItem { requirements, run_time, deadline: SECOND * 12 });
    }
    simulation.place();
    assert!(simulation.running.iter().all(|(.., item)| item.deadline == SECOND * 8));
}

#[test]
fn cold_zone_stays_within_its_rate_limit_under_backlog() {
    let mut fleet = Fleet::new();
    let keys: Vec<ServerKey> =
        (0..15).map(|number| fleet.add_cold(&format!("e{number}"), "a")).collect();
    let requirements = fleet.requirements("engines");
    for number in 0..500 {
        let _ = fleet.placer.enqueue(
            SECOND,
            requirements,
            urgency(SECOND, number),
            AttemptHistory::default(),
        );
    }
    let mut issuer = crate::rate_limit::PermitIssuer::default();
    let terms = crate::rate_limit::RateLimit::bounded(COLD_LIMIT.per_second, 16.0);
    let mut sent: BTreeMap<ServerKey, Vec<Moment>> = BTreeMap::new();
    for step in 0..300 {
        let now = SECOND + step * 10 * MILLI;
        while let Some((_, choice)) = fleet.placer.place_next(now, |_| true) {
            let id = fleet.placer.id(choice.server).unwrap().to_owned();
            let key = fleet.placer.request_started(now, &id).unwrap();
            fleet.placer.request_finished(now, key, AttemptOutcome::Abandoned);
            sent.entry(choice.server).or_default().push(now);
        }
        for demand in fleet.placer.take_permit_demand(now) {
            let id = format!("{:?}", demand.server);
            let grant = issuer.issue(now, &id, demand.permits, terms);
            let until = now + crate::rate_limit::PERMIT_VALIDITY;
            let again = (grant.permits == 0).then_some(grant.retry_after);
            fleet.placer.record_permit_grant(now, demand.server, grant.permits, until, again);
        }
    }
    for key in keys {
        let times = &sent[&key];
        // Every server is used, and none gets more than 7 requests in any second.
        assert!(times.len() >= 14, "{}", times.len());
        for begin in times {
            let window = times.iter().filter(|at| *begin <= **at && **at < *begin + SECOND);
            assert!(window.count() <= 7);
        }
    }
}

#[test]
fn suspects_are_separated_from_each_other_and_from_other_requests() {
    let mut fleet = Fleet::new();
    for id in ["a", "b"] {
        fleet.add(id, "app", "a");
    }
    let requirements = fleet.requirements("app");
    let history = |is_isolated| AttemptHistory { is_isolated, ..AttemptHistory::default() };
    let call = |fleet: &mut Fleet, is_isolated| {
        let wait = wait(SECOND);
        let decision =
            fleet.placer.place_call(SECOND, &requirements, &history(is_isolated), &wait, |_| true);
        matches!(decision, Decision::Place(_)).then(|| fleet.id(decision))
    };
    fleet.placer.request_started(SECOND, "a");
    // The suspect goes to the idle server.
    assert_eq!(call(&mut fleet, true).as_deref(), Some("b"));
    fleet.placer.request_started(SECOND, "b");
    fleet.placer.add_suspect("b");
    for _ in 0..20 {
        assert_eq!(call(&mut fleet, false).as_deref(), Some("a"));
        assert_eq!(call(&mut fleet, true).as_deref(), Some("a"));
    }
    fleet.placer.add_suspect("a");
    assert_eq!(call(&mut fleet, true), None);
    assert!(call(&mut fleet, false).is_some());
    fleet.placer.remove_suspect("b");
    assert_eq!(call(&mut fleet, true).as_deref(), Some("b"));
}

#[test]
fn last_healthy_server_is_spared_from_a_request_that_crashed_others() {
    let mut fleet = Fleet::new();
    for id in ["a", "b", "c"] {
        fleet.add(id, "app", "a");
    }
    let requirements = fleet.requirements("app");
    let risky = AttemptHistory {
        is_isolated: true,
        spares_last_healthy: true,
        ..AttemptHistory::default()
    };
    let call = |fleet: &mut Fleet, now| {
        fleet.placer.place_call(now, &requirements, &risky, &wait(now), |_| true)
    };
    assert_matches!(call(&mut fleet, SECOND), Decision::Place(_));
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    assert_matches!(call(&mut fleet, SECOND), Decision::Place(_));
    fleet.placer.record_outcome(SECOND, "b", AttemptOutcome::ServerExited);
    let rejected = call(&mut fleet, SECOND);
    assert_matches!(
        rejected,
        Decision::Reject(Rejection { reason: Some(Exclusion::LastHealthy), .. })
    );
    // Other requests still use the last healthy server.
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "c");
    assert!(fleet.placer.place_batch_item(SECOND, &requirements, &risky).is_none());
    // The replacements of the other servers have registered.
    for id in ["a", "b"] {
        fleet.placer.deregister(2 * SECOND, id);
        fleet.add(&format!("{id}2"), "app", "a");
    }
    assert_matches!(call(&mut fleet, 2 * SECOND), Decision::Place(_));
    // The only server of a service is not spared.
    for id in ["a2", "b2"] {
        fleet.placer.deregister(3 * SECOND, id);
    }
    assert_matches!(call(&mut fleet, 3 * SECOND), Decision::Place(_));
}

/// Guards against sending calls to exited servers while they are still registered.
#[test]
fn exited_server_gets_no_calls_during_backoff() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    // A rejection at the same address may come from another server.
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Rejected);
    let none = AttemptHistory::default();
    let decision =
        fleet.placer.place_call(2 * SECOND, &requirements, &none, &wait(2 * SECOND), |_| true);
    assert_matches!(decision, Decision::Wait(_));
    let late = wait(SECOND);
    let decision = fleet.placer.place_call(2 * SECOND, &requirements, &none, &late, |_| true);
    assert_matches!(
        decision,
        Decision::Reject(Rejection { reason: Some(Exclusion::ServerExited), .. })
    );
    // After the backoff the server is tried again, in case it was only unreachable.
    let chosen = fleet.call(5 * SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "a");
}

/// Guards against rejecting calls shortly before the successors of all exited servers are known.
#[test]
fn a_call_waits_for_the_successor_of_an_exited_server_for_a_part_of_its_time() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    let none = AttemptHistory::default();
    let decide = |fleet: &mut Fleet, now, time: Duration| {
        let wait = WaitState { deadline: SECOND + time, ..wait(SECOND) };
        fleet.placer.place_call(now, &requirements, &none, &wait, |_| true)
    };
    // Most processes have restarted by then.
    let after_restart = SECOND + 900 * MILLI;
    assert_matches!(decide(&mut fleet, after_restart, 3 * SECOND), Decision::Wait(_));
    // The removal of its registration does not end the wait, nor start it anew.
    fleet.placer.deregister(after_restart, "a");
    assert_matches!(decide(&mut fleet, after_restart, 3 * SECOND), Decision::Wait(_));
    let late = SECOND + 1201 * MILLI;
    assert_matches!(decide(&mut fleet, late, 3 * SECOND), Decision::Reject(_));
    // A caller with little time is told early.
    assert_matches!(decide(&mut fleet, after_restart, SECOND), Decision::Reject(_));
    fleet.add("a2", "app", "a");
    assert_matches!(decide(&mut fleet, after_restart, 3 * SECOND), Decision::Place(_));
}

/// Guards against an exited server that is still registered hiding healthy servers in their grace
/// period.
#[test]
fn exited_server_does_not_block_servers_in_grace_period() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.add("b", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.deregister(SECOND, "b");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "b");
    fleet.add("c", "app", "a");
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "c");
}

/// Guards against a daemon opening connections to most servers of a large fleet.
#[test]
fn daemon_uses_a_bounded_subset_of_a_large_fleet() {
    for servers in [7_777, 15_554] {
        let mut fleet = Fleet::new();
        for number in 0..servers {
            let registration = Registration { slots: 6, ..fleet.registration("engines", "a") };
            fleet.placer.register(SECOND, &format!("e{number}"), registration);
        }
        fleet.placer.set_service_limits("engines", 16, None);
        let requirements = fleet.requirements("engines");
        let mut used: BTreeSet<ServerKey> = BTreeSet::new();
        for _ in 0..6 {
            let mut running = Vec::new();
            for _ in 0..128 {
                let none = AttemptHistory::default();
                let choice = fleet
                    .placer
                    .place_batch_item(SECOND, &requirements, &none)
                    .expect("a free slot");
                let id = fleet.placer.id(choice.server).unwrap().to_owned();
                fleet.placer.request_started(SECOND, &id);
                running.push(choice.server);
            }
            for key in running {
                fleet.placer.request_finished(SECOND, key, AttemptOutcome::Succeeded(40 * MILLI));
                used.insert(key);
            }
        }
        assert!(used.len() <= 128, "{} of {servers} servers", used.len());
    }
}

/// Guards against the arena growing during a release that replaces all servers.
#[test]
fn arena_slots_of_deregistered_servers_are_reused() {
    let mut fleet = Fleet::new();
    for number in 0..4000_u32 {
        let now = SECOND + number * 10 * MILLI;
        let registration = fleet.registration("engines", "a");
        fleet.placer.register(now, &format!("e{number}"), registration);
        if let Some(left) = number.checked_sub(200) {
            fleet.placer.deregister(now, &format!("e{left}"));
        }
    }
    assert!(fleet.placer.arena.len() <= 340, "{} slots", fleet.placer.arena.len());
}

#[test]
fn reregistered_server_keeps_its_key_and_state() {
    let mut fleet = Fleet::new();
    let key = fleet.add("e", "engines", "a");
    fleet.placer.request_started(SECOND, "e");
    fleet.placer.deregister(SECOND, "e");
    assert_eq!(fleet.add("e", "engines", "a"), key);
    // Deregistering another server later must not evict this one.
    fleet.add("f", "engines", "a");
    fleet.placer.deregister(9 * SECOND, "f");
    assert_eq!((fleet.placer.key("e"), fleet.placer.in_flight("e")), (Some(key), 1));
}
