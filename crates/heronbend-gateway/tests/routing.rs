//! Routes, shares of destinations, and the choice of servers.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend_gateway::balancer::{AttemptEnd, Balancer};
use heronbend_gateway::configuration::{ClientLimits, Configuration, Destination, Route};
use heronbend_gateway::directory::{Directory, ServerState};
use heronbend_gateway::headers;
use heronbend_gateway::split::Splitter;
use http::HeaderMap;
use support::{route, server};

const SECOND: Duration = Duration::from_secs(1);

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes: routes.into_iter().map(Rc::new).collect(),
        services: BTreeMap::new(),
        limits: ClientLimits::default(),
        access: None,
        findings: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host, path| configuration.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("A.EXAMPLE:8080", "/x/1").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/x").as_deref(), None);
    assert_eq!(name("c.example", "/x/").as_deref(), None);
}

#[test]
fn every_stretch_of_requests_is_close_to_the_weights() {
    let mut split = route("split", "a.example", "/");
    split.destinations = vec![
        Destination { service: "many".to_owned(), weight: 90 },
        Destination { service: "few".to_owned(), weight: 10 },
    ];
    for start in [0.0, 0.25, 0.7] {
        let mut splitter = Splitter::new(start);
        for _ in 0..20 {
            let few = (0..50).filter(|_| splitter.next(&split) == Some("few")).count();
            assert!((4..=6).contains(&few), "{few} of 50 from {start}");
        }
    }
}

#[test]
fn a_route_without_destinations_has_no_service() {
    let mut empty = route("empty", "a.example", "/");
    empty.destinations.clear();
    assert_eq!(Splitter::new(0.5).next(&empty), None);
}

#[test]
fn a_slow_server_is_left_for_a_fast_one_and_tried_again_later() {
    let servers = vec![Rc::new(server("slow", "app")), Rc::new(server("fast", "app"))];
    let mut balancer = Balancer::default();
    for _ in 0..5 {
        balancer.note(SECOND, "slow", AttemptEnd::Answered(Duration::from_millis(300)));
        balancer.note(SECOND, "fast", AttemptEnd::Answered(Duration::from_millis(10)));
    }
    let chosen = |balancer: &Balancer, now| balancer.choose(now, &servers, &[], "z").unwrap();
    assert_eq!(chosen(&balancer, SECOND).id, "fast");
    // Long after, little is left of what was known: both are tried, however fast the other is.
    let later = SECOND * 60;
    let slow = (0..200).filter(|_| chosen(&balancer, later).id == "slow").count();
    assert!(slow > 20, "{slow}");
}

#[test]
fn one_lost_answer_does_not_make_a_server_avoided_and_two_do() {
    let mut balancer = Balancer::default();
    balancer.note(SECOND, "a", AttemptEnd::Failed);
    assert!(!balancer.is_avoided(SECOND, "a"));
    balancer.note(SECOND, "a", AttemptEnd::Failed);
    assert!(balancer.is_avoided(SECOND, "a"));
    balancer.note(SECOND, "a", AttemptEnd::Answered(Duration::from_millis(5)));
    assert!(!balancer.is_avoided(SECOND, "a"));
}

#[test]
fn a_server_that_cannot_be_reached_is_avoided_at_once_but_used_if_all_are() {
    let servers = vec![Rc::new(server("a", "app"))];
    let mut balancer = Balancer::default();
    balancer.note(SECOND, "a", AttemptEnd::Unreachable);
    assert!(balancer.is_avoided(SECOND, "a"));
    assert!(balancer.choose(SECOND, &servers, &[], "z").is_some());
    assert!(balancer.choose(SECOND, &servers, &["a".to_owned()], "z").is_none());
}

#[test]
fn draining_and_gone_servers_get_nothing_new() {
    let mut directory = Directory::default();
    directory.insert(server("a", "app"));
    let mut draining = server("b", "app");
    draining.state = ServerState::Draining;
    directory.insert(draining);
    let ids = |directory: &Directory, now| -> Vec<String> {
        directory.usable(now, "app").iter().map(|server| server.id.clone()).collect()
    };
    assert_eq!(ids(&directory, SECOND), ["a"]);
    directory.insert(server("c", "app"));
    directory.remove(SECOND, "a");
    assert_eq!(ids(&directory, SECOND), ["c"]);
}

#[test]
fn when_all_entries_lapse_the_servers_are_used_for_a_moment_longer() {
    let mut directory = Directory::default();
    directory.insert(server("a", "app"));
    directory.remove(SECOND, "a");
    assert_eq!(directory.usable(SECOND + Duration::from_millis(500), "app").len(), 1);
    assert!(directory.usable(SECOND * 4, "app").is_empty());
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let mut received = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("keep-alive", "timeout=5"),
        ("accept", "a"),
        ("accept", "b"),
    ] {
        received.append(name, value.parse().unwrap());
    }
    let passed = headers::passed_on(&received);
    assert_eq!(passed.len(), 2);
    assert_eq!(passed.get_all("accept").iter().count(), 2);
}
