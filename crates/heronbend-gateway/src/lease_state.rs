//! What daemons tell each other of a lease.

use std::cell::RefCell;

use heronbend::identity::NodeName;
use heronbend::Moment;
use musli::Decode;
use musli::Encode;

use crate::ports::Revision;
use crate::versions::lease::LeaseRecord;

/// A lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub enum LeaseName {
    /// For orders to servers.
    #[default]
    Orders,
    /// For duties towards the provider.
    Duties,
}

impl LeaseName {
    /// Name of its object.
    pub fn object(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Duties => "duties",
        }
    }
}

/// Who holds a lease, as far as is known here.
#[derive(Default)]
pub struct LeaseNews {
    last_holder: RefCell<Option<(NodeName, Moment)>>,
    /// The newest renewal that its holder has told of, and since when.
    told: RefCell<Option<(Revision, LeaseRecord, Moment)>>,
}

impl LeaseNews {
    /// Who holds the lease, and since when this daemon knows it.
    pub fn last_holder(&self) -> Option<(NodeName, Moment)> {
        self.last_holder.borrow().clone()
    }

    /// Who holds the lease.
    pub fn holder(&self) -> Option<NodeName> {
        self.last_holder.borrow().as_ref().map(|(holder, _)| holder.clone())
    }

    /// Notes who holds the lease.
    pub fn set_holder(&self, now: Moment, holder: NodeName) {
        let mut last = self.last_holder.borrow_mut();
        if last.as_ref().is_none_or(|(known, _)| *known != holder) {
            *last = Some((holder, now));
        }
    }

    /// Notes a renewal that its holder tells of.
    pub fn tell(&self, now: Moment, revision: Revision, record: LeaseRecord) {
        let mut told = self.told.borrow_mut();
        if told.as_ref().is_none_or(|(known, ..)| *known < revision) {
            self.set_holder(now, record.holder.clone());
            *told = Some((revision, record, now));
        }
    }

    /// When this daemon last heard that the lease was taken or renewed.
    pub fn last_renewal(&self) -> Option<Moment> {
        let taken = self.last_holder.borrow().as_ref().map(|(_, since)| *since);
        let told = self.told.borrow().as_ref().map(|(.., since)| *since);
        taken.max(told)
    }

    /// The newest renewal that was told of, and since when.
    pub fn told(&self) -> Option<(Revision, LeaseRecord, Moment)> {
        self.told.borrow().clone()
    }
}
