//! Rumours waiting to ride on datagrams.

use std::collections::BTreeMap;

use super::messages::Rumour;

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
    rumour: Rumour,
    bytes: usize,
    sent: u32,
}

/// A queue that sends rumours of back ends first, and of each kind the least-sent first.
#[derive(Debug, Clone, Default)]
pub(super) struct RumourQueue {
    pending: BTreeMap<Subject, Pending>,
}

impl RumourQueue {
    /// Queues a rumour, replacing one about the same subject.
    pub(super) fn push(&mut self, rumour: Rumour) {
        let subject = match &rumour {
            Rumour::Member(member) => Subject::Member(member.id.name.0.clone()),
            Rumour::Backend(stated) => Subject::Backend(stated.name.0.clone()),
        };
        let bytes = musli::wire::to_vec(&rumour).map_or(MAX_RUMOUR_BYTES, |bytes| bytes.len());
        let pending = Pending { rumour, bytes, sent: 0 };
        self.pending.insert(subject, pending);
    }

    /// Rumours for the next datagram, among `members` daemons.
    pub(super) fn take(&mut self, members: usize) -> Vec<Rumour> {
        let doublings = usize::BITS - members.leading_zeros() + 1;
        let max_sends = SENDS_PER_DOUBLING * doublings;
        let mut order: Vec<(bool, u32, Subject)> = self
            .pending
            .iter()
            .map(|(subject, pending)| {
                (matches!(subject, Subject::Member(_)), pending.sent, subject.clone())
            })
            .collect();
        order.sort();
        let mut bytes = 0;
        let mut taken = Vec::new();
        for (_, _, subject) in order {
            let Some(pending) = self.pending.get_mut(&subject) else {
                continue;
            };
            if bytes + pending.bytes > MAX_RUMOUR_BYTES {
                break;
            }
            bytes += pending.bytes;
            pending.sent += 1;
            taken.push(pending.rumour.clone());
            if pending.sent >= max_sends {
                self.pending.remove(&subject);
            }
        }
        taken
    }
}
