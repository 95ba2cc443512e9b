//! The discovery stream, signals, the measuring of lag, and the counters in the log.

use super::EventLoop;
use crate::config::{self};
use crate::discovery::{self};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;
use tidespur_gateway::{DownstreamId, Input};
use tidespur_net::clock;

/// Interval at which the lag of the event loop is measured, in seconds.
const LAG_INTERVAL: f64 = 0.05;
/// Pause before a configuration that could not be read is read again, in seconds.
const RELOAD_BACKOFF: f64 = 0.1;
/// Attempts to read the configuration after a signal.
const MAX_RELOAD_RETRIES: u32 = 50;
/// Interval at which the shutdown checks whether all bytes were sent, in seconds.
const FLUSH_POLL_INTERVAL: f64 = 0.005;

impl EventLoop {
    /// Measures the lag of the event loop: a timer is handled as late as a message that arrives when it is due, as both
    /// wait for the reactor and for all tasks that were woken before them.
    pub(super) async fn measure_lag(self: Rc<Self>) {
        loop {
            let due = clock::now() + LAG_INTERVAL;
            clock::sleep(LAG_INTERVAL).await;
            self.enqueue(Input::LagMeasured(clock::now() - due));
        }
    }

    /// Follows the discovery stream at its present address.
    pub(super) fn follow_discovery(self: &Rc<Self>) {
        let (this, that) = (self.clone(), self.clone());
        let delivered = move || this.gateway.borrow().last_revision();
        let take = move |data: &str| {
            let event =
                tidespur_gateway::discovery::parse_event(that.gateway.borrow().site(), data);
            match event {
                Ok(event) => that.step(vec![Input::EndpointsDelivered(event)]),
                Err(error) => tracing::warn!(scheduler = that.name, %error),
            }
        };
        self.spawn(discovery::follow(
            self.discovery_address.clone(),
            delivered,
            take,
        ));
    }

    pub(super) async fn signals(self: Rc<Self>, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Term) => {
                    tracing::info!(scheduler = self.name, "told to end");
                    self.step(vec![Input::Shutdown]);
                }
                Ok(Signal::Hup) => {
                    tracing::info!(
                        scheduler = self.name,
                        "told to read its configuration again"
                    );
                    self.spawn(self.clone().reload());
                }
                _ => {}
            }
        }
    }

    /// Reads the configuration again; until that succeeds the previous one stays in use.
    async fn reload(self: Rc<Self>) {
        for _ in 0..MAX_RELOAD_RETRIES {
            match config::load() {
                Ok(config) => {
                    if self.discovery_address.move_to(&config.discovery_address) {
                        tracing::info!(
                            scheduler = self.name,
                            board = config.discovery_address,
                            "another discovery stream"
                        );
                        self.follow_discovery();
                    }
                    return;
                }
                Err(error) => {
                    tracing::warn!(scheduler = self.name, %error, "the old settings hold")
                }
            }
            clock::sleep(RELOAD_BACKOFF).await;
        }
    }

    /// Waits until all bytes were sent, for at most `within` seconds.
    pub(super) async fn flush(self: &Rc<Self>, within: f64) {
        let left: Vec<DownstreamId> = self.downstreams.borrow().keys().copied().collect();
        left.into_iter()
            .for_each(|client| self.close_client(client));
        let until = clock::now() + within;
        while clock::now() < until
            && !(self.closing.borrow().is_empty() && self.upstreams_flushed())
        {
            clock::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    pub(super) fn report(&self) {
        let gateway = self.gateway.borrow();
        let sizes = gateway.sizes();
        let counts = gateway.counts();
        tracing::info!(
            scheduler = self.name,
            requests = sizes.requests,
            waiting = sizes.pending,
            downstreams = sizes.downstreams,
            upstreams = sizes.upstreams,
            machines = sizes.machines,
            ?counts
        );
    }
}
