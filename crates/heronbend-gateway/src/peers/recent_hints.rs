//! Hints that a daemon broadcast just after its start, for daemons that it did not know then.
//!
//! Daemons that start together know each other only after some rounds of gossip. What is broadcast
//! before reaches nobody, and most of it is not told again. A daemon that starts later is told the
//! state by a running one, so that the hints of running daemons are not kept.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::membership::Liveness;
use heronbend::membership::Member;
use heronbend::Moment;

use super::messages::Hint;

/// Time after the start within which hints are kept, and for which each is sent to daemons that
/// become known: some rounds of gossip.
const RETENTION: Duration = Duration::from_secs(3);
/// Bounds the datagrams that a daemon which becomes known is sent at once.
const CAPACITY: usize = 64;

/// The hints, and the daemons that have been sent them.
#[derive(Debug)]
pub struct RecentHints {
    started_at: Moment,
    hints: VecDeque<(Moment, Hint)>,
    known: BTreeSet<NodeId>,
}

impl RecentHints {
    /// Keeps the hints of a daemon that started at `started_at`.
    pub fn new(started_at: Moment) -> Self {
        Self { started_at, hints: VecDeque::new(), known: BTreeSet::new() }
    }

    /// Records a hint that is broadcast to all known daemons, soon after the start. Hints that are
    /// repeated anyway are left out.
    pub fn record(&mut self, now: Moment, hint: &Hint) {
        let is_repeated = match hint {
            Hint::JobOwned { .. } | Hint::RequestsSuspected { .. } | Hint::UsageReported { .. } => {
                false
            }
            Hint::OrderTaken { .. }
            | Hint::LeaseRenewed { .. }
            | Hint::UsageCounted { .. }
            | Hint::DemandReported(_) => true,
        };
        if is_repeated || now.saturating_sub(self.started_at) >= RETENTION {
            return;
        }
        self.hints.push_back((now, hint.clone()));
        if self.hints.len() > CAPACITY {
            self.hints.pop_front();
        }
    }

    /// Records the state of a daemon. Returns the hints to be sent to it if it was not known.
    pub fn note_member(&mut self, now: Moment, member: &Member) -> Vec<Hint> {
        if member.liveness > Liveness::Suspect {
            self.known.remove(&member.id);
            return Vec::new();
        }
        if !self.known.insert(member.id.clone()) {
            return Vec::new();
        }
        let is_recent = |at: Moment| now.saturating_sub(at) < RETENTION;
        self.hints.iter().filter(|(at, _)| is_recent(*at)).map(|(_, hint)| hint.clone()).collect()
    }
}
