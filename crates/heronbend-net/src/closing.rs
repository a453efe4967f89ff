//! Closes a listener without resetting established connections.
//!
//! The kernel establishes connections before the program accepts them. Closing a listener resets
//! those in its accept queue, and a client that has sent its request cannot tell whether it was
//! run. Draining the queue first is not enough, since a connection may be established between the
//! last accept and the close. A socket filter therefore drops new SYN packets first, and half-open
//! connections get some time to complete. A client whose SYN was dropped retransmits it after about
//! a second and is refused, so it knows that nothing was sent.

use std::io;
use std::time::Duration;

use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Timer;
use socket2::SockFilter;
use socket2::SockRef;

/// BPF opcode: loads the byte at a fixed offset.
const LOAD_BYTE: u16 = 0x30;
/// BPF opcode: bitwise AND with a constant.
const AND: u16 = 0x54;
/// BPF opcode: jumps if equal to a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// BPF opcode: returns a constant, the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;

/// Offset of the flags in the TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;
/// Time for half-open connections to complete after the filter is attached.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(100);

const DROP_PACKET: u32 = 0;
const KEEP_PACKET: u32 = u32::MAX;

/// Attaches a filter that drops SYN packets; packets that complete a connection still pass.
///
/// On failure, for example without support for socket filters, the listener is unchanged.
pub fn drop_new_connections(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP_PACKET),
        SockFilter::new(RETURN, 0, 0, KEEP_PACKET),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Closes a listener after passing every connection in its accept queue to `serve`.
///
/// If [`drop_new_connections`] fails, a connection established right before the close may be reset.
pub async fn close(listener: TcpListener, mut serve: impl FnMut(TcpStream)) {
    // The queue is drained even if the filter could not be attached.
    let _ = drop_new_connections(&listener);
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => serve(stream),
                Err(_) => smol::future::yield_now().await,
            }
        }
    };
    let deadline = async {
        Timer::after(HALF_OPEN_TIMEOUT).await;
    };
    smol::future::or(accept, deadline).await;
    while let Some(Ok((stream, _))) = smol::future::poll_once(listener.accept()).await {
        serve(stream);
    }
}
