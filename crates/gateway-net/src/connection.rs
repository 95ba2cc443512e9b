//! An open connection: its socket and the state of its reader.

use crate::socket::Socket;
use crate::unsent::SharedBudget;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use tidespur_gateway::input_queue::StepNumber;
use tidespur_gateway::message::Decoder;
use tidespur_net::clock;

/// An open connection, with the state of the task that reads it.
#[derive(Debug)]
pub struct Connection {
    /// The socket, which the reader shares with writers.
    pub socket: Rc<Socket>,
    /// Decodes the peer's messages, and buffers the incomplete one.
    pub decoder: RefCell<Decoder>,
    /// When the first bytes of an incomplete message were read; `None` without one.
    pub partial_since: Cell<Option<f64>>,
    /// Time at which the connection was opened, in seconds of [`clock::now`].
    pub opened_at: f64,
    /// Whether the peer has sent a complete message.
    pub has_sent_message: Cell<bool>,
    /// Set once nothing more is to be read: the end of the stream, an error or malformed bytes were read, or the gateway
    /// has closed a client's connection.
    pub ended: Cell<bool>,
    /// Step of the input queue before which the last message was added; set for clients only.
    pub last_input: Cell<StepNumber>,
}

impl Connection {
    /// Wraps an open connection. Its unsent bytes count in `budget`.
    pub fn new(stream: Async<TcpStream>, budget: SharedBudget) -> Rc<Self> {
        Rc::new(Self {
            socket: Rc::new(Socket::new(stream, budget)),
            decoder: RefCell::default(),
            partial_since: Cell::new(None),
            opened_at: clock::now(),
            has_sent_message: Cell::new(false),
            ended: Cell::new(false),
            last_input: Cell::default(),
        })
    }
}
