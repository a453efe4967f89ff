//! The servers that the store lists, each with what the decisions know of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::Incarnation;
use heronbend::placement::AttemptHistory;
use heronbend::placement::Choice;
use heronbend::placement::Decision;
use heronbend::placement::Placer;
use heronbend::placement::Registration;
use heronbend::placement::Requirements;
use heronbend::placement::ServerKey;
use heronbend::placement::TicketKey;
use heronbend::placement::WaitState;
use heronbend::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::http::client::ConnectionPool;
use crate::pool::Pool;

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to leave and gets nothing new.
    Draining,
}

/// One run of a server process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name; a server may start again under the one that it had.
    pub id: String,
    /// Which run of the server this is; zero where servers do not say.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens; may belong to another server later.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
    /// Models that it holds, with the version of their weights; one map for all servers that hold the same.
    pub models: Rc<BTreeMap<String, u64>>,
    /// Orders that it has taken since its start.
    pub sequence: u64,
    /// Whether it may be taken away.
    #[serde(default)]
    pub is_revocable: bool,
    /// How much longer it is cold, counted from when it said so.
    #[serde(default)]
    pub cold_for: Duration,
    /// The store's revision of its entry.
    #[serde(default)]
    pub revision: u64,
}

/// Which run of a server an entry is of, beside the one that was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// The same, or the first one.
    Same,
    /// A later one: the server has started again.
    Later,
    /// An earlier one, which has ended.
    Earlier,
}

/// All listed servers, and the machine that decides which of them runs what.
pub struct Directory {
    servers: BTreeMap<String, Rc<Server>>,
    /// Those that the machine may still choose, listed or not.
    by_key: HashMap<ServerKey, Rc<Server>>,
    /// What servers hold. Of thousands that follow a few models most hold the same.
    models: Pool<BTreeMap<String, u64>>,
    /// The machine that decides.
    pub placer: Placer,
}

impl Directory {
    /// A directory without servers, which draws among equal ones by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: BTreeMap::new(),
            by_key: HashMap::new(),
            models: Pool::default(),
            placer: Placer::new(seed),
        }
    }

    /// Which run of its server an entry is of.
    pub fn run(&self, server: &Server) -> Run {
        match self.servers.get(&server.id).map(|known| known.incarnation) {
            Some(known) if known > server.incarnation => Run::Earlier,
            Some(known) if known < server.incarnation => Run::Later,
            _ => Run::Same,
        }
    }

    /// Takes in a server's entry, and tells what it says of the run that was known. One of an earlier
    /// run changes nothing.
    pub fn insert(&mut self, now: Moment, mut server: Server) -> Run {
        let run = self.run(&server);
        if run == Run::Earlier {
            return run;
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
        if let Some(former) = known.filter(|known| *known != key) {
            self.by_key.remove(&former);
        }
        server.models = self.models.share(server.models);
        let server = Rc::new(server);
        self.by_key.insert(key, server.clone());
        self.servers.insert(server.id.clone(), server);
        run
    }

    /// Notes that a server's entry went.
    pub fn remove(&mut self, now: Moment, id: &str) {
        if self.servers.remove(id).is_some() {
            for forgotten in self.placer.deregister(now, id) {
                self.by_key.remove(&forgotten);
            }
        }
    }

    /// Keeps only the servers named.
    pub fn retain(&mut self, now: Moment, names: &BTreeSet<String>) {
        let gone: Vec<String> =
            self.servers.keys().filter(|id| !names.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// A listed server.
    pub fn get(&self, id: &str) -> Option<&Rc<Server>> {
        self.servers.get(id)
    }

    /// The server that was chosen.
    pub fn chosen(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.by_key.get(&key).cloned()
    }

    /// The most urgent text that a place is free for, with the place.
    pub fn next_placed(
        &mut self,
        now: Moment,
        pool: &ConnectionPool,
    ) -> Option<(TicketKey, Choice)> {
        self.placer.place_next(now, is_connected(&self.by_key, pool))
    }

    /// What becomes of a call.
    pub fn place_call(
        &mut self,
        now: Moment,
        pool: &ConnectionPool,
        need: &Requirements,
        history: &AttemptHistory,
        waited: &WaitState,
    ) -> Decision {
        self.placer.place_call(now, need, history, waited, is_connected(&self.by_key, pool))
    }

    /// All listed servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values()
    }
}

/// Whether a connection to a server waits to be used again.
fn is_connected<'a>(
    servers: &'a HashMap<ServerKey, Rc<Server>>,
    pool: &'a ConnectionPool,
) -> impl Fn(ServerKey) -> bool + 'a {
    |key| servers.get(&key).is_some_and(|server| pool.has_idle(server.address))
}
