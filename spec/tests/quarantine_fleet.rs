//! Simulation of fleets of different sizes: the number of servers that repeated requests crash,
//! with and without crash reports between daemons.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::table::Change;
use heronbend::quarantine::Admission;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Table;
use heronbend::Moment;
use rapidhash::v3::rapidhash_v3;

const MILLI: Duration = Duration::from_millis(1);
/// Time from a crash until the daemon detects and reports it.
const DETECTION_DELAY: Duration = Duration::from_millis(20);
/// Attempts per call.
const ATTEMPTS_PER_CALL: usize = 2;
/// Interval at which each request is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of the simulation.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// Whether daemons exchange crash reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reporting {
    /// Each daemon only knows the crashes that it detected.
    Disabled,
    /// All daemons receive the reports of the others.
    Enabled,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    /// Largest number of servers that one request crashed.
    max_crashes: usize,
    /// Messages in total.
    messages: usize,
    /// Longest time from the third crash of a request until a daemon quarantines it.
    quarantine_delay: Duration,
}

/// Deterministic pseudo-random numbers.
struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.count += 1;
        let bytes = [self.seed.to_le_bytes(), self.count.to_le_bytes()].concat();
        usize::try_from(rapidhash_v3(&bytes) >> 1).expect("63 bits fit") % bound
    }

    fn millis(&mut self, bound: usize) -> Duration {
        MILLI * u32::try_from(self.below(bound)).expect("a short time")
    }
}

fn request(number: usize) -> Fingerprint {
    let body = number.to_le_bytes();
    Fingerprint::of(&FingerprintInput {
        method: "POST",
        host: "h",
        target: "/",
        tenant: None,
        body: &body,
    })
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a random daemon.
    Arrives { number: usize },
    /// A daemon detects the crash of a server; its call has `attempts_left` attempts left.
    CrashDetected { daemon: usize, number: usize, server: usize, attempts_left: usize },
    /// A crash report arrives at a daemon.
    ReportReceived { daemon: usize, number: usize, server: usize },
}

/// Sends repeated requests to random daemons. Each admitted attempt crashes a server and is retried
/// while its call has attempts left.
fn simulate(seed: u64, daemons: usize, requests: usize, reporting: Reporting) -> Outcome {
    let mut random = Random { seed, count: 0 };
    let mut tables = vec![Table::default(); daemons];
    let mut queue = BinaryHeap::new();
    for number in 0..requests {
        let first = random.millis(500);
        queue.push(Reverse((first, Event::Arrives { number })));
    }
    let mut outcome = Outcome::default();
    let mut crashes = vec![0; requests];
    let mut third_crash_at = vec![Moment::MAX; requests];
    let mut servers = 0;
    while let Some(Reverse((now, event))) = queue.pop() {
        match event {
            Event::Arrives { number } => {
                if now + REPEAT_INTERVAL < SIMULATED_TIME {
                    queue.push(Reverse((now + REPEAT_INTERVAL, Event::Arrives { number })));
                }
                let daemon = random.below(daemons);
                if is_admitted(&tables[daemon], now, number) {
                    servers += 1;
                    let attempts_left = ATTEMPTS_PER_CALL - 1;
                    let detected =
                        Event::CrashDetected { daemon, number, server: servers, attempts_left };
                    queue.push(Reverse((now + DETECTION_DELAY, detected)));
                }
            }
            Event::CrashDetected { daemon, number, server, attempts_left } => {
                crashes[number] += 1;
                if crashes[number] == 3 {
                    third_crash_at[number] = now;
                }
                let name = format!("s{server}");
                tables[daemon].note_broken_connection(now, request(number), &name);
                tables[daemon].note_server_gone(now, &name);
                if reporting == Reporting::Enabled {
                    for other in (0..daemons).filter(|other| *other != daemon) {
                        let delay = random.millis(60);
                        let report = Event::ReportReceived { daemon: other, number, server };
                        queue.push(Reverse((now + delay, report)));
                        outcome.messages += 1;
                    }
                }
                if attempts_left > 0 && is_admitted(&tables[daemon], now, number) {
                    servers += 1;
                    let detected = Event::CrashDetected {
                        daemon,
                        number,
                        server: servers,
                        attempts_left: attempts_left - 1,
                    };
                    queue.push(Reverse((now + DETECTION_DELAY, detected)));
                }
            }
            Event::ReportReceived { daemon, number, server } => {
                let crash = heronbend::quarantine::Crash {
                    server: format!("s{server}"),
                    is_excused: false,
                };
                let change = tables[daemon].merge(now, request(number), &[crash]);
                if matches!(change, Change::Quarantined(_)) {
                    let after = now.saturating_sub(third_crash_at[number]);
                    outcome.quarantine_delay = outcome.quarantine_delay.max(after);
                }
            }
        }
    }
    outcome.max_crashes = crashes.into_iter().max().unwrap_or(0);
    outcome
}

fn is_admitted(table: &Table, now: Moment, number: usize) -> bool {
    matches!(table.admission(now, request(number)), Admission::Allowed | Admission::Isolated)
}

#[test]
fn crash_reports_bound_the_crashes_at_any_fleet_size() {
    println!("daemons requests reporting max_crashes messages quarantine_delay_ms");
    for daemons in [9, 65, 300] {
        for requests in [1, 3, 10] {
            for reporting in [Reporting::Disabled, Reporting::Enabled] {
                let outcomes = (0..20).map(|seed| simulate(seed, daemons, requests, reporting));
                let worst = outcomes.max_by_key(|outcome| outcome.max_crashes).unwrap();
                println!(
                    "{daemons} {requests} {reporting:?} {} {} {}",
                    worst.max_crashes,
                    worst.messages,
                    worst.quarantine_delay.as_millis()
                );
                if reporting == Reporting::Enabled {
                    assert!(worst.max_crashes <= 4, "{worst:?}");
                    assert!(worst.quarantine_delay < Duration::from_secs(1), "{worst:?}");
                }
            }
        }
    }
}
