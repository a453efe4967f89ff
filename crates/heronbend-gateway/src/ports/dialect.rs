//! Format of API calls, headers and stored objects on a platform.

use bytes::Bytes;
use heronbend::access::KeyHasher;
use http::{HeaderName, Method};
use serde_json::Value;
use thiserror::Error;

use crate::batch::{JobSpecification, ResultsPage};
use crate::configuration::Configuration;
use crate::directory::Server;
use crate::versions::{EngineReport, PublishedVersion, VersionCommand};

/// A malformed body or object.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {problem}")]
pub struct DialectError {
    /// Location in the body, or the kind and name of the object.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
}

impl DialectError {
    /// Creates an error for a location.
    pub fn new(place: impl Into<String>, problem: impl ToString) -> Self {
        Self { place: place.into(), problem: problem.to_string() }
    }
}

/// Names of the HTTP headers that the service reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Request id, propagated end to end.
    pub request_id: HeaderName,
    /// How long the sender will still wait, in milliseconds.
    pub deadline_millis: HeaderName,
    /// Id of the intended server. Any other server rejects the request.
    pub expected_server: HeaderName,
    /// Set by a server that rejected a request without running it.
    pub not_run: HeaderName,
    /// Signature of a response by the server.
    pub signature: HeaderName,
    /// Id of the last stream event that the caller received, for resumption.
    pub last_event: HeaderName,
    /// Maximum duration of a long poll, in milliseconds.
    pub wait_millis: HeaderName,
    /// Weight version that the request must run with. Servers with another version reject it.
    pub expected_version: HeaderName,
    /// Model that the request needs.
    pub model: HeaderName,
    /// Weight version at the start of the response.
    pub weight_version: HeaderName,
    /// Tenant of a request to a server. Only the service sets it.
    pub tenant: HeaderName,
    /// Priority of a request at a server. Lower values are admitted first.
    pub priority: HeaderName,
}

/// Kinds and names of the objects that operators, servers and trainers write.
#[derive(Debug, Clone)]
pub struct OperatorKinds {
    /// Kind of the configuration.
    pub configuration: &'static str,
    /// Name of the active configuration.
    pub configuration_name: &'static str,
    /// Kind of the server registrations.
    pub servers: &'static str,
    /// Kind of the published versions.
    pub versions: &'static str,
    /// Kind of the requests to retire a machine that stores data.
    pub retirements: &'static str,
    /// Kind of the evacuations, which are named by zone.
    pub evacuations: &'static str,
}

/// An API call of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Forward a request by the routes, or submit a batch job.
    Forward,
    /// Read results of a batch job.
    ReadResults {
        /// Id of the batch job.
        job: String,
        /// Position of the first result.
        from: usize,
    },
    /// Read the body of a batch item.
    ReadItem {
        /// Id of the batch job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// End a batch job.
    EndJob {
        /// Id of the batch job.
        job: String,
    },
    /// A malformed call of the service's own API, with the problem.
    Malformed(&'static str),
}

/// A request to a server's management API.
#[derive(Debug, Clone)]
pub struct ServerCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body, or empty.
    pub body: Bytes,
}

/// Converts between the service's types and the platform's formats. Implementations contain no
/// policy.
pub trait Dialect {
    /// Names of the HTTP headers.
    fn headers(&self) -> &HeaderNames;
    /// Kinds and names of objects.
    fn kinds(&self) -> &OperatorKinds;
    /// Parses an API call.
    fn call(&self, method: &Method, path: &str, query: Option<&str>) -> Call;
    /// Parses the configuration. Access keys are stored as digests made with `hasher`.
    fn configuration(
        &self,
        content: &Value,
        hasher: &KeyHasher,
    ) -> Result<Configuration, DialectError>;
    /// Parses a server registration.
    fn server(&self, id: &str, content: &Value) -> Result<Server, DialectError>;
    /// Parses a published version.
    fn published_version(&self, content: &Value) -> Result<PublishedVersion, DialectError>;
    /// Parses a submitted batch job.
    fn job(&self, id: &str, body: &[u8]) -> Result<JobSpecification, DialectError>;
    /// Formats a page of results.
    fn results(&self, page: &ResultsPage) -> Bytes;
    /// Builds the request for a server's report.
    fn report_call(&self) -> ServerCall;
    /// Parses a server's report.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DialectError>;
    /// Builds the request that makes a server load a version.
    fn command_call(&self, order: &VersionCommand) -> ServerCall;
    /// The status of a retired machine, which stores no more data.
    fn retired_status(&self) -> Value;
    /// Whether a status says that the machine is retired.
    fn is_retired(&self, status: &Value) -> bool;
}
