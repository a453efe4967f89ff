//! Bounds the time for which silent upstream peers delay what the store holds.
//!
//! A follower whose peers have not answered for some time reads from the store besides waiting for
//! them. Peers that answer without news, or that report that they cannot reach the store, are not
//! silent, so that an outage of the store brings it no further calls.

use std::time::Duration;

use smol::Timer;

use crate::gateway::Gateway;
use crate::wait;

/// Fraction of the propagation limits after which peers count as silent. The rest is left for the
/// store's response and a slow machine.
const SILENCE_RATIO: f64 = 0.6;
/// Interval of the checks whether the store may be called.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which peers count as silent.
pub fn limit(gateway: &Gateway) -> Duration {
    let tuning = gateway.tuning();
    tuning.drain_notice.min(tuning.configuration_notice).mul_f64(SILENCE_RATIO)
}

/// Whether a daemon with silent peers may call the store.
pub fn may_call_store(gateway: &Gateway) -> bool {
    gateway.store.is_reachable() && !gateway.members.is_outage_reported(gateway.now())
}

/// Waits until the peers have sent nothing of a kind for [`limit`], and the store may be called.
/// The time counts from now if they never sent anything.
pub async fn wait_for(gateway: &Gateway, kind: &str) {
    let started = gateway.now();
    loop {
        let ages = gateway.update_ages.borrow().get(kind).copied();
        let silent_since = ages.map_or(started, |update| update.answered_at);
        let silent_at = silent_since + limit(gateway);
        if gateway.now() < silent_at {
            wait::until(gateway, silent_at).await;
        } else if may_call_store(gateway) {
            log::info!(
                "event=peers_silent kind={kind} silent_ms={}",
                gateway.now().saturating_sub(silent_since).as_millis()
            );
            return;
        } else {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
