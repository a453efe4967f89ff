//! The servers that are listed, and those that start again under the name that they had.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Requirements;
use heronbend_gateway::directory::Directory;
use heronbend_gateway::directory::Run;
use heronbend_gateway::directory::Server;
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
fn a_server_that_starts_again_is_believed_nothing_of_its_former_run() {
    let mut directory = Directory::new(SEED);
    assert_eq!(directory.insert(SECOND, run(1, 7)), Run::Same);
    let former = directory.placer.request_started(SECOND, "e").unwrap();
    directory.placer.record_load_command(SECOND, "e", "m", 8);
    for _ in 0..3 {
        directory.placer.record_outcome(SECOND, "e", AttemptOutcome::Failed);
    }
    assert!(directory.placer.is_in_backoff(SECOND, "e"));
    assert_eq!(directory.insert(2 * SECOND, run(2, 1)), Run::Later);
    let placer = &mut directory.placer;
    assert_eq!(placer.in_flight("e"), 0);
    assert!(!placer.is_in_backoff(2 * SECOND, "e"));
    assert_eq!(placer.pending_load(2 * SECOND, "e"), None);
    // What ran at the former run ends there, and not at the one that is listed now.
    let present = placer.request_started(2 * SECOND, "e").unwrap();
    assert_ne!(present, former);
    placer.request_finished(2 * SECOND, former, AttemptOutcome::Failed);
    assert_eq!(placer.in_flight("e"), 1);
    assert_eq!(directory.chosen(former), None);
    assert_eq!(directory.chosen(present).unwrap().incarnation, Incarnation(2));
    assert_eq!(version(&directory), 1);
}

#[test]
fn an_entry_of_an_earlier_run_never_wins() {
    let mut directory = Directory::new(SEED);
    directory.insert(SECOND, run(2, 1));
    assert_eq!(directory.insert(SECOND, run(1, 9)), Run::Earlier);
    assert_eq!(version(&directory), 1);
    assert_eq!(directory.insert(SECOND, run(2, 3)), Run::Same);
    assert_eq!(version(&directory), 3);
}

#[test]
fn servers_that_do_not_tell_their_runs_are_one_run_by_their_name() {
    let mut directory = Directory::new(SEED);
    directory.insert(SECOND, run(0, 1));
    let key = directory.placer.key("e");
    assert_eq!(directory.insert(SECOND, run(0, 2)), Run::Same);
    assert_eq!(directory.placer.key("e"), key);
}

/// A release of a whole service: each entry goes, and one of another name comes.
#[test]
fn what_is_kept_of_servers_that_left_does_not_grow_with_how_many_leave() {
    let mut directory = Directory::new(SEED);
    for number in 0..2000_u64 {
        let now = SECOND + Duration::from_millis(number * 10);
        directory.insert(now, server(&format!("e{number}"), "engines"));
        if number >= 100 {
            directory.remove(now, &format!("e{}", number - 100));
        }
    }
    // Those that left in the last 1.2 s may serve on.
    let left = (0..1900).filter(|number| directory.placer.key(&format!("e{number}")).is_some());
    assert!((100..=130).contains(&left.count()));
    let service = directory.placer.service("engines");
    let need = Requirements { service, model: None, allowed_regions: None };
    assert_eq!(directory.placer.eligible_servers(21 * SECOND, &need).len(), 100);
    directory.retain(30 * SECOND, &BTreeSet::from(["e1999".to_owned()]));
    assert_eq!(directory.placer.eligible_servers(30 * SECOND, &need).len(), 1);
}
