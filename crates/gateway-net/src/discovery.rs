//! Follows the discovery stream, and reconnects as soon as it has ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tidespur_gateway::discovery::EventStreamDecoder;
use tidespur_net::{Client, clock};

/// The stream sends a comment each second; one that is silent for this long has ended, in seconds.
const SILENCE_TIMEOUT: f64 = 2.0;
/// The head of the response must arrive within this time, in seconds.
const RESPONSE_HEAD_TIMEOUT: f64 = 1.0;
/// Pause after a connection that ended at once, in seconds.
const RECONNECT_BACKOFF: f64 = 0.1;
/// After a move the old stream is read for at most this long, in seconds; the platform closes it after 1.5 s. Guards
/// against streams that pile up where it moves back and forth.
const OLD_STREAM_TIMEOUT: f64 = 3.0;

/// The present address of the discovery stream.
#[derive(Debug)]
pub struct DiscoveryAddress {
    current: RefCell<String>,
    /// How often the address has changed.
    moves: Cell<u32>,
    /// When it changed last.
    moved_at: Cell<f64>,
}

impl DiscoveryAddress {
    /// Starts with this address.
    pub fn new(at: String) -> Self {
        Self {
            current: RefCell::new(at),
            moves: Cell::new(0),
            moved_at: Cell::new(0.0),
        }
    }

    /// Changes the address; returns false if it is the present one.
    pub fn move_to(&self, at: &str) -> bool {
        if *self.current.borrow() == at {
            return false;
        }
        self.current.replace(at.to_owned());
        self.moves.set(self.moves.get() + 1);
        self.moved_at.set(clock::now());
        true
    }
}

/// Follows the stream at its present address. Once that has changed, the rest of the old stream is read, and the task
/// ends.
pub async fn follow(
    current: Rc<DiscoveryAddress>,
    delivered: impl Fn() -> u64,
    mut deliver: impl FnMut(&str),
) {
    let (address, moves) = (current.current.borrow().clone(), current.moves.get());
    loop {
        let began = clock::now();
        let left = || {
            if current.moves.get() == moves {
                f64::INFINITY
            } else {
                current.moved_at.get() + OLD_STREAM_TIMEOUT - clock::now()
            }
        };
        let reason = once(&address, delivered(), left, &mut deliver).await;
        tracing::info!(board = address, reason, "the discovery stream ended");
        if current.moves.get() != moves {
            return;
        }
        if clock::now() - began < 0.5 {
            clock::sleep(RECONNECT_BACKOFF).await;
        }
    }
}

async fn once(
    address: &str,
    delivered: u64,
    left: impl Fn() -> f64,
    deliver: &mut impl FnMut(&str),
) -> String {
    let client = Client::new(address, 1, vec![("last-event-id", delivered.to_string())]);
    let mut lines = match client
        .stream_lines("/board/poll", RESPONSE_HEAD_TIMEOUT)
        .await
    {
        Ok(lines) if lines.status.is_success() => lines,
        Ok(lines) => return format!("status {}", lines.status),
        Err(error) => return error.to_string(),
    };
    let mut events = EventStreamDecoder::default();
    loop {
        let left = left();
        if left <= 0.0 {
            return "it has moved".into();
        }
        let line = match lines.next_with_timeout(SILENCE_TIMEOUT.min(left)).await {
            Ok(line) => line,
            Err(reason) => return reason,
        };
        match events.push_line(&line) {
            Ok(Some(data)) => deliver(&data),
            Ok(None) => {}
            Err(error) => return error.to_string(),
        }
    }
}
