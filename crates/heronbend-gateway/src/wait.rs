//! Waits with a time limit.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::Moment;
use smol::Timer;

use crate::gateway::Gateway;

/// Waits until `notified` completes, for at most `limit`.
pub async fn at_most(limit: Duration, notified: impl Future<Output = ()>) {
    let over = async {
        Timer::after(limit).await;
    };
    notified.or(over).await;
}

/// Sleeps until `time` on the daemon's clock. Timers are paused while the machine is suspended, so
/// the remaining time is checked again on resumption.
pub async fn until(gateway: &Gateway, time: Moment) {
    loop {
        let resumed = gateway.resumed.listen();
        let left = time.saturating_sub(gateway.now());
        if left.is_zero() {
            return;
        }
        at_most(left, resumed).await;
    }
}
