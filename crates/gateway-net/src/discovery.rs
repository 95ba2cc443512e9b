//! Follows the discovery stream: connected always, and at once again after an end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tidespur_gateway::discovery::EventStreamDecoder;
use tidespur_net::{Client, clock};

/// A comment comes each second: silence for this long is an end.
const SILENCE: f64 = 2.0;
/// The head of an answer must be there within this.
const HEAD_WITHIN: f64 = 1.0;
/// Pause after a connection that brought nothing.
const AGAIN: f64 = 0.1;
/// After a move, what is left of the old stream is read for so long at most: the platform's page closes it after 1.5 s.
/// Guards against streams that pile up where it moves back and forth.
const OLD_FOR: f64 = 3.0;

/// Where the board listens now.
#[derive(Debug)]
pub struct Address {
    at: RefCell<String>,
    /// How often it moved, and when last.
    moves: Cell<u32>,
    moved_at: Cell<f64>,
}

impl Address {
    /// At this address.
    pub fn new(at: String) -> Self {
        Self {
            at: RefCell::new(at),
            moves: Cell::new(0),
            moved_at: Cell::new(0.0),
        }
    }

    /// It listens elsewhere from now on; `false` where it was there already.
    pub fn moves_to(&self, at: &str) -> bool {
        if *self.at.borrow() == at {
            return false;
        }
        self.at.replace(at.to_owned());
        self.moves.set(self.moves.get() + 1);
        self.moved_at.set(clock::now());
        true
    }
}

/// Follows the stream where it is now. Once it has moved, what is left of the old stream is still read.
pub async fn follow(current: Rc<Address>, delivered: impl Fn() -> u64, mut take: impl FnMut(&str)) {
    let (address, moves) = (current.at.borrow().clone(), current.moves.get());
    loop {
        let began = clock::now();
        let left = || match current.moves.get() == moves {
            true => f64::INFINITY,
            false => current.moved_at.get() + OLD_FOR - clock::now(),
        };
        let why = once(&address, delivered(), left, &mut take).await;
        tracing::info!(board = address, why, "the discovery stream ended");
        if current.moves.get() != moves {
            return;
        }
        if clock::now() - began < 0.5 {
            clock::sleep(AGAIN).await;
        }
    }
}

async fn once(
    address: &str,
    delivered: u64,
    left: impl Fn() -> f64,
    take: &mut impl FnMut(&str),
) -> String {
    let client = Client::new(address, 1, vec![("last-event-id", delivered.to_string())]);
    let mut lines = match client.stream_lines("/board/poll", HEAD_WITHIN).await {
        Ok(lines) if lines.status.is_success() => lines,
        Ok(lines) => return format!("status {}", lines.status),
        Err(problem) => return problem.to_string(),
    };
    let mut events = EventStreamDecoder::default();
    loop {
        let left = left();
        if left <= 0.0 {
            return "it has moved".into();
        }
        let line = match lines.next_with_timeout(SILENCE.min(left)).await {
            Ok(line) => line,
            Err(why) => return why,
        };
        match events.push_line(&line) {
            Ok(Some(data)) => take(&data),
            Ok(None) => {}
            Err(problem) => return problem.to_string(),
        }
    }
}
