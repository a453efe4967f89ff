//! Parsing of values with units.

use std::time::Duration;

/// Byte units. `B` is last, as it is a suffix of all the others.
const BYTE_UNITS: [(&str, u64); 7] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];

/// Parses a duration such as `250ms` or `1m 30s`.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("{text:?} is not a duration such as \"250ms\": {error}"))
}

/// Parses a size such as `13KB` or `4MiB` into bytes.
pub fn parse_bytes(text: &str) -> Result<u64, String> {
    let expected = || format!("{text:?} is not a size such as \"13KB\" or \"4MiB\"");
    let (number, factor) = BYTE_UNITS
        .iter()
        .find_map(|(suffix, factor)| Some((text.strip_suffix(suffix)?, factor)))
        .ok_or_else(expected)?;
    let number: u64 = number.trim().parse().map_err(|_| expected())?;
    number.checked_mul(*factor).ok_or_else(expected)
}
