//! Periodic logging of the counters.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::shared::Shared;

const DEFAULT_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let interval = {
            let settings = shared.settings.load();
            settings.as_ref().map_or(DEFAULT_INTERVAL, |active| active.policy.log_interval)
        };
        Timer::after(interval).await;
        log::info!("event=counters {}", shared.metrics.log_line());
    }
}
