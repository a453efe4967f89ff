//! Explains from log lines why a call waited in the call queue or was refused by it.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::key_value;
use crate::steps::line_time;

/// Maximum number of groups of waiting calls that an explanation names.
const MAX_GROUPS_SHOWN: usize = 5;

/// A decision of the call queue about one call, with what is known of its causes.
#[derive(Debug, Clone, PartialEq)]
pub struct CallExplanation<'a> {
    /// The line that tells of the decision.
    pub line: &'a str,
    /// The last change of the daemon's rate for the service before the decision.
    pub rate_change: Option<&'a str>,
    /// Number of other calls to the service that waited at the daemon when this call arrived, by
    /// priority and tenant. Calls of which the log has no line yet are missing.
    pub waiting: BTreeMap<(String, String), usize>,
}

/// Returns the name of the daemon, if the line starts with a time and a name.
fn daemon(line: &str) -> Option<&str> {
    line_time(line)?;
    line.split_whitespace().nth(1)
}

fn has_event(line: &str, event: &str) -> bool {
    key_value(line, "event") == Some(event)
}

fn is_queue_decision(line: &str) -> bool {
    has_event(line, "call_queued") || has_event(line, "call_refused")
}

fn has_same_origin(one: &str, other: &str) -> bool {
    daemon(one) == daemon(other) && key_value(one, "service") == key_value(other, "service")
}

/// Returns the last change of a rate before line `number` at the same daemon, for the same service.
pub(crate) fn rate_change_before(lines: &[&str], number: usize) -> Option<usize> {
    let line = lines[number];
    if !is_queue_decision(line) || key_value(line, "service").is_none() {
        return None;
    }
    let is_cause = |earlier: &usize| {
        has_event(lines[*earlier], "rate_changed") && has_same_origin(lines[*earlier], line)
    };
    (0..number).rev().find(is_cause)
}

/// Returns from when until when the call of a line waited, in seconds.
fn wait_span(line: &str) -> Option<(f64, f64)> {
    let left_at = line_time(line)?;
    let waited_ms: f64 = key_value(line, "waited_ms").unwrap_or("0").parse().ok()?;
    Some((left_at - waited_ms / 1e3, left_at))
}

fn label(line: &str, key: &str) -> String {
    key_value(line, key).unwrap_or("unknown").to_owned()
}

fn waiting_at_arrival(lines: &[&str], line: &str) -> BTreeMap<(String, String), usize> {
    let mut waiting = BTreeMap::new();
    let Some((arrived_at, _)) = wait_span(line) else {
        return waiting;
    };
    let id = key_value(line, "id");
    for other in lines.iter().copied().filter(|other| has_event(other, "call_queued")) {
        let is_waiting =
            wait_span(other).is_some_and(|(from, until)| from < arrived_at && arrived_at < until);
        if is_waiting && key_value(other, "id") != id && has_same_origin(other, line) {
            let group = (label(other, "priority"), label(other, "tenant"));
            *waiting.entry(group).or_default() += 1;
        }
    }
    waiting
}

/// Explains each decision of the call queue about the call `id`, in the order of the lines.
pub fn explain_call<'a>(id: &str, lines: &[&'a str]) -> Vec<CallExplanation<'a>> {
    let decisions = lines
        .iter()
        .enumerate()
        .filter(|(_, line)| is_queue_decision(line) && key_value(line, "id") == Some(id));
    decisions
        .map(|(number, line)| CallExplanation {
            line,
            rate_change: rate_change_before(lines, number).map(|change| lines[change]),
            waiting: waiting_at_arrival(lines, line),
        })
        .collect()
}

impl CallExplanation<'_> {
    fn value(&self, key: &str) -> &str {
        key_value(self.line, key).unwrap_or("unknown")
    }

    fn write_decision(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let daemon = daemon(self.line).unwrap_or("the daemon");
        let service = self.value("service");
        if has_event(self.line, "call_queued") {
            return writeln!(
                f,
                "{daemon}: waited {} ms for {service} from position {}, expected {} ms: {}",
                self.value("waited_ms"),
                self.value("position"),
                self.value("expected_wait_ms"),
                self.value("outcome")
            );
        }
        writeln!(
            f,
            "{daemon}: refused for {service} ({}): {} calls ahead, expected wait {} ms, told to \
             come back after {} ms",
            self.value("reason"),
            self.value("ahead"),
            self.value("expected_wait_ms"),
            self.value("retry_after_ms")
        )?;
        writeln!(
            f,
            "  it needed {} tokens, {} were there, at {} calls/s",
            self.value("needed"),
            self.value("tokens"),
            self.value("rate_per_s")
        )
    }

    fn write_claims(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.value("over_share") == "true" {
            let tenant = self.value("tenant");
            writeln!(f, "  tenant {tenant} was over its share")?;
        }
        if self.value("late") == "true" {
            writeln!(f, "  it could no longer be answered within its objective")?;
        }
        Ok(())
    }

    fn write_waiting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((priority, tenant), count) in self.waiting.iter().take(MAX_GROUPS_SHOWN) {
            writeln!(f, "  waiting then: {count} of priority {priority}, tenant {tenant}")?;
        }
        let hidden: usize = self.waiting.values().skip(MAX_GROUPS_SHOWN).sum();
        if hidden > 0 {
            writeln!(f, "  waiting then: {hidden} others")?;
        }
        Ok(())
    }

    fn write_rate_change(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(change) = self.rate_change else {
            return writeln!(f, "  no change of the rate before it in this log");
        };
        let value = |key| key_value(change, key).unwrap_or("unknown");
        writeln!(
            f,
            "  rate before it: {} calls/s ({}: {} answered, {} rejected, mean {} of the objective, usual {})",
            value("rate_per_s"),
            value("reason"),
            value("answered"),
            value("rejected"),
            value("mean_share"),
            value("usual_share")
        )
    }
}

impl fmt::Display for CallExplanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_decision(f)?;
        self.write_claims(f)?;
        self.write_waiting(f)?;
        self.write_rate_change(f)
    }
}
