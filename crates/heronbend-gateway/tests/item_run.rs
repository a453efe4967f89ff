//! Ends of items of batch jobs that no server has decided.

mod support;

use std::rc::Rc;
use std::time::Duration;

use heronbend_gateway::batch::item_run;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::result_log::ItemState;
use heronbend_gateway::configuration::ClientLimits;
use heronbend_gateway::configuration::Configuration;
use heronbend_gateway::gateway::Gateway;
use smol::Timer;
use support::gateway_with_clock;
use support::job;
use support::memory_store::MemoryStore;
use support::run;
use support::wait_until;
use support::TestClock;

/// Several times the time after which a missing route counts as removed.
const LONG: Duration = Duration::from_secs(60);

/// A configuration without routes.
fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: Vec::new(),
        services: Default::default(),
        limits: ClientLimits::default(),
        access: None,
        tenant_homes: Default::default(),
        findings: Vec::new(),
    }
}

fn adopt(gateway: &Gateway, version: u64) {
    *gateway.configuration.borrow_mut() = Some(Rc::new(configuration(version)));
}

/// Guards against terminating items because the owner's configuration is older than the one under
/// which the job was accepted.
#[test]
fn a_daemon_that_is_behind_does_not_take_a_route_for_removed() {
    run(|executor| {
        Box::pin(async move {
            let (time, store) = (TestClock::default(), Rc::new(MemoryStore::default()));
            time.advance(LONG);
            let gateway = gateway_with_clock("a", &store, &executor, time.clock());
            adopt(&gateway, 4);
            let mut specification = job("j", 1);
            specification.configuration = 5;
            let ownership = Ownership::new(&specification, gateway.identity.node.clone(), None);
            let job = gateway.jobs.upsert("j", ownership, 1);
            let running = gateway.clone();
            let item = executor.spawn(async move {
                let item = &specification.items[0];
                item_run::run(&running, &job, &specification, item, Rc::default()).await
            });
            for _ in 0..3 {
                Timer::after(Duration::from_millis(200)).await;
                time.advance(LONG);
            }
            assert!(!item.is_finished());
            adopt(&gateway, 5);
            Timer::after(Duration::from_millis(200)).await;
            assert!(!item.is_finished());
            time.advance(LONG);
            wait_until("the item is terminated", || item.is_finished()).await;
            assert_eq!(item.await.state, ItemState::Terminated);
        })
    });
}
