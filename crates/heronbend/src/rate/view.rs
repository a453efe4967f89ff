//! Who lends for a key, as one daemon sees it.

use std::time::Duration;

use super::SETTLED;
use crate::identity::NodeName;
use crate::routing::rendezvous_score;
use crate::Moment;

/// A daemon that was lost so short a time ago counts among those that are there: a fleet that was
/// cut shows as many that are lost at once.
const REMEMBERED: Duration = Duration::from_secs(20);

/// Why a daemon does not lend for a key now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another one does.
    Other(NodeName),
    /// It sees too few of the others: another part of the fleet may go on.
    Minority,
    /// What a lender before it lent may still be used, for so long.
    Unsettled(Duration),
}

/// A daemon that was lost, or left.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lost {
    name: NodeName,
    since: Moment,
    /// Whether it said so itself: then it lends no more, and is not in another part of the fleet.
    has_left: bool,
}

/// The daemons that are alive, this one among them, and those that were of late.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct View {
    me: NodeName,
    started: Moment,
    alive: Vec<NodeName>,
    lost: Vec<Lost>,
}

impl View {
    /// A daemon that started at `started` and knows of no other.
    pub fn new(me: NodeName, started: Moment) -> Self {
        Self { alive: vec![me.clone()], me, started, lost: Vec::new() }
    }

    /// Takes in which other daemons are alive, and which of the others have said that they leave.
    pub fn update(&mut self, now: Moment, others: Vec<NodeName>, left: &[NodeName]) {
        let mut alive = others;
        alive.push(self.me.clone());
        for name in &self.alive {
            if !alive.contains(name) {
                let has_left = left.contains(name);
                self.lost.push(Lost { name: name.clone(), since: now, has_left });
            }
        }
        self.lost.retain(|lost| !alive.contains(&lost.name) && now < lost.since + REMEMBERED);
        for lost in &mut self.lost {
            lost.has_left |= left.contains(&lost.name);
        }
        self.alive = alive;
    }

    /// The daemon that lends for a key.
    pub fn lender(&self, key: &str) -> &NodeName {
        self.alive.iter().max_by_key(|name| score(key, name)).unwrap_or(&self.me)
    }

    /// Whether this daemon may lend for a key now; for how long it may not, or who does.
    pub fn may_lend(&self, now: Moment, key: &str) -> Result<(), Refusal> {
        let lender = self.lender(key);
        if *lender != self.me {
            return Err(Refusal::Other(lender.clone()));
        }
        let cut_off = self.lost.iter().filter(|lost| !lost.has_left).count();
        if self.alive.len() <= cut_off {
            return Err(Refusal::Minority);
        }
        let mine = score(key, &self.me);
        let earlier = self.lost.iter().filter(|lost| score(key, &lost.name) > mine);
        let since = earlier.map(|lost| lost.since).max().unwrap_or_default().max(self.started);
        let left = (since + SETTLED).saturating_sub(now);
        if left.is_zero() {
            Ok(())
        } else {
            Err(Refusal::Unsettled(left))
        }
    }
}

fn score(key: &str, name: &NodeName) -> (u64, NodeName) {
    (rendezvous_score(key.as_bytes(), name.0.as_bytes()), name.clone())
}
