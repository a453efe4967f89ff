//! Replays overload of a service whose daemons share the limit, in virtual time.

use std::time::Duration;

use super::overload_tests::*;
use super::shared_limit::Source;

const LENGTH: Duration = Duration::from_secs(20);
/// Share of the calls at 1.3 times what the servers can run that must be answered in time.
const TARGET_IN_TIME: f64 = 0.6;

/// A fleet under overload by `factor`, before it runs.
fn overloaded(seed: u64, factor: f64) -> Fleet {
    let mut fleet = Fleet::shared(seed);
    let start = fleet.now;
    fleet.add_load(start, Duration::from_secs(2), CAPACITY * 0.02, any_tenant);
    fleet.add_load(start, LENGTH, CAPACITY * factor, any_tenant);
    fleet
}

fn in_time(fleet: &Fleet) -> f64 {
    let total = fleet.totals();
    f64::from(total.in_time) / f64::from(total.asked)
}

/// Calls per second that all daemons together may send.
fn sum_of_rates(fleet: &Fleet) -> f64 {
    fleet.daemons.iter().filter_map(|daemon| daemon.queue.rate()).sum()
}

#[test]
fn most_of_what_the_servers_can_run_is_answered_in_time() {
    for (seed, factor) in cases(&[1.2, 1.3, 2.0, 5.0]) {
        let mut fleet = overloaded(seed, factor);
        fleet.run();
        assert_served(&fleet, factor);
    }
}

#[test]
fn three_fifths_are_answered_in_time_at_1_3_times_the_capacity() {
    for seed in seeds() {
        let mut fleet = overloaded(seed, 1.3);
        fleet.run();
        let in_time = in_time(&fleet);
        assert!(in_time >= TARGET_IN_TIME, "{in_time}");
    }
}

#[test]
fn no_tenant_is_below_half_of_the_mean() {
    for (seed, factor) in cases(&[1.3, 2.0]) {
        let mut fleet = overloaded(seed, factor);
        fleet.run();
        let mean = in_time(&fleet);
        for (tenant, counts) in &fleet.by_tenant {
            let share = f64::from(counts.in_time) / f64::from(counts.asked);
            assert!(share >= mean / 2.0, "tenant {tenant}: {share} of {mean}, {counts:?}");
        }
    }
}

#[test]
fn a_tenant_that_sends_nine_tenths_leaves_the_others_their_share() {
    for (seed, factor) in cases(&[1.2, 2.0, 5.0]) {
        let mut fleet = Fleet::shared(seed);
        let tenant = |random: &mut rand::rngs::SmallRng| {
            let is_busy = rand::Rng::random_bool(random, 0.9);
            if is_busy {
                0
            } else {
                any_tenant(random)
            }
        };
        fleet.add_load(fleet.now, LENGTH, CAPACITY * factor, tenant);
        fleet.run();
        assert_served(&fleet, factor);
        let mean = in_time(&fleet);
        let others = fleet.by_tenant.iter().filter(|(tenant, _)| **tenant != 0);
        let (asked, in_time) = others.fold((0, 0), |(asked, in_time), (_, counts)| {
            (asked + counts.asked, in_time + counts.in_time)
        });
        let others = f64::from(in_time) / f64::from(asked);
        println!("mean {mean:.3} others {others:.3}");
        assert!(others >= mean, "others {others} of mean {mean} at {factor}");
    }
}

#[test]
fn a_server_lost_in_the_middle_costs_no_more_than_its_share() {
    for seed in seeds() {
        let mut fleet = overloaded(seed, 1.2);
        let start = fleet.now;
        fleet.schedule(start + Duration::from_secs(6), Event::Fail { server: 1 });
        fleet.schedule(start + Duration::from_secs(14), Event::Restore { server: 1 });
        fleet.run();
        // Two thirds of the capacity for eight of twenty seconds.
        assert_served(&fleet, 1.2 / (1.0 - 8.0 / 20.0 / 3.0));
    }
}

/// The target is the smaller of [`TARGET_IN_TIME`] and [`TARGET_SHARE`] of what the servers can run.
#[test]
fn a_slow_server_leaves_the_others_in_use() {
    let slowness = [1.0, 1.0, 1.5];
    let capacity = CAPACITY * (2.0 + 1.0 / 1.5) / 3.0;
    for (seed, factor) in cases(&[1.2, 1.3, 2.0]) {
        let mut fleet = Fleet::shared(seed);
        fleet.servers = slowness.into_iter().map(Server::new).collect();
        fleet.add_load(fleet.now, LENGTH, capacity * factor, any_tenant);
        fleet.run();
        assert_share_served(&fleet, factor, TARGET_SHARE.min(TARGET_IN_TIME * factor));
    }
}

#[test]
fn half_of_the_messages_may_be_lost() {
    for (seed, factor) in cases(&[1.3, 2.0]) {
        let mut fleet = overloaded(seed, factor);
        fleet.loss = 0.5;
        fleet.run();
        assert_served(&fleet, factor);
    }
}

#[test]
fn a_daemon_that_is_cut_off_uses_no_more_than_its_equal_share() {
    for seed in seeds() {
        let mut fleet = overloaded(seed, 1.3);
        let start = fleet.now;
        fleet.schedule(start + Duration::from_secs(8), Event::CutOff { daemon: 3 });
        fleet.run_until(start + Duration::from_secs(8));
        let before = fleet.daemons[3].queue.rate().expect("limited");
        fleet.run_until(start + Duration::from_secs(11));
        let cut_off = &fleet.daemons[3];
        let rate = cut_off.queue.rate().expect("limited");
        let capacity = cut_off.shared.as_ref().and_then(|shared| shared.capacity());
        let equal = capacity.expect("known").divided_per_second / DAEMONS as f64;
        println!("{before} before, {rate} of {equal}, {:?}", cut_off.source);
        assert!(rate > 0.0 && rate <= equal + 0.001, "{rate} of {equal}");
        assert_ne!(cut_off.source, Some(Source::Share));
        fleet.schedule(fleet.now, Event::Reconnect { daemon: 3 });
        fleet.run_until(start + Duration::from_secs(15));
        assert_eq!(fleet.daemons[3].source, Some(Source::Share));
        fleet.run();
        assert_served(&fleet, 1.3);
    }
}

#[test]
fn a_daemon_that_starts_into_overload_is_limited_and_serves() {
    for seed in seeds() {
        let mut fleet = overloaded(seed, 1.3);
        let start = fleet.now;
        fleet.schedule(start + Duration::from_secs(8), Event::RestartDaemon { daemon: 3 });
        fleet.run_until(start + Duration::from_millis(8500));
        let started = &fleet.daemons[3];
        let rate = started.queue.rate().expect("limited");
        let capacity = started.shared.as_ref().and_then(|shared| shared.capacity());
        let equal = capacity.expect("known").divided_per_second / DAEMONS as f64;
        assert!(rate > 0.0 && rate <= equal + 0.001, "{rate} of {equal}");
        fleet.run_until(start + Duration::from_secs(11));
        assert_eq!(fleet.daemons[3].source, Some(Source::Share));
        fleet.run();
        assert_served(&fleet, 1.3);
    }
}

/// Each daemon divides what the deciding one divided at some time within the validity of its
/// report and two evaluations.
#[test]
fn daemons_agree_on_the_capacity() {
    const STEP: Duration = Duration::from_millis(50);
    const RECENT_STEPS: usize = 28;
    let divided = |fleet: &Fleet, daemon: usize| {
        let shared = fleet.daemons[daemon].shared.as_ref();
        shared.and_then(|shared| shared.capacity()).map(|capacity| capacity.divided_per_second)
    };
    for seed in seeds() {
        let mut fleet = overloaded(seed, 1.3);
        fleet.loss = 0.1;
        fleet.run_until(fleet.now + Duration::from_secs(3));
        let mut decided = Vec::new();
        for step in 0..300 {
            fleet.run_until(Duration::from_secs(4) + STEP * step);
            decided.extend(divided(&fleet, 0));
            if decided.len() < RECENT_STEPS {
                continue;
            }
            let recent = &decided[decided.len() - RECENT_STEPS..];
            for daemon in 0..DAEMONS {
                let rate = divided(&fleet, daemon).expect("limited");
                let is_close = |decided: &f64| (rate - decided).abs() <= decided * 0.001;
                assert!(recent.iter().any(is_close), "daemon {daemon}: {rate} of {recent:?}");
            }
            let highest = recent.iter().copied().fold(0.0, f64::max);
            let sum = sum_of_rates(&fleet);
            assert!(sum <= highest * 1.01, "{sum} of {highest}");
        }
    }
}

#[test]
fn sharing_ends_with_the_overload() {
    for seed in seeds() {
        let mut fleet = Fleet::shared(seed);
        let start = fleet.now;
        let calm = start + Duration::from_secs(5);
        fleet.add_load(start, Duration::from_secs(5), CAPACITY * 2.0, any_tenant);
        fleet.add_load(calm, Duration::from_secs(15), CAPACITY * 0.2, any_tenant);
        fleet.run_until(start + Duration::from_secs(14));
        assert!(fleet.daemons.iter().all(|daemon| daemon.source.is_none()));
        assert!(fleet.daemons.iter().all(|daemon| daemon.queue.rate().is_none()));
        let reports = fleet.reports.len();
        fleet.run();
        assert_eq!(fleet.reports.len(), reports);
        let late =
            fleet.callers.iter().filter(|caller| caller.asked > calm + Duration::from_secs(10));
        assert!(late.clone().count() > 100);
        assert!(late.clone().all(|caller| caller.retries == 1), "refused after the overload");
    }
}
