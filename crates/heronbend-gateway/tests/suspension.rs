//! A machine that is suspended for seconds: the steady clock stood still meanwhile, so that what a
//! daemon had been told looked younger than it was, and waits went on for what was left of them.

mod support;

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use futures_lite::FutureExt;
use heronbend::identity::Incarnation;
use heronbend::Moment;
use heronbend_gateway::attempt::OutgoingRequest;
use heronbend_gateway::clock::Clock;
use heronbend_gateway::directory::Server;
use heronbend_gateway::directory::ServerState;
use heronbend_gateway::forward::forward;
use heronbend_gateway::forward::ForwardError;
use heronbend_gateway::forward::RequestLimits;
use heronbend_gateway::ports::ObjectStore;
use http::Method;
use smol::Timer;
use support::gateway_with_clock;
use support::memory_store::MemoryStore;
use support::run;

const SECOND: Duration = Duration::from_secs(1);

/// A clock that the test moves on.
#[derive(Clone, Default)]
struct Time(Rc<Cell<Moment>>);

impl Time {
    fn clock(&self) -> Clock {
        let now = self.0.clone();
        Clock::from_fn(move || now.get())
    }

    fn pass(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}

#[test]
fn what_the_store_said_before_a_suspension_is_old_after_it() {
    run(|executor| {
        Box::pin(async move {
            let (time, store) = (Time::default(), Rc::new(MemoryStore::default()));
            time.pass(SECOND);
            let gateway = gateway_with_clock("a", &store, &executor, time.clock());
            gateway.store.list("things", None).await.unwrap();
            assert_eq!(gateway.store.since_last_response(), Duration::ZERO);
            time.pass(5 * SECOND);
            assert_eq!(gateway.store.since_last_response(), 5 * SECOND);
        })
    });
}

/// A server that takes connections and answers nothing.
fn mute_server(listener: &TcpListener) -> Server {
    Server {
        id: "mute".to_owned(),
        incarnation: Incarnation::default(),
        service: "app".to_owned(),
        address: listener.local_addr().unwrap(),
        zone: "z".to_owned(),
        slots: 1,
        state: ServerState::Ready,
        models: Default::default(),
        sequence: 0,
        is_revocable: false,
        cold_for: Duration::ZERO,
        revision: 1,
    }
}

#[test]
fn a_request_whose_time_ran_out_in_a_suspension_ends_when_the_machine_goes_on() {
    run(|executor| {
        Box::pin(async move {
            let (time, store) = (Time::default(), Rc::new(MemoryStore::default()));
            time.pass(SECOND);
            let gateway = gateway_with_clock("a", &store, &executor, time.clock());
            let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
            gateway.directory.borrow_mut().insert(gateway.now(), mute_server(&listener));
            let outgoing = OutgoingRequest {
                id: "r1".to_owned(),
                method: Method::POST,
                target: "/x".parse().unwrap(),
                headers: Default::default(),
                body: Default::default(),
                reservation: None,
                billing: None,
                fingerprint: Default::default(),
            };
            let limits = RequestLimits {
                deadline: gateway.now() + 600 * SECOND,
                is_idempotent: false,
                max_attempts: 1,
                target_latency: SECOND,
                allowed_regions: None,
            };
            let asked = gateway.clone();
            let answer = executor.spawn(async move {
                let waited_in_vain = async {
                    Timer::after(20 * SECOND).await;
                    panic!("it waits on");
                };
                forward(&asked, "app", outgoing, limits).or(waited_in_vain).await
            });
            support::wait_until("it is sent", || gateway.metrics.attempts.get() == 1).await;
            time.pass(601 * SECOND);
            gateway.resumed.notify(usize::MAX);
            assert_matches!(answer.await, Err(ForwardError::TimedOut));
        })
    });
}
