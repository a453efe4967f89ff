//! Settles usage windows and reports them to the provider, at the daemon that holds the lease.

use std::rc::Rc;
use std::time::Duration;

use heronbend::usage::Report;
use heronbend::usage::SettledWindows;
use heronbend::usage::Window;
use heronbend::Moment;
use smol::Timer;

use super::takeover;
use super::usage::UsageTracker;
use crate::gateway::Gateway;
use crate::lease_manager::LeaseManager;
use crate::peers::Hint;
use crate::peers::MEMBERSHIP_GRACE;
use crate::ports::Actor;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::Provider;
use crate::ports::ProviderError;
use crate::ports::StoreError;
use crate::reflector::backoff;
use crate::versions::lease::LEASE_DURATION;

/// Kind and name of the record of settled windows.
const RECORD_KIND: &str = "heronbend-usage";
const RECORD_NAME: &str = "settled";
/// Fraction of the reporting deadline that passes between the end of a window and its settlement.
/// Leaves time for requests of the window to end and for daemons to send their counts.
const SETTLE_DELAY_RATIO: f64 = 0.25;
/// How long each daemon waits for the one ahead of it in the takeover order before it reports.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);
/// Interval between checks whether this daemon should act.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time of continuous failure after which another daemon should try, since this one may be
/// partitioned. Longer than most provider outages, as a takeover takes time too.
const YIELD_AFTER: Duration = Duration::from_secs(6);
/// How long a daemon that has yielded waits behind all others.
const YIELD_DURATION: Duration = Duration::from_secs(12);

struct Reporter {
    gateway: Rc<Gateway>,
    usage: Rc<UsageTracker>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseManager>,
    failures: u32,
    failing_since: Moment,
    yielded_until: Moment,
}

/// Runs until the daemon stops.
pub async fn run(
    gateway: Rc<Gateway>,
    usage: Rc<UsageTracker>,
    provider: Rc<dyn Provider>,
    lease: Rc<LeaseManager>,
) {
    gateway.members.bootstrap.wait().await;
    let mut reporter = Reporter {
        gateway,
        usage,
        provider,
        lease,
        failures: 0,
        failing_since: Moment::ZERO,
        yielded_until: Moment::ZERO,
    };
    loop {
        let ready_at = reporter.ready_at();
        let now = reporter.gateway.now();
        if now < ready_at {
            Timer::after(ready_at - now).await;
            continue;
        }
        if !reporter.is_my_turn() {
            Timer::after(CHECK_PERIOD).await;
            continue;
        }
        reporter.step().await;
    }
}

impl Reporter {
    /// Delay between the end of a window and its settlement.
    fn settle_delay(&self) -> Duration {
        self.usage.schedule().deadline.mul_f64(SETTLE_DELAY_RATIO)
    }

    /// When the next window can be settled.
    fn ready_at(&self) -> Moment {
        let next = self.usage.settlement.borrow().next_unreported();
        self.usage.end(next) + self.settle_delay()
    }

    fn is_my_turn(&self) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        if !gateway.store.is_reachable() || now < MEMBERSHIP_GRACE {
            return false;
        }
        let order = takeover::current_order(gateway);
        let mut position = takeover::position(&order, &gateway.identity.node);
        if now < self.yielded_until {
            position = order.len();
        }
        let since = self.ready_at().max(gateway.store_reachable_since.get());
        if position == 0 {
            return now >= since;
        }
        // A new holder waits until the former one may no longer act. Taking the lease from it in
        // the meantime would restart the wait.
        let holder_active = gateway.duty_lease.last_renewal_at().unwrap_or_default()
            + LEASE_DURATION
            + gateway.tuning().lease_pause;
        now >= since.max(holder_active)
            + TAKEOVER_DELAY * u32::try_from(position).unwrap_or(u32::MAX)
    }

    /// Performs the next step, with backoff after a failure.
    async fn step(&mut self) {
        let done = self.try_step().await;
        if done {
            self.failures = 0;
            return;
        }
        if let Some(until) = self.lease.waits_until() {
            Timer::after(until.saturating_sub(self.gateway.now()).min(CHECK_PERIOD)).await;
            return;
        }
        if self.failures == 0 {
            self.failing_since = self.gateway.now();
        }
        self.failures += 1;
        if self.gateway.now() >= self.failing_since + YIELD_AFTER {
            log::warn!("event=duty_yielded duty=usage failures={}", self.failures);
            self.failures = 0;
            self.yielded_until = self.gateway.now() + YIELD_DURATION;
            return;
        }
        Timer::after(backoff(self.failures + 1)).await;
    }

    async fn try_step(&self) -> bool {
        if !self.lease.acquire_or_renew().await {
            return false;
        }
        if !self.settle().await {
            return false;
        }
        let report = self.usage.settlement.borrow().next_report().cloned();
        match report {
            Some(report) => self.send_report(&report).await,
            None => true,
        }
    }

    /// The last window that can be settled now.
    fn last_closed(&self) -> Window {
        let settled_until = self.gateway.now().saturating_sub(self.settle_delay());
        self.usage.window(settled_until).before(1)
    }

    /// Settles all closed windows. Returns false if the stored record is unknown afterwards.
    async fn settle(&self) -> bool {
        let proposal = {
            let settlement = self.usage.settlement.borrow();
            settlement.proposal(self.last_closed(), |window| self.usage.total(window))
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
                let last = proposal.settled.last_window().unwrap_or_default();
                log::info!(
                    "event=usage_settled through={} requests={} revision={}",
                    last.0,
                    self.usage.total(last).total(),
                    object.revision
                );
                self.apply_record(&object)
            }
            // Another daemon settled the windows; its record is the one to report.
            Err(StoreError::Conflict(Some(object))) => self.apply_record(&object),
            Err(error) => {
                log::warn!("event=usage_not_settled error=\"{error}\"");
                if !error.is_not_done() {
                    self.usage.settlement.borrow_mut().invalidate();
                }
                false
            }
        }
    }

    fn apply_record(&self, object: &Object) -> bool {
        match serde_json::from_value::<SettledWindows>(object.content.clone()) {
            Ok(settled) => {
                self.usage.settlement.borrow_mut().update_record(object.revision, settled);
                true
            }
            Err(error) => {
                log::error!("event=usage_record_malformed error=\"{error}\"");
                false
            }
        }
    }

    async fn send_report(&self, report: &Report) -> bool {
        let Some(fence) = self.lease.token() else {
            return false;
        };
        let actor = Actor { holder: self.gateway.identity.node.name.clone(), fence };
        let started = self.gateway.now();
        let sent = self.provider.report_usage(report, &actor).await;
        self.gateway.metrics.record_provider_call("usage", sent.is_ok());
        log::info!(
            "event=usage_reported window={} requests={} fence={fence} ms={} outcome={}",
            report.window.0,
            report.counts.total(),
            self.gateway.now().saturating_sub(started).as_millis(),
            sent.as_ref().map_or_else(ToString::to_string, |()| "done".to_owned())
        );
        match sent {
            Ok(()) => {}
            // A retry would be rejected too, and must not block later windows.
            Err(ProviderError::Refused(_)) => {}
            Err(ProviderError::Fenced) => {
                self.lease.invalidate();
                return false;
            }
            Err(_) => return false,
        }
        self.usage.mark_reported(report.window);
        self.gateway.members.broadcast(Hint::UsageReported { window: report.window });
        true
    }
}
