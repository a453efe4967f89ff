//! Rules of eligibility, ranks, order of waiting, and replays of the worst load in virtual time.

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

/// What a cold server bears in these tests: 7 requests a second, for three seconds.
const COLD: ColdStartLimit = ColdStartLimit { per_second: 7.0, duration: Duration::from_secs(3) };

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
        placer.set_service("app", 100, None);
        placer.set_service("engines", 100, Some(COLD));
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
            Registration { cold_for: COLD.duration, ..self.registration("engines", zone) };
        self.placer.register(SECOND, id, registration)
    }

    fn requirements(&mut self, service: &str) -> Requirements {
        Requirements { service: self.placer.service(service), model: None, allowed_regions: None }
    }

    fn call(&mut self, now: Moment, requirements: &Requirements) -> Decision {
        self.placer.place_call(now, requirements, &AttemptHistory::default(), &wait(now), |_| true)
    }

    fn id(&self, answer: Decision) -> String {
        let Decision::Place(choice) = answer else {
            panic!("{answer:?}");
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
fn a_slow_server_is_left_for_a_fast_one_and_tried_again_later() {
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
    // Long after, little is left of what was known: both are tried, however fast the other is.
    let mut slow = 0;
    for _ in 0..200 {
        let chosen = fleet.call(SECOND * 60, &requirements);
        slow += u32::from(fleet.id(chosen) == "slow");
    }
    assert!(slow > 20, "{slow}");
}

#[test]
fn a_daemon_with_few_calls_keeps_to_few_servers_however_the_work_of_calls_differs() {
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
        let answer = fleet.placer.place_call(now, &requirements, &none, &wait(now), is_connected);
        let Decision::Place(choice) = answer else {
            panic!("{answer:?}");
        };
        *connected.entry(choice.server).or_default() += 1;
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        // Work of calls as of application servers: 25 ms in the mean, some twice as much.
        let work = random.random_range(18..36) * MILLI;
        fleet.placer.record_outcome(now, &id, AttemptOutcome::Succeeded(work));
    }
    let near = fleet.placer.key("near").unwrap();
    assert!(connected[&near] >= 95, "{connected:?}");
    // A server that turns slow is left all the same.
    for _ in 0..5 {
        fleet.placer.record_outcome(SECOND * 100, "near", AttemptOutcome::Succeeded(120 * MILLI));
    }
    let chosen = fleet.call(SECOND * 100, &requirements);
    assert_ne!(fleet.id(chosen), "near");
}

#[test]
fn servers_without_a_connection_are_tried_at_times_and_calls_return_to_their_zone() {
    let mut fleet = Fleet::new();
    let known = fleet.add("known", "app", "a");
    fleet.add("unknown", "app", "a");
    let requirements = fleet.requirements("app");
    let none = AttemptHistory::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..400 {
        let is_connected = |server| server == known;
        let answer =
            fleet.placer.place_call(SECOND, &requirements, &none, &wait(SECOND), is_connected);
        *counts.entry(fleet.id(answer)).or_default() += 1;
    }
    assert!((4..40).contains(&counts["unknown"]), "{counts:?}");
    // The daemon has connections to another zone alone, and its own zone's servers are back.
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    let far = fleet.add("other", "app", "b");
    let requirements = fleet.requirements("app");
    let mut near = 0;
    for _ in 0..100 {
        let is_connected = |server| server == far;
        let answer =
            fleet.placer.place_call(SECOND, &requirements, &none, &wait(SECOND), is_connected);
        near += u32::from(fleet.id(answer) == "near");
    }
    assert!(near > 60, "{near}");
}

#[test]
fn one_lost_answer_does_not_make_a_server_avoided_and_two_do() {
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
fn a_server_that_cannot_be_reached_is_avoided_at_once_but_used_by_calls_if_all_are() {
    let mut fleet = Fleet::new();
    let key = fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Unreachable);
    assert!(fleet.placer.is_in_backoff(SECOND, "a"));
    assert_matches!(fleet.call(SECOND, &requirements), Decision::Place(_));
    let tried = AttemptHistory { tried: vec![key], ..AttemptHistory::default() };
    let answer = fleet.placer.place_call(SECOND, &requirements, &tried, &wait(SECOND), |_| true);
    assert_matches!(answer, Decision::Wait(_));
    // A text is not sent there: it loses more than a moment.
    assert_eq!(
        fleet.placer.place_batch_item(SECOND, &requirements, &AttemptHistory::default()),
        None
    );
}

#[test]
fn leaving_and_gone_servers_get_nothing_new() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let leaving = Registration { is_draining: true, ..fleet.registration("app", "a") };
    fleet.placer.register(SECOND, "b", leaving);
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
fn when_all_entries_lapse_the_servers_are_used_for_a_moment_longer() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.deregister(SECOND, "a");
    assert_eq!(fleet.placer.eligible_servers(SECOND + 500 * MILLI, &requirements).len(), 1);
    assert!(fleet.placer.eligible_servers(SECOND * 4, &requirements).is_empty());
}

#[test]
fn a_key_of_a_server_that_is_gone_never_means_another_one() {
    let mut fleet = Fleet::new();
    let gone = fleet.add("a", "app", "a");
    fleet.placer.deregister(SECOND, "a");
    fleet.placer.deregister(SECOND * 5, "a");
    let new = fleet.add("b", "app", "a");
    assert_ne!(gone, new);
    assert_eq!((fleet.placer.id(gone), fleet.placer.id(new)), (None, Some("b")));
}

#[test]
fn a_server_that_loads_is_tried_again_once_it_may_have_loaded() {
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
fn an_evacuated_zone_gets_nothing_and_calls_are_refused_at_once_if_that_leaves_none() {
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
    let refused =
        Decision::Reject(Rejection { reason: Some(Exclusion::Evacuated), retry_after: SECOND });
    assert_eq!(fleet.call(SECOND, &requirements), refused);
    assert!(fleet.placer.is_in_evacuated_zone("b"));
    fleet.placer.readmit(SECOND, "a");
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "a");
}

#[test]
fn while_others_may_have_a_place_soon_an_evacuation_refuses_nobody() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let busy = fleet.add("b", "app", "b");
    let requirements = fleet.requirements("app");
    fleet.placer.evacuate("a");
    let tried = AttemptHistory { tried: vec![busy], ..AttemptHistory::default() };
    let answer = fleet.placer.place_call(SECOND, &requirements, &tried, &wait(SECOND), |_| true);
    assert_matches!(answer, Decision::Wait(_));
}

#[test]
fn after_an_evacuation_servers_are_cold_whatever_their_entries_say() {
    let mut fleet = Fleet::new();
    fleet.add("e", "engines", "a");
    let requirements = fleet.requirements("engines");
    let none = AttemptHistory::default();
    assert!(fleet.placer.place_batch_item(SECOND, &requirements, &none).is_some());
    fleet.placer.evacuate("a");
    fleet.placer.readmit(SECOND * 10, "a");
    assert_eq!(fleet.placer.place_batch_item(SECOND * 10, &requirements, &none), None);
    // An entry from before it turned cold arrives late.
    fleet.add("e", "engines", "a");
    assert_eq!(fleet.placer.place_batch_item(SECOND * 12, &requirements, &none), None);
    assert!(fleet.placer.place_batch_item(SECOND * 13, &requirements, &none).is_some());
}

#[test]
fn a_cold_server_gets_only_what_there_are_permits_for() {
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
    // It is asked for once at a time.
    assert_eq!(fleet.placer.place_next(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_permit_demand(SECOND), []);
    fleet.placer.grant_permits(SECOND, cold, 2, SECOND + 300 * MILLI, None);
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
    // Permits that were not used in time are of no use.
    fleet.placer.grant_permits(SECOND, cold, 3, SECOND + 300 * MILLI, None);
    assert_eq!(fleet.placer.place_next(SECOND + 300 * MILLI, |_| true), None);
    // Once it is warm none is needed.
    assert!(fleet.placer.place_next(SECOND * 4, |_| true).is_some());
}

#[test]
fn a_lender_that_has_nothing_is_asked_again_when_it_says() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("e", "a");
    let requirements = fleet.requirements("engines");
    let _ =
        fleet.placer.enqueue(SECOND, requirements, urgency(SECOND, 1), AttemptHistory::default());
    assert_eq!(fleet.placer.place_next(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_permit_demand(SECOND).len(), 1);
    fleet.placer.grant_permits(SECOND, cold, 0, SECOND, Some(400 * MILLI));
    for (millis, asked) in [(399, 0), (400, 1)] {
        let now = SECOND + millis * MILLI;
        assert_eq!(fleet.placer.place_next(now, |_| true), None);
        assert_eq!(fleet.placer.take_permit_demand(now).len(), asked, "after {millis} ms");
    }
}

#[test]
fn warm_servers_come_before_cold_ones() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("cold", "a");
    fleet.add("warm", "engines", "b");
    let requirements = fleet.requirements("engines");
    fleet.placer.grant_permits(SECOND, cold, 7, SECOND * 2, None);
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
fn services_that_bound_nothing_have_no_cold_servers_to_ask_for() {
    let mut fleet = Fleet::new();
    let registration = Registration { cold_for: SECOND * 3, ..fleet.registration("app", "a") };
    fleet.placer.register(SECOND, "a", registration);
    let requirements = fleet.requirements("app");
    assert_matches!(fleet.call(SECOND, &requirements), Decision::Place(_));
    assert_eq!(fleet.placer.take_permit_demand(SECOND), []);
}

#[test]
fn an_entry_that_is_read_again_does_not_make_a_server_cold_again() {
    let mut fleet = Fleet::new();
    let registration =
        Registration { cold_for: COLD.duration, ..fleet.registration("engines", "a") };
    fleet.placer.register(SECOND, "e", registration.clone());
    fleet.placer.register(SECOND * 5, "e", registration);
    let requirements = fleet.requirements("engines");
    assert!(fleet
        .placer
        .place_batch_item(SECOND * 5, &requirements, &AttemptHistory::default())
        .is_some());
}

#[test]
fn requests_stay_in_their_homes_and_what_has_none_there_is_refused_at_once() {
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    fleet.add("far", "app", "c");
    let south = fleet.placer.region_set(["south"].into_iter());
    let east = fleet.placer.region_set(["east"].into_iter());
    let nowhere = fleet.placer.region_set(std::iter::empty());
    let bound = |allowed_regions, requirements: Requirements| Requirements {
        allowed_regions: Some(allowed_regions),
        ..requirements
    };
    let requirements = fleet.requirements("app");
    for _ in 0..50 {
        let chosen = fleet.call(SECOND, &bound(south, requirements));
        assert_eq!(fleet.id(chosen), "far");
    }
    for allowed_regions in [east, nowhere] {
        let refused = fleet.call(SECOND, &bound(allowed_regions, requirements));
        assert_matches!(
            refused,
            Decision::Reject(Rejection { reason: Some(Exclusion::RegionNotAllowed), .. })
        );
    }
}

#[test]
fn a_call_that_was_offered_to_nobody_gives_up_sooner_than_one_that_servers_refused() {
    let mut fleet = Fleet::new();
    let requirements = fleet.requirements("app");
    let none = AttemptHistory::default();
    let begun = wait(SECOND);
    let after = |fleet: &mut Fleet, millis, was_sent| {
        let wait = WaitState { was_sent, ..begun };
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
fn texts_fill_fast_servers_before_slow_ones() {
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
fn texts_are_spread_over_servers_near_and_far() {
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
    // Half of the places are taken, and no server is full.
    assert!(counts.values().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn a_long_rest_is_worth_a_move_to_a_faster_server_and_a_short_one_is_not() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("fast", 40), ("slow", 52)] {
        fleet.add(id, "engines", "a");
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let requirements = fleet.requirements("engines");
    let gain = |fleet: &mut Fleet, id, millis, rest| {
        fleet.placer.migration_gain(SECOND, &requirements, id, millis * MILLI, rest)
    };
    let long = gain(&mut fleet, "slow", 52, 100).unwrap();
    let short = gain(&mut fleet, "slow", 52, 5).unwrap();
    assert!(long > SECOND && short < 100 * MILLI);
    // The fast one has nowhere to gain, and nobody moves to a full server.
    assert_eq!(gain(&mut fleet, "fast", 40, 100), None);
    for _ in 0..8 {
        fleet.placer.request_started(SECOND, "fast");
    }
    assert_eq!(gain(&mut fleet, "slow", 52, 100), None);
}

#[test]
fn small_differences_of_pace_move_nothing() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("a", 40), ("b", 44)] {
        fleet.add(id, "engines", "a");
        fleet.placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let requirements = fleet.requirements("engines");
    assert_eq!(fleet.placer.migration_gain(SECOND, &requirements, "b", 44 * MILLI, 100), None);
}

#[test]
fn a_text_does_not_come_back_to_a_server_that_failed_at_it_while_there_are_others() {
    let mut fleet = Fleet::new();
    let bad = fleet.add("bad", "engines", "a");
    fleet.add("good", "engines", "b");
    let requirements = fleet.requirements("engines");
    let history = AttemptHistory { failed: vec![bad], ..AttemptHistory::default() };
    for _ in 0..8 {
        fleet.placer.request_started(SECOND, "good");
    }
    // The other one is full and will have a place again.
    assert_eq!(fleet.placer.place_batch_item(SECOND, &requirements, &history), None);
    fleet.placer.deregister(SECOND, "good");
    assert_eq!(
        fleet.placer.place_batch_item(SECOND, &requirements, &history).map(|choice| choice.server),
        Some(bad)
    );
}

#[test]
fn a_free_place_goes_to_the_most_urgent_text_that_it_fits() {
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
    // The most urgent of all needs weights that no server has yet: it holds nobody up.
    let unfit = placer.enqueue(SECOND, requirements(5), urgency(SECOND, 99), none());
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
    placer.cancel(unfit);
    assert_eq!(placer.queue_len(), 0);
}

/// A step's text in a replay.
#[derive(Debug, Clone, Copy)]
struct Text {
    requirements: Requirements,
    /// Work on a sound server that has it alone.
    work: Duration,
    deadline: Moment,
}

/// Engines in virtual time, driven by the machine alone.
struct Replay {
    fleet: Fleet,
    now: Moment,
    /// How many times longer work takes, by server.
    slowness: BTreeMap<String, u32>,
    running: Vec<(Moment, String, Text)>,
    waiting: BTreeMap<TicketKey, Text>,
    ended: Vec<(Moment, Text)>,
}

impl Replay {
    fn new() -> Self {
        let fleet = Fleet::new();
        let (running, ended) = (Vec::new(), Vec::new());
        let (slowness, waiting) = (BTreeMap::new(), BTreeMap::new());
        Self { fleet, now: SECOND, slowness, running, waiting, ended }
    }

    /// Longer texts are expected to be longer.
    fn hand_in(&mut self, text: Text) {
        let remaining_tokens = u64::try_from(text.work.as_millis()).unwrap();
        let urgency = urgency(text.deadline, remaining_tokens);
        let ticket = self.fleet.placer.enqueue(
            self.now,
            text.requirements,
            urgency,
            AttemptHistory::default(),
        );
        self.waiting.insert(ticket, text);
    }

    fn place(&mut self) {
        while let Some((ticket, choice)) = self.fleet.placer.place_next(self.now, |_| true) {
            let id = self.fleet.placer.id(choice.server).unwrap().to_owned();
            self.fleet.placer.request_started(self.now, &id);
            let text = self.waiting.remove(&ticket).unwrap();
            let slowness = self.slowness.get(&id).copied().unwrap_or(1);
            self.running.push((self.now + text.work * slowness, id, text));
        }
    }

    /// Ends texts in order, until nothing runs.
    fn run(&mut self) {
        self.place();
        while let Some(next) = (0..self.running.len()).min_by_key(|index| self.running[*index].0) {
            let (at, id, text) = self.running.swap_remove(next);
            self.now = at;
            let took = text.work * self.slowness.get(&id).copied().unwrap_or(1);
            let per_event = took / u32::try_from(text.work.as_millis() / 50).unwrap().max(1);
            let key = self.fleet.placer.key(&id).unwrap();
            self.fleet.placer.request_finished(at, key, AttemptOutcome::Succeeded(per_event));
            self.ended.push((at, text));
            self.place();
        }
        assert!(self.waiting.is_empty(), "{} wait for ever", self.waiting.len());
    }

    fn lose(&mut self, id: &str) {
        self.fleet.placer.deregister(self.now, id);
        let is_lost = |(_, server, _): &(Moment, String, Text)| server == id;
        let lost: Vec<_> = self.running.extract_if(.., |run| is_lost(run)).collect();
        for (_, server, text) in lost {
            let key = self.fleet.placer.key(&server).unwrap();
            self.fleet.placer.request_finished(self.now, key, AttemptOutcome::Failed);
            self.hand_in(text);
        }
    }
}

/// Four trainers' steps of 128 to 144 texts at one moment on 45 servers of 8 places, of which 9 are
/// 3.5 times slower and a third goes while the steps run; lengths as of trainers' work: most take half
/// a second, one in fifty takes seven.
fn worst_load(seed: u64) -> Replay {
    println!("seed {seed}");
    let mut random = SmallRng::seed_from_u64(seed);
    let mut replay = Replay::new();
    let models: Vec<ModelKey> =
        ["w", "x", "y", "z"].iter().map(|name| replay.fleet.placer.model(name)).collect();
    for number in 0..45 {
        let id = format!("e{number:02}");
        let zone = ["a", "b", "c"][number % 3];
        let versions = models.iter().map(|model| (*model, 1)).collect();
        let registration = Registration { versions, ..replay.fleet.registration("engines", zone) };
        replay.fleet.placer.register(SECOND, &id, registration);
        replay.slowness.insert(id, if number % 5 == 4 { 4 } else { 1 });
    }
    let service = replay.fleet.placer.service("engines");
    for (model, texts) in models.iter().zip([136, 128, 128, 144]) {
        let requirements =
            Requirements { service, model: Some((*model, 1)), allowed_regions: None };
        for _ in 0..texts {
            let is_long = random.random_bool(0.02);
            let work = if is_long { 7000 } else { random.random_range(200..900) } * MILLI;
            replay.hand_in(Text { requirements, work, deadline: SECOND * 8 });
        }
    }
    replay
}

#[test]
fn under_the_worst_load_long_texts_begin_first_and_no_place_stays_empty() {
    for seed in 0..8 {
        let mut replay = worst_load(seed);
        replay.place();
        // 536 texts for 360 places: all are taken, and none of the long ones waits.
        assert_eq!(replay.running.len(), 360);
        let longest_waiting = replay.waiting.values().map(|text| text.work).max().unwrap();
        let shortest_running = replay.running.iter().map(|(.., text)| text.work).min().unwrap();
        assert!(longest_waiting <= shortest_running);
        replay.run();
        assert_eq!(replay.ended.len(), 536);
        // The last short text ends long before the longest ones do: those alone decide.
        let short = replay.ended.iter().filter(|(_, text)| text.work < SECOND);
        let last_short = short.map(|(at, _)| *at).max().unwrap();
        assert!(last_short < SECOND * 6, "{last_short:?}");
    }
}

#[test]
fn when_a_third_of_the_servers_goes_under_the_worst_load_all_texts_end_elsewhere() {
    for seed in 0..8 {
        let mut replay = worst_load(seed);
        replay.place();
        for number in (0..45).step_by(3) {
            replay.lose(&format!("e{number:02}"));
        }
        replay.place();
        assert_eq!(replay.running.len(), 240);
        replay.run();
        assert_eq!(replay.ended.len(), 536);
    }
}

#[test]
fn of_thousands_of_servers_the_last_free_place_is_found() {
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
fn a_later_step_never_holds_up_an_earlier_one() {
    let mut replay = worst_load(1);
    let (requirements, work) = {
        let text = replay.waiting.values().next().unwrap();
        (text.requirements, 900 * MILLI)
    };
    for _ in 0..200 {
        replay.hand_in(Text { requirements, work, deadline: SECOND * 12 });
    }
    replay.place();
    assert!(replay.running.iter().all(|(.., text)| text.deadline == SECOND * 8));
}

#[test]
fn a_zone_that_returns_cold_gets_no_more_than_it_bears_while_a_step_is_late() {
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
    let mut lender = crate::rate::Lender::default();
    let terms = crate::rate::Terms::bounded(COLD.per_second, 16.0);
    let mut sent: BTreeMap<ServerKey, Vec<Moment>> = BTreeMap::new();
    for step in 0..300 {
        let now = SECOND + step * 10 * MILLI;
        while let Some((_, choice)) = fleet.placer.place_next(now, |_| true) {
            let id = fleet.placer.id(choice.server).unwrap().to_owned();
            let key = fleet.placer.request_started(now, &id).unwrap();
            fleet.placer.request_finished(now, key, AttemptOutcome::Abandoned);
            sent.entry(choice.server).or_default().push(now);
        }
        for shortage in fleet.placer.take_permit_demand(now) {
            let id = format!("{:?}", shortage.server);
            let loan = lender.lend(now, &id, shortage.permits, terms);
            let until = now + crate::rate::VALIDITY;
            let again = (loan.permits == 0).then_some(loan.again);
            fleet.placer.grant_permits(now, shortage.server, loan.permits, until, again);
        }
    }
    for key in keys {
        let times = &sent[&key];
        // All of them serve, and none gets more than 7 in any second.
        assert!(times.len() >= 14, "{}", times.len());
        for begin in times {
            let window = times.iter().filter(|at| *begin <= **at && **at < *begin + SECOND);
            assert!(window.count() <= 7);
        }
    }
}

#[test]
fn requests_that_may_end_their_servers_never_meet_and_others_keep_away_if_they_can() {
    let mut fleet = Fleet::new();
    for id in ["a", "b"] {
        fleet.add(id, "app", "a");
    }
    let requirements = fleet.requirements("app");
    let history = |is_isolated| AttemptHistory { is_isolated, ..AttemptHistory::default() };
    let call = |fleet: &mut Fleet, is_isolated| {
        let wait = wait(SECOND);
        let answer =
            fleet.placer.place_call(SECOND, &requirements, &history(is_isolated), &wait, |_| true);
        matches!(answer, Decision::Place(_)).then(|| fleet.id(answer))
    };
    fleet.placer.request_started(SECOND, "a");
    // It goes where nothing else is.
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
fn the_last_sound_server_of_several_is_not_risked_for_a_request_that_ended_others() {
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
    let refused = call(&mut fleet, SECOND);
    assert_matches!(
        refused,
        Decision::Reject(Rejection { reason: Some(Exclusion::LastHealthy), .. })
    );
    // Others are served by it.
    let chosen = fleet.call(SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "c");
    assert!(fleet.placer.place_batch_item(SECOND, &requirements, &risky).is_none());
    // The servers that took the place of the others are there.
    for id in ["a", "b"] {
        fleet.placer.deregister(2 * SECOND, id);
        fleet.add(&format!("{id}2"), "app", "a");
    }
    assert_matches!(call(&mut fleet, 2 * SECOND), Decision::Place(_));
    // Where there is only one at all, nothing is spared.
    for id in ["a2", "b2"] {
        fleet.placer.deregister(3 * SECOND, id);
    }
    assert_matches!(call(&mut fleet, 3 * SECOND), Decision::Place(_));
}

/// Calls while the entries of servers that ended still stand: each was sent to their addresses every 16 ms.
#[test]
fn servers_that_have_ended_are_sent_nothing_until_that_is_old() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let requirements = fleet.requirements("app");
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    // A refusal at its address is the word of another server.
    fleet.placer.record_outcome(SECOND, "a", AttemptOutcome::Rejected);
    let none = AttemptHistory::default();
    let answer =
        fleet.placer.place_call(2 * SECOND, &requirements, &none, &wait(2 * SECOND), |_| true);
    assert_matches!(answer, Decision::Wait(_));
    let late = wait(SECOND);
    let answer = fleet.placer.place_call(2 * SECOND, &requirements, &none, &late, |_| true);
    assert_matches!(
        answer,
        Decision::Reject(Rejection { reason: Some(Exclusion::ServerExited), .. })
    );
    // What was taken for its end may have been a fault of the way there.
    let chosen = fleet.call(5 * SECOND, &requirements);
    assert_eq!(fleet.id(chosen), "a");
}

/// A server whose entry lapsed by mistake is used while none is listed, one that has ended is not; what is
/// listed in its place is used at once.
#[test]
fn an_ended_server_that_is_listed_does_not_keep_lapsed_ones_from_being_used() {
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

/// Steps of 128 texts, one after the other, before the engines of a whole fleet or of one of twice the
/// size. All of them may run any text, as at the begin of a training run.
#[test]
fn a_daemon_keeps_to_few_servers_however_many_there_are() {
    for servers in [7_777, 15_554] {
        let mut fleet = Fleet::new();
        for number in 0..servers {
            let registration = Registration { slots: 6, ..fleet.registration("engines", "a") };
            fleet.placer.register(SECOND, &format!("e{number}"), registration);
        }
        fleet.placer.set_service("engines", 16, None);
        let requirements = fleet.requirements("engines");
        let mut used: BTreeSet<ServerKey> = BTreeSet::new();
        for _ in 0..6 {
            let mut running = Vec::new();
            for _ in 0..128 {
                let none = AttemptHistory::default();
                let choice =
                    fleet.placer.place_batch_item(SECOND, &requirements, &none).expect("a place");
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

/// A release of a whole fleet's engines: as many come as leave, one after the other.
#[test]
fn servers_that_leave_are_forgotten_and_their_places_are_used_again() {
    let mut fleet = Fleet::new();
    for number in 0..4000_u32 {
        let now = SECOND + number * 10 * MILLI;
        let registration = fleet.registration("engines", "a");
        fleet.placer.register(now, &format!("e{number}"), registration);
        if let Some(left) = number.checked_sub(200) {
            fleet.placer.deregister(now, &format!("e{left}"));
        }
    }
    assert!(fleet.placer.arena.len() <= 340, "{} places", fleet.placer.arena.len());
}

#[test]
fn a_server_that_is_listed_again_keeps_its_place_and_what_is_known_of_it() {
    let mut fleet = Fleet::new();
    let key = fleet.add("e", "engines", "a");
    fleet.placer.request_started(SECOND, "e");
    fleet.placer.deregister(SECOND, "e");
    assert_eq!(fleet.add("e", "engines", "a"), key);
    // Others that leave later do not have it forgotten.
    fleet.add("f", "engines", "a");
    fleet.placer.deregister(9 * SECOND, "f");
    assert_eq!((fleet.placer.key("e"), fleet.placer.in_flight("e")), (Some(key), 1));
}
