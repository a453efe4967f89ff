//! Sending requests over pooled connections.

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

use crate::message_stream::{GuardedStream, HeadError};

/// How long an unused connection is kept; shorter than any server's own limit.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Unused connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection was made: nothing was sent, and a retry is safe.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The exchange failed after some of the request may have been sent.
    #[error("the exchange failed: {0}")]
    Exchange(io::Error),
    /// The answer's head is not acceptable.
    #[error("the answer is not acceptable: {0}")]
    Head(HeadError),
    /// No whole answer within the time given.
    #[error("no whole answer in time")]
    Timeout,
    /// The answer is larger than the reader's limit in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

impl ClientError {
    /// Whether the request certainly never reached the other side.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

struct IdleConnection {
    stream: GuardedStream,
    since: Instant,
}

type Pool = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// An HTTP client for one thread; clones share its pool.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// A client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits up to `timeout` for the head of its answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        within(timeout, self.exchange(address, request)).await
    }

    /// Sends a request and reads its whole answer within `timeout` and `max_bytes`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Vec<u8>), ClientError> {
        within(timeout, async {
            let reply = self.exchange(address, request).await?;
            let status = reply.status();
            Ok((status, reply.read_all(max_bytes).await?))
        })
        .await
    }

    async fn exchange(&self, address: SocketAddr, request: Request) -> Result<Reply, ClientError> {
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
        Ok(Reply { response, body, home: Home { pool: self.pool.clone(), address, stream } })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<GuardedStream> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.since.elapsed() < MAX_IDLE && is_quiet(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }
}

/// Whether the peer has neither closed an idle connection nor sent bytes nobody asked for.
fn is_quiet(stream: &GuardedStream) -> bool {
    let mut byte = [0];
    let peeked = futures_lite::future::block_on(futures_lite::future::poll_once(
        stream.socket().peek(&mut byte),
    ));
    peeked.is_none()
}

/// Whether the server has said that it closes the connection after this answer.
fn closes_connection(response: &Response) -> bool {
    let Some(values) = response.header("connection") else {
        return false;
    };
    let mut options = values.iter().flat_map(|value| value.as_str().split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

async fn connect(address: SocketAddr) -> Result<GuardedStream, ClientError> {
    let connecting = TcpStream::connect(address).or(async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    let socket = connecting.await.map_err(ClientError::Connect)?;
    let _ = socket.set_nodelay(true);
    Ok(GuardedStream::new(socket))
}

async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    work.or(async {
        Timer::after(timeout).await;
        Err(ClientError::Timeout)
    })
    .await
}

struct Home {
    pool: Pool,
    address: SocketAddr,
    stream: GuardedStream,
}

/// An answer whose body is still to be read.
pub struct Reply {
    response: Response,
    body: Body,
    home: Home,
}

impl Reply {
    /// The status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.as_str())
    }

    /// The body, to be read piecewise. Call [`Reply::finish`] once it has ended properly.
    pub fn body_mut(&mut self) -> &mut Body {
        &mut self.body
    }

    /// Returns the connection to the pool. Only for a body that was read to its proper end: on any
    /// doubt drop the reply, which closes the connection.
    ///
    /// A server that has said that it closes the connection may be slow to do so. A request that is sent
    /// meanwhile is reset, and nobody can tell whether it was run.
    pub fn finish(self) {
        let is_closing = closes_connection(&self.response);
        let Home { pool, address, stream } = self.home;
        if is_closing || !stream.is_drained() {
            return;
        }
        let mut pool = pool.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { stream, since: Instant::now() });
        }
    }

    /// Reads the whole body; a body that ends early is an error.
    pub async fn read_all(mut self, max_bytes: usize) -> Result<Vec<u8>, ClientError> {
        let mut bytes = Vec::new();
        let mut limited = (&mut self.body).take(max_bytes as u64 + 1);
        limited.read_to_end(&mut bytes).await.map_err(ClientError::Exchange)?;
        if bytes.len() > max_bytes {
            return Err(ClientError::TooLarge(max_bytes));
        }
        self.finish();
        Ok(bytes)
    }
}
