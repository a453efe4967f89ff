//! Requests over kept connections.
//!
//! A connection's driver task is owned by the exchange that uses it: dropping the exchange drops
//! the socket, which tells the server at once that nobody waits any more.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use heronbend::Moment;
use heronbend_net::boot_clock::since_boot;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use smol::net::TcpStream;
use smol::{LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

/// Rest after which a kept connection is not used again, unless its server names another time.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// A kept connection is given up this long before its server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Unacknowledged data and probes after which the system gives a connection up.
const DEAD_PATH: Duration = Duration::from_millis(2000);
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for the rest of an answer that nobody wants, and most bytes of it.
const UNWANTED_LIMIT: Duration = Duration::from_millis(300);
const UNWANTED_BYTES: usize = 64 * 1024;
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection was made, or it ended before the request was written: nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request, or a part of it, was sent; what became of it is unknown.
    #[error("broken off: {0}")]
    Broken(String),
    /// Nothing came for too long.
    #[error("no answer in time")]
    Timeout,
    /// The answer is larger than allowed, in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

impl ExchangeError {
    /// Whether the request certainly never reached the other side.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
}

struct Idle {
    connection: Connection,
    /// Until when it may be used again, by the clock that counts suspensions: its server closes it
    /// meanwhile.
    until: Moment,
}

/// Why a connection is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReason {
    /// It is the first one to its address.
    First,
    /// All others are in use, or were closed with what they carried.
    Busy,
    /// Those that were kept have rested too long, or the other side closed them.
    Expired,
}

impl OpenReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Busy => "busy",
            Self::Expired => "expired",
        }
    }
}

/// What became of a new connection to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It was made.
    Accepted,
    /// The machine is there, and nothing listens at the address.
    Refused,
    /// Nothing came back in time, or the way there is broken.
    Silent,
}

impl Reach {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

struct PoolState {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// Told of each connection that is opened.
    on_open: Box<dyn Fn(OpenReason)>,
}

/// Kept connections by address.
#[derive(Clone)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<PoolState>,
    connect_timeout: Duration,
}

impl ConnectionPool {
    /// An empty pool, whose connections are driven by `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, connect_timeout: Duration) -> Self {
        Self::told(executor, connect_timeout, |_| {})
    }

    /// An empty pool that tells why it opens each connection.
    pub fn told(
        executor: Rc<LocalExecutor<'static>>,
        connect_timeout: Duration,
        on_open: impl Fn(OpenReason) + 'static,
    ) -> Self {
        let state = PoolState { idle: RefCell::default(), on_open: Box::new(on_open) };
        Self { executor, state: Rc::new(state), connect_timeout }
    }

    /// Whether a connection to an address waits to be used again.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.state.idle.borrow();
        let now = since_boot();
        let is_usable = |idle: &Idle| idle.until > now && idle.connection.sender.is_ready();
        idle.get(&address).is_some_and(|kept| kept.iter().any(is_usable))
    }

    /// Closes the connections to an address that wait to be used again; how many there were.
    pub fn close_idle(&self, address: SocketAddr) -> usize {
        self.state.idle.borrow_mut().remove(&address).map_or(0, |kept| kept.len())
    }

    /// Whether something listens at an address: by a new connection, which is closed at once.
    pub async fn probe(&self, address: SocketAddr) -> Reach {
        let connecting = async { TcpStream::connect(address).await };
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        match connecting.or(late).await {
            Ok(_) => Reach::Accepted,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Reach::Refused,
            Err(_) => Reach::Silent,
        }
    }

    /// Reads the rest of an answer that nobody wants, so that its connection can be used again.
    pub fn reuse(&self, exchange: Exchange) {
        let reading = within(UNWANTED_LIMIT, exchange.read_whole(UNWANTED_BYTES));
        let reading = async move {
            // A connection that was cut or stays silent is closed, and nothing is lost by it.
            let _ = reading.await;
        };
        self.executor.spawn(reading).detach();
    }

    /// Sends a request; the answer's head has come when this returns.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        let mut reason = self.reason_to_open(address);
        while let Some(mut connection) = self.take_idle(address) {
            reason = OpenReason::Expired;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.exchange(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    // The server closed the kept connection before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken(error.into_error().to_string())),
                },
            }
        }
        (self.state.on_open)(reason);
        let mut connection = self.connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.exchange(address, connection, response)),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if is_unsent {
                    ExchangeError::NotSent(reason)
                } else {
                    ExchangeError::Broken(reason)
                })
            }
        }
    }

    /// Sends a request and reads its whole answer within `timeout`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<WholeAnswer, ExchangeError> {
        within(timeout, async {
            let exchange = self.send(address, request).await?;
            exchange.read_whole(max_bytes).await
        })
        .await
    }

    fn exchange(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let kept_for = kept_for(&head.headers);
        Exchange {
            status: head.status,
            headers: head.headers,
            body,
            home: Home { pool: self.clone(), address, connection, kept_for },
        }
    }

    /// Why a connection has to be opened if none that is kept can be used.
    fn reason_to_open(&self, address: SocketAddr) -> OpenReason {
        match self.state.idle.borrow().get(&address) {
            None => OpenReason::First,
            Some(kept) if kept.is_empty() => OpenReason::Busy,
            Some(_) => OpenReason::Expired,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.state.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = since_boot();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let position = kept.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(kept.swap_remove(position).connection)
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
        bound_dead_path(&socket);
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(socket))
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = self.executor.spawn(async move {
            // Its error also reaches whoever waits for the answer.
            let _ = driver.await;
        });
        Ok(Connection { sender, _driver: driver })
    }
}

/// Makes the system notice a peer that has vanished, also while nothing is being sent.
fn bound_dead_path(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let reference = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(2);
    let _ = reference.set_tcp_keepalive(&keepalive);
    let _ = reference.set_tcp_user_timeout(Some(DEAD_PATH));
}

/// How long an answer lets its connection rest; zero when it is to be closed.
fn kept_for(headers: &HeaderMap) -> Duration {
    let value = |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    if value(http::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let stated = value(http::HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE, Duration::from_secs).saturating_sub(IDLE_MARGIN)
}

/// Bounds a future by time.
pub async fn within<T>(
    timeout: Duration,
    work: impl std::future::Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    work.or(async {
        Timer::after(timeout).await;
        Err(ExchangeError::Timeout)
    })
    .await
}

struct Home {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Connection,
    kept_for: Duration,
}

/// An answer whose body is still to be read. Dropping it closes the connection.
pub struct Exchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    home: Home,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Exchange {
    /// A header's value, where it is text.
    pub fn header(&self, name: &http::HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The next bytes of the body; nothing at its proper end. A cut body is an error.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(ExchangeError::Broken(error.to_string())),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers concern nobody here.
                    Err(_) => {}
                },
            }
        }
    }

    /// Reads the whole body and keeps the connection for further requests.
    pub async fn read_whole(mut self, max_bytes: usize) -> Result<WholeAnswer, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            if body.len() + bytes.len() > max_bytes {
                return Err(ExchangeError::TooLarge(max_bytes));
            }
            body.extend_from_slice(&bytes);
        }
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        self.keep();
        Ok(WholeAnswer { status, headers, body: body.freeze() })
    }

    /// Keeps the connection. Only for a body that was read to its proper end.
    pub fn keep(self) {
        let Home { pool, address, connection, kept_for } = self.home;
        if kept_for.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = pool.state.idle.borrow_mut();
        let until = since_boot() + kept_for;
        idle.entry(address).or_default().push(Idle { connection, until });
    }
}
