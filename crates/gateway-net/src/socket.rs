//! A non-blocking socket with a bounded buffer of unsent bytes.

use crate::unsent::{SharedBudget, UnsentBytes};
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Maximum number of bytes of one read, so that one connection does not delay the others.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that [`Socket::discard`] reads. Bounds the work for a peer that never stops sending.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// How far a write got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All bytes were sent or buffered.
    Accepted,
    /// The peer accepts no bytes now, and none of these were sent.
    Blocked,
    /// A part of the bytes was sent, and the rest buffered.
    PartiallyWritten,
    /// No byte was sent, and none will be.
    NotWritten,
    /// The connection has failed; some bytes may have been sent.
    Failed,
}

/// A connected socket, shared by its reader and its writers.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    unsent: RefCell<UnsentBytes>,
    /// Whether a task drains the unsent bytes.
    draining: Cell<bool>,
    /// Whether to half-close the connection once all bytes were sent. If it were half-closed before, a release that is
    /// buffered behind an offer would be lost.
    half_closing: Cell<bool>,
}

impl Socket {
    /// Wraps an open connection. Its unsent bytes count in `budget`.
    pub fn new(stream: Async<TcpStream>, budget: SharedBudget) -> Self {
        // Without TCP_NODELAY small writes are delayed until earlier ones are acknowledged. The socket works without
        // the option too, so an error is ignored.
        let _ = stream.get_ref().set_nodelay(true);
        Self {
            stream,
            unsent: RefCell::new(UnsentBytes::new(budget)),
            draining: Cell::new(false),
            half_closing: Cell::new(false),
        }
    }

    /// Writes what the peer accepts at once and buffers the rest. Also returns whether the caller has to call
    /// [`Socket::drain`].
    pub fn write(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        {
            let mut unsent = self.unsent.borrow_mut();
            if !unsent.is_empty() {
                let outcome = if unsent.extend(bytes) {
                    WriteOutcome::Accepted
                } else {
                    WriteOutcome::NotWritten
                };
                return (outcome, false);
            }
        }
        match self.write_now(bytes) {
            (WriteOutcome::Blocked, _) if self.unsent.borrow_mut().extend(bytes) => {
                (WriteOutcome::Accepted, !self.draining.replace(true))
            }
            (WriteOutcome::Blocked, _) => (WriteOutcome::NotWritten, false),
            (WriteOutcome::PartiallyWritten, drain) => (WriteOutcome::Accepted, drain),
            other => other,
        }
    }

    /// Writes only if the peer accepts at least a part at once, else buffers nothing. Also returns whether the caller
    /// has to call [`Socket::drain`].
    pub fn try_write(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        if !self.unsent.borrow().is_empty() {
            return (WriteOutcome::Blocked, false);
        }
        match self.write_now(bytes) {
            (WriteOutcome::Blocked, _) => (WriteOutcome::Blocked, !self.draining.replace(true)),
            other => other,
        }
    }

    /// Writes without looking at the unsent bytes. Buffers the rest of a partial write, but nothing if the peer accepts
    /// none.
    fn write_now(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.get_ref().write(&bytes[written..]) {
                Ok(0) => break,
                Ok(n) => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && written == 0 => {
                    return (WriteOutcome::Blocked, false);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if !self.unsent.borrow_mut().extend(&bytes[written..]) {
                        return (WriteOutcome::Failed, false);
                    }
                    return (WriteOutcome::PartiallyWritten, !self.draining.replace(true));
                }
                Err(_) => {
                    return (
                        if written == 0 {
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

    /// Writes the unsent bytes; returns once none are left and the peer accepts more.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub async fn drain(&self) -> io::Result<()> {
        let drained = self.drain_all().await;
        self.draining.set(false);
        drained
    }

    async fn drain_all(&self) -> io::Result<()> {
        loop {
            self.stream.writable().await?;
            let mut unsent = self.unsent.borrow_mut();
            if !unsent.is_empty() {
                match self.stream.get_ref().write(unsent.bytes()) {
                    Ok(n) => unsent.remove_first(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
            if unsent.is_empty() {
                if self.half_closing.get() {
                    self.shutdown_write();
                }
                return Ok(());
            }
        }
    }

    /// Whether no bytes are left to be sent.
    pub fn is_flushed(&self) -> bool {
        self.unsent.borrow().is_empty()
    }

    /// Waits until there may be something to read.
    ///
    /// # Errors
    /// Fails if the operating system can't poll the socket.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads available bytes into `buffer`; returns 0 at the end of the stream, and `None` if there are none now.
    ///
    /// # Errors
    /// Fails if the connection was reset.
    pub fn try_read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<Option<usize>> {
        loop {
            match self.stream.get_ref().read(&mut buffer.borrow_mut()) {
                Ok(n) => return Ok(Some(n)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until there is something to read, and reads it into `buffer`; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// Fails if the connection was reset.
    pub async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.readable().await?;
            if let Some(n) = self.try_read(buffer)? {
                return Ok(n);
            }
        }
    }

    /// Reads and drops bytes until the peer closes the connection, up to a fixed limit. Called between a half-close and
    /// the close: closing a socket with unread bytes resets its connection, and the peer may lose an answer that was
    /// sent.
    pub async fn discard(&self, buffer: &RefCell<Vec<u8>>) {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Ok(n) = self.read(buffer).await
            && n > 0
            && n <= remaining
        {
            remaining -= n;
            futures_lite::future::yield_now().await;
        }
    }

    /// Closes the connection for writing once the unsent bytes were sent; it can still be read.
    pub fn half_close(&self) {
        self.half_closing.set(true);
        if self.is_flushed() {
            self.shutdown_write();
        }
    }

    fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Shuts the connection down in both directions. Bytes that the system has received before can still be read.
    pub fn close(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }
}
