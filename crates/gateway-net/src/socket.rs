//! A non-blocking socket: writes at once or as soon as the peer accepts bytes, reads a bounded number at a time.

use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Bytes that may wait for a peer that does not read; beyond that a write fails.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Bytes that are read at once, before other connections have their turn.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that are still read from a connection that was half-closed here: closing a socket with unread bytes resets its
/// connection, and the reset may destroy an answer that was sent. Bounds the work for a peer that never stops.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All bytes were sent or wait to be sent.
    Accepted,
    /// The peer accepts no bytes now, and none of these were sent.
    Blocked,
    /// A part of the bytes was sent; the rest waits to be sent.
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
    unsent: RefCell<Vec<u8>>,
    /// Whether a task drains the unsent bytes.
    draining: Cell<bool>,
    /// Whether it is half-closed once all bytes were sent; else a release that waits behind an offer would be lost.
    half_closing: Cell<bool>,
}

impl Socket {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Without TCP_NODELAY answers wait for acknowledgements; a socket that rejects the option still works.
        let _ = stream.get_ref().set_nodelay(true);
        Self {
            stream,
            unsent: RefCell::default(),
            draining: Cell::new(false),
            half_closing: Cell::new(false),
        }
    }

    /// Writes what the peer accepts at once; the rest waits. Also returns whether the caller has to [`Socket::drain`].
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

    /// Writes only if the peer accepts at least a part at once; also returns whether the caller has to drain.
    pub fn try_write(&self, bytes: &[u8]) -> (WriteOutcome, bool) {
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

    /// Writes the unsent bytes until none are left and the peer accepts more, or the connection ends.
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

    /// Whether all bytes were sent.
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

    /// Reads available bytes into `buffer`; returns 0 at the end, and `None` if there are none now.
    ///
    /// # Errors
    /// The connection has ended.
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

    /// Waits until there is something to read, and reads it into `buffer`; 0 at the end.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.readable().await?;
            if let Some(n) = self.try_read(buffer)? {
                return Ok(n);
            }
        }
    }

    /// Reads to the end, within a bound, and drops the bytes.
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

    /// Writes the unsent bytes and then no more; the connection can still be read.
    pub fn half_close(&self) {
        self.half_closing.set(true);
        if self.is_flushed() {
            self.shutdown_write();
        }
    }

    fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Ends the connection in both directions. Bytes that the system has received can still be read.
    pub fn close(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }
}
