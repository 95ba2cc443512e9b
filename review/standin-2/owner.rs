//! An owner: sends set-ups and ends on one connection, and notes what arrives there.

use crate::platform::{Record, sleep};
use crate::wire::{self, Message};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A message from the scheduler.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub kind: u8,
    pub id: u64,
    pub cause: u8,
}

#[derive(Default)]
struct Inbox {
    received: Vec<Received>,
    /// When the scheduler ended the connection.
    ended_at: Option<Instant>,
}

/// One connection of an owner.
pub struct Owner {
    pub name: String,
    stream: Mutex<TcpStream>,
    inbox: Arc<Mutex<Inbox>>,
    record: Record,
}

/// What a set-up asks for.
pub struct Ask<'a> {
    pub id: u64,
    pub class: &'a str,
    pub task: &'a str,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
    /// How long the task runs, in seconds.
    pub life: f64,
    /// How long the owner waits, in seconds.
    pub patience: f64,
    pub is_retry: bool,
}

impl Ask<'_> {
    fn message(&self) -> Message {
        let mut message = Message::new(wire::SET_UP, self.id)
            .with(wire::CLASS, self.class.as_bytes())
            .with(
                wire::TIMEOUT,
                format!("{:.0}", self.patience * 1000.0).as_bytes(),
            );
        if self.is_retry {
            message = message.with(wire::RETRY, b"1");
        }
        message
            .with(wire::NAME, self.task.as_bytes())
            .with(wire::HINT, format!("{:.1}", self.life * 1000.0).as_bytes())
            .with(
                wire::REQUESTED,
                format!(
                    "cores:{};memory:{};service:{:016x}",
                    self.cores, self.memory, self.service
                )
                .as_bytes(),
            )
            .with(
                wire::DESCRIPTION,
                format!(
                    "cores:{};memory:{};life:{}",
                    self.cores, self.memory, self.life
                )
                .as_bytes(),
            )
    }
}

impl Owner {
    /// Connects from a loopback address; `says_heard` tells whether each release is answered with 'release heard'.
    pub fn connect(
        name: &str,
        from: Ipv4Addr,
        to: SocketAddr,
        says_heard: bool,
        record: &Record,
    ) -> io::Result<Self> {
        let stream = connect_from(from, to)?;
        stream.set_nodelay(true)?;
        record.line(&format!("{name}: connected from {from}"));
        let owner = Self {
            name: name.to_owned(),
            stream: Mutex::new(stream.try_clone()?),
            inbox: Arc::default(),
            record: record.clone(),
        };
        let (mut reader, mut writer) = (stream.try_clone()?, stream);
        let (inbox, record, name) = (owner.inbox.clone(), record.clone(), name.to_owned());
        std::thread::spawn(move || {
            while let Ok(Some(message)) = Message::read(&mut reader) {
                let received = Received {
                    at: Instant::now(),
                    kind: message.kind,
                    id: message.id,
                    cause: message.cause(),
                };
                let what = match message.kind {
                    wire::ANSWER => "answer".to_owned(),
                    wire::RELEASE => format!("release, cause {}", received.cause),
                    wire::HEARD => "release heard".to_owned(),
                    kind => format!("message {kind}"),
                };
                record.line(&format!("{name}: received {what} of {:016x}", message.id));
                if let Ok(mut inbox) = inbox.lock() {
                    inbox.received.push(received);
                }
                if message.kind == wire::RELEASE && says_heard {
                    let heard = Message::new(wire::HEARD, message.id).encode();
                    let _ = writer.write_all(&heard);
                }
            }
            record.line(&format!("{name}: the connection has ended"));
            if let Ok(mut inbox) = inbox.lock() {
                inbox.ended_at = Some(Instant::now());
            }
        });
        Ok(owner)
    }

    /// Sends a set-up; returns when its last byte was written.
    pub fn ask(&self, ask: &Ask) -> io::Result<Instant> {
        self.send(&ask.message())?;
        self.record.line(&format!(
            "{}: set-up {:016x} of task {}{}",
            self.name,
            ask.id,
            ask.task,
            if ask.is_retry { " (again)" } else { "" }
        ));
        Ok(Instant::now())
    }

    /// Ends a task that stands.
    pub fn end(&self, id: u64) -> io::Result<()> {
        self.send(&Message::release(id, 16))?;
        self.record
            .line(&format!("{}: ends task {id:016x}", self.name));
        Ok(())
    }

    fn send(&self, message: &Message) -> io::Result<()> {
        let mut stream = self.stream.lock().unwrap_or_else(|e| e.into_inner());
        stream.write_all(&message.encode())
    }

    pub fn received(&self) -> Vec<Received> {
        self.inbox.lock().map_or(Vec::new(), |i| i.received.clone())
    }

    pub fn ended_at(&self) -> Option<Instant> {
        self.inbox.lock().ok().and_then(|inbox| inbox.ended_at)
    }

    /// The first message of this kind about a task.
    pub fn find(&self, kind: u8, id: u64) -> Option<Received> {
        let mut received = self.received().into_iter();
        received.find(|received| received.kind == kind && received.id == id)
    }

    /// Waits for the first message of this kind about a task.
    pub fn wait_for(&self, kind: u8, id: u64, seconds: f64) -> Option<Received> {
        let start = Instant::now();
        loop {
            if let Some(found) = self.find(kind, id) {
                return Some(found);
            }
            if start.elapsed().as_secs_f64() > seconds {
                return None;
            }
            sleep(0.005);
        }
    }
}

/// Whether the scheduler passes a test on a new connection.
pub fn passes_test(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let test = Message::new(wire::TEST, 0).with(wire::CAUSE, &[0]);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    stream.write_all(&test.encode()).is_ok()
        && matches!(Message::read(&mut stream), Ok(Some(message)) if message.kind == wire::TEST_PASSED)
}

/// A bad client: sends hundreds of requests of a class that does not exist at once, reads what is sent to it, and does
/// the same again as soon as it is turned away, for `seconds`. Returns how often it was turned away.
pub fn hundreds_at_once(address: SocketAddr, number: usize, seconds: f64) -> usize {
    const AT_ONCE: usize = 300;
    let begin = Instant::now();
    let elapsed = || begin.elapsed().as_secs_f64();
    let mut bytes = Vec::new();
    for n in 0..AT_ONCE {
        let set_up = Message::new(wire::SET_UP, 0xbad_0000 + (number * AT_ONCE + n) as u64)
            .with(wire::CLASS, b"no-such-class")
            .with(wire::TIMEOUT, b"6000")
            .with(wire::NAME, b"7f3a9c21e0b4d655")
            .with(wire::HINT, b"8200.0")
            .with(
                wire::REQUESTED,
                b"cores:1;memory:2;service:00000000b4d65521",
            )
            .with(wire::DESCRIPTION, b"v=0");
        bytes.extend(set_up.encode());
    }
    let mut turned_away = 0;
    let mut buffer = [0; 4096];
    while elapsed() < seconds {
        let timeout = Duration::from_secs_f64((seconds - elapsed()).max(0.1));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
            sleep(0.01);
            continue;
        };
        let _ = stream.set_nonblocking(true);
        let mut sent = 0;
        while elapsed() < seconds {
            match std::io::Read::read(&mut stream, &mut buffer) {
                Ok(0) => break,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => break,
                _ => {}
            }
            match stream.write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            sleep(0.001);
        }
        turned_away += usize::from(elapsed() < seconds);
    }
    turned_away
}

/// What a bad client sends, besides what [`hundreds_at_once`] sends.
#[derive(Clone, Copy)]
pub enum Rudeness {
    /// Hundreds of set-ups with `at`, with ids that no machine knows, at machines that do not exist.
    UnknownIds,
    /// Set-ups with figures out of range (no machine admits so many cores) and a long description, at once.
    OutOfRange,
    /// Three such set-ups and half a request.
    HalfARequest,
}

/// A bad client: sends what `rudeness` says, reads what is sent to it, and does the same again as soon as it is turned
/// away, for `seconds`.
pub fn bad_client(rudeness: Rudeness, address: SocketAddr, number: u64, seconds: f64) {
    const LONG: usize = 15_500;
    let begin = Instant::now();
    let time_left = || seconds - begin.elapsed().as_secs_f64();
    let mut last_id = number << 32;
    let mut set_up = |cores: &str, at: bool, description: usize| {
        last_id += 1;
        let mut requested = format!("cores:{cores};memory:1;service:{last_id:016x}");
        if at {
            requested += &format!(";at:s-{last_id:016x}{}", "0".repeat(LONG));
        }
        Message::new(wire::SET_UP, last_id)
            .with(wire::CLASS, b"termin-web")
            .with(wire::TIMEOUT, b"6000")
            .with(wire::NAME, format!("{last_id:016x}").as_bytes())
            .with(wire::REQUESTED, requested.as_bytes())
            .with(wire::DESCRIPTION, &vec![b'x'; description])
            .encode()
    };
    let mut buffer = [0; 16 * 1024];
    while time_left() > 0.0 {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        let bytes: Vec<u8> = match rudeness {
            Rudeness::UnknownIds => (0..300).flat_map(|_| set_up("1", true, 10)).collect(),
            Rudeness::OutOfRange => (0..40).flat_map(|_| set_up("118", false, LONG)).collect(),
            Rudeness::HalfARequest => {
                let mut bytes: Vec<u8> = (0..4).flat_map(|_| set_up("118", false, LONG)).collect();
                bytes.pop();
                bytes
            }
        };
        let mut sent = 0;
        while time_left() > 0.0 {
            if sent < bytes.len() {
                let end = bytes.len().min(sent + 64 * 1024);
                match stream.write(&bytes[sent..end]) {
                    Ok(n) => sent += n,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
                if sent < bytes.len() {
                    continue;
                }
            }
            match std::io::Read::read(&mut stream, &mut buffer) {
                Ok(0) => break,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => break,
                _ => {}
            }
        }
    }
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SocketAddress, size: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, size: u32) -> i32;
}

fn socket_address(address: Ipv4Addr, port: u16) -> SocketAddress {
    const AF_INET: u16 = 2;
    SocketAddress {
        family: AF_INET,
        port: port.to_be_bytes(),
        address: address.octets(),
        zero: [0; 8],
    }
}

/// Connects from this source address; the standard library can't choose one.
fn connect_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(to) = to else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let size = size_of::<SocketAddress>() as u32;
    // SAFETY: the addresses live until the calls return, and the descriptor has no other owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // On Linux this also bounds the time for `connect`.
        stream.set_write_timeout(Some(Duration::from_secs(3)))?;
        if bind(fd, &socket_address(from, 0), size) != 0
            || connect(fd, &socket_address(*to.ip(), to.port()), size) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
