//! Child processes: starting, pausing, stopping and restarting them. Signals go only to processes that this process
//! started and has not reaped, so that their ids cannot belong to another process.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Name of the process in the cluster.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: Option<PathBuf>,
    child: Option<Child>,
    /// Addresses that it printed in its `ready` line; empty if it was started without waiting for one.
    pub addresses: Vec<String>,
}

impl Process {
    /// Starts a program. With `ready`, waits until it has printed its `ready` line.
    ///
    /// # Errors
    /// If it cannot be started or exits before it is ready.
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
        let error = |e: std::io::Error| format!("{}: process could not be started: {e}", self.name);
        let errors = match &self.log {
            Some(path) => Stdio::from(
                std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path)
                    .map_err(error)?,
            ),
            None => Stdio::inherit(),
        };
        // The child exits when its standard input closes, so that no child outlives this process.
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .map_err(error)?;
        if ready {
            let mut line = String::new();
            if let Some(output) = child.stdout.take() {
                BufReader::new(output).read_line(&mut line).map_err(error)?;
            }
            let Some(rest) = line.trim().strip_prefix("ready ") else {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!(
                    "{}: process exited before it was ready; see its log",
                    self.name
                ));
            };
            self.addresses = rest.split(' ').map(str::to_owned).collect();
        }
        self.child = Some(child);
        Ok(())
    }

    /// Its process id; `None` once it was killed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and returns at once.
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
        if let Err(error) = rustix::process::kill_process(id, signal) {
            tracing::warn!(name = self.name, %error, "process could not be signalled");
        }
    }

    /// Kills and restarts it. Each option in `change` replaces the one of the same name, or is added.
    pub fn restart(&mut self, change: &[(&str, String)], ready: bool) -> Result<(), String> {
        self.kill();
        for (key, value) in change {
            match self.arguments.iter().position(|a| a == key) {
                Some(index) if index + 1 < self.arguments.len() => {
                    self.arguments[index + 1] = value.clone()
                }
                _ => self.arguments.extend([(*key).to_owned(), value.clone()]),
            }
        }
        self.spawn(ready)
    }

    /// Suspends it with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&self, paused: bool) {
        self.signal(if paused {
            rustix::process::Signal::STOP
        } else {
            rustix::process::Signal::CONT
        });
    }

    /// Exit status, or why it is unknown; `None` while it runs.
    pub fn exit_reason(&mut self) -> Option<String> {
        match &mut self.child {
            Some(child) => match child.try_wait() {
                Ok(None) => None,
                Ok(Some(status)) => Some(status.to_string()),
                Err(error) => Some(error.to_string()),
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

/// Exits this process when its standard input closes. Children of [`Process`] call it at their start.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let mut sink = Vec::new();
        let _ = std::io::Read::read_to_end(&mut std::io::stdin().lock(), &mut sink);
        std::process::exit(0);
    });
}
