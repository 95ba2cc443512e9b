//! The gateway as a process, and its configuration.

use super::{PATIENCE, is_in_transit, own_address, patient, until};
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

/// A running gateway; dropping it ends the process.
pub struct GatewayProcess {
    pub child: Child,
    pub config: PathBuf,
    pub at: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl GatewayProcess {
    pub fn start(test: &str, board: SocketAddr, known: &str) -> Self {
        Self::start_with(test, board, known, |config| config)
    }

    /// The same, with the configuration changed.
    pub fn start_with(
        test: &str,
        board: SocketAddr,
        known: &str,
        change: impl Fn(String) -> String,
    ) -> Self {
        let at = own_address();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("config.json");
        std::fs::write(&path, change(config(at, board, known))).unwrap();
        // As few descriptors as the configuration tells; `exec` keeps the process.
        let mut child = Command::new("sh")
            .args(["-c", "ulimit -n $(sed -n 's/.*\"sockets\":\\([0-9]*\\).*/\\1/p' \"$RELAY_CONFIG\"); exec \"$0\" platform"])
            .arg(env!("CARGO_BIN_EXE_tidespur-planner"))
            .env("RELAY_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let (stderr, into) = (child.stderr.take().unwrap(), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{line}");
                into.lock().unwrap().push_str(&line);
            }
        });
        Self {
            child,
            config: path,
            at,
            log,
        }
    }

    /// Waits until the program's log contains this.
    pub fn wait_for_log(&self, what: &str) {
        until(what, || self.log.lock().unwrap().contains(what));
    }

    /// Stops the process while `act` runs: it then finds all that was done meanwhile at once, in that order.
    pub fn while_stopped<T>(&self, act: impl FnOnce() -> T) -> T {
        let stat = format!("/proc/{}/stat", self.child.id());
        self.signal("-STOP");
        until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).unwrap();
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
        let done = act();
        // On a busy machine the system may carry it there only later: then nothing would be forced.
        until("all of it has arrived", || {
            !is_in_transit(self.child.id(), self.at)
        });
        self.signal("-CONT");
        done
    }

    pub fn connect(&self) -> TcpStream {
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
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn config(at: SocketAddr, board: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{at}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "board":"{board}","known":{{"rev":1,"notices":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

pub fn write_config(path: &Path, at: SocketAddr, board: SocketAddr, known: &str) {
    std::fs::write(path, config(at, board, known)).unwrap();
}
