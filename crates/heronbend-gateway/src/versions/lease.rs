//! The lease under which one daemon at a time gives orders to servers.
//!
//! Servers may not check fencing tokens, so the lease has to keep two holders apart by itself. It
//! is an object in the store, renewed by compare-and-swap. A holder may act until a fixed time
//! after it *sent* its last renewal, by its own steady clock. A daemon that takes the lease over
//! has, by its compare-and-swap, made any further renewal of the former holder fail; it waits for
//! the former holder's longest right to act, and for the pause that the surroundings demand.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend::Moment;
use serde::{Deserialize, Serialize};

use crate::ports::Revision;

/// Time that a holder may act after it sent a renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// A holder stops acting this long before, so that an order sent in time also arrives in time.
const ACT_MARGIN: Duration = Duration::from_millis(300);

/// What the lease's object says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The machine that holds it. A restarted process of the same machine is the same holder.
    pub holder: NodeName,
    /// Whether the holder has waited until it may act. A process that finds its own machine's name
    /// without this has to wait anew: the process before it may have taken the lease a moment ago.
    pub settled: bool,
}

/// One daemon's hold on the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHold {
    me: NodeName,
    pause: Duration,
    known: Option<(Revision, LeaseRecord)>,
    /// From when this daemon may act; none unless it is the holder.
    acts_from: Option<Moment>,
    /// Until when its last acknowledged renewal lets it act.
    acts_until: Moment,
}

impl LeaseHold {
    /// The hold of a daemon that knows nothing yet. `pause` is the time that has to pass between
    /// the last order of one holder and the first of the next.
    pub fn new(me: NodeName, pause: Duration) -> Self {
        Self { me, pause, known: None, acts_from: None, acts_until: Moment::ZERO }
    }

    /// The revision that a renewal is conditioned on; none when no object is known.
    pub fn revision(&self) -> Option<Revision> {
        self.known.as_ref().map(|(revision, _)| *revision)
    }

    /// Who holds the lease, as far as is known.
    pub fn holder(&self) -> Option<&NodeName> {
        self.known.as_ref().map(|(_, record)| &record.holder)
    }

    /// The fencing token, if this daemon may act at `now`.
    pub fn token(&self, now: Moment) -> Option<u64> {
        let may_act = self.acts_from? <= now && now + ACT_MARGIN < self.acts_until;
        may_act.then(|| self.revision()).flatten()
    }

    /// When this daemon may act, if it is the holder and has to wait for that.
    pub fn waits_until(&self, now: Moment) -> Option<Moment> {
        self.acts_from.filter(|from| now < *from)
    }

    /// What a renewal sent at `now` writes.
    pub fn next_record(&self, now: Moment) -> LeaseRecord {
        let settled = match (&self.known, self.acts_from) {
            (None, _) => true,
            (Some(_), Some(from)) => from <= now,
            (Some((_, record)), None) => record.holder == self.me && record.settled,
        };
        LeaseRecord { holder: self.me.clone(), settled }
    }

    /// Notes what the object says, read or told by a conflict.
    pub fn observed(&mut self, revision: Revision, record: LeaseRecord) {
        if self.revision().is_some_and(|known| revision <= known) {
            return;
        }
        if record.holder != self.me {
            self.acts_from = None;
        }
        self.acts_until = Moment::ZERO;
        self.known = Some((revision, record));
    }

    /// Notes that `record`, sent at `sent`, was acknowledged as `revision` at `acknowledged`.
    pub fn renewed(
        &mut self,
        revision: Revision,
        record: LeaseRecord,
        sent: Moment,
        acknowledged: Moment,
    ) {
        if self.acts_from.is_none() {
            let wait = if record.settled { Duration::ZERO } else { LEASE_DURATION + self.pause };
            self.acts_from = Some(acknowledged + wait);
        }
        self.known = Some((revision, record));
        self.acts_until = sent + LEASE_DURATION;
    }

    /// Notes that a renewal's outcome is unknown: nothing may be done until the object is read.
    pub fn lost_track(&mut self) {
        self.acts_until = Moment::ZERO;
    }
}
