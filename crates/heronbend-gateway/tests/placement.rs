//! Which server runs a text, and when it had better go on at another one.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend_gateway::balancer::AttemptEnd;
use heronbend_gateway::batch::length::Lengths;
use heronbend_gateway::batch::pace::PaceMeter;
use heronbend_gateway::batch::placement::Placement;
use heronbend_gateway::gateway::Gateway;
use support::gateway;
use support::item;
use support::memory_store::MemoryStore;
use support::run;
use support::server;

const FAST: Duration = Duration::from_millis(40);
const SLOW: Duration = Duration::from_millis(52);

/// Knows a server of the service `app` whose texts gain an event in `per_event`.
fn add(gateway: &Gateway, id: &str, per_event: Duration) {
    gateway.directory.borrow_mut().insert(server(id, "app"));
    let now = gateway.now();
    gateway.balancer.borrow_mut().note(now, id, AttemptEnd::Answered(per_event));
}

/// Places at a fast server and a slow one.
fn fast_and_slow(gateway: &Rc<Gateway>) -> Placement<'_> {
    add(gateway, "fast", FAST);
    add(gateway, "slow", SLOW);
    Placement { gateway, step: None }
}

fn with_gateway(test: impl FnOnce(&Rc<Gateway>) + 'static) {
    run(|executor| {
        Box::pin(async move {
            let gateway = gateway("a", &Rc::new(MemoryStore::default()), &executor);
            test(&gateway);
        })
    });
}

#[test]
fn fast_servers_are_filled_before_slow_ones() {
    with_gateway(|gateway| {
        let placement = fast_and_slow(gateway);
        let chosen: Vec<String> = (0..9)
            .map(|_| {
                let (server, _) = placement.find("app", &[], &[]).unwrap();
                gateway.balancer.borrow_mut().started(&server.id);
                server.id.clone()
            })
            .collect();
        let fast = chosen.iter().filter(|id| *id == "fast").count();
        assert_eq!((fast, chosen[8].as_str()), (8, "slow"), "{chosen:?}");
    });
}

#[test]
fn a_long_rest_is_worth_a_move_to_a_faster_server_and_a_short_one_is_not() {
    with_gateway(|gateway| {
        let placement = fast_and_slow(gateway);
        let slow = server("slow", "app");
        let long = placement.gain(&slow, SLOW, 100).unwrap();
        let short = placement.gain(&slow, SLOW, 5).unwrap();
        assert!(long > Duration::from_secs(1) && short < Duration::from_millis(100));
        // The fast one has nowhere to gain, and nobody moves to a full server.
        assert_eq!(placement.gain(&server("fast", "app"), FAST, 100), None);
        (0..8).for_each(|_| gateway.balancer.borrow_mut().started("fast"));
        assert_eq!(placement.gain(&slow, SLOW, 100), None);
    });
}

#[test]
fn small_differences_of_pace_move_nothing() {
    with_gateway(|gateway| {
        add(gateway, "a", FAST);
        add(gateway, "b", Duration::from_millis(44));
        let placement = Placement { gateway, step: None };
        assert_eq!(placement.gain(&server("b", "app"), Duration::from_millis(44), 100), None);
    });
}

#[test]
fn a_texts_rest_is_guessed_from_its_callers_guess_and_from_its_growth() {
    let mut lengths = Lengths::default();
    let guessed = item("a", Some(5000));
    // Nothing is known of how many tokens an event holds.
    assert_eq!(lengths.expected_rest(&guessed, 20), 10);
    lengths.learn(&item("b", Some(500)), 10);
    assert_eq!(lengths.expected_rest(&guessed, 20), 80);
    // It has outgrown its guess.
    assert_eq!(lengths.expected_rest(&guessed, 140), 70);
    assert_eq!(lengths.expected_rest(&item("c", None), 40), 20);
}

#[test]
fn a_slow_server_is_known_before_it_has_made_many_events() {
    let mut usual = PaceMeter::new(Duration::ZERO);
    assert_eq!(usual.add(FAST * 7, 7), None);
    assert_eq!(usual.add(FAST * 8, 1), Some(FAST));
    let mut slow = PaceMeter::new(Duration::ZERO);
    let per_event = Duration::from_millis(220);
    assert_eq!(slow.add(per_event, 1), None);
    assert_eq!(slow.add(per_event * 2, 1), Some(per_event));
}
