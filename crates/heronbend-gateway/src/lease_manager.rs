//! Acquires and renews a lease in the object store, and announces renewals to the other daemons.

use std::cell::RefCell;
use std::rc::Rc;

use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::gateway::Gateway;
use crate::lease_state::LeaseName;
use crate::lease_state::LeaseState;
use crate::peers::Hint;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;
use crate::versions::lease::LeaseHold;
use crate::versions::lease::LeaseRecord;

/// Kind of the lease objects.
const LEASE_KIND: &str = "heronbend-leases";

/// Acquires and renews a lease on behalf of this daemon.
pub struct LeaseManager {
    gateway: Rc<Gateway>,
    lease: LeaseName,
    hold: RefCell<LeaseHold>,
}

impl LeaseManager {
    /// Creates a manager that has not read the lease yet.
    pub fn new(gateway: Rc<Gateway>, lease: LeaseName) -> Self {
        let this_node = gateway.identity.node.name.clone();
        let hold = RefCell::new(LeaseHold::new(this_node, gateway.tuning().lease_pause));
        Self { gateway, lease, hold }
    }

    fn state(&self) -> &LeaseState {
        self.gateway.lease_state(self.lease)
    }

    /// Returns the fencing token if this daemon holds the lease and may act on it now.
    pub fn token(&self) -> Option<u64> {
        self.hold.borrow().token(self.gateway.now())
    }

    /// Returns from when this daemon may act, if it holds the lease but has to wait for that.
    pub fn waits_until(&self) -> Option<Moment> {
        self.hold.borrow().waits_until(self.gateway.now())
    }

    /// Forbids acting on the lease until it is renewed.
    pub fn invalidate(&self) {
        self.hold.borrow_mut().invalidate();
    }

    /// Reads the lease from the store. Errors are logged.
    pub async fn read(&self) {
        match self.gateway.store.get(LEASE_KIND, self.lease.object_name()).await {
            Ok(Some(object)) => self.observe(&object),
            Ok(None) => {}
            Err(error) => {
                log::warn!(
                    "event=lease_not_read lease={} error=\"{error}\"",
                    self.lease.object_name()
                );
            }
        }
    }

    fn observe(&self, object: &Object) {
        let name = self.lease.object_name();
        match serde_json::from_value::<LeaseRecord>(object.content.clone()) {
            Ok(record) => {
                if self.state().holder().as_ref() != Some(&record.holder) {
                    log::info!(
                        "event=lease_seen lease={name} holder={} term={}",
                        record.holder,
                        object.revision
                    );
                }
                let now = self.gateway.now();
                self.state().set_holder(now, record.holder.clone());
                self.hold.borrow_mut().observed(object.revision, record, now);
            }
            Err(error) => {
                log::error!("event=lease_malformed lease={name} error=\"{error}\"");
                // Its holder is unknown, so it is replaced like the lease of a lost daemon.
                let now = self.gateway.now();
                self.hold.borrow_mut().observed(object.revision, LeaseRecord::unknown(), now);
            }
        }
    }

    /// Acquires or renews the lease if necessary; returns whether this daemon may act on it now.
    pub async fn acquire_or_renew(&self) -> bool {
        let gateway = &self.gateway;
        if let Some((revision, record, since)) = self.state().newest_renewal() {
            self.hold.borrow_mut().observed(revision, record, since);
        }
        let sent_at = gateway.now();
        if self.hold.borrow().token(sent_at).is_some() {
            return true;
        }
        if self.hold.borrow().waits_until(sent_at).is_some() {
            return false;
        }
        let record = self.hold.borrow().next_record(sent_at);
        let content = serde_json::json!(record);
        let revision = self.hold.borrow().revision();
        let (store, name) = (&gateway.store, self.lease.object_name());
        let result = match revision {
            Some(at) => store.replace(LEASE_KIND, name, content, Condition::At(at)).await,
            None => store.create(LEASE_KIND, name, content).await,
        };
        match result {
            Ok(object) => {
                self.on_renewed(&object, record, sent_at);
                self.token().is_some()
            }
            Err(StoreError::Conflict(Some(object))) => {
                self.observe(&object);
                false
            }
            Err(error) => {
                log::warn!("event=lease_not_renewed lease={name} error=\"{error}\"");
                self.invalidate();
                self.read().await;
                false
            }
        }
    }

    /// Records and announces an acknowledged renewal, which was sent at `sent_at`.
    fn on_renewed(&self, object: &Object, record: LeaseRecord, sent_at: Moment) {
        let gateway = &self.gateway;
        let this_node: &NodeName = &gateway.identity.node.name;
        let now = gateway.now();
        let mut hold = self.hold.borrow_mut();
        let was_holder = hold.holder() == Some(this_node);
        hold.renewed(object.revision, record.clone(), sent_at, now);
        self.state().set_holder(now, this_node.clone());
        let (lease, revision) = (self.lease, object.revision);
        gateway.members.broadcast(Hint::LeaseRenewed { lease, revision, record });
        if !was_holder {
            let wait = hold.waits_until(now).map_or(0, |until| (until - now).as_millis());
            log::info!(
                "event=lease_taken lease={} term={revision} acts_in_ms={wait}",
                lease.object_name()
            );
        }
    }
}
