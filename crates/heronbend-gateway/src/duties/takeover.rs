//! Whose turn it is to carry the duties out.
//!
//! The last holder of the lease goes on while it is alive. Then come the others, in an order that is
//! the same at every daemon; each waits longer than the one before it.

use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use rapidhash::v3::rapidhash_v3;

use crate::gateway::Gateway;

/// What the order of the daemons goes by.
const HASH_KEY: &str = "duties";

/// The daemons `alive` in the order in which they take the duties over.
pub fn takeover_order(mut alive: Vec<NodeId>, holder: Option<&NodeName>) -> Vec<NodeId> {
    alive.sort_by_cached_key(|node| {
        let hash = rapidhash_v3(format!("{HASH_KEY}/{}", node.name).as_bytes());
        (Some(&node.name) != holder, hash, node.clone())
    });
    alive
}

/// The daemons that may carry the duties out now, in order, as this daemon sees it.
pub fn current_order(gateway: &Gateway) -> Vec<NodeId> {
    let mut alive = gateway.members.alive();
    if !gateway.draining.get() {
        alive.push(gateway.identity.node.clone());
    }
    takeover_order(alive, gateway.duty_lease.holder().as_ref())
}

/// Whether the duties fall to this daemon now.
pub fn is_first(gateway: &Gateway) -> bool {
    current_order(gateway).first() == Some(&gateway.identity.node)
}

/// The place of `me` in a line, counted from 0; behind all where it is not in it.
pub fn position(order: &[NodeId], node: &NodeId) -> usize {
    order.iter().position(|other| other == node).unwrap_or(order.len())
}
