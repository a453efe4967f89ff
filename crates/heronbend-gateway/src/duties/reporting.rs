//! Settles windows of usage and reports them, at the daemon whose turn it is.

use std::rc::Rc;
use std::time::Duration;

use heronbend::usage::Report;
use heronbend::usage::SettledWindows;
use heronbend::usage::Window;
use heronbend::Moment;
use smol::Timer;

use super::book::Book;
use super::line;
use crate::gateway::Gateway;
use crate::lease_keeper::LeaseKeeper;
use crate::mirror::backoff;
use crate::peers::Hint;
use crate::peers::INTRODUCTION;
use crate::ports::Actor;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::Provider;
use crate::ports::ProviderError;
use crate::ports::StoreError;
use crate::versions::lease::LEASE_DURATION;

/// Kind and name of the record of settled windows.
const RECORD_KIND: &str = "heronbend-usage";
const RECORD_NAME: &str = "settled";
/// Share of the time for a report that passes between a window's end and its settling: requests of
/// that window still end, and daemons tell of them.
const SETTLE_SHARE: f64 = 0.25;
/// How long a daemon waits for the one before it in line, after it could have reported.
const STALL: Duration = Duration::from_secs(3);
/// Time between two looks whose turn it is.
const LOOK: Duration = Duration::from_millis(250);
/// Time without a success after which another daemon had better try: this one may be cut off. Most
/// outages of the provider are shorter, and a change of the holder takes as long.
const YIELD_AFTER: Duration = Duration::from_secs(6);
/// Time for which a daemon that has yielded waits behind all others.
const YIELD: Duration = Duration::from_secs(12);

struct Reporter {
    gateway: Rc<Gateway>,
    book: Rc<Book>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseKeeper>,
    failures: u32,
    failing_since: Moment,
    yields_until: Moment,
}

/// Runs until the daemon ends.
pub async fn run(
    gateway: Rc<Gateway>,
    book: Rc<Book>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseKeeper>,
) {
    gateway.members.introduction.wait().await;
    let mut reporter = Reporter {
        gateway,
        book,
        provider,
        lease,
        failures: 0,
        failing_since: Moment::ZERO,
        yields_until: Moment::ZERO,
    };
    loop {
        let ready_at = reporter.ready_at();
        let now = reporter.gateway.now();
        if now < ready_at {
            Timer::after(ready_at - now).await;
            continue;
        }
        if !reporter.is_my_turn() {
            Timer::after(LOOK).await;
            continue;
        }
        reporter.step().await;
    }
}

impl Reporter {
    /// Time after a window's end at which it is settled.
    fn settle_delay(&self) -> Duration {
        self.book.terms().due.mul_f64(SETTLE_SHARE)
    }

    /// When the next window can be settled.
    fn ready_at(&self) -> Moment {
        let due = self.book.settlement.borrow().next_unreported();
        self.book.end(due) + self.settle_delay()
    }

    fn is_my_turn(&self) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        if !gateway.store.is_reached() || now < INTRODUCTION {
            return false;
        }
        let line = line::here(gateway);
        let mut place = line::place(&line, &gateway.identity.node);
        if now < self.yields_until {
            place = line.len();
        }
        let since = self.ready_at().max(gateway.store_reached_since.get());
        if place == 0 {
            return now >= since;
        }
        // Who has just taken the lease has to wait for the one before it. To take it away meanwhile
        // would make both wait anew.
        let holder_acts = gateway.duty_lease.last_renewal().unwrap_or_default()
            + LEASE_DURATION
            + gateway.tuning().lease_pause;
        now >= since.max(holder_acts) + STALL * u32::try_from(place).unwrap_or(u32::MAX)
    }

    /// Does what is due next; rests after a failure.
    async fn step(&mut self) {
        let done = self.try_step().await;
        if done {
            self.failures = 0;
            return;
        }
        if let Some(until) = self.lease.waits_until() {
            Timer::after(until.saturating_sub(self.gateway.now()).min(LOOK)).await;
            return;
        }
        if self.failures == 0 {
            self.failing_since = self.gateway.now();
        }
        self.failures += 1;
        if self.gateway.now() >= self.failing_since + YIELD_AFTER {
            log::warn!("event=duty_yielded duty=usage failures={}", self.failures);
            self.failures = 0;
            self.yields_until = self.gateway.now() + YIELD;
            return;
        }
        Timer::after(backoff(self.failures + 1)).await;
    }

    async fn try_step(&self) -> bool {
        if !self.lease.ensure().await {
            return false;
        }
        if !self.settle().await {
            return false;
        }
        let report = self.book.settlement.borrow().next_report().cloned();
        match report {
            Some(report) => self.send(&report).await,
            None => true,
        }
    }

    /// The last window that can be settled now.
    fn last_closed(&self) -> Window {
        let settled_until = self.gateway.now().saturating_sub(self.settle_delay());
        self.book.window(settled_until).before(1)
    }

    /// Settles what has closed; false when the record is not known afterwards.
    async fn settle(&self) -> bool {
        let proposal = {
            let settlement = self.book.settlement.borrow();
            settlement.proposal(self.last_closed(), |window| self.book.total(window))
        };
        let Some(proposal) = proposal else {
            return true;
        };
        let content = serde_json::json!(proposal.settled);
        let store = &self.gateway.store;
        let written = match proposal.replaces {
            Some(at) => store.replace(RECORD_KIND, RECORD_NAME, content, Condition::At(at)).await,
            None => store.create(RECORD_KIND, RECORD_NAME, content).await,
        };
        match written {
            Ok(object) => {
                let through = proposal.settled.last_window().unwrap_or_default();
                log::info!(
                    "event=usage_settled through={} requests={} revision={}",
                    through.0,
                    self.book.total(through).total(),
                    object.revision
                );
                self.learn(&object)
            }
            // Another daemon has settled meanwhile; what it settled is what is reported.
            Err(StoreError::Conflict(Some(object))) => self.learn(&object),
            Err(error) => {
                log::warn!("event=usage_not_settled error=\"{error}\"");
                if !error.is_not_done() {
                    self.book.settlement.borrow_mut().invalidate();
                }
                false
            }
        }
    }

    fn learn(&self, object: &Object) -> bool {
        match serde_json::from_value::<SettledWindows>(object.content.clone()) {
            Ok(settled) => {
                self.book.settlement.borrow_mut().update_record(object.revision, settled);
                true
            }
            Err(error) => {
                log::error!("event=usage_record_malformed error=\"{error}\"");
                false
            }
        }
    }

    async fn send(&self, report: &Report) -> bool {
        let Some(fence) = self.lease.token() else {
            return false;
        };
        let actor = Actor { holder: self.gateway.identity.node.name.clone(), fence };
        let begun = self.gateway.now();
        let sent = self.provider.report_usage(report, &actor).await;
        self.gateway.metrics.duty_called("usage", sent.is_ok());
        log::info!(
            "event=usage_reported window={} requests={} fence={fence} ms={} outcome={}",
            report.window.0,
            report.counts.total(),
            self.gateway.now().saturating_sub(begun).as_millis(),
            sent.as_ref().map_or_else(ToString::to_string, |()| "done".to_owned())
        );
        match sent {
            Ok(()) => {}
            // It would be refused again: later windows must not wait for it.
            Err(ProviderError::Refused(_)) => {}
            Err(ProviderError::Fenced) => {
                self.lease.lost_track();
                return false;
            }
            Err(_) => return false,
        }
        self.book.note_reported(report.window);
        self.gateway.members.tell_all(Hint::UsageReported { window: report.window });
        true
    }
}
