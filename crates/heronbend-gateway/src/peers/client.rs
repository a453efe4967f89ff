//! Calls to peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;

use super::messages::{PeerReply, PeerRequest};
use crate::gateway::Gateway;
use heronbend::identity::NodeId;

/// Path of the peers' interface.
pub const PEER_PATH: &str = "/peer";
/// Added to the time that the peer may wait before it answers.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// Calls a peer; nothing when it cannot be reached or its answer cannot be understood.
pub async fn call(
    gateway: &Gateway,
    node: &NodeId,
    request: &PeerRequest,
    wait: Duration,
) -> Option<PeerReply> {
    let address = gateway.members.address(node)?;
    call_at(gateway, address, request, wait + CALL_TIMEOUT).await
}

/// Calls whoever takes peers' calls at an address, and waits for at most `timeout`.
pub async fn call_at(
    gateway: &Gateway,
    address: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Option<PeerReply> {
    let body = musli::wire::to_vec(request).ok()?;
    let mut message = Request::new(Full::new(Bytes::from(body)));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = Uri::from_static(PEER_PATH);
    message.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("peer"));
    let answer =
        gateway.peer_connections.fetch(address, message, timeout, MAX_REPLY_BYTES).await.ok()?;
    musli::wire::from_slice(&answer.body).ok()
}
