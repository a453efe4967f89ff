//! A [`Dialect`] that uses the serde representation of the gateway's own types.

use bytes::Bytes;
use heronbend::access::KeyHasher;
use heronbend_gateway::batch::{JobSpecification, ResultsPage};
use heronbend_gateway::configuration::Configuration;
use heronbend_gateway::directory::Server;
use heronbend_gateway::ports::dialect::ServerCall;
use heronbend_gateway::ports::{Call, Dialect, DialectError, HeaderNames, OperatorKinds};
use heronbend_gateway::versions::{EngineReport, PublishedVersion, VersionCommand};
use http::{HeaderName, Method};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

/// Encodes and decodes calls and objects as JSON.
pub struct JsonDialect {
    headers: HeaderNames,
    kinds: OperatorKinds,
}

impl Default for JsonDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: HeaderNames {
                request_id: name("heronbend-request"),
                deadline_millis: name("heronbend-deadline-ms"),
                expected_server: name("heronbend-server"),
                not_run: name("heronbend-not-run"),
                signature: name("heronbend-signature"),
                last_event: name("last-event-id"),
                wait_millis: name("heronbend-wait-ms"),
                expected_version: name("heronbend-expected-version"),
                model: name("heronbend-model"),
                weight_version: name("heronbend-version"),
                tenant: name("heronbend-tenant"),
                priority: name("heronbend-priority"),
            },
            kinds: OperatorKinds {
                configuration: "configurations",
                configuration_name: "in-force",
                servers: "servers",
                versions: "versions",
                retirements: "retirements",
                evacuations: "evacuations",
            },
        }
    }
}

fn from_value<T: DeserializeOwned>(subject: &str, content: &Value) -> Result<T, DialectError> {
    T::deserialize(content).map_err(|error| DialectError::new(subject, error))
}

impl Dialect for JsonDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn kinds(&self) -> &OperatorKinds {
        &self.kinds
    }

    fn call(&self, _method: &Method, _path: &str, _query: Option<&str>) -> Call {
        Call::Forward
    }

    fn configuration(
        &self,
        content: &Value,
        _hasher: &KeyHasher,
    ) -> Result<Configuration, DialectError> {
        from_value("configuration", content)
    }

    fn server(&self, _id: &str, content: &Value) -> Result<Server, DialectError> {
        from_value("server", content)
    }

    fn published_version(&self, content: &Value) -> Result<PublishedVersion, DialectError> {
        from_value("version", content)
    }

    fn job(&self, _id: &str, body: &[u8]) -> Result<JobSpecification, DialectError> {
        serde_json::from_slice(body).map_err(|error| DialectError::new("job", error))
    }

    fn results(&self, page: &ResultsPage) -> Bytes {
        let results: Vec<_> = page.results.iter().map(|result| json!(**result)).collect();
        json!({ "total": page.total, "from": page.from, "results": results }).to_string().into()
    }

    fn report_call(&self) -> ServerCall {
        ServerCall { method: Method::GET, path: "/state".to_owned(), body: Bytes::new() }
    }

    fn report(&self, body: &[u8]) -> Result<EngineReport, DialectError> {
        serde_json::from_slice(body).map_err(|error| DialectError::new("report", error))
    }

    fn command_call(&self, order: &VersionCommand) -> ServerCall {
        let body = json!(order).to_string().into();
        ServerCall { method: Method::POST, path: "/orders".to_owned(), body }
    }

    fn retired_status(&self) -> Value {
        json!("retired")
    }

    fn is_retired(&self, status: &Value) -> bool {
        status == "retired"
    }
}
