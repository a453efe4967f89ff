//! Lease state that ensures one daemon at a time commands servers, without I/O.
//!
//! Servers may not check fencing tokens, so the lease alone must prevent two active holders. It is
//! an object in the store, renewed by compare-and-swap. A holder may act for a fixed time after it
//! *sent* its last renewal, by its own monotonic clock. A takeover by compare-and-swap makes
//! further renewals of the former holder fail. The new holder waits until the former one's time to
//! act has ended, and then for the configured pause.
//!
//! Each renewal changes the record, so each revision stands for one renewal. A renewal was sent
//! before its revision became known, so the wait counts from that time and not from the takeover.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend::Moment;
use serde::{Deserialize, Serialize};

use crate::ports::Revision;

/// How long a holder may act after it sent a renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// How long before the lease ends the holder stops acting, so that its commands also arrive in
/// time.
const ACT_MARGIN: Duration = Duration::from_millis(300);

/// Contents of the lease object.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, musli::Encode, musli::Decode,
)]
pub struct LeaseRecord {
    /// The node that holds the lease. A restarted process on the same node is the same holder.
    pub holder: NodeName,
    /// Whether the holder has completed its wait after a takeover. Otherwise a restarted process of
    /// the same node must wait again, since its predecessor may only just have taken over.
    pub settled: bool,
    /// Number of renewals. Makes each renewal write a different record, since the store ignores
    /// writes without a change.
    #[serde(default)]
    #[musli(default)]
    pub renewals: u64,
}

impl LeaseRecord {
    /// Stands for a record that cannot be read. No daemon has its holder's name.
    pub fn unknown() -> Self {
        Self { holder: NodeName(String::new()), settled: false, renewals: 0 }
    }
}

/// The latest known record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct KnownRecord {
    revision: Revision,
    record: LeaseRecord,
    /// When this daemon learned of the revision. Its renewal was sent earlier.
    since: Moment,
}

/// State of the lease at one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHold {
    node: NodeName,
    pause: Duration,
    known: Option<KnownRecord>,
    /// When this daemon may start to act, or `None` if it is not the holder.
    active_from: Option<Moment>,
    /// When the right to act from the last acknowledged renewal ends.
    active_until: Moment,
}

impl LeaseHold {
    /// Creates the state of a daemon that knows no record. `pause` is the minimum time between the
    /// last command of one holder and the first of the next.
    pub fn new(node: NodeName, pause: Duration) -> Self {
        Self { node, pause, known: None, active_from: None, active_until: Moment::ZERO }
    }

    /// The revision that a renewal must replace, or `None` if no record is known.
    pub fn revision(&self) -> Option<Revision> {
        self.known.as_ref().map(|known| known.revision)
    }

    /// The last known holder.
    pub fn holder(&self) -> Option<&NodeName> {
        self.known.as_ref().map(|known| &known.record.holder)
    }

    /// The fencing token, if this daemon may act at `now`.
    pub fn token(&self, now: Moment) -> Option<u64> {
        let may_act = self.active_from? <= now && now + ACT_MARGIN < self.active_until;
        may_act.then(|| self.revision()).flatten()
    }

    /// When this daemon may act, if it is the holder and still has to wait.
    pub fn waits_until(&self, now: Moment) -> Option<Moment> {
        self.active_from.filter(|from| now < *from)
    }

    /// The record that a renewal sent at `now` writes.
    pub fn next_record(&self, now: Moment) -> LeaseRecord {
        let settled = match (&self.known, self.active_from) {
            (None, _) => true,
            (Some(_), Some(from)) => from <= now,
            (Some(known), None) => known.record.holder == self.node && known.record.settled,
        };
        let renewals = self.known.as_ref().map_or(0, |known| known.record.renewals + 1);
        LeaseRecord { holder: self.node.clone(), settled, renewals }
    }

    /// Updates the state with a record that was read, returned by a conflict or announced by the
    /// holder, and known since `since`. Older revisions are ignored.
    pub fn observed(&mut self, revision: Revision, record: LeaseRecord, since: Moment) {
        if self.revision().is_some_and(|known| revision <= known) {
            return;
        }
        if record.holder != self.node {
            self.active_from = None;
        }
        self.active_until = Moment::ZERO;
        self.known = Some(KnownRecord { revision, record, since });
    }

    /// Updates the state after `record`, sent at `sent`, was acknowledged as `revision` at
    /// `acknowledged`.
    pub fn renewed(
        &mut self,
        revision: Revision,
        record: LeaseRecord,
        sent: Moment,
        acknowledged: Moment,
    ) {
        if self.revision().is_some_and(|known| revision < known) {
            // The response was delayed and the lease has changed since.
            return;
        }
        if self.active_from.is_none() {
            let former_renewed = self.known.as_ref().map_or(acknowledged, |known| known.since);
            let after_pause = former_renewed + LEASE_DURATION + self.pause;
            let from = if record.settled { acknowledged } else { after_pause.max(acknowledged) };
            self.active_from = Some(from);
        }
        self.known = Some(KnownRecord { revision, record, since: acknowledged });
        self.active_until = sent + LEASE_DURATION;
    }

    /// Stops this daemon from acting until the record is read, since the outcome of a renewal is
    /// unknown.
    pub fn invalidate(&mut self) {
        self.active_until = Moment::ZERO;
    }
}
