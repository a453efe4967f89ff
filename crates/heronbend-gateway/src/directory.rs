//! Directory of the registered servers, with their placement state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::placement::Assignment;
use heronbend::placement::AttemptHistory;
use heronbend::placement::Decision;
use heronbend::placement::Placer;
use heronbend::placement::Registration;
use heronbend::placement::Requirements;
use heronbend::placement::ServerKey;
use heronbend::placement::WaitState;
use heronbend::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::http::client::ConnectionPool;
use crate::interner::Interner;

/// State that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Shutting down; gets no new requests.
    Draining,
}

/// Registration of one run of a server process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server, which is kept across restarts.
    pub id: String,
    /// Incarnation of the process; zero if servers don't report it.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Service that the server belongs to.
    pub service: String,
    /// Listening address; may be reused by another server later.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// State that the server reports.
    pub state: ServerState,
    /// Loaded models with the versions of their weights; equal maps are shared between servers.
    pub models: Rc<BTreeMap<String, u64>>,
    /// Number of commands that the server has accepted since its start.
    pub sequence: u64,
    /// Whether the instance is revocable.
    #[serde(default)]
    pub is_revocable: bool,
    /// Remaining cold start time, as of the registration.
    #[serde(default)]
    pub cold_for: Duration,
    /// Store revision of the registration.
    #[serde(default)]
    pub revision: u64,
}

/// Incarnation of a registration relative to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOrder {
    /// The same incarnation, or the server was unknown.
    Same,
    /// A newer incarnation: the server has restarted.
    Newer,
    /// An older incarnation, which has exited.
    Older,
}

/// All registered servers and the placer.
pub struct Directory {
    servers: BTreeMap<String, Rc<Server>>,
    /// Servers that the placer may still choose, including some that are no longer registered.
    by_key: HashMap<ServerKey, Rc<Server>>,
    /// Loaded models of the servers; most servers of a fleet hold the same.
    models: Interner<BTreeMap<String, u64>>,
    /// Placement state machine.
    pub placer: Placer,
}

impl Directory {
    /// Creates an empty directory; `seed` breaks ties between equally ranked servers.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: BTreeMap::new(),
            by_key: HashMap::new(),
            models: Interner::default(),
            placer: Placer::new(seed),
        }
    }

    /// Compares the incarnation of a registration with the known one.
    pub fn compare_run(&self, server: &Server) -> RunOrder {
        match self.servers.get(&server.id).map(|known| known.incarnation) {
            Some(known) if known > server.incarnation => RunOrder::Older,
            Some(known) if known < server.incarnation => RunOrder::Newer,
            _ => RunOrder::Same,
        }
    }

    /// Adds or updates a server and returns how its incarnation compares with the known one. A
    /// registration of an older incarnation is ignored.
    pub fn insert(&mut self, now: Moment, mut server: Server) -> RunOrder {
        let order = self.compare_run(&server);
        if order == RunOrder::Older {
            return order;
        }
        let placer = &mut self.placer;
        let versions = server.models.iter().map(|(model, version)| (placer.model(model), *version));
        let registration = Registration {
            versions: versions.collect(),
            service: placer.service(&server.service),
            zone: placer.zone(&server.zone),
            slots: server.slots,
            is_draining: server.state == ServerState::Draining,
            cold_for: server.cold_for,
            incarnation: server.incarnation,
            revision: server.revision,
        };
        let known = placer.key(&server.id);
        let key = placer.register(now, &server.id, registration);
        if let Some(previous) = known.filter(|known| *known != key) {
            self.by_key.remove(&previous);
        }
        server.models = self.models.intern(server.models);
        let server = Rc::new(server);
        self.by_key.insert(key, server.clone());
        self.servers.insert(server.id.clone(), server);
        order
    }

    /// Removes a server whose registration was deleted.
    pub fn remove(&mut self, now: Moment, id: &str) {
        if self.servers.remove(id).is_some() {
            for removed_key in self.placer.deregister(now, id) {
                self.by_key.remove(&removed_key);
            }
        }
    }

    /// Removes all servers that are not in `names`.
    pub fn retain(&mut self, now: Moment, names: &BTreeSet<String>) {
        let gone: Vec<String> =
            self.servers.keys().filter(|id| !names.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// Returns a registered server.
    pub fn get(&self, id: &str) -> Option<&Rc<Server>> {
        self.servers.get(id)
    }

    /// Returns the server that the placer chose.
    pub fn by_key(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.by_key.get(&key).cloned()
    }

    /// Assigns a free slot to the batch item that needs it most. A running item moves only if that
    /// saves at least `min_gain`.
    pub fn next_assignment(
        &mut self,
        now: Moment,
        min_gain: Duration,
        pool: &ConnectionPool,
    ) -> Option<Assignment> {
        self.placer.next_assignment(now, min_gain, is_connected(&self.by_key, pool))
    }

    /// Decides how a call is placed.
    pub fn place_call(
        &mut self,
        now: Moment,
        pool: &ConnectionPool,
        parts: &[Requirements],
        history: &AttemptHistory,
        wait: &WaitState,
    ) -> Decision {
        self.placer.place_split_call(now, parts, history, wait, is_connected(&self.by_key, pool))
    }

    /// Whether a service has at least `count` ready servers whose processes are not known to have
    /// exited.
    pub fn has_usable_servers(&self, now: Moment, service: &str, count: usize) -> bool {
        let is_usable = |server: &&Rc<Server>| {
            server.service == service
                && server.state == ServerState::Ready
                && !self.placer.has_exited(now, &server.id)
        };
        self.all().filter(is_usable).take(count).count() == count
    }

    /// Whether any server is registered at an address.
    pub fn is_address_registered(&self, address: SocketAddr) -> bool {
        self.all().any(|server| server.address == address)
    }

    /// All registered servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values()
    }
}

/// Returns a predicate that tells whether an idle connection to a server exists.
fn is_connected<'a>(
    servers: &'a HashMap<ServerKey, Rc<Server>>,
    pool: &'a ConnectionPool,
) -> impl Fn(ServerKey) -> bool + 'a {
    |key| servers.get(&key).is_some_and(|server| pool.has_idle(server.address))
}
