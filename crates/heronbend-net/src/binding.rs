//! Binds addresses that other processes may hold for a while, such as the process before this one,
//! or an outgoing connection of any process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts after which an address that is still in use is logged again: ten seconds.
const LOG_INTERVAL: u32 = 100;

/// Calls `bind` until the address is not in use by another process.
///
/// # Errors
///
/// Fails with any other error, such as for an address that is not of this machine.
pub async fn retry<T>(
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> io::Result<T> {
    let mut failures = 0;
    loop {
        match bind(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                if failures % LOG_INTERVAL == 0 {
                    log::warn!("event=address_in_use address={address} failures={failures}");
                }
                failures = failures.wrapping_add(1);
                Timer::after(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
