//! Bounded exploration of the gateway's protocols; without any one guard, a counterexample must
//! exist.

use heronbend_spec::capacity_shares;
use heronbend_spec::capacity_shares::CapacityShares;
use heronbend_spec::check::Report;
use heronbend_spec::checkpoints;
use heronbend_spec::checkpoints::Checkpoints;
use heronbend_spec::command_lease::{self, Bounds, CommandLease};
use heronbend_spec::explore::{explore, System};
use heronbend_spec::job_ownership;
use heronbend_spec::job_ownership::JobOwnership;
use heronbend_spec::owed_item;
use heronbend_spec::owed_item::OwedItem;
use heronbend_spec::quarantine;
use heronbend_spec::quarantine::Quarantine;
use heronbend_spec::result_log::{self, SharedLog};
use heronbend_spec::shared_rate_limit;
use heronbend_spec::shared_rate_limit::SharedRateLimit;
use heronbend_spec::update_dissemination;
use heronbend_spec::update_dissemination::UpdateDissemination;
use heronbend_spec::usage_reports;
use heronbend_spec::usage_reports::UsageReports;

const MAX_STATES: usize = 4_000_000;

/// Includes a takeover and its pause.
const WITH_TAKEOVER: Bounds = Bounds { ticks: 5, writes: 3, restarts: 0 };
/// Includes a restart while the lease is valid.
const WITH_RESTART: Bounds = Bounds { ticks: 2, writes: 3, restarts: 1 };
/// Two daemons that both run the job.
const CONCURRENT_WRITERS: SharedLog = SharedLog {
    items: 2,
    writes: 4,
    restarts: 1,
    takeovers: 0,
    has_ownership: false,
    mutation: result_log::Mutation::None,
};
/// One takeover, possibly by a restarted daemon.
const ONE_TAKEOVER: SharedLog =
    SharedLog { writes: 3, restarts: 1, takeovers: 1, has_ownership: true, ..CONCURRENT_WRITERS };
/// Repeated takeovers.
const REPEATED_TAKEOVERS: SharedLog =
    SharedLog { writes: 2, restarts: 0, takeovers: 3, has_ownership: true, ..CONCURRENT_WRITERS };
/// Two daemons that adopt a job from each other, by writes without responses.
const TWO_OWNERS: JobOwnership = JobOwnership {
    daemons: 2,
    adoptions: 3,
    crashes: 1,
    lost_responses: 2,
    results: 2,
    mutation: job_ownership::Mutation::None,
};
/// Three daemons, two of which crash.
const THREE_OWNERS: JobOwnership = JobOwnership {
    daemons: 3,
    adoptions: 2,
    crashes: 2,
    lost_responses: 2,
    results: 1,
    ..TWO_OWNERS
};
/// Two daemons that may run the job concurrently.
const CHECKPOINTS: Checkpoints = Checkpoints {
    daemons: 2,
    events: 3,
    runs: 3,
    writes: 3,
    takeovers: 1,
    mutation: checkpoints::Mutation::None,
};
/// Three changes of objects, a compaction and a snapshot.
const UPDATES: UpdateDissemination = UpdateDissemination {
    changes: 3,
    compactions: 1,
    snapshots: 1,
    mutation: update_dissemination::Mutation::None,
};

/// Two daemons that both report.
const USAGE: UsageReports = UsageReports {
    windows: 2,
    writes: 3,
    reports: 2,
    restarts: 0,
    mutation: usage_reports::Mutation::None,
};

/// Five daemons, two of which are killed within a window.
const TWO_KILLED: SharedRateLimit = SharedRateLimit {
    daemons: 5,
    ticks: 1,
    kills: 2,
    isolations: 0,
    requests: 3,
    mutation: shared_rate_limit::Mutation::None,
};
/// Three daemons, one of which is killed, over a long time.
const ONE_KILLED: SharedRateLimit =
    SharedRateLimit { daemons: 3, ticks: 6, kills: 1, ..TWO_KILLED };
/// Daemons that are isolated from each other.
const ISOLATED: SharedRateLimit =
    SharedRateLimit { daemons: 3, ticks: 5, kills: 0, isolations: 3, ..TWO_KILLED };
/// Permits that are used late.
const LATE_USE: SharedRateLimit =
    SharedRateLimit { daemons: 2, ticks: 9, kills: 0, isolations: 0, ..TWO_KILLED };

/// Two daemons and enough sends to exceed the threshold and the maximum number of probes.
const QUARANTINE: Quarantine = Quarantine {
    daemons: 2,
    sends: 8,
    restarts: 0,
    lost_responses: 1,
    returns: 0,
    mutation: quarantine::Mutation::None,
};
/// One of the daemons restarts.
const RESTARTED_QUARANTINE: Quarantine =
    Quarantine { sends: 5, restarts: 1, lost_responses: 0, ..QUARANTINE };
/// A probe ran nowhere and is returned.
const RETURNED_PROBE: Quarantine =
    Quarantine { sends: 7, lost_responses: 0, returns: 1, ..QUARANTINE };
/// Three daemons.
const QUARANTINE_OF_THREE: Quarantine =
    Quarantine { daemons: 3, sends: 4, lost_responses: 0, ..QUARANTINE };
/// More crashes than the quarantine threshold and all probes of a call.
const OWED_ITEM: OwedItem =
    OwedItem { crashes: 12, rejections: 4, takeovers: 2, mutation: owed_item::Mutation::None };

/// Two daemons whose demand changes.
const CHANGED_DEMAND: CapacityShares = CapacityShares {
    daemons: 2,
    changes: 2,
    restarts: 0,
    unreliable: 2,
    delays: true,
    late: 0,
    joins: false,
    checks_liveness: false,
    mutation: capacity_shares::Mutation::None,
};
/// A report that arrives late.
const LATE_REPORT: CapacityShares =
    CapacityShares { changes: 1, late: 1, delays: false, ..CHANGED_DEMAND };
/// A daemon that restarts.
const RESTARTED_DAEMON: CapacityShares =
    CapacityShares { changes: 1, restarts: 1, ..CHANGED_DEMAND };
/// A daemon that joins.
const JOINED_DAEMON: CapacityShares = CapacityShares { changes: 1, joins: true, ..CHANGED_DEMAND };

/// From every state of changes and a restart, the whole capacity comes into use.
const USES_CAPACITY: CapacityShares =
    CapacityShares { restarts: 1, delays: false, checks_liveness: true, ..CHANGED_DEMAND };
/// Three daemons; the reports of two of them may reach none or one of the others.
const THREE_DAEMONS: CapacityShares =
    CapacityShares { daemons: 3, changes: 1, unreliable: 2, delays: false, ..CHANGED_DEMAND };

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

fn assert_invariants_hold<S: System + std::fmt::Debug>(system: &S) {
    let report = run(system);
    assert!(report.counterexample.is_none());
    assert!(report.exhausted, "the bounds were not exhausted within {MAX_STATES} states");
}

fn assert_counterexample<S: System + std::fmt::Debug>(system: &S) {
    let report = run(system);
    assert!(report.counterexample.is_some(), "no counterexample within the bounds");
}

#[test]
fn command_lease_holders_keep_the_takeover_pause() {
    for bounds in [WITH_TAKEOVER, WITH_RESTART] {
        assert_invariants_hold(&CommandLease { bounds, mutation: command_lease::Mutation::None });
    }
}

#[test]
fn every_guard_of_the_command_lease_is_needed() {
    use command_lease::Mutation::{
        ConstantRenewalCounter, CountsFromResponse, SkipsTakeoverPause, TrustsLeaseAfterRestart,
        UnconditionalWrites,
    };
    for mutation in
        [SkipsTakeoverPause, CountsFromResponse, UnconditionalWrites, ConstantRenewalCounter]
    {
        assert_counterexample(&CommandLease { bounds: WITH_TAKEOVER, mutation });
    }
    assert_counterexample(&CommandLease {
        bounds: WITH_RESTART,
        mutation: TrustsLeaseAfterRestart,
    });
}

#[test]
fn concurrent_writers_never_store_an_item_twice_or_show_unstored_results() {
    assert_invariants_hold(&CONCURRENT_WRITERS);
}

#[test]
fn an_owner_that_serves_readers_has_all_results_ever_shown() {
    assert_invariants_hold(&ONE_TAKEOVER);
    assert_invariants_hold(&REPEATED_TAKEOVERS);
}

#[test]
fn every_guard_of_the_result_log_is_needed() {
    use result_log::Mutation::{
        AssumesWriteSucceeded, OverwritesChunks, ServesWhileUncertain, SkipsOwnerCheck,
        SkipsReadingAfterRestart, SkipsSealing,
    };
    for mutation in [OverwritesChunks, AssumesWriteSucceeded, SkipsReadingAfterRestart] {
        assert_counterexample(&SharedLog { mutation, ..CONCURRENT_WRITERS });
    }
    for mutation in [SkipsSealing, SkipsOwnerCheck, ServesWhileUncertain] {
        assert_counterexample(&SharedLog { mutation, ..ONE_TAKEOVER });
    }
}

/// Guards against a job that is owned by a daemon which does not run it, or which answers readers
/// from a log that lacks results.
#[test]
fn an_owned_job_runs_with_the_whole_log() {
    for system in [TWO_OWNERS, THREE_OWNERS] {
        assert_invariants_hold(&system);
    }
}

#[test]
fn every_guard_of_the_job_ownership_is_needed() {
    use job_ownership::Mutation::{ForgetsDoubt, IgnoresOwnConflict, KeepsEmptyLog};
    for mutation in [IgnoresOwnConflict, ForgetsDoubt, KeepsEmptyLog] {
        assert_counterexample(&JobOwnership { mutation, ..TWO_OWNERS });
    }
}

#[test]
fn restored_texts_are_consistent_sequences_of_runs() {
    assert_invariants_hold(&CHECKPOINTS);
    assert_invariants_hold(&Checkpoints { daemons: 1, takeovers: 2, ..CHECKPOINTS });
}

#[test]
fn every_guard_of_the_checkpoints_is_needed() {
    use checkpoints::Mutation::{ComparesLengthOnly, JoinsByEventNumber, SavedOnSend};
    for mutation in [JoinsByEventNumber, ComparesLengthOnly, SavedOnSend] {
        assert_counterexample(&Checkpoints { mutation, ..CHECKPOINTS });
    }
}

#[test]
fn a_follower_matches_the_store_and_its_revision_never_decreases() {
    assert_invariants_hold(&UPDATES);
}

#[test]
fn every_guard_of_update_dissemination_is_needed() {
    use update_dissemination::Mutation::{
        AcceptsOlderSnapshot, AppliesLateResponses, OmitsRemovals, ResumesAfterCompaction,
        SkipsDigestCheck,
    };
    for mutation in [
        ResumesAfterCompaction,
        AppliesLateResponses,
        AcceptsOlderSnapshot,
        OmitsRemovals,
        SkipsDigestCheck,
    ] {
        assert_counterexample(&UpdateDissemination { mutation, ..UPDATES });
    }
}

#[test]
fn reports_of_a_window_never_differ() {
    assert_invariants_hold(&USAGE);
    assert_invariants_hold(&UsageReports { windows: 1, writes: 2, restarts: 1, ..USAGE });
}

#[test]
fn every_guard_of_the_usage_reports_is_needed() {
    use usage_reports::Mutation::{KeepsOwnProposal, SettledOnSend, UnconditionalWrites};
    for mutation in [KeepsOwnProposal, SettledOnSend, UnconditionalWrites] {
        assert_counterexample(&UsageReports { mutation, ..USAGE });
    }
}

#[test]
fn the_shared_rate_limit_holds_under_failures_and_late_use() {
    for system in [TWO_KILLED, ONE_KILLED, ISOLATED, LATE_USE] {
        assert_invariants_hold(&system);
    }
}

#[test]
fn every_guard_of_the_shared_rate_limit_is_needed() {
    use shared_rate_limit::Mutation::{CountsFromResponse, MinorityIssues, SkipsTakeoverWait};
    assert_counterexample(&SharedRateLimit { mutation: SkipsTakeoverWait, ..TWO_KILLED });
    assert_counterexample(&SharedRateLimit { mutation: MinorityIssues, ..ISOLATED });
    assert_counterexample(&SharedRateLimit { mutation: CountsFromResponse, ..LATE_USE });
}

#[test]
fn quarantine_bounds_the_crashes_of_a_request() {
    for system in [QUARANTINE, RESTARTED_QUARANTINE, RETURNED_PROBE, QUARANTINE_OF_THREE] {
        assert_invariants_hold(&system);
    }
}

#[test]
fn every_guard_of_the_quarantine_is_needed() {
    use quarantine::Mutation::{
        ForgetsCrashes, GrantsUnconditionally, ProbesWithoutGrant, ReturnsAfterRun,
    };
    for mutation in [ForgetsCrashes, GrantsUnconditionally, ProbesWithoutGrant] {
        assert_counterexample(&Quarantine { mutation, ..QUARANTINE });
    }
    assert_counterexample(&Quarantine { mutation: ReturnsAfterRun, ..RETURNED_PROBE });
}

/// Guards against an accepted item that no server runs because servers crashed under it.
#[test]
fn an_owed_item_is_placed_in_the_end() {
    assert_invariants_hold(&OWED_ITEM);
}

#[test]
fn every_guard_of_an_owed_item_is_needed() {
    use owed_item::Mutation::{DelaysRejections, GrowsForever, Quarantines};
    for mutation in [Quarantines, GrowsForever, DelaysRejections] {
        assert_counterexample(&OwedItem { mutation, ..OWED_ITEM });
    }
}

#[test]
fn shares_of_a_capacity_never_exceed_it_while_demand_changes() {
    for system in [CHANGED_DEMAND, LATE_REPORT, THREE_DAEMONS] {
        assert_invariants_hold(&system);
    }
}

#[test]
fn shares_of_a_capacity_never_exceed_it_while_daemons_start() {
    for system in [RESTARTED_DAEMON, JOINED_DAEMON] {
        assert_invariants_hold(&system);
    }
}

#[test]
fn a_shared_capacity_comes_into_use() {
    assert_invariants_hold(&USES_CAPACITY);
}

#[test]
fn every_guard_of_the_shares_of_a_capacity_is_needed() {
    use capacity_shares::Mutation::{
        CountsFromArrival, DecreasesAtOnce, IncreasesAtOnce, LendsOfSilentDaemons, SkipsStartWait,
    };
    for mutation in [IncreasesAtOnce, DecreasesAtOnce, LendsOfSilentDaemons] {
        assert_counterexample(&CapacityShares { mutation, ..CHANGED_DEMAND });
    }
    assert_counterexample(&CapacityShares { mutation: CountsFromArrival, ..LATE_REPORT });
    assert_counterexample(&CapacityShares { mutation: SkipsStartWait, ..JOINED_DAEMON });
    assert_counterexample(&CapacityShares { mutation: SkipsStartWait, ..RESTARTED_DAEMON });
}
