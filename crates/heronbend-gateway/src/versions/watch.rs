//! Watches published versions at the daemons that may take over the lease.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use crate::batch::registry::Job;
use crate::gateway::Gateway;
use crate::ports::Object;
use crate::reflector;
use crate::reflector::ObjectHandler;
use crate::reflector::Source;

use super::takeover::Successor;
use super::takeover::TakeoverOrder;

/// Maximum interval between checks whether this daemon is a candidate.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// How long to collect changes before reading them.
const BATCHING_WINDOW: Duration = Duration::from_millis(5);

/// Applies published versions.
pub struct VersionSink(pub Rc<Gateway>);

impl ObjectHandler for VersionSink {
    fn retain(&self, _names: &BTreeSet<String>) {
        // Versions only increase, so a deleted object changes nothing.
    }

    fn upsert(&self, object: &Object) {
        match self.0.dialect.published_version(&object.content) {
            Ok(published) => {
                log::info!(
                    "event=version_named model={} version={} revision={}",
                    published.model,
                    published.version,
                    object.revision
                );
                let now = self.0.now();
                let is_new = self.0.versions.observe(now, &published.model, published.version);
                if let Some(job) = newest_job(&self.0, &published.model).filter(|_| is_new) {
                    self.0
                        .versions
                        .record_step_time(&published.model, now.saturating_sub(job.first_seen));
                }
            }
            Err(error) => log::warn!("event=version_malformed error=\"{error}\""),
        }
    }

    fn remove(&self, _name: &str) {
        // See `retain`.
    }

    fn on_list(&self) {
        self.0.versions.note_listed(self.0.now());
    }
}

/// The most recently submitted job for a model.
pub(super) fn newest_job(gateway: &Gateway, model: &str) -> Option<Rc<Job>> {
    let jobs = gateway.jobs.all().into_iter();
    jobs.filter(|job| job.ownership.borrow().0.model.as_deref() == Some(model))
        .max_by_key(|job| job.first_seen)
}

/// Watches published versions while this daemon is a candidate for the lease. Other daemons do not
/// need them, and each watch loads the store.
pub async fn watch_versions(gateway: Rc<Gateway>) {
    let kind = gateway.dialect.kinds().versions;
    gateway.members.bootstrap.wait().await;
    loop {
        let changed = gateway.members.changed.listen();
        if !is_candidate(&gateway) {
            changed.or(wait_for_check()).await;
            continue;
        }
        let sink = VersionSink(gateway.clone());
        let follow = reflector::run(gateway.clone(), kind, Source::Store, BATCHING_WINDOW, sink);
        let demoted = async {
            while is_candidate(&gateway) {
                gateway.members.changed.listen().or(wait_for_check()).await;
            }
        };
        follow.or(demoted).await;
        gateway.versions.note_unwatched();
    }
}

async fn wait_for_check() {
    Timer::after(CHECK_PERIOD).await;
}

/// Whether this daemon holds the lease or is among the first in the takeover order.
pub(super) fn is_candidate(gateway: &Gateway) -> bool {
    let local = &gateway.identity.node;
    let is_holder =
        gateway.versions.lease.last_holder().is_some_and(|(holder, _)| holder == local.name);
    is_holder || takeover_order(gateway).candidates().contains(local)
}

/// The takeover order of the lease, as known to this daemon.
pub(super) fn takeover_order(gateway: &Gateway) -> TakeoverOrder {
    let mut live = gateway.members.successors();
    let (node, is_draining) = (gateway.identity.node.clone(), gateway.draining.get());
    live.push(Successor { node, is_draining });
    TakeoverOrder::new(live)
}
