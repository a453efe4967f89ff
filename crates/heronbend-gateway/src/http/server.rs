//! An HTTP server for callers and peers, with graceful shutdown.

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
use smol_hyper::rt::SmolTimer;
use thiserror::Error;

use super::socket::ClientSocket;
use super::socket::ResponseProgress;
use super::socket::SlowReader;
use super::socket::UnreadTimeout;
use super::HttpResponse;
use super::RequestId;
use crate::memory::Reservation;
use crate::wait;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// How long a connection without any request stays open when idle ones are closed. Its client has
/// connected to send one, which may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Limits on the clients of a listener. May change while it serves.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Longest time from the end of one request to the complete head of the next.
    pub head_timeout: Duration,
}

/// Limit on the time for which clients may leave a response unread.
struct UnreadLimit {
    /// Longest time without progress.
    timeout: UnreadTimeout,
    /// Called for each client whose connection was closed.
    on_cut: Box<dyn Fn(SlowReader)>,
}

/// Accepts connections and tracks their requests.
#[derive(Default)]
pub struct Listener {
    exchanges: Cell<usize>,
    connections: Cell<usize>,
    /// Whether its socket is open.
    accepting: Cell<bool>,
    draining: Cell<bool>,
    closing: Event,
    closing_idle: Event,
    limits: RefCell<Option<ListenerLimits>>,
    unread: RefCell<Option<UnreadLimit>>,
}

impl Listener {
    /// Creates a listener that does not accept connections yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Sets the limits for new connections.
    pub fn set_limits(&self, limits: ListenerLimits) {
        *self.limits.borrow_mut() = Some(limits);
    }

    /// Closes new connections whose client accepts no byte of a response for the time that
    /// `timeout` returns when the client stops reading, and calls `on_cut` for each.
    pub fn set_unread_timeout(
        &self,
        timeout: UnreadTimeout,
        on_cut: impl Fn(SlowReader) + 'static,
    ) {
        *self.unread.borrow_mut() = Some(UnreadLimit { timeout, on_cut: Box::new(on_cut) });
    }

    /// Number of requests whose handler has not returned a response yet.
    pub fn exchanges(&self) -> usize {
        self.exchanges.get()
    }

    /// Number of open connections. While one is open, a response may still be being sent.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Whether connections may still be accepted. Holds for some time after [`Listener::close`], until
    /// all established connections have been taken.
    pub fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Closes every connection after its next response. New connections are still accepted.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Closes idle connections, and each other one after its current response, or its first one if
    /// it has not carried a request yet. New connections are still accepted.
    pub fn close_idle(&self) {
        self.draining.set(true);
        self.closing_idle.notify(usize::MAX);
    }

    /// Stops accepting connections, and closes idle ones.
    pub fn close(&self) {
        self.close_idle();
        self.closing.notify(usize::MAX);
    }

    /// Accepts connections until [`Listener::close`] is called, and serves each on `executor`.
    pub async fn serve<H, F>(
        self: Rc<Self>,
        executor: Rc<LocalExecutor<'static>>,
        socket: TcpListener,
        handler: H,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        let close_requested = self.closing.listen();
        self.accepting.set(true);
        let spawn_connection = |connection: smol::net::TcpStream| {
            let _ = connection.set_nodelay(true);
            let open = ConnectionGuard::new(&self);
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
                    Ok((connection, _)) => spawn_connection(connection),
                    Err(_) => {
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        accept.or(close_requested).await;
        closing::close(socket, spawn_connection).await;
        self.accepting.set(false);
    }

    async fn serve_connection<H, F>(self: Rc<Self>, socket: smol::net::TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(SmolTimer::new());
        if let Some(limits) = *self.limits.borrow() {
            builder.header_read_timeout(limits.head_timeout);
            builder.max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
        }
        let closing = self.closing_idle.listen();
        let listener = self.clone();
        let progress = Rc::new(ResponseProgress::default());
        let current = progress.clone();
        let first_request = Rc::new(FirstRequest::default());
        let received = first_request.clone();
        let service = service_fn(move |request| {
            received.record();
            let (listener, progress) = (listener.clone(), current.clone());
            let response = handler(request);
            async move {
                let _guard = ExchangeGuard::new(&listener);
                let mut response = response.await;
                if listener.draining.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let id = response.extensions_mut().remove::<RequestId>();
                let id = id.map(|RequestId(id)| id).unwrap_or_default();
                progress.start(id, response.body().reservation());
                Ok::<_, Infallible>(response)
            }
        });
        let unread_timeout = self.unread.borrow().as_ref().map(|limit| limit.timeout.clone());
        let socket = ClientSocket::new(socket, progress.clone(), unread_timeout);
        let connection = builder.serve_connection(socket, service);
        futures_lite::pin!(connection);
        let has_ended = async {
            let _ = connection.as_mut().await;
            true
        }
        .or(async {
            closing.await;
            first_request.wait(FIRST_REQUEST_TIME).await;
            false
        })
        .await;
        if !has_ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        self.report_slow_reader(&progress);
    }

    fn report_slow_reader(&self, progress: &ResponseProgress) {
        let unread = self.unread.borrow();
        if let Some((limit, reader)) = unread.as_ref().zip(progress.take_slow_reader()) {
            (limit.on_cut)(reader);
        }
    }
}

/// Whether a connection has carried a request.
#[derive(Default)]
struct FirstRequest {
    is_received: Cell<bool>,
    received: Event,
}

impl FirstRequest {
    fn record(&self) {
        self.is_received.set(true);
        self.received.notify(usize::MAX);
    }

    /// Waits for the first request, for at most `limit`.
    async fn wait(&self, limit: Duration) {
        let received = self.received.listen();
        if !self.is_received.get() {
            wait::at_most(limit, received).await;
        }
    }
}

struct ExchangeGuard<'a>(&'a Listener);

impl<'a> ExchangeGuard<'a> {
    fn new(listener: &'a Listener) -> Self {
        listener.exchanges.set(listener.exchanges.get() + 1);
        Self(listener)
    }
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}

struct ConnectionGuard(Rc<Listener>);

impl ConnectionGuard {
    fn new(listener: &Rc<Listener>) -> Self {
        listener.connections.set(listener.connections.get() + 1);
        Self(listener.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Why the body of a request could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The memory limit for requests is reached.
    #[error("there is no memory for the body now")]
    OutOfMemory,
    /// No data arrived within the idle timeout.
    #[error("the body did not come in time")]
    Timeout,
    /// The client aborted the request.
    #[error("the body was cut: {0}")]
    Aborted(io::Error),
}

/// Limits on the body of a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// Longest time without data.
    pub idle_timeout: Duration,
}

/// Reads the complete body of a request, and accounts its memory in `reservation`.
///
/// # Errors
///
/// Fails if a limit is exceeded, memory is short or the client aborts.
pub async fn read_body(
    mut body: Incoming,
    limits: BodyLimits,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.max_bytes {
        return Err(BodyError::TooLarge(limits.max_bytes));
    }
    if !reservation.grow(announced) {
        return Err(BodyError::OutOfMemory);
    }
    let mut bytes = BytesMut::with_capacity(announced);
    while let Some(frame) = next_frame(&mut body, limits.idle_timeout).await? {
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > limits.max_bytes {
            return Err(BodyError::TooLarge(limits.max_bytes));
        }
        let unannounced = length.saturating_sub(announced.max(bytes.len()));
        if !reservation.grow(unannounced) {
            return Err(BodyError::OutOfMemory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

async fn next_frame(
    body: &mut Incoming,
    idle_timeout: Duration,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    let frame = async {
        let frame = body.frame().await.transpose();
        frame.map_err(|error| BodyError::Aborted(io::Error::other(error)))
    };
    let silent = async {
        Timer::after(idle_timeout).await;
        Err(BodyError::Timeout)
    };
    frame.or(silent).await
}
