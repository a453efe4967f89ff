//! A TCP stream that validates message heads and limits reads to one message at a time.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::net::TcpStream;
use thiserror::Error;

/// Largest accepted head in bytes; `async-h1` rejects heads of 8 KiB or more.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Largest accepted number of headers.
pub const MAX_HEADERS: usize = 100;
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";
const READ_CHUNK_BYTES: usize = 4096;
/// Largest part of a body that is copied to be sent in one write with the head.
const MAX_COALESCED_BYTES: usize = 16 * 1024;
/// Overwrites the header name `expect` in place: `Expect` is handled by the server, not by the
/// codec.
const EXPECT_PLACEHOLDER: &[u8; 6] = b"x-seen";

/// Error of reading a message head.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The peer closed the connection between messages.
    #[error("connection closed")]
    Closed,
    /// The connection ended or failed in the middle of a head.
    #[error("connection failed inside a head: {0}")]
    Io(#[from] io::Error),
    /// The head was not received within the timeout.
    #[error("the head did not arrive in time")]
    Timeout,
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    TooLarge,
    /// The head is not valid HTTP/1.1, for this reason.
    #[error("{0}")]
    Malformed(&'static str),
    /// The HTTP version is not supported.
    #[error("only HTTP/1.1 is spoken")]
    Version,
    /// The request method is not supported.
    #[error("the method is not known")]
    Method,
}

/// How the length of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes left to read.
    Length(u64),
    /// Chunked transfer encoding; the codec detects the end of the body.
    Chunked,
}

/// The validated head of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

#[derive(Debug)]
struct StreamState {
    /// Bytes read from the socket; those from `position` on have not been passed to the codec.
    buffered: Vec<u8>,
    position: usize,
    /// Head bytes not yet passed to the codec.
    head_left: usize,
    framing: BodyFraming,
    /// Whether anything was written since the last head was read.
    has_written: bool,
    /// A head that is buffered to be sent in one write with the start of its body.
    pending_head: Vec<u8>,
}

/// A TCP stream whose reads end at the end of the current message.
///
/// Clones share the socket and the state, since the codec uses separate read and write halves.
#[derive(Debug, Clone)]
pub struct FramedStream {
    socket: TcpStream,
    state: Arc<Mutex<StreamState>>,
}

impl FramedStream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            state: Arc::new(Mutex::new(StreamState {
                buffered: Vec::new(),
                position: 0,
                head_left: 0,
                framing: BodyFraming::Length(0),
                has_written: false,
                pending_head: Vec::new(),
            })),
        }
    }

    /// Returns the underlying socket.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Whether anything was written since the last head was read.
    pub fn has_written(&self) -> bool {
        self.lock().has_written
    }

    /// Whether part of a head was received.
    pub fn has_partial_head(&self) -> bool {
        let state = self.lock();
        state.position < state.buffered.len()
    }

    /// Whether the message was fully passed to the codec and nothing else is buffered.
    pub fn is_drained(&self) -> bool {
        let state = self.lock();
        let body_read = state.framing != BodyFraming::Chunked || state.head_left == 0;
        let length_read = !matches!(state.framing, BodyFraming::Length(left) if left > 0);
        body_read && length_read && state.position == state.buffered.len()
    }

    /// Reads and validates the head of a request.
    pub async fn read_request_head(&mut self) -> Result<Head, HeadError> {
        let length = self.read_head_bytes().await?;
        self.accept_head(length, parse_request_head)
    }

    /// Reads and validates the head of a response.
    pub async fn read_response_head(&mut self) -> Result<Head, HeadError> {
        let length = self.read_head_bytes().await?;
        self.accept_head(length, parse_response_head)
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().expect("no panic while the lock is held")
    }

    /// Reads until a complete head is buffered and returns its length in bytes.
    async fn read_head_bytes(&mut self) -> Result<usize, HeadError> {
        let mut searched_len = 0;
        loop {
            let head_len = {
                let mut state = self.lock();
                state.compact();
                find_head_end(&state.buffered, searched_len)
            };
            if let Some(length) = head_len {
                return if length <= MAX_HEAD_BYTES {
                    Ok(length)
                } else {
                    Err(HeadError::TooLarge)
                };
            }
            searched_len = self.lock().buffered.len();
            if searched_len > MAX_HEAD_BYTES {
                return Err(HeadError::TooLarge);
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = self.socket.read(&mut chunk).await?;
            if count == 0 && searched_len == 0 {
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
        state.has_written = false;
        Ok(head)
    }
}

impl StreamState {
    fn compact(&mut self) {
        self.buffered.drain(..self.position);
        self.position = 0;
    }

    /// Returns how many bytes the codec may read next; `None` for a chunked body.
    fn read_limit(&self) -> Option<u64> {
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

    /// Has the codec polled again after it has read part of a chunked body. It returns pending after
    /// part of a trailer without reading on, so nothing else would wake it.
    fn keep_reading(&self, context: &Context<'_>) {
        if self.framing == BodyFraming::Chunked {
            context.waker().wake_by_ref();
        }
    }

    /// Copies buffered bytes into `target` and returns their number.
    fn read_buffered(&mut self, target: &mut [u8]) -> usize {
        let available = &self.buffered[self.position..];
        let count = available.len().min(target.len());
        target[..count].copy_from_slice(&available[..count]);
        self.position += count;
        self.consume(count);
        count
    }
}

impl AsyncRead for FramedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().expect("no panic while the lock is held");
        let limit = match state.read_limit() {
            Some(allowed) => target.len().min(usize::try_from(allowed).unwrap_or(usize::MAX)),
            None => target.len(),
        };
        if limit == 0 {
            return Poll::Ready(Ok(0));
        }
        let buffered = state.read_buffered(&mut target[..limit]);
        if buffered > 0 {
            state.keep_reading(context);
            return Poll::Ready(Ok(buffered));
        }
        match Pin::new(&mut this.socket).poll_read(context, &mut target[..limit]) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Ready(Ok(count)) => {
                state.consume(count);
                state.keep_reading(context);
                Poll::Ready(Ok(count))
            }
            other => other,
        }
    }
}

impl FramedStream {
    /// Writes the buffered head to the socket.
    fn poll_write_pending_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.lock().expect("no panic while the lock is held");
        while !state.pending_head.is_empty() {
            match Pin::new(&mut self.socket).poll_write(context, &state.pending_head) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(count)) => drop(state.pending_head.drain(..count)),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FramedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_buffered = {
            let mut state = self.lock();
            state.has_written = true;
            let starts_message = state.pending_head.is_empty() && is_head_with_body_length(bytes);
            let joins_pending_head =
                !state.pending_head.is_empty() && bytes.len() <= MAX_COALESCED_BYTES;
            if starts_message || joins_pending_head {
                state.pending_head.extend_from_slice(bytes);
            }
            if starts_message {
                return Poll::Ready(Ok(bytes.len()));
            }
            joins_pending_head
        };
        if is_buffered {
            // All bytes are buffered; what the socket does not accept now is sent by the next
            // write.
            return match self.poll_write_pending_head(context) {
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(bytes.len())),
            };
        }
        match self.poll_write_pending_head(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_write_pending_head(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_flush(context),
            other => other,
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_write_pending_head(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.socket).poll_close(context),
            other => other,
        }
    }
}

/// Whether these bytes are a head followed by a body of known length. The head of a chunked body is
/// sent at once, since the first chunk may take long.
fn is_head_with_body_length(bytes: &[u8]) -> bool {
    if !bytes.ends_with(HEAD_TERMINATOR) || bytes.len() > MAX_HEAD_BYTES {
        return false;
    }
    let Ok(head) = std::str::from_utf8(bytes) else {
        return false;
    };
    head.lines()
        .filter_map(|line| line.strip_prefix("content-length: "))
        .any(|length| length != "0")
}

fn find_head_end(bytes: &[u8], searched_len: usize) -> Option<usize> {
    let start = searched_len.saturating_sub(HEAD_TERMINATOR.len() - 1);
    bytes[start..]
        .windows(HEAD_TERMINATOR.len())
        .position(|window| window == HEAD_TERMINATOR)
        .map(|offset| start + offset + HEAD_TERMINATOR.len())
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
    let expect_offset = find_expect_header(bytes.as_ptr() as usize, request.headers);
    if let Some(offset) = expect_offset {
        bytes[offset..offset + EXPECT_PLACEHOLDER.len()].copy_from_slice(EXPECT_PLACEHOLDER);
    }
    Ok(Head { framing, expects_continue: expect_offset.is_some() })
}

fn parse_response_head(bytes: &mut [u8]) -> Result<Head, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    check_parsed(response.parse(bytes))?;
    let has_no_body = matches!(response.code, Some(204 | 304));
    let framing = match body_framing(response.headers)? {
        Some(framing) => framing,
        None if has_no_body => BodyFraming::Length(0),
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
    let is_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse() {
        Ok(length) if is_digits => Ok(length),
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

/// Returns the offset of the `Expect` header within a head that starts at address `start`.
fn find_expect_header(start: usize, headers: &[httparse::Header<'_>]) -> Option<usize> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("expect"))
        .map(|header| header.name.as_ptr() as usize - start)
}
