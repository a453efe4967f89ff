//! HTTP/1.1 for heronbend, on `async-h1` and `smol`.
//!
//! `async-h1` encodes and decodes messages, but it accepts truncated bodies, uses the last of
//! several `Content-Length` headers, and closes the connection on a malformed head without a
//! response. [`FramedStream`] sits between the socket and the codec and adds the missing checks: it
//! reads a head within size limits, validates it with `httparse`, and limits the codec to the bytes
//! of one message. A truncated message is an I/O error, in requests and in responses.
//!
//! - [`server`]: accepts connections and rejects malformed requests with a JSON error.
//! - [`client`]: sends requests over pooled connections; errors tell whether anything was sent.
//! - [`error`]: JSON error responses and the `heronbend-outcome` header.
//! - [`framing`]: validation of message heads and truncation checks.
//! - [`mod@stream_body`]: a response body fed through a bounded channel.

pub mod client;
pub mod error;
pub mod framing;
pub mod server;
pub mod stream_body;

pub use client::{Client, ClientError, ClientResponse};
pub use error::{error_response, json_response, ErrorBody, Outcome, OUTCOME_HEADER};
pub use framing::{FramedStream, HeadError};
pub use http_types;
pub use server::{read_body, BodyError, Connections, ServerLimits};
pub use stream_body::{stream_body, BodySender};
