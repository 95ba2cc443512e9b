//! One connection: bytes out at once or as soon as the peer takes them, bytes in by turns.

use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// Bytes that may wait for a peer that does not read; then the connection is closed.
const UNREAD_MOST: usize = 256 * 1024;
/// Bytes read in one turn; then others have theirs.
pub const TURN: usize = 16 * 1024;

/// How a write went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// Gone, or waiting to go.
    Taken,
    /// Not a byte of it left, and none will.
    Nothing,
    /// Some may have left; the connection is of no further use.
    Part,
}

/// A connection, held by its reader and by whoever writes.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    waiting: RefCell<Vec<u8>>,
    /// It is finished once nothing waits: else a release that waits behind a set-up would never leave.
    half_closed: Cell<bool>,
}

impl Socket {
    /// Over an open connection.
    pub fn new(stream: Async<TcpStream>) -> Rc<Self> {
        // Without it answers wait for acknowledgements; a socket that refuses it still works.
        let _ = stream.get_ref().set_nodelay(true);
        Rc::new(Self { stream, waiting: RefCell::default(), half_closed: Cell::new(false) })
    }

    /// Writes what the peer takes at once; the rest waits for [`Socket::drain`], and then `true` comes along.
    pub fn write(&self, bytes: &[u8]) -> (Wrote, bool) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.is_empty() {
            if waiting.len() + bytes.len() > UNREAD_MOST {
                return (Wrote::Nothing, false);
            }
            waiting.extend_from_slice(bytes);
            return (Wrote::Taken, false);
        }
        let mut done = 0;
        while done < bytes.len() {
            match self.stream.get_ref().write(&bytes[done..]) {
                Ok(0) => break,
                Ok(n) => done += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    waiting.extend_from_slice(&bytes[done..]);
                    return (Wrote::Taken, true);
                }
                Err(_) => return (if done == 0 { Wrote::Nothing } else { Wrote::Part }, false),
            }
        }
        (Wrote::Taken, false)
    }

    /// Writes what waits until nothing does, or the connection ends.
    pub async fn drain(&self) -> io::Result<()> {
        loop {
            self.stream.writable().await?;
            let mut waiting = self.waiting.borrow_mut();
            match self.stream.get_ref().write(&waiting) {
                Ok(n) => drop(waiting.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            if waiting.is_empty() {
                *waiting = Vec::new();
                if self.half_closed.get() {
                    self.shut();
                }
                return Ok(());
            }
        }
    }

    /// Waits until there is something to read, and reads it into `buffer`; 0 at the end.
    pub async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.stream.get_ref().read(&mut buffer.borrow_mut()) {
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                other => return other,
            }
        }
    }

    /// Writes what waits and then no more, and is still read.
    pub fn finish(&self) {
        self.half_closed.set(true);
        if self.waiting.borrow().is_empty() {
            self.shut();
        }
    }

    fn shut(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Ends the connection in both directions, for its reader too.
    pub fn close(&self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_waits_for_a_slow_peer_still_leaves_after_the_connection_is_finished() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
        let (mut peer, _) = listener.accept().expect("the other end");
        let socket = Socket::new(Async::new(stream).expect("a socket"));
        // More than the system takes for a peer that does not read.
        let (mut sent, mut waits) = (0, false);
        while !waits {
            let (wrote, rest) = socket.write(&[7; 64 * 1024]);
            assert_eq!(wrote, Wrote::Taken);
            (sent, waits) = (sent + 64 * 1024, rest);
        }
        assert_eq!(socket.write(b"given up").0, Wrote::Taken);
        socket.finish();
        let reader = std::thread::spawn(move || {
            let mut read = Vec::new();
            peer.read_to_end(&mut read).map(|_| read)
        });
        smol::block_on(socket.drain()).expect("all of it leaves");
        let read = reader.join().expect("the reader ends").expect("and sees a plain end");
        assert_eq!((read.len(), &read[sent..]), (sent + 8, &b"given up"[..]));
    }
}
