//! Faults at named places, for tests only.
//!
//! They exist only in a daemon started with `--allow-failpoints`; otherwise every check is false.

use std::collections::BTreeSet;

use arc_swap::ArcSwap;
use heronbend::identity::NodeName;
use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing is sent to these peers.
    pub drop_to: BTreeSet<NodeName>,
    /// Nothing from these peers is heard.
    pub drop_from: BTreeSet<NodeName>,
}

/// Holds the faults, and whether any may be set.
#[derive(Debug, Default)]
pub struct Failpoints {
    allowed: bool,
    faults: ArcSwap<Faults>,
}

impl Failpoints {
    /// Without faults.
    pub fn new(allowed: bool) -> Self {
        Self { allowed, faults: ArcSwap::default() }
    }

    /// Sets the faults; whether that is allowed.
    pub fn set(&self, faults: Faults) -> bool {
        if self.allowed {
            log::warn!("event=failpoints_set faults={faults:?}");
            self.faults.store(faults.into());
        }
        self.allowed
    }

    /// Whether messages to a peer are to be dropped.
    pub fn drops_to(&self, peer: &NodeName) -> bool {
        self.allowed && self.faults.load().drop_to.contains(peer)
    }

    /// Whether messages from a peer are to be dropped.
    pub fn drops_from(&self, peer: &NodeName) -> bool {
        self.allowed && self.faults.load().drop_from.contains(peer)
    }
}
