//! What the system says of a process.

use anyhow::Context;

/// Resident memory in kilobytes of a process, by its identifier or as `self`.
pub fn resident_kilobytes(process: &str) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    Ok(number.context("no resident size")?.parse()?)
}
