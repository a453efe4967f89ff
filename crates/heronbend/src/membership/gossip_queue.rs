//! Queue of gossip updates to piggyback on datagrams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::messages::GossipUpdate;

/// Maximum encoded size of the updates in a datagram, which keeps it within one packet.
const MAX_UPDATE_BYTES: usize = 1000;
/// Number of times that an update is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Subject of an update. A newer update replaces a queued one with the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Backend(String),
    Member(String),
}

#[derive(Debug, Clone)]
struct Pending {
    update: GossipUpdate,
    bytes: usize,
    sent: u32,
}

/// Position of an update in the send order; the least is sent first.
///
/// Backend updates precede member updates: they are rare and urgent, while a network partition
/// causes an update for each member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    is_member: bool,
    sent: u32,
    subject: Subject,
}

impl QueueEntry {
    fn new(subject: &Subject, sent: u32) -> Self {
        let is_member = matches!(subject, Subject::Member(_));
        Self { is_member, sent, subject: subject.clone() }
    }
}

/// Queue that returns backend updates first and, within each kind, the least-sent updates first.
///
/// Entries are kept sorted, because the queue is much longer than a datagram while a fleet starts.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    pending: BTreeMap<Subject, Pending>,
    order: BTreeSet<QueueEntry>,
}

impl GossipQueue {
    /// Queues an update, replacing a queued one with the same subject.
    pub(super) fn push(&mut self, update: GossipUpdate) {
        let subject = match &update {
            GossipUpdate::Member(member) => Subject::Member(member.id.name.0.clone()),
            GossipUpdate::Backend(backend) => Subject::Backend(backend.name.0.clone()),
        };
        let bytes = musli::wire::to_vec(&update).map_or(MAX_UPDATE_BYTES, |bytes| bytes.len());
        self.order.insert(QueueEntry::new(&subject, 0));
        let pending = Pending { update, bytes, sent: 0 };
        if let Some(former) = self.pending.insert(subject.clone(), pending) {
            if former.sent > 0 {
                self.order.remove(&QueueEntry::new(&subject, former.sent));
            }
        }
    }

    /// Returns the updates for the next datagram, given the number of members.
    pub(super) fn take(&mut self, members: usize) -> Vec<GossipUpdate> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let mut taken = Vec::new();
        for entry in self.next_entries() {
            self.order.remove(&entry);
            let Some(pending) = self.pending.get_mut(&entry.subject) else {
                continue;
            };
            pending.sent += 1;
            taken.push(pending.update.clone());
            if pending.sent >= max_sends {
                self.pending.remove(&entry.subject);
            } else {
                self.order.insert(QueueEntry::new(&entry.subject, pending.sent));
            }
        }
        taken
    }

    /// Returns the next entries that fit into a datagram.
    fn next_entries(&self) -> Vec<QueueEntry> {
        let mut bytes = 0;
        let fits = |entry: &&QueueEntry| {
            bytes += self.pending.get(&entry.subject).map_or(0, |pending| pending.bytes);
            bytes <= MAX_UPDATE_BYTES
        };
        self.order.iter().take_while(fits).cloned().collect()
    }
}
