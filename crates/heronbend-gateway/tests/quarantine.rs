//! Requests that end their servers, as one daemon records them at the store.

mod support;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::quarantine::Crash;
use heronbend::quarantine::Report;
use heronbend_gateway::directory::Server;
use heronbend_gateway::directory::ServerState;
use heronbend_gateway::exchange::Outgoing;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::quarantine;
use heronbend_gateway::quarantine::evidence;
use heronbend_gateway::quarantine::news;
use heronbend_gateway::quarantine::record;
use heronbend_gateway::quarantine::Pass;
use heronbend_gateway::quarantine::Refused;
use http::Method;
use http::StatusCode;
use smol::Timer;
use support::gateway;
use support::memory_store::MemoryStore;
use support::memory_store::WriteFault;
use support::run;
use support::wait_until;

/// An address at which nothing listens.
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

fn outgoing() -> Outgoing {
    Outgoing {
        id: "r1".to_owned(),
        method: Method::POST,
        target: "/x".parse().unwrap(),
        headers: Default::default(),
        body: Default::default(),
        hold: None,
        billing: None,
        fingerprint: Default::default(),
    }
}

async fn admit(gateway: &Rc<Gateway>) -> Result<Pass, Refused> {
    let fingerprint = || outgoing().fingerprint(gateway.dialect.headers());
    quarantine::admit(gateway, fingerprint).await
}

/// Servers end under a request.
fn end_servers(gateway: &Rc<Gateway>, count: usize) {
    for number in 0..count {
        evidence::note_break(gateway, &server(&format!("s{number}")), &outgoing(), 0);
    }
}

/// Another daemon tells that servers ended under the request.
fn learn_endings(gateway: &Rc<Gateway>, servers: &[&str]) {
    let request = outgoing().fingerprint(gateway.dialect.headers());
    let ending = |server: &&str| Crash { server: (*server).to_owned(), is_excused: false };
    let endings = servers.iter().map(ending).collect();
    news::learn(gateway, vec![Report { request, endings }]);
}

fn record_of(store: &MemoryStore, gateway: &Gateway) -> bool {
    let name = outgoing().fingerprint(gateway.dialect.headers()).to_string();
    store.object(record::KIND, &name).is_some()
}

/// The watch told of the record before the answer to its writing came, and the daemon took its own
/// record for one that is no longer wanted and removed it: the log showed `request_released` half a
/// second after `quarantine_recorded`, and the request went to servers again.
#[test]
fn a_record_that_the_watch_tells_of_before_its_writing_is_answered_stays() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            executor.spawn(record::follow(gateway.clone())).detach();
            store.delay_answers(Duration::from_millis(400));
            end_servers(&gateway, 3);
            wait_until("it is recorded", || record_of(&store, &gateway)).await;
            Timer::after(Duration::from_millis(900)).await;
            assert!(record_of(&store, &gateway));
            assert!(admit(&gateway).await.is_err());
        })
    });
}

#[test]
fn a_record_is_written_however_often_the_store_fails() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            store.fail_writes(&[WriteFault::Refused, WriteFault::AnswerLost]);
            end_servers(&gateway, 3);
            wait_until("it is refused", || gateway.metrics.requests_quarantined.get() == 1).await;
            wait_until("it is recorded", || record_of(&store, &gateway)).await;
        })
    });
}

#[test]
fn a_whole_answer_clears_a_request_and_removes_its_record() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            executor.spawn(record::follow(gateway.clone())).detach();
            end_servers(&gateway, 3);
            wait_until("it is recorded", || record_of(&store, &gateway)).await;
            quarantine::note_answer(&gateway, &outgoing(), StatusCode::OK);
            assert_eq!(admit(&gateway).await, Ok(Pass::Free));
            wait_until("its record is gone", || !record_of(&store, &gateway)).await;
        })
    });
}

#[test]
fn two_endings_do_not_quarantine_a_request() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            end_servers(&gateway, 2);
            wait_until("both are found gone", || gateway.metrics.servers_ended.get() == 2).await;
            assert_eq!(admit(&gateway).await, Ok(Pass::Alone));
        })
    });
}

/// A daemon that had seen two endings was told of two others by one that had never heard of the first:
/// it alone knew all four, told nobody, and the request ended two more servers at the others in the 1.5 s
/// until one of them had seen three.
#[test]
fn a_daemon_whose_own_endings_complete_those_of_another_records_the_request() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            end_servers(&gateway, 2);
            wait_until("both are found gone", || gateway.metrics.servers_ended.get() == 2).await;
            learn_endings(&gateway, &["other"]);
            assert!(admit(&gateway).await.is_err());
            wait_until("it is recorded", || record_of(&store, &gateway)).await;
        })
    });
}

/// Whoever saw none of the endings leaves that to those who did: a fleet would write at once.
#[test]
fn a_daemon_that_saw_no_ending_records_nothing() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            learn_endings(&gateway, &["s0", "s1", "s2"]);
            assert!(admit(&gateway).await.is_err());
            Timer::after(Duration::from_millis(500)).await;
            assert!(!record_of(&store, &gateway));
        })
    });
}

/// A server that fails at all it gets, or that sheds load, answers without having run the request: such
/// an answer to one that had ended three servers let it end three more.
#[test]
fn an_answer_that_does_not_show_that_the_request_was_run_clears_nothing() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let gateway = gateway("a", &store, &executor);
            end_servers(&gateway, 3);
            wait_until("it is recorded", || record_of(&store, &gateway)).await;
            for status in [500, 503, 504, 429, 421, 408] {
                let status = StatusCode::from_u16(status).unwrap();
                quarantine::note_answer(&gateway, &outgoing(), status);
                assert!(admit(&gateway).await.is_err(), "{status}");
            }
            // An error of the request's own does.
            quarantine::note_answer(&gateway, &outgoing(), StatusCode::UNPROCESSABLE_ENTITY);
            assert_eq!(admit(&gateway).await, Ok(Pass::Free));
        })
    });
}
