//! The command lease, and the planning of weight loads.

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

/// Renews the lease at `now`; the store acknowledges it after `delay`.
fn renew(hold: &mut LeaseHold, revision: u64, now: Duration, delay: Duration) {
    let record = hold.next_record(now);
    hold.renewed(revision, record, now, now + delay);
}

#[test]
fn the_first_holder_may_act_immediately_until_the_lease_expires() {
    let mut first = hold("a");
    renew(&mut first, 5, SECOND, Duration::from_millis(400));
    assert_eq!(first.token(SECOND + Duration::from_millis(400)), Some(5));
    // Counted from the sending of the renewal, with a margin for the delivery of commands.
    assert_eq!(first.token(SECOND + LEASE_DURATION), None);
    assert_eq!(first.token(SECOND + LEASE_DURATION - Duration::from_millis(200)), None);
}

#[test]
fn a_new_holder_waits_for_the_previous_lease_and_the_pause() {
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
fn a_new_holder_waits_only_for_the_remaining_time() {
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
fn a_late_response_to_a_renewal_before_a_takeover_grants_no_lease() {
    let mut first = hold("a");
    let created = first.next_record(SECOND);
    first.observed(6, record("b", false), SECOND * 4);
    first.renewed(5, created, SECOND, SECOND * 4);
    renew(&mut first, 7, SECOND * 4, Duration::ZERO);
    assert_eq!(first.token(SECOND * 4), None);
}

#[test]
fn each_renewal_writes_a_different_record() {
    let mut first = hold("a");
    renew(&mut first, 5, SECOND, Duration::ZERO);
    let (one, two) = (first.next_record(SECOND), first.next_record(SECOND * 2));
    assert_eq!(one, two, "an unacknowledged record may be written again");
    renew(&mut first, 6, SECOND * 2, Duration::ZERO);
    assert_ne!(first.next_record(SECOND * 3), two);
}

#[test]
fn an_invalidated_holder_does_not_skip_the_pause() {
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
fn a_process_that_restarts_within_the_pause_waits_again() {
    let mut restarted = hold("b");
    restarted.observed(6, record("b", false), Duration::ZERO);
    renew(&mut restarted, 7, Duration::ZERO, Duration::ZERO);
    assert_eq!(restarted.token(SECOND), None);
    assert_eq!(restarted.waits_until(Duration::ZERO), Some(LEASE_DURATION + PAUSE));
}

#[test]
fn a_restarted_settled_holder_continues() {
    let mut restarted = hold("a");
    restarted.observed(6, record("a", true), Duration::ZERO);
    renew(&mut restarted, 7, SECOND, Duration::ZERO);
    assert_eq!(restarted.token(SECOND), Some(7));
}

#[test]
fn a_replaced_holder_waits_when_it_reacquires_the_lease() {
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

fn set_version(engine: &mut EngineState, model: &str, version: u64) {
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

/// Executes due loads until none is left, as if each took no time.
fn load_all(models: &BTreeMap<String, ModelState>, engines: &mut [EngineState]) -> Vec<Load> {
    let mut done = Vec::new();
    loop {
        let due = loads_due(models, engines);
        if due.is_empty() {
            return done;
        }
        for load in due {
            let engine = engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
            set_version(engine, &load.model, load.version);
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
fn servers_load_every_second_version_and_are_at_most_one_behind() {
    let mut engines: Vec<_> = (0..8).map(|n| engine(&format!("e{n}"), &[("m", 1)])).collect();
    for version in 2..12 {
        let loads = load_all(&models(&[("m", version, 100, false)]), &mut engines);
        assert_eq!(loads.len(), 4, "version {version}");
        assert!(engines.iter().all(|engine| engine.server.models["m"] + 1 >= version));
    }
}

#[test]
fn a_model_with_slow_steps_loads_every_version_on_all_hosts_after_the_step_starts() {
    let urgencies = |published_for, requires_single_version| {
        let mut engines: Vec<_> = (0..4).map(|n| engine(&format!("e{n}"), &[("m", 1)])).collect();
        let mut models = models(&[("m", 2, 100, true)]);
        let state = models.get_mut("m").unwrap();
        (state.published_for, state.requires_single_version) =
            (published_for, requires_single_version);
        let loads = load_all(&models, &mut engines);
        loads.iter().map(|load| load.urgency).collect::<Vec<Urgency>>()
    };
    // A step starts soon after its version is published, and needs the servers that can run it.
    assert_eq!(urgencies(STEP_START_DELAY - Duration::from_millis(1), false), []);
    assert_eq!(urgencies(STEP_START_DELAY, false), [Urgency::Soon; 4]);
    // If loads interrupt generation, half of the hosts wait until they are idle. The others load
    // immediately, so that not all hosts of a busy model become too old at the same time.
    let expected = [Urgency::Soon, Urgency::Soon, Urgency::WhenIdle, Urgency::WhenIdle];
    assert_eq!(urgencies(STEP_START_DELAY, true), expected);
}

#[test]
fn a_server_that_cannot_serve_a_step_loads_immediately() {
    let mut engines: Vec<_> = (0..4).map(|n| engine(&format!("e{n}"), &[("m", 2)])).collect();
    set_version(&mut engines[0], "m", 1);
    let mut models = models(&[("m", 3, 100, true)]);
    models.get_mut("m").unwrap().published_for = Duration::ZERO;
    let loads = loads_due(&models, &engines);
    assert_eq!(loads.len(), 1);
    assert_eq!((loads[0].server.as_str(), loads[0].urgency), ("e0", Urgency::Now));
}

#[test]
fn servers_are_assigned_in_proportion_to_demand_and_keep_their_model() {
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
fn a_model_has_slow_steps_while_a_recent_step_was_slow() {
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
fn published_versions_only_increase() {
    let published = PublishedVersions::default();
    assert!(published.observe(SECOND, "m", 3));
    assert!(!published.observe(SECOND * 2, "m", 2));
    assert_eq!(published.newest()["m"], (3, SECOND));
}

/// Servers that hold the first version of three models.
fn many_engines(count: usize) -> Vec<EngineState> {
    let name = |number| format!("e{number:02}");
    let held = [("a", 1), ("b", 1), ("c", 1)];
    (0..count).map(|number| engine(&name(number), &held)).collect()
}

#[test]
fn concurrent_loads_grow_with_the_number_of_servers() {
    assert_eq!([8, 9, 14, 35].map(max_concurrent_loads), [2, 2, 2, 7]);
    let models = models(&[("a", 3, 100, false)]);
    assert_eq!(loads_due(&models, &many_engines(35)).len(), 7);
}

#[test]
fn concurrent_loads_are_shared_between_models() {
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
    // Most servers that follow model `a` already hold a version that its newest step accepts.
    for load in load_all(&models, &mut engines.clone()) {
        if load.model == "a" {
            let engine = engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
            set_version(engine, "a", 2);
        }
    }
    let due = loads_due(&models, &engines);
    assert!(due.iter().all(|load| load.model == "b"), "{due:?}");
}

/// Servers with six slots that hold the first version of eight models.
fn fleet(servers: usize) -> Vec<EngineState> {
    let names: Vec<String> = (0..8).map(|number| format!("m{number}")).collect();
    let held: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let slots = |mut engine: EngineState| {
        Rc::make_mut(&mut engine.server).slots = 6;
        engine
    };
    (0..servers).map(|number| slots(engine(&format!("e{number:05}"), &held))).collect()
}

/// Eight models whose steps have 72 to 128 items.
fn model_states(version: u64) -> BTreeMap<String, ModelState> {
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

/// Returns the number of loads for each of eight versions, on servers that hold the first one.
fn loads_per_version(servers: usize) -> Vec<usize> {
    let mut engines = fleet(servers);
    (2..10).map(|version| load_all(&model_states(version), &mut engines).len()).collect()
}

#[test]
fn the_number_of_loads_depends_on_the_items_and_not_on_the_fleet_size() {
    let loads = loads_per_version(7777);
    assert_eq!(loads, loads_per_version(2 * 7777));
    // Two steps of 848 items on servers with six slots need 283 servers. Twice as many follow the
    // models, and half of these load each version.
    assert!(loads.iter().all(|loads| (283..=300).contains(loads)), "{loads:?}");
}

#[test]
fn an_outstanding_step_has_slots_while_half_of_its_servers_load() {
    let mut engines = fleet(7777);
    for version in 2..6 {
        load_all(&model_states(version), &mut engines);
        for (model, state) in model_states(version) {
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
fn servers_keep_their_model_in_a_large_fleet() {
    let mut engines = fleet(2000);
    let mut hosts = BTreeMap::new();
    for version in 2..10 {
        for load in load_all(&model_states(version), &mut engines) {
            let host = hosts.entry(load.server.clone()).or_insert_with(|| load.model.clone());
            assert_eq!(*host, load.model, "{} at {version}", load.server);
        }
    }
    assert!(hosts.len() <= 600, "{}", hosts.len());
}

#[test]
fn other_servers_take_over_the_models_of_a_lost_zone() {
    let mut engines = fleet(2000);
    for version in 2..5 {
        load_all(&model_states(version), &mut engines);
    }
    let mut number = 0;
    engines.retain(|_| {
        number += 1;
        number % 5 > 0
    });
    load_all(&model_states(5), &mut engines);
    for (model, state) in model_states(5) {
        let up_to_date = engines.iter().filter(|engine| engine.server.models[&model] >= 5);
        assert!(up_to_date.count() * 6 >= 2 * state.step_items, "{model}");
    }
}
