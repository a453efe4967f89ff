//! What the service does at the store when answers are lost, late or refused.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use heronbend::access::Caller;
use heronbend_gateway::batch::adoption::Reason;
use heronbend_gateway::batch::checkpoint;
use heronbend_gateway::batch::event_stream::EventReader;
use heronbend_gateway::batch::hand_in::{self, HandInError};
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::texts::Texts;

use heronbend_gateway::batch::registry::{
    chunk_name, results_kind, Job, OWNERSHIPS, SPECIFICATIONS,
};
use heronbend_gateway::batch::{appender, ownership_duty, reading};
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::mirror::{self, MirrorSink, Source};
use heronbend_gateway::peers::PeerReply;
use heronbend_gateway::ports::{Object, ObjectStore};
use serde_json::json;
use smol::LocalExecutor;
use support::memory_store::{MemoryStore, WatchFault, WriteFault};
use support::{gateway, job, result, run, wait_until};

const KIND: &str = "things";
const GATHERING: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_millis(700);

/// Runs a test over an empty store.
fn with_store<T>(
    test: impl FnOnce(Rc<MemoryStore>, Rc<LocalExecutor<'static>>) -> Pin<Box<dyn Future<Output = T>>>,
) -> T {
    run(|executor| test(Rc::new(MemoryStore::default()), executor))
}

/// Names of the objects that a mirror knows.
#[derive(Clone, Default)]
struct Names(Rc<RefCell<Vec<String>>>);

impl Names {
    fn contains(&self, name: &str) -> bool {
        self.0.borrow().iter().any(|known| known == name)
    }
}

impl MirrorSink for Names {
    fn keep(&self, _names: &BTreeSet<String>) {
        // All objects of the list follow as changes.
        self.0.borrow_mut().clear();
    }

    fn put(&self, object: &Object) {
        self.0.borrow_mut().push(object.name.clone());
    }

    fn remove(&self, name: &str) {
        self.0.borrow_mut().retain(|known| known != name);
    }
}

/// Mirrors a kind from the store.
fn follow(
    executor: &LocalExecutor<'static>,
    gateway: &Rc<Gateway>,
    kind: &'static str,
    names: &Names,
) {
    let mirror = mirror::follow(gateway.clone(), kind, Source::Store, GATHERING, names.clone());
    executor.spawn(mirror).detach();
}

#[test]
fn a_watch_that_was_cut_misses_nothing_although_the_next_one_would_be_deaf() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Cut]);
            store.mute_watches();
            let names = Names::default();
            follow(&executor, &gateway, KIND, &names);
            wait_until("the watch has been cut", || store.calls.get() >= 2).await;
            store.put(KIND, "missed", json!(1));
            // A watch that was begun again from where the first one stood waits by now.
            smol::Timer::after(Duration::from_millis(150)).await;
            store.drop_history();
            wait_until("the change is known", || names.contains("missed")).await;
            store.put(KIND, "later", json!(2));
            wait_until("a later change is known", || names.contains("later")).await;
        })
    });
}

#[test]
fn a_deaf_watch_is_left_when_the_store_is_reached_again_by_another() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Deaf]);
            let deaf = Names::default();
            follow(&executor, &gateway, KIND, &deaf);
            smol::Timer::after(Duration::from_millis(30)).await;
            store.set_down(true);
            let other = Names::default();
            follow(&executor, &gateway, "others", &other);
            let calls = store.calls.get();
            wait_until("several calls have failed", || store.calls.get() >= calls + 3).await;
            store.put(KIND, "missed", json!(1));
            store.set_down(false);
            wait_until("the change is known", || deaf.contains("missed")).await;
        })
    });
}

#[test]
fn a_daemon_that_peers_are_ahead_of_lists_anew() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Deaf]);
            let names = Names::default();
            follow(&executor, &gateway, KIND, &names);
            smol::Timer::after(Duration::from_millis(30)).await;
            store.put(KIND, "missed", json!(1));
            gateway.watches_doubted.notify(usize::MAX);
            wait_until("the change is known", || names.contains("missed")).await;
        })
    });
}

#[test]
fn a_job_whose_creation_is_in_doubt_is_never_said_not_to_run() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Late]);
            store.fail_writes(&[WriteFault::Refused; 20]);
            let taken = hand_in::hand_in(&gateway, job("j", 2), gateway.now() + PATIENCE).await;
            assert_eq!(taken, Err(HandInError::Unknown));
        })
    });
}

#[test]
fn a_job_that_the_store_refused_throughout_is_said_not_to_run() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Refused; 20]);
            let taken = hand_in::hand_in(&gateway, job("j", 2), gateway.now() + PATIENCE).await;
            assert_eq!(taken, Err(HandInError::NotTaken));
            assert!(store.object(SPECIFICATIONS, "j").is_none());
        })
    });
}

#[test]
fn a_job_is_taken_once_although_answers_were_lost() {
    with_store(|store, executor| {
        Box::pin(async move {
            let first = gateway("a", &store, &executor);
            let second = gateway("b", &store, &executor);
            store.fail_writes(&[WriteFault::AnswerLost, WriteFault::AnswerLost]);
            let patience = first.now() + Duration::from_secs(20);
            assert_eq!(hand_in::hand_in(&first, job("j", 2), patience).await, Ok(()));
            assert_eq!(hand_in::hand_in(&second, job("j", 2), patience).await, Ok(()));
            let owner = second.jobs.get("j").unwrap().owner();
            assert_eq!(owner, first.identity.node);
        })
    });
}

#[test]
fn an_end_before_the_job_is_owned_keeps_it_from_ever_running() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.put(SPECIFICATIONS, "j", json!(job("j", 2)));
            let patience = gateway.now() + PATIENCE;
            assert_eq!(hand_in::end(&gateway, "j", &Caller::AuthDisabled, patience).await, Ok(()));
            assert_eq!(hand_in::hand_in(&gateway, job("j", 2), patience).await, Ok(()));
            assert!(gateway.jobs.get("j").unwrap().ended.get());
            assert_eq!(store.object(OWNERSHIPS, "j").unwrap().content["ended"], json!(true));
        })
    });
}

#[test]
fn two_daemons_that_run_one_job_never_list_an_item_twice() {
    with_store(|store, executor| {
        Box::pin(async move {
            let first = gateway("a", &store, &executor);
            let second = gateway("b", &store, &executor);
            let patience = first.now() + PATIENCE;
            hand_in::hand_in(&first, job("j", 6), patience).await.unwrap();
            hand_in::hand_in(&second, job("j", 6), patience).await.unwrap();
            store.fail_writes(&[WriteFault::AnswerLost, WriteFault::Late, WriteFault::Refused]);
            for (gateway, items) in [(&first, [0, 1, 2, 3]), (&second, [2, 3, 4, 5])] {
                let job = gateway.jobs.get("j").unwrap();
                executor.spawn(appender::run(gateway.clone(), job.clone())).detach();
                for number in items {
                    job.log.borrow_mut().add(result(&format!("item-{number}")));
                    job.result_waits.notify(usize::MAX);
                    smol::Timer::after(Duration::from_millis(60)).await;
                }
            }
            let jobs = [first.jobs.get("j").unwrap(), second.jobs.get("j").unwrap()];
            let all_written = |index: usize| {
                store.do_late_writes();
                jobs[index].log.borrow().pending() == 0
            };
            wait_until("the owner's results are written", || all_written(0)).await;
            // What the second one still holds is appended once it owns the job.
            ownership_duty::adopt(&second, &jobs[1], Reason::Silent).await;
            wait_until("all is written", || all_written(1)).await;
            for job in &jobs {
                appender::catch_up(&first, job).await.unwrap();
            }
            let listed = |index: usize| -> Vec<String> {
                let page = jobs[index].log.borrow().page(0);
                page.iter().map(|result| result.item.clone()).collect()
            };
            assert_eq!(listed(0), listed(1));
            let distinct: std::collections::BTreeSet<_> = listed(0).into_iter().collect();
            assert_eq!(distinct.len(), 6);
            assert_eq!(listed(0).len(), 6);
        })
    });
}

/// A job that `owner` runs, as far as appending its results goes.
fn appending(
    store: &Rc<MemoryStore>,
    owner: &Rc<Gateway>,
    executor: &Rc<LocalExecutor<'static>>,
) -> (Rc<Job>, smol::Task<()>) {
    let ownership = Ownership::new(&job("j", 6), owner.identity.node.clone(), None);
    store.put(SPECIFICATIONS, "j", json!(job("j", 6)));
    store.put(OWNERSHIPS, "j", json!(ownership));
    let job = owner.jobs.learn_object(&store.object(OWNERSHIPS, "j").unwrap()).unwrap();
    let task = executor.spawn(appender::run(owner.clone(), job.clone()));
    (job, task)
}

/// Adds a result that is to be written.
fn add(job: &Job, item: &str) {
    job.log.borrow_mut().add(result(item));
    job.result_waits.notify(usize::MAX);
}

/// Has `gateway` take the job over, and waits until it answers readers.
async fn take_over(store: &Rc<MemoryStore>, gateway: &Rc<Gateway>) -> Rc<Job> {
    let object = store.object(OWNERSHIPS, "j").unwrap();
    let job = gateway.jobs.learn_object(&object).unwrap();
    ownership_duty::adopt(gateway, &job, Reason::Silent).await;
    wait_until("the new owner answers", || job.is_authority(gateway.now())).await;
    job
}

#[test]
fn an_owner_that_was_replaced_shows_nothing_that_the_new_owner_does_not_know() {
    with_store(|store, executor| {
        Box::pin(async move {
            let former = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (mine, _task) = appending(&store, &former, &executor);
            add(&mine, "item-0");
            wait_until("a result is listed", || mine.log.borrow().len() == 1).await;
            // The former owner does not know that it was replaced.
            let theirs = take_over(&store, &new).await;
            for number in 1..4 {
                add(&mine, &format!("item-{number}"));
                smol::Timer::after(Duration::from_millis(600)).await;
                let (shown, known) = (mine.log.borrow().len(), theirs.log.borrow().len());
                assert!(shown <= known, "{shown} shown, {known} known to the owner");
            }
            assert_eq!(mine.owner(), new.identity.node);
        })
    });
}

#[test]
fn an_owner_that_has_read_anothers_chunk_appends_nothing_until_it_has_asked() {
    with_store(|store, executor| {
        Box::pin(async move {
            let former = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (mine, _task) = appending(&store, &former, &executor);
            let theirs = take_over(&store, &new).await;
            // As for a reader of the former owner, which still believes that it owns the job.
            appender::catch_up(&former, &mine).await.unwrap();
            add(&mine, "item-0");
            wait_until("the former owner knows better", || mine.owner() == new.identity.node).await;
            assert_eq!((mine.log.borrow().len(), theirs.log.borrow().len()), (0, 0));
        })
    });
}

#[test]
fn an_owner_whose_write_is_in_doubt_does_not_answer_for_the_log() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let (mine, task) = appending(&store, &owner, &executor);
            mine.running.set(true);
            mine.confirmed.set(Some(owner.now()));
            assert!(mine.is_authority(owner.now()));
            store.fail_writes(&[WriteFault::AnswerLost]);
            store.fail_writes(&[WriteFault::Refused; 40]);
            add(&mine, "item-0");
            let is_written = || store.object(&results_kind("j"), &chunk_name(0)).is_some();
            wait_until("the chunk is written", is_written).await;
            wait_until("the owner is in doubt", || !mine.is_authority(owner.now())).await;
            drop(task);
            appender::catch_up(&owner, &mine).await.unwrap();
            mine.confirmed.set(Some(owner.now()));
            assert!(mine.is_authority(owner.now()));
            assert_eq!(mine.log.borrow().len(), 1);
        })
    });
}

#[test]
fn a_late_write_of_a_lost_owner_is_not_done_after_the_log_is_sealed() {
    with_store(|store, executor| {
        Box::pin(async move {
            let lost = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (mine, task) = appending(&store, &lost, &executor);
            store.fail_writes(&[WriteFault::Late]);
            add(&mine, "item-0");
            wait_until("a write is on its way", || store.late_writes() == 1).await;
            drop(task);
            take_over(&store, &new).await;
            store.do_late_writes();
            let chunk = store.object(&results_kind("j"), &chunk_name(0)).unwrap();
            assert_eq!(chunk.content["results"], json!([]));
        })
    });
}

#[test]
fn a_reader_elsewhere_gets_the_results_from_the_store() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let reader = gateway("b", &store, &executor);
            let patience = owner.now() + PATIENCE;
            hand_in::hand_in(&owner, job("j", 3), patience).await.unwrap();
            let chunk = json!({ "results": [result("item-1")] });
            store.put(&results_kind("j"), &chunk_name(0), chunk);
            let page = reading::results(&reader, "j", &Caller::AuthDisabled, 0, reader.now())
                .await
                .unwrap();
            assert_eq!((page.total, page.results.len()), (3, 1));
            let missing =
                reading::results(&reader, "unknown", &Caller::AuthDisabled, 0, reader.now()).await;
            assert_eq!(missing.unwrap_err(), reading::ReadError::NotFound);
            store.set_down(true);
            let unsure =
                reading::results(&reader, "unknown", &Caller::AuthDisabled, 0, reader.now()).await;
            assert_eq!(unsure.unwrap_err(), reading::ReadError::Unavailable);
        })
    });
}

#[test]
fn a_daemon_that_calls_nothing_notices_an_outage_and_leaves_its_deaf_watch() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            // Begun while the store was silent: it is never answered.
            store.fail_watches(&[WatchFault::Deaf]);
            let names = Names::default();
            follow(&executor, &gateway, KIND, &names);
            executor.spawn(mirror::probe_store(gateway.clone())).detach();
            smol::Timer::after(Duration::from_millis(30)).await;
            store.set_down(true);
            let calls = store.calls.get();
            wait_until("the store was probed", || store.calls.get() > calls).await;
            store.put(KIND, "missed", json!(1));
            store.set_down(false);
            wait_until("the change is known", || names.contains("missed")).await;
        })
    });
}

#[test]
fn an_owner_answers_for_a_log_only_once_the_store_has_confirmed_it() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let patience = gateway.now() + PATIENCE;
            hand_in::hand_in(&gateway, job("j", 3), patience).await.unwrap();
            let job = gateway.jobs.get("j").unwrap();
            // Another daemon ran it before, and its results were read.
            let chunk = json!({ "results": [result("item-1")] });
            store.put(&results_kind("j"), &chunk_name(0), chunk);
            job.confirmed.set(None);
            let reply = reading::answer_peer(&gateway, "j", 0, Duration::ZERO).await;
            assert_eq!(reply, PeerReply::NotOwner);
            let page = reading::results(&gateway, "j", &Caller::AuthDisabled, 0, gateway.now())
                .await
                .unwrap();
            assert_eq!(page.results.len(), 1);
            job.confirmed.set(Some(gateway.now()));
            let reply = reading::answer_peer(&gateway, "j", 0, Duration::ZERO).await;
            assert!(matches!(reply, PeerReply::Results { chunks: 1, .. }), "{reply:?}");
            // Only what the reader asks for crosses, and how much there is.
            let reply = reading::answer_peer(&gateway, "j", 1, Duration::ZERO).await;
            let nothing = PeerReply::Results { results: Vec::new(), settled: 1, chunks: 1 };
            assert_eq!(reply, nothing);
        })
    });
}

#[test]
fn a_restarted_daemon_goes_on_with_its_own_jobs_without_waiting_to_hear_of_others() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let mut earlier = gateway.identity.node.clone();
            earlier.incarnation.0 -= 1;
            let ownership = Ownership::new(&job("j", 2), earlier, None);
            store.put(SPECIFICATIONS, "j", json!(job("j", 2)));
            store.put(OWNERSHIPS, "j", json!(ownership));
            // Only the list is read; the sweep for lost daemons' jobs, which waits, does not run.
            executor.spawn(ownership_duty::follow(gateway.clone())).detach();
            let is_mine = || {
                let job = gateway.jobs.get("j");
                job.is_some_and(|job| job.owner() == gateway.identity.node && job.running.get())
            };
            wait_until("the job is run by this run of the daemon", is_mine).await;
        })
    });
}

#[test]
fn a_daemon_that_gets_a_job_back_saves_texts_under_new_names() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let ownership = Ownership::new(&job("j", 1), gateway.identity.node.clone(), None);
            let job_here = gateway.jobs.learn("j", ownership, 1);
            *job_here.specification.borrow_mut() = Some(Rc::new(job("j", 1)));
            for saved in 1..=2 {
                *job_here.texts.borrow_mut() = Texts::new(1);
                let text = job_here.texts.borrow().get(0);
                for number in 1..=20 {
                    let event = format!("id: {number}\ndata: e\n\n");
                    let mut reader = EventReader::new("weights", Some(1));
                    reader.read(event.as_bytes(), &mut text.borrow_mut()).unwrap();
                }
                let calls = store.calls.get();
                let saving = checkpoint::run(gateway.clone(), job_here.clone());
                let saving = executor.spawn(saving);
                wait_until("a checkpoint is written", || store.calls.get() > calls).await;
                drop(saving);
                let written = store.list(&checkpoint::kind("j"), None).await.unwrap();
                assert_eq!(written.objects.len(), saved, "the first write is under a free name");
            }
        })
    });
}

#[test]
fn a_job_that_is_passed_on_is_not_read_from_the_store_for_a_hint_that_came_earlier() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let ownership = Ownership::new(&job("j", 1), owner.identity.node.clone(), None);
            ownership_duty::take_hint(&owner, "j", ownership.clone(), 7, true);
            smol::Timer::after(Duration::from_millis(50)).await;
            let reply = hand_in::run_here(&owner, ownership, 7, job("j", 1), false);
            assert_eq!(reply, PeerReply::Running);
            smol::Timer::after(Duration::from_millis(50)).await;
            assert!(owner.jobs.get("j").is_some_and(|job| job.running.get()));
            assert!(store.object(&results_kind("j"), &chunk_name(0)).is_none(), "no seal");
        })
    });
}

#[test]
fn an_owner_starts_a_job_that_is_never_passed_on() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            store.put(SPECIFICATIONS, "j", json!(job("j", 1)));
            let ownership = Ownership::new(&job("j", 1), owner.identity.node.clone(), None);
            ownership_duty::take_hint(&owner, "j", ownership, 7, true);
            wait_until("it is run", || owner.jobs.get("j").is_some_and(|j| j.running.get())).await;
        })
    });
}
