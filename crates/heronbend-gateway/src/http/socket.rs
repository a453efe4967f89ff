//! The socket of a connection to a client, with a limit on the time without progress of a write.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use heronbend::Moment;
use heronbend_net::boot_clock::since_boot;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use smol::net::TcpStream;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

use crate::memory::Reservation;

/// A client that did not read its response for the longest time allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlowReader {
    /// Id of the request.
    pub id: String,
    /// Bytes of the response that the socket has accepted.
    pub sent_bytes: u64,
    /// Time since the socket last accepted a byte.
    pub idle: Duration,
}

/// Progress of the current response on a connection.
#[derive(Debug, Default)]
pub struct ResponseProgress {
    id: RefCell<String>,
    sent_bytes: Cell<u64>,
    /// Reservations of responses that may be in the write buffer.
    reservations: RefCell<Vec<Rc<Reservation>>>,
    slow_reader: RefCell<Option<SlowReader>>,
}

impl ResponseProgress {
    /// Records the start of a response. Its reservation is kept until all of it has been written.
    pub fn start(&self, id: String, reservation: Option<Rc<Reservation>>) {
        self.id.replace(id);
        self.sent_bytes.set(0);
        self.reservations.borrow_mut().extend(reservation);
    }

    /// Records that the write buffer is empty. A response whose body still holds its reservation
    /// has not been passed to the write buffer as a whole.
    pub fn note_flushed(&self) {
        self.reservations.borrow_mut().retain(|reservation| Rc::strong_count(reservation) > 1);
    }

    /// The slow reader because of which the connection was closed, if any.
    pub fn take_slow_reader(&self) -> Option<SlowReader> {
        self.slow_reader.take()
    }
}

/// Returns the longest time without progress of a write that stalls now.
pub type UnreadTimeout = Rc<dyn Fn() -> Duration>;

/// A write that waits for the client to read.
struct Stall {
    since: Moment,
    timeout: Timer,
}

/// The socket of a connection to a client. A write fails once no byte has been accepted for
/// `unread_timeout`.
pub struct ClientSocket {
    io: FuturesIo<TcpStream>,
    progress: Rc<ResponseProgress>,
    unread_timeout: Option<UnreadTimeout>,
    stall: Option<Stall>,
}

impl ClientSocket {
    /// Wraps a socket; without `unread_timeout` writes wait without limit.
    pub fn new(
        socket: TcpStream,
        progress: Rc<ResponseProgress>,
        unread_timeout: Option<UnreadTimeout>,
    ) -> Self {
        Self { io: FuturesIo::new(socket), progress, unread_timeout, stall: None }
    }

    /// Waits until the stalled write has made no progress for the longest time allowed.
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let Some(unread_timeout) = &self.unread_timeout else {
            return Poll::Pending;
        };
        let stall = self.stall.get_or_insert_with(|| Stall {
            since: since_boot(),
            timeout: Timer::after(unread_timeout()),
        });
        if Pin::new(&mut stall.timeout).poll(context).is_pending() {
            return Poll::Pending;
        }
        let slow_reader = SlowReader {
            id: self.progress.id.borrow().clone(),
            sent_bytes: self.progress.sent_bytes.get(),
            idle: since_boot().saturating_sub(stall.since),
        };
        self.progress.slow_reader.replace(Some(slow_reader));
        Poll::Ready(io::Error::from(io::ErrorKind::TimedOut))
    }
}

impl Read for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Poll::Ready(written) = Pin::new(&mut self.io).poll_write(context, buffer) else {
            return self.poll_stall(context).map(Err);
        };
        self.stall = None;
        let accepted = *written.as_ref().unwrap_or(&0) as u64;
        self.progress.sent_bytes.set(self.progress.sent_bytes.get() + accepted);
        Poll::Ready(written)
    }

    /// Called once the write buffer of the connection is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.note_flushed();
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
