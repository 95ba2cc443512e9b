//! Reads the bodies of requests, within the limits on their length, time and memory.

use crate::{Api, Hooks, Limits};
use hyper::body::Incoming;
use tidespur_api::ApiError;
use tidespur_net::body::{self, BodyError, BodyMemory, ReadBody};

/// Bodies that are being read or handled may take as much memory as this many of the longest ones.
const BODIES_IN_MEMORY: usize = 32;
/// When a client may retry whose request body found no room in memory, in seconds.
const OUT_OF_MEMORY_RETRY_SECONDS: u32 = 1;

/// The memory that request bodies share.
pub(crate) fn memory(limits: &Limits) -> BodyMemory {
    BodyMemory::new(limits.max_body_bytes.saturating_mul(BODIES_IN_MEMORY))
}

impl<H: Hooks> Api<H> {
    /// Bytes of the request bodies that are being read or handled.
    pub fn body_bytes(&self) -> usize {
        self.body_memory.used()
    }

    /// Reads a request's body.
    ///
    /// # Errors
    /// 413, 408 or 400 if it is too long, late or incomplete; 429 if there is no memory for it.
    pub(crate) async fn read_body(&self, incoming: Incoming) -> Result<ReadBody, ApiError> {
        let limits = &self.limits;
        let read = body::read_into(
            &self.body_memory,
            incoming,
            limits.max_body_bytes,
            limits.body_timeout,
        );
        read.await.map_err(|error| to_api_error(error, limits))
    }
}

fn to_api_error(error: BodyError, limits: &Limits) -> ApiError {
    match error {
        BodyError::TooLarge => ApiError::new(
            413,
            "RequestEntityTooLarge",
            format!(
                "the body is longer than {} bytes, which is the most",
                limits.max_body_bytes
            ),
        ),
        BodyError::TimedOut => ApiError::new(
            408,
            "Timeout",
            format!("the body was not there within {} s", limits.body_timeout),
        ),
        BodyError::Interrupted => ApiError::bad_request("the body ended before it was whole"),
        BodyError::OutOfMemory => ApiError::too_many_requests(
            "the bodies of other requests take too much memory: retry later, or send a shorter body",
            OUT_OF_MEMORY_RETRY_SECONDS,
        ),
    }
}
