//! HTTP bodies: sending whole or streamed ones, reading with limits on size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tidespur_units::byte_budget::ByteBudget;

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
    /// The bodies that are being read take too much memory.
    OutOfMemory,
}

/// Memory that the bodies which are being read or handled share, by dynamic thresholds: clients that send much at once
/// leave room for those that send little.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Mutex<ByteBudget>>);

impl BodyMemory {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        Self(Arc::new(Mutex::new(ByteBudget::new(capacity))))
    }

    /// Bytes of the bodies that are being read or handled.
    pub fn used(&self) -> usize {
        self.budget().used()
    }

    fn budget(&self) -> MutexGuard<'_, ByteBudget> {
        // A poisoned lock can be used: each change is one call.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that was read, or a part of it. Its bytes count in the shared memory until it is dropped.
#[derive(Debug)]
pub struct ReadBody {
    bytes: Vec<u8>,
    memory: BodyMemory,
}

impl ReadBody {
    /// The bytes that were read.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds bytes; returns false if the shared memory has no room for them.
    fn extend(&mut self, bytes: &[u8]) -> bool {
        let mut budget = self.memory.budget();
        if !budget.admits(self.bytes.len(), bytes.len()) {
            return false;
        }
        budget.take(bytes.len());
        self.bytes.extend_from_slice(bytes);
        true
    }
}

impl Drop for ReadBody {
    fn drop(&mut self) {
        self.memory.budget().give_back(self.bytes.len());
    }
}

/// Reads a whole body of at most `max_bytes` bytes within `seconds`, into shared memory.
///
/// # Errors
/// Fails if the body is too long, late or interrupted, or if the memory has no room for it.
pub async fn read_into<B>(
    memory: &BodyMemory,
    body: B,
    max_bytes: usize,
    seconds: f64,
) -> Result<ReadBody, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
{
    crate::clock::timeout(seconds, read_frames(memory, body, max_bytes))
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

async fn read_frames<B>(
    memory: &BodyMemory,
    body: B,
    max_bytes: usize,
) -> Result<ReadBody, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    let mut read = ReadBody {
        bytes: Vec::new(),
        memory: memory.clone(),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if read.bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !read.extend(data) {
            return Err(BodyError::OutOfMemory);
        }
    }
    Ok(read)
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
