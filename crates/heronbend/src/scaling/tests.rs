use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::Demand;
use super::Order;
use super::OrderOutcome;
use super::Planner;
use super::PlannerState;
use super::Policy;
use super::ScalingSpec;
use super::Zone;

const SPEC: ScalingSpec =
    ScalingSpec { min: 1, max: 24, boot_time: Duration::from_secs(4), revocable_price: Some(0.22) };
const RESERVE: Policy = Policy::Reserve { share: 0.25 };
const TRACK: Policy = Policy::Track { target: 0.7, max_share: 0.5 };

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
    let mut planner = Planner::new(policy, PlannerState::default());
    planner.record_floor(&zones([12, 12, 11], [0, 0, 0]));
    planner
}

fn order(zone: &str, is_revocable: bool, count: u32) -> Order {
    Order { zone: zone.to_owned(), is_revocable, count }
}

#[test]
fn no_orders_while_the_floor_is_met() {
    let planner = planner(Policy::OnDemandOnly);
    assert!(planner.plan(seconds(9), &SPEC, &zones([12, 12, 11], [0; 3]), demand(0.9)).is_empty());
}

#[test]
fn lost_servers_are_reordered_only_after_the_boot_time() {
    let mut planner = planner(Policy::OnDemandOnly);
    let lost = zones([12, 10, 11], [0; 3]);
    let orders = planner.plan(seconds(9), &SPEC, &lost, demand(0.5));
    assert_eq!(orders, [order("b", false, 12)]);
    planner.record_outcome(seconds(9), &orders[0], OrderOutcome::Accepted);
    assert!(planner.plan(seconds(18), &SPEC, &lost, demand(0.5)).is_empty());
    assert_eq!(planner.plan(seconds(19), &SPEC, &lost, demand(0.5)).len(), 1);
}

#[test]
fn a_zone_without_servers_is_restored_to_its_floor() {
    let planner = planner(Policy::OnDemandOnly);
    let remaining = zones([12, 12, 0], [0; 3])[..2].to_vec();
    let orders = planner.plan(seconds(9), &SPEC, &remaining, demand(0.5));
    assert_eq!(orders, [order("c", false, 11)]);
}

#[test]
fn the_floor_survives_a_change_of_planner() {
    let state = planner(Policy::OnDemandOnly).state().clone();
    let mut successor = Planner::new(Policy::OnDemandOnly, state);
    assert!(!successor.record_floor(&zones([5, 5, 5], [0; 3])));
    let orders = successor.plan(seconds(1), &SPEC, &zones([12, 12, 9], [0; 3]), demand(0.5));
    assert_eq!(orders, [order("c", false, 11)]);
}

#[test]
fn a_reserve_is_spread_evenly_and_the_remainder_goes_to_the_cheapest_zones() {
    let planner = planner(Policy::Reserve { share: 0.3 });
    let orders = planner.plan(seconds(1), &SPEC, &zones([12, 12, 11], [0; 3]), demand(0.5));
    assert_eq!(orders, [order("b", true, 4), order("c", true, 4), order("a", true, 3)]);
}

#[test]
fn a_zone_without_capacity_backs_off_and_the_others_take_its_share() {
    let mut planner = planner(RESERVE);
    let without_revocable = zones([12, 12, 11], [0; 3]);
    for order in planner.plan(seconds(1), &SPEC, &without_revocable, demand(0.5)) {
        let outcome =
            if order.zone == "b" { OrderOutcome::NoCapacity } else { OrderOutcome::Accepted };
        planner.record_outcome(seconds(1), &order, outcome);
    }
    let orders = planner.plan(seconds(2), &SPEC, &zones([12, 12, 11], [3, 0, 3]), demand(0.5));
    assert_eq!(orders, [order("c", true, 5), order("a", true, 4)]);
    let later_orders =
        planner.plan(seconds(10), &SPEC, &zones([12, 12, 11], [3, 0, 3]), demand(0.5));
    assert!(later_orders.contains(&order("b", true, 3)));
}

#[test]
fn tracking_grows_near_the_deadline_and_shrinks_after_low_load() {
    assert_eq!(TRACK.wanted(35, 0, demand(0.6)), 0);
    let grown = TRACK.wanted(35, 0, demand(0.95));
    assert_eq!(grown, 13);
    assert_eq!(TRACK.wanted(35, grown, demand(0.6)), grown);
    let calm = Demand { slowest_step: Some(0.5), calm_for: seconds(31) };
    assert_eq!(TRACK.wanted(35, grown, calm), 0);
    assert_eq!(TRACK.wanted(35, grown, demand(3.0)), 18);
}

#[test]
fn orders_respect_the_limits_and_grow_with_the_load() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..400 {
        let min = rng.random_range(0..3);
        let spec = ScalingSpec { min, max: min + rng.random_range(1..20), ..SPEC };
        let policy = match rng.random_range(0..3) {
            0 => Policy::OnDemandOnly,
            1 => Policy::Reserve { share: rng.random_range(0.0..2.0) },
            _ => Policy::Track { target: 0.7, max_share: rng.random_range(0.0..2.0) },
        };
        let mut planner = Planner::new(policy, PlannerState::default());
        let mut count = || rng.random_range(0..=spec.max);
        planner.record_floor(&zones([count(), count(), count()], [0; 3]));
        let observed = zones([count(), count(), count()], [0; 3]);
        let light = planner.plan(seconds(1), &spec, &observed, demand(0.5));
        let heavy = planner.plan(seconds(1), &spec, &observed, demand(1.5));
        for order in light.iter().chain(&heavy) {
            let floor = planner.state().floor[&order.zone].clamp(spec.min, spec.max);
            if order.is_revocable {
                assert!(order.count + floor <= spec.max, "{order:?} {spec:?}");
            } else {
                assert!(spec.min <= order.count && order.count <= spec.max);
            }
        }
        let total = |orders: &[Order]| orders.iter().map(|order| order.count).sum::<u32>();
        assert!(total(&light) <= total(&heavy));
    }
}
