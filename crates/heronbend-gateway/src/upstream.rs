//! By which way a daemon hears of the store.

use heronbend::identity::NodeId;

/// By which way a daemon hears of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// It lists and watches for itself.
    Store,
    /// It follows these daemons, which do.
    Watchers(Vec<NodeId>),
    /// Those that do hear nothing from the store, and this daemon does not either: to list would cost
    /// a call at each daemon, and not be answered.
    Outage,
}
