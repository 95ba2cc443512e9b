//! The discovery stream, signals, and the clock of the loop.

use super::*;
use futures_lite::StreamExt;

/// How far the loop is behind is measured this often.
const MARK: f64 = 0.05;
/// A configuration that can't be read is read again after this, so many times.
const REREAD: f64 = 0.1;
const REREADS: u32 = 50;
/// At the end, it is looked this often whether all has left.
const FLUSHED: f64 = 0.005;

impl Run {
    /// Measures how far the loop is behind: a timer comes to its turn as late as a message that came when it was
    /// due, as both wait for the reactor and for all that was woken before them.
    pub(super) async fn mark(self: Rc<Self>) {
        loop {
            let due = clock::now() + MARK;
            clock::sleep(MARK).await;
            self.put(Input::LagMeasured(clock::now() - due));
        }
    }

    /// Follows the discovery stream where it is now.
    pub(super) fn follow(self: &Rc<Self>) {
        let (this, that) = (self.clone(), self.clone());
        let delivered = move || this.gateway.borrow().last_revision();
        let take = move |data: &str| {
            let event =
                tidespur_gateway::discovery::parse_event(that.gateway.borrow().site(), data);
            match event {
                Ok(event) => that.step(vec![Input::EndpointsDelivered(event)]),
                Err(problem) => tracing::warn!(scheduler = that.name, %problem),
            }
        };
        self.spawn(discovery::follow(self.board.clone(), delivered, take));
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

    /// Reads the configuration again; until it can be read, what was read before holds.
    async fn reload(self: Rc<Self>) {
        for _ in 0..REREADS {
            match config::load() {
                Ok(config) => {
                    if self.board.moves_to(&config.board) {
                        tracing::info!(
                            scheduler = self.name,
                            board = config.board,
                            "another discovery stream"
                        );
                        self.follow();
                    }
                    return;
                }
                Err(problem) => {
                    tracing::warn!(scheduler = self.name, %problem, "the old settings hold")
                }
            }
            clock::sleep(REREAD).await;
        }
    }

    /// Waits until what was written has left, within so many seconds.
    pub(super) async fn flush(self: &Rc<Self>, within: f64) {
        let left: Vec<DownstreamId> = self.downstreams.borrow().keys().copied().collect();
        left.into_iter()
            .for_each(|client| self.close_client(client));
        let until = clock::now() + within;
        while clock::now() < until
            && !(self.closing.borrow().is_empty() && self.upstreams_flushed())
        {
            clock::sleep(FLUSHED).await;
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
