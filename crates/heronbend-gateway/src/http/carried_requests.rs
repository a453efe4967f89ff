//! The requests that a connection has carried.
//!
//! A server may send a response a second time, in the place of the next one on the connection. Its
//! request id tells them apart only if no connection carries the same id twice.

use rapidhash::v3::rapidhash_v3;

/// Number of requests after which a connection is not reused. Bounds the memory for their keys.
const MAX_REQUESTS: usize = 512;

/// Identifies a request to the connections that carry it: a hash of its id. If two ids have the
/// same hash, a connection is opened in vain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Creates the key of a request id.
    pub fn of(id: &str) -> Self {
        Self(rapidhash_v3(id.as_bytes()))
    }
}

/// Keys of the requests that a connection has carried.
#[derive(Debug, Default)]
pub struct CarriedRequests(Vec<RequestKey>);

impl CarriedRequests {
    /// Records a request.
    pub fn add(&mut self, request: RequestKey) {
        self.0.push(request);
    }

    /// Whether the connection has carried a request.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.0.contains(&request)
    }

    /// Whether the connection must not carry further requests.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
