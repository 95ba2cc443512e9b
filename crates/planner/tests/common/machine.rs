//! Machines that hear on all of their connections at once.
#![allow(dead_code, reason = "each test file uses a part")]

use super::{PATIENCE, listen, message, next, set_up};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const RELEASE: u8 = 12;

pub struct Machine {
    listener: TcpListener,
    pub at: SocketAddr,
    /// Those it has closed are none.
    connections: Vec<(Option<TcpStream>, Vec<u8>)>,
    heard: VecDeque<(usize, u8, u64)>,
}

impl Machine {
    pub fn new() -> Self {
        let (listener, at) = listen();
        listener.set_nonblocking(true).unwrap();
        Self {
            listener,
            at,
            connections: Vec::new(),
            heard: VecDeque::new(),
        }
    }

    fn look(&mut self) {
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
                    self.heard.push_back((n, kind, id));
                }
            }
        }
    }

    /// What it heard next, if anything: on which connection, type, id.
    pub fn hears(&mut self) -> Option<(usize, u8, u64)> {
        self.look();
        self.heard.pop_front()
    }

    /// The next set-up that it hears: on which connection, and its id.
    pub fn next_set_up(&mut self) -> (usize, u64) {
        let began = Instant::now();
        loop {
            match self.hears() {
                Some((connection, SET_UP, id)) => return (connection, id),
                Some(_) => {}
                None => std::thread::sleep(Duration::from_millis(1)),
            }
            assert!(began.elapsed() < PATIENCE, "no set-up came");
        }
    }

    /// A task of this owner is placed here: the connection of its offer.
    pub fn places(&mut self, owner: &mut TcpStream, id: u64) -> usize {
        owner.write_all(&set_up(id)).unwrap();
        let (connection, heard) = self.next_set_up();
        assert_eq!(heard, id);
        self.accepts(connection, id);
        let answer = next(owner);
        assert_eq!((answer.0, answer.1), (9, id));
        connection
    }

    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    pub fn says(&mut self, connection: usize, bytes: &[u8]) {
        match self.connections[connection]
            .0
            .as_mut()
            .expect("it is open")
            .write_all(bytes)
        {
            Err(e) if e.kind() == ErrorKind::WouldBlock => panic!("it takes nothing"),
            other => other.unwrap(),
        }
    }

    /// Closes one of its connections, as it does with one that is idle.
    pub fn closes(&mut self, connection: usize) {
        self.connections[connection].0 = None;
    }

    pub fn accepts(&mut self, connection: usize, id: u64) {
        self.says(connection, &message(9, id, &[(225, b"own")]));
    }
}
