//! A proxy before one machine: passes messages on, and resets a connection where the case says so.

use crate::platform::{Record, sleep};
use crate::wire::Message;
use std::collections::BTreeSet;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    ToMachine,
    ToScheduler,
}

/// Whether the connection is reset instead of passing this message on.
pub type Resets = Arc<dyn Fn(Way, &Message) -> bool + Send + Sync>;

/// Connections that wait to be accepted; beyond that none comes up.
const BACKLOG: i32 = 16;

/// The network before one machine.
pub struct Network {
    pub address: SocketAddr,
    /// Whether the machine is cut off: open connections stay open and silent, and new ones don't come up.
    is_cut_off: AtomicBool,
    /// Ports of the connections that fill the backlog while the machine is cut off.
    fillers: Mutex<BTreeSet<u16>>,
}

impl Network {
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::SeqCst)
    }

    /// Cuts the machine off for so many seconds.
    pub fn cut_off(&self, seconds: f64) {
        self.is_cut_off.store(true, Ordering::SeqCst);
        let mut open = Vec::new();
        // Accepted connections are dropped by their port.
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(50))
        {
            if let (Ok(local), Ok(mut fillers)) = (filler.local_addr(), self.fillers.lock()) {
                fillers.insert(local.port());
            }
            open.push(filler);
        }
        sleep(seconds);
        self.is_cut_off.store(false, Ordering::SeqCst);
        // Until the listener has dropped them.
        sleep(1.0);
    }
}

pub fn start(machine: SocketAddr, resets: Resets, record: &Record) -> io::Result<Arc<Network>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    // SAFETY: the descriptor is open.
    unsafe { listen(listener.as_raw_fd(), BACKLOG) };
    let network = Arc::new(Network {
        address: listener.local_addr()?,
        is_cut_off: AtomicBool::new(false),
        fillers: Mutex::default(),
    });
    let (this, record) = (network.clone(), record.clone());
    std::thread::spawn(move || {
        loop {
            while this.is_cut_off() {
                sleep(0.001);
            }
            let Ok((scheduler, from)) = listener.accept() else {
                continue;
            };
            if this
                .fillers
                .lock()
                .is_ok_and(|mut fillers| fillers.remove(&from.port()))
            {
                continue;
            }
            let (this, resets, record) = (this.clone(), resets.clone(), record.clone());
            std::thread::spawn(move || {
                if let Ok(machine) = TcpStream::connect(machine) {
                    let _ = relay(&this, scheduler, machine, &resets, &record);
                }
            });
        }
    });
    Ok(network)
}

/// One direction of a connection.
struct Half {
    way: Way,
    /// Bytes of a message that is not whole.
    bytes: Vec<u8>,
    has_ended: bool,
}

fn relay(
    network: &Network,
    scheduler: TcpStream,
    machine: TcpStream,
    resets: &Resets,
    record: &Record,
) -> io::Result<()> {
    for stream in [&scheduler, &machine] {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
    }
    let half = |way| Half {
        way,
        bytes: Vec::new(),
        has_ended: false,
    };
    let (mut up, mut down) = (half(Way::ToMachine), half(Way::ToScheduler));
    loop {
        while network.is_cut_off() {
            sleep(0.001);
        }
        let lost_up = pass_on(&mut up, &scheduler, &machine, resets)?;
        let lost_down = pass_on(&mut down, &machine, &scheduler, resets)?;
        if let Some((message, way)) = lost_up.or(lost_down) {
            record.line(&format!(
                "proxy: connection reset; message {} of {:016x} ({way:?}) is lost with it",
                message.kind, message.id
            ));
            reset(scheduler);
            reset(machine);
            return Ok(());
        }
        if up.has_ended && down.has_ended {
            return Ok(());
        }
        sleep(0.0005);
    }
}

/// Passes on what has arrived; returns the message at which the connection is to be reset.
fn pass_on(
    half: &mut Half,
    mut from: &TcpStream,
    mut to: &TcpStream,
    resets: &Resets,
) -> io::Result<Option<(Message, Way)>> {
    if half.has_ended {
        return Ok(None);
    }
    let mut buffer = [0; 16 * 1024];
    match from.read(&mut buffer) {
        Ok(0) => {
            half.has_ended = true;
            to.shutdown(std::net::Shutdown::Write)?;
        }
        Ok(read) => half.bytes.extend_from_slice(&buffer[..read]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    while let Some((message, length)) = Message::decode(&half.bytes) {
        if resets(half.way, &message) {
            return Ok(Some((message, half.way)));
        }
        let whole: Vec<u8> = half.bytes.drain(..length).collect();
        to.set_nonblocking(false)?;
        to.write_all(&whole)?;
        to.set_nonblocking(true)?;
    }
    Ok(None)
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
}

/// Closes a connection so that its peer sees a reset.
pub fn reset(stream: TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value lives until the call returns.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &linger,
            size_of::<Linger>() as u32,
        );
    }
}
