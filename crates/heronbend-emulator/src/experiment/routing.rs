//! Load balancing strategies on virtual time, including the daemon's `Router`.
//!
//! Several routers send to the same servers and see each other's load only through periodic reports.
//! One server is ten times slower than the others, and one fails every request immediately.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::lifecycle::{Backend, BackendName, Phase};
use heronbend::routing::{LoadReport, Query, RequestOutcome, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use super::report::{latency_histogram, Arm, Report};

const SERVERS: usize = 24;
const ROUTERS: usize = 6;
const SLOTS_PER_SERVER: usize = 8;
/// Mean service time.
const SERVICE_SECONDS: f64 = 0.1;
const REQUESTS: usize = 60_000;
/// Offered load as a fraction of the capacity of the non-failing servers.
const LOAD_FACTOR: f64 = 0.7;
const SLOW_SERVER: usize = 0;
const FAILING_SERVER: usize = 1;
const SLOWDOWN: f64 = 10.0;
const REPORT_INTERVALS_SECONDS: [f64; 3] = [0.2, 1.0, 5.0];
const MAX_IN_FLIGHT: usize = 64;
const POOL: &str = "pool";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    RoundRobin,
    /// The server with the lowest load in the last report.
    LeastReported,
    /// The daemon's `Router`.
    Router,
}

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let mut arms = Vec::new();
    for interval in REPORT_INTERVALS_SECONDS {
        for (strategy, name) in [
            (Strategy::RoundRobin, "round robin"),
            (Strategy::LeastReported, "least reported"),
            (Strategy::Router, "router"),
        ] {
            let runs: Vec<_> =
                seeds.iter().map(|seed| simulate(strategy, interval, *seed)).collect();
            arms.push(Arm::new(&format!("{name}, reports lag {interval} s"), &runs));
        }
    }
    let mut report = Report {
        experiment: "routing",
        workload: format!(
            "{ROUTERS} routers, {SERVERS} servers of {SLOTS_PER_SERVER} slots, load {LOAD_FACTOR}, one server \
             {SLOWDOWN} times slower, one failing at once"
        ),
        baseline: "round robin, reports lag 1 s".to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    for interval in REPORT_INTERVALS_SECONDS {
        let p99 =
            |name: &str| report.arm(&format!("{name}, reports lag {interval} s")).mean("p99 ms");
        let meets_target =
            p99("router") < p99("round robin") && p99("router") < p99("least reported");
        report.add_target(
            &format!("the router has the lowest p99 with reports {interval} s late"),
            meets_target,
        );
    }
    report
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { server: usize, router: usize, arrived: u64, failed: bool },
    Report,
}

struct Server {
    running: usize,
    waiting: VecDeque<(usize, u64)>,
}

fn simulate(strategy: Strategy, interval: f64, seed: u64) -> Vec<(&'static str, f64)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let backends: Vec<Backend> = (0..SERVERS).map(backend).collect();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|index| {
            let mut router = Router::new("zone", seed * 100 + index as u64);
            router.update(backends.iter().map(|backend| (backend.clone(), Phase::Live)));
            router
        })
        .collect();
    let mut servers: Vec<Server> =
        (0..SERVERS).map(|_| Server { running: 0, waiting: VecDeque::new() }).collect();
    let effective_servers = (SERVERS - 2) as f64 + 1.0 / SLOWDOWN;
    let arrivals =
        Exp::new(LOAD_FACTOR * effective_servers * SLOTS_PER_SERVER as f64 / SERVICE_SECONDS)
            .expect("positive");
    let service = Exp::new(1.0 / SERVICE_SECONDS).expect("positive");
    let mut queue =
        BinaryHeap::from([Reverse((0_u64, Event::Arrival)), Reverse((0, Event::Report))]);
    let mut reported: Vec<LoadReport> = vec![LoadReport::default(); SERVERS];
    let mut latency = latency_histogram();
    let (mut sent, mut failed_requests, mut next_server) = (0, 0_u64, 0);
    while let Some(Reverse((now, event))) = queue.pop() {
        let moment = Duration::from_micros(now);
        match event {
            Event::Arrival => {
                sent += 1;
                if sent < REQUESTS {
                    let next = now + (arrivals.sample(&mut random) * 1e6) as u64;
                    queue.push(Reverse((next, Event::Arrival)));
                }
                let router = random.random_range(0..ROUTERS);
                next_server += 1;
                let server = match strategy {
                    Strategy::RoundRobin => next_server % SERVERS,
                    Strategy::LeastReported => least_reported(&reported, &mut random),
                    Strategy::Router => {
                        let query = Query {
                            pool: POOL,
                            max_in_flight: MAX_IN_FLIGHT,
                            prefix: None,
                            min_version: None,
                            exclude: &[],
                        };
                        match routers[router].choose(moment, &query) {
                            Ok(chosen) => index_of(&chosen),
                            Err(_) => {
                                failed_requests += 1;
                                continue;
                            }
                        }
                    }
                };
                servers[server].waiting.push_back((router, now));
                start(&mut servers, server, now, &service, &mut random, &mut queue);
            }
            Event::Done { server, router, arrived, failed } => {
                servers[server].running -= 1;
                latency.saturating_record(now - arrived);
                failed_requests += u64::from(failed);
                if strategy == Strategy::Router {
                    let outcome =
                        if failed { RequestOutcome::Failed } else { RequestOutcome::Answered };
                    routers[router].finished(moment, &backends[server], outcome);
                }
                start(&mut servers, server, now, &service, &mut random, &mut queue);
            }
            Event::Report => {
                for (index, server) in servers.iter().enumerate() {
                    reported[index] = LoadReport {
                        running: server.running as u32,
                        waiting: server.waiting.len() as u32,
                        version: None,
                    };
                }
                for router in &mut routers {
                    for (backend, report) in backends.iter().zip(&reported) {
                        router.report(&backend.name, *report);
                    }
                }
                if sent < REQUESTS {
                    queue.push(Reverse((now + (interval * 1e6) as u64, Event::Report)));
                }
            }
        }
    }
    let millis = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
    vec![
        ("p99 ms", millis(0.99)),
        ("p50 ms", millis(0.5)),
        ("p99.9 ms", millis(0.999)),
        ("max ms", latency.max() as f64 / 1000.0),
        ("failed share", failed_requests as f64 / REQUESTS as f64),
    ]
}

fn start(
    servers: &mut [Server],
    index: usize,
    now: u64,
    service: &Exp<f64>,
    random: &mut SmallRng,
    queue: &mut BinaryHeap<Reverse<(u64, Event)>>,
) {
    let server = &mut servers[index];
    while server.running < SLOTS_PER_SERVER {
        let Some((router, arrived)) = server.waiting.pop_front() else {
            return;
        };
        server.running += 1;
        let failed = index == FAILING_SERVER;
        let slowdown = if index == SLOW_SERVER { SLOWDOWN } else { 1.0 };
        let seconds = if failed { 0.001 } else { service.sample(random) * slowdown };
        let done = Event::Done { server: index, router, arrived, failed };
        queue.push(Reverse((now + (seconds * 1e6) as u64 + 1, done)));
    }
}

fn least_reported(reported: &[LoadReport], random: &mut SmallRng) -> usize {
    let load = |index: &usize| reported[*index].running + reported[*index].waiting;
    let least = (0..SERVERS).map(|index| load(&index)).min().unwrap_or(0);
    let ties: Vec<usize> = (0..SERVERS).filter(|index| load(index) == least).collect();
    ties[random.random_range(0..ties.len())]
}

fn backend(index: usize) -> Backend {
    Backend {
        name: BackendName(format!("server-{index:03}")),
        incarnation: Incarnation(1),
        pool: POOL.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
    }
}

fn index_of(backend: &Backend) -> usize {
    let digits = backend.name.0.trim_start_matches("server-");
    digits.parse().expect("this module generates the names")
}
