//! The server directory: restarts of servers under the same name, and removals.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Requirements;
use heronbend_gateway::directory::Directory;
use heronbend_gateway::directory::RunOrder;
use heronbend_gateway::directory::Server;
use heronbend_gateway::replacements::Replacements;
use support::server;

const SECOND: Duration = Duration::from_secs(1);
const SEED: u64 = 5;

fn run(incarnation: u64, version: u64) -> Server {
    Server {
        incarnation: Incarnation(incarnation),
        models: BTreeMap::from([("m".to_owned(), version)]).into(),
        ..server("e", "engines")
    }
}

fn version(directory: &Directory) -> u64 {
    directory.get("e").unwrap().models["m"]
}

#[test]
fn state_of_the_previous_run_is_reset_when_a_server_restarts() {
    let mut directory = Directory::new(SEED);
    assert_eq!(directory.insert(SECOND, run(1, 7)), RunOrder::Same);
    let previous_run = directory.placer.request_started(SECOND, "e").unwrap();
    directory.placer.record_load_command(SECOND, "e", "m", 8);
    for _ in 0..3 {
        directory.placer.record_outcome(SECOND, "e", AttemptOutcome::Failed);
    }
    assert!(directory.placer.is_in_backoff(SECOND, "e"));
    assert_eq!(directory.insert(2 * SECOND, run(2, 1)), RunOrder::Newer);
    let placer = &mut directory.placer;
    assert_eq!(placer.in_flight("e"), 0);
    assert!(!placer.is_in_backoff(2 * SECOND, "e"));
    assert_eq!(placer.pending_load(2 * SECOND, "e"), None);
    // Requests of the previous run do not count against the new one.
    let current_run = placer.request_started(2 * SECOND, "e").unwrap();
    assert_ne!(current_run, previous_run);
    placer.request_finished(2 * SECOND, previous_run, AttemptOutcome::Failed);
    assert_eq!(placer.in_flight("e"), 1);
    assert_eq!(directory.by_key(previous_run), None);
    assert_eq!(directory.by_key(current_run).unwrap().incarnation, Incarnation(2));
    assert_eq!(version(&directory), 1);
}

#[test]
fn registrations_of_an_older_run_are_ignored() {
    let mut directory = Directory::new(SEED);
    directory.insert(SECOND, run(2, 1));
    assert_eq!(directory.insert(SECOND, run(1, 9)), RunOrder::Older);
    assert_eq!(version(&directory), 1);
    assert_eq!(directory.insert(SECOND, run(2, 3)), RunOrder::Same);
    assert_eq!(version(&directory), 3);
}

#[test]
fn servers_without_an_incarnation_keep_one_run() {
    let mut directory = Directory::new(SEED);
    directory.insert(SECOND, run(0, 1));
    let key = directory.placer.key("e");
    assert_eq!(directory.insert(SECOND, run(0, 2)), RunOrder::Same);
    assert_eq!(directory.placer.key("e"), key);
}

/// Models a rolling release, in which every server is replaced by one with a new name.
#[test]
fn removed_servers_are_forgotten() {
    let mut directory = Directory::new(SEED);
    for number in 0..2000_u64 {
        let now = SECOND + Duration::from_millis(number * 10);
        directory.insert(now, server(&format!("e{number}"), "engines"));
        if number >= 100 {
            directory.remove(now, &format!("e{}", number - 100));
        }
    }
    // Servers removed less than 1.2 s ago are within the grace period.
    let retained = (0..1900).filter(|number| directory.placer.key(&format!("e{number}")).is_some());
    assert!((100..=130).contains(&retained.count()));
    let service = directory.placer.service("engines");
    let requirements = Requirements { service, model: None, allowed_regions: None };
    assert_eq!(directory.placer.eligible_servers(21 * SECOND, &requirements).len(), 100);
    directory.retain(30 * SECOND, &BTreeSet::from(["e1999".to_owned()]));
    assert_eq!(directory.placer.eligible_servers(30 * SECOND, &requirements).len(), 1);
}

#[test]
fn a_service_is_unserved_once_all_its_servers_are_removed_or_have_exited() {
    let mut directory = Directory::new(SEED);
    directory.insert(SECOND, server("a", "stations"));
    directory.insert(SECOND, server("b", "stations"));
    directory.insert(SECOND, server("e", "engines"));
    assert!(directory.has_usable_servers(SECOND, "stations", 2));
    directory.placer.record_outcome(SECOND, "a", AttemptOutcome::ServerExited);
    assert!(directory.has_usable_servers(SECOND, "stations", 1));
    assert!(!directory.has_usable_servers(SECOND, "stations", 2));
    directory.remove(SECOND, "b");
    assert!(!directory.has_usable_servers(SECOND, "stations", 1));
    directory.insert(SECOND, server("c", "stations"));
    assert!(directory.has_usable_servers(SECOND, "stations", 1));
}

/// Guards against a service that is left with one server, or none, learning of successors only with
/// a full batch: the successor of the first of two crashed servers must not delay that of the
/// second.
#[test]
fn successors_are_urgent_until_a_service_has_two_servers_again() {
    let mut directory = Directory::new(SEED);
    let mut replacements = Replacements::default();
    let are_urgent = |directory: &Directory, replacements: &mut Replacements, now| {
        replacements
            .are_urgent(now, |service, count| directory.has_usable_servers(now, service, count))
    };
    for id in ["a", "b", "c"] {
        directory.insert(SECOND, server(id, "stations"));
    }
    directory.remove(SECOND, "a");
    replacements.note_gone(SECOND, "stations");
    assert!(!are_urgent(&directory, &mut replacements, SECOND));
    for id in ["b", "c"] {
        directory.remove(SECOND, id);
        replacements.note_gone(SECOND, "stations");
        assert!(are_urgent(&directory, &mut replacements, SECOND));
    }
    directory.insert(SECOND, server("b2", "stations"));
    assert!(are_urgent(&directory, &mut replacements, 2 * SECOND));
    directory.insert(SECOND, server("c2", "stations"));
    assert!(!are_urgent(&directory, &mut replacements, 2 * SECOND));
    // A server that is removed for good is not awaited forever.
    directory.remove(2 * SECOND, "c2");
    replacements.note_gone(2 * SECOND, "stations");
    assert!(are_urgent(&directory, &mut replacements, 4 * SECOND));
    assert!(!are_urgent(&directory, &mut replacements, 5 * SECOND));
}
