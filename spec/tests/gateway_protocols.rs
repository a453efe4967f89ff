//! The gateway's protocols at the store, checked within bounds, and every guard shown to be needed.

use heronbend_spec::check::Report;
use heronbend_spec::checkpoints;
use heronbend_spec::checkpoints::SavedTexts;
use heronbend_spec::command_lease::{self, Bounds, OrderLease};
use heronbend_spec::explore::{explore, System};
use heronbend_spec::quarantine;
use heronbend_spec::quarantine::Quarantine;
use heronbend_spec::result_log::{self, SharedLog};
use heronbend_spec::shared_rate_limit;
use heronbend_spec::shared_rate_limit::SharedRate;
use heronbend_spec::update_dissemination;
use heronbend_spec::update_dissemination::FollowedNews;
use heronbend_spec::usage_reports;
use heronbend_spec::usage_reports::UsageReports;

const MAX_STATES: usize = 4_000_000;

/// Long enough for a takeover with its pause.
const LONG: Bounds = Bounds { ticks: 5, writes: 3, restarts: 0 };
/// A restart, within the time of a lease.
const RESTART: Bounds = Bounds { ticks: 2, writes: 3, restarts: 1 };
/// Two daemons that both run the job throughout.
const LOG: SharedLog = SharedLog {
    items: 2,
    writes: 4,
    restarts: 1,
    takeovers: 0,
    ownership: false,
    mutation: result_log::Mutation::None,
};
/// The job is taken over, also by a daemon that has just restarted.
const TAKEN_OVER: SharedLog =
    SharedLog { writes: 3, restarts: 1, takeovers: 1, ownership: true, ..LOG };
/// It is taken over again and again.
const TAKEN_BACK: SharedLog =
    SharedLog { writes: 2, restarts: 0, takeovers: 3, ownership: true, ..LOG };
/// Two daemons that may run a job at once.
const TEXTS: SavedTexts = SavedTexts {
    daemons: 2,
    events: 3,
    runs: 3,
    writes: 3,
    takeovers: 1,
    mutation: checkpoints::Mutation::None,
};
/// Two watchers and a follower.
const NEWS: FollowedNews = FollowedNews {
    changes: 3,
    compactions: 1,
    lists: 1,
    mutation: update_dissemination::Mutation::None,
};

/// Two daemons that both report, and a restart.
const USAGE: UsageReports = UsageReports {
    windows: 2,
    writes: 3,
    reports: 2,
    restarts: 0,
    mutation: usage_reports::Mutation::None,
};

/// Five daemons, of which two are lost within a window.
const RATE: SharedRate = SharedRate {
    daemons: 5,
    ticks: 1,
    kills: 2,
    cuts: 0,
    asks: 3,
    mutation: shared_rate_limit::Mutation::None,
};
/// One is lost, for long.
const LONG_RATE: SharedRate = SharedRate { daemons: 3, ticks: 6, kills: 1, ..RATE };
/// Daemons that are cut off from each other.
const CUT_RATE: SharedRate = SharedRate { daemons: 3, ticks: 5, kills: 0, cuts: 3, ..RATE };
/// Permits that are used late.
const LATE_RATE: SharedRate = SharedRate { daemons: 2, ticks: 9, kills: 0, cuts: 0, ..RATE };

/// Two daemons, enough sends for all endings and one more than all probes.
const QUARANTINE: Quarantine = Quarantine {
    daemons: 2,
    sends: 8,
    restarts: 0,
    lost_answers: 1,
    mutation: quarantine::Mutation::None,
};
/// One of them starts anew.
const RESTARTED_QUARANTINE: Quarantine =
    Quarantine { sends: 5, restarts: 1, lost_answers: 0, ..QUARANTINE };
/// Three daemons.
const THREE_QUARANTINE: Quarantine =
    Quarantine { daemons: 3, sends: 4, lost_answers: 0, ..QUARANTINE };

fn run<S: System + std::fmt::Debug>(system: &S) -> Report {
    let report = explore(system, MAX_STATES);
    println!(
        "system={system:?} states={} steps={} exhausted={}",
        report.states, report.steps, report.exhausted
    );
    if let Some(counterexample) = &report.counterexample {
        println!("{counterexample}");
    }
    report
}

fn holds<S: System + std::fmt::Debug>(system: &S) {
    let report = run(system);
    assert!(report.counterexample.is_none());
    assert!(report.exhausted, "the bounds were not exhausted within {MAX_STATES} states");
}

fn fails<S: System + std::fmt::Debug>(system: &S) {
    let report = run(system);
    assert!(report.counterexample.is_some(), "the guard is not needed within these bounds");
}

#[test]
fn two_holders_never_act_within_the_pause() {
    for bounds in [LONG, RESTART] {
        holds(&OrderLease { bounds, mutation: command_lease::Mutation::None });
    }
}

#[test]
fn every_guard_of_the_lease_is_needed() {
    use command_lease::Mutation::{
        CountsFromAnswer, NoPause, RestartSettles, SameRenewals, Unconditional,
    };
    for mutation in [NoPause, CountsFromAnswer, Unconditional, SameRenewals] {
        fails(&OrderLease { bounds: LONG, mutation });
    }
    fails(&OrderLease { bounds: RESTART, mutation: RestartSettles });
}

#[test]
fn two_daemons_that_append_never_list_an_item_twice_or_show_what_is_not_stored() {
    holds(&LOG);
}

#[test]
fn an_owner_that_answers_knows_all_that_was_ever_shown() {
    holds(&TAKEN_OVER);
    holds(&TAKEN_BACK);
}

#[test]
fn every_guard_of_the_log_is_needed() {
    use result_log::Mutation::{
        NoDoubt, NoInDoubt, NoSeal, Overwrites, SkipsReading, TakesUnknownForDone,
    };
    for mutation in [Overwrites, TakesUnknownForDone, SkipsReading] {
        fails(&SharedLog { mutation, ..LOG });
    }
    for mutation in [NoSeal, NoDoubt, NoInDoubt] {
        fails(&SharedLog { mutation, ..TAKEN_OVER });
    }
}

#[test]
fn a_text_that_is_restored_joins_no_runs_that_do_not_follow_each_other() {
    holds(&TEXTS);
    holds(&SavedTexts { daemons: 1, takeovers: 2, ..TEXTS });
}

#[test]
fn every_guard_of_the_checkpoints_is_needed() {
    use checkpoints::Mutation::{GoesByLength, JoinsByNumber, SavedWhenSent};
    for mutation in [JoinsByNumber, GoesByLength, SavedWhenSent] {
        fails(&SavedTexts { mutation, ..TEXTS });
    }
}

#[test]
fn what_a_follower_knows_is_what_the_store_held_and_never_goes_back() {
    holds(&NEWS);
}

#[test]
fn every_guard_of_followed_news_is_needed() {
    use update_dissemination::Mutation::{
        ForgetsRemovals, TakesLate, TakesOlderList, TakesUnchecked, WatchesOn,
    };
    for mutation in [WatchesOn, TakesLate, TakesOlderList, ForgetsRemovals, TakesUnchecked] {
        fails(&FollowedNews { mutation, ..NEWS });
    }
}

#[test]
fn no_two_reports_of_a_window_differ_whoever_sends_them() {
    holds(&USAGE);
    holds(&UsageReports { windows: 1, writes: 2, restarts: 1, ..USAGE });
}

#[test]
fn every_guard_of_the_reports_is_needed() {
    use usage_reports::Mutation::{KeepsOwn, SendsBeforeSettled, Unconditional};
    for mutation in [KeepsOwn, SendsBeforeSettled, Unconditional] {
        fails(&UsageReports { mutation, ..USAGE });
    }
}

#[test]
fn a_shared_rate_is_kept_whoever_is_lost_or_late() {
    for system in [RATE, LONG_RATE, CUT_RATE, LATE_RATE] {
        holds(&system);
    }
}

#[test]
fn every_guard_of_the_shared_rate_is_needed() {
    use shared_rate_limit::Mutation::{CountsFromAnswer, MinorityLends, TakesOverAtOnce};
    fails(&SharedRate { mutation: TakesOverAtOnce, ..RATE });
    fails(&SharedRate { mutation: MinorityLends, ..CUT_RATE });
    fails(&SharedRate { mutation: CountsFromAnswer, ..LATE_RATE });
}

#[test]
fn a_quarantined_request_ends_few_servers_whatever_news_is_lost() {
    for system in [QUARANTINE, RESTARTED_QUARANTINE, THREE_QUARANTINE] {
        holds(&system);
    }
}

#[test]
fn every_guard_of_the_quarantine_is_needed() {
    use quarantine::Mutation::{ForgetsEndings, GrantsUnconditionally, ProbesUngranted};
    for mutation in [ForgetsEndings, GrantsUnconditionally, ProbesUngranted] {
        fails(&Quarantine { mutation, ..QUARANTINE });
    }
}
