//! Connections of callers and peers.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use event_listener::Event;
use futures_lite::FutureExt;
use heronbend_net::closing;
use http::header::{HeaderValue, CONNECTION};
use http::Request;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use super::Answer;
use crate::memory::Reservation;

/// Wait after a connection could not be accepted, as when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Limits on one listener's clients; may change while it serves.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Longest time between the end of one request and the whole head of the next.
    pub head_timeout: Duration,
}

/// What one listener's connections are doing.
#[derive(Default)]
pub struct Listener {
    exchanges: Cell<usize>,
    connections: Cell<usize>,
    draining: Cell<bool>,
    closing: Event,
    limits: RefCell<Option<ListenerLimits>>,
}

impl Listener {
    /// A listener that is not serving yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Sets the limits for connections that come from now on.
    pub fn set_limits(&self, limits: ListenerLimits) {
        *self.limits.borrow_mut() = Some(limits);
    }

    /// Requests whose answer is not yet handed to the connection.
    pub fn exchanges(&self) -> usize {
        self.exchanges.get()
    }

    /// Open connections: while one is open, an answer may still be on its way.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Ends every connection with its next answer, while new ones are still accepted.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Stops accepting, and closes the connections that rest.
    pub fn close(&self) {
        self.draining.set(true);
        self.closing.notify(usize::MAX);
    }

    /// Accepts connections until closed, and serves each on `executor`.
    pub async fn serve<H, F>(
        self: Rc<Self>,
        executor: Rc<LocalExecutor<'static>>,
        socket: TcpListener,
        handler: H,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let closed = self.closing.listen();
        let serve_one = |connection: smol::net::TcpStream| {
            let _ = connection.set_nodelay(true);
            let open = CountedConnection::new(&self);
            let serving = self.clone().serve_connection(connection, handler.clone());
            let serving = async move {
                serving.await;
                drop(open);
            };
            executor.spawn(serving).detach();
        };
        let accept = async {
            loop {
                match socket.accept().await {
                    Ok((connection, _)) => serve_one(connection),
                    Err(_) => {
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        accept.or(closed).await;
        closing::close(socket, serve_one).await;
    }

    async fn serve_connection<H, F>(self: Rc<Self>, socket: smol::net::TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(SmolTimer::new());
        if let Some(limits) = *self.limits.borrow() {
            builder.header_read_timeout(limits.head_timeout);
            builder.max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
        }
        let closing = self.closing.listen();
        let listener = self.clone();
        let service = service_fn(move |request| {
            let listener = listener.clone();
            let answering = handler(request);
            async move {
                let _counted = Counted::new(&listener);
                let mut answer = answering.await;
                if listener.draining.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = builder.serve_connection(FuturesIo::new(socket), service);
        futures_lite::pin!(connection);
        let ended = async {
            let _ = connection.as_mut().await;
            true
        }
        .or(async {
            closing.await;
            false
        })
        .await;
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

struct Counted<'a>(&'a Listener);

impl<'a> Counted<'a> {
    fn new(listener: &'a Listener) -> Self {
        listener.exchanges.set(listener.exchanges.get() + 1);
        Self(listener)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}

struct CountedConnection(Rc<Listener>);

impl CountedConnection {
    fn new(listener: &Rc<Listener>) -> Self {
        listener.connections.set(listener.connections.get() + 1);
        Self(listener.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Why a request's body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no memory for it now.
    #[error("there is no memory for the body now")]
    NoRoom,
    /// Nothing of it came for too long.
    #[error("the body did not come in time")]
    Slow,
    /// The client broke off.
    #[error("the body was cut: {0}")]
    Cut(io::Error),
}

/// Limits on a request's body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Most bytes.
    pub max_bytes: usize,
    /// Longest time without a byte.
    pub idle: Duration,
}

/// Reads a request's whole body, as far as there is memory for it.
pub async fn read_body(
    mut body: Incoming,
    limits: BodyLimits,
    hold: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limits.max_bytes {
        return Err(BodyError::TooLarge(limits.max_bytes));
    }
    if !hold.grow(stated) {
        return Err(BodyError::NoRoom);
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = next_frame(&mut body, limits.idle).await? {
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > limits.max_bytes {
            return Err(BodyError::TooLarge(limits.max_bytes));
        }
        let unstated = length.saturating_sub(stated.max(bytes.len()));
        if !hold.grow(unstated) {
            return Err(BodyError::NoRoom);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

async fn next_frame(
    body: &mut Incoming,
    idle: Duration,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    let frame = async {
        let frame = body.frame().await.transpose();
        frame.map_err(|error| BodyError::Cut(io::Error::other(error)))
    };
    let silent = async {
        Timer::after(idle).await;
        Err(BodyError::Slow)
    };
    frame.or(silent).await
}
