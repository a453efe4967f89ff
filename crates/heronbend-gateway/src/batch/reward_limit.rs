//! Limits concurrent reward calls, to leave capacity for interactive requests on the same servers.
//!
//! Texts complete in bursts, and each is then scored. No caller waits for a single score, so the
//! calls can be queued.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::slot_queue;
use crate::wait;

/// Reward calls in flight per slot of the service's servers. Fewer would let texts wait for their
/// scores; more would fill the servers' queues.
const CALLS_PER_SLOT: f64 = 1.25;
/// Interval after which a waiting call checks the limit again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Permission to make one call, released when dropped.
pub struct Permit {
    gateway: Rc<Gateway>,
    service: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gateway.reward_calls.finish(&self.service);
    }
}

/// Waits until another reward call to a service is allowed.
pub async fn acquire(gateway: &Rc<Gateway>, service: &str) -> Permit {
    let calls = &gateway.reward_calls;
    while calls.count(service) >= limit(gateway, service) {
        let finished = calls.finished.listen();
        wait::at_most(RECHECK_INTERVAL, finished).await;
    }
    calls.start(service);
    Permit { gateway: gateway.clone(), service: service.to_owned() }
}

/// Maximum number of reward calls in flight from this daemon to a service: an equal share of the
/// total among all owners of running jobs.
pub fn limit(gateway: &Gateway, service: &str) -> u32 {
    let requirements = slot_queue::requirements(gateway, service, None, None);
    let slots = gateway.directory.borrow().placer.total_slots(gateway.now(), &requirements);
    let jobs = gateway.jobs.all();
    let open = jobs.iter().filter(|job| !job.ended.get() && !job.is_complete());
    let owners: BTreeSet<_> = open.map(|job| job.owner()).collect();
    let daemons = owners.len().max(1) as f64;
    ((f64::from(slots) * CALLS_PER_SLOT / daemons) as u32).max(1)
}
