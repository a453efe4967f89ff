//! Requests that end the servers that run them.
//!
//! - [`evidence`]: what an attempt that broke off says of its server.

pub mod evidence;
