//! HTTP server with limits on heads and bodies; invalid requests are rejected with a JSON error.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Encoder, Server};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use heronbend_net::closing;
use http_types::{Method, Request, Response, StatusCode};
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use thiserror::Error;

use crate::error::{error_response, Outcome};
use crate::framing::{BodyFraming, FramedStream, Head, HeadError};

/// Limits that a listener applies to requests.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Time within which a complete head must arrive on a new or idle connection.
    pub head_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { max_body_bytes: 4 * 1024 * 1024, head_timeout: Duration::from_secs(75) }
    }
}

/// Counters and shutdown controls of the connections that one thread serves.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: Rc<Cell<usize>>,
    in_flight: Rc<Cell<usize>>,
    rejected_heads: Rc<Cell<u64>>,
    draining: Rc<Cell<bool>>,
    accept_signal: AcceptSignal,
}

/// Signals the accept loop to stop; the channel is open while connections are accepted.
#[derive(Debug, Clone)]
struct AcceptSignal {
    stop: Sender<()>,
    stopped: Receiver<()>,
}

impl Default for AcceptSignal {
    fn default() -> Self {
        let (stop, stopped) = bounded(1);
        Self { stop, stopped }
    }
}

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of requests whose response has not been fully written.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of requests rejected before they reached the handler.
    pub fn rejected_heads(&self) -> u64 {
        self.rejected_heads.get()
    }

    /// Closes each connection after its current request.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Stops accepting connections; the listener closes once its accept queue is drained.
    pub fn stop_accepting(&self) {
        self.accept_signal.stop.close();
    }

    /// Accepts connections until [`Connections::stop_accepting`], serving each of them on
    /// `executor`.
    pub async fn serve<H, F>(
        &self,
        executor: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        limits: ServerLimits,
        handler: H,
    ) -> io::Result<()>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        let spawn_connection = |socket: TcpStream| {
            let _ = socket.set_nodelay(true);
            let connections = self.clone();
            let handler = handler.clone();
            // Counted before the task first runs, so that a shutdown does not miss the connection.
            let open = CountGuard::new(&connections.open);
            executor
                .spawn(async move {
                    let _open = open;
                    connections.serve_connection(socket, limits, handler).await;
                })
                .detach();
        };
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                let _ = self.accept_signal.stopped.recv().await;
                None
            };
            match accepted.or(stopped).await {
                Some(Ok((socket, _))) => spawn_connection(socket),
                // Out of file descriptors, or the peer disconnected early: keep accepting.
                Some(Err(_)) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
                None => break,
            }
        }
        closing::close(listener, spawn_connection).await;
        Ok(())
    }

    async fn serve_connection<H, F>(&self, socket: TcpStream, limits: ServerLimits, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let mut stream = FramedStream::new(socket);
        loop {
            let head = read_head(&mut stream, limits.head_timeout).await;
            let _in_flight = CountGuard::new(&self.in_flight);
            let head = match head
                .map_err(Rejection::from)
                .and_then(|head| check_body_size(head, limits))
            {
                Ok(head) => head,
                Err(Rejection::Close) => return,
                Err(Rejection::Respond(response)) => {
                    self.rejected_heads.set(self.rejected_heads.get() + 1);
                    reject(&mut stream, *response).await;
                    return;
                }
            };
            if head.expects_continue && stream.write_all(CONTINUE).await.is_err() {
                return;
            }
            let outcome = Server::new(stream.clone(), |request| async {
                let mut response = handler(request).await;
                if self.draining.get() || head.framing == BodyFraming::Chunked {
                    response.insert_header("connection", "close");
                }
                Ok(response)
            })
            .accept_one()
            .await;
            match outcome {
                Ok(ConnectionStatus::KeepAlive) => {}
                Err(_) if !stream.has_written() => {
                    reject(&mut stream, malformed_request("the request could not be read")).await;
                    return;
                }
                _ => return,
            }
        }
    }
}

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of an unread request that are discarded after a rejection; closing the socket with unread
/// bytes would reset the connection and lose the response.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Increments a counter until dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How a request that could not be read is rejected.
enum Rejection {
    /// Closes the connection without a response.
    Close,
    /// Sends this response and closes the connection.
    Respond(Box<Response>),
}

impl From<HeadError> for Rejection {
    fn from(error: HeadError) -> Self {
        let message = error.to_string();
        match error {
            HeadError::Closed | HeadError::Io(_) => Self::Close,
            HeadError::Timeout => Self::Respond(Box::new(error_response(
                StatusCode::RequestTimeout,
                "head_timeout",
                message,
                Outcome::NotRun,
            ))),
            HeadError::TooLarge => Self::Respond(Box::new(error_response(
                StatusCode::RequestHeaderFieldsTooLarge,
                "head_too_large",
                message,
                Outcome::NotRun,
            ))),
            HeadError::Malformed(_) => Self::Respond(Box::new(malformed_request(&message))),
            HeadError::Version => Self::Respond(Box::new(error_response(
                StatusCode::HttpVersionNotSupported,
                "http_version",
                message,
                Outcome::NotRun,
            ))),
            HeadError::Method => Self::Respond(Box::new(error_response(
                StatusCode::NotImplemented,
                "unknown_method",
                message,
                Outcome::NotRun,
            ))),
        }
    }
}

fn malformed_request(message: &str) -> Response {
    error_response(StatusCode::BadRequest, "malformed_request", message, Outcome::NotRun)
}

fn check_body_size(head: Head, limits: ServerLimits) -> Result<Head, Rejection> {
    match head.framing {
        BodyFraming::Length(length) if length > limits.max_body_bytes => {
            Err(Rejection::Respond(Box::new(body_too_large(limits.max_body_bytes))))
        }
        _ => Ok(head),
    }
}

fn body_too_large(limit: u64) -> Response {
    error_response(
        StatusCode::PayloadTooLarge,
        "body_too_large",
        format!("the body is larger than {limit} bytes"),
        Outcome::NotRun,
    )
}

/// Reads a request head within `timeout`. On expiry, an idle connection yields
/// [`HeadError::Closed`] and one with a partial head [`HeadError::Timeout`].
async fn read_head(stream: &mut FramedStream, timeout: Duration) -> Result<Head, HeadError> {
    let read = async { Some(stream.read_request_head().await) };
    let head = read
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await;
    match head {
        Some(head) => head,
        None if stream.has_partial_head() => Err(HeadError::Timeout),
        None => Err(HeadError::Closed),
    }
}

/// Writes a final response, then discards a bounded amount of the unread request and closes.
async fn reject(stream: &mut FramedStream, mut response: Response) {
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    if futures_lite::io::copy(&mut encoder, &mut *stream).await.is_err() {
        return;
    }
    let mut socket = stream.socket().clone();
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let discard = async {
        let mut buffer = vec![0; MAX_DISCARDED_BYTES];
        let mut total = 0;
        while total < MAX_DISCARDED_BYTES {
            match socket.read(&mut buffer).await {
                Ok(count) if count > 0 => total += count,
                _ => break,
            }
        }
    };
    discard
        .or(async {
            Timer::after(DISCARD_TIMEOUT).await;
        })
        .await;
}

/// Error of reading a request body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds this limit in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The body was not received within the timeout.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The body was truncated or could not be read.
    #[error("the body was cut short: {0}")]
    Aborted(io::Error),
}

impl BodyError {
    /// Builds the response for this error, with outcome [`Outcome::NotRun`].
    pub fn response(&self) -> Response {
        let message = self.to_string();
        match self {
            Self::TooLarge(limit) => body_too_large(*limit),
            Self::Timeout => {
                error_response(StatusCode::RequestTimeout, "body_timeout", message, Outcome::NotRun)
            }
            Self::Aborted(_) => {
                error_response(StatusCode::BadRequest, "body_cut", message, Outcome::NotRun)
            }
        }
    }
}

/// Reads a full request body of at most `max_bytes` within `timeout`.
pub async fn read_body(
    request: &mut Request,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Vec<u8>, BodyError> {
    let body = request.take_body();
    if body.len() == Some(0) {
        return Ok(Vec::new());
    }
    let read = async {
        let mut bytes = Vec::new();
        body.take(max_bytes + 1).read_to_end(&mut bytes).await.map_err(BodyError::Aborted)?;
        if bytes.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        Ok(bytes)
    };
    read.or(async {
        Timer::after(timeout).await;
        Err(BodyError::Timeout)
    })
    .await
}
