//! Client of the platform API: stored objects, machines and weight versions.

use std::net::SocketAddr;
use std::time::Duration;

use heronbend::external::platform::{Machine, MachineList, StoredVersions, Versioned};
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::{Client, ClientError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

const TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a watch; longer than the platform holds one open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Errors of platform requests.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No response; a write may or may not have been applied.
    #[error("no answer: {0}")]
    NoResponse(#[from] ClientError),
    /// The platform rejected the request; nothing was changed.
    #[error("the platform refused with status {0}")]
    Rejected(StatusCode),
    /// The object was modified concurrently; nothing was changed.
    #[error("the object was changed by somebody else")]
    Conflict,
    /// The response could not be decoded.
    #[error("unreadable answer: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

/// Client of the platform, for use by one thread. Clones share connections.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    client: Client,
}

impl PlatformClient {
    /// Creates a client for the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new() }
    }

    /// Reads an object; returns `None` if it does not exist.
    pub async fn read<T: DeserializeOwned>(
        &self,
        object: &str,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        let path = format!("/objects/{object}");
        match self.get(&path, TIMEOUT).await {
            Ok(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
            Err(PlatformError::Rejected(StatusCode::NotFound)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits until an object is newer than version `after`; returns `None` if the long poll
    /// expires.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        object: &str,
        after: u64,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        let path = format!("/objects/{object}?after={after}");
        let bytes = self.get(&path, WATCH_TIMEOUT).await?;
        if bytes.is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&bytes)?))
    }

    /// Replaces an object if it still has `version`; version 0 creates an object that must not
    /// exist.
    pub async fn write<T: Serialize>(
        &self,
        object: &str,
        version: u64,
        value: &T,
    ) -> Result<(), PlatformError> {
        let path = format!("/objects/{object}?version={version}");
        let body = serde_json::to_vec(value)?;
        match self.send(Method::Put, &path, body, TIMEOUT).await {
            Ok(_) => Ok(()),
            Err(PlatformError::Rejected(StatusCode::Conflict)) => Err(PlatformError::Conflict),
            Err(error) => Err(error),
        }
    }

    /// Reads the machine list.
    pub async fn machines(&self) -> Result<MachineList, PlatformError> {
        Ok(serde_json::from_slice(&self.get("/machines", TIMEOUT).await?)?)
    }

    /// Creates or renews a machine's registration.
    pub async fn register(&self, machine: &Machine) -> Result<(), PlatformError> {
        let path = format!("/machines/{}", machine.name);
        let body = serde_json::to_vec(machine)?;
        self.send(Method::Put, &path, body, TIMEOUT).await.map(drop)
    }

    /// Reads a model's versions in the weight store.
    pub async fn versions(&self, model: &str) -> Result<StoredVersions, PlatformError> {
        let path = format!("/weights/{model}");
        Ok(serde_json::from_slice(&self.get(&path, TIMEOUT).await?)?)
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Vec<u8>, PlatformError> {
        self.send(Method::Get, path, Vec::new(), timeout).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PlatformError> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .expect("a socket address and a path make a valid URL");
        let mut request = Request::new(method, url);
        request.set_body(body);
        let (status, bytes) =
            self.client.fetch(self.address, request, timeout, MAX_RESPONSE_BYTES).await?;
        if status.is_success() {
            Ok(bytes)
        } else {
            Err(PlatformError::Rejected(status))
        }
    }
}
