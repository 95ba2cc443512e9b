//! The loops: listen, dial, read, write, signals, timers. They decide nothing.

mod control;
mod downstream;
mod upstream;

use crate::StartError;
use crate::config::{self, Config};
use crate::discovery::DiscoveryAddress;
use crate::socket::{Connection, READ_BUFFER_BYTES, Socket};
use async_io::Async;
use async_signal::{Signal, Signals};
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tidespur_gateway::input_queue::{InputQueue, Sequence};
use tidespur_gateway::message::{Decoder, Message};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{DownstreamId, Gateway, Input, Limits, Output, UpstreamId};
use tidespur_net::clock;
use upstream::Upstream;

/// A line of counters goes to the log this often.
const REPORT_INTERVAL: f64 = 10.0;
struct EventLoop {
    gateway: RefCell<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    listener: RefCell<Option<Rc<Async<TcpListener>>>>,
    listening: RefCell<Option<Task<()>>>,
    downstreams: RefCell<BTreeMap<DownstreamId, Rc<Connection>>>,
    /// Closed here and not by their peers yet, and how many may be.
    closing: RefCell<VecDeque<Rc<Socket>>>,
    max_closing: usize,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    buffer: RefCell<Vec<u8>>,
    next_client: Cell<u64>,
    /// Told when the time of the next tick may have changed.
    wake: async_lock::Semaphore,
    /// What came and was not taken in yet; told when there is something.
    queue: RefCell<InputQueue>,
    input_signal: (Sender<()>, Receiver<()>),
    discovery_address: Rc<DiscoveryAddress>,
    name: String,
    /// To end, once what was written has left, within so many seconds.
    exit_within: Cell<Option<f64>>,
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
    let run = EventLoop::new(config, executor.clone(), signals)?;
    smol::block_on(executor.run(run.run_until_exit()));
    Ok(())
}

impl EventLoop {
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
            max_closing: limits.closing,
            upstreams: RefCell::default(),
            buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            next_client: Cell::new(0),
            wake: async_lock::Semaphore::new(0),
            queue: RefCell::default(),
            input_signal: smol::channel::bounded(1),
            discovery_address: Rc::new(DiscoveryAddress::new(config.discovery_address.clone())),
            name: config.name,
            exit_within: Cell::new(None),
        });
        this.step(
            config
                .watch_events
                .into_iter()
                .map(Input::EndpointsDelivered)
                .collect(),
        );
        let listen = config.listen;
        let address: SocketAddr = listen.parse().map_err(|_| StartError::Address(listen))?;
        this.listener
            .replace(Some(Rc::new(downstream::bind(address)?)));
        tracing::info!(scheduler = this.name, %address, sockets = config.sockets, "started");
        this.spawn(this.clone().handle_queue());
        this.spawn(this.clone().measure_lag());
        this.listening
            .replace(Some(this.executor.spawn(this.clone().listen())));
        this.spawn(this.clone().signals(signals));
        this.follow_discovery();
        Ok(this)
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Time goes on.
    async fn run_until_exit(self: Rc<Self>) {
        let mut reported = clock::now();
        while self.exit_within.get().is_none() {
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
            if now - reported > REPORT_INTERVAL {
                reported = now;
                self.report();
            }
        }
        self.report();
        self.flush(self.exit_within.get().unwrap_or_default()).await;
    }

    /// What came is taken in with all that came beside it: the reactor wakes readers before this comes round.
    fn enqueue(&self, input: Input) -> Sequence {
        // Where it was told already, once is enough.
        let _ = self.input_signal.0.try_send(());
        self.queue.borrow_mut().push(input)
    }

    /// Takes in what came, in the order of [`InputQueue`].
    async fn handle_queue(self: Rc<Self>) {
        while self.input_signal.1.recv().await.is_ok() {
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
                Input::DownstreamClosed(client) => self.remove_client(*client),
                Input::UpstreamEnded(upstream) => self.close_upstream(*upstream),
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
                self.apply_output(output, &mut inputs);
            }
        }
    }

    fn apply_output(self: &Rc<Self>, output: Output, inputs: &mut Vec<Input>) {
        match output {
            Output::WriteDownstream(client, bytes) => {
                inputs.extend(self.write_client(client, &bytes))
            }
            Output::CloseDownstream(client) => self.close_client(client),
            Output::CheckDownstream(client) => {
                let seen = self.check_client(client);
                self.answer_after_completions(inputs, Input::DownstreamChecked(client, seen));
            }
            Output::Upstream(PoolAction::CheckPeer(upstream)) => {
                self.check_upstream(upstream);
                self.answer_after_completions(inputs, Input::UpstreamChecked(upstream));
            }
            Output::Upstream(action) => inputs.extend(self.on_upstream(action)),
            Output::Log(line) => tracing::info!(scheduler = self.name, "{line}"),
            Output::StopListening => {
                self.stop_listening();
                self.answer_after_completions(inputs, Input::ListeningStopped);
            }
            Output::Exit(within) => {
                self.exit_within.set(Some(within));
                self.wake.add_permits(1);
            }
        }
    }

    /// Answers an output, after all that came until now and goes first.
    fn answer_after_completions(&self, inputs: &mut Vec<Input>, answer: Input) {
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
