//! One daemon's hold on a lease in the store, and what daemons tell each other of it.

use std::cell::RefCell;
use std::rc::Rc;

use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::gateway::Gateway;
use crate::lease_state::LeaseName;
use crate::lease_state::LeaseNews;
use crate::peers::Hint;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;
use crate::versions::lease::LeaseHold;
use crate::versions::lease::LeaseRecord;

/// Kind of the leases' objects.
const LEASE_KIND: &str = "heronbend-leases";

/// Takes and renews a lease for one daemon.
pub struct LeaseKeeper {
    gateway: Rc<Gateway>,
    lease: LeaseName,
    hold: RefCell<LeaseHold>,
}

impl LeaseKeeper {
    /// The keeper of a daemon that knows nothing yet.
    pub fn new(gateway: Rc<Gateway>, lease: LeaseName) -> Self {
        let me = gateway.identity.node.name.clone();
        let hold = RefCell::new(LeaseHold::new(me, gateway.tuning().lease_pause));
        Self { gateway, lease, hold }
    }

    fn news(&self) -> &LeaseNews {
        self.gateway.lease_news(self.lease)
    }

    /// The fencing token, if this daemon may act now.
    pub fn token(&self) -> Option<u64> {
        self.hold.borrow().token(self.gateway.now())
    }

    /// When this daemon may act, if it is the holder and has to wait for that.
    pub fn waits_until(&self) -> Option<Moment> {
        self.hold.borrow().waits_until(self.gateway.now())
    }

    /// Notes that nothing may be done until the lease is renewed.
    pub fn lost_track(&self) {
        self.hold.borrow_mut().lost_track();
    }

    /// Reads the lease's object.
    pub async fn read(&self) {
        match self.gateway.store.get(LEASE_KIND, self.lease.object()).await {
            Ok(Some(object)) => self.observe(&object),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=lease_not_read lease={} error=\"{error}\"", self.lease.object());
            }
        }
    }

    fn observe(&self, object: &Object) {
        let name = self.lease.object();
        match serde_json::from_value::<LeaseRecord>(object.content.clone()) {
            Ok(record) => {
                if self.news().holder().as_ref() != Some(&record.holder) {
                    log::info!(
                        "event=lease_seen lease={name} holder={} term={}",
                        record.holder,
                        object.revision
                    );
                }
                let now = self.gateway.now();
                self.news().set_holder(now, record.holder.clone());
                self.hold.borrow_mut().observed(object.revision, record, now);
            }
            Err(error) => log::error!("event=lease_malformed lease={name} error=\"{error}\""),
        }
    }

    /// Renews or takes the lease; whether this daemon may act now.
    pub async fn ensure(&self) -> bool {
        let gateway = &self.gateway;
        if let Some((revision, record, since)) = self.news().told() {
            self.hold.borrow_mut().observed(revision, record, since);
        }
        let sent = gateway.now();
        if self.hold.borrow().token(sent).is_some() {
            return true;
        }
        if self.hold.borrow().waits_until(sent).is_some() {
            return false;
        }
        let record = self.hold.borrow().next_record(sent);
        let content = serde_json::json!(record);
        let revision = self.hold.borrow().revision();
        let (store, name) = (&gateway.store, self.lease.object());
        let written = match revision {
            Some(at) => store.replace(LEASE_KIND, name, content, Condition::At(at)).await,
            None => store.create(LEASE_KIND, name, content).await,
        };
        match written {
            Ok(object) => {
                self.note_renewed(&object, record, sent);
                self.token().is_some()
            }
            Err(StoreError::Conflict(Some(object))) => {
                self.observe(&object);
                false
            }
            Err(error) => {
                log::warn!("event=lease_not_renewed lease={name} error=\"{error}\"");
                self.lost_track();
                self.read().await;
                false
            }
        }
    }

    /// Takes in that a renewal sent at `sent` was acknowledged.
    fn note_renewed(&self, object: &Object, record: LeaseRecord, sent: Moment) {
        let gateway = &self.gateway;
        let me: &NodeName = &gateway.identity.node.name;
        let now = gateway.now();
        let mut hold = self.hold.borrow_mut();
        let was_holder = hold.holder() == Some(me);
        hold.renewed(object.revision, record.clone(), sent, now);
        self.news().set_holder(now, me.clone());
        let (lease, revision) = (self.lease, object.revision);
        gateway.members.tell_all(Hint::LeaseRenewed { lease, revision, record });
        if !was_holder {
            let wait = hold.waits_until(now).map_or(0, |until| (until - now).as_millis());
            log::info!(
                "event=lease_taken lease={} term={revision} acts_in_ms={wait}",
                lease.object()
            );
        }
    }
}
