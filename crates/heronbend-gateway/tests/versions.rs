//! The lease for orders, and the plan of loads.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend_gateway::directory::Server;
use heronbend_gateway::versions::lease::{LeaseHold, LeaseRecord, LEASE_DURATION};
use heronbend_gateway::versions::plan::{
    loads_due, max_concurrent_loads, EngineState, Load, ModelState, Urgency, STEP_START_DELAY,
};
use heronbend_gateway::versions::published::PublishedVersions;
use support::server;

const PAUSE: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

fn hold(name: &str) -> LeaseHold {
    LeaseHold::new(NodeName(name.to_owned()), PAUSE)
}

fn record(name: &str, settled: bool) -> LeaseRecord {
    LeaseRecord { holder: NodeName(name.to_owned()), settled, renewals: 0 }
}

/// Renews at `now`, as the store acknowledged it after `delay`.
fn renew(hold: &mut LeaseHold, revision: u64, now: Duration, delay: Duration) {
    let record = hold.next_record(now);
    hold.renewed(revision, record, now, now + delay);
}

#[test]
fn the_first_holder_acts_at_once_and_only_for_the_leases_time() {
    let mut first = hold("a");
    renew(&mut first, 5, SECOND, Duration::from_millis(400));
    assert_eq!(first.token(SECOND + Duration::from_millis(400)), Some(5));
    // Counted from when the renewal was sent, with a margin for the order to arrive.
    assert_eq!(first.token(SECOND + LEASE_DURATION), None);
    assert_eq!(first.token(SECOND + LEASE_DURATION - Duration::from_millis(200)), None);
}

#[test]
fn a_new_holder_waits_for_the_old_ones_right_to_act_and_the_pause() {
    let mut second = hold("b");
    second.observed(5, record("a", true), SECOND);
    renew(&mut second, 6, SECOND, Duration::ZERO);
    let may_act = SECOND + LEASE_DURATION + PAUSE;
    assert_eq!(second.waits_until(SECOND), Some(may_act));
    renew(&mut second, 6, may_act - Duration::from_millis(1), Duration::ZERO);
    assert_eq!(second.token(may_act - Duration::from_millis(1)), None);
    renew(&mut second, 7, may_act, Duration::ZERO);
    assert_eq!(second.token(may_act), Some(7));
}

#[test]
fn a_new_holder_that_has_long_known_the_last_renewal_waits_for_what_is_left() {
    let mut second = hold("b");
    second.observed(5, record("a", true), SECOND);
    let taken = SECOND * 4;
    renew(&mut second, 6, taken, Duration::ZERO);
    assert_eq!(second.waits_until(taken), Some(SECOND + LEASE_DURATION + PAUSE));
    let mut late = hold("c");
    late.observed(5, record("a", true), SECOND);
    let taken = SECOND * 9;
    renew(&mut late, 6, taken, Duration::ZERO);
    assert_eq!(late.token(taken), Some(6));
}

#[test]
fn the_late_answer_to_a_renewal_before_a_takeover_gives_no_right_to_act() {
    let mut first = hold("a");
    let created = first.next_record(SECOND);
    first.observed(6, record("b", false), SECOND * 4);
    first.renewed(5, created, SECOND, SECOND * 4);
    renew(&mut first, 7, SECOND * 4, Duration::ZERO);
    assert_eq!(first.token(SECOND * 4), None);
}

#[test]
fn each_renewal_writes_something_else() {
    let mut first = hold("a");
    renew(&mut first, 5, SECOND, Duration::ZERO);
    let (one, two) = (first.next_record(SECOND), first.next_record(SECOND * 2));
    assert_eq!(one, two, "what is not written yet may be written again");
    renew(&mut first, 6, SECOND * 2, Duration::ZERO);
    assert_ne!(first.next_record(SECOND * 3), two);
}

#[test]
fn a_holder_that_lost_track_does_not_skip_the_pause() {
    let mut second = hold("b");
    second.observed(5, record("a", true), SECOND);
    renew(&mut second, 6, SECOND, Duration::ZERO);
    second.invalidate();
    second.observed(7, record("b", false), SECOND * 2);
    renew(&mut second, 8, SECOND * 2, Duration::ZERO);
    assert_eq!(second.token(SECOND * 2), None);
    assert_eq!(second.waits_until(SECOND * 2), Some(SECOND + LEASE_DURATION + PAUSE));
}

#[test]
fn a_process_that_restarts_within_the_pause_waits_anew() {
    let mut restarted = hold("b");
    restarted.observed(6, record("b", false), Duration::ZERO);
    renew(&mut restarted, 7, Duration::ZERO, Duration::ZERO);
    assert_eq!(restarted.token(SECOND), None);
    assert_eq!(restarted.waits_until(Duration::ZERO), Some(LEASE_DURATION + PAUSE));
}

#[test]
fn a_process_that_restarts_as_the_settled_holder_goes_on() {
    let mut restarted = hold("a");
    restarted.observed(6, record("a", true), Duration::ZERO);
    renew(&mut restarted, 7, SECOND, Duration::ZERO);
    assert_eq!(restarted.token(SECOND), Some(7));
}

#[test]
fn a_holder_that_was_replaced_does_not_act_and_waits_when_it_returns() {
    let mut first = hold("a");
    renew(&mut first, 5, SECOND, Duration::ZERO);
    first.observed(6, record("b", false), SECOND);
    assert_eq!(first.token(SECOND), None);
    renew(&mut first, 7, SECOND * 2, Duration::ZERO);
    assert_eq!(first.token(SECOND * 2), None);
    assert!(first.waits_until(SECOND * 2).is_some());
}

fn engine(id: &str, versions: &[(&str, u64)]) -> EngineState {
    let held = versions.iter().map(|(model, version)| ((*model).to_owned(), *version));
    let models: BTreeMap<String, u64> = held.collect();
    EngineState {
        server: Rc::new(Server { models: models.into(), ..server(id, "engines") }),
        is_loading: false,
        loading: None,
        is_transferring: false,
        in_flight: 0,
    }
}

fn hold_version(engine: &mut EngineState, model: &str, version: u64) {
    let server = Rc::make_mut(&mut engine.server);
    Rc::make_mut(&mut server.models).insert(model.to_owned(), version);
}

fn models(states: &[(&str, u64, u64, bool)]) -> BTreeMap<String, ModelState> {
    let state = |version, demand, has_slow_steps| ModelState {
        version,
        demand,
        step_items: 0,
        has_slow_steps,
        published_for: STEP_START_DELAY,
        requires_single_version: false,
    };
    states.iter().map(|(name, v, d, p)| ((*name).to_owned(), state(*v, *d, *p))).collect()
}

/// Orders all that is due until nothing is, as if each load took no time.
fn load_all(models: &BTreeMap<String, ModelState>, engines: &mut [EngineState]) -> Vec<Load> {
    let mut done = Vec::new();
    loop {
        let due = loads_due(models, engines);
        if due.is_empty() {
            return done;
        }
        for load in due {
            let engine = engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
            hold_version(engine, &load.model, load.version);
            done.push(load);
        }
    }
}

#[test]
fn at_most_two_servers_load_at_once() {
    let mut engines: Vec<_> = (0..8).map(|n| engine(&format!("e{n}"), &[("m", 1)])).collect();
    let models = models(&[("m", 2, 100, false)]);
    assert_eq!(loads_due(&models, &engines).len(), 2);
    engines[0].is_loading = true;
    engines[0].loading = Some(("m".to_owned(), 2));
    engines[0].is_transferring = true;
    assert_eq!(loads_due(&models, &engines).len(), 1);
}

#[test]
fn each_server_takes_every_second_version_and_none_is_ever_two_behind() {
    let mut engines: Vec<_> = (0..8).map(|n| engine(&format!("e{n}"), &[("m", 1)])).collect();
    for version in 2..12 {
        let loads = load_all(&models(&[("m", version, 100, false)]), &mut engines);
        assert_eq!(loads.len(), 4, "version {version}");
        assert!(engines.iter().all(|engine| engine.server.models["m"] + 1 >= version));
    }
}

#[test]
fn a_pressed_model_gets_every_version_on_all_hosts_once_its_step_has_begun() {
    let urgencies = |published_for, requires_single_version| {
        let mut engines: Vec<_> = (0..4).map(|n| engine(&format!("e{n}"), &[("m", 1)])).collect();
        let mut models = models(&[("m", 2, 100, true)]);
        let state = models.get_mut("m").unwrap();
        (state.published_for, state.requires_single_version) =
            (published_for, requires_single_version);
        let loads = load_all(&models, &mut engines);
        loads.iter().map(|load| load.urgency).collect::<Vec<Urgency>>()
    };
    // A step begins when its version is named, and needs the servers that can run it.
    assert_eq!(urgencies(STEP_START_DELAY - Duration::from_millis(1), false), []);
    assert_eq!(urgencies(STEP_START_DELAY, false), [Urgency::Soon; 4]);
    // Where a load spoils what runs, half of the hosts wait until they are idle. Were all to wait, none
    // of a busy model's would be ready for the next version, which would find them all too old at the
    // same moment.
    let cut = [Urgency::Soon, Urgency::Soon, Urgency::WhenIdle, Urgency::WhenIdle];
    assert_eq!(urgencies(STEP_START_DELAY, true), cut);
}

#[test]
fn a_server_that_cannot_serve_a_step_loads_at_once() {
    let mut engines: Vec<_> = (0..4).map(|n| engine(&format!("e{n}"), &[("m", 2)])).collect();
    hold_version(&mut engines[0], "m", 1);
    let mut models = models(&[("m", 3, 100, true)]);
    models.get_mut("m").unwrap().published_for = Duration::ZERO;
    let loads = loads_due(&models, &engines);
    assert_eq!(loads.len(), 1);
    assert_eq!((loads[0].server.as_str(), loads[0].urgency), ("e0", Urgency::Now));
}

#[test]
fn servers_follow_the_models_in_proportion_to_demand_and_stay_with_them() {
    let versions = [("a", 1), ("b", 1), ("c", 1)];
    let mut engines: Vec<_> = (0..9).map(|n| engine(&format!("e{n}"), &versions)).collect();
    let mut hosts = BTreeMap::new();
    for version in 2..10 {
        let models =
            models(&[("a", version, 20, true), ("b", version, 60, true), ("c", version, 60, true)]);
        for load in load_all(&models, &mut engines) {
            let host = hosts.entry(load.server.clone()).or_insert_with(|| load.model.clone());
            assert_eq!(*host, load.model, "{} at {version}", load.server);
        }
    }
    let count = |model: &str| hosts.values().filter(|host| *host == model).count();
    assert_eq!((count("a"), count("b"), count("c")), (1, 4, 4));
}

#[test]
fn a_model_is_pressed_while_one_of_its_last_steps_took_long() {
    let published = PublishedVersions::default();
    assert!(!published.has_slow_steps("m"));
    published.record_step_time("m", SECOND * 6);
    assert!(published.has_slow_steps("m"));
    published.record_step_time("m", SECOND * 3);
    assert!(published.has_slow_steps("m"));
    published.record_step_time("m", SECOND * 3);
    assert!(!published.has_slow_steps("m"));
    assert!(!published.has_slow_steps("other"));
}

#[test]
fn versions_only_rise() {
    let published = PublishedVersions::default();
    assert!(published.observe(SECOND, "m", 3));
    assert!(!published.observe(SECOND * 2, "m", 2));
    assert_eq!(published.newest()["m"], (3, SECOND));
}

/// Servers that all hold the first version of three models.
fn many_engines(count: usize) -> Vec<EngineState> {
    let name = |number| format!("e{number:02}");
    let held = [("a", 1), ("b", 1), ("c", 1)];
    (0..count).map(|number| engine(&name(number), &held)).collect()
}

#[test]
fn more_servers_load_at_a_time_where_there_are_more() {
    assert_eq!([8, 9, 14, 35].map(max_concurrent_loads), [2, 2, 2, 7]);
    let models = models(&[("a", 3, 100, false)]);
    assert_eq!(loads_due(&models, &many_engines(35)).len(), 7);
}

#[test]
fn no_model_waits_until_the_others_have_loaded() {
    let models = models(&[("a", 3, 100, false), ("b", 3, 100, false), ("c", 3, 100, false)]);
    let due = loads_due(&models, &many_engines(35));
    for model in ["a", "b", "c"] {
        assert!(due.iter().filter(|load| load.model == model).count() >= 2, "{model}: {due:?}");
    }
}

#[test]
fn the_model_whose_servers_lag_most_loads_first() {
    let models = models(&[("a", 3, 100, false), ("b", 3, 100, false)]);
    let mut engines = many_engines(10);
    // Most servers that follow the first model hold what its newest step allows.
    for load in load_all(&models, &mut engines.clone()) {
        if load.model == "a" {
            let engine = engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
            hold_version(engine, "a", 2);
        }
    }
    let due = loads_due(&models, &engines);
    assert!(due.iter().all(|load| load.model == "b"), "{due:?}");
}

/// 7,777 servers of six places that hold the first version of eight models, or twice as many.
fn fleet(servers: usize) -> Vec<EngineState> {
    let names: Vec<String> = (0..8).map(|number| format!("m{number}")).collect();
    let held: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let slots = |mut engine: EngineState| {
        Rc::make_mut(&mut engine.server).slots = 6;
        engine
    };
    (0..servers).map(|number| slots(engine(&format!("e{number:05}"), &held))).collect()
}

/// Eight trainers whose steps have 72 to 128 texts.
fn trainers(version: u64) -> BTreeMap<String, ModelState> {
    let step_items = [72, 128, 112, 80, 112, 128, 96, 120];
    let state = |step_items| ModelState {
        version,
        demand: 100,
        step_items,
        published_for: STEP_START_DELAY,
        ..ModelState::default()
    };
    step_items
        .iter()
        .enumerate()
        .map(|(number, step_items)| (format!("m{number}"), state(*step_items)))
        .collect()
}

/// Loads of eight versions, beginning where all servers hold the first one.
fn loads_of_a_run(servers: usize) -> Vec<usize> {
    let mut engines = fleet(servers);
    (2..10).map(|version| load_all(&trainers(version), &mut engines).len()).collect()
}

#[test]
fn how_many_servers_load_a_version_follows_from_the_texts_and_not_from_the_fleet() {
    let loads = loads_of_a_run(7777);
    assert_eq!(loads, loads_of_a_run(2 * 7777));
    // 848 texts, two steps of them, on servers of six places: 283 of these; twice as many follow, and
    // one half of them loads each version.
    assert!(loads.iter().all(|loads| (283..=300).contains(loads)), "{loads:?}");
}

#[test]
fn a_step_that_is_owed_has_places_although_half_of_its_servers_load() {
    let mut engines = fleet(7777);
    for version in 2..6 {
        load_all(&trainers(version), &mut engines);
        for (model, state) in trainers(version) {
            let holds = |allowed| {
                let has = |engine: &&EngineState| engine.server.models[&model] >= allowed;
                engines.iter().filter(has).map(|engine| engine.server.slots as usize).sum::<usize>()
            };
            assert!(holds(version) >= 2 * state.step_items, "{model} at {version}");
            assert!(holds(version - 1) >= 4 * state.step_items, "{model} at {version}");
        }
    }
}

#[test]
fn servers_stay_with_their_models_however_many_there_are() {
    let mut engines = fleet(2000);
    let mut hosts = BTreeMap::new();
    for version in 2..10 {
        for load in load_all(&trainers(version), &mut engines) {
            let host = hosts.entry(load.server.clone()).or_insert_with(|| load.model.clone());
            assert_eq!(*host, load.model, "{} at {version}", load.server);
        }
    }
    assert!(hosts.len() <= 600, "{}", hosts.len());
}

#[test]
fn while_a_zone_is_lost_the_other_servers_take_its_models_over() {
    let mut engines = fleet(2000);
    for version in 2..5 {
        load_all(&trainers(version), &mut engines);
    }
    let mut number = 0;
    engines.retain(|_| {
        number += 1;
        number % 5 > 0
    });
    load_all(&trainers(5), &mut engines);
    for (model, state) in trainers(5) {
        let fit = engines.iter().filter(|engine| engine.server.models[&model] >= 5);
        assert!(fit.count() * 6 >= 2 * state.step_items, "{model}");
    }
}
