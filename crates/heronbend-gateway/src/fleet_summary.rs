//! What a fleet did over a time, from the log lines of all its daemons: late steps with the part that
//! made them late, jobs that changed hands, calls to the store and connections by reason.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::value;
use crate::steps;
use crate::steps::Step;

/// What made a step late: the part of its time that is longest beyond what it takes at best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was taken in late: the store was away, or did not answer.
    HandIn,
    /// Its texts took longer, and it changed hands.
    Owner,
    /// Its texts took longer at their servers.
    Texts,
    /// Whole texts were not listed: the store was away, or did not answer.
    Listing,
    /// The trainer looked late, or rested.
    End,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::HandIn => "hand-in",
            Self::Owner => "owner lost",
            Self::Texts => "texts",
            Self::Listing => "listing",
            Self::End => "end",
        }
    }
}

/// What made a step take so long.
pub fn cause(step: &Step) -> Cause {
    let texts = if step.adoptions > 0 { Cause::Owner } else { Cause::Texts };
    let parts = [
        (step.hand_in, Cause::HandIn),
        (step.texts - step.bound, texts),
        (step.listing, Cause::Listing),
        (step.end, Cause::End),
    ];
    parts.into_iter().max_by(|one, other| one.0.total_cmp(&other.0)).map_or(texts, |(_, c)| c)
}

/// What the lines of a fleet tell of a time.
#[derive(Debug, Default, PartialEq)]
pub struct Day {
    /// The steps that were handed in and ended.
    pub steps: Vec<Step>,
    /// Jobs that changed hands, by reason.
    pub adoptions: BTreeMap<String, u64>,
    /// Owners that were asked, and ran their job.
    pub owners_well: u64,
    /// Calls to the store, by what they were for.
    pub store_calls: BTreeMap<String, u64>,
    /// Connections opened to servers, by reason.
    pub connections: BTreeMap<String, u64>,
    /// Attempts at servers that did not make a text whole, by outcome.
    pub attempts: BTreeMap<String, u64>,
    /// Calls to the store by second of the log, as far as daemons have told of them.
    pub calls_by_time: BTreeMap<i64, u64>,
}

/// Adds counts that a line tells as `label:count,label:count`; their sum.
fn add_pairs(into: &mut BTreeMap<String, u64>, pairs: &str) -> u64 {
    let mut sum = 0;
    for (label, count) in pairs.split(',').filter_map(|pair| pair.rsplit_once(':')) {
        // A count that is cut off tells nothing.
        let Ok(count) = count.parse::<u64>() else {
            continue;
        };
        *into.entry(label.to_owned()).or_default() += count;
        sum += count;
    }
    sum
}

/// How an attempt ended. The text stands in quotation marks, and may hold some itself.
fn outcome(line: &str) -> &str {
    let quoted = line.split_once("outcome=\"").and_then(|(_, rest)| rest.split_once("\" "));
    quoted.map_or("untold", |(outcome, _)| outcome)
}

impl Day {
    /// Reads the lines of all daemons; each begins with its time, others are passed over.
    pub fn read(text: &str) -> Self {
        let mut day = Self { steps: steps::steps(text.lines()), ..Self::default() };
        for line in text.lines() {
            if let (Some(at), Some(event)) = (steps::time(line), value(line, "event")) {
                day.take(at, event, line);
            }
        }
        day
    }

    fn take(&mut self, at: f64, event: &str, line: &str) {
        match event {
            "job_adopted" if line.contains("outcome=done") => {
                let reason = value(line, "reason").unwrap_or("untold").to_owned();
                *self.adoptions.entry(reason).or_default() += 1;
            }
            "owner_asked" if line.contains("runs_it=true") => self.owners_well += 1,
            "item_attempt" => {
                *self.attempts.entry(outcome(line).to_owned()).or_default() += 1;
            }
            "counted" => {
                let calls = value(line, "store_calls").unwrap_or_default();
                let sum = add_pairs(&mut self.store_calls, calls);
                *self.calls_by_time.entry(at.floor() as i64).or_default() += sum;
                add_pairs(&mut self.connections, value(line, "connections").unwrap_or_default());
            }
            _ => {}
        }
    }

    /// The steps that took longer than so many seconds, each with its cause.
    pub fn late(&self, limit: f64) -> impl Iterator<Item = (&Step, Cause)> {
        let late = self.steps.iter().filter(move |step| step.total() > limit);
        late.map(|step| (step, cause(step)))
    }

    /// Late steps by cause, with the seconds beyond the limit.
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
    what: &str,
    counts: &BTreeMap<String, u64>,
) -> fmt::Result {
    let sum: u64 = counts.values().sum();
    writeln!(f, "{what}: {sum}")?;
    let mut sorted: Vec<_> = counts.iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (label, count) in sorted {
        writeln!(f, "  {count:>7}  {label}")?;
    }
    Ok(())
}

/// A day with the time after which a step is late, in seconds.
pub struct Report<'a> {
    /// The day.
    pub day: &'a Day,
    /// The limit.
    pub limit: f64,
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { day, limit } = self;
        let late = day.late(*limit).count();
        writeln!(f, "steps: {}, of them {late} took over {limit} s", day.steps.len())?;
        for (cause, (count, seconds)) in day.late_by_cause(*limit) {
            writeln!(f, "  {count:>7}  {:10}  {seconds:.2} s over", cause.name())?;
        }
        write_counts(f, "jobs that changed hands", &day.adoptions)?;
        writeln!(f, "owners taken for lost that were well: {}", day.owners_well)?;
        write_counts(f, "attempts that did not make a text whole", &day.attempts)?;
        write_counts(f, "calls to the store", &day.store_calls)?;
        write_counts(f, "connections opened to servers", &day.connections)
    }
}
