//! Calls to peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;

use super::messages::{PeerReply, PeerRequest};
use crate::gateway::Gateway;
use heronbend::identity::NodeId;

/// HTTP path of the peer protocol.
pub const PEER_PATH: &str = "/peer";
/// Time for the network, in addition to the time that the peer may hold the call.
const NETWORK_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// Why a call got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The peer did not receive the call.
    NotSent,
    /// The peer may have received the call, or may still do so.
    Unknown,
}

/// Calls a peer, which may hold the call for up to `wait`. Returns `None` if the call fails, or the
/// reply is malformed.
pub async fn call(
    gateway: &Gateway,
    node: &NodeId,
    request: &PeerRequest,
    wait: Duration,
) -> Option<PeerReply> {
    try_call(gateway, node, request, wait).await.ok()
}

/// Like [`call`], and tells whether the peer may have received a call that failed.
///
/// # Errors
///
/// Fails if the call fails, or the reply is malformed.
pub async fn try_call(
    gateway: &Gateway,
    node: &NodeId,
    request: &PeerRequest,
    wait: Duration,
) -> Result<PeerReply, CallError> {
    let address = gateway.members.address(node).ok_or(CallError::NotSent)?;
    try_call_at(gateway, address, request, wait + NETWORK_TIMEOUT).await
}

/// Calls the peer at an address, within `timeout`. Returns `None` like [`call`].
pub async fn call_at(
    gateway: &Gateway,
    address: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Option<PeerReply> {
    try_call_at(gateway, address, request, timeout).await.ok()
}

async fn try_call_at(
    gateway: &Gateway,
    address: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerReply, CallError> {
    let body = musli::wire::to_vec(request).map_err(|_| CallError::NotSent)?;
    let mut http_request = Request::new(Full::new(Bytes::from(body)));
    *http_request.method_mut() = Method::POST;
    *http_request.uri_mut() = Uri::from_static(PEER_PATH);
    http_request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("peer"));
    let fetched =
        gateway.peer_connections.fetch(address, http_request, timeout, MAX_REPLY_BYTES).await;
    let response = fetched.map_err(|error| {
        if error.is_not_sent() {
            CallError::NotSent
        } else {
            CallError::Unknown
        }
    })?;
    musli::wire::from_slice(&response.body).map_err(|_| CallError::Unknown)
}
