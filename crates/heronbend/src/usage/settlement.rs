//! Windows that are settled, and which of them are reported.
//!
//! A window is reported only as the record has it, and the record is only ever replaced at the very
//! revision that is known here. So no two reports of a window differ, whoever sends them, and
//! whatever becomes of the one that settled it.

use serde::Deserialize;
use serde::Serialize;

use super::Counts;
use super::Window;

/// Most windows that the record keeps while they cannot be reported.
const MAX_KEPT: usize = 60;
/// Reported windows that the record keeps: whoever takes over may not know that they are.
const KEPT_REPORTED: u64 = 3;
/// Most windows that are settled at once after a time in which none could be.
const MAX_CATCH_UP: u64 = 40;

/// What is reported of a window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// The requests that servers began in it.
    pub counts: Counts,
}

/// The record of settled windows, in ascending order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettledWindows {
    reports: Vec<Report>,
}

impl SettledWindows {
    /// The last settled window.
    pub fn last_window(&self) -> Option<Window> {
        self.reports.last().map(|report| report.window)
    }

    /// What it settles, in ascending order of windows.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// Drops what need not be reported any more.
    fn prune(&mut self, reported: Option<Window>) {
        let first = reported.map_or(Window(0), |reported| reported.before(KEPT_REPORTED));
        self.reports.retain(|report| report.window > first);
        let surplus = self.reports.len().saturating_sub(MAX_KEPT);
        self.reports.drain(..surplus);
    }
}

/// What is to be written: the record, and the revision that it replaces; none makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The revision that it replaces.
    pub replaces: Option<u64>,
    /// The record.
    pub settled: SettledWindows,
}

/// One daemon's view of what is settled and reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Settlement {
    /// The first window that this daemon could settle if nobody has settled any.
    first: Window,
    known: Option<(u64, SettledWindows)>,
    /// The last window of which a report was accepted, as far as is known.
    reported: Option<Window>,
}

impl Settlement {
    /// Nothing is known; nobody counted before `first`.
    pub fn new(first: Window) -> Self {
        Self { first, known: None, reported: None }
    }

    /// The record as the store has it.
    pub fn update_record(&mut self, revision: u64, settled: SettledWindows) {
        if self.known.as_ref().is_none_or(|(known, _)| *known < revision) {
            self.known = Some((revision, settled));
        }
    }

    /// Notes that a report of a window was accepted, by whomever it was sent. Windows are reported in
    /// order.
    pub fn mark_reported(&mut self, window: Window) {
        self.reported = self.reported.max(Some(window));
    }

    /// Forgets a record whose replacement has an unknown outcome: it has to be read again.
    pub fn invalidate(&mut self) {
        self.known = None;
    }

    /// Whether all windows up to this one are known to be reported.
    pub fn is_reported(&self, window: Window) -> bool {
        self.reported >= Some(window)
    }

    /// The first window that is not known to be reported.
    pub fn next_unreported(&self) -> Window {
        self.reported.map_or(self.first, Window::next)
    }

    /// The record that settles all windows up to `last`, which have closed.
    pub fn proposal(&self, last: Window, total: impl Fn(Window) -> Counts) -> Option<Proposal> {
        let known = self.known.as_ref();
        let mut settled = known.map(|(_, settled)| settled.clone()).unwrap_or_default();
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
        Some(Proposal { replaces: known.map(|(revision, _)| *revision), settled })
    }

    /// The next report to send: the first settled one that is not known to be accepted.
    pub fn next_report(&self) -> Option<&Report> {
        let (_, settled) = self.known.as_ref()?;
        settled.reports.iter().find(|report| self.reported < Some(report.window))
    }
}
