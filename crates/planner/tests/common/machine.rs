//! A machine of the operators' platform that serves all of its connections at once.
#![allow(dead_code, reason = "no test file uses all helpers")]

use super::{TEST_TIMEOUT, listen, message, read_message, set_up};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const RELEASE: u8 = 12;

pub struct Machine {
    listener: TcpListener,
    pub address: SocketAddr,
    /// In the order of acceptance: the stream, `None` once it is closed, and the received bytes that were not decoded
    /// yet.
    connections: Vec<(Option<TcpStream>, Vec<u8>)>,
    /// Decoded messages: index of the connection, type and id.
    received: VecDeque<(usize, u8, u64)>,
}

impl Machine {
    pub fn new() -> Self {
        let (listener, address) = listen();
        listener.set_nonblocking(true).unwrap();
        Self {
            listener,
            address,
            connections: Vec::new(),
            received: VecDeque::new(),
        }
    }

    /// Accepts connections, reads all bytes that have arrived, and answers health checks.
    fn poll(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            self.connections.push((Some(stream), Vec::new()));
        }
        for (n, (stream, bytes)) in self.connections.iter_mut().enumerate() {
            let Some(stream) = stream else { continue };
            let mut buffer = [0; 16 * 1024];
            while let Ok(read) = stream.read(&mut buffer)
                && read > 0
            {
                bytes.extend_from_slice(&buffer[..read]);
            }
            while bytes.len() >= 11 {
                let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
                let Some(body) = bytes.get(2..2 + length) else {
                    break;
                };
                let (kind, id) = (body[0], u64::from_be_bytes(body[1..9].try_into().unwrap()));
                bytes.drain(..2 + length);
                if kind == 52 {
                    let _ = stream.write_all(&message(53, id, &[(222, &[1])]));
                } else {
                    self.received.push_back((n, kind, id));
                }
            }
        }
    }

    /// The next message that has arrived: index of the connection, type and id.
    pub fn poll_message(&mut self) -> Option<(usize, u8, u64)> {
        self.poll();
        self.received.pop_front()
    }

    /// Waits for the next set-up: index of the connection, and id of the task.
    pub fn wait_for_set_up(&mut self) -> (usize, u64) {
        let start = Instant::now();
        loop {
            match self.poll_message() {
                Some((connection, SET_UP, id)) => return (connection, id),
                Some(_) => {}
                None => std::thread::sleep(Duration::from_millis(1)),
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "no set-up arrived");
        }
    }

    /// Places a task of this owner here. Returns the index of the connection with its offer.
    pub fn place_task(&mut self, owner: &mut TcpStream, id: u64) -> usize {
        owner.write_all(&set_up(id)).unwrap();
        let (connection, received) = self.wait_for_set_up();
        assert_eq!(received, id);
        self.accept_task(connection, id);
        let answer = read_message(owner);
        assert_eq!((answer.0, answer.1), (9, id));
        connection
    }

    /// Number of accepted connections, including closed ones.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sends bytes on a connection.
    pub fn send(&mut self, connection: usize, bytes: &[u8]) {
        match self.connections[connection]
            .0
            .as_mut()
            .expect("the connection is open")
            .write_all(bytes)
        {
            Err(e) if e.kind() == ErrorKind::WouldBlock => panic!("the send buffer is full"),
            other => other.unwrap(),
        }
    }

    /// Closes a connection, as a machine does with an idle one.
    pub fn close(&mut self, connection: usize) {
        self.connections[connection].0 = None;
    }

    /// Accepts the task of a set-up.
    pub fn accept_task(&mut self, connection: usize, id: u64) {
        self.send(connection, &message(9, id, &[(225, b"own")]));
    }
}
