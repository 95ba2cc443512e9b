//! One clock for a process: Unix seconds at its start, then only forward, whatever the wall clock does.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds; never goes back, and does not follow steps of the wall clock.
pub fn now() -> f64 {
    static START: OnceLock<(Instant, f64)> = OnceLock::new();
    let (at, unix) = START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (Instant::now(), unix.as_secs_f64())
    });
    unix + at.elapsed().as_secs_f64()
}

/// Waits for so many seconds; none for a negative number, a year at most.
pub async fn sleep(seconds: f64) {
    let seconds = if seconds.is_finite() {
        seconds.clamp(0.0, 3e7)
    } else {
        3e7
    };
    smol::Timer::after(Duration::from_secs_f64(seconds)).await;
}

/// The future's value, or `None` if it takes longer.
pub async fn timeout<T>(seconds: f64, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        sleep(seconds).await;
        None
    })
    .await
}
