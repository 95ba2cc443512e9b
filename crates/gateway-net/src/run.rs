//! The event loop: listens, dials, reads, writes, and handles signals and timers.
//!
//! It owns the gateway and all connections, and runs on one thread. Its tasks live as long as the process: a reader ends
//! with its connection, a dial with its entry in the table of connections.

mod bind;
mod control;
mod downstream;
mod step;
mod upstream;

use crate::StartError;
use crate::config::{self, Config};
use crate::connection::Connection;
use crate::discovery::DiscoveryAddress;
use crate::socket::{READ_BUFFER_BYTES, Socket};
use async_io::Async;
use async_signal::{Signal, Signals};
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tidespur_gateway::input_queue::{InputQueue, StepNumber};
use tidespur_gateway::{DownstreamId, Gateway, Input, Limits, UpstreamId};
use tidespur_net::clock;
use upstream::Upstream;

/// Interval at which the counters are logged, in seconds.
const REPORT_INTERVAL: f64 = 10.0;

/// The gateway with its connections, listener and queue.
struct EventLoop {
    gateway: RefCell<Gateway>,
    executor: Rc<LocalExecutor<'static>>,
    listener: RefCell<Option<Rc<Async<TcpListener>>>>,
    listening: RefCell<Option<Task<()>>>,
    downstreams: RefCell<BTreeMap<DownstreamId, Rc<Connection>>>,
    /// Connections half-closed here and not yet closed by their peers.
    closing: RefCell<VecDeque<Rc<Socket>>>,
    max_closing: usize,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    buffer: RefCell<Vec<u8>>,
    next_client: Cell<u64>,
    /// Signals that the next tick may be due earlier.
    wake: async_lock::Semaphore,
    /// Inputs that wait for the next step.
    queue: RefCell<InputQueue>,
    input_signal: (Sender<()>, Receiver<()>),
    discovery_address: Rc<DiscoveryAddress>,
    name: String,
    /// Set once the process is to exit: the seconds that sending what was written may take.
    exit_within: Cell<Option<f64>>,
}

/// Runs the scheduler on the platform until its shutdown is complete.
///
/// # Errors
/// Fails if it can't start.
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
        let limits = Limits::for_descriptors(config.max_descriptors);
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
        let address: SocketAddr = listen
            .parse()
            .map_err(|_| StartError::InvalidAddress(listen))?;
        this.listener.replace(Some(Rc::new(bind::bind(address)?)));
        tracing::info!(scheduler = this.name, %address, sockets = config.max_descriptors, "started");
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

    /// Runs ticks and logs the counters until the process is to exit, and then sends what was written.
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

    /// Adds an input to the queue. It is handled with all others that arrive meanwhile, as the reactor wakes readers before
    /// the queue is handled.
    fn enqueue(&self, input: Input) -> StepNumber {
        // The channel holds one signal; if it is full, the queue is handled anyway.
        let _ = self.input_signal.0.try_send(());
        self.queue.borrow_mut().push(input)
    }

    /// Handles the queue's inputs, in the order of [`InputQueue`].
    async fn handle_queue(self: Rc<Self>) {
        while self.input_signal.1.recv().await.is_ok() {
            while !self.queue.borrow().is_empty() {
                let inputs = self.queue.borrow_mut().take_batch();
                self.step(inputs);
                futures_lite::future::yield_now().await;
            }
        }
    }
}
