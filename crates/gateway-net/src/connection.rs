//! A connection as its reader knows it: its socket, and how far its messages were read.

use crate::socket::Socket;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use tidespur_gateway::input_queue::StepNumber;
use tidespur_gateway::message::Decoder;
use tidespur_net::clock;

/// An open connection and what its reader knows of it.
#[derive(Debug)]
pub struct Connection {
    /// The socket, which writers use too.
    pub socket: Rc<Socket>,
    /// Decodes the peer's messages; holds the incomplete one.
    pub decoder: RefCell<Decoder>,
    /// Since when a message is incomplete.
    pub partial_since: Cell<Option<f64>>,
    /// When the connection was opened.
    pub opened_at: f64,
    /// Whether the peer has sent a complete message.
    pub has_sent_message: Cell<bool>,
    /// Whether its end or malformed bytes were read: nothing more is read.
    pub ended: Cell<bool>,
    /// The last input of this connection in the queue.
    pub last_input: Cell<StepNumber>,
}

impl Connection {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            socket: Rc::new(Socket::new(stream)),
            decoder: RefCell::default(),
            partial_since: Cell::new(None),
            opened_at: clock::now(),
            has_sent_message: Cell::new(false),
            ended: Cell::new(false),
            last_input: Cell::default(),
        })
    }
}
