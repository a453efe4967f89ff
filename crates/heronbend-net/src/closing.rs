//! Closes a listener without losing anybody.
//!
//! The system completes a connection before the program accepts it. When a listener is closed, the
//! connections that wait in its queue are reset, and a client that has sent its request cannot
//! tell whether it was run. To accept until the queue is empty and then to close is not enough: a
//! connection may complete in between. So the system is told first to drop packets that begin a
//! connection, and some time is left for those that are half open. A client whose packet was dropped sends it again after about a second and is then
//! refused, which tells it that nothing was sent.

use std::io;
use std::time::Duration;

use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;
use socket2::SockFilter;
use socket2::SockRef;

/// Loads the byte at a fixed offset.
const LOAD_BYTE: u16 = 0x30;
/// Keeps the bits of a constant.
const AND: u16 = 0x54;
/// Jumps if equal to a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends with a constant: the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;

/// Offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;
/// Time for connections that were begun before the filter to complete.
const SETTLING: Duration = Duration::from_millis(100);

const DROP: u32 = 0;
const KEEP: u32 = u32::MAX;

/// Has the system drop packets that begin a connection; those that complete one still pass.
///
/// Fails where the system has no such filters. The listener then works as before.
pub fn drop_new(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Closes a listener, after every connection that waits to be accepted was given to `serve`.
///
/// Where [`drop_new`] fails, a connection that completes at the very moment of the close is lost.
pub async fn close(listener: TcpListener, mut serve: impl FnMut(TcpStream)) {
    // Without the filter the queue is emptied all the same.
    let _ = drop_new(&listener);
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => serve(stream),
                Err(_) => smol::future::yield_now().await,
            }
        }
    };
    let settled = async {
        Timer::after(SETTLING).await;
    };
    smol::future::or(accept, settled).await;
    while let Some(Ok((stream, _))) = smol::future::poll_once(listener.accept()).await {
        serve(stream);
    }
}
