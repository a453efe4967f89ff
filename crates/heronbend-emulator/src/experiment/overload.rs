//! Admission at and above capacity, on virtual time.
//!
//! One pool with continuous batching. Clients want an answer within their patience; what comes later
//! counts as nothing. Arms: no limit; a plain limit on requests under way; and the rule of the
//! related paper (Phala Inference Guard): a server that reports any waiting request gets no new one.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use super::report::{latency_histogram, Arm, Report};

const SERVERS: usize = 8;
const PLACES: usize = 16;
const SERVICE_SECONDS: f64 = 2.0;
const PATIENCE_SECONDS: f64 = 10.0;
const DURATION_SECONDS: f64 = 300.0;
const RECOVERY_WINDOW: f64 = 0.05;
const REPORT_LAG: f64 = 0.2;
const OVERLOADS: [f64; 4] = [0.8, 1.0, 2.0, 5.0];
/// Requests under way at one server that the plain limit admits: its places and a short queue.
const PLAIN_LIMIT: usize = PLACES + 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Unlimited,
    PlainLimit,
    NoIntakeWhileWaiting,
}

const ADMISSIONS: [(Admission, &str); 3] = [
    (Admission::Unlimited, "no limit"),
    (Admission::PlainLimit, "plain limit"),
    (Admission::NoIntakeWhileWaiting, "no intake while waiting"),
];

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let mut arms = Vec::new();
    for overload in OVERLOADS {
        for (admission, name) in ADMISSIONS {
            let runs: Vec<_> =
                seeds.iter().map(|seed| simulate(admission, overload, *seed)).collect();
            arms.push(Arm::new(&format!("{name}, load {overload}"), &runs));
        }
    }
    let mut report = Report {
        experiment: "overload",
        workload: format!(
            "{SERVERS} servers of {PLACES} places, {SERVICE_SECONDS} s a request, patience \
             {PATIENCE_SECONDS} s"
        ),
        baseline: "no limit, load 1".to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    let goodput = |name: &str| report.arm(name).mean("goodput a second");
    let peak = goodput("plain limit, load 1").max(goodput("plain limit, load 2"));
    let kept = OVERLOADS[2..]
        .iter()
        .all(|load| goodput(&format!("plain limit, load {load}")) >= 0.9 * peak);
    report.demand("plain limit: goodput at 2x and 5x at least 90% of the peak", kept);
    report
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Retry { arrived: u64 },
    Done { server: usize, arrived: u64 },
    Report,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<u64>,
    reported_waiting: usize,
    sent_since_report: usize,
}

fn simulate(admission: Admission, overload: f64, seed: u64) -> Vec<(&'static str, f64)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let capacity = (SERVERS * PLACES) as f64 / SERVICE_SECONDS;
    let arrivals = Exp::new(overload * capacity).expect("positive");
    let service = Exp::new(1.0 / SERVICE_SECONDS).expect("positive");
    let end = (DURATION_SECONDS * 1e6) as u64;
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut queue =
        BinaryHeap::from([Reverse((0_u64, Event::Arrival)), Reverse((0, Event::Report))]);
    let mut latency = latency_histogram();
    let (mut good, mut late, mut refused, mut arrived_count) = (0_u64, 0_u64, 0_u64, 0_u64);
    while let Some(Reverse((now, event))) = queue.pop() {
        match event {
            Event::Arrival => {
                arrived_count += 1;
                let next = now + (arrivals.sample(&mut random) * 1e6) as u64;
                if next < end {
                    queue.push(Reverse((next, Event::Arrival)));
                }
                queue.push(Reverse((now, Event::Retry { arrived: now })));
            }
            Event::Retry { arrived } => match choose(&servers, admission, &mut random) {
                Some(index) => {
                    servers[index].waiting.push_back(arrived);
                    servers[index].sent_since_report += 1;
                    start(&mut servers, index, now, &service, &mut random, &mut queue);
                }
                None if now < arrived + (RECOVERY_WINDOW * 1e6) as u64 => {
                    queue.push(Reverse((now + 5_000, Event::Retry { arrived })));
                }
                None => refused += 1,
            },
            Event::Done { server, arrived } => {
                servers[server].running -= 1;
                let took = now - arrived;
                if took <= (PATIENCE_SECONDS * 1e6) as u64 {
                    good += 1;
                } else {
                    late += 1;
                }
                latency.saturating_record(took);
                start(&mut servers, server, now, &service, &mut random, &mut queue);
            }
            Event::Report => {
                for server in &mut servers {
                    server.reported_waiting = server.waiting.len();
                    server.sent_since_report = 0;
                }
                if now < end {
                    queue.push(Reverse((now + (REPORT_LAG * 1e6) as u64, Event::Report)));
                }
            }
        }
    }
    vec![
        ("goodput a second", good as f64 / DURATION_SECONDS),
        ("served p99 s", latency.value_at_quantile(0.99) as f64 / 1e6),
        ("too late share", late as f64 / arrived_count as f64),
        ("refused share", refused as f64 / arrived_count as f64),
    ]
}

fn choose(servers: &[Server], admission: Admission, random: &mut SmallRng) -> Option<usize> {
    let under_way = |server: &Server| server.running + server.waiting.len();
    let admits = |server: &Server| match admission {
        Admission::Unlimited => true,
        Admission::PlainLimit => under_way(server) < PLAIN_LIMIT,
        Admission::NoIntakeWhileWaiting => server.reported_waiting == 0,
    };
    let open: Vec<usize> = (0..SERVERS).filter(|index| admits(&servers[*index])).collect();
    if open.is_empty() {
        return None;
    }
    let first = open[random.random_range(0..open.len())];
    let second = open[random.random_range(0..open.len())];
    let lighter = under_way(&servers[second]) < under_way(&servers[first]);
    Some(if lighter { second } else { first })
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
        let Some(arrived) = server.waiting.pop_front() else {
            return;
        };
        server.running += 1;
        let seconds = service.sample(random);
        let done = Event::Done { server: index, arrived };
        queue.push(Reverse((now + (seconds * 1e6) as u64 + 1, done)));
    }
}
