//! Fault injection for tests.
//!
//! Only available in daemons started with `--allow-failpoints`; otherwise no fault can be set.

use std::collections::BTreeSet;

use arc_swap::ArcSwap;
use heronbend::identity::NodeName;
use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Peers to which all messages are dropped.
    pub drop_to: BTreeSet<NodeName>,
    /// Peers from which all messages are dropped.
    pub drop_from: BTreeSet<NodeName>,
}

/// The active faults, and whether faults may be set.
#[derive(Debug, Default)]
pub struct Failpoints {
    allowed: bool,
    faults: ArcSwap<Faults>,
}

impl Failpoints {
    /// Creates an instance without faults.
    pub fn new(allowed: bool) -> Self {
        Self { allowed, faults: ArcSwap::default() }
    }

    /// Replaces the active faults if this is allowed; returns whether it is.
    pub fn set(&self, faults: Faults) -> bool {
        if self.allowed {
            log::warn!("event=failpoints_set faults={faults:?}");
            self.faults.store(faults.into());
        }
        self.allowed
    }

    /// Returns whether messages to a peer are dropped.
    pub fn drops_to(&self, peer: &NodeName) -> bool {
        self.allowed && self.faults.load().drop_to.contains(peer)
    }

    /// Returns whether messages from a peer are dropped.
    pub fn drops_from(&self, peer: &NodeName) -> bool {
        self.allowed && self.faults.load().drop_from.contains(peer)
    }
}
