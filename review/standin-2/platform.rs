//! The record, the notice board, and the scheduler as a child process.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Answers each poll with a stream of comments; nothing changes after the start.
pub fn start_board() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = serve_board(stream);
            });
        }
    });
    Ok(address)
}

fn serve_board(mut stream: TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while lines
        .next()
        .transpose()?
        .is_some_and(|line| !line.is_empty())
    {}
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")?;
    loop {
        stream.write_all(b": here\n\n")?;
        sleep(1.0);
    }
}

/// One entry of the list of machines.
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub cell: usize,
    pub zone: &'static str,
    pub cores: f64,
    pub memory: f64,
}

fn notice(machines: &[Listed]) -> String {
    let entries: Vec<String> = machines
        .iter()
        .map(|m| {
            format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"{}","cell":{},"lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[{},{}]}}"#,
                m.name, m.address, m.zone, m.kind, m.cell, m.cores, m.memory
            )
        })
        .collect();
    format!(
        r#"{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
        entries.join(",")
    )
}

/// Limits of a scheduler, from its configuration.
#[derive(Clone, Copy)]
pub struct Limits {
    pub descriptors: usize,
    pub memory_mb: usize,
}

/// A running scheduler, started as the deploy file says. Killed when dropped.
pub struct Scheduler {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Scheduler {
    /// Starts the scheduler from the root of the repository, and waits until it passes a test.
    pub fn start(
        machines: &[Listed],
        settings: &str,
        limits: Limits,
        record: &Record,
    ) -> io::Result<Self> {
        let Limits {
            descriptors,
            memory_mb,
        } = limits;
        let board = start_board()?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let folder = std::env::var_os("CASE_FOLDER")
            .map(PathBuf::from)
            .ok_or_else(|| io::Error::other("CASE_FOLDER is not set"))?;
        let config = folder.join("config.json");
        let scratch = folder.join("scratch");
        std::fs::create_dir_all(&scratch)?;
        std::fs::write(
            &config,
            format!(
                r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},"board":"{board}","known":{{"rev":1,"notices":[{}]}},"settings":{settings}}}"#,
                notice(machines)
            ),
        )?;
        let command = run_command()?;
        let log = File::create(folder.join("scheduler.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {descriptors}; {command}")])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // `run.sh` ends the scheduler if this program can't.
        std::fs::write(folder.join("pid"), child.id().to_string())?;
        let mut scheduler = Self {
            child,
            address,
            folder,
        };
        scheduler.wait_until_ready()?;
        record.line(&format!(
            "scheduler: started with `{command}`, passed a test"
        ));
        Ok(scheduler)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if crate::owner::passes_test(self.address) {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the scheduler ended: {status}")));
            }
            sleep(0.05);
        }
        Err(io::Error::other("the scheduler is not ready after 10 s"))
    }

    /// Memory of the process itself, without files, in MB; 0 if it is not known.
    pub fn memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let kibibytes = |status: String| -> Option<f64> {
            let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        status.ok().and_then(kibibytes).unwrap_or(0.0) * 1024.0 / 1e6
    }

    /// Kills the process, as the platform does with one over its limit on memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time that the process has used, in seconds; 0 if it is not known.
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let ticks = |stat: String| -> Option<f64> {
            let (_, fields) = stat.rsplit_once(')')?;
            let fields: Vec<&str> = fields.split_whitespace().collect();
            Some(fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?)
        };
        stat.ok().and_then(ticks).unwrap_or(0.0) / TICKS_PER_SECOND
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.folder.join("pid"));
        if let Ok(log) = std::fs::read_to_string(self.folder.join("scheduler.log"))
            && std::env::var_os("SHOW_LOG").is_some()
        {
            eprintln!("{log}");
        }
    }
}

/// The line `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    text.lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("deploy/balancer.toml has no line `run`"))
}
