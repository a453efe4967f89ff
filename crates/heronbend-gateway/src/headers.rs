//! Hop-by-hop headers, and typed access to header values.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Whether a header is hop-by-hop or set by the codec.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        &header::CONNECTION,
        &KEEP_ALIVE,
        &PROXY_CONNECTION,
        &header::TE,
        &header::TRAILER,
        &header::TRANSFER_ENCODING,
        &header::UPGRADE,
        &header::CONTENT_LENGTH,
        &header::EXPECT,
    ]
    .contains(&name)
}

/// Returns the end-to-end headers: all except hop-by-hop headers and those listed in `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !listed.iter().any(|listed| listed == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Value of a header, if it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Value of a header in milliseconds.
pub fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = text(headers, name)?.trim();
    value.parse::<u64>().ok().map(Duration::from_millis)
}

/// Formats a duration as a header value in whole milliseconds.
pub fn millis_value(duration: Duration) -> http::HeaderValue {
    http::HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
