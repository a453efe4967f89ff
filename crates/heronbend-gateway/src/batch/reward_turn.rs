//! Bounds reward calls, so that callers who wait for an answer find places at the same servers.
//!
//! A step's texts become whole in bursts, and each asks for a score at once. Nobody waits for a
//! score by itself: it may take its turn.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::places;
use crate::wait;

/// Reward calls that may be under way for each place at a service's servers. Fewer would let texts
/// wait for their scores; more would fill the servers' queues.
const CALLS_A_PLACE: f64 = 1.25;
/// Longest wait until the places are counted again without news.
const RECOUNT: Duration = Duration::from_millis(100);

/// Leave to make one call; given back when dropped.
pub struct Pass {
    gateway: Rc<Gateway>,
    service: String,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gateway.reward_gate.end(&self.service);
    }
}

/// Waits until another reward call may be made to a service.
pub async fn enter(gateway: &Rc<Gateway>, service: &str) -> Pass {
    let gate = &gateway.reward_gate;
    while gate.running(service) >= limit(gateway, service) {
        let left = gate.left.listen();
        wait::at_most(RECOUNT, left).await;
    }
    gate.begin(service);
    Pass { gateway: gateway.clone(), service: service.to_owned() }
}

/// Reward calls that this daemon may have under way at a service: its part of what those that run
/// jobs may have together.
pub fn limit(gateway: &Gateway, service: &str) -> u32 {
    let need = places::need(gateway, service, None, None);
    let slots = gateway.directory.borrow().placer.total_slots(gateway.now(), &need);
    let jobs = gateway.jobs.all();
    let open = jobs.iter().filter(|job| !job.ended.get() && !job.is_complete());
    let owners: BTreeSet<_> = open.map(|job| job.owner()).collect();
    let daemons = owners.len().max(1) as f64;
    ((f64::from(slots) * CALLS_A_PLACE / daemons) as u32).max(1)
}
