use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::Demand;
use super::Memory;
use super::Order;
use super::Planner;
use super::Policy;
use super::Reply;
use super::Terms;
use super::Zone;

const TERMS: Terms =
    Terms { min: 1, max: 24, boot: Duration::from_secs(4), revocable_price: Some(0.22) };
const RESERVE: Policy = Policy::Reserve { share: 0.25 };
const TRACK: Policy = Policy::Track { target: 0.7, most: 0.5 };

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn zone(name: &str, price: f64, on_demand: u32, revocable: u32) -> Zone {
    Zone { name: name.to_owned(), price, on_demand, revocable }
}

fn zones(on_demand: [u32; 3], revocable: [u32; 3]) -> Vec<Zone> {
    vec![
        zone("a", 1.2, on_demand[0], revocable[0]),
        zone("b", 0.85, on_demand[1], revocable[1]),
        zone("c", 1.0, on_demand[2], revocable[2]),
    ]
}

fn demand(slowest: f64) -> Demand {
    Demand { slowest_step: Some(slowest), calm_for: Duration::ZERO }
}

fn planner(policy: Policy) -> Planner {
    let mut planner = Planner::new(policy, Memory::default());
    planner.note_floor(&zones([12, 12, 11], [0, 0, 0]));
    planner
}

fn order(zone: &str, is_revocable: bool, count: u32) -> Order {
    Order { zone: zone.to_owned(), is_revocable, count }
}

#[test]
fn nothing_is_ordered_while_nothing_is_missing() {
    let planner = planner(Policy::Hold);
    assert!(planner.plan(seconds(9), &TERMS, &zones([12, 12, 11], [0; 3]), demand(0.9)).is_empty());
}

#[test]
fn servers_that_are_lost_are_ordered_again_and_not_before_they_could_have_started() {
    let mut planner = planner(Policy::Hold);
    let lost = zones([12, 10, 11], [0; 3]);
    let due = planner.plan(seconds(9), &TERMS, &lost, demand(0.5));
    assert_eq!(due, [order("b", false, 12)]);
    planner.note(seconds(9), &due[0], Reply::Taken);
    assert!(planner.plan(seconds(18), &TERMS, &lost, demand(0.5)).is_empty());
    assert_eq!(planner.plan(seconds(19), &TERMS, &lost, demand(0.5)).len(), 1);
}

#[test]
fn a_zone_that_has_lost_all_its_servers_gets_them_back() {
    let planner = planner(Policy::Hold);
    let left = zones([12, 12, 0], [0; 3])[..2].to_vec();
    let due = planner.plan(seconds(9), &TERMS, &left, demand(0.5));
    assert_eq!(due, [order("c", false, 11)]);
}

#[test]
fn the_floor_outlives_the_daemon_that_noted_it() {
    let known = planner(Policy::Hold).memory().clone();
    let mut later = Planner::new(Policy::Hold, known);
    assert!(!later.note_floor(&zones([5, 5, 5], [0; 3])));
    let due = later.plan(seconds(1), &TERMS, &zones([12, 12, 9], [0; 3]), demand(0.5));
    assert_eq!(due, [order("c", false, 11)]);
}

#[test]
fn a_reserve_is_spread_over_the_zones_and_the_rest_goes_where_it_costs_least() {
    let planner = planner(Policy::Reserve { share: 0.3 });
    let due = planner.plan(seconds(1), &TERMS, &zones([12, 12, 11], [0; 3]), demand(0.5));
    assert_eq!(due, [order("b", true, 4), order("c", true, 4), order("a", true, 3)]);
}

#[test]
fn a_zone_that_has_none_rests_and_the_others_take_its_part() {
    let mut planner = planner(RESERVE);
    let none = zones([12, 12, 11], [0; 3]);
    for order in planner.plan(seconds(1), &TERMS, &none, demand(0.5)) {
        let reply = if order.zone == "b" { Reply::NoneToBeHad } else { Reply::Taken };
        planner.note(seconds(1), &order, reply);
    }
    let due = planner.plan(seconds(2), &TERMS, &zones([12, 12, 11], [3, 0, 3]), demand(0.5));
    assert_eq!(due, [order("c", true, 5), order("a", true, 4)]);
    let later = planner.plan(seconds(10), &TERMS, &zones([12, 12, 11], [3, 0, 3]), demand(0.5));
    assert!(later.contains(&order("b", true, 3)));
}

#[test]
fn tracking_grows_when_a_step_nears_its_limit_and_shrinks_after_a_calm_time() {
    assert_eq!(TRACK.wanted(35, 0, demand(0.6)), 0);
    let grown = TRACK.wanted(35, 0, demand(0.95));
    assert_eq!(grown, 13);
    assert_eq!(TRACK.wanted(35, grown, demand(0.6)), grown);
    let calm = Demand { slowest_step: Some(0.5), calm_for: seconds(31) };
    assert_eq!(TRACK.wanted(35, grown, calm), 0);
    assert_eq!(TRACK.wanted(35, grown, demand(3.0)), 18);
}

#[test]
fn orders_keep_their_bounds_and_grow_with_the_load() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..400 {
        let min = rng.random_range(0..3);
        let terms = Terms { min, max: min + rng.random_range(1..20), ..TERMS };
        let policy = match rng.random_range(0..3) {
            0 => Policy::Hold,
            1 => Policy::Reserve { share: rng.random_range(0.0..2.0) },
            _ => Policy::Track { target: 0.7, most: rng.random_range(0.0..2.0) },
        };
        let mut planner = Planner::new(policy, Memory::default());
        let mut count = || rng.random_range(0..=terms.max);
        planner.note_floor(&zones([count(), count(), count()], [0; 3]));
        let seen = zones([count(), count(), count()], [0; 3]);
        let light = planner.plan(seconds(1), &terms, &seen, demand(0.5));
        let heavy = planner.plan(seconds(1), &terms, &seen, demand(1.5));
        for order in light.iter().chain(&heavy) {
            let floor = planner.memory().floor[&order.zone].clamp(terms.min, terms.max);
            if order.is_revocable {
                assert!(order.count + floor <= terms.max, "{order:?} {terms:?}");
            } else {
                assert!(terms.min <= order.count && order.count <= terms.max);
            }
        }
        let total = |orders: &[Order]| orders.iter().map(|order| order.count).sum::<u32>();
        assert!(total(&light) <= total(&heavy));
    }
}
