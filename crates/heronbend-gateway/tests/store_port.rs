//! Behaviour of the gateway when store calls fail, hang, or lose their responses.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use heronbend::access::Caller;
use heronbend_gateway::batch::adoption::AdoptionReason;
use heronbend_gateway::batch::checkpoint;
use heronbend_gateway::batch::event_stream::EventReader;
use heronbend_gateway::batch::expiry;
use heronbend_gateway::batch::job_texts::JobTexts;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::submission::{self, Handoff, SubmitError};
use heronbend_gateway::batch::tenure::InitialLog;

use heronbend_gateway::batch::registry::{
    chunk_name, results_kind, Job, OWNERSHIPS, SPECIFICATIONS,
};
use heronbend_gateway::batch::{appender, ownership_manager, results_reader};
use heronbend_gateway::clock::Clock;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::peers::PeerReply;
use heronbend_gateway::ports::{Object, ObjectStore};
use heronbend_gateway::reflector::{self, ObjectHandler, Source};
use serde_json::json;
use smol::LocalExecutor;
use support::memory_store::{MemoryStore, WatchFault, WriteFault};
use support::{gateway, gateway_with_clock, job, node, result, run, wait_until};

const KIND: &str = "things";
const BATCH_DELAY: Duration = Duration::from_millis(5);
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Runs a test on an empty store.
fn with_store<T>(
    test: impl FnOnce(Rc<MemoryStore>, Rc<LocalExecutor<'static>>) -> Pin<Box<dyn Future<Output = T>>>,
) -> T {
    run(|executor| test(Rc::new(MemoryStore::default()), executor))
}

/// Collects the names of the reflected objects.
#[derive(Clone, Default)]
struct Names(Rc<RefCell<Vec<String>>>);

impl Names {
    fn contains(&self, name: &str) -> bool {
        self.0.borrow().iter().any(|known| known == name)
    }
}

impl ObjectHandler for Names {
    fn retain(&self, _names: &BTreeSet<String>) {
        // The objects of the list follow as changes.
        self.0.borrow_mut().clear();
    }

    fn upsert(&self, object: &Object) {
        self.0.borrow_mut().push(object.name.clone());
    }

    fn remove(&self, name: &str) {
        self.0.borrow_mut().retain(|known| known != name);
    }
}

/// Starts reflecting objects of a kind from the store into `names`.
fn reflect(
    executor: &LocalExecutor<'static>,
    gateway: &Rc<Gateway>,
    kind: &'static str,
    names: &Names,
) {
    let reflector =
        reflector::run(gateway.clone(), kind, Source::Store, BATCH_DELAY, names.clone());
    executor.spawn(reflector).detach();
}

#[test]
fn an_interrupted_watch_lists_again_and_misses_no_change() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Interrupted]);
            store.suppress_changes();
            let names = Names::default();
            reflect(&executor, &gateway, KIND, &names);
            wait_until("the watch is interrupted", || store.calls.get() >= 2).await;
            store.put(KIND, "missed", json!(1));
            // Gives an incorrect restart from the old revision time to begin waiting.
            smol::Timer::after(Duration::from_millis(150)).await;
            store.compact_history();
            wait_until("the change is known", || names.contains("missed")).await;
            store.put(KIND, "later", json!(2));
            wait_until("a later change is known", || names.contains("later")).await;
        })
    });
}

#[test]
fn a_hanging_watch_is_restarted_when_another_call_reaches_the_store() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Hanging]);
            let hanging = Names::default();
            reflect(&executor, &gateway, KIND, &hanging);
            smol::Timer::after(Duration::from_millis(30)).await;
            store.set_down(true);
            let other = Names::default();
            reflect(&executor, &gateway, "others", &other);
            let calls = store.calls.get();
            wait_until("several calls have failed", || store.calls.get() >= calls + 3).await;
            store.put(KIND, "missed", json!(1));
            store.set_down(false);
            wait_until("the change is known", || hanging.contains("missed")).await;
        })
    });
}

#[test]
fn a_daemon_behind_its_peers_lists_again() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_watches(&[WatchFault::Hanging]);
            let names = Names::default();
            reflect(&executor, &gateway, KIND, &names);
            smol::Timer::after(Duration::from_millis(30)).await;
            store.put(KIND, "missed", json!(1));
            gateway.restart_watches.notify(usize::MAX);
            wait_until("the change is known", || names.contains("missed")).await;
        })
    });
}

#[test]
fn an_ambiguous_submission_is_not_reported_as_failed() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Delayed]);
            store.fail_writes(&[WriteFault::Rejected; 20]);
            let submitted =
                submission::submit(&gateway, job("j", 2), gateway.now() + SUBMIT_TIMEOUT).await;
            assert_eq!(submitted, Err(SubmitError::Unknown));
        })
    });
}

#[test]
fn a_submission_that_the_store_rejects_is_unavailable() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Rejected; 20]);
            let submitted =
                submission::submit(&gateway, job("j", 2), gateway.now() + SUBMIT_TIMEOUT).await;
            assert_eq!(submitted, Err(SubmitError::Unavailable));
            assert!(store.object(SPECIFICATIONS, "j").is_none());
        })
    });
}

#[test]
fn a_retried_submission_keeps_its_owner_despite_lost_responses() {
    with_store(|store, executor| {
        Box::pin(async move {
            let first = gateway("a", &store, &executor);
            let second = gateway("b", &store, &executor);
            store.fail_writes(&[WriteFault::ResponseLost, WriteFault::ResponseLost]);
            let deadline = first.now() + Duration::from_secs(20);
            assert_eq!(submission::submit(&first, job("j", 2), deadline).await, Ok(()));
            assert_eq!(submission::submit(&second, job("j", 2), deadline).await, Ok(()));
            let owner = second.jobs.get("j").unwrap().owner();
            assert_eq!(owner, first.identity.node);
        })
    });
}

#[test]
fn a_job_ended_before_it_has_an_owner_never_runs() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            store.put(SPECIFICATIONS, "j", json!(job("j", 2)));
            let deadline = gateway.now() + SUBMIT_TIMEOUT;
            assert_eq!(
                submission::end(&gateway, "j", &Caller::AuthDisabled, deadline).await,
                Ok(())
            );
            assert_eq!(submission::submit(&gateway, job("j", 2), deadline).await, Ok(()));
            assert!(gateway.jobs.get("j").unwrap().ended.get());
            assert_eq!(store.object(OWNERSHIPS, "j").unwrap().content["ended"], json!(true));
        })
    });
}

#[test]
fn concurrent_owners_commit_each_item_once() {
    with_store(|store, executor| {
        Box::pin(async move {
            let first = gateway("a", &store, &executor);
            let second = gateway("b", &store, &executor);
            let deadline = first.now() + SUBMIT_TIMEOUT;
            submission::submit(&first, job("j", 6), deadline).await.unwrap();
            submission::submit(&second, job("j", 6), deadline).await.unwrap();
            store.fail_writes(&[
                WriteFault::ResponseLost,
                WriteFault::Delayed,
                WriteFault::Rejected,
            ]);
            for (gateway, items) in [(&first, [0, 1, 2, 3]), (&second, [2, 3, 4, 5])] {
                let job = gateway.jobs.get("j").unwrap();
                executor.spawn(appender::run(gateway.clone(), job.clone())).detach();
                for number in items {
                    job.log.borrow_mut().add(result(&format!("item-{number}")));
                    job.result_pending.notify(usize::MAX);
                    smol::Timer::after(Duration::from_millis(60)).await;
                }
            }
            let jobs = [first.jobs.get("j").unwrap(), second.jobs.get("j").unwrap()];
            let is_fully_written = |index: usize| {
                store.apply_delayed_writes();
                jobs[index].log.borrow().pending() == 0
            };
            wait_until("the owner's results are written", || is_fully_written(0)).await;
            // The second daemon appends its pending results once it owns the job.
            ownership_manager::adopt(&second, &jobs[1], AdoptionReason::Silent).await;
            wait_until("all results are written", || is_fully_written(1)).await;
            for job in &jobs {
                appender::catch_up(&first, job).await.unwrap();
            }
            let committed = |index: usize| -> Vec<String> {
                let page = jobs[index].log.borrow().page(0);
                page.iter().map(|result| result.item.clone()).collect()
            };
            assert_eq!(committed(0), committed(1));
            let distinct: std::collections::BTreeSet<_> = committed(0).into_iter().collect();
            assert_eq!(distinct.len(), 6);
            assert_eq!(committed(0).len(), 6);
        })
    });
}

/// Creates job `j`, owned by `owner`, and starts appending its results.
fn start_appender(
    store: &Rc<MemoryStore>,
    owner: &Rc<Gateway>,
    executor: &Rc<LocalExecutor<'static>>,
) -> (Rc<Job>, smol::Task<()>) {
    let ownership = Ownership::new(&job("j", 6), owner.identity.node.clone(), None);
    store.put(SPECIFICATIONS, "j", json!(job("j", 6)));
    store.put(OWNERSHIPS, "j", json!(ownership));
    let job = owner.jobs.upsert_object(&store.object(OWNERSHIPS, "j").unwrap()).unwrap();
    let task = executor.spawn(appender::run(owner.clone(), job.clone()));
    (job, task)
}

/// Adds a result to be appended to the log.
fn add_result(job: &Job, item: &str) {
    job.log.borrow_mut().add(result(item));
    job.result_pending.notify(usize::MAX);
}

/// Makes `gateway` take the job over, and waits until it serves readers.
async fn take_over(store: &Rc<MemoryStore>, gateway: &Rc<Gateway>) -> Rc<Job> {
    let object = store.object(OWNERSHIPS, "j").unwrap();
    let job = gateway.jobs.upsert_object(&object).unwrap();
    ownership_manager::adopt(gateway, &job, AdoptionReason::Silent).await;
    wait_until("the new owner is authoritative", || job.is_authoritative(gateway.now())).await;
    job
}

#[test]
fn a_replaced_owner_exposes_only_committed_results() {
    with_store(|store, executor| {
        Box::pin(async move {
            let previous = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (own_job, _task) = start_appender(&store, &previous, &executor);
            add_result(&own_job, "item-0");
            wait_until("a result is committed", || own_job.log.borrow().len() == 1).await;
            // The previous owner does not know yet that it was replaced.
            let new_job = take_over(&store, &new).await;
            for number in 1..4 {
                add_result(&own_job, &format!("item-{number}"));
                smol::Timer::after(Duration::from_millis(600)).await;
                let (shown, known) = (own_job.log.borrow().len(), new_job.log.borrow().len());
                assert!(shown <= known, "{shown} exposed, {known} known to the owner");
            }
            assert_eq!(own_job.owner(), new.identity.node);
        })
    });
}

#[test]
fn an_owner_that_reads_a_foreign_chunk_confirms_its_ownership_before_appending() {
    with_store(|store, executor| {
        Box::pin(async move {
            let previous = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (own_job, _task) = start_appender(&store, &previous, &executor);
            let new_job = take_over(&store, &new).await;
            // The previous owner, which does not know yet that it was replaced, serves a reader.
            appender::catch_up(&previous, &own_job).await.unwrap();
            add_result(&own_job, "item-0");
            wait_until("the previous owner learns the new owner", || {
                own_job.owner() == new.identity.node
            })
            .await;
            assert_eq!((own_job.log.borrow().len(), new_job.log.borrow().len()), (0, 0));
        })
    });
}

#[test]
fn an_owner_with_an_ambiguous_write_is_not_authoritative() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let (own_job, task) = start_appender(&store, &owner, &executor);
            own_job.tenure.borrow_mut().start(own_job.revision());
            own_job.tenure.borrow_mut().log_sealed();
            own_job.ownership_confirmed_at.set(Some(owner.now()));
            assert!(own_job.is_authoritative(owner.now()));
            store.fail_writes(&[WriteFault::ResponseLost]);
            store.fail_writes(&[WriteFault::Rejected; 40]);
            add_result(&own_job, "item-0");
            let is_written = || store.object(&results_kind("j"), &chunk_name(0)).is_some();
            wait_until("the chunk is written", is_written).await;
            wait_until("the owner is not authoritative", || !own_job.is_authoritative(owner.now()))
                .await;
            drop(task);
            appender::catch_up(&owner, &own_job).await.unwrap();
            own_job.ownership_confirmed_at.set(Some(owner.now()));
            assert!(own_job.is_authoritative(owner.now()));
            assert_eq!(own_job.log.borrow().len(), 1);
        })
    });
}

#[test]
fn a_delayed_write_of_a_lost_owner_has_no_effect_after_the_seal() {
    with_store(|store, executor| {
        Box::pin(async move {
            let lost = gateway("a", &store, &executor);
            let new = gateway("b", &store, &executor);
            let (own_job, task) = start_appender(&store, &lost, &executor);
            store.fail_writes(&[WriteFault::Delayed]);
            add_result(&own_job, "item-0");
            wait_until("a write is delayed", || store.delayed_writes() == 1).await;
            drop(task);
            take_over(&store, &new).await;
            store.apply_delayed_writes();
            let chunk = store.object(&results_kind("j"), &chunk_name(0)).unwrap();
            assert_eq!(chunk.content["results"], json!([]));
        })
    });
}

#[test]
fn other_daemons_read_results_from_the_store() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let reader = gateway("b", &store, &executor);
            let deadline = owner.now() + SUBMIT_TIMEOUT;
            submission::submit(&owner, job("j", 3), deadline).await.unwrap();
            let chunk = json!({ "results": [result("item-1")] });
            store.put(&results_kind("j"), &chunk_name(0), chunk);
            let page =
                results_reader::results(&reader, "j", &Caller::AuthDisabled, 0, reader.now())
                    .await
                    .unwrap();
            assert_eq!((page.total, page.results.len()), (3, 1));
            let missing =
                results_reader::results(&reader, "unknown", &Caller::AuthDisabled, 0, reader.now())
                    .await;
            assert_eq!(missing.unwrap_err(), results_reader::ReadError::NotFound);
            store.set_down(true);
            let unavailable =
                results_reader::results(&reader, "unknown", &Caller::AuthDisabled, 0, reader.now())
                    .await;
            assert_eq!(unavailable.unwrap_err(), results_reader::ReadError::Unavailable);
        })
    });
}

#[test]
fn an_idle_daemon_detects_an_outage_and_restarts_its_hanging_watch() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            // This watch never returns.
            store.fail_watches(&[WatchFault::Hanging]);
            let names = Names::default();
            reflect(&executor, &gateway, KIND, &names);
            executor.spawn(reflector::probe_store(gateway.clone())).detach();
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
fn an_owner_serves_peers_only_after_its_ownership_is_confirmed() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let deadline = gateway.now() + SUBMIT_TIMEOUT;
            submission::submit(&gateway, job("j", 3), deadline).await.unwrap();
            let job = gateway.jobs.get("j").unwrap();
            // A previous owner committed a result.
            let chunk = json!({ "results": [result("item-1")] });
            store.put(&results_kind("j"), &chunk_name(0), chunk);
            job.ownership_confirmed_at.set(None);
            let reply = results_reader::answer_peer(&gateway, "j", 0, Duration::ZERO).await;
            assert_eq!(reply, PeerReply::NotOwner);
            let page =
                results_reader::results(&gateway, "j", &Caller::AuthDisabled, 0, gateway.now())
                    .await
                    .unwrap();
            assert_eq!(page.results.len(), 1);
            job.ownership_confirmed_at.set(Some(gateway.now()));
            let reply = results_reader::answer_peer(&gateway, "j", 0, Duration::ZERO).await;
            assert!(matches!(reply, PeerReply::Results { chunks: 1, .. }), "{reply:?}");
            // The reply contains only results from the requested position on, and the total.
            let reply = results_reader::answer_peer(&gateway, "j", 1, Duration::ZERO).await;
            let nothing = PeerReply::Results { results: Vec::new(), settled: 1, chunks: 1 };
            assert_eq!(reply, nothing);
        })
    });
}

#[test]
fn a_restarted_daemon_resumes_its_own_jobs_immediately() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let mut earlier = gateway.identity.node.clone();
            earlier.incarnation.0 -= 1;
            let ownership = Ownership::new(&job("j", 2), earlier, None);
            store.put(SPECIFICATIONS, "j", json!(job("j", 2)));
            store.put(OWNERSHIPS, "j", json!(ownership));
            // Only lists the ownerships; the adoption of lost daemons' jobs does not run.
            executor.spawn(ownership_manager::refresh_ownerships(gateway.clone())).detach();
            let is_resumed = || {
                let job = gateway.jobs.get("j");
                job.is_some_and(|job| job.owner() == gateway.identity.node && job.is_running())
            };
            wait_until("the job runs on the restarted daemon", is_resumed).await;
        })
    });
}

#[test]
fn checkpoints_of_a_regained_job_use_unused_names() {
    with_store(|store, executor| {
        Box::pin(async move {
            let gateway = gateway("a", &store, &executor);
            let ownership = Ownership::new(&job("j", 1), gateway.identity.node.clone(), None);
            let job_here = gateway.jobs.upsert("j", ownership, 1);
            *job_here.specification.borrow_mut() = Some(Rc::new(job("j", 1)));
            for saved in 1..=2 {
                *job_here.texts.borrow_mut() = JobTexts::new(1);
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
                assert_eq!(written.objects.len(), saved, "each checkpoint has a new name");
            }
        })
    });
}

/// The handoff of a new job of one item.
fn handoff(ownership: Ownership, revision: u64) -> Handoff {
    let specification = Rc::new(job("j", 1));
    let initial_log = InitialLog::Empty;
    Handoff { ownership, revision, specification, initial_log, confirmed_at: None }
}

#[test]
fn an_earlier_hint_does_not_load_a_forwarded_job_from_the_store() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let ownership = Ownership::new(&job("j", 1), owner.identity.node.clone(), None);
            ownership_manager::apply_hint(&owner, "j", ownership.clone(), 7, true);
            smol::Timer::after(Duration::from_millis(50)).await;
            let reply = submission::run_here(&owner, handoff(ownership, 7), false);
            assert_eq!(reply, PeerReply::Running);
            smol::Timer::after(Duration::from_millis(50)).await;
            assert!(owner.jobs.get("j").is_some_and(|job| job.is_running()));
            assert!(
                store.object(&results_kind("j"), &chunk_name(0)).is_none(),
                "the log was not sealed"
            );
        })
    });
}

/// Guards against a daemon that gets a handoff late, when another daemon has taken the job over and
/// listed results, and answers readers from an empty log.
#[test]
fn an_owner_that_got_its_job_late_shows_the_results_of_its_successor() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            let ownership = Ownership::new(&job("j", 1), owner.identity.node.clone(), None);
            let adopted = Ownership { owner: node("b"), ..ownership.clone() };
            store.put(OWNERSHIPS, "j", json!(adopted));
            store.put(&results_kind("j"), &chunk_name(0), json!({ "results": [result("item-0")] }));
            let reply = submission::run_here(&owner, handoff(ownership, 0), false);
            assert_eq!(reply, PeerReply::Running);
            smol::Timer::after(Duration::from_millis(50)).await;
            let read = results_reader::results(&owner, "j", &Caller::AuthDisabled, 0, owner.now());
            assert_eq!(read.await.unwrap().results.len(), 1);
        })
    });
}

/// Guards against ended jobs that are removed from the store again and again, and kept in memory.
#[test]
fn an_expired_job_is_removed_once_and_forgotten() {
    with_store(|store, executor| {
        Box::pin(async move {
            let offset = Rc::new(Cell::new(Duration::ZERO));
            let (shared, system) = (offset.clone(), Clock::system());
            let clock = Clock::from_fn(move || system.now() + shared.get());
            let gateway = gateway_with_clock("a", &store, &executor, clock);
            let deadline = gateway.now() + SUBMIT_TIMEOUT;
            submission::submit(&gateway, job("j", 1), deadline).await.unwrap();
            submission::end(&gateway, "j", &Caller::AuthDisabled, deadline).await.unwrap();
            executor.spawn(expiry::run(gateway.clone())).detach();
            offset.set(gateway.tuning().result_retention + Duration::from_secs(1));
            wait_until("the job is forgotten", || gateway.jobs.get("j").is_none()).await;
            assert!(store.object(OWNERSHIPS, "j").is_none());
            assert!(store.object(SPECIFICATIONS, "j").is_none());
            let calls = store.calls.get();
            smol::Timer::after(Duration::from_millis(1200)).await;
            assert_eq!(store.calls.get(), calls, "calls for a removed job");
        })
    });
}

#[test]
fn a_hinted_owner_starts_a_job_that_is_never_forwarded() {
    with_store(|store, executor| {
        Box::pin(async move {
            let owner = gateway("a", &store, &executor);
            store.put(SPECIFICATIONS, "j", json!(job("j", 1)));
            let ownership = Ownership::new(&job("j", 1), owner.identity.node.clone(), None);
            ownership_manager::apply_hint(&owner, "j", ownership, 7, true);
            wait_until("the job runs", || owner.jobs.get("j").is_some_and(|j| j.is_running()))
                .await;
        })
    });
}
