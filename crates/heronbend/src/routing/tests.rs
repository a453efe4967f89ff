use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::identity::Incarnation;
use crate::lifecycle::{Backend, BackendName, Phase};
use crate::Moment;

const MAX_IN_FLIGHT: usize = 8;

fn backend(index: usize, zone: &str) -> Backend {
    Backend {
        name: BackendName(format!("engine-{index}")),
        incarnation: Incarnation(1),
        pool: "bulletin".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: zone.into(),
    }
}

fn router(count: usize) -> Router {
    let mut router = Router::new("shawinigan", 7);
    router.update((0..count).map(|index| (backend(index, "shawinigan"), Phase::Live)));
    router
}

fn query() -> Query<'static> {
    Query {
        pool: "bulletin",
        max_in_flight: MAX_IN_FLIGHT,
        prefix: None,
        min_version: None,
        exclude: &[],
    }
}

#[test]
fn full_pool_and_unknown_pool_return_different_errors() {
    let mut router = router(2);
    for _ in 0..2 * MAX_IN_FLIGHT {
        router.choose(Moment::ZERO, &query()).expect("a slot is free");
    }
    assert_eq!(router.choose(Moment::ZERO, &query()), Err(RouteError::Full));
    let other = Query { pool: "other", ..query() };
    assert_eq!(router.choose(Moment::ZERO, &other), Err(RouteError::NoBackend));
}

#[test]
fn leaving_backend_receives_no_new_requests() {
    let mut router = router(2);
    router.mark_leaving(&BackendName("engine-0".into()));
    for _ in 0..MAX_IN_FLIGHT {
        let chosen = router.choose(Moment::ZERO, &query()).unwrap();
        assert_eq!(chosen.name.0, "engine-1");
    }
}

#[test]
fn own_in_flight_requests_count_between_load_reports() {
    let mut router = router(2);
    let mut counts = BTreeMap::new();
    for _ in 0..MAX_IN_FLIGHT {
        let chosen = router.choose(Moment::ZERO, &query()).unwrap();
        *counts.entry(chosen.name.0).or_insert(0) += 1;
    }
    assert_eq!(counts["engine-0"], counts["engine-1"]);
}

#[test]
fn minimum_version_excludes_engines_without_reported_version() {
    let mut router = router(2);
    let min_version_query = Query { min_version: Some(3), ..query() };
    assert_eq!(router.choose(Moment::ZERO, &min_version_query), Err(RouteError::NoBackend));
    let report = LoadReport { version: Some(3), ..LoadReport::default() };
    router.report(&BackendName("engine-1".into()), report);
    assert_eq!(router.choose(Moment::ZERO, &min_version_query).unwrap().name.0, "engine-1");
}

#[test]
fn prefix_affinity_holds_until_engine_exceeds_load_bound() {
    let mut router = router(4);
    let prefix_query = Query { prefix: Some(42), max_in_flight: 100, ..query() };
    let first = router.choose(Moment::ZERO, &prefix_query).unwrap();
    let second = router.choose(Moment::ZERO, &prefix_query).unwrap();
    assert_eq!(first.name, second.name);
    let names: std::collections::BTreeSet<_> =
        (0..60).map(|_| router.choose(Moment::ZERO, &prefix_query).unwrap().name).collect();
    assert!(names.len() > 1, "the load bound was never applied");
}

#[test]
fn open_breaker_admits_a_single_probe() {
    let mut router = router(1);
    let now = Moment::ZERO;
    for _ in 0..5 {
        let chosen = router.choose(now, &query()).unwrap();
        router.finished(now, &chosen, RequestOutcome::Failed);
    }
    assert_eq!(router.choose(now, &query()), Err(RouteError::NoBackend));
    let later = now + Duration::from_secs(1);
    let probe = router.choose(later, &query()).unwrap();
    assert_eq!(router.choose(later, &query()), Err(RouteError::NoBackend));
    router.finished(later, &probe, RequestOutcome::Answered);
    assert!(router.choose(later, &query()).is_ok());
}

#[test]
fn subsets_prefer_local_zone_and_are_balanced() {
    let backends: Vec<_> = (0..100).map(|index| backend(index, "north")).collect();
    let mut uses_by_backend = BTreeMap::new();
    for daemon in 0..100 {
        let name = format!("daemon-{daemon}");
        for chosen in choose_subset(&name, "north", 20, backends.iter()) {
            *uses_by_backend.entry(chosen.name.clone()).or_insert(0_u32) += 1;
        }
    }
    let most = uses_by_backend.values().max().unwrap();
    let least = uses_by_backend.values().min().unwrap();
    assert!(*most <= 40 && *least >= 6, "from {least} to {most} daemons per backend, mean 20");
    let mixed = [backend(1, "south"), backend(2, "north")];
    let chosen = choose_subset("daemon", "north", 1, mixed.iter());
    assert_eq!(chosen[0].zone, "north");
}
