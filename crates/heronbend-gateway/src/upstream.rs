//! Where a daemon receives the contents of the store from.

use heronbend::identity::NodeId;

/// Where a daemon receives the contents of the store from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Upstream {
    /// From the store, by its own list and watch calls.
    Store,
    /// From these peers, in order of preference.
    Peers(Vec<NodeId>),
    /// From nowhere: neither this daemon nor the peers that watch the store can reach it. Lists are
    /// suspended, so that not every daemon calls the store during an outage.
    Unavailable,
}
