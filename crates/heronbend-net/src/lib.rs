//! Operating system facilities that heronbend's daemons share.
//!
//! - [`binding`]: binds addresses that are in use for a while.
//! - [`boot_clock`]: a monotonic clock that includes suspensions of the machine.
//! - [`closing`]: closes a listener without resetting connections in its accept queue.

pub mod binding;
pub mod boot_clock;
pub mod closing;
