//! When pending results are committed.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend_gateway::batch::batching_window;
use heronbend_gateway::batch::batching_window::Deadline;
use heronbend_gateway::batch::batching_window::StepProgress;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::registry::JobRegistry;
use heronbend_gateway::batch::ResultLog;
use support::job;
use support::node;
use support::result;

/// A step with ten desired groups and five seconds left until its deadline.
fn step(complete_groups: usize, committed_groups: usize) -> StepProgress {
    StepProgress {
        desired_groups: 10,
        committed_groups,
        complete_groups,
        required_missing: 0,
        required_uncommitted: 0,
        deadline: Some(Deadline::Remaining(Duration::from_secs(5))),
        long_poll_left: Duration::ZERO,
    }
}

/// Total time for which results are buffered if nothing changes.
fn wait(step: Option<&StepProgress>) -> Option<Duration> {
    batching_window::remaining_wait(step, Duration::ZERO)
}

#[test]
fn results_that_complete_a_step_are_committed_immediately() {
    assert_eq!(wait(Some(&step(10, 8))), None);
    assert!(wait(Some(&step(9, 8))).is_some());
}

#[test]
fn step_is_incomplete_without_its_required_items() {
    let missing = StepProgress { required_missing: 1, required_uncommitted: 1, ..step(10, 8) };
    assert!(wait(Some(&missing)).is_some());
    let last = StepProgress { required_uncommitted: 1, ..step(11, 11) };
    assert_eq!(wait(Some(&last)), None);
}

#[test]
fn groups_beyond_the_desired_number_are_committed_immediately() {
    // Not all required items may be known to this daemon.
    assert_eq!(wait(Some(&step(11, 10))), None);
}

#[test]
fn window_is_longer_near_the_end_of_a_step() {
    let early = wait(Some(&step(2, 2))).unwrap();
    let late = wait(Some(&step(8, 8))).unwrap();
    assert!(late > early);
}

#[test]
fn complete_groups_are_committed_before_the_deadline() {
    let deadline =
        StepProgress { deadline: Some(Deadline::Remaining(Duration::from_secs(1))), ..step(8, 7) };
    assert!(wait(Some(&deadline)).unwrap() < Duration::from_secs(1));
}

#[test]
fn overdue_step_uses_the_default_window() {
    let late = StepProgress { deadline: Some(Deadline::Overdue(Duration::ZERO)), ..step(8, 7) };
    assert_eq!(wait(Some(&late)), wait(None));
}

#[test]
fn further_results_do_not_change_the_commit_time() {
    let millis = Duration::from_millis;
    // The deadline is 1.6 s away at the first result; the wait is computed again at the second.
    let first = batching_window::remaining_wait(
        Some(&StepProgress { deadline: Some(Deadline::Remaining(millis(1600))), ..step(8, 7) }),
        millis(0),
    );
    let second = StepProgress { deadline: Some(Deadline::Remaining(millis(800))), ..step(8, 7) };
    let second = batching_window::remaining_wait(Some(&second), millis(800));
    assert_eq!(first.map(|left| left - millis(800)), second);
}

#[test]
fn long_poll_extends_the_window_up_to_its_timeout() {
    let millis = Duration::from_millis;
    let left = |deadline, held| {
        let step =
            StepProgress { deadline: Some(deadline), long_poll_left: millis(held), ..step(8, 7) };
        batching_window::remaining_wait(Some(&step), millis(0))
    };
    // The poll times out before the deadline and the next one starts too late.
    assert!(left(Deadline::Remaining(millis(900)), 500).unwrap() < millis(500));
    // The next poll starts in time.
    assert_eq!(
        left(Deadline::Remaining(millis(2000)), 500),
        left(Deadline::Remaining(millis(2000)), 0)
    );
    // The poll extends past the deadline: wait slightly past it.
    let longer = left(Deadline::Remaining(millis(100)), 900).unwrap();
    assert!(millis(100) < longer && longer < millis(800), "{longer:?}");
    assert!(left(Deadline::Overdue(millis(200)), 900).unwrap() < millis(300));
    // The extension is limited.
    assert_eq!(left(Deadline::Overdue(millis(600)), 900), wait(None));
}

#[test]
fn half_full_chunk_fits_all_pending_results() {
    let mut log = ResultLog::default();
    let mut texts = 0;
    while !log.is_chunk_half_full() {
        let mut long = result(&texts.to_string());
        long.text = "x".repeat(48 * 1024);
        log.add(long);
        texts += 1;
    }
    let chunk = log.start_write().unwrap();
    assert_eq!(chunk.results.len(), texts);
}

#[test]
fn items_of_an_earlier_job_are_required() {
    let registry = JobRegistry::new(|| Duration::ZERO);
    let earlier = job("earlier", 3);
    let mut later = job("later", 4);
    for item in &mut later.items {
        item.id = format!("later-{}", item.id);
    }
    later.items[0] = earlier.items[2].clone();
    let insert = |specification: &heronbend_gateway::batch::JobSpecification, revision| {
        let ownership = Ownership::new(specification, node("a"), None);
        let job = registry.upsert(&specification.id, ownership, revision);
        *job.specification.borrow_mut() = Some(Rc::new(specification.clone()));
        job
    };
    insert(&earlier, 1);
    let job = insert(&later, 2);
    registry.record_required_items(&job, &later);
    let required = job.required_items.borrow();
    assert_eq!(required.iter().collect::<Vec<_>>(), [&earlier.items[2].id]);
}
