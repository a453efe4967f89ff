use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::identity::Incarnation;
use crate::lifecycle::{Backend, BackendName, Phase};
use crate::Moment;

const LIMIT: usize = 8;

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
    Query { pool: "bulletin", max_in_flight: LIMIT, prefix: None, min_version: None, exclude: &[] }
}

#[test]
fn a_full_pool_and_an_empty_pool_are_told_apart() {
    let mut router = router(2);
    for _ in 0..2 * LIMIT {
        router.choose(Moment::ZERO, &query()).expect("a place is free");
    }
    assert_eq!(router.choose(Moment::ZERO, &query()), Err(RouteError::Full));
    let other = Query { pool: "other", ..query() };
    assert_eq!(router.choose(Moment::ZERO, &other), Err(RouteError::NoBackend));
}

#[test]
fn a_leaving_back_end_gets_nothing_new() {
    let mut router = router(2);
    router.mark_leaving(&BackendName("engine-0".into()));
    for _ in 0..LIMIT {
        let chosen = router.choose(Moment::ZERO, &query()).unwrap();
        assert_eq!(chosen.name.0, "engine-1");
    }
}

#[test]
fn own_requests_count_on_top_of_a_report_that_lags() {
    let mut router = router(2);
    let mut counts = BTreeMap::new();
    for _ in 0..LIMIT {
        let chosen = router.choose(Moment::ZERO, &query()).unwrap();
        *counts.entry(chosen.name.0).or_insert(0) += 1;
    }
    assert_eq!(counts["engine-0"], counts["engine-1"]);
}

#[test]
fn only_engines_that_vouch_for_a_version_draw_for_a_floor() {
    let mut router = router(2);
    let floor = Query { min_version: Some(3), ..query() };
    assert_eq!(router.choose(Moment::ZERO, &floor), Err(RouteError::NoBackend));
    let report = LoadReport { version: Some(3), ..LoadReport::default() };
    router.report(&BackendName("engine-1".into()), report);
    assert_eq!(router.choose(Moment::ZERO, &floor).unwrap().name.0, "engine-1");
}

#[test]
fn a_prefix_stays_with_its_engine_until_that_is_overloaded() {
    let mut router = router(4);
    let prefix = Query { prefix: Some(42), max_in_flight: 100, ..query() };
    let first = router.choose(Moment::ZERO, &prefix).unwrap();
    let second = router.choose(Moment::ZERO, &prefix).unwrap();
    assert_eq!(first.name, second.name);
    let names: std::collections::BTreeSet<_> =
        (0..60).map(|_| router.choose(Moment::ZERO, &prefix).unwrap().name).collect();
    assert!(names.len() > 1, "the load bound was never applied");
}

#[test]
fn the_breaker_opens_and_lets_one_probe_through() {
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
fn subsets_prefer_the_own_zone_and_spread_evenly() {
    let backends: Vec<_> = (0..100).map(|index| backend(index, "north")).collect();
    let mut uses = BTreeMap::new();
    for daemon in 0..100 {
        let name = format!("daemon-{daemon}");
        for chosen in choose_subset(&name, "north", 20, backends.iter()) {
            *uses.entry(chosen.name.clone()).or_insert(0_u32) += 1;
        }
    }
    let most = uses.values().max().unwrap();
    let least = uses.values().min().unwrap();
    assert!(*most <= 40 && *least >= 6, "from {least} to {most} daemons a back end, mean 20");
    let mixed = [backend(1, "south"), backend(2, "north")];
    let own = choose_subset("daemon", "north", 1, mixed.iter());
    assert_eq!(own[0].zone, "north");
}
