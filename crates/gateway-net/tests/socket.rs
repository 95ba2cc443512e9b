//! Partial writes, half-close and discard on real TCP connections with a slow peer.

use async_io::Async;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use tidespur_gateway::byte_budget::ByteBudget;
use tidespur_gateway_net::socket::{Socket, WriteOutcome};
use tidespur_gateway_net::unsent::SharedBudget;

fn connected_pair() -> (Socket, TcpStream) {
    connected_pair_within(&SharedBudget::default())
}

fn connected_pair_within(budget: &SharedBudget) -> (Socket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener is bound");
    let stream = TcpStream::connect(listener.local_addr().expect("listener has an address"))
        .expect("connection is made");
    let (peer, _) = listener.accept().expect("connection is accepted");
    (
        Socket::new(
            Async::new(stream).expect("socket is registered"),
            budget.clone(),
        ),
        peer,
    )
}

/// Writes until the system's buffers are full and bytes are left unsent. Returns the number of bytes written, the
/// unsent ones included.
fn fill(socket: &Socket) -> usize {
    let (mut written, mut has_unsent) = (0, false);
    while !has_unsent {
        let (outcome, must_drain) = socket.write(&[7; 64 * 1024]);
        assert_eq!(outcome, WriteOutcome::Accepted);
        (written, has_unsent) = (written + 64 * 1024, must_drain);
    }
    written
}

fn spawn_reader(mut peer: TcpStream) -> std::thread::JoinHandle<std::io::Result<Vec<u8>>> {
    std::thread::spawn(move || {
        let mut read = Vec::new();
        peer.read_to_end(&mut read).map(|_| read)
    })
}

#[test]
fn unsent_bytes_are_sent_after_half_close() {
    let (socket, peer) = connected_pair();
    let written = fill(&socket);
    assert_eq!(socket.write(b"cancelled").0, WriteOutcome::Accepted);
    socket.half_close();
    let reader = spawn_reader(peer);
    smol::block_on(socket.drain()).expect("all bytes are sent");
    let read = reader
        .join()
        .expect("reader thread ends")
        .expect("connection ends without a reset");
    assert_eq!(
        (read.len(), &read[written..]),
        (written + 9, &b"cancelled"[..])
    );
}

#[test]
fn try_write_sends_nothing_while_bytes_are_unsent() {
    let (socket, peer) = connected_pair();
    let written = fill(&socket);
    let (outcome, must_drain) = socket.try_write(b"set-up");
    assert_eq!(
        (outcome, must_drain),
        (WriteOutcome::Blocked, false),
        "the unsent bytes are being drained already"
    );
    let reader = spawn_reader(peer);
    smol::block_on(socket.drain()).expect("all bytes are sent");
    assert_eq!(socket.try_write(b"after").0, WriteOutcome::Accepted);
    socket.half_close();
    let read = reader
        .join()
        .expect("reader thread ends")
        .expect("connection ends without a reset");
    assert_eq!(read.len(), written + 5, "the set-up was never sent");
}

#[test]
fn try_write_reports_a_partial_write() {
    let (socket, _peer) = connected_pair();
    // Large messages, until one is not sent completely.
    let outcome = (0..)
        .map(|_| socket.try_write(&[7; 16 * 1024]).0)
        .find(|outcome| *outcome != WriteOutcome::Accepted);
    assert!(
        matches!(
            outcome,
            Some(WriteOutcome::PartiallyWritten | WriteOutcome::Blocked)
        ),
        "{outcome:?}"
    );
    assert_eq!(socket.is_flushed(), outcome == Some(WriteOutcome::Blocked));
    assert_eq!(socket.try_write(b"next").0, WriteOutcome::Blocked);
}

#[test]
fn bytes_received_during_the_close_do_not_reset_the_connection() {
    let (socket, mut peer) = connected_pair();
    assert_eq!(socket.write(b"answer").0, WriteOutcome::Accepted);
    // Unread when the socket is half-closed. Without the discard the close would reset the connection.
    peer.write_all(&[1; 1000]).expect("bytes are buffered");
    socket.half_close();
    let mut answer = Vec::new();
    peer.read_to_end(&mut answer)
        .expect("connection ends without a reset");
    assert_eq!(answer, b"answer");
    drop(peer);
    smol::block_on(socket.discard(&RefCell::new(vec![0; 1024])));
}

#[test]
fn discard_is_bounded_if_the_peer_never_stops_sending() {
    let (socket, mut peer) = connected_pair();
    socket.half_close();
    let writer = std::thread::spawn(move || {
        let mut written = 0usize;
        while peer.write_all(&[1; 16 * 1024]).is_ok() {
            written += 16 * 1024;
        }
        written
    });
    smol::block_on(socket.discard(&RefCell::new(vec![0; 16 * 1024])));
    drop(socket);
    assert!(writer.join().expect("writer ends") >= 256 * 1024);
}

/// Guards against clients that don't read and together use more memory than the process has.
#[test]
fn sockets_share_a_budget_for_unsent_bytes_and_give_it_back() {
    let budget: SharedBudget = Rc::new(RefCell::new(ByteBudget::new(1 << 20)));
    let mut pairs = Vec::new();
    for _ in 0..10 {
        let (socket, peer) = connected_pair_within(&budget);
        let is_full = |outcome| matches!(outcome, WriteOutcome::NotWritten | WriteOutcome::Failed);
        while !is_full(socket.write(&[7; 16 * 1024]).0) {}
        pairs.push((socket, peer));
        assert!(budget.borrow().used() <= 1 << 20);
    }
    assert!(budget.borrow().used() > 0);
    drop(pairs);
    assert_eq!(budget.borrow().used(), 0);
}
