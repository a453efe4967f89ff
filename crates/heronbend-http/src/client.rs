//! HTTP client with a connection pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Request, Response, StatusCode};
use smol::net::TcpStream;
use smol::Timer;
use thiserror::Error;

use crate::framing::{FramedStream, HeadError};

/// Idle connections older than this are closed; shorter than the idle timeout of any server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a request.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be established: nothing was sent, so a retry is safe.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// Sending the request or reading the response failed; the server may have received the
    /// request.
    #[error("the exchange failed: {0}")]
    Exchange(io::Error),
    /// The head of the response is invalid.
    #[error("the answer is not acceptable: {0}")]
    Head(HeadError),
    /// The response was not received within the timeout.
    #[error("no whole answer in time")]
    Timeout,
    /// The response body exceeds this limit in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

impl ClientError {
    /// Whether it is certain that no part of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

struct IdleConnection {
    stream: FramedStream,
    idle_since: Instant,
}

type Pool = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Single-threaded HTTP client; clones share one connection pool.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits up to `timeout` for the response head.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        with_timeout(timeout, self.send_request(address, request)).await
    }

    /// Sends a request and reads the full response body, of at most `max_bytes`, within `timeout`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Vec<u8>), ClientError> {
        with_timeout(timeout, async {
            let response = self.send_request(address, request).await?;
            let status = response.status();
            Ok((status, response.read_full(max_bytes).await?))
        })
        .await
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<ClientResponse, ClientError> {
        let mut stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let mut encoder = async_h1::client::Encoder::new(request);
        futures_lite::io::copy(&mut encoder, &mut stream).await.map_err(ClientError::Exchange)?;
        stream.read_response_head().await.map_err(ClientError::Head)?;
        let mut response = async_h1::client::decode(stream.clone())
            .await
            .map_err(|error| ClientError::Exchange(io::Error::other(error)))?;
        let body = response.take_body();
        Ok(ClientResponse {
            response,
            body,
            origin: PooledStream { pool: self.pool.clone(), address, stream },
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<FramedStream> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.idle_since.elapsed() < IDLE_TIMEOUT && is_reusable(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }
}

/// Whether an idle connection can be reused: the peer has neither closed it nor sent unexpected
/// bytes.
fn is_reusable(stream: &FramedStream) -> bool {
    let mut byte = [0];
    let peek = futures_lite::future::block_on(futures_lite::future::poll_once(
        stream.socket().peek(&mut byte),
    ));
    peek.is_none()
}

/// Whether the response carries `Connection: close`.
fn has_connection_close(response: &Response) -> bool {
    let Some(values) = response.header("connection") else {
        return false;
    };
    let mut options = values.iter().flat_map(|value| value.as_str().split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

async fn connect(address: SocketAddr) -> Result<FramedStream, ClientError> {
    let connecting = TcpStream::connect(address).or(async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    let socket = connecting.await.map_err(ClientError::Connect)?;
    let _ = socket.set_nodelay(true);
    Ok(FramedStream::new(socket))
}

async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    operation
        .or(async {
            Timer::after(timeout).await;
            Err(ClientError::Timeout)
        })
        .await
}

/// A connection and the pool that it returns to.
struct PooledStream {
    pool: Pool,
    address: SocketAddr,
    stream: FramedStream,
}

/// A response whose body has not been read yet.
pub struct ClientResponse {
    response: Response,
    body: Body,
    origin: PooledStream,
}

impl ClientResponse {
    /// Status code of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.as_str())
    }

    /// Returns the body for incremental reading. Call [`ClientResponse::return_to_pool`] once it
    /// has been read to its end.
    pub fn body_mut(&mut self) -> &mut Body {
        &mut self.body
    }

    /// Returns the connection to the pool, provided that the body was read to its end. Dropping the
    /// response instead closes the connection.
    ///
    /// A connection with `Connection: close` is never reused: the server may close it with a delay,
    /// and a request sent in between would fail without telling whether it was run.
    pub fn return_to_pool(self) {
        let is_closing = has_connection_close(&self.response);
        let PooledStream { pool, address, stream } = self.origin;
        if is_closing || !stream.is_drained() {
            return;
        }
        let mut pool = pool.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { stream, idle_since: Instant::now() });
        }
    }

    /// Reads the full body; a truncated body is an error.
    pub async fn read_full(mut self, max_bytes: usize) -> Result<Vec<u8>, ClientError> {
        let mut bytes = Vec::new();
        let mut limited = (&mut self.body).take(max_bytes as u64 + 1);
        limited.read_to_end(&mut bytes).await.map_err(ClientError::Exchange)?;
        if bytes.len() > max_bytes {
            return Err(ClientError::TooLarge(max_bytes));
        }
        self.return_to_pool();
        Ok(bytes)
    }
}
