//! Evacuation of zones by the operator.
//!
//! The store holds one object for each evacuated zone. Daemons follow this kind like all others, so
//! that a daemon without access to the store learns of an evacuation from its peers. From then on
//! no requests or commands are sent to the zone's servers, idle connections to them are closed, and
//! batch items that run there move to other zones as slots become free.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::ports::Object;
use crate::reflector;
use crate::reflector::ObjectHandler;
use crate::reflector::Source;

/// Evacuations that arrive within this time are read in one call.
const BATCHING_DELAY: Duration = Duration::from_millis(100);

struct EvacuationSink(Rc<Gateway>);

/// Applies evacuations until the daemon exits.
pub async fn follow(gateway: Rc<Gateway>) {
    let kind = gateway.dialect.kinds().evacuations;
    let sink = EvacuationSink(gateway.clone());
    reflector::run(gateway, kind, Source::Peers, BATCHING_DELAY, sink).await;
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
                closed += gateway.server_connections.close_idle(server.address);
            }
        }
        log::info!("event=zone_evacuated zone={zone} connections_closed={closed}");
        gateway.metrics.set_zone_evacuated(zone, true);
    }

    fn end(&self, zone: &str) {
        let gateway = &self.0;
        if !gateway.evacuated.borrow_mut().remove(zone) {
            return;
        }
        gateway.directory.borrow_mut().placer.end_evacuation(gateway.now(), zone);
        log::info!("event=zone_readmitted zone={zone}");
        gateway.metrics.set_zone_evacuated(zone, false);
    }
}

impl ObjectHandler for EvacuationSink {
    fn retain(&self, names: &BTreeSet<String>) {
        let before = self.0.evacuated.borrow().clone();
        before.difference(names).for_each(|zone| self.end(zone));
    }

    fn upsert(&self, object: &Object) {
        self.begin(&object.name);
    }

    fn remove(&self, zone: &str) {
        self.end(zone);
    }

    fn on_list(&self) {
        self.0.directory.borrow_mut().placer.mark_evacuations_loaded();
    }

    fn on_batch(&self) {
        self.0.slot_queue.changed.notify(usize::MAX);
        self.0.versions.changed.notify(usize::MAX);
    }
}
