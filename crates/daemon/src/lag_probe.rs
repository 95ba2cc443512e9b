//! Measuring how far an event loop lags behind its inputs.

use async_channel::Sender;
use tidespur_net::clock;
use tidespur_units::Seconds;

/// Interval between two lag probes.
const LAG_PROBE_INTERVAL: Seconds = 0.1;

/// Sends the current time through the input channel of an event loop at a fixed interval, until the channel is closed.
/// The lag of the loop is the time from then until the loop handles the input. `make_input` wraps the time.
pub async fn send_lag_probes<T>(inputs: Sender<T>, make_input: impl Fn(Seconds) -> T) {
    while inputs.send(make_input(clock::now())).await.is_ok() {
        clock::sleep(LAG_PROBE_INTERVAL).await;
    }
}
