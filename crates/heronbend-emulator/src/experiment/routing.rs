//! Choice of a back end on virtual time, with the daemon's own router.
//!
//! Several routers, as several daemons have, send to the same servers and see each other's load only
//! through reports that lag. One server is ten times slower; one answers errors at once.

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
const PLACES: usize = 8;
const SERVICE_SECONDS: f64 = 0.1;
const REQUESTS: usize = 60_000;
/// Offered load as a share of what all healthy servers can do.
const LOAD: f64 = 0.7;
const SLOW_SERVER: usize = 0;
const FAILING_SERVER: usize = 1;
const SLOWNESS: f64 = 10.0;
const REPORT_LAGS: [f64; 3] = [0.2, 1.0, 5.0];
const MAX_IN_FLIGHT: usize = 64;
const POOL: &str = "pool";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    RoundRobin,
    /// The least loaded by the last report alone.
    LeastReported,
    /// The daemon's router.
    Router,
}

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let mut arms = Vec::new();
    for lag in REPORT_LAGS {
        for (choice, name) in [
            (Choice::RoundRobin, "round robin"),
            (Choice::LeastReported, "least reported"),
            (Choice::Router, "router"),
        ] {
            let runs: Vec<_> = seeds.iter().map(|seed| simulate(choice, lag, *seed)).collect();
            arms.push(Arm::new(&format!("{name}, reports lag {lag} s"), &runs));
        }
    }
    let mut report = Report {
        experiment: "routing",
        workload: format!(
            "{ROUTERS} routers, {SERVERS} servers of {PLACES} places, load {LOAD}, one server \
             {SLOWNESS} times slower, one failing at once"
        ),
        baseline: "round robin, reports lag 1 s".to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    for lag in REPORT_LAGS {
        let p99 = |name: &str| report.arm(&format!("{name}, reports lag {lag} s")).mean("p99 ms");
        let better = p99("router") < p99("round robin") && p99("router") < p99("least reported");
        report.demand(&format!("the router has the lowest p99 with reports {lag} s late"), better);
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

fn simulate(choice: Choice, lag: f64, seed: u64) -> Vec<(&'static str, f64)> {
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
    let healthy = (SERVERS - 2) as f64 + 1.0 / SLOWNESS;
    let arrivals = Exp::new(LOAD * healthy * PLACES as f64 / SERVICE_SECONDS).expect("positive");
    let service = Exp::new(1.0 / SERVICE_SECONDS).expect("positive");
    let mut queue =
        BinaryHeap::from([Reverse((0_u64, Event::Arrival)), Reverse((0, Event::Report))]);
    let mut shown: Vec<LoadReport> = vec![LoadReport::default(); SERVERS];
    let mut latency = latency_histogram();
    let (mut sent, mut failed_requests, mut turn) = (0, 0_u64, 0);
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
                turn += 1;
                let server = match choice {
                    Choice::RoundRobin => turn % SERVERS,
                    Choice::LeastReported => least_reported(&shown, &mut random),
                    Choice::Router => {
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
                if choice == Choice::Router {
                    let outcome =
                        if failed { RequestOutcome::Failed } else { RequestOutcome::Answered };
                    routers[router].finished(moment, &backends[server], outcome);
                }
                start(&mut servers, server, now, &service, &mut random, &mut queue);
            }
            Event::Report => {
                for (index, server) in servers.iter().enumerate() {
                    shown[index] = LoadReport {
                        running: server.running as u32,
                        waiting: server.waiting.len() as u32,
                        version: None,
                    };
                }
                for router in &mut routers {
                    for (backend, report) in backends.iter().zip(&shown) {
                        router.report(&backend.name, *report);
                    }
                }
                if sent < REQUESTS {
                    queue.push(Reverse((now + (lag * 1e6) as u64, Event::Report)));
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
    while server.running < PLACES {
        let Some((router, arrived)) = server.waiting.pop_front() else {
            return;
        };
        server.running += 1;
        let failed = index == FAILING_SERVER;
        let slowness = if index == SLOW_SERVER { SLOWNESS } else { 1.0 };
        let seconds = if failed { 0.001 } else { service.sample(random) * slowness };
        let done = Event::Done { server: index, router, arrived, failed };
        queue.push(Reverse((now + (seconds * 1e6) as u64 + 1, done)));
    }
}

fn least_reported(shown: &[LoadReport], random: &mut SmallRng) -> usize {
    let load = |index: &usize| shown[*index].running + shown[*index].waiting;
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
    digits.parse().expect("names are made by this module")
}
