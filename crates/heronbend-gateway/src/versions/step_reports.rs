//! What the owners of jobs report about pending steps to the candidates for the lease, without I/O.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use heronbend::Moment;

use super::need::ModelNeed;
use super::need::NextStart;
use super::need::StepNeed;
use crate::peers::messages::StepReport;

/// Age from which on a report says nothing about the waiting items any more: several reports are
/// missing.
const MAX_AGE: Duration = Duration::from_millis(1500);
/// Time until the first report of a step arrives. Until then the step is expected to be like the
/// last one.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Largest number of jobs with a report.
const MAX_JOBS: usize = 256;
/// Number of steps whose times of submission tell when the next one is due.
const RECENT_STEPS: usize = 3;
/// Age from which on a report may be dropped to make room for one of another job.
const RETENTION: Duration = Duration::from_secs(30);

/// A step, as known from the registry of jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownStep {
    /// The job.
    pub job: String,
    /// The model.
    pub model: String,
    /// Number of items.
    pub items: usize,
    /// When this daemon first learned of the job.
    pub first_seen: Moment,
    /// Whether the job has ended.
    pub ended: bool,
}

/// A pending step about which nothing recent is known.
struct Unreported;

#[derive(Debug)]
struct Received {
    report: StepReport,
    at: Moment,
}

/// The newest report of each job.
#[derive(Debug, Default)]
pub struct StepReports {
    reports: RefCell<HashMap<String, Received>>,
}

impl StepReports {
    /// Records a report.
    pub fn record(&self, now: Moment, report: StepReport) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() >= MAX_JOBS {
            reports.retain(|_, received| now < received.at + RETENTION);
        }
        if reports.len() < MAX_JOBS || reports.contains_key(&report.job) {
            reports.insert(report.job.clone(), Received { report, at: now });
        }
    }

    /// Returns the needs of the models whose pending steps are all reported. `newest` are the
    /// published versions.
    pub fn needs(
        &self,
        now: Moment,
        newest: &BTreeMap<String, u64>,
        mut steps: Vec<KnownStep>,
    ) -> BTreeMap<String, ModelNeed> {
        steps.sort_by_key(|step| step.first_seen);
        let need = |(model, newest): (&String, &u64)| {
            let steps: Vec<&KnownStep> = steps.iter().filter(|step| step.model == *model).collect();
            Some((model.clone(), self.model_need(now, model, *newest, &steps)?))
        };
        newest.iter().filter_map(need).collect()
    }

    fn model_need(
        &self,
        now: Moment,
        model: &str,
        newest: u64,
        known: &[&KnownStep],
    ) -> Option<ModelNeed> {
        let recent = self.recent_report(model)?;
        let target = Duration::from_millis(recent.target_millis);
        // A step that is not reported yet is newer than the reported ones.
        let next_min_version = recent.min_version.saturating_add(1).min(newest);
        let pending = known.iter().filter(|step| !step.ended);
        let step_need = |step: &&KnownStep| self.step_need(now, step, next_min_version, target);
        let steps: Result<Vec<Option<StepNeed>>, Unreported> = pending.map(step_need).collect();
        let steps: Vec<StepNeed> = steps.ok()?.into_iter().flatten().collect();
        let newest_step = steps.iter().map(|step| step.min_version).max().unwrap_or(0);
        let newest_step = newest_step.max(recent.min_version);
        let next_min_version = newest_step.saturating_add(1);
        // A step is submitted once the version after its oldest one is published, which is trained
        // on the step before the previous one.
        let awaited =
            steps.iter().position(|step| step.min_version.checked_add(1) == Some(newest_step));
        let next_start = if newest > next_min_version {
            NextStart::In(next_submission(known).saturating_sub(now))
        } else {
            awaited.map_or(NextStart::In(Duration::ZERO), NextStart::After)
        };
        let lengths = recent.lengths;
        Some(ModelNeed { steps, next_start, next_min_version, lengths, target })
    }

    /// The report of the model's newest step.
    fn recent_report(&self, model: &str) -> Option<StepReport> {
        let reports = self.reports.borrow();
        let reports = reports.values().map(|received| &received.report);
        let newest = reports.filter(|report| report.model == model);
        newest.max_by_key(|report| report.min_version).cloned()
    }

    /// What a pending step needs; `None` if all its texts are complete, or if it is late and not
    /// reported.
    fn step_need(
        &self,
        now: Moment,
        step: &KnownStep,
        next_min_version: u64,
        target: Duration,
    ) -> Result<Option<StepNeed>, Unreported> {
        let reports = self.reports.borrow();
        let received = reports.get(&step.job);
        if received.is_some_and(|received| received.report.unfinished == 0) {
            return Ok(None);
        }
        let min_version = received.map(|received| received.report.min_version);
        let fresh = received.filter(|received| now < received.at + MAX_AGE);
        let due_in = match received {
            Some(received) => {
                let due = received.at + Duration::from_millis(received.report.due_millis);
                due.saturating_sub(now)
            }
            None => (step.first_seen + target).saturating_sub(now),
        };
        if fresh.is_none() && due_in.is_zero() {
            return Ok(None);
        }
        if fresh.is_none() && now >= step.first_seen + FIRST_REPORT_DELAY {
            return Err(Unreported);
        }
        Ok(Some(StepNeed {
            min_version: min_version.unwrap_or(next_min_version),
            due_in,
            items: step.items,
            unfinished: fresh.map(|received| received.report.unfinished as usize),
            longest: fresh.map_or(0, |received| received.report.longest),
            waiting: fresh.map(|received| received.report.waiting.clone()),
        }))
    }
}

/// When the next step is submitted if steps follow each other as quickly as the last ones.
fn next_submission(known: &[&KnownStep]) -> Moment {
    let submitted: Vec<Moment> = known.iter().map(|step| step.first_seen).collect();
    let recent = &submitted[submitted.len().saturating_sub(RECENT_STEPS)..];
    let intervals = recent.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    let interval = intervals.min().unwrap_or_default();
    recent.last().copied().unwrap_or_default() + interval
}
