//! Typed requests to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use heronbend::external::platform::{Machine, MachineList, StoredVersions, Versioned};
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::{Client, ClientError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

const TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a watch is held open by the platform, with room for its answer.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a request to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No answer: for a write it is unknown whether it took effect.
    #[error("no answer: {0}")]
    NoResponse(#[from] ClientError),
    /// The platform refused; nothing was changed.
    #[error("the platform refused with status {0}")]
    Rejected(StatusCode),
    /// Somebody else wrote the object first; nothing was changed.
    #[error("the object was changed by somebody else")]
    Conflict,
    /// The answer could not be read.
    #[error("unreadable answer: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

/// A client of the platform, for one thread.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    client: Client,
}

impl PlatformClient {
    /// A client for the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new() }
    }

    /// Reads an object; `None` when it does not exist.
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

    /// Waits until an object is newer than a version; `None` when nothing changed for a while.
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

    /// Replaces an object if it still has `version`, 0 for an object that must not exist.
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

    /// The list of machines.
    pub async fn machines(&self) -> Result<MachineList, PlatformError> {
        Ok(serde_json::from_slice(&self.get("/machines", TIMEOUT).await?)?)
    }

    /// Writes this machine's entry in the list.
    pub async fn register(&self, machine: &Machine) -> Result<(), PlatformError> {
        let path = format!("/machines/{}", machine.name);
        let body = serde_json::to_vec(machine)?;
        self.send(Method::Put, &path, body, TIMEOUT).await.map(drop)
    }

    /// Versions of a model in the weight store.
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
