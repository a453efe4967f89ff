//! Graceful shutdown: serves what has begun, answers the rest, and exits in time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::shutdown::Repetition;
use heronbend::shutdown::Shutdown;
use heronbend::shutdown::ADMISSION_DELAY;
use heronbend::Moment;
use smol::Timer;

use crate::duties;
use crate::gateway::Gateway;
use crate::http::server::Listener;
use crate::wait;

/// Time after [`ADMISSION_DELAY`] for which connections are accepted, as the load balancer may take
/// that long to see that the daemon is not ready.
const ACCEPT_TIME: Duration = Duration::from_millis(1000);
/// Part of the shutdown limit that is reserved for the last responses and the exit of the process.
const STOP_MARGIN: Duration = Duration::from_millis(1200);
/// Longest time for which the last responses are sent.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for announcing the departure to the other members.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Progress of a daemon's shutdown.
#[derive(Debug, Default)]
pub struct Progress {
    requested: Cell<Option<Shutdown>>,
    is_cut_off: Cell<bool>,
    cut_off: Event,
}

impl Progress {
    /// Whether a request is taken now that may run until `deadline`.
    pub fn admits(&self, now: Moment, deadline: Moment, repetition: Repetition) -> bool {
        self.requested.get().is_none_or(|shutdown| shutdown.admits(now, deadline, repetition))
    }

    /// Waits until requests are no longer served.
    pub async fn cutoff(&self) {
        while !self.is_cut_off.get() {
            let cut_off = self.cut_off.listen();
            if !self.is_cut_off.get() {
                cut_off.await;
            }
        }
    }

    fn start(&self, shutdown: Shutdown) {
        self.requested.set(Some(shutdown));
    }

    fn cut_off(&self) {
        self.is_cut_off.set(true);
        self.cut_off.notify(usize::MAX);
    }
}

/// Drains the daemon: reports that it is not ready, serves the remaining requests, and returns once
/// nothing is in flight. Requests that are not answered at the cutoff get a final response then.
pub async fn drain(gateway: &Rc<Gateway>, callers: &Rc<Listener>) {
    let serving_time = gateway.tuning().stop_limit.saturating_sub(STOP_MARGIN);
    let shutdown = Shutdown::start(gateway.now(), serving_time);
    gateway.shutdown.start(shutdown);
    gateway.draining.set(true);
    gateway.members.start_draining();
    callers.start_draining();
    log::info!("event=draining exchanges={}", callers.exchanges());
    Timer::after(ADMISSION_DELAY.min(serving_time)).await;
    callers.close_idle();
    Timer::after(ACCEPT_TIME.min(serving_time.saturating_sub(ADMISSION_DELAY))).await;
    callers.close();
    wait_until(gateway, shutdown.cutoff_at(), || is_idle(callers) && !has_running_jobs(gateway))
        .await;
    gateway.shutdown.cut_off();
    let flushed_by = gateway.now() + FLUSH_TIMEOUT;
    wait_until(gateway, flushed_by, || is_idle(callers)).await;
    exit(gateway, callers).await;
}

/// Tells the other members that this daemon leaves, and logs what it has cut.
async fn exit(gateway: &Rc<Gateway>, callers: &Listener) {
    if let Some(usage) = &gateway.usage {
        duties::usage_broadcast::send_final(gateway, usage);
    }
    // The other members take over its jobs at once instead of waiting for failed probes.
    wait::at_most(LEAVE_TIMEOUT, gateway.members.leave()).await;
    gateway.metrics.log_counters();
    log::info!(
        "event=stopped exchanges_cut={} connections_cut={}",
        callers.exchanges(),
        callers.connections()
    );
    log::logger().flush();
}

/// Polls a condition until it holds, or until `limit`.
async fn wait_until(gateway: &Gateway, limit: Moment, condition: impl Fn() -> bool) {
    while gateway.now() < limit && !condition() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Whether no caller is connected, and none can connect.
fn is_idle(callers: &Listener) -> bool {
    !callers.is_accepting() && callers.connections() == 0
}

fn has_running_jobs(gateway: &Gateway) -> bool {
    gateway.jobs.all().iter().any(|job| job.is_running())
}
