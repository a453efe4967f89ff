//! Registration of emulated backends in the platform's machine list, and JSON requests over HTTP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::external::platform::Machine;
use heronbend::lifecycle::Phase;
use heronbend_http::http_types::{Method, Request, Url};
use heronbend_http::Client;
use smol::Timer;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Registers a machine with its current phase once per [`HEARTBEAT_INTERVAL`], forever.
pub async fn run_registration(platform: SocketAddr, mut machine: Machine, phase: Rc<Cell<Phase>>) {
    let client = Client::new();
    loop {
        machine.phase = phase.get();
        let path = format!("/machines/{}", machine.name);
        if let Err(error) = put_json(&client, platform, &path, &machine).await {
            log::warn!("event=registration_failed error={error:?}");
        }
        Timer::after(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a JSON body with PUT; see [`send_json`].
pub async fn put_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> anyhow::Result<Vec<u8>> {
    send_json(client, Method::Put, address, path, body).await
}

/// Sends a JSON body and returns the response body.
///
/// Fails if the request times out or the status is not a success.
pub async fn send_json(
    client: &Client,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> anyhow::Result<Vec<u8>> {
    let mut request = Request::new(method, url(address, path)?);
    request.set_body(serde_json::to_vec(body)?);
    let (status, bytes) = client.fetch(address, request, REQUEST_TIMEOUT, 1 << 26).await?;
    anyhow::ensure!(status.is_success(), "status {status}");
    Ok(bytes)
}

/// Fetches and parses a JSON document.
///
/// Fails if the request times out, the status is not a success, or the body does not parse.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let request = Request::new(Method::Get, url(address, path)?);
    let (status, bytes) = client.fetch(address, request, REQUEST_TIMEOUT, 1 << 26).await?;
    anyhow::ensure!(status.is_success(), "status {status}");
    Ok(serde_json::from_slice(&bytes)?)
}

/// Builds the URL of a path at an address.
pub fn url(address: SocketAddr, path: &str) -> anyhow::Result<Url> {
    Ok(Url::parse(&format!("http://{address}{path}"))?)
}
