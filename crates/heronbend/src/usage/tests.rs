use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::Counts;
use super::Ledger;
use super::SettledWindows;
use super::Settlement;
use super::Window;
use super::WindowClock;
use crate::identity::Incarnation;
use crate::identity::NodeId;
use crate::identity::NodeName;

const LENGTH: Duration = Duration::from_secs(5);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn node(name: &str, incarnation: u64) -> NodeId {
    NodeId { name: NodeName(name.to_owned()), incarnation: Incarnation(incarnation) }
}

fn counts(tenant: &str, count: u64) -> Counts {
    Counts::from_iter([(tenant.to_owned(), count)])
}

#[test]
fn windows_follow_clock_drift_but_not_jumps() {
    let mut clock = WindowClock::new(LENGTH, seconds(1.0), seconds(1001.0));
    assert_eq!(clock.window(seconds(4.99)), Window(200));
    assert_eq!(clock.window(seconds(5.0)), Window(201));
    assert_eq!(clock.end(Window(200)), seconds(5.0));
    // Small drift is followed.
    assert_eq!(clock.read(seconds(2.0), seconds(1002.05)), seconds(1002.05));
    // A jump is ignored, and so is the jump back.
    assert_eq!(clock.read(seconds(3.0), seconds(1005.05)), seconds(1003.05));
    assert_eq!(clock.read(seconds(13.0), seconds(1015.05)), seconds(1013.05));
    assert_eq!(clock.read(seconds(14.0), seconds(1014.05)), seconds(1014.05));
}

#[test]
fn persistent_clock_offset_is_adopted() {
    let mut clock = WindowClock::new(LENGTH, seconds(0.0), seconds(1000.0));
    for second in 1..=61 {
        clock.read(seconds(f64::from(second)), seconds(1003.0 + f64::from(second)));
    }
    assert_eq!(clock.window(seconds(62.0)), Window(213));
}

#[test]
fn starting_daemon_adopts_the_time_of_a_running_peer() {
    let mut clock = WindowClock::new(LENGTH, seconds(0.5), seconds(1003.0));
    assert!(!clock.adopt_peer_time(seconds(1.0), seconds(1003.55)));
    assert!(clock.adopt_peer_time(seconds(1.0), seconds(1001.0)));
    assert_eq!(clock.read(seconds(2.0), seconds(1004.5)), seconds(1002.0));
}

#[test]
fn duplicate_late_and_reordered_counts_are_merged_once() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..50 {
        let mut ledgers: Vec<(NodeId, Ledger)> = ["a", "b", "c"]
            .map(|name| (node(name, rng.random_range(1..3)), Ledger::default()))
            .into();
        let mut messages_sent = Vec::new();
        let mut requests = [0_u64; 3];
        for _ in 0..60 {
            let window = Window(rng.random_range(0..3));
            let (me, ledger) = &mut ledgers[rng.random_range(0..3)];
            ledger.increment(me, window, "t");
            requests[window.0 as usize] += 1;
            let messages = ledger.counts_of(me).map(|(window, counts)| (window, counts.clone()));
            messages_sent.extend(messages.map(|(window, counts)| (me.clone(), window, counts)));
        }
        let mut collector = Ledger::default();
        for _ in 0..messages_sent.len() * 2 {
            let (daemon, window, counts) = &messages_sent[rng.random_range(0..messages_sent.len())];
            collector.merge(daemon, *window, counts);
        }
        for (daemon, window, counts) in messages_sent.iter().rev() {
            collector.merge(daemon, *window, counts);
        }
        for (window, count) in requests.iter().enumerate() {
            assert_eq!(collector.total(Window(window as u64)).total(), *count);
        }
    }
}

#[test]
fn each_incarnation_of_a_daemon_is_counted_separately() {
    let mut ledger = Ledger::default();
    assert!(ledger.merge(&node("a", 1), Window(1), &counts("t", 3)));
    assert!(!ledger.merge(&node("a", 1), Window(1), &counts("t", 2)));
    assert!(ledger.merge(&node("a", 2), Window(1), &counts("t", 1)));
    assert_eq!(ledger.total(Window(1)), counts("t", 4));
    ledger.forget_before(Window(2));
    assert_eq!(ledger.total(Window(1)), Counts::default());
}

#[test]
fn settled_window_has_the_same_report_from_every_daemon() {
    let mut first = Settlement::new(Window(10));
    let proposal = first.proposal(Window(11), |window| counts("t", window.0)).expect("two windows");
    assert_eq!(proposal.replaces, None);
    first.update_record(5, proposal.settled.clone());
    assert_eq!(first.proposal(Window(11), |_| counts("t", 99)), None);
    // Another daemon with different counts sends the same reports.
    let mut second = Settlement::new(Window(9));
    second.update_record(5, proposal.settled);
    assert_eq!(second.next_report().expect("one").counts, counts("t", 10));
    second.mark_reported(Window(10));
    assert_eq!(second.next_report().expect("one").counts, counts("t", 11));
    second.mark_reported(Window(11));
    assert_eq!(second.next_report(), None);
    let next = second.proposal(Window(12), |_| counts("t", 7)).expect("one window");
    assert_eq!((next.replaces, next.settled.last_window()), (Some(5), Some(Window(12))));
}

#[test]
fn unsettled_windows_are_caught_up_in_order() {
    let mut settlement = Settlement::new(Window(100));
    let catch_up = settlement.proposal(Window(140), |_| Counts::default()).expect("some windows");
    settlement.update_record(1, catch_up.settled);
    let mut sent = Vec::new();
    while let Some(window) = settlement.next_report().map(|report| report.window) {
        sent.push(window.0);
        settlement.mark_reported(window);
    }
    assert_eq!(sent, (101..=140).collect::<Vec<_>>());
    assert!(settlement.is_reported(Window(140)) && !settlement.is_reported(Window(141)));
}

#[test]
fn record_retains_unreported_windows_and_few_reported_ones() {
    let mut settlement = Settlement::new(Window(1));
    for revision in 1..=30 {
        let last = Window(revision);
        let proposal = settlement.proposal(last, |_| Counts::default()).expect("one window");
        settlement.update_record(revision, proposal.settled);
        if revision <= 20 {
            settlement.mark_reported(last);
        }
    }
    let mut restarted = Settlement::new(Window(1));
    let proposal = settlement.proposal(Window(31), |_| Counts::default()).expect("one window");
    restarted.update_record(31, proposal.settled);
    assert_eq!(restarted.next_report().expect("one").window, Window(18));
}

#[test]
fn record_is_read_again_after_a_write_with_unknown_outcome() {
    let mut settlement = Settlement::new(Window(1));
    settlement.update_record(3, SettledWindows::default());
    settlement.invalidate();
    assert_eq!(settlement.next_report(), None);
    let proposal = settlement.proposal(Window(1), |_| Counts::default()).expect("one window");
    assert_eq!(proposal.replaces, None);
}
