//! Runs the gateway program as a child process, with its configuration.

use super::{TEST_TIMEOUT, is_in_transit, reserve_address, wait_until, with_read_timeout};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"locality":0,"discovery":"ask",
 "services":[{"name":"web","aimS":0.7,"deadlineS":6,"effect":"safe","group":"all","credit":1,"windowS":5}],
 "kinds":["std"],"zones":["east"],
 "familyInfo":{"acceptsMemory":1.5,"ack":"accepted","admitCores":2.5,"apartBy":["none"],"classCalm":[1],
  "coldBears":8,"kindByClass":[-1],"kindCores":[32],"lostAfter":[1],"memOfKind":[64],"priorityByClass":[0],
  "startSeconds":[10],"togetherMax":[0],"listsFree":true},
 "limits":{"maxAttempts":4,"connectTimeoutS":0.25},"report":{"via":"answers"},
 "safety":{"answerSlackS":0.05,"coldFrom":0.2,"coldS":9,"drainGraceS":1,"fallMultiple":3,"overloadForS":1},
 "tariffs":{}}"#;

/// A running gateway. Dropping it kills the process.
pub struct GatewayProcess {
    pub child: Child,
    /// Path of its configuration.
    pub config: PathBuf,
    /// Address that it listens on.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl GatewayProcess {
    /// Starts a gateway with this address for discovery and these discovery events in its configuration. `test` is the
    /// name of its directory.
    pub fn start(test: &str, discovery: SocketAddr, known: &str) -> Self {
        Self::start_with(test, discovery, known, |config| config)
    }

    /// Like [`Self::start`], with a changed configuration.
    pub fn start_with(
        test: &str,
        discovery: SocketAddr,
        known: &str,
        change: impl Fn(String) -> String,
    ) -> Self {
        let address = reserve_address();
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&directory).unwrap();
        let path = directory.join("config.json");
        std::fs::write(&path, change(config(address, discovery, known))).unwrap();
        // Limits the descriptors to `sockets` of the configuration. `exec` keeps the process id.
        let mut child = Command::new("sh")
            .args(["-c", "ulimit -n $(sed -n 's/.*\"sockets\":\\([0-9]*\\).*/\\1/p' \"$RELAY_CONFIG\"); exec \"$0\" platform"])
            .arg(env!("CARGO_BIN_EXE_tidespur-planner"))
            .env("RELAY_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let (stderr, lines) = (child.stderr.take().unwrap(), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{line}");
                lines.lock().unwrap().push_str(&line);
            }
        });
        Self {
            child,
            config: path,
            address,
            log,
        }
    }

    /// Waits until the program's log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.log.lock().unwrap().contains(text));
    }

    /// Stops the process (SIGSTOP) while `act` runs. When it continues, it finds the bytes and connections of `act` at
    /// once, in that order.
    pub fn while_stopped<T>(&self, act: impl FnOnce() -> T) -> T {
        let stat = format!("/proc/{}/stat", self.child.id());
        self.signal("-STOP");
        wait_until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).unwrap();
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
        let result = act();
        // On a busy host the kernel may deliver the bytes late, and the order of events would not be enforced.
        wait_until("all bytes have arrived", || {
            !is_in_transit(self.child.id(), self.address)
        });
        self.signal("-CONT");
        result
    }

    pub fn connect(&self) -> TcpStream {
        let start = Instant::now();
        loop {
            match TcpStream::connect(self.address) {
                Ok(stream) => return with_read_timeout(stream),
                Err(e) => assert!(start.elapsed() < TEST_TIMEOUT, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Number of open file descriptors of the process, according to `/proc`.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration that listens on `address` and follows `discovery`, with `known` as its
/// initial events.
pub fn config(address: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "board":"{discovery}","known":{{"rev":1,"notices":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

pub fn write_config(path: &Path, address: SocketAddr, discovery: SocketAddr, known: &str) {
    std::fs::write(path, config(address, discovery, known)).unwrap();
}
