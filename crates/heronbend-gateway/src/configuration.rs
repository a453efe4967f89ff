//! The operator's configuration: routes, services and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use heronbend::access::Keyring;
use heronbend::placement::ColdStartLimit;
use heronbend::scaling::ScalingSpec;
use serde::{Deserialize, Serialize};

/// How requests of a route may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Idempotent requests: they may be executed more than once.
    Safe,
    /// Non-idempotent requests: they are executed at most once.
    Unsafe,
    /// Responses are event streams.
    Stream,
    /// Requests are batch jobs.
    Rollout,
}

/// A service that receives part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Traffic weight, relative to the route's other destinations.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be executed.
    pub kind: RouteKind,
    /// Total time allowed for a request.
    pub timeout: Duration,
    /// Target response time.
    pub target_latency: Duration,
    /// Maximum number of servers one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub is_public: bool,
    /// Services that receive the requests.
    pub destinations: Vec<Destination>,
    /// Whether an interrupted stream may be resumed on another server.
    pub resumable: bool,
    /// Whether one generation must use a single version of the weights throughout.
    pub single_version: bool,
    /// Time after the submission of a batch job by which its results are due.
    pub result_deadline: Option<Duration>,
    /// Time after the submission of a batch job from which its items are given up instead of
    /// waiting; `None` lets them wait until the job ends.
    pub max_queue: Option<Duration>,
    /// Regions in which its requests may run; `None` allows all regions.
    #[serde(default)]
    pub homes: Option<BTreeSet<String>>,
}

impl Route {
    /// Whether a request may be executed by more than one server.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Safe
    }

    /// Whether requests may go to a service. Without any weight all go to the first one.
    pub fn includes(&self, service: &str) -> bool {
        let total: u64 = self.destinations.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.destinations.first().is_some_and(|part| part.service == service);
        }
        self.destinations.iter().any(|part| part.service == service && part.weight > 0)
    }
}

/// A pool of interchangeable servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique within a configuration.
    pub name: String,
    /// Connections that one server accepts, over all clients.
    pub max_connections: u32,
    /// Whether its servers are inference engines.
    pub is_engine: bool,
    /// How the service is scaled; `None` disables scaling.
    #[serde(skip)]
    pub scaling: Option<Scaling>,
    /// Request rate limit of a cold server; `None` is unlimited.
    #[serde(skip)]
    pub cold: Option<ColdStartLimit>,
}

/// How servers of a service are ordered from the provider.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Fleet size bounds and timing.
    pub spec: ScalingSpec,
    /// Relative price of a server by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Size limits and timeouts for client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time allowed for a request head to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
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

/// A complete configuration. Daemons replace it atomically and never revert to an older version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; increases with every change, not necessarily by one.
    pub version: u64,
    /// Routes, in the order in which the operator defined them.
    pub routes: Vec<Rc<Route>>,
    /// Services, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on client connections.
    pub limits: ClientLimits,
    /// API keys of the tenants; `None` disables authentication.
    #[serde(skip)]
    pub access: Option<Rc<Keyring>>,
    /// Regions in which a tenant's requests may run, by tenant; tenants not listed are
    /// unrestricted.
    #[serde(default)]
    pub tenant_homes: BTreeMap<String, BTreeSet<String>>,
    /// Problems that do not prevent the configuration from taking effect.
    #[serde(skip)]
    pub findings: Vec<Finding>,
}

/// A likely mistake in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the faulty element in the configuration.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
}

impl Configuration {
    /// Whether any route or tenant restricts the regions in which requests may run.
    pub fn restricts_regions(&self) -> bool {
        let any_route = self.routes.iter().any(|route| route.homes.is_some());
        any_route || !self.tenant_homes.is_empty()
    }

    /// Finds the route for a request: the one with the longest matching prefix for its host.
    ///
    /// `host` may include a port, which is ignored.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
