//! Discovery, signals, reload of the configuration, lag measurement and logging of the counters.

use super::EventLoop;
use crate::config;
use crate::discovery::{self, Subscription};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;
use tidespur_gateway::{DownstreamId, Input};
use tidespur_net::clock;

/// Interval at which the lag of the event loop is measured, in seconds.
const LAG_INTERVAL: f64 = 0.05;
/// Pause between attempts to load the configuration, in seconds: the file may be incomplete while it is written.
const RELOAD_BACKOFF: f64 = 0.1;
/// Attempts to load the configuration after a SIGHUP.
const MAX_RELOAD_ATTEMPTS: u32 = 50;
/// Interval at which [`EventLoop::flush`] checks whether all bytes were sent, in seconds.
const FLUSH_POLL_INTERVAL: f64 = 0.005;

impl EventLoop {
    /// Measures the lag of the event loop by how late a timer is handled. A message that arrives when the timer is due
    /// is delayed as much: both wait for the reactor and for all tasks that were woken before them.
    pub(super) async fn measure_lag(self: Rc<Self>) {
        loop {
            let due = clock::now() + LAG_INTERVAL;
            clock::sleep(LAG_INTERVAL).await;
            self.enqueue(Input::LagMeasured(clock::now() - due));
        }
    }

    /// Starts a task that follows the discovery stream at this address, in place of the current one.
    pub(super) fn follow_discovery(self: &Rc<Self>, address: String) {
        let subscription = Rc::new(Subscription::new(address));
        let this = self.clone();
        let last_revision = move || this.gateway.borrow().last_revision();
        let this = self.clone();
        let on_event = move |data: &str| {
            let event =
                tidespur_gateway::discovery::parse_event(this.gateway.borrow().site(), data);
            match event {
                Ok(event) => this.step(vec![Input::EndpointsDelivered(event)]),
                Err(error) => {
                    tracing::warn!(scheduler = this.name, %error, "ignored a malformed discovery event");
                }
            }
        };
        let task = self.executor.spawn(discovery::follow(
            subscription.clone(),
            self.reconnect.clone(),
            last_revision,
            on_event,
        ));
        self.discovery.replace(subscription, task);
    }

    pub(super) async fn handle_signals(self: Rc<Self>, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Term) => {
                    tracing::info!(scheduler = self.name, "SIGTERM: told to end, shutting down");
                    self.step(vec![Input::Shutdown]);
                }
                Ok(Signal::Hup) => {
                    tracing::info!(scheduler = self.name, "SIGHUP: reloading the configuration");
                    self.spawn(self.clone().reload());
                }
                _ => {}
            }
        }
    }

    /// Loads the configuration again, and applies a changed discovery address; the other settings stay as they were at
    /// the start. Retries on failure, and keeps the current address meanwhile.
    async fn reload(self: Rc<Self>) {
        for _ in 0..MAX_RELOAD_ATTEMPTS {
            match config::load() {
                Ok(config) => {
                    if !self.discovery.is_current(&config.discovery_address) {
                        tracing::info!(
                            scheduler = self.name,
                            board = config.discovery_address,
                            "discovery address changed"
                        );
                        self.reconnect.borrow_mut().address_changed(clock::now());
                        self.follow_discovery(config.discovery_address);
                    }
                    return;
                }
                Err(error) => {
                    tracing::warn!(
                        scheduler = self.name,
                        %error,
                        "cannot reload the configuration; the old settings hold"
                    );
                }
            }
            clock::sleep(RELOAD_BACKOFF).await;
        }
    }

    /// Closes the connections of clients, and waits until all bytes were sent, for at most `timeout` seconds.
    pub(super) async fn flush(self: &Rc<Self>, timeout: f64) {
        let clients: Vec<DownstreamId> = self.downstreams.borrow().keys().copied().collect();
        clients
            .into_iter()
            .for_each(|client| self.close_client(client));
        let deadline = clock::now() + timeout;
        while clock::now() < deadline
            && !(self.closing.borrow().is_empty() && self.upstreams_flushed())
        {
            clock::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    pub(super) fn log_counters(&self) {
        let gateway = self.gateway.borrow();
        let sizes = gateway.sizes();
        let counts = gateway.counts();
        tracing::info!(
            scheduler = self.name,
            requests = sizes.requests,
            waiting = sizes.pending,
            waiting_bytes = sizes.pending_bytes,
            queued_bytes = self.queue.borrow().queued_bytes(),
            unsent_bytes = self.client_unsent.borrow().used(),
            downstreams = sizes.downstreams,
            upstreams = sizes.upstreams,
            machines = sizes.machines,
            discovery = ?self.reconnect.borrow().counts(clock::now()),
            ?counts
        );
    }
}
