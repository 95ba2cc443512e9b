//! A machine: looks at one ask at a time, accepts while there is room, runs tasks for the time in their description,
//! and reports their ends.

use crate::platform::{Record, sleep};
use crate::wire::{self, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A task that stands.
struct Task {
    connection: u64,
    cores: f64,
    memory: f64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    /// Asks that were not answered yet: connection and id.
    open: BTreeSet<(u64, u64)>,
    tasks: BTreeMap<u64, Task>,
    /// Releases to send again on the next connection that is opened.
    repeats: Vec<Message>,
    /// When the tasks that have stood were over.
    ended: BTreeMap<u64, Instant>,
}

pub struct Machine {
    pub name: String,
    pub address: SocketAddr,
    /// The cores and the memory up to which it accepts tasks.
    limits: (f64, f64),
    seconds_per_ask: f64,
    state: Mutex<State>,
    ask_in_hand: Mutex<()>,
    record: Record,
}

impl Machine {
    pub fn start(
        name: &str,
        limits: (f64, f64),
        seconds_per_ask: f64,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let machine = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            limits,
            seconds_per_ask,
            state: Mutex::default(),
            ask_in_hand: Mutex::default(),
            record: record.clone(),
        });
        let this = machine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        Ok(machine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn line(&self, text: &str) {
        self.record.line(&format!("{}: {text}", self.name));
    }

    /// Whether this task stands.
    pub fn holds(&self, id: u64) -> bool {
        self.state().tasks.contains_key(&id)
    }

    /// When this task was over; `None` if it has not stood here, or stands.
    pub fn ended_at(&self, id: u64) -> Option<Instant> {
        self.state().ended.get(&id).copied()
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let connection = {
            let mut state = self.state();
            state.last_connection += 1;
            let connection = state.last_connection;
            state.connections.insert(connection, writer);
            for release in std::mem::take(&mut state.repeats) {
                self.line(&format!(
                    "release {:016x} again, on new connection {connection}",
                    release.id
                ));
                send(&mut state, connection, &release);
            }
            connection
        };
        let mut reader = stream;
        while let Ok(Some(message)) = Message::read(&mut reader) {
            self.received(connection, message);
        }
        let mut state = self.state();
        state.connections.remove(&connection);
        state.open.retain(|(other, _)| *other != connection);
        drop(state);
        self.line(&format!("connection {connection} has ended"));
    }

    fn received(self: &Arc<Self>, connection: u64, message: Message) {
        match message.kind {
            wire::SET_UP => {
                self.line(&format!(
                    "set-up {:016x} of {} on connection {connection}",
                    message.id,
                    message.text(wire::NAME)
                ));
                self.state().open.insert((connection, message.id));
                let this = self.clone();
                std::thread::spawn(move || this.decide(connection, &message));
            }
            wire::RELEASE => self.released(connection, message.id),
            wire::TEST => {
                let passed = Message::new(wire::TEST_PASSED, message.id).with(wire::CAUSE, &[1]);
                send(&mut self.state(), connection, &passed);
            }
            _ => {}
        }
    }

    /// Accepts or refuses an ask, one at a time.
    fn decide(self: Arc<Self>, connection: u64, set_up: &Message) {
        let id = set_up.id;
        {
            let _in_hand = self.ask_in_hand.lock().unwrap_or_else(|e| e.into_inner());
            sleep(self.seconds_per_ask);
        }
        let description = set_up.text(wire::DESCRIPTION);
        let cores = wire::field(&description, "cores").unwrap_or(1.0);
        let memory = wire::field(&description, "memory").unwrap_or(1.0);
        let life = wire::field(&description, "life").unwrap_or(10.0);
        let mut state = self.state();
        if !state.open.remove(&(connection, id)) {
            return self.line(&format!("set-up {id:016x} was given up"));
        }
        let used = state.tasks.values().fold((0.0, 0.0), |used, task| {
            (used.0 + task.cores, used.1 + task.memory)
        });
        let free = (self.limits.0 - used.0, self.limits.1 - used.1);
        if cores > free.0 || memory > free.1 {
            self.line(&format!("refused {id:016x}: full"));
            let refusal = Message::release(id, 34)
                .with(wire::REASON, b"lack_cpu")
                .with(wire::LOAD, b"x0:0;x1:0;queue:0");
            return send(&mut state, connection, &refusal);
        }
        let task = Task {
            connection,
            cores,
            memory,
        };
        state.tasks.insert(id, task);
        self.line(&format!(
            "accepted {id:016x} on connection {connection}; it stands"
        ));
        let answer = Message::new(wire::ANSWER, id)
            .with(wire::DESCRIPTION, format!("at:{}", self.name).as_bytes());
        send(&mut state, connection, &answer);
        drop(state);
        std::thread::spawn(move || {
            sleep(life);
            self.end(id, 16);
        });
    }

    /// The scheduler gives up a set-up, or cuts a task that stands.
    fn released(&self, connection: u64, id: u64) {
        if self.state().open.remove(&(connection, id)) {
            return self.line(&format!("set-up {id:016x} is given up by the scheduler"));
        }
        if self.holds(id) {
            self.line(&format!("task {id:016x} is cut by the scheduler's release"));
            self.end(id, 31);
        }
    }

    /// Ends a task, and says so on the connection of its set-up, else on any open one, and on the next that is opened.
    fn end(&self, id: u64, cause: u8) {
        let mut state = self.state();
        let Some(task) = state.tasks.remove(&id) else {
            return;
        };
        state.ended.insert(id, Instant::now());
        let release = Message::release(id, cause);
        let open = state.connections.keys().next_back().copied();
        let connection = Some(task.connection)
            .filter(|own| state.connections.contains_key(own))
            .or(open);
        self.line(&format!(
            "task {id:016x} is over, cause {cause}; release on connection {connection:?}"
        ));
        if let Some(connection) = connection {
            send(&mut state, connection, &release);
        }
        state.repeats.push(release);
    }
}

fn send(state: &mut State, connection: u64, message: &Message) {
    if let Some(stream) = state.connections.get_mut(&connection) {
        let _ = stream.write_all(&message.encode());
    }
}
