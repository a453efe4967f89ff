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
use crate::placement::server::EXPECTED_LOAD;
use crate::Moment;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const SEED: u64 = 7;

/// What a cold server bears in these tests: 7 requests a second, for three seconds.
const COLD: ColdTerms = ColdTerms { per_second: 7.0, lasts: Duration::from_secs(3) };

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
        placer.set_here("a");
        placer.set_service("app", 100, None);
        placer.set_service("engines", 100, Some(COLD));
        Self { placer, revision: 0 }
    }

    fn listing(&mut self, service: &str, zone: &str) -> Listing {
        self.revision += 1;
        Listing {
            service: self.placer.service(service),
            zone: self.placer.zone(zone),
            slots: 8,
            is_leaving: false,
            versions: Vec::new(),
            cold_for: Duration::ZERO,
            incarnation: Incarnation::default(),
            revision: self.revision,
        }
    }

    fn add(&mut self, id: &str, service: &str, zone: &str) -> ServerKey {
        let listing = self.listing(service, zone);
        self.placer.list(SECOND, id, listing)
    }

    fn add_cold(&mut self, id: &str, zone: &str) -> ServerKey {
        let listing = Listing { cold_for: COLD.lasts, ..self.listing("engines", zone) };
        self.placer.list(SECOND, id, listing)
    }

    fn need(&mut self, service: &str) -> Need {
        Need { service: self.placer.service(service), model: None, homes: None }
    }

    fn call(&mut self, now: Moment, need: &Need) -> Answer {
        self.placer.call(now, need, &History::default(), &waited(now), |_| true)
    }

    fn id(&self, answer: Answer) -> String {
        let Answer::Place(choice) = answer else {
            panic!("{answer:?}");
        };
        self.placer.id(choice.server).unwrap().to_owned()
    }
}

fn waited(since: Moment) -> Waited {
    Waited { since, deadline: since + SECOND, target: 200 * MILLI, was_offered: false }
}

fn urgency(due: Moment, expected: u64) -> Urgency {
    Urgency { priority: 1, due, expected: Reverse(expected) }
}

#[test]
fn a_slow_server_is_left_for_a_fast_one_and_tried_again_later() {
    let mut fleet = Fleet::new();
    fleet.add("slow", "app", "a");
    fleet.add("fast", "app", "a");
    let need = fleet.need("app");
    for _ in 0..5 {
        fleet.placer.note(SECOND, "slow", AttemptEnd::Answered(300 * MILLI));
        fleet.placer.note(SECOND, "fast", AttemptEnd::Answered(10 * MILLI));
    }
    let chosen = fleet.call(SECOND, &need);
    assert_eq!(fleet.id(chosen), "fast");
    // Long after, little is left of what was known: both are tried, however fast the other is.
    let mut slow = 0;
    for _ in 0..200 {
        let chosen = fleet.call(SECOND * 60, &need);
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
    let need = fleet.need("app");
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut connected: BTreeMap<ServerKey, u32> = BTreeMap::new();
    for number in 0..100 {
        let now = SECOND * number;
        let known = connected.clone();
        let none = History::default();
        let is_connected = |server| known.contains_key(&server);
        let answer = fleet.placer.call(now, &need, &none, &waited(now), is_connected);
        let Answer::Place(choice) = answer else {
            panic!("{answer:?}");
        };
        *connected.entry(choice.server).or_default() += 1;
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        // Work of calls as of application servers: 25 ms in the mean, some twice as much.
        let work = random.random_range(18..36) * MILLI;
        fleet.placer.note(now, &id, AttemptEnd::Answered(work));
    }
    let near = fleet.placer.key("near").unwrap();
    assert!(connected[&near] >= 95, "{connected:?}");
    // A server that turns slow is left all the same.
    for _ in 0..5 {
        fleet.placer.note(SECOND * 100, "near", AttemptEnd::Answered(120 * MILLI));
    }
    let chosen = fleet.call(SECOND * 100, &need);
    assert_ne!(fleet.id(chosen), "near");
}

#[test]
fn servers_without_a_connection_are_tried_at_times_and_calls_return_to_their_zone() {
    let mut fleet = Fleet::new();
    let known = fleet.add("known", "app", "a");
    fleet.add("unknown", "app", "a");
    let need = fleet.need("app");
    let none = History::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..400 {
        let is_connected = |server| server == known;
        let answer = fleet.placer.call(SECOND, &need, &none, &waited(SECOND), is_connected);
        *counts.entry(fleet.id(answer)).or_default() += 1;
    }
    assert!((4..40).contains(&counts["unknown"]), "{counts:?}");
    // The daemon has connections to another zone alone, and its own zone's servers are back.
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    let far = fleet.add("other", "app", "b");
    let need = fleet.need("app");
    let mut near = 0;
    for _ in 0..100 {
        let is_connected = |server| server == far;
        let answer = fleet.placer.call(SECOND, &need, &none, &waited(SECOND), is_connected);
        near += u32::from(fleet.id(answer) == "near");
    }
    assert!(near > 60, "{near}");
}

#[test]
fn one_lost_answer_does_not_make_a_server_avoided_and_two_do() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.placer.note(SECOND, "a", AttemptEnd::Failed);
    assert!(!fleet.placer.is_avoided(SECOND, "a"));
    fleet.placer.note(SECOND, "a", AttemptEnd::Failed);
    assert!(fleet.placer.is_avoided(SECOND, "a"));
    fleet.placer.note(SECOND, "a", AttemptEnd::Answered(5 * MILLI));
    assert!(!fleet.placer.is_avoided(SECOND, "a"));
}

#[test]
fn a_server_that_cannot_be_reached_is_avoided_at_once_but_used_by_calls_if_all_are() {
    let mut fleet = Fleet::new();
    let key = fleet.add("a", "app", "a");
    let need = fleet.need("app");
    fleet.placer.note(SECOND, "a", AttemptEnd::Unreachable);
    assert!(fleet.placer.is_avoided(SECOND, "a"));
    assert_matches!(fleet.call(SECOND, &need), Answer::Place(_));
    let tried = History { tried: vec![key], ..History::default() };
    let answer = fleet.placer.call(SECOND, &need, &tried, &waited(SECOND), |_| true);
    assert_matches!(answer, Answer::Wait(_));
    // A text is not sent there: it loses more than a moment.
    assert_eq!(fleet.placer.text(SECOND, &need, &History::default()), None);
}

#[test]
fn leaving_and_gone_servers_get_nothing_new() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let leaving = Listing { is_leaving: true, ..fleet.listing("app", "a") };
    fleet.placer.list(SECOND, "b", leaving);
    let need = fleet.need("app");
    let ids = |fleet: &Fleet, now| -> Vec<String> {
        let usable = fleet.placer.usable(now, &need).into_iter();
        usable.map(|key| fleet.placer.id(key).unwrap().to_owned()).collect()
    };
    assert_eq!(ids(&fleet, SECOND), ["a"]);
    fleet.add("c", "app", "a");
    fleet.placer.unlist(SECOND, "a");
    assert_eq!(ids(&fleet, SECOND), ["c"]);
}

#[test]
fn when_all_entries_lapse_the_servers_are_used_for_a_moment_longer() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let need = fleet.need("app");
    fleet.placer.unlist(SECOND, "a");
    assert_eq!(fleet.placer.usable(SECOND + 500 * MILLI, &need).len(), 1);
    assert!(fleet.placer.usable(SECOND * 4, &need).is_empty());
}

#[test]
fn a_key_of_a_server_that_is_gone_never_means_another_one() {
    let mut fleet = Fleet::new();
    let gone = fleet.add("a", "app", "a");
    fleet.placer.unlist(SECOND, "a");
    fleet.placer.unlist(SECOND * 5, "a");
    let new = fleet.add("b", "app", "a");
    assert_ne!(gone, new);
    assert_eq!((fleet.placer.id(gone), fleet.placer.id(new)), (None, Some("b")));
}

#[test]
fn a_server_that_loads_is_tried_again_once_it_may_have_loaded() {
    let mut fleet = Fleet::new();
    let model = fleet.placer.model("m");
    let listing = Listing { versions: vec![(model, 3)], ..fleet.listing("engines", "a") };
    fleet.placer.list(SECOND, "e", listing);
    let service = fleet.placer.service("engines");
    let need = |min| Need { service, model: Some((model, min)), homes: None };
    let fitness = |fleet: &mut Fleet, now, min| {
        let choice = fleet.placer.text(now, &need(min), &History::default());
        choice.map(|choice| choice.fitness)
    };
    assert_eq!(fitness(&mut fleet, SECOND, 3), Some(Fitness::Listed));
    assert_eq!(fitness(&mut fleet, SECOND, 4), None);
    fleet.placer.order_taken(SECOND, "e", "m", 5);
    assert_eq!(fitness(&mut fleet, SECOND, 3), None);
    assert_eq!(fitness(&mut fleet, SECOND + EXPECTED_LOAD, 4), Some(Fitness::Expected(5)));
    assert_eq!(fitness(&mut fleet, SECOND + EXPECTED_LOAD, 6), None);
    let loaded = Listing { versions: vec![(model, 5)], ..fleet.listing("engines", "a") };
    fleet.placer.list(SECOND, "e", loaded);
    assert_eq!(fitness(&mut fleet, SECOND, 5), Some(Fitness::Listed));
}

#[test]
fn an_evacuated_zone_gets_nothing_and_calls_are_refused_at_once_if_that_leaves_none() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.add("b", "app", "b");
    let need = fleet.need("app");
    fleet.placer.evacuate("a");
    for _ in 0..50 {
        let chosen = fleet.call(SECOND, &need);
        assert_eq!(fleet.id(chosen), "b");
    }
    fleet.placer.evacuate("b");
    let refused = Answer::Refuse(Refusal { reason: Some(Exclusion::Evacuated), come_back: SECOND });
    assert_eq!(fleet.call(SECOND, &need), refused);
    assert!(fleet.placer.is_to_be_left("b"));
    fleet.placer.readmit(SECOND, "a");
    let chosen = fleet.call(SECOND, &need);
    assert_eq!(fleet.id(chosen), "a");
}

#[test]
fn while_others_may_have_a_place_soon_an_evacuation_refuses_nobody() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let busy = fleet.add("b", "app", "b");
    let need = fleet.need("app");
    fleet.placer.evacuate("a");
    let tried = History { tried: vec![busy], ..History::default() };
    let answer = fleet.placer.call(SECOND, &need, &tried, &waited(SECOND), |_| true);
    assert_matches!(answer, Answer::Wait(_));
}

#[test]
fn after_an_evacuation_servers_are_cold_whatever_their_entries_say() {
    let mut fleet = Fleet::new();
    fleet.add("e", "engines", "a");
    let need = fleet.need("engines");
    let none = History::default();
    assert!(fleet.placer.text(SECOND, &need, &none).is_some());
    fleet.placer.evacuate("a");
    fleet.placer.readmit(SECOND * 10, "a");
    assert_eq!(fleet.placer.text(SECOND * 10, &need, &none), None);
    // An entry from before it turned cold arrives late.
    fleet.add("e", "engines", "a");
    assert_eq!(fleet.placer.text(SECOND * 12, &need, &none), None);
    assert!(fleet.placer.text(SECOND * 13, &need, &none).is_some());
}

#[test]
fn a_cold_server_gets_only_what_there_are_permits_for() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("e", "a");
    let need = fleet.need("engines");
    for number in 0..5 {
        let _ = fleet.placer.wait(SECOND, need, urgency(SECOND, number), History::default());
    }
    assert_eq!(fleet.placer.next_placed(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_shortages(SECOND), [Shortage { server: cold, permits: 5 }]);
    // It is asked for once at a time.
    assert_eq!(fleet.placer.next_placed(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_shortages(SECOND), []);
    fleet.placer.note_loan(SECOND, cold, 2, SECOND + 300 * MILLI, None);
    let mut placed = 0;
    while let Some((_, choice)) = fleet.placer.next_placed(SECOND, |_| true) {
        assert_eq!(choice.server, cold);
        fleet.placer.began(SECOND, "e");
        placed += 1;
    }
    assert_eq!(placed, 2);
    assert_eq!(fleet.placer.take_shortages(SECOND), [Shortage { server: cold, permits: 3 }]);
    // Permits that were not used in time are of no use.
    fleet.placer.note_loan(SECOND, cold, 3, SECOND + 300 * MILLI, None);
    assert_eq!(fleet.placer.next_placed(SECOND + 300 * MILLI, |_| true), None);
    // Once it is warm none is needed.
    assert!(fleet.placer.next_placed(SECOND * 4, |_| true).is_some());
}

#[test]
fn a_lender_that_has_nothing_is_asked_again_when_it_says() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("e", "a");
    let need = fleet.need("engines");
    let _ = fleet.placer.wait(SECOND, need, urgency(SECOND, 1), History::default());
    assert_eq!(fleet.placer.next_placed(SECOND, |_| true), None);
    assert_eq!(fleet.placer.take_shortages(SECOND).len(), 1);
    fleet.placer.note_loan(SECOND, cold, 0, SECOND, Some(400 * MILLI));
    for (millis, asked) in [(399, 0), (400, 1)] {
        let now = SECOND + millis * MILLI;
        assert_eq!(fleet.placer.next_placed(now, |_| true), None);
        assert_eq!(fleet.placer.take_shortages(now).len(), asked, "after {millis} ms");
    }
}

#[test]
fn warm_servers_come_before_cold_ones() {
    let mut fleet = Fleet::new();
    let cold = fleet.add_cold("cold", "a");
    fleet.add("warm", "engines", "b");
    let need = fleet.need("engines");
    fleet.placer.note_loan(SECOND, cold, 7, SECOND * 2, None);
    for _ in 0..8 {
        let choice = fleet.placer.text(SECOND, &need, &History::default()).unwrap();
        assert_ne!(choice.server, cold);
        fleet.placer.began(SECOND, "warm");
    }
    let choice = fleet.placer.text(SECOND, &need, &History::default()).unwrap();
    assert_eq!(choice.server, cold);
}

#[test]
fn services_that_bound_nothing_have_no_cold_servers_to_ask_for() {
    let mut fleet = Fleet::new();
    let listing = Listing { cold_for: SECOND * 3, ..fleet.listing("app", "a") };
    fleet.placer.list(SECOND, "a", listing);
    let need = fleet.need("app");
    assert_matches!(fleet.call(SECOND, &need), Answer::Place(_));
    assert_eq!(fleet.placer.take_shortages(SECOND), []);
}

#[test]
fn an_entry_that_is_read_again_does_not_make_a_server_cold_again() {
    let mut fleet = Fleet::new();
    let listing = Listing { cold_for: COLD.lasts, ..fleet.listing("engines", "a") };
    fleet.placer.list(SECOND, "e", listing.clone());
    fleet.placer.list(SECOND * 5, "e", listing);
    let need = fleet.need("engines");
    assert!(fleet.placer.text(SECOND * 5, &need, &History::default()).is_some());
}

#[test]
fn requests_stay_in_their_homes_and_what_has_none_there_is_refused_at_once() {
    let mut fleet = Fleet::new();
    fleet.add("near", "app", "a");
    fleet.add("far", "app", "c");
    let south = fleet.placer.homes(["south"].into_iter());
    let east = fleet.placer.homes(["east"].into_iter());
    let nowhere = fleet.placer.homes(std::iter::empty());
    let bound = |homes, need: Need| Need { homes: Some(homes), ..need };
    let need = fleet.need("app");
    for _ in 0..50 {
        let chosen = fleet.call(SECOND, &bound(south, need));
        assert_eq!(fleet.id(chosen), "far");
    }
    for homes in [east, nowhere] {
        let refused = fleet.call(SECOND, &bound(homes, need));
        assert_matches!(
            refused,
            Answer::Refuse(Refusal { reason: Some(Exclusion::OutsideHomes), .. })
        );
    }
}

#[test]
fn a_call_that_was_offered_to_nobody_gives_up_sooner_than_one_that_servers_refused() {
    let mut fleet = Fleet::new();
    let need = fleet.need("app");
    let none = History::default();
    let begun = waited(SECOND);
    let after = |fleet: &mut Fleet, millis, was_offered| {
        let waited = Waited { was_offered, ..begun };
        let now = SECOND + millis * MILLI;
        matches!(fleet.placer.call(now, &need, &none, &waited, |_| true), Answer::Wait(_))
    };
    assert_eq!([39, 40].map(|millis| after(&mut fleet, millis, false)), [true, false]);
    assert_eq!([199, 200].map(|millis| after(&mut fleet, millis, true)), [true, false]);
}

#[test]
fn texts_fill_fast_servers_before_slow_ones() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("fast", 40), ("slow", 52)] {
        fleet.add(id, "engines", "a");
        fleet.placer.note(SECOND, id, AttemptEnd::Answered(millis * MILLI));
    }
    let need = fleet.need("engines");
    let mut chosen = Vec::new();
    for _ in 0..9 {
        let choice = fleet.placer.text(SECOND, &need, &History::default()).unwrap();
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        fleet.placer.began(SECOND, &id);
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
        fleet.placer.note(SECOND, id, AttemptEnd::Answered(49 * MILLI));
    }
    let need = fleet.need("engines");
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..12 {
        let choice = fleet.placer.text(SECOND, &need, &History::default()).unwrap();
        let id = fleet.placer.id(choice.server).unwrap().to_owned();
        fleet.placer.began(SECOND, &id);
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
        fleet.placer.note(SECOND, id, AttemptEnd::Answered(millis * MILLI));
    }
    let need = fleet.need("engines");
    let gain = |fleet: &mut Fleet, id, millis, rest| {
        fleet.placer.gain(SECOND, &need, id, millis * MILLI, rest)
    };
    let long = gain(&mut fleet, "slow", 52, 100).unwrap();
    let short = gain(&mut fleet, "slow", 52, 5).unwrap();
    assert!(long > SECOND && short < 100 * MILLI);
    // The fast one has nowhere to gain, and nobody moves to a full server.
    assert_eq!(gain(&mut fleet, "fast", 40, 100), None);
    for _ in 0..8 {
        fleet.placer.began(SECOND, "fast");
    }
    assert_eq!(gain(&mut fleet, "slow", 52, 100), None);
}

#[test]
fn small_differences_of_pace_move_nothing() {
    let mut fleet = Fleet::new();
    for (id, millis) in [("a", 40), ("b", 44)] {
        fleet.add(id, "engines", "a");
        fleet.placer.note(SECOND, id, AttemptEnd::Answered(millis * MILLI));
    }
    let need = fleet.need("engines");
    assert_eq!(fleet.placer.gain(SECOND, &need, "b", 44 * MILLI, 100), None);
}

#[test]
fn a_text_does_not_come_back_to_a_server_that_failed_at_it_while_there_are_others() {
    let mut fleet = Fleet::new();
    let bad = fleet.add("bad", "engines", "a");
    fleet.add("good", "engines", "b");
    let need = fleet.need("engines");
    let history = History { failed: vec![bad], ..History::default() };
    for _ in 0..8 {
        fleet.placer.began(SECOND, "good");
    }
    // The other one is full and will have a place again.
    assert_eq!(fleet.placer.text(SECOND, &need, &history), None);
    fleet.placer.unlist(SECOND, "good");
    assert_eq!(fleet.placer.text(SECOND, &need, &history).map(|choice| choice.server), Some(bad));
}

#[test]
fn a_free_place_goes_to_the_most_urgent_text_that_it_fits() {
    let mut fleet = Fleet::new();
    let model = fleet.placer.model("m");
    let listing = Listing { versions: vec![(model, 4)], ..fleet.listing("engines", "a") };
    fleet.placer.list(SECOND, "e", Listing { slots: 1, ..listing });
    let service = fleet.placer.service("engines");
    let need = |min| Need { service, model: Some((model, min)), homes: None };
    let none = History::default;
    let placer = &mut fleet.placer;
    let later = placer.wait(SECOND, need(3), urgency(SECOND * 9, 90), none());
    let short = placer.wait(SECOND, need(4), urgency(SECOND * 5, 5), none());
    let long = placer.wait(SECOND, need(4), urgency(SECOND * 5, 50), none());
    // The most urgent of all needs weights that no server has yet: it holds nobody up.
    let unfit = placer.wait(SECOND, need(5), urgency(SECOND, 99), none());
    let ranked = Urgency { priority: 0, ..urgency(SECOND * 9, 1) };
    let first = placer.wait(SECOND, need(4), ranked, none());
    assert_eq!(placer.place_in_line(short), Some(2));
    let mut order = Vec::new();
    while let Some((ticket, _)) = placer.next_placed(SECOND, |_| true) {
        let key = placer.began(SECOND, "e").unwrap();
        order.push(ticket);
        placer.ended(SECOND, key, AttemptEnd::Abandoned);
    }
    assert_eq!(order, [first, long, short, later]);
    assert_eq!(placer.obstacle(SECOND, &need(5)), Some(Exclusion::Version));
    placer.withdraw(unfit);
    assert_eq!(placer.waiting(), 0);
}

/// A step's text in a replay.
#[derive(Debug, Clone, Copy)]
struct Text {
    need: Need,
    /// Work on a sound server that has it alone.
    work: Duration,
    due: Moment,
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
        let expected = u64::try_from(text.work.as_millis()).unwrap();
        let urgency = urgency(text.due, expected);
        let ticket = self.fleet.placer.wait(self.now, text.need, urgency, History::default());
        self.waiting.insert(ticket, text);
    }

    fn place(&mut self) {
        while let Some((ticket, choice)) = self.fleet.placer.next_placed(self.now, |_| true) {
            let id = self.fleet.placer.id(choice.server).unwrap().to_owned();
            self.fleet.placer.began(self.now, &id);
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
            self.fleet.placer.ended(at, key, AttemptEnd::Answered(per_event));
            self.ended.push((at, text));
            self.place();
        }
        assert!(self.waiting.is_empty(), "{} wait for ever", self.waiting.len());
    }

    fn lose(&mut self, id: &str) {
        self.fleet.placer.unlist(self.now, id);
        let is_lost = |(_, server, _): &(Moment, String, Text)| server == id;
        let lost: Vec<_> = self.running.extract_if(.., |run| is_lost(run)).collect();
        for (_, server, text) in lost {
            let key = self.fleet.placer.key(&server).unwrap();
            self.fleet.placer.ended(self.now, key, AttemptEnd::Failed);
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
        let listing = Listing { versions, ..replay.fleet.listing("engines", zone) };
        replay.fleet.placer.list(SECOND, &id, listing);
        replay.slowness.insert(id, if number % 5 == 4 { 4 } else { 1 });
    }
    let service = replay.fleet.placer.service("engines");
    for (model, texts) in models.iter().zip([136, 128, 128, 144]) {
        let need = Need { service, model: Some((*model, 1)), homes: None };
        for _ in 0..texts {
            let is_long = random.random_bool(0.02);
            let work = if is_long { 7000 } else { random.random_range(200..900) } * MILLI;
            replay.hand_in(Text { need, work, due: SECOND * 8 });
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
            fleet.placer.began(SECOND, &id);
        }
    }
    let need = fleet.need("engines");
    assert_eq!(fleet.placer.text(SECOND, &need, &History::default()), None);
    let key = fleet.placer.key("e1234").unwrap();
    fleet.placer.ended(SECOND, key, AttemptEnd::Abandoned);
    let choice = fleet.placer.text(SECOND, &need, &History::default()).unwrap();
    assert_eq!(fleet.placer.id(choice.server), Some("e1234"));
}

#[test]
fn a_later_step_never_holds_up_an_earlier_one() {
    let mut replay = worst_load(1);
    let (need, work) = {
        let text = replay.waiting.values().next().unwrap();
        (text.need, 900 * MILLI)
    };
    for _ in 0..200 {
        replay.hand_in(Text { need, work, due: SECOND * 12 });
    }
    replay.place();
    assert!(replay.running.iter().all(|(.., text)| text.due == SECOND * 8));
}

#[test]
fn a_zone_that_returns_cold_gets_no_more_than_it_bears_while_a_step_is_late() {
    let mut fleet = Fleet::new();
    let keys: Vec<ServerKey> =
        (0..15).map(|number| fleet.add_cold(&format!("e{number}"), "a")).collect();
    let need = fleet.need("engines");
    for number in 0..500 {
        let _ = fleet.placer.wait(SECOND, need, urgency(SECOND, number), History::default());
    }
    let mut lender = crate::rate_limit::PermitIssuer::default();
    let terms = crate::rate_limit::RateLimit::bounded(COLD.per_second, 16.0);
    let mut sent: BTreeMap<ServerKey, Vec<Moment>> = BTreeMap::new();
    for step in 0..300 {
        let now = SECOND + step * 10 * MILLI;
        while let Some((_, choice)) = fleet.placer.next_placed(now, |_| true) {
            let id = fleet.placer.id(choice.server).unwrap().to_owned();
            let key = fleet.placer.began(now, &id).unwrap();
            fleet.placer.ended(now, key, AttemptEnd::Abandoned);
            sent.entry(choice.server).or_default().push(now);
        }
        for shortage in fleet.placer.take_shortages(now) {
            let id = format!("{:?}", shortage.server);
            let loan = lender.issue(now, &id, shortage.permits, terms);
            let until = now + crate::rate_limit::PERMIT_VALIDITY;
            let again = (loan.permits == 0).then_some(loan.retry_after);
            fleet.placer.note_loan(now, shortage.server, loan.permits, until, again);
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
    let need = fleet.need("app");
    let history = |is_alone| History { is_alone, ..History::default() };
    let call = |fleet: &mut Fleet, is_alone| {
        let waited = waited(SECOND);
        let answer = fleet.placer.call(SECOND, &need, &history(is_alone), &waited, |_| true);
        matches!(answer, Answer::Place(_)).then(|| fleet.id(answer))
    };
    fleet.placer.began(SECOND, "a");
    // It goes where nothing else is.
    assert_eq!(call(&mut fleet, true).as_deref(), Some("b"));
    fleet.placer.began(SECOND, "b");
    fleet.placer.isolate("b");
    for _ in 0..20 {
        assert_eq!(call(&mut fleet, false).as_deref(), Some("a"));
        assert_eq!(call(&mut fleet, true).as_deref(), Some("a"));
    }
    fleet.placer.isolate("a");
    assert_eq!(call(&mut fleet, true), None);
    assert!(call(&mut fleet, false).is_some());
    fleet.placer.end_isolation("b");
    assert_eq!(call(&mut fleet, true).as_deref(), Some("b"));
}

#[test]
fn the_last_sound_server_of_several_is_not_risked_for_a_request_that_ended_others() {
    let mut fleet = Fleet::new();
    for id in ["a", "b", "c"] {
        fleet.add(id, "app", "a");
    }
    let need = fleet.need("app");
    let risky = History { is_alone: true, spares_last: true, ..History::default() };
    let call =
        |fleet: &mut Fleet, now| fleet.placer.call(now, &need, &risky, &waited(now), |_| true);
    assert_matches!(call(&mut fleet, SECOND), Answer::Place(_));
    fleet.placer.note(SECOND, "a", AttemptEnd::Ended);
    assert_matches!(call(&mut fleet, SECOND), Answer::Place(_));
    fleet.placer.note(SECOND, "b", AttemptEnd::Ended);
    let refused = call(&mut fleet, SECOND);
    assert_matches!(refused, Answer::Refuse(Refusal { reason: Some(Exclusion::Last), .. }));
    // Others are served by it.
    let chosen = fleet.call(SECOND, &need);
    assert_eq!(fleet.id(chosen), "c");
    assert!(fleet.placer.text(SECOND, &need, &risky).is_none());
    // The servers that took the place of the others are there.
    for id in ["a", "b"] {
        fleet.placer.unlist(2 * SECOND, id);
        fleet.add(&format!("{id}2"), "app", "a");
    }
    assert_matches!(call(&mut fleet, 2 * SECOND), Answer::Place(_));
    // Where there is only one at all, nothing is spared.
    for id in ["a2", "b2"] {
        fleet.placer.unlist(3 * SECOND, id);
    }
    assert_matches!(call(&mut fleet, 3 * SECOND), Answer::Place(_));
}

/// Calls while the entries of servers that ended still stand: each was sent to their addresses every 16 ms.
#[test]
fn servers_that_have_ended_are_sent_nothing_until_that_is_old() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    let need = fleet.need("app");
    fleet.placer.note(SECOND, "a", AttemptEnd::Ended);
    // A refusal at its address is the word of another server.
    fleet.placer.note(SECOND, "a", AttemptEnd::Refused);
    let none = History::default();
    let answer = fleet.placer.call(2 * SECOND, &need, &none, &waited(2 * SECOND), |_| true);
    assert_matches!(answer, Answer::Wait(_));
    let late = waited(SECOND);
    let answer = fleet.placer.call(2 * SECOND, &need, &none, &late, |_| true);
    assert_matches!(answer, Answer::Refuse(Refusal { reason: Some(Exclusion::Ended), .. }));
    // What was taken for its end may have been a fault of the way there.
    let chosen = fleet.call(5 * SECOND, &need);
    assert_eq!(fleet.id(chosen), "a");
}

/// A server whose entry lapsed by mistake is used while none is listed, one that has ended is not; what is
/// listed in its place is used at once.
#[test]
fn an_ended_server_that_is_listed_does_not_keep_lapsed_ones_from_being_used() {
    let mut fleet = Fleet::new();
    fleet.add("a", "app", "a");
    fleet.add("b", "app", "a");
    let need = fleet.need("app");
    fleet.placer.unlist(SECOND, "b");
    fleet.placer.note(SECOND, "a", AttemptEnd::Ended);
    let chosen = fleet.call(SECOND, &need);
    assert_eq!(fleet.id(chosen), "b");
    fleet.add("c", "app", "a");
    let chosen = fleet.call(SECOND, &need);
    assert_eq!(fleet.id(chosen), "c");
}

/// Steps of 128 texts, one after the other, before the engines of a whole fleet or of one of twice the
/// size. All of them may run any text, as at the begin of a training run.
#[test]
fn a_daemon_keeps_to_few_servers_however_many_there_are() {
    for servers in [7_777, 15_554] {
        let mut fleet = Fleet::new();
        for number in 0..servers {
            let listing = Listing { slots: 6, ..fleet.listing("engines", "a") };
            fleet.placer.list(SECOND, &format!("e{number}"), listing);
        }
        fleet.placer.set_service("engines", 16, None);
        let need = fleet.need("engines");
        let mut used: BTreeSet<ServerKey> = BTreeSet::new();
        for _ in 0..6 {
            let mut running = Vec::new();
            for _ in 0..128 {
                let none = History::default();
                let choice = fleet.placer.text(SECOND, &need, &none).expect("a place");
                let id = fleet.placer.id(choice.server).unwrap().to_owned();
                fleet.placer.began(SECOND, &id);
                running.push(choice.server);
            }
            for key in running {
                fleet.placer.ended(SECOND, key, AttemptEnd::Answered(40 * MILLI));
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
        let listing = fleet.listing("engines", "a");
        fleet.placer.list(now, &format!("e{number}"), listing);
        if let Some(left) = number.checked_sub(200) {
            fleet.placer.unlist(now, &format!("e{left}"));
        }
    }
    assert!(fleet.placer.places.len() <= 340, "{} places", fleet.placer.places.len());
}

#[test]
fn a_server_that_is_listed_again_keeps_its_place_and_what_is_known_of_it() {
    let mut fleet = Fleet::new();
    let key = fleet.add("e", "engines", "a");
    fleet.placer.began(SECOND, "e");
    fleet.placer.unlist(SECOND, "e");
    assert_eq!(fleet.add("e", "engines", "a"), key);
    // Others that leave later do not have it forgotten.
    fleet.add("f", "engines", "a");
    fleet.placer.unlist(9 * SECOND, "f");
    assert_eq!((fleet.placer.key("e"), fleet.placer.in_flight("e")), (Some(key), 1));
}
