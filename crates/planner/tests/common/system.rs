//! What the system's tables say of a process and its sockets.

use super::{PATIENCE, message};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};

/// Connections that a process is making, by the system's own tables.
pub fn dials(pid: u32) -> usize {
    sockets(pid)
        .iter()
        .filter(|(kind, state, _)| *kind == "tcp" && state == "02")
        .count()
}

/// Sockets of a process by kind, with state and local address, from the system's own tables.
pub fn sockets(pid: u32) -> Vec<(&'static str, String, String)> {
    let link = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let own: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten()
        .filter_map(link)
        .filter_map(|to| {
            Some(
                to.to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_owned(),
            )
        })
        .collect();
    // By inode, as a table may repeat a line when others change while it is read.
    let mut all = BTreeMap::new();
    for kind in ["tcp", "tcp6", "udp", "udp6", "raw", "unix"] {
        for line in socket_table(pid, kind).unwrap_or_default() {
            let (at, state, inode) = if kind == "unix" {
                (7, 5, 6)
            } else {
                (LOCAL_ADDRESS, STATE, INODE)
            };
            let inode = line.field(inode);
            if own.iter().any(|own| own == inode) {
                let socket = (
                    kind,
                    line.field(state).to_owned(),
                    line.field(at).to_owned(),
                );
                all.insert(inode.to_owned(), socket);
            }
        }
    }
    all.into_values().collect()
}

/// Columns of the system's tables of TCP, UDP and raw sockets.
const LOCAL_ADDRESS: usize = 1;
const REMOTE_ADDRESS: usize = 2;
const STATE: usize = 3;
const QUEUES: usize = 4;
const INODE: usize = 9;

/// A line of one of the system's socket tables.
struct SocketLine(Vec<String>);

impl SocketLine {
    /// A column; empty where the line has none.
    fn field(&self, column: usize) -> &str {
        self.0.get(column).map_or("", String::as_str)
    }
}

/// The system's table of sockets of a kind, as a process sees it.
fn socket_table(pid: u32, kind: &str) -> std::io::Result<Vec<SocketLine>> {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/{kind}"))?;
    let read = |line: &str| SocketLine(line.split_whitespace().map(str::to_owned).collect());
    Ok(table.lines().skip(1).map(read).collect())
}

/// Whether something to a process is still in transit: bytes, an end or a connection that its peers' systems have sent and
/// that were not acknowledged. `at` is where it listens.
pub fn is_in_transit(pid: u32, at: SocketAddr) -> bool {
    let mut own: Vec<String> = sockets(pid).into_iter().map(|(.., local)| local).collect();
    own.extend(table_address(at));
    let table = socket_table(pid, "tcp").unwrap();
    table.iter().any(|line| {
        // A connection that is being made, or an end that was not acknowledged.
        let is_open = ["02", "04", "09", "0B"].contains(&line.field(STATE));
        let is_to_process = own.iter().any(|own| own == line.field(REMOTE_ADDRESS));
        is_to_process && (is_open || !line.field(QUEUES).starts_with("00000000:"))
    })
}

/// An address as the system's table writes it.
fn table_address(at: SocketAddr) -> Option<String> {
    let SocketAddr::V4(at) = at else { return None };
    let ip = u32::from_le_bytes(at.ip().octets());
    Some(format!("{ip:08X}:{:04X}", at.port()))
}

/// A process's end of a connection in the system's table.
pub struct ConnectionEnd {
    /// `01` is established.
    pub state: String,
    pub unread_bytes: usize,
}

/// A process's end of the connection from `peer`; `None` where it is no more.
pub fn connection_end(pid: u32, peer: SocketAddr) -> Option<ConnectionEnd> {
    let remote = table_address(peer)?;
    let table = socket_table(pid, "tcp").unwrap();
    let line = table
        .iter()
        .find(|line| line.field(REMOTE_ADDRESS) == remote)?;
    let received = line.field(QUEUES).split_once(':').map(|queues| queues.1);
    let bytes = received.and_then(|bytes| usize::from_str_radix(bytes, 16).ok());
    Some(ConnectionEnd {
        state: line.field(STATE).to_owned(),
        unread_bytes: bytes.unwrap_or(0),
    })
}

/// Whether a process answers a health check by now.
pub fn passes_health_check(at: SocketAddr) -> bool {
    let passed = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(&message(52, 9, &[(222, &[0])]))?;
        let mut heard = [0; 3];
        stream.read_exact(&mut heard)?;
        Ok(heard[2] == 53)
    };
    passed().unwrap_or(false)
}

/// An address that no other test gets, in this process or beside it: a port of 127.0.0.1 that was let go may be given
/// to anybody before the program binds it. Bound and never listened at: a process that another test starts at this moment
/// holds what is open here for a while, and a listener would take connections to their end.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = [
        127,
        77 + (process / 250 % 100) as u8,
        n,
        1 + (process % 250) as u8,
    ];
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}
