//! HTTP bodies: sending whole or streamed ones, reading with limits on size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// Body of an outgoing request or response.
pub type Body = BoxBody<Bytes, Infallible>;

/// A body that is sent as a whole, with a known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A body that is streamed from a channel and ends when all senders are dropped.
pub fn stream(receiver: async_channel::Receiver<Bytes>) -> Body {
    use futures_lite::StreamExt;
    let frames = receiver.map(|bytes| Ok(Frame::data(bytes)));
    BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(frames))))
}

/// A boxed stream that only its owner polls.
struct SyncStream<S>(std::pin::Pin<Box<S>>);

impl<S: futures_lite::Stream> futures_lite::Stream for SyncStream<S> {
    type Item = S::Item;
    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        self.0.as_mut().poll_next(cx)
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes than allowed.
    TooLarge,
    /// The connection ended or failed before the body was complete.
    Interrupted,
    /// It was not complete within the time limit.
    TimedOut,
}

/// Reads a whole body of at most `max_bytes` bytes within `seconds`.
pub async fn read<B>(body: B, max_bytes: usize, seconds: f64) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, max_bytes).collect();
    match crate::clock::timeout(seconds, read).await {
        None => Err(BodyError::TimedOut),
        Some(Ok(all)) => Ok(all.to_bytes()),
        Some(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Some(Err(_)) => Err(BodyError::Interrupted),
    }
}
