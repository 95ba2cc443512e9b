//! Measuring how far a loop lags behind its inputs.

use async_channel::Sender;
use tidespur_net::clock;
use tidespur_units::Seconds;

/// How often an input is sent whose delay is the lag of the loop.
const LAG_PROBE_INTERVAL: Seconds = 0.1;

/// Sends the current time through a loop's channel of inputs again and again, until the channel is closed. The loop
/// compares it with the time at which it takes the input: the difference is its lag. `input` wraps the time.
pub async fn send_lag_probes<T>(inputs: Sender<T>, input: impl Fn(Seconds) -> T) {
    while inputs.send(input(clock::now())).await.is_ok() {
        clock::sleep(LAG_PROBE_INTERVAL).await;
    }
}
