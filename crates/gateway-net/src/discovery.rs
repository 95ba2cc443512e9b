//! Client of the discovery stream: reconnects whenever a connection ends.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tidespur_gateway::discovery::EventStreamDecoder;
use tidespur_net::{Client, clock};

/// A stream without a line for this long is closed, in seconds. The platform sends a comment each second.
const SILENCE_TIMEOUT: f64 = 2.0;
/// Time limit for a call, from dialling to the head of the response, in seconds: the 2 s that the platform gives a
/// call, and the 50 ms by which its time limits are longer on sockets.
const CALL_TIMEOUT: f64 = 2.05;
/// A connection that lasted less than this is followed by [`RECONNECT_BACKOFF`], in seconds.
const SHORT_CONNECTION: f64 = 0.5;
/// Pause after a short connection, in seconds.
const RECONNECT_BACKOFF: f64 = 0.1;
/// The old stream is read for at most this long after a change of the address, in seconds; the platform closes it after
/// 1.5 s. Bounds the number of open streams if the address changes back and forth.
const OLD_STREAM_TIMEOUT: f64 = 3.0;

/// The current address of the discovery stream, which a reload of the configuration can change.
#[derive(Debug)]
pub struct DiscoveryAddress {
    current: RefCell<String>,
    /// Number of changes of the address.
    changes: Cell<u32>,
    /// Time of the last change, in seconds of [`clock::now`].
    changed_at: Cell<f64>,
}

impl DiscoveryAddress {
    /// Starts with the address of the first configuration.
    pub fn new(address: String) -> Self {
        Self {
            current: RefCell::new(address),
            changes: Cell::new(0),
            changed_at: Cell::new(0.0),
        }
    }

    /// Changes the address; returns false if it is the current one already.
    pub fn change_to(&self, address: &str) -> bool {
        if *self.current.borrow() == address {
            return false;
        }
        self.current.replace(address.to_owned());
        self.changes.set(self.changes.get() + 1);
        self.changed_at.set(clock::now());
        true
    }
}

/// Reads the stream at the current address, over one connection after another, and passes the data of each event to
/// `on_event`. Each connection resumes after `last_revision`. Once the address has changed, the rest of the old stream
/// is read, and the function returns.
pub async fn follow(
    current: Rc<DiscoveryAddress>,
    last_revision: impl Fn() -> u64,
    mut on_event: impl FnMut(&str),
) {
    let (address, changes) = (current.current.borrow().clone(), current.changes.get());
    loop {
        let connected_at = clock::now();
        let time_left = || {
            if current.changes.get() == changes {
                f64::INFINITY
            } else {
                current.changed_at.get() + OLD_STREAM_TIMEOUT - clock::now()
            }
        };
        let reason = read_stream(&address, last_revision(), time_left, &mut on_event).await;
        tracing::info!(board = address, reason, "discovery stream ended");
        if current.changes.get() != changes {
            return;
        }
        if clock::now() - connected_at < SHORT_CONNECTION {
            clock::sleep(RECONNECT_BACKOFF).await;
        }
    }
}

/// Reads the stream over one connection until that ends or no time is left; returns the reason for its end.
async fn read_stream(
    address: &str,
    last_revision: u64,
    time_left: impl Fn() -> f64,
    on_event: &mut impl FnMut(&str),
) -> String {
    let headers = vec![("last-event-id", last_revision.to_string())];
    let client = Client::new(address, 1, headers);
    let mut lines = match client.stream_lines("/board/poll", CALL_TIMEOUT).await {
        Ok(lines) if lines.status.is_success() => lines,
        Ok(lines) => return format!("status {}", lines.status),
        Err(error) => return error.to_string(),
    };
    let mut events = EventStreamDecoder::default();
    loop {
        let time_left = time_left();
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
