//! Client of the discovery stream: calls the service again whenever a call fails or a stream ends.
//!
//! [`Reconnect`] decides when to call; this module makes the calls, each within [`CALL_TIMEOUT`].

use smol::Task;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tidespur_gateway::discovery::EventStreamDecoder;
use tidespur_gateway::discovery::reconnect::{CALL_TIMEOUT, Reconnect};
use tidespur_net::client::Lines;
use tidespur_net::{Client, NetError, clock};

/// Path of the stream.
const STREAM_PATH: &str = "/board/poll";
/// A stream without a line for this long is closed, in seconds. The platform sends a comment each second.
const SILENCE_TIMEOUT: f64 = 2.0;
/// The old stream is read for at most this long after a change of the address, in seconds; the platform closes it after
/// 1.5 s.
const OLD_STREAM_TIMEOUT: f64 = 3.0;

/// Why a call brought no stream.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("{0}")]
    Net(#[from] NetError),
    #[error("status {0}")]
    Status(u16),
}

/// The stream at one address.
#[derive(Debug)]
pub struct Subscription {
    address: String,
    has_stream: Cell<bool>,
    /// When another address took the place of this one, in seconds of [`clock::now`].
    replaced_at: Cell<Option<f64>>,
}

impl Subscription {
    /// A subscription at this address, `IP:PORT`, without a stream.
    pub fn new(address: String) -> Self {
        Self {
            address,
            has_stream: Cell::new(false),
            replaced_at: Cell::new(None),
        }
    }

    /// How much longer the stream may be read, in seconds.
    fn time_left(&self) -> f64 {
        self.replaced_at.get().map_or(f64::INFINITY, |replaced_at| {
            replaced_at + OLD_STREAM_TIMEOUT - clock::now()
        })
    }
}

/// A subscription, and the task that follows it; dropping the task cancels its call or closes its stream.
#[derive(Debug)]
struct Follower {
    subscription: Rc<Subscription>,
    task: Task<()>,
}

/// The subscription at the current address, and the stream at the address before while that is read to its end.
#[derive(Debug, Default)]
pub struct Subscriptions {
    current: RefCell<Option<Follower>>,
    previous: RefCell<Option<Task<()>>>,
}

impl Subscriptions {
    /// Whether the current subscription is at this address.
    pub fn is_current(&self, address: &str) -> bool {
        self.current
            .borrow()
            .as_ref()
            .is_some_and(|current| current.subscription.address == address)
    }

    /// Makes a subscription the current one; `task` follows it. A call to the address before is cancelled. An open
    /// stream there is read to its end, and takes the place of an earlier such stream, so that two are open at most.
    pub fn replace(&self, subscription: Rc<Subscription>, task: Task<()>) {
        let new = Follower { subscription, task };
        let Some(old) = self.current.replace(Some(new)) else {
            return;
        };
        if old.subscription.has_stream.get() {
            old.subscription.replaced_at.set(Some(clock::now()));
            self.previous.replace(Some(old.task));
        } else {
            tracing::info!(board = old.subscription.address, "discovery call cancelled");
        }
    }
}

/// Follows the stream of a subscription over one call after another, and passes the data of each event to `on_event`.
/// Each call resumes after `last_revision`. Once the address has changed, the rest of the stream is read, and the
/// function returns.
pub async fn follow(
    subscription: Rc<Subscription>,
    reconnect: Rc<RefCell<Reconnect>>,
    last_revision: impl Fn() -> u64,
    mut on_event: impl FnMut(&str),
) {
    let board = &subscription.address;
    loop {
        reconnect.borrow_mut().call_started();
        let pause = match open_stream(board, last_revision()).await {
            Ok(lines) => {
                let outage = reconnect.borrow_mut().stream_opened(clock::now());
                tracing::info!(board, ?outage, "discovery stream opened");
                subscription.has_stream.set(true);
                let reason = read_events(lines, &subscription, &mut on_event).await;
                subscription.has_stream.set(false);
                tracing::info!(board, reason, "discovery stream ended");
                if subscription.replaced_at.get().is_some() {
                    return;
                }
                reconnect.borrow_mut().stream_ended(clock::now())
            }
            Err(error) => {
                let retry = reconnect.borrow_mut().call_failed(clock::now());
                tracing::debug!(board, %error, pause = retry.pause, "discovery call failed");
                if let Some(outage) = retry.warning {
                    tracing::warn!(
                        board, %error, ?outage,
                        "no discovery stream, the endpoint list is not updated; check the discovery service and its address"
                    );
                }
                retry.pause
            }
        };
        clock::sleep(pause).await;
    }
}

/// Calls the service, which then sends the events after `last_revision`.
async fn open_stream(address: &str, last_revision: u64) -> Result<Lines, CallError> {
    let headers = vec![("last-event-id", last_revision.to_string())];
    let client = Client::new(address, 1, headers);
    let lines = client.stream_lines(STREAM_PATH, CALL_TIMEOUT).await?;
    if !lines.status.is_success() {
        return Err(CallError::Status(lines.status.as_u16()));
    }
    Ok(lines)
}

/// Reads events until the stream ends or no time is left; returns the reason for its end.
async fn read_events(
    mut lines: Lines,
    subscription: &Subscription,
    on_event: &mut impl FnMut(&str),
) -> String {
    let mut events = EventStreamDecoder::default();
    loop {
        let time_left = subscription.time_left();
        if time_left <= 0.0 {
            return "the address has changed".into();
        }
        let timeout = SILENCE_TIMEOUT.min(time_left);
        let line = match lines.next_with_timeout(timeout).await {
            Ok(line) => line,
            Err(reason) => return reason,
        };
        match events.push_line(&line) {
            Ok(Some(data)) => on_event(&data),
            Ok(None) => {}
            Err(error) => return error.to_string(),
        }
    }
}
