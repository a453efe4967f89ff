//! Named versions, and the daemons that follow them: those that are next in line for the lease.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use smol::Timer;

use crate::batch::ownership;
use crate::batch::registry::Job;
use crate::gateway::Gateway;
use crate::lease_news::LeaseName;
use crate::mirror;
use crate::mirror::MirrorSink;
use crate::mirror::Source;
use crate::ports::Object;

/// Daemons that are ready to take the lease.
const CANDIDATES: usize = 3;
/// Longest time between two looks whether this daemon is one of them.
const LOOK: Duration = Duration::from_millis(500);
/// Versions that are named within this time cost one call.
const GATHERING: Duration = Duration::from_millis(5);

/// Takes in the versions that trainers name.
pub struct VersionSink(pub Rc<Gateway>);

impl MirrorSink for VersionSink {
    fn keep(&self, _names: &BTreeSet<String>) {
        // Versions only rise: one whose object is gone was named all the same.
    }

    fn put(&self, object: &Object) {
        match self.0.dialect.named_version(&object.content) {
            Ok(named) => {
                log::info!(
                    "event=version_named model={} version={} revision={}",
                    named.model,
                    named.version,
                    object.revision
                );
                let now = self.0.now();
                let is_news = self.0.versions.name(now, &named.model, named.version);
                if let Some(job) = newest_job(&self.0, &named.model).filter(|_| is_news) {
                    self.0.versions.step_took(&named.model, now.saturating_sub(job.first_seen));
                }
            }
            Err(error) => log::warn!("event=version_malformed error=\"{error}\""),
        }
    }

    fn remove(&self, _name: &str) {
        // As above.
    }
}

/// The job that was handed in last for a model.
pub(super) fn newest_job(gateway: &Gateway, model: &str) -> Option<Rc<Job>> {
    let jobs = gateway.jobs.all().into_iter();
    jobs.filter(|job| job.ownership.borrow().0.model.as_deref() == Some(model))
        .max_by_key(|job| job.first_seen)
}

/// Follows the versions that trainers name, while this daemon is among the first in line for the
/// lease: the others have no use for them, and each watch has a price.
pub async fn follow_versions(gateway: Rc<Gateway>) {
    let kind = gateway.dialect.kinds().versions;
    gateway.members.introduction.wait().await;
    loop {
        let changed = gateway.members.changed.listen();
        if !is_candidate(&gateway) {
            changed.or(rest()).await;
            continue;
        }
        let sink = VersionSink(gateway.clone());
        let follow = mirror::follow(gateway.clone(), kind, Source::Store, GATHERING, sink);
        let dismissed = async {
            while is_candidate(&gateway) {
                gateway.members.changed.listen().or(rest()).await;
            }
        };
        follow.or(dismissed).await;
    }
}

async fn rest() {
    Timer::after(LOOK).await;
}

/// Whether this daemon is the holder of the lease, or among the first of those that are alive.
pub(super) fn is_candidate(gateway: &Gateway) -> bool {
    let me = &gateway.identity.node;
    let is_holder =
        gateway.versions.lease.last_holder().is_some_and(|(holder, _)| holder == me.name);
    is_holder || place_in_line(gateway, None) < CANDIDATES
}

/// The first in line for the lease.
pub(super) fn candidates(gateway: &Gateway) -> Vec<NodeId> {
    let mut line = gateway.members.alive();
    line.push(gateway.identity.node.clone());
    line.sort_by_cached_key(|node| {
        Reverse(ownership::rendezvous_weight(LeaseName::Orders.object(), node))
    });
    line.truncate(CANDIDATES);
    line
}

/// How many daemons that are alive come before this one, without `holder`.
pub(super) fn place_in_line(gateway: &Gateway, holder: Option<&NodeName>) -> usize {
    let me = &gateway.identity.node;
    let mut line: Vec<NodeId> = gateway.members.alive();
    line.push(me.clone());
    line.retain(|node| Some(&node.name) != holder);
    ownership::takeover_position(LeaseName::Orders.object(), me, &line)
}
