//! A proxy before one machine: passes messages on, and resets a connection where the case says so.

use crate::platform::{Record, sleep};
use crate::wire::Message;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    ToMachine,
    ToScheduler,
}

/// Whether the connection is reset instead of passing this message on.
pub type Resets = Arc<dyn Fn(Way, &Message) -> bool + Send + Sync>;

pub fn start(machine: SocketAddr, resets: Resets, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    std::thread::spawn(move || {
        for scheduler in listener.incoming().flatten() {
            let (resets, record) = (resets.clone(), record.clone());
            std::thread::spawn(move || {
                if let Ok(machine) = TcpStream::connect(machine) {
                    let _ = relay(scheduler, machine, &resets, &record);
                }
            });
        }
    });
    Ok(address)
}

/// One direction of a connection.
struct Half {
    way: Way,
    /// Bytes of a message that is not whole.
    bytes: Vec<u8>,
    has_ended: bool,
}

fn relay(
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
