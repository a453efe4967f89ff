//! How many servers a few requests end that come again at any daemon, by how much daemons tell each other,
//! with fleets of the sizes to design for.

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
/// Time from a server's end until the daemon that lost it knows, and tells the others.
const FOUND: Duration = Duration::from_millis(20);
/// Tries of one call at servers.
const ATTEMPTS: usize = 2;
/// Each request comes again so often, for so long.
const AGAIN: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(60);

/// Who knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each daemon what it found itself.
    Alone,
    /// All daemons what one of them found.
    Told,
}

/// What a run came to.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    /// Servers that the worst of the requests ended.
    most_ended: usize,
    /// Messages in all.
    messages: usize,
    /// Longest time from a request's third end until all daemons refused it.
    known_after: Duration,
}

/// Draws that a seed repeats.
struct Draw {
    seed: u64,
    count: u64,
}

impl Draw {
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
    /// The request comes at some daemon.
    Comes { number: usize },
    /// A daemon finds out that a server ended under it; attempts of its call that are left.
    Found { daemon: usize, number: usize, server: usize, left: usize },
    /// News arrives at a daemon.
    Heard { daemon: usize, number: usize, server: usize },
}

/// Requests come at daemons in turn by chance; each that is let through ends a server, and is tried once
/// more as long as its call may be.
fn play(seed: u64, daemons: usize, requests: usize, way: Way) -> Outcome {
    let mut draw = Draw { seed, count: 0 };
    let mut tables = vec![Table::default(); daemons];
    let mut queue = BinaryHeap::new();
    for number in 0..requests {
        let first = draw.millis(500);
        queue.push(Reverse((first, Event::Comes { number })));
    }
    let mut outcome = Outcome::default();
    let mut ended = vec![0; requests];
    let mut third = vec![Moment::MAX; requests];
    let mut servers = 0;
    while let Some(Reverse((now, event))) = queue.pop() {
        match event {
            Event::Comes { number } => {
                if now + AGAIN < LENGTH {
                    queue.push(Reverse((now + AGAIN, Event::Comes { number })));
                }
                let daemon = draw.below(daemons);
                if is_let_through(&tables[daemon], now, number) {
                    servers += 1;
                    let left = ATTEMPTS - 1;
                    let found = Event::Found { daemon, number, server: servers, left };
                    queue.push(Reverse((now + FOUND, found)));
                }
            }
            Event::Found { daemon, number, server, left } => {
                ended[number] += 1;
                if ended[number] == 3 {
                    third[number] = now;
                }
                let name = format!("s{server}");
                tables[daemon].note_broken_connection(now, request(number), &name);
                tables[daemon].note_server_gone(now, &name);
                if way == Way::Told {
                    for other in (0..daemons).filter(|other| *other != daemon) {
                        let delay = draw.millis(60);
                        let heard = Event::Heard { daemon: other, number, server };
                        queue.push(Reverse((now + delay, heard)));
                        outcome.messages += 1;
                    }
                }
                if left > 0 && is_let_through(&tables[daemon], now, number) {
                    servers += 1;
                    let found = Event::Found { daemon, number, server: servers, left: left - 1 };
                    queue.push(Reverse((now + FOUND, found)));
                }
            }
            Event::Heard { daemon, number, server } => {
                let ending = heronbend::quarantine::Crash {
                    server: format!("s{server}"),
                    is_excused: false,
                };
                let change = tables[daemon].merge(now, request(number), &[ending]);
                if matches!(change, Change::Quarantined(_)) {
                    let after = now.saturating_sub(third[number]);
                    outcome.known_after = outcome.known_after.max(after);
                }
            }
        }
    }
    outcome.most_ended = ended.into_iter().max().unwrap_or(0);
    outcome
}

fn is_let_through(table: &Table, now: Moment, number: usize) -> bool {
    matches!(table.admission(now, request(number)), Admission::Allowed | Admission::Isolated)
}

#[test]
fn told_to_all_few_servers_end_whatever_the_size_of_the_fleet() {
    println!("daemons requests way most_ended messages known_after_ms");
    for daemons in [9, 65, 300] {
        for requests in [1, 3, 10] {
            for way in [Way::Alone, Way::Told] {
                let outcomes = (0..20).map(|seed| play(seed, daemons, requests, way));
                let worst = outcomes.max_by_key(|outcome| outcome.most_ended).unwrap();
                println!(
                    "{daemons} {requests} {way:?} {} {} {}",
                    worst.most_ended,
                    worst.messages,
                    worst.known_after.as_millis()
                );
                if way == Way::Told {
                    assert!(worst.most_ended <= 4, "{worst:?}");
                    assert!(worst.known_after < Duration::from_secs(1), "{worst:?}");
                }
            }
        }
    }
}
