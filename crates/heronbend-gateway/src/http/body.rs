//! Bodies of answers: whole ones, and streams whose pieces come one by one.

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

type Pieces = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// The body of an answer to a caller. Dropping it ends the work behind it.
pub enum AnswerBody {
    /// All bytes are there.
    Whole(Full<Bytes>),
    /// Pieces come until the end; an error cuts the connection.
    Pieces(Pieces),
}

impl AnswerBody {
    /// A body that is already whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }

    /// A body of pieces that are sent as they come.
    pub fn pieces(pieces: impl Stream<Item = io::Result<Bytes>> + 'static) -> Self {
        Self::Pieces(Box::pin(pieces))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = ready!(Pin::new(body).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Pieces(pieces) => {
                let piece = ready!(pieces.as_mut().poll_next(context));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
