//! A stream that hands the codec exactly one validated message at a time.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::net::TcpStream;
use thiserror::Error;

/// Largest head, in bytes, that is read; `async-h1` refuses 8 KiB and more.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Largest number of headers that is read.
pub const MAX_HEADERS: usize = 100;
const HEAD_END: &[u8] = b"\r\n\r\n";
const READ_CHUNK_BYTES: usize = 4096;
/// Most bytes of a body that are copied to go out with their head.
const MAX_JOINED_BYTES: usize = 16 * 1024;
/// Replaces the name `expect` in place, so that the codec does not act on a header handled here.
const EXPECT_PLACEHOLDER: &[u8; 6] = b"x-seen";

/// Why a head was not accepted.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The peer closed the connection between messages.
    #[error("connection closed")]
    Closed,
    /// The connection ended or failed inside a head.
    #[error("connection failed inside a head: {0}")]
    Io(#[from] io::Error),
    /// The rest of a head did not arrive in time.
    #[error("the head did not arrive in time")]
    Slow,
    /// The head is larger than [`MAX_HEAD_BYTES`] or has more than [`MAX_HEADERS`] headers.
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    TooLarge,
    /// The head is not valid HTTP/1.1.
    #[error("{0}")]
    Malformed(&'static str),
    /// The HTTP version is not 1.1.
    #[error("only HTTP/1.1 is spoken")]
    Version,
    /// The method is unknown.
    #[error("the method is not known")]
    Method,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked; the codec finds its end.
    Chunked,
}

/// What the guard learnt from a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// How the body ends.
    pub framing: BodyFraming,
    /// The sender waits for `100 Continue`.
    pub expects_continue: bool,
}

#[derive(Debug)]
struct ReadState {
    /// Bytes read from the socket and not yet handed to the codec.
    buffered: Vec<u8>,
    position: usize,
    /// Head bytes still to be handed over.
    head_left: usize,
    framing: BodyFraming,
    /// At least one byte was written since the last head.
    wrote: bool,
    /// A written head that waits for the first bytes of its body, to go out in one write with them.
    held: Vec<u8>,
}

/// A TCP stream whose reads are confined to one message.
///
/// Clones share one state; the codec needs a reading and a writing half.
#[derive(Debug, Clone)]
pub struct GuardedStream {
    socket: TcpStream,
    state: Arc<Mutex<ReadState>>,
}

impl GuardedStream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            state: Arc::new(Mutex::new(ReadState {
                buffered: Vec::new(),
                position: 0,
                head_left: 0,
                framing: BodyFraming::Length(0),
                wrote: false,
                held: Vec::new(),
            })),
        }
    }

    /// The wrapped socket.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Whether anything was written since the last head was read.
    pub fn wrote(&self) -> bool {
        self.lock().wrote
    }

    /// Whether some bytes of a head were read, but not yet all of it.
    pub fn has_partial_head(&self) -> bool {
        let state = self.lock();
        state.position < state.buffered.len()
    }

    /// Whether the whole message was handed to the codec and no byte of another is held.
    pub fn is_drained(&self) -> bool {
        let state = self.lock();
        let body_read = state.framing != BodyFraming::Chunked || state.head_left == 0;
        let length_read = !matches!(state.framing, BodyFraming::Length(left) if left > 0);
        body_read && length_read && state.position == state.buffered.len()
    }

    /// Reads and validates the head of a request.
    pub async fn read_request_head(&mut self) -> Result<Head, HeadError> {
        let length = self.fill_head().await?;
        self.accept_head(length, parse_request_head)
    }

    /// Reads and validates the head of a response.
    pub async fn read_response_head(&mut self) -> Result<Head, HeadError> {
        let length = self.fill_head().await?;
        self.accept_head(length, parse_response_head)
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().expect("no panic while the lock is held")
    }

    /// Reads until a whole head is buffered, and returns its length.
    async fn fill_head(&mut self) -> Result<usize, HeadError> {
        let mut searched = 0;
        loop {
            let found = {
                let mut state = self.lock();
                state.compact();
                find_head_end(&state.buffered, searched)
            };
            if let Some(length) = found {
                return if length <= MAX_HEAD_BYTES {
                    Ok(length)
                } else {
                    Err(HeadError::TooLarge)
                };
            }
            searched = self.lock().buffered.len();
            if searched > MAX_HEAD_BYTES {
                return Err(HeadError::TooLarge);
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = self.socket.read(&mut chunk).await?;
            if count == 0 && searched == 0 {
                return Err(HeadError::Closed);
            }
            if count == 0 {
                return Err(HeadError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
            self.lock().buffered.extend_from_slice(&chunk[..count]);
        }
    }

    fn accept_head(
        &mut self,
        length: usize,
        parse: fn(&mut [u8]) -> Result<Head, HeadError>,
    ) -> Result<Head, HeadError> {
        let mut state = self.lock();
        let head = parse(&mut state.buffered[..length])?;
        state.head_left = length;
        state.framing = head.framing;
        state.wrote = false;
        Ok(head)
    }
}

impl ReadState {
    fn compact(&mut self) {
        self.buffered.drain(..self.position);
        self.position = 0;
    }

    /// How many bytes the codec may be given next; `None` where only the codec knows.
    fn allowance(&self) -> Option<u64> {
        match self.framing {
            _ if self.head_left > 0 => Some(self.head_left as u64),
            BodyFraming::Length(left) => Some(left),
            BodyFraming::Chunked => None,
        }
    }

    fn consume(&mut self, count: usize) {
        if self.head_left > 0 {
            self.head_left -= count;
        } else if let BodyFraming::Length(left) = &mut self.framing {
            *left -= count as u64;
        }
    }

    /// Copies buffered bytes into `target`; 0 when none are buffered.
    fn take_buffered(&mut self, target: &mut [u8]) -> usize {
        let available = &self.buffered[self.position..];
        let count = available.len().min(target.len());
        target[..count].copy_from_slice(&available[..count]);
        self.position += count;
        self.consume(count);
        count
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no panic while the lock is held");
        let limit = match state.allowance() {
            Some(allowed) => target.len().min(usize::try_from(allowed).unwrap_or(usize::MAX)),
            None => target.len(),
        };
        if limit == 0 {
            return Poll::Ready(Ok(0));
        }
        let buffered = state.take_buffered(&mut target[..limit]);
        if buffered > 0 {
            return Poll::Ready(Ok(buffered));
        }
        match Pin::new(&mut this.socket).poll_read(context, &mut target[..limit]) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Ready(Ok(count)) => {
                state.consume(count);
                Poll::Ready(Ok(count))
            }
            other => other,
        }
    }
}

impl GuardedStream {
    /// Writes out what is held; ready when nothing is held any more.
    fn poll_write_held(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.lock().expect("no panic while the lock is held");
        while !state.held.is_empty() {
            match Pin::new(&mut self.socket).poll_write(context, &state.held) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(count)) => drop(state.held.drain(..count)),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let holds_head = {
            let mut state = self.lock();
            state.wrote = true;
            let is_head_with_body = state.held.is_empty() && precedes_a_body(bytes);
            let fits = !state.held.is_empty() && bytes.len() <= MAX_JOINED_BYTES;
            if is_head_with_body || fits {
                state.held.extend_from_slice(bytes);
            }
            if is_head_with_body {
                return Poll::Ready(Ok(bytes.len()));
            }
            fits
        };
        if holds_head {
            // Taken over as a whole; what the socket does not take now goes with the next write.
            return match self.poll_write_held(context) {
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(bytes.len())),
            };
        }
        match self.poll_write_held(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_write_held(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_flush(context),
            other => other,
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_write_held(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_close(context),
            other => other,
        }
    }
}

/// Whether these bytes, which the codec wrote at once, are a head whose body has a stated length and
/// follows. A chunked body may be long in coming, so its head is not held.
fn precedes_a_body(bytes: &[u8]) -> bool {
    if !bytes.ends_with(HEAD_END) || bytes.len() > MAX_HEAD_BYTES {
        return false;
    }
    let Ok(head) = std::str::from_utf8(bytes) else {
        return false;
    };
    head.lines()
        .filter_map(|line| line.strip_prefix("content-length: "))
        .any(|length| length != "0")
}

fn find_head_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let start = searched.saturating_sub(HEAD_END.len() - 1);
    bytes[start..]
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|offset| start + offset + HEAD_END.len())
}

fn parse_request_head(bytes: &mut [u8]) -> Result<Head, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    check_parsed(request.parse(bytes))?;
    if request.version != Some(1) {
        return Err(HeadError::Version);
    }
    let method = request.method.unwrap_or_default();
    if method.parse::<http_types::Method>().is_err() || method == "CONNECT" {
        return Err(HeadError::Method);
    }
    if !request.path.unwrap_or_default().starts_with('/') {
        return Err(HeadError::Malformed("the target is not a path"));
    }
    check_host(request.headers)?;
    let framing = body_framing(request.headers)?.unwrap_or(BodyFraming::Length(0));
    let expectation = find_expectation(bytes.as_ptr() as usize, request.headers);
    if let Some(offset) = expectation {
        bytes[offset..offset + EXPECT_PLACEHOLDER.len()].copy_from_slice(EXPECT_PLACEHOLDER);
    }
    Ok(Head { framing, expects_continue: expectation.is_some() })
}

fn parse_response_head(bytes: &mut [u8]) -> Result<Head, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    check_parsed(response.parse(bytes))?;
    let bodiless = matches!(response.code, Some(204 | 304));
    let framing = match body_framing(response.headers)? {
        Some(framing) => framing,
        None if bodiless => BodyFraming::Length(0),
        None => return Err(HeadError::Malformed("the answer does not state its length")),
    };
    Ok(Head { framing, expects_continue: false })
}

fn check_parsed(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => Err(HeadError::Malformed("the head is incomplete")),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(httparse::Error::Version) => Err(HeadError::Version),
        Err(_) => Err(HeadError::Malformed("the head is not valid HTTP")),
    }
}

fn check_host(headers: &[httparse::Header<'_>]) -> Result<(), HeadError> {
    let mut hosts = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("host"));
    match (hosts.next(), hosts.next()) {
        (None, _) => Err(HeadError::Malformed("the Host header is missing")),
        (Some(_), Some(_)) => Err(HeadError::Malformed("there are several Host headers")),
        (Some(host), None) if host.value.is_empty() => {
            Err(HeadError::Malformed("the Host header is empty"))
        }
        (Some(_), None) => Ok(()),
    }
}

fn body_framing(headers: &[httparse::Header<'_>]) -> Result<Option<BodyFraming>, HeadError> {
    let mut framing = None;
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| HeadError::Malformed("a header value is not UTF-8"))?;
        let found = if header.name.eq_ignore_ascii_case("content-length") {
            BodyFraming::Length(parse_length(value)?)
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            parse_transfer_encoding(value)?
        } else {
            continue;
        };
        if framing.replace(found).is_some() {
            return Err(HeadError::Malformed("the body length is stated twice"));
        }
    }
    Ok(framing)
}

fn parse_length(value: &str) -> Result<u64, HeadError> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse() {
        Ok(length) if digits => Ok(length),
        _ => Err(HeadError::Malformed("Content-Length is not a number")),
    }
}

fn parse_transfer_encoding(value: &str) -> Result<BodyFraming, HeadError> {
    if value.eq_ignore_ascii_case("chunked") {
        Ok(BodyFraming::Chunked)
    } else {
        Err(HeadError::Malformed("only the chunked transfer encoding is known"))
    }
}

/// Offset of an `Expect` header's name, from the address of the head's first byte.
fn find_expectation(start: usize, headers: &[httparse::Header<'_>]) -> Option<usize> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("expect"))
        .map(|header| header.name.as_ptr() as usize - start)
}
