//! HTTP/1.1 on `hyper` and `smol`.
//!
//! The gateway forwards requests unmodified, supports responses that are delimited by the end of
//! the connection, and cancels the work of a server when its client disconnects. `async-h1`, which
//! the standalone daemon uses, supports none of this; see docs/DESIGN.md.
//!
//! - [`body`]: response bodies.
//! - [`carried_requests`]: the requests that a connection has carried.
//! - [`client`]: a client with pooled connections to servers and peers.
//! - [`server`]: a server for callers and peers.
//! - [`socket`]: the socket of a connection to a client.

pub mod body;
pub mod carried_requests;
pub mod client;
pub mod server;
pub mod socket;

use bytes::Bytes;
use http::{Response, StatusCode};

pub use body::ResponseBody;

/// An HTTP response of the gateway.
pub type HttpResponse = Response<ResponseBody>;

/// Id of the request that a response belongs to, for the log; an extension of the response.
#[derive(Debug, Clone)]
pub struct RequestId(pub String);

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    bytes_response(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

/// Creates a response with a complete body.
pub fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: Bytes,
) -> HttpResponse {
    let mut response = Response::new(ResponseBody::full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}
