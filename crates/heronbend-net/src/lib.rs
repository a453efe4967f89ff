//! What heronbend's daemons need of the system, below any protocol.
//!
//! - [`boot_clock`]: a clock that counts the time for which the machine is suspended.
//! - [`closing`]: how a listener closes without losing a connection that waits to be accepted.

pub mod boot_clock;
pub mod closing;
