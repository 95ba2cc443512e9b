//! The event loop: accepts, dials, reads and writes connections, and handles signals and timers.
//!
//! It owns the gateway and all connections, and runs on one thread. Tasks that serve the whole loop run as long as the
//! process; a reader ends with its connection, a dial with its entry in the table of connections.

mod accept;
mod bind;
mod control;
mod downstream;
mod step;
mod upstream;

use crate::StartError;
use crate::config::{self, Config};
use crate::connection::Connection;
use crate::discovery::Subscriptions;
use crate::socket::{READ_BUFFER_BYTES, Socket};
use crate::unsent::SharedBudget;
use async_io::Async;
use async_signal::{Signal, Signals};
use smol::channel::{Receiver, Sender};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tidespur_gateway::byte_budget::ByteBudget;
use tidespur_gateway::discovery::reconnect::Reconnect;
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
    /// Accepts connections; dropped when the gateway stops listening.
    accept_task: RefCell<Option<Task<()>>>,
    downstreams: RefCell<BTreeMap<DownstreamId, Rc<Connection>>>,
    /// Connections that are half-closed here and not yet closed by their peers, the oldest first.
    closing: RefCell<VecDeque<Rc<Socket>>>,
    max_closing: usize,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    /// Bytes that clients have not accepted yet, of all their connections.
    client_unsent: SharedBudget,
    /// Shared by all reads; each read is decoded before the next one.
    read_buffer: RefCell<Vec<u8>>,
    next_client_id: Cell<u64>,
    /// Ends the wait for the next tick: it may be due earlier, or the process is to exit.
    wake: async_lock::Semaphore,
    /// Inputs for the next step.
    queue: RefCell<InputQueue>,
    /// Holds one message while [`EventLoop::handle_queue`] has inputs to handle.
    input_signal: (Sender<()>, Receiver<()>),
    discovery: Subscriptions,
    /// When the discovery service is called again; shared by the subscriptions at its addresses.
    reconnect: Rc<RefCell<Reconnect>>,
    /// Name of this scheduler, for log lines.
    name: String,
    /// Set once the process is to exit: time limit for sending the unsent bytes, in seconds.
    flush_timeout: Cell<Option<f64>>,
}

/// Runs the scheduler on the platform until its shutdown is complete.
///
/// # Errors
/// Fails if it can't start.
pub fn run() -> Result<(), StartError> {
    // The handlers are installed first: a signal without a handler ends the process.
    let signals = Signals::new([Signal::Hup, Signal::Term]).map_err(StartError::Signals)?;
    let config = config::load()?;
    let executor = Rc::new(LocalExecutor::new());
    let event_loop = EventLoop::new(config, executor.clone(), signals)?;
    smol::block_on(executor.run(event_loop.run_until_exit()));
    Ok(())
}

impl EventLoop {
    fn new(
        config: Config,
        executor: Rc<LocalExecutor<'static>>,
        signals: Signals,
    ) -> Result<Rc<Self>, StartError> {
        let limits = Limits::for_process(config.max_descriptors, config.max_memory_bytes);
        let this = Rc::new(Self {
            gateway: RefCell::new(Gateway::new(config.site, limits, config.seed)?),
            executor,
            listener: RefCell::default(),
            accept_task: RefCell::default(),
            downstreams: RefCell::default(),
            closing: RefCell::default(),
            max_closing: limits.closing,
            upstreams: RefCell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            next_client_id: Cell::new(0),
            wake: async_lock::Semaphore::new(0),
            queue: RefCell::new(InputQueue::new(limits.memory.queued_bytes)),
            client_unsent: Rc::new(RefCell::new(ByteBudget::new(limits.memory.unsent_bytes))),
            input_signal: smol::channel::bounded(1),
            discovery: Subscriptions::default(),
            reconnect: Rc::new(RefCell::new(Reconnect::new(clock::now(), config.seed))),
            name: config.name,
            flush_timeout: Cell::new(None),
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
        tracing::info!(scheduler = this.name, %address, sockets = config.max_descriptors, memory = config.max_memory_bytes, "started");
        this.spawn(this.clone().handle_queue());
        this.spawn(this.clone().measure_lag());
        this.accept_task
            .replace(Some(this.executor.spawn(this.clone().accept_clients())));
        this.spawn(this.clone().handle_signals(signals));
        this.follow_discovery(config.discovery_address);
        Ok(this)
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Runs ticks and logs the counters until the process is to exit, and then sends the unsent bytes.
    async fn run_until_exit(self: Rc<Self>) {
        let mut reported_at = clock::now();
        while self.flush_timeout.get().is_none() {
            let now = clock::now();
            let due = self.gateway.borrow().next_wake() - now;
            if due > 0.0
                && let Some(permit) = clock::timeout(due, self.wake.acquire()).await
            {
                permit.forget();
            }
            let now = clock::now();
            if now >= self.gateway.borrow().next_wake() {
                // An answer that was received in time is handled before the tick that would time its attempt out.
                let mut inputs = self.queue.borrow_mut().take_completions();
                inputs.push(Input::Tick);
                self.step(inputs);
            }
            if now - reported_at > REPORT_INTERVAL {
                reported_at = now;
                self.log_counters();
            }
        }
        self.log_counters();
        self.flush(self.flush_timeout.get().unwrap_or_default())
            .await;
    }

    /// Adds an input to the queue. Inputs that arrive meanwhile are handled in the same step, as the reactor wakes
    /// readers before the task that handles the queue.
    fn enqueue(&self, input: Input) -> StepNumber {
        // The channel holds one message; if it is full, the queue will be handled already.
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
