//! Requests that end the servers that run them, without I/O.
//!
//! - [`fingerprint`]: what tells that two requests are the same one, come again.

pub mod fingerprint;
#[cfg(test)]
mod tests;

pub use fingerprint::Fingerprint;
