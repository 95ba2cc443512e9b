//! What the system tells of a process.

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
    // By inode: such a table may tell a line twice when others change while it is read.
    let mut all = BTreeMap::new();
    for kind in ["tcp", "tcp6", "udp", "udp6", "raw", "unix"] {
        let table = std::fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default();
        for line in table.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (at, state, inode) = if kind == "unix" { (7, 5, 6) } else { (1, 3, 9) };
            let field = |n: usize| fields.get(n).copied().unwrap_or("").to_owned();
            if own.contains(&field(inode)) {
                all.insert(field(inode), (kind, field(state), field(at)));
            }
        }
    }
    all.into_values().collect()
}

/// Whether something to a process is still on its way: bytes, an end or a connection that its peers' systems have sent and
/// that were not acknowledged. `at` is where it listens.
pub fn on_its_way(pid: u32, at: SocketAddr) -> bool {
    let mut own: Vec<String> = sockets(pid).into_iter().map(|(.., local)| local).collect();
    own.extend(written(at));
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap();
    table.lines().skip(1).any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let field = |n: usize| fields.get(n).copied().unwrap_or("");
        // A connection that is being made, or an end that was not acknowledged.
        let open = ["02", "04", "09", "0B"].contains(&field(3));
        own.iter().any(|own| own == field(2)) && (open || !field(4).starts_with("00000000:"))
    })
}

/// An address as the system's table writes it.
fn written(at: SocketAddr) -> Option<String> {
    let SocketAddr::V4(at) = at else { return None };
    let ip = u32::from_le_bytes(at.ip().octets());
    Some(format!("{ip:08X}:{:04X}", at.port()))
}

/// How a process's end of the connection from `peer` stands in the system's own table: its state (`01` is established), and
/// the bytes that lie unread; `None` where it is no more.
pub fn unread(pid: u32, peer: SocketAddr) -> Option<(String, usize)> {
    let remote = written(peer)?;
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let here = fields.get(2) == Some(&remote.as_str());
        let bytes = fields
            .get(4)
            .and_then(|queues| usize::from_str_radix(queues.split_once(':')?.1, 16).ok());
        here.then(|| (fields[3].to_owned(), bytes.unwrap_or(0)))
    })
}

/// Whether a process passes a test by now.
pub fn passes_a_test(at: SocketAddr) -> bool {
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
