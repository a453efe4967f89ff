//! Order in which daemons take over the duties.
//!
//! The last holder of the lease continues while it is alive. The other daemons follow in an order
//! that is the same at every daemon, with increasing delays.

use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use rapidhash::v3::rapidhash_v3;

use crate::gateway::Gateway;

/// Prefix of the hashed node names.
const HASH_KEY: &str = "duties";

/// Sorts the daemons in `alive` by takeover order.
pub fn takeover_order(mut alive: Vec<NodeId>, holder: Option<&NodeName>) -> Vec<NodeId> {
    alive.sort_by_cached_key(|node| {
        let hash = rapidhash_v3(format!("{HASH_KEY}/{}", node.name).as_bytes());
        (Some(&node.name) != holder, hash, node.clone())
    });
    alive
}

/// Live daemons in takeover order, as known to this daemon. Without this daemon if it is draining.
pub fn current_order(gateway: &Gateway) -> Vec<NodeId> {
    let mut alive = gateway.members.alive();
    if !gateway.draining.get() {
        alive.push(gateway.identity.node.clone());
    }
    takeover_order(alive, gateway.duty_lease.holder().as_ref())
}

/// Whether this daemon is the first in the takeover order.
pub fn is_first(gateway: &Gateway) -> bool {
    current_order(gateway).first() == Some(&gateway.identity.node)
}

/// Position of `node` in `order`, or the length of `order` if it is missing.
pub fn position(order: &[NodeId], node: &NodeId) -> usize {
    order.iter().position(|other| other == node).unwrap_or(order.len())
}
