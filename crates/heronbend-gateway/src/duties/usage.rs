//! Usage by tenant, as counted by this daemon and reported by others.

use std::cell::RefCell;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use event_listener::Event;
use heronbend::identity::NodeId;
use heronbend::usage::Counts;
use heronbend::usage::Ledger;
use heronbend::usage::Settlement;
use heronbend::usage::Window;
use heronbend::usage::WindowClock;
use heronbend::Moment;

/// Number of past windows whose counts are kept, since they may still be settled.
const RETAINED_WINDOWS: u64 = 60;

/// When usage is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportingSchedule {
    /// Length of a window.
    pub window: Duration,
    /// Maximum time from the end of a window to its report.
    pub deadline: Duration,
}

/// The usage known to one daemon.
pub struct UsageTracker {
    schedule: ReportingSchedule,
    local_node: NodeId,
    clock: RefCell<WindowClock>,
    ledger: RefCell<Ledger>,
    /// Settled and reported windows.
    pub settlement: RefCell<Settlement>,
    /// Notified when this daemon counts a request.
    pub counted: Event,
    /// Notified when a window is reported.
    pub reported: Event,
}

/// Wall clock time since the Unix epoch.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl UsageTracker {
    /// Creates an empty tracker at monotonic time `now`.
    pub fn new(local_node: NodeId, schedule: ReportingSchedule, now: Moment) -> Self {
        let clock = WindowClock::new(schedule.window, now, wall_clock());
        let first = clock.window(now);
        Self {
            schedule,
            local_node,
            clock: RefCell::new(clock),
            ledger: RefCell::default(),
            settlement: RefCell::new(Settlement::new(first)),
            counted: Event::new(),
            reported: Event::new(),
        }
    }

    /// When usage is reported.
    pub fn schedule(&self) -> ReportingSchedule {
        self.schedule
    }

    /// Time since the Unix epoch, on the clock that windows follow.
    pub fn time(&self, now: Moment) -> Duration {
        self.clock.borrow_mut().read(now, wall_clock())
    }

    /// Adopts the window clock of a daemon that has run for longer.
    pub fn adopt_peer_time(&self, now: Moment, peer_time: Duration) {
        if self.clock.borrow_mut().adopt_peer_time(now, peer_time) {
            log::warn!("event=wall_clock_differs theirs_ms={}", peer_time.as_millis());
        }
    }

    /// The window that contains `at`.
    pub fn window(&self, at: Moment) -> Window {
        self.clock.borrow().window(at)
    }

    /// When a window ends, in monotonic time.
    pub fn end(&self, window: Window) -> Moment {
        self.clock.borrow().end(window)
    }

    /// Counts a request of a tenant that a server started at `at`.
    pub fn record_request(&self, now: Moment, at: Moment, tenant: &str) {
        // Updates the window clock.
        self.time(now);
        let window = self.window(at);
        self.warn_if_reported(window, &self.local_node);
        self.ledger.borrow_mut().increment(&self.local_node, window, tenant);
        self.counted.notify(usize::MAX);
    }

    /// Merges the counts of another daemon. They only grow, so old ones have no effect.
    pub fn merge(&self, daemon: &NodeId, window: Window, counts: &Counts) {
        if self.ledger.borrow_mut().merge(daemon, window, counts) {
            self.warn_if_reported(window, daemon);
        }
    }

    /// Logs counts that arrive after the window was reported; they are missing from its report.
    fn warn_if_reported(&self, window: Window, daemon: &NodeId) {
        if self.settlement.borrow().is_reported(window) {
            log::warn!("event=usage_late window={} daemon={daemon}", window.0);
        }
    }

    /// The counts of this daemon by window.
    pub fn local_counts(&self) -> Vec<(Window, Counts)> {
        let ledger = self.ledger.borrow();
        ledger
            .counts_of(&self.local_node)
            .map(|(window, counts)| (window, counts.clone()))
            .collect()
    }

    /// The counts of all daemons in a window.
    pub fn total(&self, window: Window) -> Counts {
        self.ledger.borrow().total(window)
    }

    /// Records that a window was reported successfully, and removes old counts.
    pub fn mark_reported(&self, window: Window) {
        self.settlement.borrow_mut().mark_reported(window);
        self.ledger.borrow_mut().forget_before(window.before(RETAINED_WINDOWS));
        self.reported.notify(usize::MAX);
    }
}
