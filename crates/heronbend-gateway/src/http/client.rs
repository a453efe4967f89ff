//! An HTTP client with a pool of reusable connections.
//!
//! An exchange owns the driver task of its connection: dropping the exchange closes the socket,
//! which signals cancellation to the server.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use heronbend::Moment;
use heronbend_net::boot_clock::since_boot;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use smol::net::TcpStream;
use smol::{LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use super::body::BufferedBody;
use super::carried_requests::CarriedRequests;
use super::carried_requests::RequestKey;
use crate::memory::Reservation;

/// Idle time after which a connection is not reused, unless its server advertises another one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest idle time that a server can advertise.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
/// Margin before the server's idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time without acknowledgement after which the kernel closes a connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2000);
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of reading the rest of a discarded response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest rest of a discarded response that is read, in bytes.
const MAX_DRAIN_BYTES: usize = 64 * 1024;
/// Final statuses of HTTP (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed before the request was written: nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection failed after at least a part of the request was sent. The outcome is unknown.
    #[error("broken off: {0}")]
    Broken(String),
    /// The status is not a final one. The outcome is unknown.
    #[error("{0} is no final status")]
    InvalidStatus(u16),
    /// The timeout has passed.
    #[error("no answer in time")]
    Timeout,
    /// The response exceeds the limit, in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
    /// The memory budget has no room for the response.
    #[error("there is no memory for the answer now")]
    OutOfMemory,
}

impl ExchangeError {
    /// Whether the request certainly did not reach the server.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

struct Connection {
    /// Number of the connection in its pool, counted from 1.
    number: u64,
    /// Requests that were sent on the connection.
    requests: u64,
    /// Those of them that have a request id.
    carried: CarriedRequests,
    sender: SendRequest<BufferedBody>,
    _driver: Task<()>,
}

impl Connection {
    /// Whether the connection may carry a request.
    fn accepts(&self, request: Option<RequestKey>) -> bool {
        self.sender.is_ready() && !request.is_some_and(|request| self.carried.contains(request))
    }

    fn record(&mut self, request: Option<RequestKey>) {
        self.requests += 1;
        if let Some(request) = request {
            self.carried.add(request);
        }
    }
}

struct IdleConnection {
    connection: Connection,
    /// When it must no longer be reused, on the clock that includes time in suspension.
    expires_at: Moment,
}

/// Why a new connection is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReason {
    /// There was no connection to the address before.
    First,
    /// All connections are in use, or were closed with their exchange.
    Busy,
    /// The idle connections have expired, or were closed by the server.
    Expired,
    /// The idle connections have carried the same request before.
    Repeated,
}

impl OpenReason {
    /// Label in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Busy => "busy",
            Self::Expired => "expired",
            Self::Repeated => "repeated",
        }
    }
}

/// Result of probing an address by a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted.
    Accepted,
    /// The host is up, but nothing listens at the address.
    Refused,
    /// No response in time, or the host is unreachable.
    NoResponse,
}

impl ProbeResult {
    /// Label in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::NoResponse => "silent",
        }
    }
}

struct PoolState {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Connections that were opened.
    opened: Cell<u64>,
    /// Called for each connection that is opened.
    on_open: Box<dyn Fn(OpenReason)>,
}

/// A pool of connections by address.
#[derive(Clone)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<PoolState>,
    connect_timeout: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool, whose connections are driven by `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, connect_timeout: Duration) -> Self {
        Self::with_open_observer(executor, connect_timeout, |_| {})
    }

    /// Like [`ConnectionPool::new`], with a callback that is called for each connection that is
    /// opened.
    pub fn with_open_observer(
        executor: Rc<LocalExecutor<'static>>,
        connect_timeout: Duration,
        on_open: impl Fn(OpenReason) + 'static,
    ) -> Self {
        let state = PoolState {
            idle: RefCell::default(),
            opened: Cell::new(0),
            on_open: Box::new(on_open),
        };
        Self { executor, state: Rc::new(state), connect_timeout }
    }

    /// Whether there is an idle connection to an address.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.state.idle.borrow();
        let now = since_boot();
        let is_usable =
            |idle: &IdleConnection| idle.expires_at > now && idle.connection.sender.is_ready();
        idle.get(&address).is_some_and(|connections| connections.iter().any(is_usable))
    }

    /// Closes the idle connections to an address; returns their number.
    pub fn close_idle(&self, address: SocketAddr) -> usize {
        self.state.idle.borrow_mut().remove(&address).map_or(0, |connections| connections.len())
    }

    /// Probes whether something listens at an address, by a connection that is closed at once.
    pub async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let connecting = async { TcpStream::connect(address).await };
        let timeout = async {
            Timer::after(self.connect_timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        match connecting.or(timeout).await {
            Ok(_) => ProbeResult::Accepted,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
            Err(_) => ProbeResult::NoResponse,
        }
    }

    /// Reads the rest of a discarded response in the background, so that its connection can be
    /// reused.
    pub fn drain(&self, exchange: Exchange) {
        let draining = with_timeout(DRAIN_TIMEOUT, exchange.read_full(MAX_DRAIN_BYTES));
        let draining = async move {
            // On an error or timeout the connection is just closed.
            let _ = draining.await;
        };
        self.executor.spawn(draining).detach();
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// A request with a key is sent on a connection that has not carried that key before, so that a
    /// response with its id is the response to this send.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened, or it breaks before the head has arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        key: Option<RequestKey>,
    ) -> Result<Exchange, ExchangeError> {
        let mut request = buffered(request).await;
        let mut reason = self.open_reason(address);
        while let Some(mut connection) = self.take_idle(address, key) {
            reason = OpenReason::Expired;
            connection.record(key);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.exchange(address, connection, response),
                Err(mut error) => match error.take_message() {
                    // The server closed the idle connection before the request was written.
                    Some(returned_request) => request = returned_request,
                    None => return Err(ExchangeError::Broken(error.into_error().to_string())),
                },
            }
        }
        (self.state.on_open)(reason);
        let mut connection = self.connect(address).await?;
        connection.record(key);
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.exchange(address, connection, response),
            Err(mut error) => {
                let is_not_sent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if is_not_sent {
                    ExchangeError::NotSent(reason)
                } else {
                    ExchangeError::Broken(reason)
                })
            }
        }
    }

    /// Sends a request without an id and reads the complete response within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails like [`ConnectionPool::send`], after `timeout`, or if the body exceeds `max_bytes`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<FullResponse, ExchangeError> {
        with_timeout(timeout, async {
            let exchange = self.send(address, request, None).await?;
            exchange.read_full(max_bytes).await
        })
        .await
    }

    fn exchange(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Exchange, ExchangeError> {
        let (head, body) = response.into_parts();
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(ExchangeError::InvalidStatus(head.status.as_u16()));
        }
        let idle_timeout = idle_timeout(&head.headers);
        Ok(Exchange {
            status: head.status,
            headers: head.headers,
            body,
            pooled: PooledConnection { pool: self.clone(), address, connection, idle_timeout },
        })
    }

    /// The reason for opening a connection if no idle one can be used.
    fn open_reason(&self, address: SocketAddr) -> OpenReason {
        match self.state.idle.borrow().get(&address) {
            None => OpenReason::First,
            Some(connections) if connections.is_empty() => OpenReason::Busy,
            Some(_) if self.has_idle(address) => OpenReason::Repeated,
            Some(_) => OpenReason::Expired,
        }
    }

    fn take_idle(&self, address: SocketAddr, key: Option<RequestKey>) -> Option<Connection> {
        let mut idle = self.state.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = since_boot();
        connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let position = connections.iter().rposition(|idle| idle.connection.accepts(key))?;
        Some(connections.swap_remove(position).connection)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |error: &dyn ToString| ExchangeError::NotSent(error.to_string());
        let connecting = async { TcpStream::connect(address).await.map_err(|e| not_sent(&e)) };
        let socket = connecting
            .or(async {
                Timer::after(self.connect_timeout).await;
                Err(ExchangeError::NotSent("no connection in time".to_owned()))
            })
            .await?;
        configure_socket(&socket);
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(socket))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = self.executor.spawn(async move {
            // The exchange receives the same error.
            let _ = driver.await;
        });
        let number = self.state.opened.get() + 1;
        self.state.opened.set(number);
        let carried = CarriedRequests::default();
        Ok(Connection { number, requests: 0, carried, sender, _driver: driver })
    }
}

/// Converts the body of a request to one that is sent in parts.
async fn buffered(request: Request<Full<Bytes>>) -> Request<BufferedBody> {
    let (head, body) = request.into_parts();
    // Reading from memory neither waits nor fails.
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    Request::from_parts(head, BufferedBody::new(bytes))
}

/// Disables Nagle's algorithm, and makes the kernel detect a dead peer while data is unacknowledged
/// and while the connection is idle.
fn configure_socket(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let socket_ref = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(2);
    let _ = socket_ref.set_tcp_keepalive(&keepalive);
    let _ = socket_ref.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

/// How long the connection may stay idle after a response; zero if it must not be reused.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let value = |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    if value(http::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let advertised = value(http::HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse::<u64>().ok()
    });
    let timeout = advertised.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    timeout.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN)
}

/// Runs a future with a timeout.
///
/// # Errors
///
/// Fails with [`ExchangeError::Timeout`] after `timeout`, or with the error of the future.
pub async fn with_timeout<T>(
    timeout: Duration,
    work: impl std::future::Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    work.or(async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout)
    })
    .await
}

struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Connection,
    idle_timeout: Duration,
}

/// A response whose body has not been read yet. Dropping it closes the connection.
pub struct Exchange {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    body: Incoming,
    pooled: PooledConnection,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
    /// Reservation of the memory budget for the body, if it is accounted for.
    pub reservation: Option<Rc<Reservation>>,
}

impl Exchange {
    /// Number of the connection in its pool.
    pub fn connection_number(&self) -> u64 {
        self.pooled.connection.number
    }

    /// Requests sent on the connection so far, including this one.
    pub fn request_number(&self) -> u64 {
        self.pooled.connection.requests
    }

    /// The value of a header, if it is present and valid text.
    pub fn header(&self, name: &http::HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Reads the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or the connection fails.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(ExchangeError::Broken(error.to_string())),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Ignore trailers.
                    Err(_) => {}
                },
            }
        }
    }

    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or exceeds `max_bytes`.
    pub async fn read_full(mut self, max_bytes: usize) -> Result<FullResponse, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            if body.len() + bytes.len() > max_bytes {
                return Err(ExchangeError::TooLarge(max_bytes));
            }
            body.extend_from_slice(&bytes);
        }
        Ok(self.finish(body, None))
    }

    /// Like [`Exchange::read_full`], and accounts for the memory of the body in `reservation`.
    ///
    /// # Errors
    ///
    /// Fails also if the memory budget has no room for the body.
    pub async fn read_reserved(
        mut self,
        max_bytes: usize,
        mut reservation: Reservation,
    ) -> Result<FullResponse, ExchangeError> {
        let announced = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(ExchangeError::TooLarge(max_bytes));
        }
        if !reservation.grow(announced) {
            return Err(ExchangeError::OutOfMemory);
        }
        let mut body = BytesMut::with_capacity(announced);
        while let Some(bytes) = self.next_bytes().await? {
            let length = body.len() + bytes.len();
            if length > max_bytes {
                return Err(ExchangeError::TooLarge(max_bytes));
            }
            if length > body.capacity() {
                let wanted = (2 * body.capacity()).min(max_bytes);
                let Some(capacity) = reservation.resize_buffer(length, wanted) else {
                    return Err(ExchangeError::OutOfMemory);
                };
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&bytes);
        }
        Ok(self.finish(body, Some(Rc::new(reservation))))
    }

    /// Returns the connection to the pool, and the complete response.
    fn finish(mut self, body: BytesMut, reservation: Option<Rc<Reservation>>) -> FullResponse {
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        self.return_to_pool();
        FullResponse { status, headers, body: body.freeze(), reservation }
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn return_to_pool(self) {
        let PooledConnection { pool, address, connection, idle_timeout } = self.pooled;
        let is_reusable = !connection.carried.is_full() && !connection.sender.is_closed();
        if idle_timeout.is_zero() || !is_reusable {
            return;
        }
        let mut idle = pool.state.idle.borrow_mut();
        let expires_at = since_boot() + idle_timeout;
        idle.entry(address).or_default().push(IdleConnection { connection, expires_at });
    }
}
