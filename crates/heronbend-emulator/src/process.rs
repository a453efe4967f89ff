//! Process statistics from `/proc`.

use anyhow::Context;

/// Resident memory of a process in kilobytes; `process` is a process identifier or `self`.
pub fn resident_kilobytes(process: &str) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    Ok(number.context("no VmRSS line in the process status")?.parse()?)
}
