//! The servers that requests may be sent to, as the store lists them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::Moment;
use serde::{Deserialize, Serialize};

/// How long a server whose entry went is still used where its service has no listed one. Entries
/// may lapse while the store is down although the servers are well.
const LAPSED_USE: Duration = Duration::from_millis(1200);

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
    /// Identifies this run; never used again.
    pub id: String,
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
    /// Models that it holds, with the version of their weights.
    pub models: BTreeMap<String, u64>,
    /// Orders that it has taken since its start.
    pub sequence: u64,
    /// Whether it may be taken away.
    #[serde(default)]
    pub is_revocable: bool,
}

/// All listed servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: BTreeMap<String, Rc<Server>>,
    lapsed: Vec<(Moment, Rc<Server>)>,
}

impl Directory {
    /// Takes in a server's entry.
    pub fn insert(&mut self, server: Server) {
        self.lapsed.retain(|(_, lapsed)| lapsed.id != server.id);
        self.servers.insert(server.id.clone(), Rc::new(server));
    }

    /// Notes that a server's entry went.
    pub fn remove(&mut self, now: Moment, id: &str) {
        self.lapsed.retain(|(since, _)| now < *since + LAPSED_USE);
        if let Some(server) = self.servers.remove(id) {
            self.lapsed.push((now, server));
        }
    }

    /// Keeps only the servers named.
    pub fn retain(&mut self, now: Moment, names: &std::collections::BTreeSet<String>) {
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

    /// All listed servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values()
    }

    /// Servers of a service that may be sent new requests.
    pub fn usable(&self, now: Moment, service: &str) -> Vec<Rc<Server>> {
        let listed: Vec<Rc<Server>> = self
            .servers
            .values()
            .filter(|server| server.service == service && server.state == ServerState::Ready)
            .cloned()
            .collect();
        if !listed.is_empty() {
            return listed;
        }
        self.lapsed
            .iter()
            .filter(|(since, server)| {
                server.service == service
                    && server.state == ServerState::Ready
                    && now < *since + LAPSED_USE
            })
            .map(|(_, server)| server.clone())
            .collect()
    }
}
