//! The state of a process's sockets according to `/proc`.

use super::{TEST_TIMEOUT, message};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of TCP connections of a process that are being established (`SYN_SENT`).
pub fn connecting_sockets(pid: u32) -> usize {
    sockets(pid)
        .iter()
        .filter(|(kind, state, _)| *kind == "tcp" && state == "02")
        .count()
}

/// Sockets of a process: kind, state and local address; for Unix sockets the path instead of the address.
pub fn sockets(pid: u32) -> Vec<(&'static str, String, String)> {
    let link = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let own_inodes: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten()
        .filter_map(link)
        .filter_map(|target| {
            Some(
                target
                    .to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_owned(),
            )
        })
        .collect();
    // Keyed by inode, because a table that changes while it is read may repeat a line.
    let mut all = BTreeMap::new();
    for kind in ["tcp", "tcp6", "udp", "udp6", "raw", "unix"] {
        for line in socket_table(pid, kind).unwrap_or_default() {
            let (address, state, inode) = if kind == "unix" {
                (7, 5, 6)
            } else {
                (LOCAL_ADDRESS, STATE, INODE)
            };
            let inode = line.field(inode);
            if own_inodes.iter().any(|own| own == inode) {
                let socket = (
                    kind,
                    line.field(state).to_owned(),
                    line.field(address).to_owned(),
                );
                all.insert(inode.to_owned(), socket);
            }
        }
    }
    all.into_values().collect()
}

/// Columns of `/proc/PID/net/tcp` and of the tables of UDP and raw sockets.
const LOCAL_ADDRESS: usize = 1;
const REMOTE_ADDRESS: usize = 2;
const STATE: usize = 3;
const QUEUES: usize = 4;
const INODE: usize = 9;

/// A line of a socket table, split into columns.
struct SocketLine(Vec<String>);

impl SocketLine {
    /// The text of a column; empty if the line has fewer.
    fn field(&self, column: usize) -> &str {
        self.0.get(column).map_or("", String::as_str)
    }
}

/// Reads the table of sockets of a kind in the network namespace of a process.
fn socket_table(pid: u32, kind: &str) -> std::io::Result<Vec<SocketLine>> {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/{kind}"))?;
    let read = |line: &str| SocketLine(line.split_whitespace().map(str::to_owned).collect());
    Ok(table.lines().skip(1).map(read).collect())
}

/// Whether bytes, a FIN or a connection that was sent to a process has not been acknowledged yet. `address` is the one
/// that the process listens on.
pub fn is_in_transit(pid: u32, address: SocketAddr) -> bool {
    let mut own: Vec<String> = sockets(pid).into_iter().map(|(.., local)| local).collect();
    own.extend(table_address(address));
    let table = socket_table(pid, "tcp").unwrap();
    table.iter().any(|line| {
        // SYN_SENT, FIN_WAIT1, LAST_ACK and CLOSING: a connection that is being established, or a FIN that was not
        // acknowledged.
        let is_open = ["02", "04", "09", "0B"].contains(&line.field(STATE));
        let is_to_process = own.iter().any(|own| own == line.field(REMOTE_ADDRESS));
        is_to_process && (is_open || !line.field(QUEUES).starts_with("00000000:"))
    })
}

/// An IPv4 address in the format of the socket tables.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// A process's end of a TCP connection.
pub struct ConnectionEnd {
    /// Hexadecimal state of the socket table; `01` is `ESTABLISHED`.
    pub state: String,
    pub unread_bytes: usize,
}

/// A process's end of the connection from `peer`; `None` once it is gone.
pub fn connection_end(pid: u32, peer: SocketAddr) -> Option<ConnectionEnd> {
    let remote = table_address(peer)?;
    // The table has the sockets of all processes, and connections to others may come from the same address and port.
    let own: Vec<String> = sockets(pid).into_iter().map(|(.., local)| local).collect();
    let table = socket_table(pid, "tcp").unwrap();
    let line = table.iter().find(|line| {
        let is_own = own.iter().any(|own| own == line.field(LOCAL_ADDRESS));
        is_own && line.field(REMOTE_ADDRESS) == remote
    })?;
    let received = line.field(QUEUES).split_once(':').map(|queues| queues.1);
    let bytes = received.and_then(|bytes| usize::from_str_radix(bytes, 16).ok());
    Some(ConnectionEnd {
        state: line.field(STATE).to_owned(),
        unread_bytes: bytes.unwrap_or(0),
    })
}

/// Whether a process answers a health check at this address.
pub fn passes_health_check(address: SocketAddr) -> bool {
    let passed = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.write_all(&message(52, 9, &[(222, &[0])]))?;
        let mut answer = [0; 3];
        stream.read_exact(&mut answer)?;
        Ok(answer[2] == 53)
    };
    passed().unwrap_or(false)
}

/// An address that no other test uses, in this process or in another: a released port of 127.0.0.1 may be assigned to
/// another process before the program binds it. The socket is bound but does not listen: a child process that another
/// test starts at this moment inherits it until it executes its program, and a listening socket would accept
/// connections that nobody serves.
pub fn reserve_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (n, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = [127, 77 + (pid / 250 % 100) as u8, n, 1 + (pid % 250) as u8];
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}
