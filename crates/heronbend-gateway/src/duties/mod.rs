//! Duties towards the infrastructure provider. One daemon at a time performs them.
//!
//! - [`usage`]: usage by tenant, as counted by this daemon and reported by others.
//! - [`billing`]: usage accounting of one request.
//! - [`takeover`]: the order in which daemons take over the duties.
//! - [`usage_broadcast`]: sends this daemon's counts to other daemons.
//! - [`reporting`]: settles and reports usage windows.
//! - [`scaling`]: orders servers.

pub mod billing;
pub mod reporting;
pub mod scaling;
pub mod takeover;
pub mod usage;
pub mod usage_broadcast;
