//! The queues of calls as the gateway keeps them: when waiting calls are woken, and what outlives a
//! limit.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::admission::call_queue::Refusal;
use heronbend::Moment;
use heronbend_gateway::admission_settings::AdmissionSettings;
use heronbend_gateway::admission_settings::LimitSource;
use heronbend_gateway::call_admission;
use heronbend_gateway::call_admission::AdmittedCall;
use heronbend_gateway::call_admission::CallRequest;
use heronbend_gateway::clock::Clock;
use heronbend_gateway::forward::retry_after;
use heronbend_gateway::gateway::Gateway;
use smol::LocalExecutor;
use smol::Task;
use support::gateway_with_clock;
use support::memory_store::MemoryStore;
use support::run;
use support::wait_until;

const STEP: Duration = Duration::from_millis(10);

/// A gateway whose service `app` has fewer slots than there are daemons.
struct Fixture {
    executor: Rc<LocalExecutor<'static>>,
    gateway: Rc<Gateway>,
    now: Rc<Cell<Moment>>,
}

impl Fixture {
    fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        let now = Rc::new(Cell::new(Moment::from_secs(10)));
        let clock = {
            let now = now.clone();
            Clock::from_fn(move || now.get())
        };
        let store = Rc::new(MemoryStore::default());
        let gateway = gateway_with_clock("a", &store, &executor, clock);
        gateway.set_admission_settings(Some(settings()));
        Self { executor, gateway, now }
    }

    fn advance(&self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// A call of a route of its own, with one second of its objective to wait.
    fn request(&self, id: &str, priority: u8) -> CallRequest {
        self.request_of(id, priority, Duration::from_secs(4), Duration::from_secs(8))
    }

    fn request_of(
        &self,
        route: &str,
        priority: u8,
        objective: Duration,
        remaining: Duration,
    ) -> CallRequest {
        CallRequest {
            id: route.to_owned(),
            route: route.to_owned(),
            tenant: None,
            priority,
            objective,
            remaining,
            deadline: self.now.get() + remaining,
        }
    }

    async fn admit(&self, request: &CallRequest) -> Result<AdmittedCall, Refusal> {
        call_admission::admit(&self.gateway, "app", request).await
    }

    fn spawn(&self, request: CallRequest) -> Task<Result<AdmittedCall, Refusal>> {
        let gateway = self.gateway.clone();
        self.executor.spawn(async move { call_admission::admit(&gateway, "app", &request).await })
    }

    /// Starts the limit by a call that finds all servers full.
    async fn start_limit(&self) {
        let first = self.admit(&self.request("first", 2)).await.expect("admitted");
        self.advance(Duration::from_millis(1100));
        let refusal = first.refuse_found_full().expect("a refusal");
        assert!(refusal.rate.is_some());
    }

    fn exports(&self, line: &str) -> bool {
        self.gateway.metrics.encode().lines().any(|exported| exported.starts_with(line))
    }
}

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        limit: LimitSource::Learned,
        tenant_weights: BTreeMap::new(),
        route_weights: BTreeMap::new(),
    }
}

#[test]
fn the_gauge_of_waiting_calls_counts_each_priority_by_itself() {
    run(|executor| {
        async move {
            let fixture = Fixture::new(executor);
            fixture.start_limit().await;
            let waits = |priority: u8, count: usize| {
                let line = format!("heronbend_calls_waiting{{priority=\"{priority}\"}} {count}");
                fixture.exports(&line)
            };
            // One token is missing at 0.5 a second; the longest wait is a quarter of the objective.
            let request = |id: &str, priority| {
                let objective = Duration::from_secs(100);
                fixture.request_of(id, priority, objective, 2 * objective)
            };
            let less_urgent = fixture.spawn(request("less urgent", 2));
            let urgent = fixture.spawn(request("urgent", 0));
            wait_until("both wait", || waits(0, 1) && waits(2, 1)).await;
            less_urgent.cancel().await;
            assert!(waits(0, 1) && waits(2, 0));
            urgent.cancel().await;
            assert!(waits(0, 0) && waits(2, 0));
        }
        .boxed_local()
    });
}

#[test]
fn a_call_ahead_of_all_others_is_not_held_until_the_next_of_them_is_due() {
    run(|executor| {
        async move {
            let fixture = Fixture::new(executor);
            fixture.start_limit().await;
            let long = Duration::from_secs(1000);
            let refused = fixture.request_of("first", 2, Duration::from_millis(1), long);
            assert!(fixture.admit(&refused).await.is_err());
            // A late call needs all tokens of the bucket, which takes ten seconds.
            let first_attempt = fixture.request_of("old", 2, Duration::from_millis(1), 2 * long);
            assert!(fixture.admit(&first_attempt).await.is_err());
            let late = fixture.spawn(fixture.request_of("old", 2, long, long));
            wait_until("it waits", || fixture.exports("heronbend_calls_waiting")).await;
            fixture.advance(Duration::from_millis(1900));
            let request = fixture.request("new", 2);
            let objective = request.objective;
            let call = fixture.spawn(request);
            while !call.is_finished() {
                smol::Timer::after(STEP).await;
                fixture.advance(STEP);
            }
            let admitted = call.await.expect("admitted");
            assert!(admitted.waited <= objective / 4, "{:?}", admitted.waited);
            drop(late);
        }
        .boxed_local()
    });
}

#[test]
fn callers_are_told_delays_of_less_than_a_tenth_of_a_second_apart() {
    let told = |millis| retry_after(Duration::from_millis(millis));
    assert_eq!(told(37), "0.037");
    assert_eq!(told(47), "0.047");
    assert_eq!(told(400), "0.4");
    assert_eq!(told(1000), "1.0");
}

#[test]
fn no_limit_is_left_when_calls_are_no_longer_limited() {
    run(|executor| {
        async move {
            let fixture = Fixture::new(executor);
            fixture.start_limit().await;
            assert!(fixture.exports("heronbend_admission_rate_calls_per_second{"));
            fixture.gateway.set_admission_settings(None);
            assert!(fixture.admit(&fixture.request("unlimited", 2)).await.is_ok());
            assert!(!fixture.exports("heronbend_admission_rate_calls_per_second{"));
            fixture.gateway.set_admission_settings(Some(settings()));
            for _ in 0..20 {
                let call = fixture.request_of("again", 2, STEP, Duration::from_secs(8));
                assert!(fixture.admit(&call).await.is_ok());
            }
        }
        .boxed_local()
    });
}
