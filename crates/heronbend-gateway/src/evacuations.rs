//! Zones that the operator has taken out of service for a while.
//!
//! The operator keeps one object for each such zone in the store. Daemons follow the kind in the way
//! of all news, so that also one that the store refuses hears of it from its peers. From then on
//! nothing new goes to the zone's servers, neither requests nor orders; kept connections are closed,
//! and texts that run there go on elsewhere as soon as a place is free.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::mirror;
use crate::mirror::MirrorSink;
use crate::mirror::Source;
use crate::ports::Object;

/// Evacuations that come within this time cost one call. The whole bound is seconds.
const GATHERING: Duration = Duration::from_millis(100);

struct EvacuationSink(Rc<Gateway>);

/// Follows the evacuations until the daemon ends.
pub async fn follow(gateway: Rc<Gateway>) {
    let kind = gateway.dialect.kinds().evacuations;
    let sink = EvacuationSink(gateway.clone());
    mirror::follow(gateway, kind, Source::Watchers, GATHERING, sink).await;
}

impl EvacuationSink {
    fn begin(&self, zone: &str) {
        let gateway = &self.0;
        if !gateway.evacuated.borrow_mut().insert(zone.to_owned()) {
            return;
        }
        let mut closed = 0;
        {
            let mut directory = gateway.directory.borrow_mut();
            directory.placer.evacuate(zone);
            for server in directory.all().filter(|server| server.zone == zone) {
                closed += gateway.servers.close_idle(server.address);
            }
        }
        log::info!("event=zone_evacuated zone={zone} connections_closed={closed}");
        gateway.metrics.zone_evacuated(zone, true);
    }

    fn end(&self, zone: &str) {
        let gateway = &self.0;
        if !gateway.evacuated.borrow_mut().remove(zone) {
            return;
        }
        gateway.directory.borrow_mut().placer.end_evacuation(gateway.now(), zone);
        log::info!("event=zone_readmitted zone={zone}");
        gateway.metrics.zone_evacuated(zone, false);
    }
}

impl MirrorSink for EvacuationSink {
    fn keep(&self, names: &BTreeSet<String>) {
        let before = self.0.evacuated.borrow().clone();
        before.difference(names).for_each(|zone| self.end(zone));
    }

    fn put(&self, object: &Object) {
        self.begin(&object.name);
    }

    fn remove(&self, zone: &str) {
        self.end(zone);
    }

    fn listed(&self) {
        self.0.directory.borrow_mut().placer.mark_evacuations_loaded();
    }

    fn applied(&self) {
        self.0.places.changed.notify(usize::MAX);
        self.0.versions.changed.notify(usize::MAX);
    }
}
