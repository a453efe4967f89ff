//! Sockets as heronbend's daemons use them, below any protocol.
//!
//! - [`closing`]: how a listener closes without losing a connection that waits to be accepted.

pub mod closing;
