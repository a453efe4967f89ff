//! When results that wait are listed.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend_gateway::batch::gathering::wait;
use heronbend_gateway::batch::gathering::Step;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::registry::JobRegistry;
use heronbend_gateway::batch::ResultLog;
use support::job;
use support::node;
use support::result;

/// A step of ten groups in its middle, due in five seconds.
fn step(whole: usize, listed: usize) -> Step {
    Step {
        desired: 10,
        listed,
        whole,
        required_missing: 0,
        required_unlisted: 0,
        time_left: Some(Duration::from_secs(5)),
    }
}

#[test]
fn what_makes_a_step_whole_is_listed_at_once() {
    assert_eq!(wait(Some(&step(10, 8))), None);
    assert!(wait(Some(&step(9, 8))).is_some());
}

#[test]
fn a_step_is_not_whole_without_the_groups_that_an_earlier_one_left_behind() {
    let missing = Step { required_missing: 1, required_unlisted: 1, ..step(10, 8) };
    assert!(wait(Some(&missing)).is_some());
    let last = Step { required_unlisted: 1, ..step(11, 11) };
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
    let due = Step { time_left: Some(Duration::from_secs(1)), ..step(8, 7) };
    assert!(wait(Some(&due)).unwrap() < Duration::from_secs(1));
}

#[test]
fn a_late_step_is_listed_as_soon_as_a_plain_job() {
    let late = Step { time_left: None, ..step(8, 7) };
    assert_eq!(wait(Some(&late)), wait(None));
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
    let chunk = log.start_writing().unwrap();
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
        let job = registry.learn(&specification.id, ownership, revision);
        *job.specification.borrow_mut() = Some(Rc::new(specification.clone()));
        job
    };
    learn(&earlier, 1);
    let job = learn(&later, 2);
    registry.note_required(&job, &later);
    let required = job.required.borrow();
    assert_eq!(required.iter().collect::<Vec<_>>(), [&earlier.items[2].id]);
}
