//! What this daemon knows about a lease from the store and from its peers.

use std::cell::RefCell;

use heronbend::identity::NodeName;
use heronbend::Moment;
use musli::Decode;
use musli::Encode;

use crate::ports::Revision;
use crate::versions::lease::LeaseRecord;

/// Names a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub enum LeaseName {
    /// For commands to servers.
    #[default]
    Orders,
    /// For calls to the provider.
    Duties,
}

impl LeaseName {
    /// Name of the lease's object in the store.
    pub fn object_name(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Duties => "duties",
        }
    }
}

/// The last known holder and renewal of a lease.
#[derive(Default)]
pub struct LeaseState {
    last_holder: RefCell<Option<(NodeName, Moment)>>,
    /// The newest renewal that was announced, and when it was received.
    newest_renewal: RefCell<Option<(Revision, LeaseRecord, Moment)>>,
}

impl LeaseState {
    /// The last known holder, and when it became known.
    pub fn last_holder(&self) -> Option<(NodeName, Moment)> {
        self.last_holder.borrow().clone()
    }

    /// The last known holder.
    pub fn holder(&self) -> Option<NodeName> {
        self.last_holder.borrow().as_ref().map(|(holder, _)| holder.clone())
    }

    /// Records the holder of the lease.
    pub fn set_holder(&self, now: Moment, holder: NodeName) {
        let mut last = self.last_holder.borrow_mut();
        if last.as_ref().is_none_or(|(known, _)| *known != holder) {
            *last = Some((holder, now));
        }
    }

    /// Records a renewal that its holder announced. Older ones than the newest are ignored.
    pub fn record_renewal(&self, now: Moment, revision: Revision, record: LeaseRecord) {
        let mut newest = self.newest_renewal.borrow_mut();
        if newest.as_ref().is_none_or(|(known, ..)| *known < revision) {
            self.set_holder(now, record.holder.clone());
            *newest = Some((revision, record, now));
        }
    }

    /// When this daemon last learned that the lease was acquired or renewed.
    pub fn last_renewal_at(&self) -> Option<Moment> {
        let acquired_at = self.last_holder.borrow().as_ref().map(|(_, since)| *since);
        let newest = self.newest_renewal.borrow().as_ref().map(|(.., since)| *since);
        acquired_at.max(newest)
    }

    /// The newest renewal that was announced, and when it was received.
    pub fn newest_renewal(&self) -> Option<(Revision, LeaseRecord, Moment)> {
        self.newest_renewal.borrow().clone()
    }
}
