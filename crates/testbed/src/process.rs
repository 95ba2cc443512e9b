//! One child process: started, asked for its address, stopped, paused. Only processes that this one started are
//! ever signalled, by their id, while they are known to be ours.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A child.
#[derive(Debug)]
pub struct Process {
    /// What it is called here.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: Option<PathBuf>,
    child: Option<Child>,
    /// What it printed behind `ready`.
    pub addresses: Vec<String>,
}

impl Process {
    /// Starts a program; where `ready` is expected, waits until it has printed its addresses.
    pub fn start(
        name: &str,
        program: PathBuf,
        arguments: Vec<String>,
        log: Option<PathBuf>,
        ready: bool,
    ) -> Result<Self, String> {
        let mut process = Self {
            name: name.to_owned(),
            program,
            arguments,
            log,
            child: None,
            addresses: vec![],
        };
        process.spawn(ready)?;
        Ok(process)
    }

    fn spawn(&mut self, ready: bool) -> Result<(), String> {
        let problem = |e: std::io::Error| format!("{}: can't be started: {e}", self.name);
        let errors = match &self.log {
            Some(path) => Stdio::from(
                std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path)
                    .map_err(problem)?,
            ),
            None => Stdio::inherit(),
        };
        // The child ends itself when its standard input does, so that none outlives this process.
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .map_err(problem)?;
        if ready {
            let mut line = String::new();
            if let Some(output) = child.stdout.take() {
                BufReader::new(output)
                    .read_line(&mut line)
                    .map_err(problem)?;
            }
            let Some(rest) = line.trim().strip_prefix("ready ") else {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!(
                    "{}: ended before it was ready (see its log)",
                    self.name
                ));
            };
            self.addresses = rest.split(' ').map(str::to_owned).collect();
        }
        self.child = Some(child);
        Ok(())
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only where it has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to end (SIGTERM).
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let Some(id) = self
            .id()
            .and_then(|id| rustix::process::Pid::from_raw(id as i32))
        else {
            return;
        };
        if let Err(problem) = rustix::process::kill_process(id, signal) {
            tracing::warn!(name = self.name, %problem, "can't be signalled");
        }
    }

    /// Starts it again, with further arguments in place of equal ones.
    pub fn restart(&mut self, change: &[(&str, String)], ready: bool) -> Result<(), String> {
        self.kill();
        for (key, value) in change {
            match self.arguments.iter().position(|a| a == key) {
                Some(place) if place + 1 < self.arguments.len() => {
                    self.arguments[place + 1] = value.clone()
                }
                _ => self.arguments.extend([(*key).to_owned(), value.clone()]),
            }
        }
        self.spawn(ready)
    }

    /// Stands it still, or lets it go on.
    pub fn set_paused(&self, paused: bool) {
        self.signal(if paused {
            rustix::process::Signal::STOP
        } else {
            rustix::process::Signal::CONT
        });
    }

    /// How it ended, if it did so by itself.
    pub fn exit_reason(&mut self) -> Option<String> {
        match &mut self.child {
            Some(child) => match child.try_wait() {
                Ok(None) => None,
                Ok(Some(status)) => Some(status.to_string()),
                Err(problem) => Some(problem.to_string()),
            },
            None => Some("not started".to_owned()),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends this process when its standard input ends. For children of [`Process`].
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let mut sink = Vec::new();
        let _ = std::io::Read::read_to_end(&mut std::io::stdin().lock(), &mut sink);
        std::process::exit(0);
    });
}
