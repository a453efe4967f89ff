//! Bodies of responses, either complete or streamed.

use std::io;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_lite::Stream;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

type ByteStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// The body of a response. Dropping it cancels the work that produces it.
pub enum ResponseBody {
    /// A complete body.
    Full(Full<Bytes>),
    /// A streamed body. An error aborts the connection.
    Stream(ByteStream),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
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
            Self::Full(body) => {
                let frame = ready!(Pin::new(body).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
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
