//! A connection whose peer reads nothing, on real sockets.

use async_io::Async;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use tidespur_gateway_net::socket::{Socket, WriteOutcome};

fn pair() -> (Socket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    let (peer, _) = listener.accept().expect("the other end");
    (Socket::new(Async::new(stream).expect("a socket")), peer)
}

/// Fills it with what the system takes for a peer that does not read; tells how much, with what waits.
fn fill(socket: &Socket) -> usize {
    let (mut sent, mut waits) = (0, false);
    while !waits {
        let (wrote, drain) = socket.write(&[7; 64 * 1024]);
        assert_eq!(wrote, WriteOutcome::Accepted);
        (sent, waits) = (sent + 64 * 1024, drain);
    }
    sent
}

fn read_all(mut peer: TcpStream) -> std::thread::JoinHandle<std::io::Result<Vec<u8>>> {
    std::thread::spawn(move || {
        let mut read = Vec::new();
        peer.read_to_end(&mut read).map(|_| read)
    })
}

#[test]
fn what_waits_for_a_slow_peer_still_leaves_after_the_connection_is_half_closed() {
    let (socket, peer) = pair();
    let sent = fill(&socket);
    assert_eq!(socket.write(b"cancelled").0, WriteOutcome::Accepted);
    socket.half_close();
    let reader = read_all(peer);
    smol::block_on(socket.drain()).expect("all of it leaves");
    let read = reader
        .join()
        .expect("the reader ends")
        .expect("and sees a plain end");
    assert_eq!((read.len(), &read[sent..]), (sent + 9, &b"cancelled"[..]));
}

#[test]
fn a_set_up_for_a_peer_that_does_not_read_stays_here() {
    let (socket, peer) = pair();
    let sent = fill(&socket);
    let (wrote, drain) = socket.try_write(b"set-up");
    assert_eq!(
        (wrote, drain),
        (WriteOutcome::Blocked, false),
        "somebody sees to what waits already"
    );
    let reader = read_all(peer);
    smol::block_on(socket.drain()).expect("all of it leaves");
    assert_eq!(socket.try_write(b"after").0, WriteOutcome::Accepted);
    socket.half_close();
    let read = reader
        .join()
        .expect("the reader ends")
        .expect("and sees a plain end");
    assert_eq!(read.len(), sent + 5, "the set-up never left");
}

#[test]
fn a_set_up_that_leaves_in_part_is_told_so() {
    let (socket, _peer) = pair();
    // Set-ups as large as can be, until one does not go whole.
    let told = (0..)
        .map(|_| socket.try_write(&[7; 16 * 1024]).0)
        .find(|wrote| *wrote != WriteOutcome::Accepted);
    assert!(
        matches!(
            told,
            Some(WriteOutcome::PartiallyWritten | WriteOutcome::Blocked)
        ),
        "{told:?}"
    );
    assert_eq!(socket.is_flushed(), told == Some(WriteOutcome::Blocked));
    assert_eq!(socket.try_write(b"next").0, WriteOutcome::Blocked);
}

#[test]
fn bytes_that_come_while_it_closes_do_not_reset_what_is_on_its_way() {
    let (socket, mut peer) = pair();
    assert_eq!(socket.write(b"answer").0, WriteOutcome::Accepted);
    // They lie unread when it is closed; a plain close over them is a reset.
    peer.write_all(&[1; 1000]).expect("they fit");
    socket.half_close();
    let mut answer = Vec::new();
    peer.read_to_end(&mut answer).expect("a plain end");
    assert_eq!(answer, b"answer");
    drop(peer);
    smol::block_on(socket.discard(&RefCell::new(vec![0; 1024])));
}

#[test]
fn one_that_never_stops_is_not_read_without_end() {
    let (socket, mut peer) = pair();
    socket.half_close();
    let writer = std::thread::spawn(move || {
        let mut wrote = 0usize;
        while peer.write_all(&[1; 16 * 1024]).is_ok() {
            wrote += 16 * 1024;
        }
        wrote
    });
    smol::block_on(socket.discard(&RefCell::new(vec![0; 16 * 1024])));
    drop(socket);
    assert!(writer.join().expect("it ends") >= 256 * 1024);
}
