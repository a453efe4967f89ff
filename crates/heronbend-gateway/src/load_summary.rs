//! Sums up from log lines whose calls and steps suffered from load, by route, tenant, trainer and
//! model.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::key_value;
use crate::steps::Step;

/// Wait in the call queue from which a call counts as delayed, in milliseconds.
const LONG_WAIT_MS: f64 = 250.0;
/// Maximum number of routes, and of tenants, in a report.
const MAX_ROWS: usize = 10;

/// What the log tells of one call, over all of its attempts by the client.
#[derive(Debug, Default, PartialEq)]
struct Call {
    route: String,
    tenant: String,
    is_refused: bool,
    has_waited: bool,
    is_late: bool,
}

/// Counts of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Distinct calls.
    pub asked: u64,
    /// Calls that the call queue refused at least once.
    pub refused: u64,
    /// Calls that waited longer than 250 ms in a call queue.
    pub waited: u64,
    /// Calls that timed out, were answered after their objective, or came too late for it.
    pub late: u64,
}

impl CallCounts {
    fn add(&mut self, call: &Call) {
        self.asked += 1;
        self.refused += u64::from(call.is_refused);
        self.waited += u64::from(call.has_waited);
        self.late += u64::from(call.is_late);
    }

    /// Counts by which rows are sorted: refused and late calls first, then those that waited.
    fn loss(&self) -> (u64, u64) {
        (self.refused + self.late, self.waited)
    }
}

/// Counts of steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepCounts {
    /// Steps that were submitted.
    pub steps: u64,
    /// Steps that ended late.
    pub late: u64,
    /// Steps whose end is not in the log.
    pub unfinished: u64,
    /// Groups that the steps asked for.
    pub groups: u64,
}

#[derive(Debug, PartialEq)]
struct Submission {
    /// Route of the submission, which tells the trainers of one model apart.
    trainer: String,
    model: String,
    groups: u64,
}

/// Calls and submitted steps of a fleet.
#[derive(Debug, Default, PartialEq)]
pub struct LoadSummary {
    calls: BTreeMap<String, Call>,
    submissions: BTreeMap<String, Submission>,
}

impl LoadSummary {
    /// Records a log line; those that tell of no call or submission are ignored.
    pub(crate) fn record_line(&mut self, event: &str, line: &str) {
        match event {
            "forwarded" | "call_queued" | "call_refused" => self.record_call(event, line),
            "job_handed_in" if line.contains("outcome=Ok") => self.record_submission(line),
            _ => {}
        }
    }

    fn record_call(&mut self, event: &str, line: &str) {
        let Some(id) = key_value(line, "id") else {
            return;
        };
        let call = self.calls.entry(id.to_owned()).or_default();
        if let Some(route) = key_value(line, "route") {
            route.clone_into(&mut call.route);
        }
        if let Some(tenant) = key_value(line, "tenant") {
            tenant.clone_into(&mut call.tenant);
        }
        let millis = |key| key_value(line, key).and_then(|value| value.parse::<f64>().ok());
        call.has_waited |= millis("waited_ms").is_some_and(|waited| waited > LONG_WAIT_MS);
        call.is_refused |= event == "call_refused";
        call.is_late |= key_value(line, "late") == Some("true");
        call.is_late |= key_value(line, "outcome") == Some("TimedOut");
        let objective = millis("objective_ms");
        call.is_late |= millis("ms").zip(objective).is_some_and(|(ms, objective)| ms > objective);
    }

    fn record_submission(&mut self, line: &str) {
        let (Some(job), Some(model)) = (key_value(line, "job"), key_value(line, "model")) else {
            return;
        };
        let groups = key_value(line, "desired").and_then(|groups| groups.parse().ok());
        // Earlier builds don't log the route.
        let trainer = key_value(line, "route").unwrap_or("unknown").to_owned();
        let submission =
            Submission { trainer, model: model.to_owned(), groups: groups.unwrap_or(0) };
        self.submissions.insert(job.to_owned(), submission);
    }

    fn count_calls<'a>(&'a self, label: fn(&'a Call) -> &'a str) -> Vec<(&'a str, CallCounts)> {
        let mut counts: BTreeMap<&str, CallCounts> = BTreeMap::new();
        for call in self.calls.values() {
            counts.entry(label(call)).or_default().add(call);
        }
        let mut rows: Vec<_> = counts.into_iter().collect();
        rows.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.loss()));
        rows.truncate(MAX_ROWS);
        rows
    }

    /// Returns the counts of the ten routes with the most refused and late calls.
    pub fn by_route(&self) -> Vec<(&str, CallCounts)> {
        self.count_calls(|call| &call.route)
    }

    /// Returns the counts of the ten tenants with the most refused and late calls. Calls without a
    /// tenant count for `none`.
    pub fn by_tenant(&self) -> Vec<(&str, CallCounts)> {
        self.count_calls(|call| &call.tenant)
    }

    /// Returns the counts of each model's steps; steps over `limit` seconds are late.
    pub fn by_model(&self, ended: &[Step], limit: f64) -> BTreeMap<&str, StepCounts> {
        self.count_steps(ended, limit, |submission| &submission.model)
    }

    /// Returns the counts of each trainer's steps, by the route of their submission; steps over
    /// `limit` seconds are late.
    pub fn by_trainer(&self, ended: &[Step], limit: f64) -> BTreeMap<&str, StepCounts> {
        self.count_steps(ended, limit, |submission| &submission.trainer)
    }

    fn count_steps<'a>(
        &'a self,
        ended: &[Step],
        limit: f64,
        label: fn(&'a Submission) -> &'a str,
    ) -> BTreeMap<&'a str, StepCounts> {
        let totals: BTreeMap<_, _> = ended.iter().map(|step| (&step.job, step.total())).collect();
        let mut labels: BTreeMap<&str, StepCounts> = BTreeMap::new();
        for (job, submission) in &self.submissions {
            let counts = labels.entry(label(submission)).or_default();
            counts.steps += 1;
            counts.groups += submission.groups;
            match totals.get(job) {
                Some(total) => counts.late += u64::from(*total > limit),
                None => counts.unfinished += 1,
            }
        }
        labels
    }

    /// Writes the counts of calls by route and tenant, and of steps by trainer and model.
    pub(crate) fn write(
        &self,
        f: &mut fmt::Formatter<'_>,
        ended: &[Step],
        limit: f64,
    ) -> fmt::Result {
        write_calls(f, "calls by route", &self.by_route())?;
        write_calls(f, "calls by tenant", &self.by_tenant())?;
        write_steps(f, "steps by trainer", &self.by_trainer(ended, limit))?;
        write_steps(f, "steps by model", &self.by_model(ended, limit))
    }
}

fn write_steps(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    rows: &BTreeMap<&str, StepCounts>,
) -> fmt::Result {
    writeln!(f, "{:17} steps     late unfinished   groups", format!("{title}:"))?;
    for (label, counts) in rows {
        let StepCounts { steps, late, unfinished, groups } = counts;
        writeln!(f, "  {steps:>21} {late:>8} {unfinished:>10} {groups:>8}  {label}")?;
    }
    Ok(())
}

fn write_calls(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    rows: &[(&str, CallCounts)],
) -> fmt::Result {
    writeln!(f, "{title:15}:  asked  refused   waited     late")?;
    for (label, counts) in rows {
        let CallCounts { asked, refused, waited, late } = counts;
        writeln!(f, "  {asked:>21} {refused:>8} {waited:>8} {late:>8}  {label}")?;
    }
    Ok(())
}
