//! Monotonic clock of the process, with timers: starts at the Unix time of the first call and ignores later changes of
//! the wall clock.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the Unix epoch by this clock; never goes back and does not follow steps of the wall clock.
pub fn now() -> f64 {
    static START: OnceLock<(Instant, f64)> = OnceLock::new();
    let (start, unix) = START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (Instant::now(), unix.as_secs_f64())
    });
    unix + start.elapsed().as_secs_f64()
}

/// Longest sleep: about a year.
const MAX_SLEEP_SECONDS: f64 = 3e7;

/// Waits for this many seconds: not at all if negative, about a year at most or if not finite.
pub async fn sleep(seconds: f64) {
    let seconds = if seconds.is_finite() {
        seconds.clamp(0.0, MAX_SLEEP_SECONDS)
    } else {
        MAX_SLEEP_SECONDS
    };
    smol::Timer::after(Duration::from_secs_f64(seconds)).await;
}

/// The future's value, or `None` if it takes longer than `seconds`; the future is dropped then.
pub async fn timeout<T>(seconds: f64, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        sleep(seconds).await;
        None
    })
    .await
}
