//! The operator's configuration in force: routes, services and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use heronbend::access::Keyring;
use heronbend::placement::ColdStartLimit;
use heronbend::scaling::ScalingSpec;
use serde::{Deserialize, Serialize};

/// What may be done with requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may be run more than once.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// Answers are streams of events.
    Stream,
    /// Requests are batch jobs.
    Rollout,
}

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the other destinations'.
    pub weight: u32,
}

/// How requests under one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host that clients state.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer is of full value.
    pub target_latency: Duration,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether its requests need no key.
    #[serde(default)]
    pub is_public: bool,
    /// Where requests go.
    pub destinations: Vec<Destination>,
    /// Whether a stream may be continued at another server.
    pub resumable: bool,
    /// Whether all events of a text must come from one version of the weights.
    pub single_version: bool,
    /// Time from a batch job's hand-in within which its results are due.
    pub result_deadline: Option<Duration>,
    /// Time from a batch job's hand-in after which an item may be given up.
    pub max_queue: Option<Duration>,
    /// The regions in which its requests may run; anywhere where it names none.
    #[serde(default)]
    pub homes: Option<BTreeSet<String>>,
}

impl Route {
    /// Whether a request may be run by more than one server.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Safe
    }
}

/// A pool of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one of its servers takes from all callers together.
    pub max_connections: u32,
    /// Whether its servers run models.
    pub is_engine: bool,
    /// How its servers may be ordered, if they may.
    #[serde(skip)]
    pub scaling: Option<Scaling>,
    /// What one of its servers bears while it is cold; nothing where that is not bounded.
    #[serde(skip)]
    pub cold: Option<ColdStartLimit>,
}

/// How the servers of a service may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Bounds and times.
    pub spec: ScalingSpec,
    /// Price of a server by zone, relative to each other.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Bounds on what clients may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration. Daemons swap it whole and never go back to an earlier version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with every change, in uneven steps.
    pub version: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// The tenants; none where callers are not told apart.
    #[serde(skip)]
    pub access: Option<Rc<Keyring>>,
    /// The regions in which a tenant's requests may run, for those that name some.
    #[serde(default)]
    pub tenant_homes: BTreeMap<String, BTreeSet<String>>,
    /// What cannot be meant so; the configuration is in force all the same.
    #[serde(skip)]
    pub findings: Vec<Finding>,
}

/// Something in a configuration that cannot be meant so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where in the configuration.
    pub place: String,
    /// What is wrong.
    pub problem: String,
}

impl Configuration {
    /// Whether requests of some route or tenant may be in some regions only.
    pub fn has_homes(&self) -> bool {
        let of_routes = self.routes.iter().any(|route| route.homes.is_some());
        of_routes || !self.tenant_homes.is_empty()
    }

    /// The route of a request: of the routes of its host, the one with the longest prefix.
    ///
    /// `host` may carry a port, which is not looked at.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
