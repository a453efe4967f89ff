//! Where the time of trainers' steps went, from the log lines of all daemons.
//!
//! A step's time is split at its deciding text, the last one that became whole before the trainer
//! ended the step: hand-in, texts, listing, and the trainer's own look. Beside it stands the lower
//! bound that its longest text sets at the fastest pace of the log.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::value;

/// Texts that are shorter say little of a server's pace: their start weighs too much.
const PACE_EVENTS: u64 = 60;

/// The text that decided when a step ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Text {
    /// Its item.
    pub item: String,
    /// Its events.
    pub events: u64,
    /// Time from the start of its run to its score, in milliseconds.
    pub total_ms: u64,
    /// How its attempts at servers that did not make it whole ended, in order.
    pub attempts: Vec<String>,
}

/// One step, from hand-in to end. Times are in seconds of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Its job.
    pub job: String,
    /// Its number, as the log tells it.
    pub number: String,
    /// When it was handed in.
    pub handed_in: f64,
    /// Time to take it in.
    pub hand_in: f64,
    /// Time from then until its deciding text was whole.
    pub texts: f64,
    /// Time from then until the last results before the end were listed; 0 where they were before.
    pub listing: f64,
    /// Time from then until the end was recorded.
    pub end: f64,
    /// The time that its longest text takes at the fastest pace of the log.
    pub bound: f64,
    /// The deciding text.
    pub decided_by: Text,
    /// How often it changed hands.
    pub adoptions: usize,
}

impl Step {
    /// Time from hand-in to end.
    pub fn total(&self) -> f64 {
        self.hand_in + self.texts + self.listing + self.end
    }
}

#[derive(Debug, Default)]
struct Job {
    number: Option<String>,
    /// When it was taken in first, and how long that took.
    handed_in: Option<(f64, f64)>,
    ended: Option<f64>,
    /// When each text became whole.
    texts: Vec<(f64, Text)>,
    listed: Vec<f64>,
    attempts: BTreeMap<String, Vec<String>>,
    adoptions: usize,
}

/// The time that stands before a line, in seconds.
pub(crate) fn time(line: &str) -> Option<f64> {
    line.split_whitespace().next()?.parse().ok()
}

fn number<T: std::str::FromStr>(line: &str, key: &str) -> Option<T> {
    value(line, key)?.parse().ok()
}

impl Job {
    fn take(&mut self, event: &str, at: f64, line: &str) -> Option<()> {
        match event {
            "job_handed_in" if line.contains("outcome=Ok") && self.handed_in.is_none() => {
                let took = number::<f64>(line, "ms")? / 1e3;
                self.number = value(line, "step").map(str::to_owned);
                self.handed_in = Some((at - took, took));
            }
            "job_end_asked" if line.contains("outcome=Ok") => {
                self.ended.get_or_insert(at);
            }
            "job_adopted" if line.contains("outcome=done") => self.adoptions += 1,
            "results_listed" => self.listed.push(at),
            "item_attempt" => {
                let outcome = value(line, "outcome")?.trim_matches('"').to_owned();
                let item = value(line, "item")?.to_owned();
                self.attempts.entry(item).or_default().push(outcome);
            }
            "item_done" => {
                let item = value(line, "item")?.to_owned();
                let attempts = self.attempts.get(&item).cloned().unwrap_or_default();
                let (events, total_ms) = (number(line, "events")?, number(line, "total_ms")?);
                self.texts.push((at, Text { item, events, total_ms, attempts }));
            }
            _ => {}
        }
        Some(())
    }

    fn step(&self, name: &str, pace: f64) -> Option<Step> {
        let (handed_in, hand_in) = self.handed_in?;
        let ended = self.ended?;
        let before_end = self.texts.iter().filter(|(at, _)| *at <= ended);
        let (whole, decided_by) =
            before_end.clone().max_by(|(one, _), (other, _)| one.total_cmp(other))?;
        let longest = before_end.map(|(_, text)| text.events).max()?;
        let taken_in = handed_in + hand_in;
        let listed = self.listed.iter().copied().filter(|at| *at <= ended).fold(*whole, f64::max);
        Some(Step {
            job: name.to_owned(),
            number: self.number.clone().unwrap_or_else(|| "none".to_owned()),
            handed_in,
            hand_in,
            texts: whole - taken_in,
            listing: listed - whole,
            end: ended - listed,
            bound: longest as f64 * pace,
            decided_by: decided_by.clone(),
            adoptions: self.adoptions,
        })
    }
}

/// The steps that the lines tell of from hand-in to end, in the order in which they were handed in.
/// Lines begin with their time in seconds, as the platform prints them; others are passed over.
pub fn steps<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<Step> {
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    for line in lines {
        let (Some(at), Some(event), Some(job)) =
            (time(line), value(line, "event"), value(line, "job"))
        else {
            continue;
        };
        // A line that lacks a key tells nothing here.
        let _ = jobs.entry(job.to_owned()).or_default().take(event, at, line);
    }
    // A new owner may go on with a text that another one began: its time says nothing of a pace.
    let unmoved = jobs.values().filter(|job| job.adoptions == 0);
    let texts = unmoved.flat_map(|job| job.texts.iter());
    let clean = texts.filter(|(_, text)| text.events >= PACE_EVENTS && text.attempts.is_empty());
    let pace = clean
        .map(|(_, text)| text.total_ms as f64 / 1e3 / text.events as f64)
        .min_by(f64::total_cmp)
        .unwrap_or(0.0);
    let mut steps: Vec<Step> = jobs.iter().filter_map(|(name, job)| job.step(name, pace)).collect();
    steps.sort_by(|one, other| one.handed_in.total_cmp(&other.handed_in));
    steps
}

/// The heading of the table whose rows are steps.
pub const HEADING: &str =
    "step  job               from s  hand-in  texts  listing    end  total  bound  \
                           moved  decided by";

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.decided_by;
        write!(
            f,
            "{:>4}  {:16} {:>7.2} {:>8.2} {:>6.2} {:>8.2} {:>6.2} {:>6.2} {:>6.2} {:>6}  {} ({} events, {} ms{}{})",
            self.number,
            self.job,
            self.handed_in,
            self.hand_in,
            self.texts,
            self.listing,
            self.end,
            self.total(),
            self.bound,
            self.adoptions,
            text.item,
            text.events,
            text.total_ms,
            if text.attempts.is_empty() { "" } else { ": " },
            text.attempts.join(", "),
        )
    }
}
