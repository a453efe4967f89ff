//! What tenants use, as this daemon counts it and as others tell it.

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

/// Windows whose counts are kept after their end: those that may still be settled.
const KEPT_WINDOWS: u64 = 60;

/// How usage is to be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Length of a window.
    pub window: Duration,
    /// Time after a window's end within which it is to be reported.
    pub due: Duration,
}

/// The usage that one daemon knows.
pub struct Book {
    terms: Terms,
    me: NodeId,
    clock: RefCell<WindowClock>,
    ledger: RefCell<Ledger>,
    /// Windows that are settled and reported.
    pub settlement: RefCell<Settlement>,
    /// Notified when this daemon has counted a request.
    pub counted: Event,
    /// Notified when a window was reported.
    pub reported: Event,
}

/// The wall clock, as time since the Unix epoch.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Book {
    /// An empty book of a daemon whose steady clock reads `now`.
    pub fn new(me: NodeId, terms: Terms, now: Moment) -> Self {
        let clock = WindowClock::new(terms.window, now, wall_clock());
        let first = clock.window(now);
        Self {
            terms,
            me,
            clock: RefCell::new(clock),
            ledger: RefCell::default(),
            settlement: RefCell::new(Settlement::new(first)),
            counted: Event::new(),
            reported: Event::new(),
        }
    }

    /// How usage is to be reported.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// Time since the Unix epoch, as windows follow it.
    pub fn time(&self, now: Moment) -> Duration {
        self.clock.borrow_mut().read(now, wall_clock())
    }

    /// Takes over the time of a daemon that has run for longer.
    pub fn hear_time(&self, now: Moment, theirs: Duration) {
        if self.clock.borrow_mut().adopt_peer_time(now, theirs) {
            log::warn!("event=wall_clock_differs theirs_ms={}", theirs.as_millis());
        }
    }

    /// The window in which something happened at `at`.
    pub fn window(&self, at: Moment) -> Window {
        self.clock.borrow().window(at)
    }

    /// When a window ends, by this daemon's steady clock.
    pub fn end(&self, window: Window) -> Moment {
        self.clock.borrow().end(window)
    }

    /// Counts a request of a tenant that a server began at `at`.
    pub fn count(&self, now: Moment, at: Moment, tenant: &str) {
        // Keeps the clock's course known.
        self.time(now);
        let window = self.window(at);
        self.note_late(window, &self.me);
        self.ledger.borrow_mut().increment(&self.me, window, tenant);
        self.counted.notify(usize::MAX);
    }

    /// Takes in what another daemon has counted; a daemon's counts only grow.
    pub fn learn(&self, daemon: &NodeId, window: Window, counts: &Counts) {
        if self.ledger.borrow_mut().merge(daemon, window, counts) {
            self.note_late(window, daemon);
        }
    }

    /// What was counted in a settled window is never added to its report.
    fn note_late(&self, window: Window, daemon: &NodeId) {
        if self.settlement.borrow().is_reported(window) {
            log::warn!("event=usage_late window={} daemon={daemon}", window.0);
        }
    }

    /// The counts of this daemon, by window.
    pub fn own(&self) -> Vec<(Window, Counts)> {
        let ledger = self.ledger.borrow();
        ledger.counts_of(&self.me).map(|(window, counts)| (window, counts.clone())).collect()
    }

    /// What all daemons together have counted in a window.
    pub fn total(&self, window: Window) -> Counts {
        self.ledger.borrow().total(window)
    }

    /// Notes that a report of a window was accepted.
    pub fn note_reported(&self, window: Window) {
        self.settlement.borrow_mut().mark_reported(window);
        self.ledger.borrow_mut().forget_before(window.before(KEPT_WINDOWS));
        self.reported.notify(usize::MAX);
    }
}
