//! Selection of the issuer of a key, from one daemon's view of the membership.

use std::time::Duration;

use super::ACCOUNTING_PERIOD;
use crate::identity::NodeName;
use crate::routing::rendezvous_score;
use crate::Moment;

/// How long a lost daemon still counts towards the majority, so that a partition is detected.
const LOST_RETENTION: Duration = Duration::from_secs(20);

/// Why a daemon may not issue permits for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another daemon is the issuer.
    OtherIssuer(NodeName),
    /// The daemon may be on the minority side of a partition.
    Minority,
    /// Permits of an earlier issuer may still be used for this long.
    TakeoverPending(Duration),
}

/// A daemon that is no longer alive.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lost {
    name: NodeName,
    since: Moment,
    /// Whether it announced that it leaves, and so is not on another side of a partition.
    left_voluntarily: bool,
}

/// The live daemons, including the local one, and the recently lost ones.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipView {
    local: NodeName,
    started: Moment,
    alive: Vec<NodeName>,
    lost: Vec<Lost>,
}

impl MembershipView {
    /// Creates the view of a daemon that started at `started` and knows no others.
    pub fn new(local: NodeName, started: Moment) -> Self {
        Self { alive: vec![local.clone()], local, started, lost: Vec::new() }
    }

    /// Updates which other daemons are alive, and which have announced that they leave.
    pub fn update(&mut self, now: Moment, others: Vec<NodeName>, left: &[NodeName]) {
        let mut alive = others;
        alive.push(self.local.clone());
        for name in &self.alive {
            if !alive.contains(name) {
                let left_voluntarily = left.contains(name);
                self.lost.push(Lost { name: name.clone(), since: now, left_voluntarily });
            }
        }
        self.lost.retain(|lost| !alive.contains(&lost.name) && now < lost.since + LOST_RETENTION);
        for lost in &mut self.lost {
            lost.left_voluntarily |= left.contains(&lost.name);
        }
        self.alive = alive;
    }

    /// The daemon that issues permits for a key.
    pub fn issuer(&self, key: &str) -> &NodeName {
        self.alive.iter().max_by_key(|name| score(key, name)).unwrap_or(&self.local)
    }

    /// Checks whether this daemon may issue permits for a key now.
    pub fn may_issue(&self, now: Moment, key: &str) -> Result<(), Refusal> {
        let issuer = self.issuer(key);
        if *issuer != self.local {
            return Err(Refusal::OtherIssuer(issuer.clone()));
        }
        let lost_count = self.lost.iter().filter(|lost| !lost.left_voluntarily).count();
        if self.alive.len() <= lost_count {
            return Err(Refusal::Minority);
        }
        let local_score = score(key, &self.local);
        let predecessors = self.lost.iter().filter(|lost| score(key, &lost.name) > local_score);
        let since = predecessors.map(|lost| lost.since).max().unwrap_or_default().max(self.started);
        let remaining = (since + ACCOUNTING_PERIOD).saturating_sub(now);
        if remaining.is_zero() {
            Ok(())
        } else {
            Err(Refusal::TakeoverPending(remaining))
        }
    }
}

fn score(key: &str, name: &NodeName) -> (u64, NodeName) {
    (rendezvous_score(key.as_bytes(), name.0.as_bytes()), name.clone())
}
