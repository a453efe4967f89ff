//! Summarizes the activity of a fleet from the log lines of all its daemons: late steps with the
//! cause of their delay, who was refused or delayed under load, ownership changes of jobs, store
//! calls and connections to servers.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::key_value;
use crate::load_summary::LoadSummary;
use crate::steps;
use crate::steps::Step;

/// The phase that delayed a step: the one with the most time beyond its lower bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Submission: the store was slow or unavailable.
    Submission,
    /// Generation, of a job whose owner was lost.
    OwnerLost,
    /// Generation, of a job that kept its owner.
    Generation,
    /// Commit of the results: the store was slow or unavailable.
    Commit,
    /// Completion by the trainer, after the results were committed.
    Completion,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Submission => "hand-in",
            Self::OwnerLost => "owner lost",
            Self::Generation => "texts",
            Self::Commit => "listing",
            Self::Completion => "end",
        }
    }
}

/// Returns the main cause of a step's duration.
pub fn cause(step: &Step) -> Cause {
    let generation = if step.adoptions > 0 { Cause::OwnerLost } else { Cause::Generation };
    let phases = [
        (step.submission, Cause::Submission),
        (step.generation - step.generation_bound, generation),
        (step.commit, Cause::Commit),
        (step.completion, Cause::Completion),
    ];
    phases.into_iter().max_by(|one, other| one.0.total_cmp(&other.0)).map_or(generation, |(_, c)| c)
}

/// A summary of a fleet's log lines.
#[derive(Debug, Default, PartialEq)]
pub struct FleetSummary {
    /// Steps that were both submitted and ended.
    pub steps: Vec<Step>,
    /// Ownership changes of jobs, by reason.
    pub adoptions: BTreeMap<String, u64>,
    /// Owners that were suspected to be lost but confirmed that they run their job.
    pub false_suspicions: u64,
    /// Calls to the store, by purpose.
    pub store_calls: BTreeMap<String, u64>,
    /// Connections opened to servers, by reason.
    pub connections: BTreeMap<String, u64>,
    /// Attempts that did not complete an item, by outcome.
    pub attempts: BTreeMap<String, u64>,
    /// Calls to the store, by the second in which daemons reported them.
    pub calls_by_time: BTreeMap<i64, u64>,
    /// Calls and submitted steps, by whom they belong to.
    pub load: LoadSummary,
}

/// Adds counts given as `label:count,label:count` to `into`, and returns their sum.
fn add_counts(into: &mut BTreeMap<String, u64>, counts: &str) -> u64 {
    let mut sum = 0;
    for (label, count) in counts.split(',').filter_map(|entry| entry.rsplit_once(':')) {
        // A truncated line may end within a count.
        let Ok(count) = count.parse::<u64>() else {
            continue;
        };
        *into.entry(label.to_owned()).or_default() += count;
        sum += count;
    }
    sum
}

/// Returns the outcome of an attempt. Its quoted value may itself contain quotation marks.
fn outcome(line: &str) -> &str {
    let quoted = line.split_once("outcome=\"").and_then(|(_, rest)| rest.split_once("\" "));
    quoted.map_or("untold", |(outcome, _)| outcome)
}

impl FleetSummary {
    /// Summarizes the lines of all daemons. Each line starts with its time in seconds; others are
    /// ignored.
    pub fn from_log(text: &str) -> Self {
        let mut summary = Self { steps: steps::parse_steps(text.lines()), ..Self::default() };
        for line in text.lines() {
            if let (Some(at), Some(event)) = (steps::line_time(line), key_value(line, "event")) {
                summary.record_line(at, event, line);
                summary.load.record_line(event, line);
            }
        }
        summary
    }

    fn record_line(&mut self, at: f64, event: &str, line: &str) {
        match event {
            "job_adopted" if line.contains("outcome=done") => {
                let reason = key_value(line, "reason").unwrap_or("untold").to_owned();
                *self.adoptions.entry(reason).or_default() += 1;
            }
            "owner_asked" if line.contains("runs_it=true") => self.false_suspicions += 1,
            "item_attempt" => {
                *self.attempts.entry(outcome(line).to_owned()).or_default() += 1;
            }
            "counted" => {
                let calls = key_value(line, "store_calls").unwrap_or_default();
                let sum = add_counts(&mut self.store_calls, calls);
                *self.calls_by_time.entry(at.floor() as i64).or_default() += sum;
                add_counts(
                    &mut self.connections,
                    key_value(line, "connections").unwrap_or_default(),
                );
            }
            _ => {}
        }
    }

    /// Returns the steps that took longer than `limit` seconds, each with its cause.
    pub fn late(&self, limit: f64) -> impl Iterator<Item = (&Step, Cause)> {
        let late = self.steps.iter().filter(move |step| step.total() > limit);
        late.map(|step| (step, cause(step)))
    }

    /// Returns, for each cause, the number of late steps and their total seconds beyond `limit`.
    pub fn late_by_cause(&self, limit: f64) -> BTreeMap<Cause, (usize, f64)> {
        let mut causes: BTreeMap<Cause, (usize, f64)> = BTreeMap::new();
        for (step, cause) in self.late(limit) {
            let (count, seconds) = causes.entry(cause).or_default();
            *count += 1;
            *seconds += step.total() - limit;
        }
        causes
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &BTreeMap<String, u64>,
) -> fmt::Result {
    let sum: u64 = counts.values().sum();
    writeln!(f, "{title}: {sum}")?;
    let mut sorted: Vec<_> = counts.iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (label, count) in sorted {
        writeln!(f, "  {count:>7}  {label}")?;
    }
    Ok(())
}

/// Displays a summary as text.
pub struct SummaryReport<'a> {
    /// The summary to display.
    pub summary: &'a FleetSummary,
    /// Seconds after which a step counts as late.
    pub limit: f64,
}

impl fmt::Display for SummaryReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { summary, limit } = self;
        let late = summary.late(*limit).count();
        writeln!(f, "steps: {}, of them {late} took over {limit} s", summary.steps.len())?;
        for (cause, (count, seconds)) in summary.late_by_cause(*limit) {
            writeln!(f, "  {count:>7}  {:10}  {seconds:.2} s over", cause.name())?;
        }
        summary.load.write(f, &summary.steps, *limit)?;
        write_counts(f, "jobs that changed hands", &summary.adoptions)?;
        writeln!(f, "owners taken for lost that were well: {}", summary.false_suspicions)?;
        write_counts(f, "attempts that did not make a text whole", &summary.attempts)?;
        write_counts(f, "calls to the store", &summary.store_calls)?;
        write_counts(f, "connections opened to servers", &summary.connections)
    }
}
