//! Test fixtures, and implementations of the ports: an in-memory store and a JSON dialect.
#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod json_dialect;
pub mod memory_store;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::{Incarnation, NodeId, NodeName};
use heronbend::membership::{Liveness, Member};
use heronbend::quarantine::Limits;
use heronbend::Moment;
use heronbend_gateway::batch::{Item, ItemResult, ItemState, JobSpecification, TrainerStep};
use heronbend_gateway::clock::Clock;
use heronbend_gateway::configuration::{Destination, Route, RouteKind};
use heronbend_gateway::directory::{Server, ServerState};
use heronbend_gateway::gateway::{Gateway, Identity, Tuning};
use heronbend_gateway::permits::ColdStartMargin;
use heronbend_gateway::ports::Ports;
use smol::LocalExecutor;

use self::json_dialect::JsonDialect;
use self::memory_store::MemoryStore;

/// A route to the service `app`.
pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(200),
        max_attempts: 2,
        priority: 0,
        is_public: false,
        destinations: vec![Destination { service: "app".to_owned(), weight: 1 }],
        resumable: false,
        single_version: false,
        result_deadline: None,
        max_queue: None,
        homes: None,
    }
}

/// A ready server on an address that is not expected to be reached.
pub fn server(id: &str, service: &str) -> Server {
    Server {
        id: id.to_owned(),
        incarnation: Incarnation::default(),
        service: service.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        models: Rc::default(),
        sequence: 0,
        is_revocable: false,
        cold_for: Duration::ZERO,
        revision: 0,
    }
}

pub fn node(name: &str) -> NodeId {
    NodeId { name: NodeName(name.to_owned()), incarnation: Incarnation(1) }
}

pub fn member(id: NodeId, liveness: Liveness) -> Member {
    Member {
        id,
        address: "127.0.0.1:9".parse().expect("an address"),
        http_address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        processor_millis: 0,
        refutation: 0,
        liveness,
        is_draining: false,
    }
}

pub fn result(item: &str) -> ItemResult {
    ItemResult {
        item: item.to_owned(),
        state: ItemState::Done,
        text: format!("text of {item}"),
        versions: vec![3],
        score: None,
    }
}

/// A batch item of at most 500 tokens.
pub fn item(id: &str, expected_tokens: Option<u64>) -> Item {
    Item {
        id: id.to_owned(),
        path: "/x/1".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        tokens: 500,
        expected_tokens,
        group: None,
        reward: None,
    }
}

/// A job with items named `item-0`, `item-1` and so on.
pub fn job(id: &str, items: usize) -> JobSpecification {
    JobSpecification {
        id: id.to_owned(),
        host: "a.example".to_owned(),
        path: "/x/".to_owned(),
        items: (0..items).map(|number| item(&format!("item-{number}"), None)).collect(),
        step: Some(TrainerStep {
            number: 0,
            model: "m".to_owned(),
            min_version: 1,
            desired_groups: 1,
        }),
        tenant: None,
        configuration: 0,
    }
}

pub const TUNING: Tuning = Tuning {
    max_buffered_bytes: 64_000_000,
    max_response_bytes: 64_000_000,
    unread_timeout: None,
    lease_pause: Duration::from_secs(3),
    result_retention: Duration::from_secs(120),
    max_object_bytes: 1 << 20,
    stop_limit: Duration::from_secs(8),
    drain_notice: Duration::from_secs(2),
    configuration_notice: Duration::from_secs(2),
    usage: None,
    max_configuration_age: None,
    scaling_enabled: false,
    processor_millis: 0,
    evacuation_notice: None,
    cold_margin: ColdStartMargin { overshoot: 1.0, slack: 0.0 },
    quarantine: Limits {
        crash_threshold: 3,
        first_probe_delay: Duration::from_secs(5),
        retention: Duration::from_secs(900),
    },
    by_slack: false,
};

/// Creates a gateway on `store`, which several gateways may share.
pub fn gateway(
    name: &str,
    store: &Rc<MemoryStore>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Rc<Gateway> {
    let identity = Identity { node: node(name), zone: "z".to_owned(), region: "r".to_owned() };
    let dialect = Rc::new(JsonDialect::default());
    let ports = Ports { store: store.clone(), dialect, provider: None };
    Gateway::new(identity, ports, executor.clone(), TUNING)
}

/// Like [`gateway`], but with a given clock.
pub fn gateway_with_clock(
    name: &str,
    store: &Rc<MemoryStore>,
    executor: &Rc<LocalExecutor<'static>>,
    clock: Clock,
) -> Rc<Gateway> {
    let identity = Identity { node: node(name), zone: "z".to_owned(), region: "r".to_owned() };
    let dialect = Rc::new(JsonDialect::default());
    let ports = Ports { store: store.clone(), dialect, provider: None };
    Gateway::with_clock(identity, ports, executor.clone(), TUNING, clock)
}

/// Runs a test to completion on a local executor.
pub fn run<T>(
    test: impl FnOnce(Rc<LocalExecutor<'static>>) -> futures_lite::future::BoxedLocal<T>,
) -> T {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())))
}

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics with `what` if the condition does not hold within 30 s.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..3000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {what}");
}

/// A clock that the test advances.
#[derive(Clone, Default)]
pub struct TestClock(Rc<Cell<Moment>>);

impl TestClock {
    /// The clock as given to a gateway.
    pub fn clock(&self) -> Clock {
        let now = self.0.clone();
        Clock::from_fn(move || now.get())
    }

    /// Advances the clock.
    pub fn advance(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}
