//! Headers that concern one connection only, and typed reads of others.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Whether a header concerns one connection only, or is written by the codec.
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

/// The headers that are kept on: all but those of one connection and those that it names.
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

/// A header's value, where it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header that holds milliseconds.
pub fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = text(headers, name)?.trim();
    value.parse::<u64>().ok().map(Duration::from_millis)
}

/// A duration as a header's whole milliseconds.
pub fn millis_value(duration: Duration) -> http::HeaderValue {
    http::HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
