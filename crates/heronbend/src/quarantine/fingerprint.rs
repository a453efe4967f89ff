//! Fingerprints that identify retries of the same request.

use std::fmt;
use std::str::FromStr;

use musli::Decode;
use musli::Encode;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Length of a fingerprint in bytes. Two of a billion requests share one with odds of 1 in 10^20.
const BYTES: usize = 16;
/// Domain separator of the hash.
const CONTEXT: &str = "heronbend request fingerprint v1";

/// Digest of a request's method, host, target, tenant and body; request identifiers are not part of
/// it.
///
/// The hash is not keyed, since all daemons must compute the same fingerprint without a shared
/// secret. It is collision resistant, so a caller cannot craft a request with the fingerprint of
/// another one.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint([u8; BYTES]);

/// The parts of a request that its fingerprint covers.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query string.
    pub target: &'a str,
    /// Name of the tenant that sends it, if any.
    pub tenant: Option<&'a str>,
    /// Request body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &FingerprintInput) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let tenant = request.tenant.unwrap_or_default();
        let parts = [request.method, request.host, request.target, tenant].map(str::as_bytes);
        for part in parts.iter().chain([&request.body]) {
            // Length prefixes make the concatenation unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        // Distinguishes no tenant from a tenant with an empty name.
        hasher.update(&[u8::from(request.tenant.is_some())]);
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// The text is not a valid fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a fingerprint has {} hexadecimal digits", BYTES * 2)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let digits = text.as_bytes();
        if digits.len() != BYTES * 2 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| ParseFingerprintError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(text: String) -> Result<Self, ParseFingerprintError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}
