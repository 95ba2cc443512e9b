//! The loops: listen, dial, read, write, signals, timers.

use crate::config::{self, Config};
use crate::discovery::{self, Address};
use crate::socket::{Socket, TURN, Wrote};
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tidespur_net::clock;
use tidespur_platform::input_queue::{InputQueue, Sequence};
use tidespur_platform::message::{Decoder, Id, Message};
use tidespur_platform::pool::PoolAction;
use tidespur_platform::{DownstreamId, Gateway, Input, Limits, Output, UpstreamId};

/// A line of counters goes to the log this often.
const REPORT: f64 = 10.0;
/// Pause of the listener where descriptors are used up.
const SHORT: f64 = 0.02;
/// A message must be whole this long after its first byte. Guards against clients that send a part and stay.
const HALF_FOR: f64 = 2.0;
/// How far the loop is behind is measured this often.
const MARK: f64 = 0.05;
/// A configuration that can't be read is read again after this, so many times.
const REREAD: f64 = 0.1;
const REREADS: u32 = 50;

/// A connection to a machine.
enum Upstream {
    /// Being dialled by this task: dropped with it, so that a dial given up holds no descriptor.
    Dialled(Task<()>),
    Open(Rc<Socket>),
}

struct Run {
    gateway: RefCell<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    downstreams: RefCell<BTreeMap<DownstreamId, Rc<Socket>>>,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    buffer: RefCell<Vec<u8>>,
    next_client: Cell<u64>,
    /// Told when the time of the next tick may have changed.
    wake: async_lock::Semaphore,
    /// What came and was not taken in yet; told when there is something.
    turn: RefCell<InputQueue>,
    came: (Sender<()>, Receiver<()>),
    board: Rc<Address>,
    name: String,
    over: Cell<bool>,
}

/// Runs the scheduler on the platform until it is told to end and nothing is owed any more.
///
/// # Errors
/// What keeps it from starting.
pub fn run() -> Result<(), String> {
    // Before anything else: a signal without a handler ends the program.
    let signals = Signals::new([Signal::Hup, Signal::Term]).map_err(|e| format!("signals: {e}"))?;
    let path = config::path()?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let config = config::read(&text)?;
    let executor = Rc::new(LocalExecutor::new());
    let run = Run::new(config, executor.clone(), signals)?;
    smol::block_on(executor.run(run.live()))
}

impl Run {
    fn new(
        config: Config,
        executor: Rc<LocalExecutor<'static>>,
        signals: Signals,
    ) -> Result<Rc<Self>, String> {
        let gateway = Gateway::new(config.site, Limits::of(config.sockets), config.seed)?;
        let this = Rc::new(Self {
            gateway: RefCell::new(gateway),
            executor,
            downstreams: RefCell::default(),
            upstreams: RefCell::default(),
            buffer: RefCell::new(vec![0; TURN]),
            next_client: Cell::new(0),
            wake: async_lock::Semaphore::new(0),
            turn: RefCell::default(),
            came: smol::channel::bounded(1),
            board: Rc::new(Address::new(config.board.clone())),
            name: config.name,
            over: Cell::new(false),
        });
        this.step(config.known.into_iter().map(Input::Delivered).collect());
        let address: SocketAddr = config.listen.parse().map_err(|e| format!("{}: {e}", config.listen))?;
        let listener = Async::<TcpListener>::bind(address).map_err(|e| format!("{address}: {e}"))?;
        tracing::info!(scheduler = this.name, %address, sockets = config.sockets, "started");
        this.spawn(this.clone().turns());
        this.spawn(this.clone().mark());
        this.spawn(this.clone().listen(listener));
        this.spawn(this.clone().signals(signals));
        this.follow();
        Ok(this)
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Time goes on.
    async fn live(self: Rc<Self>) -> Result<(), String> {
        let mut reported = clock::now();
        while !self.over.get() {
            let now = clock::now();
            let due = self.gateway.borrow().next_wake() - now;
            if due > 0.0
                && let Some(permit) = clock::within(due, self.wake.acquire()).await
            {
                permit.forget();
            }
            let now = clock::now();
            if now >= self.gateway.borrow().next_wake() {
                self.step(vec![Input::Tick]);
            }
            if now - reported > REPORT {
                reported = now;
                self.report();
            }
        }
        self.report();
        Ok(())
    }

    fn report(&self) {
        let gateway = self.gateway.borrow();
        let [requests, waiting, clients, lines, machines] = gateway.sizes();
        tracing::info!(scheduler = self.name, requests, waiting, clients, lines, machines, counts = ?gateway.counts());
    }

    /// What came is taken in with all that came beside it: the reactor wakes readers before this comes round.
    fn put(&self, input: Input) -> Sequence {
        // Where it was told already, once is enough.
        let _ = self.came.0.try_send(());
        self.turn.borrow_mut().put(input)
    }

    /// Takes in what came, in the order of [`InputQueue`].
    async fn turns(self: Rc<Self>) {
        while self.came.1.recv().await.is_ok() {
            while !self.turn.borrow().is_empty() {
                let mut inputs = self.turn.borrow_mut().take();
                // A connection that ended meanwhile from here has been told already.
                inputs.retain(|input| match input {
                    Input::DownstreamClosed(client) => self.client_over(*client),
                    Input::UpstreamEnded(line) => self.line_over(*line),
                    _ => true,
                });
                self.step(inputs);
                futures_lite::future::yield_now().await;
            }
        }
    }

    /// Measures how far the loop is behind: a timer comes to its turn as late as a message that came when it was
    /// due, as both wait for the reactor and for all that was woken before them.
    async fn mark(self: Rc<Self>) {
        loop {
            let due = clock::now() + MARK;
            clock::sleep(MARK).await;
            self.put(Input::Lag(clock::now() - due));
        }
    }

    /// Waits until what was put in is taken: until then no more is read from that connection.
    async fn taken(&self, sequence: Sequence) {
        while !self.turn.borrow().taken(sequence) {
            futures_lite::future::yield_now().await;
        }
    }

    fn step(self: &Rc<Self>, inputs: Vec<Input>) {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            let mut out = Vec::new();
            let before = self.gateway.borrow().next_wake();
            for input in &inputs {
                match input {
                    Input::DownstreamSaid(..) | Input::UpstreamSaid(..) => tracing::trace!(?input),
                    Input::Tick => {}
                    _ => tracing::debug!(scheduler = self.name, ?input),
                }
            }
            self.gateway.borrow_mut().step(clock::now(), std::mem::take(&mut inputs), &mut out);
            if self.gateway.borrow().next_wake() < before {
                self.wake.add_permits(1);
            }
            for output in out {
                match &output {
                    Output::CloseDownstream(_)
                    | Output::Upstream(
                        PoolAction::Dial(..) | PoolAction::HalfClose(_) | PoolAction::Close(_),
                    ) => {
                        tracing::debug!(scheduler = self.name, ?output);
                    }
                    _ => tracing::trace!(?output),
                }
                inputs.extend(self.carry_out(output));
            }
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) -> Option<Input> {
        match output {
            Output::Downstream(client, bytes) => {
                let socket = self.downstreams.borrow().get(&client).cloned()?;
                match self.write(socket, &bytes) {
                    Wrote::Taken => None,
                    _ => self.client_over(client).then_some(Input::DownstreamClosed(client)),
                }
            }
            Output::CloseDownstream(client) => {
                self.client_over(client);
                None
            }
            Output::Upstream(PoolAction::Dial(line, address)) => {
                let dial = self.executor.spawn(self.clone().dial(line, address));
                self.upstreams.borrow_mut().insert(line, Upstream::Dialled(dial));
                None
            }
            Output::Upstream(PoolAction::Write(line, bytes)) => self.write_line(line, None, &bytes),
            Output::Upstream(PoolAction::Offer(line, id, bytes)) => self.write_line(line, Some(id), &bytes),
            Output::Upstream(PoolAction::HalfClose(line)) => {
                self.line(line)?.finish();
                None
            }
            Output::Upstream(PoolAction::Close(line)) => {
                self.line_over(line);
                None
            }
            Output::Log(line) => {
                tracing::info!(scheduler = self.name, "{line}");
                None
            }
            Output::End => {
                self.over.set(true);
                self.wake.add_permits(1);
                None
            }
        }
    }

    /// The connection to a machine, where it is open.
    fn line(&self, line: UpstreamId) -> Option<Rc<Socket>> {
        match self.upstreams.borrow().get(&line) {
            Some(Upstream::Open(socket)) => Some(socket.clone()),
            Some(Upstream::Dialled(_)) | None => None,
        }
    }

    /// Writes to a machine: the set-up `offer`, or something else.
    fn write_line(&self, line: UpstreamId, offer: Option<Id>, bytes: &[u8]) -> Option<Input> {
        // One that has ended unseen by the gateway takes nothing either.
        let Some(socket) = self.line(line) else { return Some(Input::UpstreamUnwritten(line, offer)) };
        match self.write(socket, bytes) {
            Wrote::Taken => None,
            // The machine may have written something before it ended the connection: it is read on.
            Wrote::Nothing => Some(Input::UpstreamUnwritten(line, offer)),
            Wrote::Part => self.line_over(line).then_some(Input::UpstreamEnded(line)),
        }
    }

    /// Writes, and sees to what the peer does not take at once.
    fn write(&self, socket: Rc<Socket>, bytes: &[u8]) -> Wrote {
        let (wrote, rest) = socket.write(bytes);
        if rest {
            self.spawn(async move { drop(socket.drain().await) });
        }
        wrote
    }

    /// Puts what was read last to the messages of a connection.
    fn take_in(
        &self,
        decoder: &mut Decoder,
        read: usize,
        said: impl Fn(Message) -> Input,
        malformed: Input,
    ) -> Vec<Input> {
        decoder.feed(&self.buffer.borrow()[..read]);
        let mut inputs = Vec::new();
        loop {
            match decoder.message() {
                Ok(Some(message)) => inputs.push(said(message)),
                Ok(None) => return inputs,
                Err(problem) => {
                    tracing::debug!(scheduler = self.name, %problem, ?malformed);
                    inputs.push(malformed);
                    return inputs;
                }
            }
        }
    }

    fn client_over(&self, client: DownstreamId) -> bool {
        let socket = self.downstreams.borrow_mut().remove(&client);
        socket.inspect(|socket| socket.close()).is_some()
    }

    fn line_over(&self, line: UpstreamId) -> bool {
        match self.upstreams.borrow_mut().remove(&line) {
            Some(Upstream::Open(socket)) => socket.close(),
            // The dial ends here, and its descriptor is free again.
            Some(Upstream::Dialled(dial)) => drop(dial),
            None => return false,
        }
        true
    }

    async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let client = DownstreamId(self.next_client.replace(self.next_client.get() + 1));
                    let socket = Socket::new(stream);
                    self.downstreams.borrow_mut().insert(client, socket.clone());
                    let sequence = self.put(Input::DownstreamOpened(client, from.ip()));
                    self.spawn(self.clone().serve(client, socket));
                    // A flood of connections is accepted at once, one after the other: those closed for it, and
                    // all others, must have their turn in between.
                    self.taken(sequence).await;
                }
                Err(problem) => {
                    tracing::warn!(scheduler = self.name, %problem, "accept");
                    clock::sleep(SHORT).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, client: DownstreamId, socket: Rc<Socket>) {
        let mut decoder = Decoder::default();
        let mut half_since = None;
        loop {
            let patience = half_since.map_or(f64::INFINITY, |since| since + HALF_FOR - clock::now());
            let read = match clock::within(patience, socket.read(&self.buffer)).await {
                Some(read) => read.unwrap_or(0),
                None => {
                    tracing::debug!(scheduler = self.name, ?client, "half a message, and no more");
                    self.put(Input::DownstreamMalformed(client));
                    return;
                }
            };
            if !self.downstreams.borrow().contains_key(&client) {
                return;
            }
            if read == 0 {
                break;
            }
            let said = |message| Input::DownstreamSaid(client, message);
            let inputs = self.take_in(&mut decoder, read, said, Input::DownstreamMalformed(client));
            half_since = match (decoder.unfinished(), inputs.is_empty()) {
                (false, _) => None,
                (true, true) => half_since.or_else(|| Some(clock::now())),
                (true, false) => Some(clock::now()),
            };
            if let Some(sequence) = inputs.into_iter().fold(None, |_, input| Some(self.put(input))) {
                self.taken(sequence).await;
            }
        }
        self.put(Input::DownstreamClosed(client));
    }

    async fn dial(self: Rc<Self>, line: UpstreamId, address: String) {
        let made = match address.parse::<SocketAddr>() {
            Ok(address) => Async::<TcpStream>::connect(address).await,
            Err(e) => Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)),
        };
        // From here on it is this task that reads the connection: it is no more ended with the dial.
        match self.upstreams.borrow_mut().remove(&line) {
            Some(Upstream::Dialled(dial)) => dial.detach(),
            _ => return,
        }
        let socket = match made {
            Ok(stream) => Socket::new(stream),
            Err(problem) => {
                let refused = problem.kind() == std::io::ErrorKind::ConnectionRefused;
                self.put(if refused { Input::UpstreamRefused(line) } else { Input::UpstreamFailed(line) });
                return;
            }
        };
        self.upstreams.borrow_mut().insert(line, Upstream::Open(socket.clone()));
        self.put(Input::UpstreamOpened(line));
        self.hear(line, socket).await;
    }

    async fn hear(self: &Rc<Self>, line: UpstreamId, socket: Rc<Socket>) {
        let mut decoder = Decoder::default();
        loop {
            let read = socket.read(&self.buffer).await.unwrap_or(0);
            if !self.upstreams.borrow().contains_key(&line) {
                return;
            }
            if read == 0 {
                break;
            }
            let said = |message| Input::UpstreamSaid(line, message);
            for input in self.take_in(&mut decoder, read, said, Input::UpstreamMalformed(line)) {
                self.put(input);
            }
            // All that is owed goes into the next step, which comes before this is polled again.
            futures_lite::future::yield_now().await;
        }
        self.put(Input::UpstreamEnded(line));
    }

    fn follow(self: &Rc<Self>) {
        let (this, that) = (self.clone(), self.clone());
        let delivered = move || this.gateway.borrow().delivered();
        let take = move |data: &str| {
            let notice = tidespur_platform::discovery::event(that.gateway.borrow().site(), data);
            match notice {
                Ok(notice) => that.step(vec![Input::Delivered(notice)]),
                Err(problem) => tracing::warn!(scheduler = that.name, problem),
            }
        };
        self.spawn(discovery::follow(self.board.clone(), delivered, take));
    }

    async fn signals(self: Rc<Self>, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Term) => {
                    tracing::info!(scheduler = self.name, "told to end");
                    self.step(vec![Input::Leave]);
                }
                Ok(Signal::Hup) => {
                    tracing::info!(scheduler = self.name, "told to read its configuration again");
                    self.spawn(self.clone().reload());
                }
                _ => {}
            }
        }
    }

    /// Reads the configuration again; until it can be read, what was read before holds.
    async fn reload(self: Rc<Self>) {
        for _ in 0..REREADS {
            let read = config::path()
                .and_then(|path| {
                    std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
                })
                .and_then(|text| config::read(&text));
            match read {
                Ok(config) => {
                    if self.board.moves_to(&config.board) {
                        tracing::info!(scheduler = self.name, board = config.board, "another notice board");
                        self.follow();
                    }
                    return;
                }
                Err(problem) => tracing::warn!(scheduler = self.name, problem, "the old settings hold"),
            }
            clock::sleep(REREAD).await;
        }
    }
}
