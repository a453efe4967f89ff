//! Streaming response bodies, fed through a bounded channel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;
use smol::channel::{bounded, Receiver, Sender, TrySendError};

/// Number of chunks that the channel buffers before the sender must wait.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Queued chunks are joined until they have at least this many bytes.
const MIN_COALESCED_BYTES: usize = 4 * 1024;

/// Sending half of a streamed body. Dropping the last clone ends the body normally.
#[derive(Debug, Clone)]
pub struct BodySender(Sender<io::Result<Vec<u8>>>);

/// Error: the client closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the client is gone")]
pub struct ClientDisconnected;

/// Result of [`BodySender::try_send`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrySendResult {
    /// The chunk was queued.
    Sent,
    /// The channel is full because the client reads slowly; retry later.
    Full,
    /// The client closed the connection.
    ClientDisconnected,
}

impl BodySender {
    /// Sends a chunk, waiting while the channel is full.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), ClientDisconnected> {
        self.0.send(Ok(chunk)).await.map_err(|_| ClientDisconnected)
    }

    /// Sends a chunk without waiting.
    pub fn try_send(&self, chunk: Vec<u8>) -> TrySendResult {
        match self.0.try_send(Ok(chunk)) {
            Ok(()) => TrySendResult::Sent,
            Err(TrySendError::Full(_)) => TrySendResult::Full,
            Err(TrySendError::Closed(_)) => TrySendResult::ClientDisconnected,
        }
    }

    /// Like [`BodySender::abort`], but does nothing if the channel is full.
    pub fn try_abort(&self, reason: &str) {
        let _ = self.0.try_send(Err(io::Error::other(reason.to_owned())));
    }

    /// Aborts the body: the connection is closed without the final chunk, so the client sees a
    /// truncated response.
    pub async fn abort(&self, reason: &str) {
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the client closed the connection.
    pub fn is_client_disconnected(&self) -> bool {
        self.0.is_closed()
    }
}

/// Creates a body of unknown length and the sender that feeds it.
pub fn stream_body() -> (BodySender, Body) {
    let (sender, receiver) = bounded(MAX_QUEUED_CHUNKS);
    let reader =
        ChannelReader { receiver: Box::pin(receiver), chunk: Vec::new(), position: 0, error: None };
    (BodySender(sender), Body::from_reader(reader, None))
}

struct ChannelReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    position: usize,
    /// An error received after `chunk`, returned once `chunk` has been read.
    error: Option<io::Error>,
}

impl ChannelReader {
    /// Appends queued chunks to the current one, so that they are sent in one write.
    fn coalesce_queued_chunks(&mut self) {
        while self.chunk.len() < MIN_COALESCED_BYTES && self.error.is_none() {
            match self.receiver.try_recv() {
                Ok(Ok(chunk)) => self.chunk.extend(chunk),
                Ok(Err(error)) => self.error = Some(error),
                Err(_) => return,
            }
        }
    }
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.chunk.len() {
            if let Some(error) = this.error.take() {
                return Poll::Ready(Err(error));
            }
            match this.receiver.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(Some(Ok(chunk))) => {
                    this.chunk = chunk;
                    this.position = 0;
                    this.coalesce_queued_chunks();
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Ready(Ok(bytes)) => bytes,
        };
        let count = available.len().min(target.len());
        target[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
