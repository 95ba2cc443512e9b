//! The loops: listen, dial, read, write, signals, timers. They decide nothing.

mod control;
mod downstream;
mod upstream;

use crate::StartError;
use crate::config::{self, Config};
use crate::discovery::{self, Address};
use crate::socket::{Connection, Socket, TURN, Wrote};
use async_io::Async;
use async_signal::{Signal, Signals};
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tidespur_gateway::input_queue::{InputQueue, Sequence};
use tidespur_gateway::message::{Decoder, Message, RequestId};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{DownstreamId, Gateway, Input, Limits, Output, PeerCheck, UpstreamId};
use tidespur_net::clock;
use upstream::Upstream;

/// A line of counters goes to the log this often.
const REPORT: f64 = 10.0;
struct Run {
    gateway: RefCell<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    listener: RefCell<Option<Rc<Async<TcpListener>>>>,
    listening: RefCell<Option<Task<()>>>,
    downstreams: RefCell<BTreeMap<DownstreamId, Rc<Connection>>>,
    /// Closed here and not by their peers yet, and how many may be.
    closing: RefCell<VecDeque<Rc<Socket>>>,
    closing_most: usize,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    buffer: RefCell<Vec<u8>>,
    next_client: Cell<u64>,
    /// Told when the time of the next tick may have changed.
    wake: async_lock::Semaphore,
    /// What came and was not taken in yet; told when there is something.
    queue: RefCell<InputQueue>,
    came: (Sender<()>, Receiver<()>),
    board: Rc<Address>,
    name: String,
    /// To end, once what was written has left, within so many seconds.
    over: Cell<Option<f64>>,
}

/// Runs the scheduler on the platform until it is told to end and nothing is owed any more.
///
/// # Errors
/// What keeps it from starting.
pub fn run() -> Result<(), StartError> {
    // Before anything else: a signal without a handler ends the program.
    let signals = Signals::new([Signal::Hup, Signal::Term]).map_err(StartError::Signals)?;
    let config = config::load()?;
    let executor = Rc::new(LocalExecutor::new());
    let run = Run::new(config, executor.clone(), signals)?;
    smol::block_on(executor.run(run.live()));
    Ok(())
}

impl Run {
    fn new(
        config: Config,
        executor: Rc<LocalExecutor<'static>>,
        signals: Signals,
    ) -> Result<Rc<Self>, StartError> {
        let limits = Limits::of(config.sockets);
        let this = Rc::new(Self {
            gateway: RefCell::new(Gateway::new(config.site, limits, config.seed)?),
            executor,
            listener: RefCell::default(),
            listening: RefCell::default(),
            downstreams: RefCell::default(),
            closing: RefCell::default(),
            closing_most: limits.closing,
            upstreams: RefCell::default(),
            buffer: RefCell::new(vec![0; TURN]),
            next_client: Cell::new(0),
            wake: async_lock::Semaphore::new(0),
            queue: RefCell::default(),
            came: smol::channel::bounded(1),
            board: Rc::new(Address::new(config.board.clone())),
            name: config.name,
            over: Cell::new(None),
        });
        this.step(
            config
                .known
                .into_iter()
                .map(Input::EndpointsDelivered)
                .collect(),
        );
        let listen = config.listen;
        let address: SocketAddr = listen.parse().map_err(|_| StartError::Address(listen))?;
        this.listener
            .replace(Some(Rc::new(downstream::bind(address)?)));
        tracing::info!(scheduler = this.name, %address, sockets = config.sockets, "started");
        this.spawn(this.clone().turns());
        this.spawn(this.clone().mark());
        this.listening
            .replace(Some(this.executor.spawn(this.clone().listen())));
        this.spawn(this.clone().signals(signals));
        this.follow();
        Ok(this)
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Time goes on.
    async fn live(self: Rc<Self>) {
        let mut reported = clock::now();
        while self.over.get().is_none() {
            let now = clock::now();
            let due = self.gateway.borrow().next_wake() - now;
            if due > 0.0
                && let Some(permit) = clock::timeout(due, self.wake.acquire()).await
            {
                permit.forget();
            }
            let now = clock::now();
            if now >= self.gateway.borrow().next_wake() {
                // An answer that has come must not be overtaken by the end of its attempt's time.
                let mut inputs = self.queue.borrow_mut().take_completions();
                inputs.push(Input::Tick);
                self.step(inputs);
            }
            if now - reported > REPORT {
                reported = now;
                self.report();
            }
        }
        self.report();
        self.flush(self.over.get().unwrap_or_default()).await;
    }

    /// What came is taken in with all that came beside it: the reactor wakes readers before this comes round.
    fn put(&self, input: Input) -> Sequence {
        // Where it was told already, once is enough.
        let _ = self.came.0.try_send(());
        self.queue.borrow_mut().push(input)
    }

    /// Takes in what came, in the order of [`InputQueue`].
    async fn turns(self: Rc<Self>) {
        while self.came.1.recv().await.is_ok() {
            while !self.queue.borrow().is_empty() {
                let inputs = self.queue.borrow_mut().take_batch();
                self.step(inputs);
                futures_lite::future::yield_now().await;
            }
        }
    }

    fn step(self: &Rc<Self>, inputs: Vec<Input>) {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            // A connection that ended meanwhile from here has been told already.
            inputs.retain(|input| match input {
                Input::DownstreamClosed(client) => self.client_over(*client),
                Input::UpstreamEnded(upstream) => self.upstream_over(*upstream),
                _ => true,
            });
            let mut out = Vec::new();
            let before = self.gateway.borrow().next_wake();
            for input in &inputs {
                match input {
                    Input::DownstreamMessage(..) | Input::UpstreamMessage(..) => {
                        tracing::trace!(?input)
                    }
                    Input::Tick | Input::DownstreamChecked(..) | Input::UpstreamChecked(_) => {}
                    _ => tracing::debug!(scheduler = self.name, ?input),
                }
            }
            self.gateway
                .borrow_mut()
                .step(clock::now(), std::mem::take(&mut inputs), &mut out);
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
                self.carry_out(output, &mut inputs);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output, inputs: &mut Vec<Input>) {
        match output {
            Output::WriteDownstream(client, bytes) => {
                inputs.extend(self.write_client(client, &bytes))
            }
            Output::CloseDownstream(client) => self.close_client(client),
            Output::CheckDownstream(client) => {
                let seen = self.look(client);
                self.after_all(inputs, Input::DownstreamChecked(client, seen));
            }
            Output::Upstream(PoolAction::CheckPeer(upstream)) => {
                self.look_upstream(upstream);
                self.after_all(inputs, Input::UpstreamChecked(upstream));
            }
            Output::Upstream(action) => inputs.extend(self.on_upstream(action)),
            Output::Log(line) => tracing::info!(scheduler = self.name, "{line}"),
            Output::StopListening => {
                self.stop_listening();
                self.after_all(inputs, Input::ListeningStopped);
            }
            Output::Exit(within) => {
                self.over.set(Some(within));
                self.wake.add_permits(1);
            }
        }
    }

    /// Answers an output, after all that came until now and goes first.
    fn after_all(&self, inputs: &mut Vec<Input>, answer: Input) {
        inputs.extend(self.queue.borrow_mut().take_completions());
        inputs.push(answer);
    }

    /// Puts what was read last to the messages of a connection.
    fn decode(
        &self,
        decoder: &mut Decoder,
        read: usize,
        said: impl Fn(Message) -> Input,
        malformed: Input,
    ) -> Vec<Input> {
        decoder.feed(&self.buffer.borrow()[..read]);
        let mut inputs = Vec::new();
        loop {
            match decoder.next_message() {
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
}
