//! Rumours waiting to ride on datagrams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::messages::GossipUpdate;

/// Bytes of rumours in one datagram, so that it stays within one packet.
const MAX_RUMOUR_BYTES: usize = 1000;
/// How often a rumour is sent, for each doubling of the number of daemons.
const SENDS_PER_DOUBLING: u32 = 3;

/// What a rumour is about; a newer rumour about the same replaces the older. Back ends come first:
/// their rumours are few and urgent, while a cut makes one rumour a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Backend(String),
    Member(String),
}

#[derive(Debug, Clone)]
struct Pending {
    rumour: GossipUpdate,
    bytes: usize,
    sent: u32,
}

/// When a rumour's turn comes; the least is sent first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    is_member: bool,
    sent: u32,
    subject: Subject,
}

impl Turn {
    fn new(subject: &Subject, sent: u32) -> Self {
        let is_member = matches!(subject, Subject::Member(_));
        Self { is_member, sent, subject: subject.clone() }
    }
}

/// A queue that sends rumours of back ends first, and of each kind the least-sent first.
///
/// The turns are kept in order: when a fleet starts, a thousand rumours wait, and a datagram takes eight.
#[derive(Debug, Clone, Default)]
pub(super) struct RumourQueue {
    pending: BTreeMap<Subject, Pending>,
    turns: BTreeSet<Turn>,
}

impl RumourQueue {
    /// Queues a rumour, replacing one about the same subject.
    pub(super) fn push(&mut self, rumour: GossipUpdate) {
        let subject = match &rumour {
            GossipUpdate::Member(member) => Subject::Member(member.id.name.0.clone()),
            GossipUpdate::Backend(stated) => Subject::Backend(stated.name.0.clone()),
        };
        let bytes = musli::wire::to_vec(&rumour).map_or(MAX_RUMOUR_BYTES, |bytes| bytes.len());
        self.turns.insert(Turn::new(&subject, 0));
        let pending = Pending { rumour, bytes, sent: 0 };
        if let Some(former) = self.pending.insert(subject.clone(), pending) {
            if former.sent > 0 {
                self.turns.remove(&Turn::new(&subject, former.sent));
            }
        }
    }

    /// Rumours for the next datagram, among `members` daemons.
    pub(super) fn take(&mut self, members: usize) -> Vec<GossipUpdate> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let mut taken = Vec::new();
        for turn in self.next_turns() {
            self.turns.remove(&turn);
            let Some(pending) = self.pending.get_mut(&turn.subject) else {
                continue;
            };
            pending.sent += 1;
            taken.push(pending.rumour.clone());
            if pending.sent >= max_sends {
                self.pending.remove(&turn.subject);
            } else {
                self.turns.insert(Turn::new(&turn.subject, pending.sent));
            }
        }
        taken
    }

    /// The turns that come next, as many as fit a datagram.
    fn next_turns(&self) -> Vec<Turn> {
        let mut bytes = 0;
        let fits = |turn: &&Turn| {
            bytes += self.pending.get(&turn.subject).map_or(0, |pending| pending.bytes);
            bytes <= MAX_RUMOUR_BYTES
        };
        self.turns.iter().take_while(fits).cloned().collect()
    }
}
