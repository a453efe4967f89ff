//! Waits that end by themselves.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::Moment;
use smol::Timer;

use crate::gateway::Gateway;

/// Waits until an event is notified, or for as long as `limit`.
pub async fn at_most(limit: Duration, notified: impl Future<Output = ()>) {
    let over = async {
        Timer::after(limit).await;
    };
    notified.or(over).await;
}

/// Waits until a time. Timers stand still while the machine is suspended, so that the wait is looked at
/// anew when it goes on.
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
