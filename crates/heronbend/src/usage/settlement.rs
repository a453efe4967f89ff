//! Settled windows and the state of their reports.
//!
//! Reports are sent only from the stored record, and the record is replaced only by
//! compare-and-swap at its known revision. Hence all reports of a window are identical, whichever
//! daemon sends them and even if the daemon that settled the window fails.

use serde::Deserialize;
use serde::Serialize;

use super::Counts;
use super::Window;

/// Maximum number of windows in the record.
const MAX_RETAINED: usize = 60;
/// Number of reported windows that the record retains, since a new reporter may not know of the
/// latest accepted reports.
const RETAINED_REPORTED: u64 = 3;
/// Maximum number of windows settled by one proposal after an outage.
const MAX_CATCH_UP: u64 = 40;

/// The usage report of one window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The reported window.
    pub window: Window,
    /// Requests that servers started in the window.
    pub counts: Counts,
}

/// The stored record of settled windows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettledWindows {
    reports: Vec<Report>,
}

impl SettledWindows {
    /// Returns the last settled window.
    pub fn last_window(&self) -> Option<Window> {
        self.reports.last().map(|report| report.window)
    }

    /// Returns the reports of the settled windows in ascending order.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// Removes reports that are no longer needed, and the oldest ones beyond the size limit.
    fn prune(&mut self, reported: Option<Window>) {
        let first = reported.map_or(Window(0), |reported| reported.before(RETAINED_REPORTED));
        self.reports.retain(|report| report.window > first);
        let excess = self.reports.len().saturating_sub(MAX_RETAINED);
        self.reports.drain(..excess);
    }
}

/// A write of the record by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Expected current revision; `None` creates the record.
    pub replaces: Option<u64>,
    /// The new record.
    pub settled: SettledWindows,
}

/// One daemon's view of the settled and reported windows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Settlement {
    /// First window to settle if there is no record yet.
    first: Window,
    /// The record with its revision, if known.
    record: Option<(u64, SettledWindows)>,
    /// Last window known to have an accepted report.
    reported: Option<Window>,
}

impl Settlement {
    /// Creates a view without a known record, where `first` is the first window with counts.
    pub fn new(first: Window) -> Self {
        Self { first, record: None, reported: None }
    }

    /// Updates the known record if `revision` is newer.
    pub fn update_record(&mut self, revision: u64, settled: SettledWindows) {
        if self.record.as_ref().is_none_or(|(known, _)| *known < revision) {
            self.record = Some((revision, settled));
        }
    }

    /// Records that the report of a window, and hence of all earlier ones, was accepted. The report
    /// may have been sent by another daemon.
    pub fn mark_reported(&mut self, window: Window) {
        self.reported = self.reported.max(Some(window));
    }

    /// Discards the known record after a write with an unknown outcome, so that it is read again.
    pub fn invalidate(&mut self) {
        self.record = None;
    }

    /// Returns whether all windows up to and including this one are known to be reported.
    pub fn is_reported(&self, window: Window) -> bool {
        self.reported >= Some(window)
    }

    /// Returns the first window that is not known to be reported.
    pub fn next_unreported(&self) -> Window {
        self.reported.map_or(self.first, Window::next)
    }

    /// Returns the write that settles all closed windows up to `last`, or `None` if they are
    /// settled.
    pub fn proposal(&self, last: Window, total: impl Fn(Window) -> Counts) -> Option<Proposal> {
        let record = self.record.as_ref();
        let mut settled = record.map(|(_, settled)| settled.clone()).unwrap_or_default();
        let next = settled.last_window().map_or(self.first, Window::next);
        let mut window = next.max(last.before(MAX_CATCH_UP - 1));
        if window > last {
            return None;
        }
        while window <= last {
            settled.reports.push(Report { window, counts: total(window) });
            window = window.next();
        }
        settled.prune(self.reported);
        Some(Proposal { replaces: record.map(|(revision, _)| *revision), settled })
    }

    /// Returns the next report to send: the first settled one that is not known to be accepted.
    pub fn next_report(&self) -> Option<&Report> {
        let (_, settled) = self.record.as_ref()?;
        settled.reports.iter().find(|report| self.reported < Some(report.window))
    }
}
