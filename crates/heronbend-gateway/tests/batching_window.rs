//! When results that wait are listed.

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

/// A step of ten groups in its middle, due in five seconds.
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

/// How long results wait in all if nothing changes.
fn wait(step: Option<&StepProgress>) -> Option<Duration> {
    batching_window::remaining_wait(step, Duration::ZERO)
}

#[test]
fn what_makes_a_step_whole_is_listed_at_once() {
    assert_eq!(wait(Some(&step(10, 8))), None);
    assert!(wait(Some(&step(9, 8))).is_some());
}

#[test]
fn a_step_is_not_whole_without_the_groups_that_an_earlier_one_left_behind() {
    let missing = StepProgress { required_missing: 1, required_uncommitted: 1, ..step(10, 8) };
    assert!(wait(Some(&missing)).is_some());
    let last = StepProgress { required_uncommitted: 1, ..step(11, 11) };
    assert_eq!(wait(Some(&last)), None);
}

#[test]
fn a_further_group_is_listed_at_once_after_as_many_as_were_asked_for() {
    // Which groups the trainer cannot do without may not be known here.
    assert_eq!(wait(Some(&step(11, 10))), None);
}

#[test]
fn parts_of_a_step_wait_longer_towards_its_end() {
    let early = wait(Some(&step(2, 2))).unwrap();
    let late = wait(Some(&step(8, 8))).unwrap();
    assert!(late > early);
}

#[test]
fn whole_groups_are_listed_before_the_results_are_due() {
    let deadline =
        StepProgress { deadline: Some(Deadline::Remaining(Duration::from_secs(1))), ..step(8, 7) };
    assert!(wait(Some(&deadline)).unwrap() < Duration::from_secs(1));
}

#[test]
fn a_late_step_is_listed_as_soon_as_a_plain_job() {
    let late = StepProgress { deadline: Some(Deadline::Overdue(Duration::ZERO)), ..step(8, 7) };
    assert_eq!(wait(Some(&late)), wait(None));
}

#[test]
fn a_further_result_does_not_make_the_others_wait_for_less() {
    let millis = Duration::from_millis;
    // Due in 1.6 s when the first one came, and looked at again when another one did.
    let first = batching_window::remaining_wait(
        Some(&StepProgress { deadline: Some(Deadline::Remaining(millis(1600))), ..step(8, 7) }),
        millis(0),
    );
    let second = StepProgress { deadline: Some(Deadline::Remaining(millis(800))), ..step(8, 7) };
    let second = batching_window::remaining_wait(Some(&second), millis(800));
    assert_eq!(first.map(|left| left - millis(800)), second);
}

#[test]
fn while_a_read_is_held_what_is_due_waits_for_the_last_text_until_the_read_ends() {
    let millis = Duration::from_millis;
    let left = |deadline, held| {
        let step =
            StepProgress { deadline: Some(deadline), long_poll_left: millis(held), ..step(8, 7) };
        batching_window::remaining_wait(Some(&step), millis(0))
    };
    // The read ends before, and the next one begins too late.
    assert!(left(Deadline::Remaining(millis(900)), 500).unwrap() < millis(500));
    // The next one begins in time.
    assert_eq!(
        left(Deadline::Remaining(millis(2000)), 500),
        left(Deadline::Remaining(millis(2000)), 0)
    );
    // Held beyond the time at which the results are due: a little longer than that.
    let longer = left(Deadline::Remaining(millis(100)), 900).unwrap();
    assert!(millis(100) < longer && longer < millis(800), "{longer:?}");
    assert!(left(Deadline::Overdue(millis(200)), 900).unwrap() < millis(300));
    // Not for ever.
    assert_eq!(left(Deadline::Overdue(millis(600)), 900), wait(None));
}

#[test]
fn what_comes_last_fits_into_one_chunk() {
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
fn items_that_an_earlier_job_had_are_known_to_be_required() {
    let registry = JobRegistry::new(|| Duration::ZERO);
    let earlier = job("earlier", 3);
    let mut later = job("later", 4);
    for item in &mut later.items {
        item.id = format!("later-{}", item.id);
    }
    later.items[0] = earlier.items[2].clone();
    let learn = |specification: &heronbend_gateway::batch::JobSpecification, revision| {
        let ownership = Ownership::new(specification, node("a"), None);
        let job = registry.upsert(&specification.id, ownership, revision);
        *job.specification.borrow_mut() = Some(Rc::new(specification.clone()));
        job
    };
    learn(&earlier, 1);
    let job = learn(&later, 2);
    registry.record_required_items(&job, &later);
    let required = job.required_items.borrow();
    assert_eq!(required.iter().collect::<Vec<_>>(), [&earlier.items[2].id]);
}
