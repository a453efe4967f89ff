//! Removes ended jobs after their retention time, from the store and from memory.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::appender;
use super::ownership::successor;
use super::registry::Job;
use crate::gateway::Gateway;

/// Interval between checks for expired jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the other daemons remember an expired job, so that another one removes it from
/// the store if the first one is lost.
const FORGET_DELAY: Duration = Duration::from_secs(10);

/// Removes expired jobs. Runs for the lifetime of the daemon.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        for job in gateway.jobs.all() {
            let Some(expired_for) = expired_for(&gateway, &job) else {
                continue;
            };
            if removes_from_store(&gateway, &job) {
                let removed = appender::remove_all(&gateway, &job.id).await;
                log::info!("event=job_removed job={} outcome={removed:?}", job.id);
                if removed.is_ok() {
                    gateway.jobs.remove(&job.id);
                }
            } else if expired_for >= FORGET_DELAY {
                gateway.jobs.remove(&job.id);
            }
        }
    }
}

/// Time since the end of a job's retention; `None` before that.
fn expired_for(gateway: &Gateway, job: &Job) -> Option<Duration> {
    let expires_at = job.ended_at.get()? + gateway.tuning().result_retention;
    let now = gateway.now();
    (now > expires_at).then(|| now - expires_at)
}

/// Whether this daemon is the one that removes a job's objects.
fn removes_from_store(gateway: &Gateway, job: &Job) -> bool {
    let mut alive = gateway.members.alive();
    alive.push(gateway.identity.node.clone());
    successor(&job.id, alive.iter()) == Some(&gateway.identity.node)
}
