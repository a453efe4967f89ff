//! Which calls leave their zone.
//!
//! A call stays in the daemon's zone while a server there is expected to respond in time, so that
//! only what the zone's servers cannot do goes over, and only to servers that are faster by more
//! than the transfer takes.

use std::time::Duration;

use super::keys::ServerKey;
use super::placer::Placer;
use super::rank;
use super::rank::CostParameters;
use super::server::Server;
use super::wait_policy::WaitState;
use crate::Moment;

/// Fraction of the target latency within which a server of the zone must be expected to respond.
/// Calls that take longer are sent to a second server.
const IN_TIME_FRACTION: f64 = 0.5;
/// Bytes per millisecond that are assumed between zones: a link of 1 Gbit/s.
const ZONE_BYTES_PER_MILLI: f64 = 125_000.0;

impl Placer {
    /// Keeps the servers of this daemon's zone if one of them is expected to run a call in time,
    /// else also those of other zones that are expected to be faster.
    pub(super) fn select_by_zone(
        &self,
        now: Moment,
        available: Vec<ServerKey>,
        wait: &WaitState,
    ) -> Vec<ServerKey> {
        if !self.rank_options.spill_by_need {
            return available;
        }
        let parameters = self.cost_parameters(now, &available, rank::CALL);
        let local_millis: Vec<(ServerKey, f64)> = available
            .iter()
            .filter(|key| self.is_usable_in_zone(now, **key))
            .filter_map(|key| Some((*key, self.expected_millis(*key, &parameters, wait)?)))
            .collect();
        let Some(best) = local_millis.iter().map(|(_, millis)| *millis).reduce(f64::min) else {
            return available;
        };
        if best <= allowed_millis(now, wait) {
            return local_millis.into_iter().map(|(key, _)| key).collect();
        }
        let is_kept = |key: &ServerKey| {
            let millis = self.expected_millis(*key, &parameters, wait);
            local_millis.iter().any(|(local, _)| local == key)
                || millis.is_some_and(|millis| millis < best)
        };
        available.into_iter().filter(is_kept).collect()
    }

    fn is_usable_in_zone(&self, now: Moment, key: ServerKey) -> bool {
        let is_usable = |server: &Server| {
            Some(server.registration.zone) == self.local_zone && !server.health.is_in_backoff(now)
        };
        self.get(key).is_some_and(is_usable)
    }

    /// Expected time of a call on a server with the network between, in milliseconds.
    fn expected_millis(
        &self,
        key: ServerKey,
        parameters: &CostParameters,
        wait: &WaitState,
    ) -> Option<f64> {
        let server = self.get(key)?;
        let zone_latency = self.zone_latency(server.registration.zone);
        let is_local = zone_latency == Duration::ZERO;
        let transfer = if is_local { 0.0 } else { wait.bytes as f64 / ZONE_BYTES_PER_MILLI };
        let network = zone_latency.as_secs_f64() * 1e3 + transfer;
        Some(rank::server_millis(server, parameters) + network)
    }
}

/// Time within which a server must be expected to respond, in milliseconds.
fn allowed_millis(now: Moment, wait: &WaitState) -> f64 {
    let waited = now.saturating_sub(wait.since);
    wait.target.mul_f64(IN_TIME_FRACTION).saturating_sub(waited).as_secs_f64() * 1e3
}
