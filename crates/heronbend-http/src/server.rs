//! Serving connections: limits, and a JSON error for every request that is refused early.

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
use crate::message_stream::{BodyFraming, GuardedStream, Head, HeadError};

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Longest wait for a whole head, once its connection has been accepted or reused.
    pub head_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { max_body_bytes: 4 * 1024 * 1024, head_timeout: Duration::from_secs(75) }
    }
}

/// Counts of what one thread's connections are doing.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: Rc<Cell<usize>>,
    exchanges: Rc<Cell<usize>>,
    refused_heads: Rc<Cell<u64>>,
    draining: Rc<Cell<bool>>,
    accepting: Accepting,
}

/// Open while connections are accepted.
#[derive(Debug, Clone)]
struct Accepting {
    stop: Sender<()>,
    stopped: Receiver<()>,
}

impl Default for Accepting {
    fn default() -> Self {
        let (stop, stopped) = bounded(1);
        Self { stop, stopped }
    }
}

impl Connections {
    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Requests whose answer is not yet wholly written.
    pub fn exchanges(&self) -> usize {
        self.exchanges.get()
    }

    /// Requests refused before they reached the handler, since the start.
    pub fn refused_heads(&self) -> u64 {
        self.refused_heads.get()
    }

    /// Ends connections after the exchange each of them is in.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Closes the listener, once every connection that waits to be accepted has been.
    pub fn stop_accepting(&self) {
        self.accepting.stop.close();
    }

    /// Accepts connections until told to stop, and serves each on `executor`.
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
        let serve_one = |socket: TcpStream| {
            let _ = socket.set_nodelay(true);
            let connections = self.clone();
            let handler = handler.clone();
            // Counted from now on: a stop that looks before the task has run must see it.
            let open = Counted::new(&connections.open);
            executor
                .spawn(async move {
                    let _open = open;
                    connections.serve_socket(socket, limits, handler).await;
                })
                .detach();
        };
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                let _ = self.accepting.stopped.recv().await;
                None
            };
            match accepted.or(stopped).await {
                Some(Ok((socket, _))) => serve_one(socket),
                // Out of descriptors, or the peer left early: neither ends the listener.
                Some(Err(_)) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
                None => break,
            }
        }
        closing::close(listener, serve_one).await;
        Ok(())
    }

    async fn serve_socket<H, F>(&self, socket: TcpStream, limits: ServerLimits, handler: H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let mut stream = GuardedStream::new(socket);
        loop {
            let head = read_head_within(&mut stream, limits.head_timeout).await;
            let _exchange = Counted::new(&self.exchanges);
            let head = match head.map_err(Refusal::from).and_then(|head| check_size(head, limits)) {
                Ok(head) => head,
                Err(Refusal::Silent) => return,
                Err(Refusal::Answer(response)) => {
                    self.refused_heads.set(self.refused_heads.get() + 1);
                    write_final(&mut stream, *response).await;
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
                Err(_) if !stream.wrote() => {
                    write_final(&mut stream, malformed("the request could not be read")).await;
                    return;
                }
                _ => return,
            }
        }
    }
}

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How much of an unread request is taken in after a refusal, so that the answer is not lost to a
/// connection reset.
const LINGER_BYTES: usize = 64 * 1024;
const LINGER_TIME: Duration = Duration::from_millis(500);

struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

enum Refusal {
    Silent,
    Answer(Box<Response>),
}

impl From<HeadError> for Refusal {
    fn from(error: HeadError) -> Self {
        let message = error.to_string();
        match error {
            HeadError::Closed | HeadError::Io(_) => Self::Silent,
            HeadError::Slow => Self::Answer(Box::new(error_response(
                StatusCode::RequestTimeout,
                "head_timeout",
                message,
                Outcome::NotRun,
            ))),
            HeadError::TooLarge => Self::Answer(Box::new(error_response(
                StatusCode::RequestHeaderFieldsTooLarge,
                "head_too_large",
                message,
                Outcome::NotRun,
            ))),
            HeadError::Malformed(_) => Self::Answer(Box::new(malformed(&message))),
            HeadError::Version => Self::Answer(Box::new(error_response(
                StatusCode::HttpVersionNotSupported,
                "http_version",
                message,
                Outcome::NotRun,
            ))),
            HeadError::Method => Self::Answer(Box::new(error_response(
                StatusCode::NotImplemented,
                "unknown_method",
                message,
                Outcome::NotRun,
            ))),
        }
    }
}

fn malformed(message: &str) -> Response {
    error_response(StatusCode::BadRequest, "malformed_request", message, Outcome::NotRun)
}

fn check_size(head: Head, limits: ServerLimits) -> Result<Head, Refusal> {
    match head.framing {
        BodyFraming::Length(length) if length > limits.max_body_bytes => {
            Err(Refusal::Answer(Box::new(body_too_large(limits.max_body_bytes))))
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

/// Reads a head; a connection that sends none in time is closed without an answer, one that has
/// begun a head gets status 408.
async fn read_head_within(
    stream: &mut GuardedStream,
    timeout: Duration,
) -> Result<Head, HeadError> {
    let read = async { Some(stream.read_request_head().await) };
    let head = read
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await;
    match head {
        Some(head) => head,
        None if stream.has_partial_head() => Err(HeadError::Slow),
        None => Err(HeadError::Closed),
    }
}

/// Writes a last answer, then takes in a bounded rest of the request and closes.
async fn write_final(stream: &mut GuardedStream, mut response: Response) {
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    if futures_lite::io::copy(&mut encoder, &mut *stream).await.is_err() {
        return;
    }
    let mut socket = stream.socket().clone();
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let drain = async {
        let mut sink = vec![0; LINGER_BYTES];
        let mut total = 0;
        while total < LINGER_BYTES {
            match socket.read(&mut sink).await {
                Ok(count) if count > 0 => total += count,
                _ => break,
            }
        }
    };
    drain
        .or(async {
            Timer::after(LINGER_TIME).await;
        })
        .await;
}

/// Why a request body was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than this limit in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    Slow,
    /// The body ended early or was not readable.
    #[error("the body was cut short: {0}")]
    Cut(io::Error),
}

impl BodyError {
    /// The answer that states this error; no such request was run.
    pub fn response(&self) -> Response {
        let message = self.to_string();
        match self {
            Self::TooLarge(limit) => body_too_large(*limit),
            Self::Slow => {
                error_response(StatusCode::RequestTimeout, "body_timeout", message, Outcome::NotRun)
            }
            Self::Cut(_) => {
                error_response(StatusCode::BadRequest, "body_cut", message, Outcome::NotRun)
            }
        }
    }
}

/// Reads a whole request body within a size and a time.
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
        body.take(max_bytes + 1).read_to_end(&mut bytes).await.map_err(BodyError::Cut)?;
        if bytes.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        Ok(bytes)
    };
    read.or(async {
        Timer::after(timeout).await;
        Err(BodyError::Slow)
    })
    .await
}
