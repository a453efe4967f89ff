//! Waits that end by themselves.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

/// Waits until an event is notified, or for as long as `limit`.
pub async fn at_most(limit: Duration, notified: impl Future<Output = ()>) {
    let over = async {
        Timer::after(limit).await;
    };
    notified.or(over).await;
}
