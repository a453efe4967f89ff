//! Quarantine of requests that crash servers, and their records in the store.

mod support;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::placement::AttemptHistory;
use heronbend::quarantine::Crash;
use heronbend::quarantine::Limits;
use heronbend::quarantine::Refused;
use heronbend::quarantine::Report;
use heronbend::quarantine::SendMode;
use heronbend_gateway::attempt::AttemptFailure;
use heronbend_gateway::attempt::OutgoingRequest;
use heronbend_gateway::directory::Server;
use heronbend_gateway::directory::ServerState;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::ports::Condition;
use heronbend_gateway::ports::ObjectStore;
use heronbend_gateway::quarantine;
use heronbend_gateway::quarantine::crash_detection;
use heronbend_gateway::quarantine::gossip;
use heronbend_gateway::quarantine::record;
use heronbend_gateway::quarantine::AdmittedRequest;
use http::Method;
use http::StatusCode;
use smol::Timer;
use support::gateway;
use support::memory_store::MemoryStore;
use support::memory_store::WriteFault;
use support::run;
use support::wait_until;

/// An address on which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.local_addr().unwrap()
}

fn server(id: &str) -> Rc<Server> {
    Rc::new(Server {
        id: id.to_owned(),
        incarnation: Incarnation::default(),
        service: "app".to_owned(),
        address: dead_address(),
        zone: "z".to_owned(),
        slots: 1,
        state: ServerState::Ready,
        models: Default::default(),
        sequence: 0,
        is_revocable: false,
        cold_for: Duration::ZERO,
        revision: 1,
    })
}

fn outgoing() -> OutgoingRequest {
    OutgoingRequest {
        id: "r1".to_owned(),
        method: Method::POST,
        target: "/x".parse().unwrap(),
        headers: Default::default(),
        body: Default::default(),
        reservation: None,
        billing: None,
        is_owed: false,
        fingerprint: Default::default(),
    }
}

async fn admit(gateway: &Rc<Gateway>) -> Result<SendMode, Refused> {
    let fingerprint = || outgoing().fingerprint(gateway.dialect.headers());
    quarantine::admit(gateway, fingerprint).await.map(|admitted| admitted.mode())
}

/// Simulates the crash of `count` servers while they run the request.
fn crash_servers(gateway: &Rc<Gateway>, count: usize) {
    for number in 0..count {
        crash_detection::note_broken_connection(
            gateway,
            &server(&format!("s{number}")),
            &outgoing(),
            0,
        );
    }
}

/// Merges a report of another daemon that `servers` crashed while they ran the request.
fn merge_crash_reports(gateway: &Rc<Gateway>, servers: &[&str]) {
    let request = outgoing().fingerprint(gateway.dialect.headers());
    let crash = |server: &&str| Crash { server: (*server).to_owned(), is_excused: false };
    let endings = servers.iter().map(crash).collect();
    gossip::merge_reports(gateway, vec![Report { request, endings }]);
}

fn has_record(store: &MemoryStore, gateway: &Gateway) -> bool {
    let name = outgoing().fingerprint(gateway.dialect.headers()).to_string();
    store.object(record::KIND, &name).is_some()
}

/// Guards against the removal of a record whose watch event arrives before the response to its
/// write.
#[test]
fn a_record_is_kept_if_its_watch_event_precedes_the_write_response() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            executor.spawn(record::follow(gateway.clone())).detach();
            store.delay_responses(Duration::from_millis(400));
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            Timer::after(Duration::from_millis(900)).await;
            assert!(has_record(&store, &gateway));
            assert!(admit(&gateway).await.is_err());
        })
    });
}

#[test]
fn a_failed_record_write_is_retried() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Rejected, WriteFault::ResponseLost]);
            crash_servers(&gateway, 3);
            wait_until("the request is quarantined", || {
                gateway.metrics.requests_quarantined.get() == 1
            })
            .await;
            wait_until("the record is written", || has_record(&store, &gateway)).await;
        })
    });
}

#[test]
fn a_complete_response_releases_a_request_and_removes_its_record() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            executor.spawn(record::follow(gateway.clone())).detach();
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            quarantine::note_response(&gateway, &outgoing(), StatusCode::OK);
            assert_eq!(admit(&gateway).await, Ok(SendMode::Normal));
            wait_until("the record is removed", || !has_record(&store, &gateway)).await;
        })
    });
}

#[test]
fn two_crashes_do_not_quarantine_a_request() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            crash_servers(&gateway, 2);
            wait_until("both crashes are detected", || gateway.metrics.servers_crashed.get() == 2)
                .await;
            assert_eq!(admit(&gateway).await, Ok(SendMode::Isolated));
        })
    });
}

/// Guards against blaming requests for servers that run on while the store has lost their
/// registrations in an outage.
#[test]
fn an_unlisted_server_counts_as_crashed_only_if_it_accepts_no_connections() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
            let address = listener.local_addr().unwrap();
            let alive = Rc::new(Server { address, ..Rc::unwrap_or_clone(server("alive")) });
            let disconnect = |server| {
                crash_detection::disconnect_handler(&gateway, server, outgoing(), || false)();
                crash_detection::note_server_unlisted(&gateway, server);
            };
            disconnect(&alive);
            Timer::after(Duration::from_millis(900)).await;
            assert_eq!(admit(&gateway).await, Ok(SendMode::Normal));
            let gone = server("gone");
            disconnect(&gone);
            wait_until("the crash is detected", || gateway.metrics.servers_crashed.get() == 1)
                .await;
            assert_eq!(admit(&gateway).await, Ok(SendMode::Isolated));
            // A successor at the same address shows that the server is gone.
            gateway.directory.borrow_mut().insert(
                gateway.now(),
                Server { address, ..Rc::unwrap_or_clone(server("successor")) },
            );
            disconnect(&alive);
            wait_until("the crash is detected", || gateway.metrics.servers_crashed.get() == 2)
                .await;
        })
    });
}

/// Guards against a quarantine that is neither recorded nor announced because its crashes were
/// observed by different daemons.
#[test]
fn own_crashes_and_those_of_another_daemon_add_up() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            crash_servers(&gateway, 2);
            wait_until("both crashes are detected", || gateway.metrics.servers_crashed.get() == 2)
                .await;
            merge_crash_reports(&gateway, &["other"]);
            assert!(admit(&gateway).await.is_err());
            wait_until("the record is written", || has_record(&store, &gateway)).await;
        })
    });
}

/// Only daemons that observed a crash write the record, so that a fleet does not write all at once.
#[test]
fn a_daemon_that_observed_no_crash_writes_no_record() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            merge_crash_reports(&gateway, &["s0", "s1", "s2"]);
            assert!(admit(&gateway).await.is_err());
            Timer::after(Duration::from_millis(500)).await;
            assert!(!has_record(&store, &gateway));
        })
    });
}

/// Guards against the release of a request by a response that a failing or overloaded server sent
/// without running it.
#[test]
fn responses_without_execution_do_not_release_a_request() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            for status in [500, 503, 504, 429, 421, 408] {
                let status = StatusCode::from_u16(status).unwrap();
                quarantine::note_response(&gateway, &outgoing(), status);
                assert!(admit(&gateway).await.is_err(), "{status}");
            }
            // A client error shows that the server processed the request.
            quarantine::note_response(&gateway, &outgoing(), StatusCode::UNPROCESSABLE_ENTITY);
            assert_eq!(admit(&gateway).await, Ok(SendMode::Normal));
        })
    });
}

/// Number of granted probes that the record counts.
fn probe_count(store: &MemoryStore, gateway: &Gateway) -> Option<u64> {
    let name = outgoing().fingerprint(gateway.dialect.headers()).to_string();
    store.object(record::KIND, &name)?.content["probes"].as_u64()
}

/// Waits until the quarantined request is admitted as a probe.
async fn admit_probe(gateway: &Rc<Gateway>) -> AdmittedRequest {
    loop {
        match AdmittedRequest::admit(gateway, &outgoing()).await {
            Ok(admitted) => return admitted,
            Err(_) => Timer::after(Duration::from_millis(10)).await,
        };
    }
}

/// Guards against spending a probe on an attempt that no server ran, which prolongs the quarantine
/// of a sound request.
#[test]
fn a_probe_that_ran_nowhere_is_returned() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            let first_probe_delay = Duration::from_millis(100);
            gateway.quarantine.set_limits(Limits { first_probe_delay, ..Limits::default() });
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            for failure in [
                AttemptFailure::NotRun,
                AttemptFailure::Misdirected,
                AttemptFailure::NotSent,
                AttemptFailure::Held,
            ] {
                let mut admitted = admit_probe(&gateway).await;
                assert_eq!(probe_count(&store, &gateway), Some(1), "{failure:?}");
                admitted.note_start();
                admitted.note_attempt(Some(&failure));
                assert!(admitted.may_send(&gateway, &outgoing()), "{failure:?}");
                drop(admitted);
                wait_until("the probe is returned", || probe_count(&store, &gateway) == Some(0))
                    .await;
            }
            // No server was available.
            drop(admit_probe(&gateway).await);
            wait_until("the probe is returned", || probe_count(&store, &gateway) == Some(0)).await;
            // Its caller disconnects while a server may be running it.
            let mut admitted = admit_probe(&gateway).await;
            admitted.note_start();
            assert!(!admitted.may_send(&gateway, &outgoing()));
            drop(admitted);
            Timer::after(Duration::from_millis(300)).await;
            assert_eq!(probe_count(&store, &gateway), Some(1));
        })
    });
}

/// Guards against returning a probe that another daemon was granted since.
#[test]
fn a_returned_probe_does_not_change_a_newer_record() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            let first_probe_delay = Duration::from_millis(100);
            gateway.quarantine.set_limits(Limits { first_probe_delay, ..Limits::default() });
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            let admitted = admit_probe(&gateway).await;
            let name = outgoing().fingerprint(gateway.dialect.headers()).to_string();
            let record = store.object(record::KIND, &name).unwrap();
            let mut content = record.content.clone();
            content["probes"] = 2.into();
            store
                .replace(record::KIND, &name, content, Condition::At(record.revision))
                .await
                .unwrap();
            drop(admitted);
            Timer::after(Duration::from_millis(300)).await;
            assert_eq!(probe_count(&store, &gateway), Some(2));
        })
    });
}

/// Guards against holding crashes against the request of an accepted job, or refusing it for those
/// of an equal request of a caller.
#[test]
fn crashes_are_never_held_against_an_owed_request() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            let owed = OutgoingRequest { is_owed: true, ..outgoing() };
            for number in 0..4 {
                let server = server(&format!("s{number}"));
                crash_detection::note_broken_connection(&gateway, &server, &owed, 0);
                crash_detection::disconnect_handler(&gateway, &server, owed.clone(), || false)();
                crash_detection::note_server_gone(&gateway, &server.id);
            }
            assert_eq!(admit(&gateway).await, Ok(SendMode::Normal));
            crash_servers(&gateway, 3);
            wait_until("the record is written", || has_record(&store, &gateway)).await;
            assert!(admit(&gateway).await.is_err());
            let admitted = AdmittedRequest::admit(&gateway, &owed).await.ok().unwrap();
            assert!(admitted.may_send(&gateway, &owed));
            let mut history = AttemptHistory::default();
            admitted.set_isolation(&gateway, &owed, &mut history);
            assert_eq!(history, AttemptHistory::default());
        })
    });
}
