//! Reports what the steps that run here need to the daemons that plan the loads of versions.
//!
//! Sent only if loads are planned by need, to the candidates for the lease. A report has at most
//! [`MAX_ENTRIES`] entries for items and [`MAX_PACES`] paces of servers, some 850 bytes.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use heronbend::Moment;
use smol::Timer;

use super::length_estimate::LengthEstimator;
use super::registry::Job;
use super::specification::JobSpecification;
use crate::gateway::Gateway;
use crate::peers::messages::ServerPace;
use crate::peers::messages::StepReport;
use crate::peers::Hint;
use crate::versions::need::ITEMS_PER_ENTRY;
use crate::versions::watch::takeover_order;

/// Interval between reports while items wait for a slot.
const WAITING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reports while none waits.
const INTERVAL: Duration = Duration::from_millis(1000);
/// Delay of the first report, after which the items that find no slot wait.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Largest number of entries for items. Longer steps leave out their shortest items.
pub const MAX_ENTRIES: usize = 64;
/// Largest number of paces. Further servers follow in the next reports.
pub const MAX_PACES: usize = 16;

/// Reports the need of a job while this daemon runs it.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    let mut next_pace = 0;
    Timer::after(FIRST_DELAY).await;
    loop {
        let report = if gateway.tuning().versions_by_need {
            report(&gateway, &job, &mut next_pace)
        } else {
            None
        };
        let has_waiting = report.as_ref().is_some_and(|report| !report.waiting.is_empty());
        if let Some(report) = report {
            send(&gateway, report);
        }
        Timer::after(if has_waiting { WAITING_INTERVAL } else { INTERVAL }).await;
    }
}

fn send(gateway: &Gateway, report: StepReport) {
    let mut recipients = takeover_order(gateway).candidates().to_vec();
    if recipients.contains(&gateway.identity.node) {
        receive(gateway, report.clone());
    }
    recipients.retain(|node| *node != gateway.identity.node);
    gateway.members.send_to(recipients, Hint::StepReported(report));
}

/// Handles a report of an owner.
pub fn receive(gateway: &Gateway, report: StepReport) {
    if !gateway.tuning().versions_by_need {
        return;
    }
    {
        let placer = &mut gateway.directory.borrow_mut().placer;
        for pace in &report.paces {
            placer.record_pace(&pace.server, Duration::from_micros(pace.micros));
        }
    }
    gateway.versions.step_reports.record(gateway.now(), report);
    gateway.versions.changed.notify(usize::MAX);
}

fn report(gateway: &Gateway, job: &Job, next_pace: &mut usize) -> Option<StepReport> {
    let specification = job.specification.borrow();
    let specification = specification.as_deref()?;
    let estimator = *gateway.length_estimator.borrow();
    let mut report = prepare(gateway.now(), job, specification, &estimator)?;
    report.paces = paces(gateway, next_pace);
    Some(report)
}

/// Returns the report of a step without paces; `None` if the job is no step or has no deadline.
pub fn prepare(
    now: Moment,
    job: &Job,
    specification: &JobSpecification,
    estimator: &LengthEstimator,
) -> Option<StepReport> {
    let step = specification.step.as_ref()?;
    let target = job.target.get()?;
    let log = job.log.borrow();
    let texts = job.texts.borrow();
    let items = || specification.items.iter().enumerate();
    let remaining = |(position, item)| {
        let events = texts.get(position).borrow().last_event();
        estimator.expected_remaining(item, events)
    };
    let unfinished: Vec<u32> =
        items().filter(|(_, item)| !log.has_result(&item.id)).map(remaining).collect();
    let waiting = items().filter(|(_, item)| job.waiting.contains(&item.id)).map(remaining);
    let lengths = items().map(|(_, item)| estimator.expected_remaining(item, 0));
    Some(StepReport {
        job: job.id.clone(),
        model: step.model.clone(),
        min_version: step.min_version,
        due_millis: to_millis(target.saturating_sub(now)),
        target_millis: to_millis(target.saturating_sub(job.first_seen)),
        unfinished: u32::try_from(unfinished.len()).unwrap_or(u32::MAX),
        longest: unfinished.into_iter().max().unwrap_or(0),
        waiting: entries(waiting.collect()),
        lengths: entries(lengths.collect()),
        paces: Vec::new(),
    })
}

/// Every [`ITEMS_PER_ENTRY`]th length, longest first.
fn entries(mut lengths: Vec<u32>) -> Vec<u32> {
    lengths.sort_by_key(|length| Reverse(*length));
    lengths.into_iter().step_by(ITEMS_PER_ENTRY).take(MAX_ENTRIES).collect()
}

/// The next paces in the order of the directory.
fn paces(gateway: &Gateway, next: &mut usize) -> Vec<ServerPace> {
    let directory = gateway.directory.borrow();
    let known = directory.all().filter_map(|server| {
        let micros = directory.placer.pace(&server.id)?.as_micros() as u64;
        Some(ServerPace { server: server.id.clone(), micros })
    });
    let mut known: Vec<ServerPace> = known.collect();
    if *next >= known.len() {
        *next = 0;
    }
    known.drain(..*next);
    known.truncate(MAX_PACES);
    *next += known.len();
    known
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
