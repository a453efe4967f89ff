//! Duties towards the provider of the machines, which one daemon at a time carries out.
//!
//! - [`book`]: what tenants use, as this daemon counts it and as others tell it.
//! - [`billing`]: one request's entry in the book.
//! - [`line`]: whose turn it is.
//! - [`telling`]: tells other daemons what was counted here.
//! - [`reporting`]: settles windows and reports them.
//! - [`scaling`]: orders servers.

pub mod billing;
pub mod book;
pub mod line;
pub mod reporting;
pub mod scaling;
pub mod telling;
