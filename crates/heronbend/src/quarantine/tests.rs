//! What tells requests apart, and what becomes of those that end servers.

use std::time::Duration;

use assert_matches::assert_matches;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;

use super::fingerprint::Malformed;
use super::fingerprint::Traits;
use super::table::Change;
use super::*;
use crate::Moment;

const REQUEST: Traits =
    Traits { method: "POST", host: "h", target: "/a?b=c", tenant: None, body: b"body" };

#[test]
fn a_fingerprint_depends_on_all_that_repeats_and_on_where_each_part_ends() {
    let known = Fingerprint::of(&REQUEST);
    assert_eq!(known, Fingerprint::of(&REQUEST.clone()));
    let others = [
        Traits { method: "PUT", ..REQUEST },
        Traits { host: "g", ..REQUEST },
        Traits { target: "/a?b=d", ..REQUEST },
        Traits { target: "/a?b=cb", body: b"ody", ..REQUEST },
        Traits { tenant: Some(""), ..REQUEST },
        Traits { tenant: Some("t"), ..REQUEST },
        Traits { body: b"", ..REQUEST },
    ];
    assert!(others.iter().all(|other| Fingerprint::of(other) != known));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text_and_nothing_else_is() {
    let known = Fingerprint::of(&REQUEST);
    assert_eq!(known.to_string().parse(), Ok(known));
    for text in ["", "12", "é23456789012345678901234567890é", "g".repeat(32).as_str()] {
        assert_eq!(text.parse::<Fingerprint>(), Err(Malformed), "{text}");
    }
}

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn request(number: u8) -> Fingerprint {
    Fingerprint::of(&Traits { body: &[number], ..REQUEST })
}

/// A request's connection to a server breaks, and the server is found gone.
fn end(table: &mut Table, now: Moment, request: Fingerprint, server: &str) -> Vec<Change> {
    table.doubt(now, request, server);
    table.confirm(now, server).into_iter().map(|(_, change)| change).collect()
}

/// A table that knows of three endings of a request at the start.
fn quarantined() -> Table {
    let mut table = Table::default();
    for server in ["a", "b", "c"] {
        end(&mut table, Moment::ZERO, request(1), server);
    }
    table
}

#[test]
fn a_broken_connection_alone_is_held_against_nobody_for_long() {
    let mut table = Table::default();
    table.doubt(Moment::ZERO, request(1), "a");
    assert_eq!(table.admission(Moment::ZERO, request(1)), Admission::Alone);
    assert_eq!(table.admission(2 * SECOND, request(1)), Admission::Free);
    // Its entry lapses long after.
    assert_eq!(table.confirm(60 * SECOND, "a"), []);
    assert_eq!(table.expire(60 * SECOND), []);
    assert!(table.is_empty());
}

#[test]
fn a_third_ending_quarantines_and_those_in_doubt_count_for_a_moment() {
    let mut table = Table::default();
    assert_eq!(end(&mut table, SECOND, request(1), "a"), [Change::Suspected(1)]);
    assert_eq!(end(&mut table, SECOND, request(1), "b"), [Change::Suspected(2)]);
    assert_eq!(table.admission(SECOND, request(1)), Admission::Alone);
    table.doubt(SECOND, request(1), "c");
    assert_matches!(table.admission(SECOND, request(1)), Admission::Refused { .. });
    assert_eq!(table.admission(2 * SECOND, request(1)), Admission::Alone);
    assert_eq!(table.confirm(2 * SECOND, "c"), [(request(1), Change::Quarantined(3))]);
    assert_matches!(table.admission(3 * SECOND, request(1)), Admission::Refused { .. });
    assert_eq!(table.admission(3 * SECOND, request(2)), Admission::Free);
}

#[test]
fn one_server_that_goes_is_one_ending_however_often_it_is_told() {
    let mut table = Table::default();
    for _ in 0..3 {
        end(&mut table, SECOND, request(1), "a");
        let report = table.report(request(1));
        assert_eq!(table.join(SECOND, request(1), &report.endings), Change::None);
    }
    assert_eq!(table.admission(SECOND, request(1)), Admission::Alone);
}

#[test]
fn a_whole_answer_clears_and_what_is_told_late_does_not_count_again() {
    let mut table = quarantined();
    let told = table.report(request(1)).endings;
    assert!(table.clear(request(1)));
    assert!(!table.clear(request(1)));
    assert_eq!(table.join(SECOND, request(1), &told), Change::None);
    assert_eq!(table.admission(SECOND, request(1)), Admission::Free);
    // Another daemon, which held it quarantined, hears of it.
    let mut other = quarantined();
    let told = table.report(request(1)).endings;
    assert_eq!(other.join(SECOND, request(1), &told), Change::Cleared);
    assert_eq!(other.admission(SECOND, request(1)), Admission::Free);
}

#[test]
fn probes_are_spaced_and_there_are_no_more_than_the_limits_say() {
    let mut table = quarantined();
    let limits = Limits::default();
    // Nobody may probe before the store keeps count.
    assert_matches!(table.admission(100 * SECOND, request(1)), Admission::Refused { .. });
    let mut now = 100 * SECOND;
    for probes in 0..3 {
        let rest = limits.probe_rest(probes).unwrap();
        let record = Record { revision: 7 + probes as u64, probes };
        assert!(table.set_record(now, request(1), record));
        assert!(!table.set_record(now + rest / 2, request(1), record), "an old one tells nothing");
        let come_back = rest - MILLI;
        let early = table.admission(now + MILLI, request(1));
        assert_eq!(early, Admission::Refused { come_back });
        now += rest;
        assert_eq!(table.admission(now, request(1)), Admission::Probe);
    }
    table.set_record(now, request(1), Record { revision: 20, probes: 3 });
    let last = table.admission(now + SECOND, request(1));
    assert_eq!(last, Admission::Refused { come_back: limits.retention - SECOND });
}

#[test]
fn what_is_old_is_forgotten_and_records_are_to_be_removed_first() {
    let mut table = quarantined();
    table.set_record(Moment::ZERO, request(1), Record { revision: 1, probes: 0 });
    end(&mut table, Moment::ZERO, request(2), "d");
    let late = Limits::default().retention;
    assert_eq!(table.expire(late - SECOND), []);
    assert_eq!(table.expire(late), [request(1)]);
    assert_eq!(table.admission(late, request(2)), Admission::Free);
    table.clear(request(1));
    assert_eq!(table.expire(late), []);
    assert!(table.is_empty());
}

fn endings(servers: &[&str]) -> Vec<Ending> {
    let ending = |server: &&str| Ending { server: (*server).to_owned(), is_excused: false };
    servers.iter().map(ending).collect()
}

/// Two servers ended under a fatal request and took a caller's with them twice, a third one at another
/// daemon: the caller was refused for 5 s although the fatal request had ended all three and one more.
#[test]
fn endings_that_a_likelier_request_explains_are_held_against_nobody_else() {
    let reports =
        [(request(1), endings(&["a", "b", "c"])), (request(0), endings(&["a", "b", "c", "d"]))];
    for order in [[0, 1], [1, 0]] {
        let mut table = Table::default();
        for (request, endings) in order.map(|index| &reports[index]) {
            table.join(SECOND, *request, endings);
        }
        assert_eq!(table.admission(SECOND, request(1)), Admission::Free, "{order:?}");
        assert!(!table.is_last_run(request(1)));
        assert!(table.is_quarantined(request(0)));
    }
}

/// A caller whose calls met the fatal request at each of its servers was refused for 5 s as well: the two
/// had the same endings. Whichever is probed first, the probe tells them apart.
#[test]
fn requests_with_the_same_endings_are_soon_told_apart_by_a_probe() {
    let both = || {
        let mut table = Table::default();
        for number in 0..2 {
            table.join(Moment::ZERO, request(number), &endings(&["a", "b", "c"]));
            let record = Record { revision: 1, probes: 0 };
            table.set_record(Moment::ZERO, request(number), record);
        }
        table
    };
    let mut table = both();
    assert_matches!(table.admission(SECOND / 2, request(1)), Admission::Refused { .. });
    assert_eq!(table.admission(SECOND, request(1)), Admission::Probe);
    // The probe of the fatal one ends a server.
    table.join(SECOND, request(0), &endings(&["d"]));
    assert_eq!(table.admission(SECOND, request(1)), Admission::Free);
    assert!(table.is_quarantined(request(0)));
    // Or that of the other one is answered, and the fatal one has the rest of any.
    let mut table = both();
    table.clear(request(1));
    assert_matches!(table.admission(SECOND, request(0)), Admission::Refused { .. });
}

/// The connection of a caller that leaves is closed, so that nobody sees its server end.
#[test]
fn a_server_that_is_found_gone_after_a_caller_left_counts_and_leaving_alone_does_not() {
    let mut table = Table::default();
    for server in ["a", "b", "c"] {
        table.leave(SECOND, request(1), server);
        assert_eq!(table.admission(SECOND, request(1)), Admission::Free);
    }
    assert_eq!(table.confirm(2 * SECOND, "a"), [(request(1), Change::Suspected(1))]);
    assert_eq!(table.confirm(2 * SECOND, "b"), [(request(1), Change::Suspected(2))]);
    // The third one lapses long after.
    assert_eq!(table.confirm(60 * SECOND, "c"), []);
    assert_eq!(table.admission(60 * SECOND, request(1)), Admission::Alone);
}

#[test]
fn whatever_the_order_of_news_requests_stand_alike() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut reports: Vec<Report> = (0..24)
            .map(|_| Report {
                request: request(random.random_range(0..4)),
                endings: vec![Ending {
                    server: format!("s{}", random.random_range(0..7)),
                    is_excused: random.random_bool(0.1),
                }],
            })
            .collect();
        let standing = |reports: &[Report]| {
            let mut table = Table::default();
            for report in reports {
                table.join(SECOND, report.request, &report.endings);
            }
            let stand = |number| {
                let request = request(number);
                (table.admission(SECOND, request), table.is_last_run(request))
            };
            (0..4).map(stand).collect::<Vec<_>>()
        };
        let before = standing(&reports);
        reports.shuffle(&mut random);
        assert_eq!(standing(&reports), before, "seed {seed}");
    }
}

/// As long as none of the requests has ended as many servers as quarantine it, nobody is likelier.
#[test]
fn a_request_that_is_not_quarantined_explains_nothing() {
    let mut table = Table::default();
    table.join(SECOND, request(0), &endings(&["a", "b"]));
    table.join(SECOND, request(1), &endings(&["a"]));
    assert_eq!(table.admission(SECOND, request(1)), Admission::Alone);
}

/// Two requests that end their servers and came together at first: the second one ends no more than as
/// many again before it is quarantined as well.
#[test]
fn a_culprit_behind_another_one_is_quarantined_by_what_it_ends_alone() {
    let mut table = Table::default();
    table.join(SECOND, request(0), &endings(&["a", "b", "c", "d"]));
    table.join(SECOND, request(1), &endings(&["a", "b", "c"]));
    let mut ended = 3;
    while table.admission(SECOND, request(1)) != (Admission::Refused { come_back: 5 * SECOND }) {
        ended += 1;
        end(&mut table, SECOND, request(1), &format!("own-{ended}"));
    }
    assert!(ended <= Limits::default().most_endings(), "{ended} servers ended");
}

#[test]
fn a_request_with_many_endings_is_quarantined_whoever_explains_them() {
    let mut table = Table::default();
    table.join(SECOND, request(0), &endings(&["a", "b", "c", "d", "e", "f", "g"]));
    table.join(SECOND, request(1), &endings(&["a", "b", "c", "d", "e"]));
    assert_eq!(table.admission(SECOND, request(1)), Admission::Free);
    table.join(SECOND, request(1), &endings(&["f"]));
    assert_matches!(table.admission(SECOND, request(1)), Admission::Refused { .. });
}

/// What explained the endings may be answered: then they count again.
#[test]
fn endings_count_again_when_what_explained_them_is_cleared() {
    let mut table = Table::default();
    table.join(SECOND, request(0), &endings(&["a", "b", "c", "d"]));
    table.join(SECOND, request(1), &endings(&["a", "b", "c"]));
    table.clear(request(0));
    assert!(table.is_quarantined(request(1)));
}

/// The record of a request whose endings are explained goes without excusing what it may have ended.
#[test]
fn a_record_that_goes_in_vain_excuses_nothing() {
    let mut table = quarantined();
    table.set_record(SECOND, request(1), Record { revision: 1, probes: 0 });
    assert_eq!(table.recorded_in_vain().count(), 0);
    table.join(SECOND, request(0), &endings(&["a", "b", "c", "d"]));
    assert_eq!(table.recorded_in_vain().collect::<Vec<_>>(), [request(1)]);
    assert!(!table.release(request(1)));
    assert_eq!(table.record(request(1)), None);
    assert_eq!(table.report(request(1)).endings, endings(&["a", "b", "c"]));
    // An operator, or a probe, releases for good.
    table.set_record(SECOND, request(0), Record { revision: 2, probes: 0 });
    assert!(table.release(request(0)));
}

#[test]
fn a_table_is_bounded_and_keeps_the_requests_with_most_endings() {
    let mut table = quarantined();
    for number in 0..5000_u32 {
        let body = number.to_le_bytes();
        let request = Fingerprint::of(&Traits { body: &body, ..REQUEST });
        end(&mut table, SECOND, request, "z");
    }
    assert!(table.reports().len() <= 4096);
    assert_eq!(table.quarantined().collect::<Vec<_>>(), [request(1)]);
}

/// Servers that crash for reasons of their own, at most twice in a row under a request, and a request that ends each that begins it; daemons
/// that tell each other late, twice or in another order. The callers of other requests rest for longer
/// than news takes before they come again. Returns how many servers the one request ended,
/// and the most endings that any other one had when it was refused.
fn history(seed: u64, daemons: usize) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tables = vec![Table::default(); daemons];
    let mut told: Vec<(Moment, usize, Report)> = Vec::new();
    let (mut ended, mut innocent_refused) = (0, 0);
    let mut in_a_row = [0; 6];
    let mut came = [Moment::ZERO; 6];
    let mut now = SECOND;
    for step in 0..400 {
        now += random.random_range(1..80) * MILLI;
        told.retain(|(due, to, report)| {
            let is_due = *due <= now;
            if is_due {
                tables[*to].join(now, report.request, &report.endings);
            }
            // Some arrive twice.
            !is_due || random.random_bool(0.1)
        });
        let one = random.random_range(0..daemons);
        let number = random.random_range(0..6);
        let admission = tables[one].admission(now, request(number));
        let is_fatal = number == 0;
        let in_a_row = &mut in_a_row[usize::from(number)];
        let came = &mut came[usize::from(number)];
        if !is_fatal && now < *came + 50 * MILLI {
            continue;
        }
        *came = now;
        match admission {
            Admission::Refused { .. } if !is_fatal => innocent_refused += 1,
            Admission::Free | Admission::Alone => {
                let crashes = is_fatal || (*in_a_row < 2 && random.random_bool(0.1));
                *in_a_row = if crashes { *in_a_row + 1 } else { 0 };
                if crashes {
                    let server = format!("s{step}");
                    ended += usize::from(is_fatal);
                    end(&mut tables[one], now, request(number), &server);
                } else {
                    tables[one].clear(request(number));
                }
                let report = tables[one].report(request(number));
                for to in (0..daemons).filter(|to| *to != one) {
                    let delay = random.random_range(1..40) * MILLI;
                    told.push((now + delay, to, report.clone()));
                }
            }
            _ => {}
        }
    }
    (ended, innocent_refused)
}

#[test]
fn however_news_travels_few_servers_end_and_no_other_request_is_refused() {
    for seed in 0..300 {
        let (ended, innocent_refused) = history(seed, 9);
        // Those that begin before the third ending is told add to the three.
        assert!((3..=5).contains(&ended), "seed {seed}: {ended} servers ended");
        assert_eq!(innocent_refused, 0, "seed {seed}");
    }
}

#[test]
fn joined_in_any_order_reports_come_to_the_same() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut reports: Vec<Report> = (0..12)
            .map(|_| Report {
                request: request(random.random_range(0..3)),
                endings: vec![Ending {
                    server: format!("s{}", random.random_range(0..4)),
                    is_excused: random.random_bool(0.3),
                }],
            })
            .collect();
        let joined = |reports: &[Report]| {
            let mut table = Table::default();
            for report in reports {
                table.join(SECOND, report.request, &report.endings);
            }
            let known = (0..3).map(|number| table.report(request(number)).endings);
            known.collect::<Vec<_>>()
        };
        let before = joined(&reports);
        reports.shuffle(&mut random);
        assert_eq!(joined(&reports), before, "seed {seed}");
    }
}
