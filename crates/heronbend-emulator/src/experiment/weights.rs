//! Time until all servers have loaded a new weight version, on virtual time with the daemon's
//! `VersionRollout`.

use std::collections::BinaryHeap;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::lifecycle::BackendName;
use heronbend::weights::{LoadResult, VersionRollout};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::report::{Arm, Report};

const SERVERS: usize = 1400;
/// Total throughput of the store, in loads per second.
const STORE_LOADS_PER_SECOND: f64 = 100.0;
/// Time for which a server cannot serve while it swaps weights in.
const SWAP_SECONDS: f64 = 0.5;
/// Fraction of loads that fail.
const FAILURE_RATE: f64 = 0.01;
const MAX_SECONDS: f64 = 22.0;
const TICK_SECONDS: f64 = 0.05;

/// Arms with their serving floors, the fraction of servers that must keep serving.
const ARMS: [(&str, f64); 4] = [
    ("one at a time", 1.0),
    ("waves, floor 0.9", 0.9),
    ("waves, floor 0.5", 0.5),
    ("all at once", 0.0),
];

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let arms: Vec<Arm> = ARMS
        .iter()
        .map(|(name, floor)| {
            let runs: Vec<_> = seeds.iter().map(|seed| simulate(*floor, *seed)).collect();
            Arm::new(name, &runs)
        })
        .collect();
    let mut report = Report {
        experiment: "weights",
        workload: format!("{SERVERS} servers, store {STORE_LOADS_PER_SECOND} loads/s, swap {SWAP_SECONDS} s, {FAILURE_RATE} of loads fail"),
        baseline: "one at a time".to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    let meets_target = report.arm("waves, floor 0.5").mean("seconds to all") <= MAX_SECONDS;
    report.add_target("waves with floor 0.5 reach all servers within 22 s", meets_target);
    report
}

fn simulate(floor: f64, seed: u64) -> Vec<(&'static str, f64)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut rollout = VersionRollout::new(floor);
    let name = |index: usize| BackendName(format!("engine-{index:04}"));
    for index in 0..SERVERS {
        rollout.observe(&name(index), Incarnation(1), Some(1));
    }
    rollout.publish(2);
    let mut now = 0.0;
    let mut store_free_at = 0.0_f64;
    let mut loading = BinaryHeap::new();
    let mut min_serving = SERVERS;
    while rollout.up_to_date() < SERVERS {
        for command in rollout.tick(Duration::from_secs_f64(now)) {
            store_free_at = store_free_at.max(now) + 1.0 / STORE_LOADS_PER_SECOND;
            let end = store_free_at + SWAP_SECONDS;
            let key = std::cmp::Reverse((end * 1e6) as u64);
            loading.push((key, command.engine.0.clone(), command.version));
        }
        now += TICK_SECONDS;
        let swapping =
            loading.iter().filter(|(end, _, _)| end.0 as f64 / 1e6 - now <= SWAP_SECONDS).count();
        min_serving = min_serving.min(SERVERS - swapping);
        while loading.peek().is_some_and(|(end, _, _)| end.0 as f64 / 1e6 <= now) {
            let Some((_, engine, version)) = loading.pop() else {
                break;
            };
            let command = heronbend::weights::LoadCommand { engine: BackendName(engine), version };
            let failed = random.random_bool(FAILURE_RATE);
            let result = if failed { LoadResult::Failed } else { LoadResult::Loaded };
            rollout.on_result(Duration::from_secs_f64(now), &command, result);
        }
    }
    vec![("seconds to all", now), ("fewest serving, share", min_serving as f64 / SERVERS as f64)]
}
