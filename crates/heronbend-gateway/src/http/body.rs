//! Bodies of responses, either complete or streamed.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::memory::Reservation;

/// Largest part of a buffered body that is given to the connection at once. The connection copies
/// what it is given into its write buffer.
const MAX_FRAME_BYTES: usize = 32 * 1024;

type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// A complete body that is sent in parts, so that the connection copies little of it at a time.
#[derive(Debug, Clone)]
pub struct BufferedBody {
    bytes: Bytes,
    /// Accounts for the memory of the body.
    reservation: Option<Rc<Reservation>>,
}

impl BufferedBody {
    /// Creates a body whose memory is not accounted for, or accounted for elsewhere.
    pub fn new(bytes: Bytes) -> Self {
        Self { bytes, reservation: None }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(MAX_FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// The body of a response. Dropping it cancels the work that produces it.
pub enum ResponseBody {
    /// A complete body.
    Full(BufferedBody),
    /// A streamed body. An error aborts the connection.
    Stream(ByteStream),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(BufferedBody::new(bytes))
    }

    /// Creates a complete body whose memory is accounted for by `reservation`.
    pub fn reserved(bytes: Bytes, reservation: Option<Rc<Reservation>>) -> Self {
        Self::Full(BufferedBody { bytes, reservation })
    }

    /// Reservation of the memory budget for a complete body.
    pub fn reservation(&self) -> Option<Rc<Reservation>> {
        match self {
            Self::Full(body) => body.reservation.clone(),
            Self::Stream(_) => None,
        }
    }

    /// Creates a body whose chunks are sent as they are produced.
    pub fn stream(stream: impl Stream<Item = io::Result<Bytes>> + 'static) -> Self {
        Self::Stream(Box::pin(stream))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(context),
            Self::Stream(stream) => {
                let chunk = ready!(stream.as_mut().poll_next(context));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
