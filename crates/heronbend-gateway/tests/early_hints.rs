//! Hints of daemons that start together, before they know each other.

mod support;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::peers::membership::run_membership;
use heronbend_gateway::peers::Hint;
use smol::LocalExecutor;
use support::memory_store::MemoryStore;
use support::node;
use support::run;
use support::wait_until;

/// Starts the membership of a daemon; returns its address for peers.
fn start(executor: &Rc<LocalExecutor<'static>>, gateway: &Rc<Gateway>) -> SocketAddr {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("bind a free port");
    let address = socket.local_addr().expect("bound address");
    let socket = smol::Async::new(socket).expect("an asynchronous socket");
    let id = gateway.identity.node.clone();
    let local = Member { address, ..support::member(id, Liveness::Alive) };
    executor.spawn(run_membership(gateway.clone(), socket.into(), local)).detach();
    address
}

/// Guards against a hint that is lost because nobody was known when it was broadcast.
#[test]
fn a_hint_reaches_daemons_that_become_known_after_it_was_broadcast() {
    run(|executor| {
        Box::pin(async move {
            let store = Rc::new(MemoryStore::default());
            let first = support::gateway("first", &store, &executor);
            let second = support::gateway("second", &store, &executor);
            let address = start(&executor, &first);
            let ownership = Ownership::new(&support::job("early", 2), node("first"), None);
            let job = "early".to_owned();
            first.members.broadcast(Hint::JobOwned { job, ownership, revision: 7, is_new: false });
            // The hint is sent before the daemons know each other.
            smol::Timer::after(Duration::from_millis(100)).await;
            second.seeds.borrow_mut().push(address);
            start(&executor, &second);
            wait_until("the daemons know each other", || {
                first.members.alive_count() == 1 && second.members.alive_count() == 1
            })
            .await;
            wait_until("the hint has arrived", || second.jobs.get("early").is_some()).await;
        })
    });
}
