//! The lease under which one daemon at a time gives orders to servers.
//!
//! Servers may not check fencing tokens, so the lease has to keep two holders apart by itself. It
//! is an object in the store, renewed by compare-and-swap. A holder may act until a fixed time
//! after it *sent* its last renewal, by its own steady clock. A daemon that takes the lease over
//! has, by its compare-and-swap, made any further renewal of the former holder fail; it waits for
//! the former holder's longest right to act, and for the pause that the surroundings demand.
//!
//! Each renewal changes the record, so that one revision stands for one renewal. Whoever has known
//! a revision for some time, and replaces it, knows that its renewal was sent before that time: the
//! wait counts from when the revision became known and not from the takeover.

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
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
pub struct LeaseRecord {
    /// The machine that holds it. A restarted process of the same machine is the same holder.
    pub holder: NodeName,
    /// Whether the holder has waited until it may act. A process that finds its own machine's name
    /// without this has to wait anew: the process before it may have taken the lease a moment ago.
    pub settled: bool,
    /// Renewals so far: no two of them write the same, which would be no change in the store.
    #[serde(default)]
    #[musli(default)]
    pub renewals: u64,
}

/// The record as a daemon last knew it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Known {
    revision: Revision,
    record: LeaseRecord,
    /// When this daemon first knew of this revision: its renewal was sent before.
    since: Moment,
}

/// One daemon's hold on the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHold {
    me: NodeName,
    pause: Duration,
    known: Option<Known>,
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
        self.known.as_ref().map(|known| known.revision)
    }

    /// Who holds the lease, as far as is known.
    pub fn holder(&self) -> Option<&NodeName> {
        self.known.as_ref().map(|known| &known.record.holder)
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
            (Some(known), None) => known.record.holder == self.me && known.record.settled,
        };
        let renewals = self.known.as_ref().map_or(0, |known| known.record.renewals + 1);
        LeaseRecord { holder: self.me.clone(), settled, renewals }
    }

    /// Notes what the object says, read, told by a conflict or by the holder, as known from `since`.
    pub fn observed(&mut self, revision: Revision, record: LeaseRecord, since: Moment) {
        if self.revision().is_some_and(|known| revision <= known) {
            return;
        }
        if record.holder != self.me {
            self.acts_from = None;
        }
        self.acts_until = Moment::ZERO;
        self.known = Some(Known { revision, record, since });
    }

    /// Notes that `record`, sent at `sent`, was acknowledged as `revision` at `acknowledged`.
    pub fn renewed(
        &mut self,
        revision: Revision,
        record: LeaseRecord,
        sent: Moment,
        acknowledged: Moment,
    ) {
        if self.revision().is_some_and(|known| revision < known) {
            // The answer was held up: the lease has changed since.
            return;
        }
        if self.acts_from.is_none() {
            let former_ends = self.known.as_ref().map_or(acknowledged, |known| known.since);
            let after_pause = former_ends + LEASE_DURATION + self.pause;
            let from = if record.settled { acknowledged } else { after_pause.max(acknowledged) };
            self.acts_from = Some(from);
        }
        self.known = Some(Known { revision, record, since: acknowledged });
        self.acts_until = sent + LEASE_DURATION;
    }

    /// Notes that a renewal's outcome is unknown: nothing may be done until the object is read.
    pub fn invalidate(&mut self) {
        self.acts_until = Moment::ZERO;
    }
}
