//! Updates of the store while upstream peers do not answer.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend_gateway::gateway::Gateway;
use heronbend_gateway::ports::Dialect;
use heronbend_gateway::ports::Object;
use heronbend_gateway::ports::ObjectStore;
use heronbend_gateway::reflector;
use heronbend_gateway::reflector::ObjectHandler;
use heronbend_gateway::reflector::Source;
use serde_json::json;
use smol::LocalExecutor;
use support::json_dialect::JsonDialect;
use support::memory_store::MemoryStore;
use support::memory_store::WatchFault;
use support::run;
use support::wait_until;

/// A peer that takes connections and never answers.
struct SilentPeer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl SilentPeer {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind a free port");
        let address = listener.local_addr().expect("bound address");
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = connections.clone();
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for stream in listener.incoming().flatten() {
                open.push(stream);
                counted.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self { address, connections }
    }

    fn was_called(&self) -> bool {
        self.connections.load(Ordering::Relaxed) > 0
    }

    /// The peer as a member with more processor time than the tested daemon, so that it is chosen
    /// as a root of its zone.
    fn member(&self, name: &str, zone: &str) -> Member {
        Member {
            address: self.address,
            zone: zone.to_owned(),
            processor_millis: 500,
            ..support::member(support::node(name), Liveness::Alive)
        }
    }
}

/// Known objects. Each has the number of connections that the root of another zone had taken when
/// it arrived.
#[derive(Clone)]
struct Known {
    objects: Rc<RefCell<BTreeMap<String, usize>>>,
    far_connections: Arc<AtomicUsize>,
}

impl Known {
    fn contains(&self, name: &str) -> bool {
        self.objects.borrow().contains_key(name)
    }
}

impl ObjectHandler for Known {
    fn retain(&self, names: &BTreeSet<String>) {
        self.objects.borrow_mut().retain(|name, _| names.contains(name));
    }

    fn upsert(&self, object: &Object) {
        let connections = self.far_connections.load(Ordering::Relaxed);
        self.objects.borrow_mut().insert(object.name.clone(), connections);
    }

    fn remove(&self, name: &str) {
        self.objects.borrow_mut().remove(name);
    }
}

/// A daemon that follows two silent roots of its zone. The root of another zone is silent as well.
struct Follower {
    gateway: Rc<Gateway>,
    store: Rc<MemoryStore>,
    known: Known,
    kind: &'static str,
    roots: [SilentPeer; 2],
    far_root: SilentPeer,
}

impl Follower {
    async fn start(executor: &Rc<LocalExecutor<'static>>, kind: &'static str) -> Self {
        let store = Rc::new(MemoryStore::default());
        store.put(kind, "listed", json!({}));
        let gateway = support::gateway("follower", &store, executor);
        let far_root = SilentPeer::start();
        let far_connections = far_root.connections.clone();
        let follower = Self {
            gateway: gateway.clone(),
            store,
            known: Known { objects: Rc::default(), far_connections },
            kind,
            roots: [SilentPeer::start(), SilentPeer::start()],
            far_root,
        };
        let handler = follower.known.clone();
        let reflecting = reflector::run(gateway, kind, Source::Peers, Duration::ZERO, handler);
        executor.spawn(reflecting).detach();
        wait_until("the store is listed", || follower.known.contains("listed")).await;
        follower.publish_members();
        // Ends the watch of the store; the next one goes to the peers.
        follower.store.put(kind, "watched", json!({}));
        wait_until("a root is polled", || follower.roots.iter().any(SilentPeer::was_called)).await;
        assert!(follower.known.contains("watched"));
        follower
    }

    fn publish_members(&self) {
        let other = support::member(support::node("other"), Liveness::Alive);
        let [first, second] = &self.roots;
        self.gateway.members.publish(vec![
            first.member("root-1", "z"),
            second.member("root-2", "z"),
            self.far_root.member("far-root", "far"),
            other,
        ]);
    }

    /// Waits until a new object is known. Another daemon that does not answer must not be asked
    /// before the store.
    async fn expect_update(&self) {
        self.store.put(self.kind, "new", json!({}));
        wait_until("the new object is known", || self.known.contains("new")).await;
        assert_eq!(
            self.known.objects.borrow()["new"],
            0,
            "the far root was asked before the store"
        );
    }
}

/// Guards against updates of servers that wait for one silent peer after another.
#[test]
fn changes_of_servers_are_read_from_the_store_while_peers_are_silent() {
    run(|executor| {
        Box::pin(async move {
            let kind = JsonDialect::default().kinds().servers;
            Follower::start(&executor, kind).await.expect_update().await;
        })
    });
}

/// Guards against a configuration that waits for one silent peer after another.
#[test]
fn a_configuration_is_read_from_the_store_while_peers_are_silent() {
    run(|executor| {
        Box::pin(async move {
            let kind = JsonDialect::default().kinds().configuration;
            Follower::start(&executor, kind).await.expect_update().await;
        })
    });
}

/// Guards against a list that waits for one silent peer after another.
#[test]
fn a_list_is_read_from_the_store_while_peers_are_silent() {
    run(|executor| {
        Box::pin(async move {
            let kind = JsonDialect::default().kinds().servers;
            let follower = Follower::start(&executor, kind).await;
            follower.gateway.restart_watches.notify(usize::MAX);
            follower.expect_update().await;
        })
    });
}

/// Guards against calls to a store that the daemon cannot reach.
#[test]
fn an_unreachable_store_is_not_called_while_peers_are_silent() {
    run(|executor| {
        Box::pin(async move {
            let kind = JsonDialect::default().kinds().servers;
            let follower = Follower::start(&executor, kind).await;
            follower.store.set_down(true);
            // The first failure shows that the store is out of reach.
            follower.gateway.store.probe().await.expect_err("the store is down");
            let before = follower.store.calls.get();
            wait_until("the root of another zone is asked", || follower.far_root.was_called())
                .await;
            assert_eq!(follower.store.calls.get(), before);
        })
    });
}

/// Guards against a daemon that waits for the store alone once its peers have failed, although the
/// store does not answer it either.
#[test]
fn other_peers_are_asked_if_the_store_is_silent_as_well() {
    run(|executor| {
        Box::pin(async move {
            let kind = JsonDialect::default().kinds().servers;
            let follower = Follower::start(&executor, kind).await;
            follower.store.fail_watches(&[WatchFault::Hanging; 8]);
            wait_until("the root of another zone is asked", || follower.far_root.was_called())
                .await;
        })
    });
}
