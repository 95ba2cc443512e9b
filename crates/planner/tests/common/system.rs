//! What the system tells of a process.

use std::collections::BTreeMap;

/// Connections that a process is making, by the system's own tables.
pub fn dials(pid: u32) -> usize {
    sockets(pid).iter().filter(|(kind, state, _)| *kind == "tcp" && state == "02").count()
}

/// Sockets of a process by kind, with state and local address, from the system's own tables.
pub fn sockets(pid: u32) -> Vec<(&'static str, String, String)> {
    let link = |entry: std::fs::DirEntry| std::fs::read_link(entry.path()).ok();
    let own: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten()
        .filter_map(link)
        .filter_map(|to| Some(to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
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
