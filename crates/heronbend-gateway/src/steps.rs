//! Breaks down the duration of trainer steps by phase, from the log lines of all daemons.
//!
//! The phases are submission, generation, commit and completion. Generation ends with the deciding
//! item: the last one that was completed before the trainer ended the step. The lower bound of the
//! generation time is the length of the longest item at the fastest generation speed in the log.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::key_value;

/// Minimum length, in events, of items used to measure the generation speed.
const MIN_SPEED_SAMPLE_EVENTS: u64 = 60;

/// A completed batch item.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletedItem {
    /// Item identifier.
    pub item: String,
    /// Number of events.
    pub events: u64,
    /// Time from the start of its run until it was scored, in milliseconds.
    pub total_ms: u64,
    /// Outcomes of the attempts that did not complete it, in order.
    pub attempts: Vec<String>,
}

/// The phases of one step. Times and durations are in seconds, as in the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Job identifier.
    pub job: String,
    /// Step number, or `none` if the log has none.
    pub number: String,
    /// Time of submission.
    pub submitted_at: f64,
    /// Duration of the submission.
    pub submission: f64,
    /// Duration from the submission until the deciding item was completed.
    pub generation: f64,
    /// Duration from then until the last results before the end were committed; 0 if they already
    /// were.
    pub commit: f64,
    /// Duration from then until the trainer ended the step.
    pub completion: f64,
    /// Lower bound of the generation time.
    pub generation_bound: f64,
    /// The deciding item.
    pub deciding_item: CompletedItem,
    /// Number of times that its job changed owner.
    pub adoptions: usize,
}

impl Step {
    /// Returns the duration from submission to end.
    pub fn total(&self) -> f64 {
        self.submission + self.generation + self.commit + self.completion
    }
}

#[derive(Debug, Default)]
struct JobEvents {
    number: Option<String>,
    /// Start and duration of the first successful submission.
    submitted_at: Option<(f64, f64)>,
    ended: Option<f64>,
    /// Completed items, with the time of completion.
    completed: Vec<(f64, CompletedItem)>,
    commits: Vec<f64>,
    attempts: BTreeMap<String, Vec<String>>,
    adoptions: usize,
}

/// Returns the time at the start of a line, in seconds.
pub(crate) fn line_time(line: &str) -> Option<f64> {
    line.split_whitespace().next()?.parse().ok()
}

fn parse_key<T: std::str::FromStr>(line: &str, key: &str) -> Option<T> {
    key_value(line, key)?.parse().ok()
}

impl JobEvents {
    fn record_line(&mut self, event: &str, at: f64, line: &str) -> Option<()> {
        match event {
            "job_handed_in" if line.contains("outcome=Ok") && self.submitted_at.is_none() => {
                let took = parse_key::<f64>(line, "ms")? / 1e3;
                self.number = key_value(line, "step").map(str::to_owned);
                self.submitted_at = Some((at - took, took));
            }
            "job_end_asked" if line.contains("outcome=Ok") => {
                self.ended.get_or_insert(at);
            }
            "job_adopted" if line.contains("outcome=done") => self.adoptions += 1,
            "results_listed" => self.commits.push(at),
            "item_attempt" => {
                let outcome = key_value(line, "outcome")?.trim_matches('"').to_owned();
                let item = key_value(line, "item")?.to_owned();
                self.attempts.entry(item).or_default().push(outcome);
            }
            "item_done" => {
                let item = key_value(line, "item")?.to_owned();
                let attempts = self.attempts.get(&item).cloned().unwrap_or_default();
                let (events, total_ms) = (parse_key(line, "events")?, parse_key(line, "total_ms")?);
                self.completed.push((at, CompletedItem { item, events, total_ms, attempts }));
            }
            _ => {}
        }
        Some(())
    }

    fn to_step(&self, name: &str, seconds_per_event: f64) -> Option<Step> {
        let (submitted_at, submission) = self.submitted_at?;
        let ended = self.ended?;
        let before_end = self.completed.iter().filter(|(at, _)| *at <= ended);
        let (completed_at, deciding_item) =
            before_end.clone().max_by(|(one, _), (other, _)| one.total_cmp(other))?;
        let longest = before_end.map(|(_, item)| item.events).max()?;
        let generation_start = submitted_at + submission;
        let committed_at =
            self.commits.iter().copied().filter(|at| *at <= ended).fold(*completed_at, f64::max);
        Some(Step {
            job: name.to_owned(),
            number: self.number.clone().unwrap_or_else(|| "none".to_owned()),
            submitted_at,
            submission,
            generation: completed_at - generation_start,
            commit: committed_at - completed_at,
            completion: ended - committed_at,
            generation_bound: longest as f64 * seconds_per_event,
            deciding_item: deciding_item.clone(),
            adoptions: self.adoptions,
        })
    }
}

/// Returns the steps that were both submitted and ended, in order of submission. Lines start with
/// their time in seconds; others are ignored.
pub fn parse_steps<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<Step> {
    let mut jobs: BTreeMap<String, JobEvents> = BTreeMap::new();
    for line in lines {
        let (Some(at), Some(event), Some(job)) =
            (line_time(line), key_value(line, "event"), key_value(line, "job"))
        else {
            continue;
        };
        // Lines without the expected keys are ignored.
        let _ = jobs.entry(job.to_owned()).or_default().record_line(event, at, line);
    }
    // A new owner may resume items of the previous one, so their times cannot be used.
    let single_owner = jobs.values().filter(|job| job.adoptions == 0);
    let items = single_owner.flat_map(|job| job.completed.iter());
    let samples = items
        .filter(|(_, item)| item.events >= MIN_SPEED_SAMPLE_EVENTS && item.attempts.is_empty());
    let seconds_per_event = samples
        .map(|(_, item)| item.total_ms as f64 / 1e3 / item.events as f64)
        .min_by(f64::total_cmp)
        .unwrap_or(0.0);
    let mut steps: Vec<Step> =
        jobs.iter().filter_map(|(name, job)| job.to_step(name, seconds_per_event)).collect();
    steps.sort_by(|one, other| one.submitted_at.total_cmp(&other.submitted_at));
    steps
}

/// Header of the table whose rows are displayed [`Step`]s.
pub const TABLE_HEADER: &str =
    "step  job               from s  hand-in  texts  listing    end  total  bound  \
                           moved  decided by";

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let item = &self.deciding_item;
        write!(
            f,
            "{:>4}  {:16} {:>7.2} {:>8.2} {:>6.2} {:>8.2} {:>6.2} {:>6.2} {:>6.2} {:>6}  {} ({} events, {} ms{}{})",
            self.number,
            self.job,
            self.submitted_at,
            self.submission,
            self.generation,
            self.commit,
            self.completion,
            self.total(),
            self.generation_bound,
            self.adoptions,
            item.item,
            item.events,
            item.total_ms,
            if item.attempts.is_empty() { "" } else { ": " },
            item.attempts.join(", "),
        )
    }
}
