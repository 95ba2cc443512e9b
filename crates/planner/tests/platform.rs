//! The program on loopback, with a machine, a notice board and an owner scripted here.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing here judges by how fast it went; this only ends a test that hangs.
const PATIENCE: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"locality":0,"discovery":"ask",
 "services":[{"name":"web","aimS":0.7,"deadlineS":6,"effect":"safe","group":"all","credit":1,"windowS":5}],
 "kinds":["std"],"zones":["east"],
 "familyInfo":{"acceptsMemory":1.5,"ack":"accepted","admitCores":2.5,"apartBy":["none"],"classCalm":[1],
  "coldBears":8,"kindByClass":[-1],"kindCores":[32],"lostAfter":[1],"memOfKind":[64],"priorityByClass":[0],
  "startSeconds":[10],"togetherMax":[0],"listsFree":true},
 "limits":{"maxAttempts":4,"connectTimeoutS":0.25},"report":{"via":"answers"},
 "safety":{"answerSlackS":0.05,"coldFrom":0.2,"coldS":9,"drainGraceS":1,"fallMultiple":3,"overloadForS":1},
 "tariffs":{}}"#;

fn event(number: u64, whole: bool, machine: &str, at: SocketAddr) -> String {
    format!(
        r#"{{"rev":{number},"pool":{{"generation":{number},"reset":{whole},"instances":[{{"instanceId":"{machine}","hostPort":"{at}","zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[30,60]}}]}}}}"#
    )
}

/// Bytes of a message: type, id, parameters.
fn message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut all = (body.len() as u16).to_be_bytes().to_vec();
    all.extend(body);
    all
}

fn set_up(id: u64) -> Vec<u8> {
    let name = format!("{id:016x}");
    let asks = b"cores:1;memory:2;service:00000000b4d65521";
    message(1, id, &[(180, b"web"), (183, b"6000"), (192, name.as_bytes()), (195, asks), (225, b"v=0")])
}

/// The next message that is not a test: type, id, and all of its bytes after that.
fn next(stream: &mut TcpStream) -> (u8, u64, Vec<u8>) {
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length).expect("a message");
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut body).expect("the rest of a message");
        let id = u64::from_be_bytes(body[1..9].try_into().unwrap());
        if body[0] == 52 {
            stream.write_all(&message(53, id, &[(222, &[1])])).unwrap();
            continue;
        }
        return (body[0], id, body[9..].to_vec());
    }
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn accept(listener: &TcpListener) -> TcpStream {
    patient(listener.accept().expect("a connection").0)
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// A connection of the board: the number that was asked from, and where events are written.
fn board(listener: &TcpListener) -> (u64, TcpStream) {
    let mut stream = accept(listener);
    let mut from = 0;
    for line in BufReader::new(stream.try_clone().unwrap()).lines() {
        let line = line.unwrap().to_lowercase();
        if let Some(number) = line.strip_prefix("last-event-id:") {
            from = number.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: here\n\n").unwrap();
    (from, stream)
}

fn tell(stream: &mut TcpStream, number: u64, data: &str) {
    stream.write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes()).unwrap();
}

struct Scheduler {
    child: Child,
    config: PathBuf,
    at: SocketAddr,
}

impl Scheduler {
    fn start(test: &str, board: SocketAddr, known: &str) -> Self {
        let at = listen().1;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let config = folder.join("config.json");
        write_config(&config, at, board, known);
        let child = Command::new(env!("CARGO_BIN_EXE_tidespur-planner"))
            .arg("platform")
            .env("RELAY_CONFIG", &config)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, config, at }
    }

    fn connect(&self) -> TcpStream {
        let began = Instant::now();
        loop {
            match TcpStream::connect(self.at) {
                Ok(stream) => return patient(stream),
                Err(e) => assert!(began.elapsed() < PATIENCE, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Descriptors that the process holds, as the system counts them.
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_config(path: &Path, at: SocketAddr, board: SocketAddr, known: &str) {
    let text = format!(
        r#"{{"name":"n0","listen":"{at}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "board":"{board}","known":{{"rev":1,"notices":[{known}]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(path, text).unwrap();
}

/// Task 5 is placed: the connection of its offer.
fn placed(owner: &mut TcpStream, machine: &TcpListener) -> TcpStream {
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(machine);
    assert_eq!(next(&mut offer).1, 5);
    offer.write_all(&message(9, 5, &[(225, b"own")])).unwrap();
    assert_eq!(next(owner).0, 9);
    offer
}

#[test]
fn a_task_is_placed_ends_and_both_are_told_to_its_owner() {
    let (board_at, (machine, machine_at)) = (listen(), listen());
    let scheduler = Scheduler::start("placed", board_at.1, &event(1, true, "s-1", machine_at));
    let mut owner = scheduler.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut owner), (53, 9, vec![222, 0, 1, 1]));
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    let (kind, id, body) = next(&mut offer);
    assert_eq!((kind, id), (1, 5));
    assert!(body.ends_with(b"\xe1\x00\x03v=0"), "the description as it came");
    offer.write_all(&message(9, 5, &[(225, b"\x00own")])).unwrap();
    assert_eq!(next(&mut owner), (9, 5, b"\xe1\x00\x04\x00own".to_vec()));
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(next(&mut owner), (12, 5, vec![222, 0, 1, 16]));
    assert_eq!(next(&mut offer).0, 16, "the machine is told that it was heard");
}

#[test]
fn an_event_cut_in_half_is_none_and_the_board_is_asked_again_from_the_last_whole_one() {
    let ((board_in, board_at), (machine, machine_at)) = (listen(), listen());
    let gone = event(1, true, "s-1", listen().1).replace("Ready", "Terminating");
    let scheduler = Scheduler::start("cut", board_at, &gone);
    let mut owner = scheduler.connect();
    let (from, mut stream) = board(&board_in);
    assert_eq!(from, 1);
    let second = event(2, false, "s-2", machine_at);
    stream.write_all(format!("id: 2\ndata: {}", &second[..second.len() / 2]).as_bytes()).unwrap();
    drop(stream);
    let (from, mut stream) = board(&board_in);
    assert_eq!(from, 1, "the half event was none");
    tell(&mut stream, 2, &second);
    owner.write_all(&set_up(5)).unwrap();
    assert_eq!(next(&mut accept(&machine)).1, 5);
}

#[test]
fn another_board_is_followed_after_a_file_that_can_be_read_and_work_goes_on_meanwhile() {
    let ((old_in, old_at), (new_in, new_at)) = (listen(), listen());
    let (machine, machine_at) = listen();
    let first = event(1, true, "s-1", machine_at);
    let scheduler = Scheduler::start("reload", old_at, &first);
    let mut owner = scheduler.connect();
    let (_, _old) = board(&old_in);
    let mut offer = placed(&mut owner, &machine);
    std::fs::write(&scheduler.config, "{\"name\":").unwrap();
    scheduler.signal("-HUP");
    std::thread::sleep(Duration::from_millis(150));
    write_config(&scheduler.config, scheduler.at, new_at, &first);
    let (from, mut stream) = board(&new_in);
    assert_eq!(from, 1, "the numbers go on");
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(next(&mut owner).1, 5, "what stood is untouched");
    let (other, other_at) = listen();
    tell(&mut stream, 2, &event(2, true, "s-2", other_at));
    // Until the event is taken in, the first machine may be chosen: it refuses for good by closing.
    drop((machine, offer));
    owner.write_all(&set_up(6)).unwrap();
    assert_eq!(next(&mut accept(&other)).1, 6);
}

#[test]
fn told_to_end_with_open_work_it_answers_it_and_ends_well() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let mut scheduler = Scheduler::start("end", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = scheduler.connect();
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    assert_eq!(next(&mut offer).1, 5);
    scheduler.signal("-TERM");
    owner.write_all(&set_up(6)).unwrap();
    let mut second = accept(&machine);
    assert_eq!(next(&mut second).1, 6, "what comes after the word is taken too");
    for (stream, id) in [(&mut offer, 5), (&mut second, 6)] {
        stream.write_all(&message(9, id, &[(225, b"own")])).unwrap();
        assert_eq!((next(&mut owner).0, id), (9, id));
        stream.write_all(&message(12, id, &[(222, &[16])])).unwrap();
        assert_eq!(next(&mut owner).0, 12);
    }
    assert!(scheduler.child.wait().unwrap().success());
}

#[test]
fn floods_and_silence_leave_room_for_an_owner() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let scheduler = Scheduler::start("flood", board_at, &event(1, true, "s-1", machine_at));
    // More than it may have descriptors, some of them saying what can't be read.
    let mut others = Vec::new();
    for n in 0..400 {
        let mut other = scheduler.connect();
        if n % 4 == 0 {
            let _ = other.write_all(&[0xff; 64]);
        }
        others.push(other);
    }
    let mut owner = scheduler.connect();
    let _offer = placed(&mut owner, &machine);
    // Each of the others is closed in the end.
    for mut other in others {
        let mut rest = Vec::new();
        let _ = other.read_to_end(&mut rest);
        assert!(rest.is_empty());
    }
}

#[test]
fn one_that_sends_half_a_message_and_stays_is_closed_even_if_it_has_asked_before() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let scheduler = Scheduler::start("half", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = scheduler.connect();
    let _offer = placed(&mut owner, &machine);
    owner.write_all(&set_up(6)[..20]).unwrap();
    assert_eq!(owner.read(&mut [0; 16]).expect("a close, not silence"), 0);
}

/// A listener whose one place is taken: further connections to it neither come up nor are refused, as in a zone
/// that is cut off.
fn unreachable() -> (socket2::Socket, TcpStream, SocketAddr) {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let at = listener.local_addr().unwrap().as_socket().unwrap();
    let taken = TcpStream::connect(at).unwrap();
    (listener, taken, at)
}

#[test]
fn a_dial_that_is_given_up_holds_no_descriptor() {
    let (_board, board_at) = listen();
    let machines: Vec<_> = (1..=12).map(|_| unreachable()).collect();
    let told = |(n, machine): (usize, &(_, _, SocketAddr))| {
        event(n as u64 + 1, n == 0, &format!("s-{n}"), machine.2)
    };
    let known: Vec<String> = machines.iter().enumerate().map(told).collect();
    let scheduler = Scheduler::start("dials", board_at, &known.join(","));
    let mut owner = scheduler.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut owner).0, 53);
    let before = scheduler.descriptors();
    for id in 1..=6 {
        let mut set_up = set_up(id);
        let wait = set_up.windows(4).position(|w| w == b"6000").expect("the wait");
        set_up[wait..wait + 4].copy_from_slice(b"0700");
        owner.write_all(&set_up).unwrap();
    }
    // All twelve are dialled, each is given up after a quarter second, and each request gets its one answer.
    let mut answered: Vec<u64> = (1..=6).map(|_| next(&mut owner).1).collect();
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5, 6]);
    // The system itself gives such a connection up after minutes only. One to the board may be counted or not.
    let began = Instant::now();
    while scheduler.descriptors() > before + 1 {
        assert!(began.elapsed() < PATIENCE, "{} descriptors, {before} before", scheduler.descriptors());
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sockets of a process by kind, with state and local address, from the system's own tables.
fn sockets(pid: u32) -> Vec<(&'static str, String, String)> {
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

/// Files that a process holds open for writing, beside the three that it was started with.
fn written(pid: u32) -> Vec<String> {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let open = entries.filter_map(|entry| {
        let number: u32 = entry.file_name().to_str()?.parse().ok()?;
        let to = std::fs::read_link(entry.path()).ok()?;
        let info = std::fs::read_to_string(format!("/proc/{pid}/fdinfo/{number}")).ok()?;
        let flags = info.lines().find_map(|line| line.strip_prefix("flags:"))?.trim().to_owned();
        // The last octal digit: 0 reads, 1 writes, 2 does both.
        let writes = !flags.ends_with('0') && !flags.ends_with('4');
        (number > 2 && writes && to.starts_with("/")).then(|| to.display().to_string())
    });
    open.filter(|to| !to.starts_with("/dev/")).collect()
}

#[test]
fn it_is_one_process_with_one_listener_and_no_way_to_talk_but_the_platforms() {
    let ((board_in, board_at), (machine, machine_at)) = (listen(), listen());
    let scheduler = Scheduler::start("alone", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = scheduler.connect();
    let _board = board(&board_in);
    let _offer = placed(&mut owner, &machine);
    let pid = scheduler.child.id();
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    assert_eq!(children.trim(), "", "it starts no other program");
    let sockets = sockets(pid);
    // 0A is a listener. Named Unix sockets would be a way in; a pair without a name wakes the loop at a signal.
    let listeners = sockets.iter().filter(|(kind, state, _)| kind.starts_with("tcp") && state == "0A");
    assert_eq!(listeners.count(), 1, "{sockets:?}");
    let others = sockets.iter().filter(|(kind, _, name)| match *kind {
        "tcp" => false,
        "unix" => !name.is_empty(),
        _ => true,
    });
    assert_eq!(others.count(), 0, "{sockets:?}");
    assert_eq!(written(pid), Vec::<String>::new(), "it keeps nothing on a disk");
    // Its listener, the board, the machine, the owner; nobody else is connected or dialled.
    let tcp = sockets.iter().filter(|(kind, ..)| *kind == "tcp").count();
    assert_eq!(tcp, 4, "{sockets:?}");
}
