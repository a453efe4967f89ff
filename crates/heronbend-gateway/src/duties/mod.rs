//! Duties towards the provider of the machines, which one daemon at a time carries out.
//!
//! - [`usage`]: what tenants use, as this daemon counts it and as others tell it.
//! - [`billing`]: one request's entry in the book.
//! - [`takeover`]: whose turn it is.
//! - [`usage_broadcast`]: tells other daemons what was counted here.
//! - [`reporting`]: settles windows and reports them.
//! - [`scaling`]: orders servers.

pub mod billing;
pub mod reporting;
pub mod scaling;
pub mod takeover;
pub mod usage;
pub mod usage_broadcast;
