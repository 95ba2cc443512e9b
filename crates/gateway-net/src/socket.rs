//! One connection: bytes out at once or as soon as the peer takes them, bytes in by turns.

use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// Bytes that may wait for a peer that does not read; then the connection is closed.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Bytes read in one turn; then others have theirs.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Of a connection that was closed here, so many bytes are still read: a socket closed over unread bytes resets its
/// connection, and the reset may destroy an answer on its way. Bounds the work for one that never stops.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// How a write went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Gone, or waiting to go.
    Accepted,
    /// The peer takes no bytes now, and not one of these left.
    Blocked,
    /// The peer takes no more bytes now, and has a part of these; the rest waits to go.
    PartiallyWritten,
    /// Not a byte of it left, and none will.
    NotWritten,
    /// Some may have left; the connection is of no further use.
    Failed,
}

/// A connection, held by its reader and by whoever writes.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    unsent: RefCell<Vec<u8>>,
    /// Somebody sees to what waits.
    draining: Cell<bool>,
    /// It is half-closed once nothing waits: else a release that waits behind a set-up would never leave.
    half_closing: Cell<bool>,
}

impl Socket {
    /// Over an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Without it answers wait for acknowledgements; a socket that refuses it still works.
        let _ = stream.get_ref().set_nodelay(true);
        Self {
            stream,
            unsent: RefCell::default(),
            draining: Cell::new(false),
            half_closing: Cell::new(false),
        }
    }

    /// Writes what the peer takes at once; the rest waits. `true` comes along where somebody has to [`Socket::drain`].
    pub fn write(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        {
            let mut waiting = self.unsent.borrow_mut();
            if !waiting.is_empty() {
                if waiting.len() + bytes.len() > MAX_UNSENT_BYTES {
                    return (WriteOutcome::NotWritten, false);
                }
                waiting.extend_from_slice(bytes);
                return (WriteOutcome::Accepted, false);
            }
        }
        match self.write_now(bytes) {
            (WriteOutcome::Blocked, _) => {
                self.unsent.borrow_mut().extend_from_slice(bytes);
                (WriteOutcome::Accepted, !self.draining.replace(true))
            }
            (WriteOutcome::PartiallyWritten, drain) => (WriteOutcome::Accepted, drain),
            other => other,
        }
    }

    /// Writes only if the peer takes at least a part at once; `true` as with [`Socket::write`].
    pub fn offer(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        if !self.unsent.borrow().is_empty() {
            return (WriteOutcome::Blocked, false);
        }
        match self.write_now(bytes) {
            (WriteOutcome::Blocked, _) => (WriteOutcome::Blocked, !self.draining.replace(true)),
            other => other,
        }
    }

    fn write_now(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        let mut done = 0;
        while done < bytes.len() {
            match self.stream.get_ref().write(&bytes[done..]) {
                Ok(0) => break,
                Ok(n) => done += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && done == 0 => {
                    return (WriteOutcome::Blocked, false);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.unsent.borrow_mut().extend_from_slice(&bytes[done..]);
                    return (WriteOutcome::PartiallyWritten, !self.draining.replace(true));
                }
                Err(_) => {
                    return (
                        if done == 0 {
                            WriteOutcome::NotWritten
                        } else {
                            WriteOutcome::Failed
                        },
                        false,
                    );
                }
            }
        }
        (WriteOutcome::Accepted, false)
    }

    /// Writes what waits until nothing does and the peer takes more, or the connection ends.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn drain(&self) -> io::Result<()> {
        let drained = self.drain_all().await;
        self.draining.set(false);
        drained
    }

    async fn drain_all(&self) -> io::Result<()> {
        loop {
            self.stream.writable().await?;
            let mut waiting = self.unsent.borrow_mut();
            if !waiting.is_empty() {
                match self.stream.get_ref().write(&waiting) {
                    Ok(n) => drop(waiting.drain(..n)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
            if waiting.is_empty() {
                *waiting = Vec::new();
                if self.half_closing.get() {
                    self.shutdown_write();
                }
                return Ok(());
            }
        }
    }

    /// Whether all that was written has left.
    pub fn is_flushed(&self) -> bool {
        self.unsent.borrow().is_empty()
    }

    /// Waits until there may be something to read.
    ///
    /// # Errors
    /// The system's.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads what is there into `buffer`; 0 at the end, `None` where there is nothing now.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn read_now(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<Option<usize>> {
        loop {
            match self.stream.get_ref().read(&mut buffer.borrow_mut()) {
                Ok(n) => return Ok(Some(n)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until there is something to read, and reads it into `buffer`; 0 at the end.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.readable().await?;
            if let Some(n) = self.read_now(buffer)? {
                return Ok(n);
            }
        }
    }

    /// Reads to the end and forgets it.
    pub async fn discard(&self, buffer: &RefCell<Vec<u8>>) {
        let mut left = MAX_DISCARDED_BYTES;
        while let Ok(n) = self.read(buffer).await
            && n > 0
            && n <= left
        {
            left -= n;
            futures_lite::future::yield_now().await;
        }
    }

    /// Writes what waits and then no more, and is still read.
    pub fn half_close(&self) {
        self.half_closing.set(true);
        if self.is_flushed() {
            self.shutdown_write();
        }
    }

    fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Ends the connection in both directions, for its reader too. What was read by the system is still there to read.
    pub fn close(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }
}

/// A connection as its reader knows it.
#[derive(Debug)]
pub struct Connection {
    /// Its bytes.
    pub socket: Rc<Socket>,
    /// What was read of the peer's next message.
    pub decoder: RefCell<tidespur_gateway::message::Decoder>,
    /// Since when a message is begun and not whole.
    pub partial_since: Cell<Option<f64>>,
    /// When it was accepted.
    pub opened_at: f64,
    /// It has said something whole since.
    pub has_sent_message: Cell<bool>,
    /// Its end, or what can't be read, was seen: nothing more is read.
    pub ended: Cell<bool>,
    /// The last of what it said.
    pub last_input: Cell<tidespur_gateway::input_queue::Sequence>,
}

impl Connection {
    /// Over an open connection.
    pub fn new(stream: Async<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            socket: Rc::new(Socket::new(stream)),
            decoder: RefCell::default(),
            partial_since: Cell::new(None),
            opened_at: tidespur_net::clock::now(),
            has_sent_message: Cell::new(false),
            ended: Cell::new(false),
            last_input: Cell::default(),
        })
    }
}
