//! Admission control below, at and above capacity, on virtual time.
//!
//! Only responses within the client's deadline count as goodput. The arms are: no limit; a limit on
//! requests in flight per server; and the rule of Phala Inference Guard, under which a server that
//! reports a waiting request gets no new requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use super::report::{latency_histogram, Arm, Report};

const SERVERS: usize = 8;
const SLOTS_PER_SERVER: usize = 16;
/// Mean service time.
const SERVICE_SECONDS: f64 = 2.0;
/// Latency up to which a response counts as goodput.
const DEADLINE_SECONDS: f64 = 10.0;
const DURATION_SECONDS: f64 = 300.0;
/// Time for which a request that finds no server is retried.
const RETRY_WINDOW_SECONDS: f64 = 0.05;
const REPORT_INTERVAL_SECONDS: f64 = 0.2;
/// Offered load as multiples of the capacity.
const LOAD_FACTORS: [f64; 4] = [0.8, 1.0, 2.0, 5.0];
/// Maximum requests in flight per server under the plain limit: its slots and a short queue.
const MAX_IN_FLIGHT: usize = SLOTS_PER_SERVER + 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdmissionPolicy {
    Unlimited,
    PlainLimit,
    RejectWhileWaiting,
}

const ADMISSION_POLICIES: [(AdmissionPolicy, &str); 3] = [
    (AdmissionPolicy::Unlimited, "no limit"),
    (AdmissionPolicy::PlainLimit, "plain limit"),
    (AdmissionPolicy::RejectWhileWaiting, "no intake while waiting"),
];

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let mut arms = Vec::new();
    for load_factor in LOAD_FACTORS {
        for (admission, name) in ADMISSION_POLICIES {
            let runs: Vec<_> =
                seeds.iter().map(|seed| simulate(admission, load_factor, *seed)).collect();
            arms.push(Arm::new(&format!("{name}, load {load_factor}"), &runs));
        }
    }
    let mut report = Report {
        experiment: "overload",
        workload: format!(
            "{SERVERS} servers of {SLOTS_PER_SERVER} slots, {SERVICE_SECONDS} s per request, deadline \
             {DEADLINE_SECONDS} s"
        ),
        baseline: "no limit, load 1".to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    let goodput = |name: &str| report.arm(name).mean("goodput a second");
    let peak = goodput("plain limit, load 1").max(goodput("plain limit, load 2"));
    let meets_target = LOAD_FACTORS[2..]
        .iter()
        .all(|load| goodput(&format!("plain limit, load {load}")) >= 0.9 * peak);
    report.add_target("plain limit: goodput at 2x and 5x at least 90% of the peak", meets_target);
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

fn simulate(admission: AdmissionPolicy, load_factor: f64, seed: u64) -> Vec<(&'static str, f64)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let capacity = (SERVERS * SLOTS_PER_SERVER) as f64 / SERVICE_SECONDS;
    let arrivals = Exp::new(load_factor * capacity).expect("positive");
    let service = Exp::new(1.0 / SERVICE_SECONDS).expect("positive");
    let end = (DURATION_SECONDS * 1e6) as u64;
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut queue =
        BinaryHeap::from([Reverse((0_u64, Event::Arrival)), Reverse((0, Event::Report))]);
    let mut latency = latency_histogram();
    let (mut on_time, mut late, mut rejected, mut arrived_count) = (0_u64, 0_u64, 0_u64, 0_u64);
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
                None if now < arrived + (RETRY_WINDOW_SECONDS * 1e6) as u64 => {
                    queue.push(Reverse((now + 5_000, Event::Retry { arrived })));
                }
                None => rejected += 1,
            },
            Event::Done { server, arrived } => {
                servers[server].running -= 1;
                let latency_micros = now - arrived;
                if latency_micros <= (DEADLINE_SECONDS * 1e6) as u64 {
                    on_time += 1;
                } else {
                    late += 1;
                }
                latency.saturating_record(latency_micros);
                start(&mut servers, server, now, &service, &mut random, &mut queue);
            }
            Event::Report => {
                for server in &mut servers {
                    server.reported_waiting = server.waiting.len();
                    server.sent_since_report = 0;
                }
                if now < end {
                    queue.push(Reverse((
                        now + (REPORT_INTERVAL_SECONDS * 1e6) as u64,
                        Event::Report,
                    )));
                }
            }
        }
    }
    vec![
        ("goodput a second", on_time as f64 / DURATION_SECONDS),
        ("served p99 s", latency.value_at_quantile(0.99) as f64 / 1e6),
        ("too late share", late as f64 / arrived_count as f64),
        ("refused share", rejected as f64 / arrived_count as f64),
    ]
}

fn choose(servers: &[Server], admission: AdmissionPolicy, random: &mut SmallRng) -> Option<usize> {
    let in_flight = |server: &Server| server.running + server.waiting.len();
    let admits = |server: &Server| match admission {
        AdmissionPolicy::Unlimited => true,
        AdmissionPolicy::PlainLimit => in_flight(server) < MAX_IN_FLIGHT,
        AdmissionPolicy::RejectWhileWaiting => server.reported_waiting == 0,
    };
    let candidates: Vec<usize> = (0..SERVERS).filter(|index| admits(&servers[*index])).collect();
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    let second_is_less_loaded = in_flight(&servers[second]) < in_flight(&servers[first]);
    Some(if second_is_less_loaded { second } else { first })
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
        let Some(arrived) = server.waiting.pop_front() else {
            return;
        };
        server.running += 1;
        let seconds = service.sample(random);
        let done = Event::Done { server: index, arrived };
        queue.push(Reverse((now + (seconds * 1e6) as u64 + 1, done)));
    }
}
