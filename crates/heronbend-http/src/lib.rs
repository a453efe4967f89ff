//! HTTP/1.1 for heronbend, on `async-h1` and `smol`.
//!
//! `async-h1` encodes and decodes messages, but it accepts a body that was cut short as whole, lets
//! the last of several `Content-Length` headers win, and closes a connection on a malformed head
//! without an answer. This crate closes those gaps in one place, [`message_stream::GuardedStream`], which
//! stands between the socket and the codec: it reads a whole head within limits, validates it with
//! `httparse`, and then hands the codec exactly the bytes of one message. A message that ends early
//! is an I/O error, in both directions.
//!
//! - [`server`]: accepts connections and answers every malformed request with a JSON error.
//! - [`client`]: sends requests over pooled connections and tells apart what was never sent.
//! - [`error`]: the JSON error body and the `heronbend-outcome` header.
//! - [`stream_body`]: a response body fed through a bounded channel.

pub mod client;
pub mod error;
pub mod message_stream;
pub mod server;
pub mod stream_body;

pub use client::{Client, ClientError, Reply};
pub use error::{error_response, json_response, ErrorBody, Outcome, OUTCOME_HEADER};
pub use http_types;
pub use message_stream::{GuardedStream, HeadError};
pub use server::{read_body, BodyError, Connections, ServerLimits};
pub use stream_body::{stream_body, BodySender};
