//! Keeps a back end's entry in the platform's list of machines.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::external::platform::Machine;
use heronbend::lifecycle::Phase;
use heronbend_http::http_types::{Method, Request, Url};
use heronbend_http::Client;
use smol::Timer;

const HEARTBEAT: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Writes the entry again and again, with the phase of the moment, until the process ends.
pub async fn keep_registered(platform: SocketAddr, mut machine: Machine, phase: Rc<Cell<Phase>>) {
    let client = Client::new();
    loop {
        machine.phase = phase.get();
        let path = format!("/machines/{}", machine.name);
        if let Err(error) = put_json(&client, platform, &path, &machine).await {
            log::warn!("event=registration_failed error={error:?}");
        }
        Timer::after(HEARTBEAT).await;
    }
}

/// Sends a JSON body with PUT.
pub async fn put_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> anyhow::Result<Vec<u8>> {
    send_json(client, Method::Put, address, path, body).await
}

/// Sends a JSON body and gives the body of a successful answer.
pub async fn send_json(
    client: &Client,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> anyhow::Result<Vec<u8>> {
    let mut request = Request::new(method, url(address, path)?);
    request.set_body(serde_json::to_vec(body)?);
    let (status, bytes) = client.fetch(address, request, TIMEOUT, 1 << 26).await?;
    anyhow::ensure!(status.is_success(), "status {status}");
    Ok(bytes)
}

/// Fetches a JSON document.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let request = Request::new(Method::Get, url(address, path)?);
    let (status, bytes) = client.fetch(address, request, TIMEOUT, 1 << 26).await?;
    anyhow::ensure!(status.is_success(), "status {status}");
    Ok(serde_json::from_slice(&bytes)?)
}

/// The URL of a path at an address.
pub fn url(address: SocketAddr, path: &str) -> anyhow::Result<Url> {
    Ok(Url::parse(&format!("http://{address}{path}"))?)
}
