//! A response body that a task feeds through a bounded channel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;
use smol::channel::{bounded, Receiver, Sender, TrySendError};

/// Parts that may wait in the channel before the feeding task is held back.
const CAPACITY: usize = 64;
/// Bytes from which on waiting parts are not joined.
const JOINED_BYTES: usize = 4 * 1024;

/// The feeding side of a streamed body. Dropping it ends the body properly.
#[derive(Debug, Clone)]
pub struct BodySender(Sender<io::Result<Vec<u8>>>);

/// The reader has gone: the client closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the client is gone")]
pub struct ClientGone;

/// What became of a part that was sent without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// It is on its way.
    Sent,
    /// The client reads too slowly; try again later.
    Full,
    /// The client has closed the connection.
    ClientGone,
}

impl BodySender {
    /// Sends the next part; waits while the channel is full.
    pub async fn send(&self, part: Vec<u8>) -> Result<(), ClientGone> {
        self.0.send(Ok(part)).await.map_err(|_| ClientGone)
    }

    /// Sends the next part unless that would wait.
    pub fn try_send(&self, part: Vec<u8>) -> SendState {
        match self.0.try_send(Ok(part)) {
            Ok(()) => SendState::Sent,
            Err(TrySendError::Full(_)) => SendState::Full,
            Err(TrySendError::Closed(_)) => SendState::ClientGone,
        }
    }

    /// Like [`BodySender::abort`], unless that would wait.
    pub fn try_abort(&self, reason: &str) {
        let _ = self.0.try_send(Err(io::Error::other(reason.to_owned())));
    }

    /// Ends the body as cut: the connection is closed without its terminator.
    pub async fn abort(&self, reason: &str) {
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the client is known to have gone.
    pub fn is_client_gone(&self) -> bool {
        self.0.is_closed()
    }
}

/// Makes a body of unknown length and the sender that feeds it.
pub fn stream_body() -> (BodySender, Body) {
    let (sender, receiver) = bounded(CAPACITY);
    let reader =
        ChannelReader { receiver: Box::pin(receiver), part: Vec::new(), position: 0, error: None };
    (BodySender(sender), Body::from_reader(reader, None))
}

struct ChannelReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    part: Vec<u8>,
    position: usize,
    /// An error that came behind the part.
    error: Option<io::Error>,
}

impl ChannelReader {
    /// Parts that wait already go out in one write.
    fn join_waiting_parts(&mut self) {
        while self.part.len() < JOINED_BYTES && self.error.is_none() {
            match self.receiver.try_recv() {
                Ok(Ok(part)) => self.part.extend(part),
                Ok(Err(error)) => self.error = Some(error),
                Err(_) => return,
            }
        }
    }
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.part.len() {
            if let Some(error) = this.error.take() {
                return Poll::Ready(Err(error));
            }
            match this.receiver.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(Some(Ok(part))) => {
                    this.part = part;
                    this.position = 0;
                    this.join_waiting_parts();
                }
            }
        }
        Poll::Ready(Ok(&this.part[this.position..]))
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
