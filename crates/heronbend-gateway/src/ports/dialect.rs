//! How the surroundings spell calls, headers and objects.

use bytes::Bytes;
use heronbend::access::KeyHasher;
use http::{HeaderName, Method};
use serde_json::Value;
use thiserror::Error;

use crate::batch::{JobSpecification, ResultsPage};
use crate::configuration::Configuration;
use crate::directory::Server;
use crate::versions::{EngineReport, PublishedVersion, VersionCommand};

/// A body or an object that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {problem}")]
pub struct DialectError {
    /// Where in the body, or the object's kind and name.
    pub place: String,
    /// What is wrong there.
    pub problem: String,
}

impl DialectError {
    /// An error at a place.
    pub fn new(place: impl Into<String>, problem: impl ToString) -> Self {
        Self { place: place.into(), problem: problem.to_string() }
    }
}

/// Names of the headers that the service reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request, kept end to end.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will still wait.
    pub deadline_millis: HeaderName,
    /// The server that is meant; any other refuses.
    pub expected_server: HeaderName,
    /// Present when a server refused without running the request.
    pub not_run: HeaderName,
    /// Signature of a server on its answer.
    pub signature: HeaderName,
    /// Last event of a stream that the caller has.
    pub last_event: HeaderName,
    /// Longest time in milliseconds that an answer may be held back until there is news.
    pub wait_millis: HeaderName,
    /// The version of the weights that a request has to run under; any other server refuses.
    pub expected_version: HeaderName,
    /// The model that a request needs.
    pub model: HeaderName,
    /// Version of the weights that an answer starts under.
    pub weight_version: HeaderName,
    /// The tenant on whose behalf a server runs a request; set by the service alone.
    pub tenant: HeaderName,
    /// Rank of a request at a server: those with a lower one are admitted first.
    pub priority: HeaderName,
}

/// Kinds and names of the objects that operators, servers and trainers write.
#[derive(Debug, Clone)]
pub struct OperatorKinds {
    /// Kind of the configuration.
    pub configuration: &'static str,
    /// Name of the configuration in force.
    pub configuration_name: &'static str,
    /// Kind of the servers.
    pub servers: &'static str,
    /// Kind of the versions that trainers name.
    pub versions: &'static str,
    /// Kind of the requests to empty a machine with a disk.
    pub retirements: &'static str,
    /// Kind of the evacuations, which are named by their zones.
    pub evacuations: &'static str,
}

/// What a caller asks of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// To pass a request on by the routes; also how a batch job is handed in.
    Forward,
    /// To read results of a batch job.
    ReadResults {
        /// The batch job.
        job: String,
        /// Position to begin at.
        from: usize,
    },
    /// To read the body of an item.
    ReadItem {
        /// The batch job.
        job: String,
        /// The item.
        item: String,
    },
    /// To end a batch job.
    EndJob {
        /// The batch job.
        job: String,
    },
    /// A call of the service's own interface that is not well formed.
    Malformed(&'static str),
}

/// A request to a server's own interface.
#[derive(Debug, Clone)]
pub struct ServerCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body, or empty.
    pub body: Bytes,
}

/// Translates between the service and its surroundings. Implementations decide nothing.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Names of kinds.
    fn kinds(&self) -> &OperatorKinds;
    /// What a request asks for.
    fn call(&self, method: &Method, path: &str, query: Option<&str>) -> Call;
    /// The operator's configuration; keys in it are kept as digests of `hasher`.
    fn configuration(
        &self,
        content: &Value,
        hasher: &KeyHasher,
    ) -> Result<Configuration, DialectError>;
    /// A server's entry.
    fn server(&self, id: &str, content: &Value) -> Result<Server, DialectError>;
    /// A version of weights that a trainer named.
    fn published_version(&self, content: &Value) -> Result<PublishedVersion, DialectError>;
    /// A batch job as handed in.
    fn job(&self, id: &str, body: &[u8]) -> Result<JobSpecification, DialectError>;
    /// The answer to a reader of results.
    fn results(&self, page: &ResultsPage) -> Bytes;
    /// Asks a server for its state.
    fn report_call(&self) -> ServerCall;
    /// A server's state.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DialectError>;
    /// Orders a server to load a version.
    fn command_call(&self, order: &VersionCommand) -> ServerCall;
    /// The status that says a machine holds nothing any more.
    fn retired_status(&self) -> Value;
    /// Whether a status says so.
    fn is_retired(&self, status: &Value) -> bool;
}
