//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// A body that is sent.
pub type Body = BoxBody<Bytes, Infallible>;

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A body that comes bit by bit and ends with the channel.
pub fn stream(receiver: async_channel::Receiver<Bytes>) -> Body {
    use futures_lite::StreamExt;
    let frames = receiver.map(|bytes| Ok(Frame::data(bytes)));
    BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(frames))))
}

/// A stream that is only ever polled by its one owner.
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
    /// More bytes than allowed.
    TooLarge,
    /// It ended early.
    Interrupted,
    /// It took too long.
    TimedOut,
}

/// All bytes of a body, at most so many, within so many seconds.
pub async fn read<B>(body: B, most: usize, seconds: f64) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, most).collect();
    match crate::clock::timeout(seconds, read).await {
        None => Err(BodyError::TimedOut),
        Some(Ok(all)) => Ok(all.to_bytes()),
        Some(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Some(Err(_)) => Err(BodyError::Interrupted),
    }
}
