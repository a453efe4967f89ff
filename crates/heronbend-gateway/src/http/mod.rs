//! HTTP/1.1 on `hyper` and `smol`.
//!
//! The service passes requests on byte by byte as they came, takes answers that end with their
//! connection, and ends a server's work as soon as its client leaves. `async-h1`, which the
//! standalone daemon uses, rewrites targets, cannot read answers without a length and does not
//! notice a client that leaves; see docs/DESIGN.md.
//!
//! - [`body`]: bodies of answers.
//! - [`client`]: kept connections to servers and peers.
//! - [`server`]: connections of callers and peers.

pub mod body;
pub mod client;
pub mod server;

use bytes::Bytes;
use http::{Response, StatusCode};

pub use body::AnswerBody;

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// An answer with a short text.
pub fn text_answer(status: StatusCode, text: &'static str) -> Answer {
    bytes_answer(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

/// An answer with a whole body.
pub fn bytes_answer(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::whole(bytes));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    answer
}
