//! The event loop: receives inputs in batches, steps the core and carries out its outputs. It makes no decisions.

use crate::core::{Core, Input, Offer, OfferAnswer, Output};
use crate::process::PlannerProcess;
use async_channel::Receiver;
use std::sync::Arc;
use tidespur_daemon::receive_batch;
use tidespur_net::clock;
use tidespur_persistence::{Disk, Outbox};
use tidespur_policy::interface::AttemptOutcome;

/// Maximum time between steps of the core, in seconds.
const TICK_INTERVAL: f64 = 0.25;

/// An offer that is held back until its record is synced to disk.
struct DeferredOffer {
    offer: Offer,
    /// When the offer times out, in seconds since 1970.
    deadline: f64,
}

/// An effect that is held back until the batch that it depends on is synced to disk.
enum DeferredEffect {
    Offer(Box<DeferredOffer>),
    SetPlannerCount(u32),
}

pub(crate) struct EventLoop<'a> {
    process: Arc<PlannerProcess>,
    core: Core,
    inputs: Receiver<Input>,
    /// `None` without a data directory; then all effects may be carried out at once.
    disk: Option<&'a Disk>,
    deferred: Outbox<DeferredEffect>,
}

impl<'a> EventLoop<'a> {
    pub(crate) fn new(
        process: Arc<PlannerProcess>,
        core: Core,
        inputs: Receiver<Input>,
        disk: Option<&'a Disk>,
    ) -> Self {
        Self {
            process,
            core,
            inputs,
            disk,
            deferred: Outbox::default(),
        }
    }

    /// Runs until the channel of inputs, or that of the disk's progress, is closed.
    pub(crate) async fn run(mut self) {
        let progress = self.disk.map(Disk::subscribe);
        let max_inputs = self.process.config.planner.max_events_per_step as usize;
        while let Some(mut batch) =
            receive_batch(&self.inputs, progress.as_ref(), TICK_INTERVAL, max_inputs).await
        {
            if batch.is_empty() {
                batch.push(Input::Tick);
            }
            let now = clock::now();
            if let Some(disk) = self.disk {
                self.core.set_storage_failed(disk.error().is_some());
            }
            batch.extend(self.withdraw_stale_offers(now));
            let mut outputs = Vec::new();
            self.core.step(now, batch, &mut outputs);
            self.execute(now, outputs);
            self.release_deferred();
        }
    }

    /// Removes deferred offers that have timed out or whose task was abandoned, and returns an answer for each.
    fn withdraw_stale_offers(&mut self, now: f64) -> Vec<Input> {
        let core = &self.core;
        let is_stale = |effect: &DeferredEffect| match effect {
            DeferredEffect::Offer(deferred) => {
                let DeferredOffer { offer, deadline } = deferred.as_ref();
                now >= *deadline || !core.is_offer_current(offer.task, offer.attempt)
            }
            DeferredEffect::SetPlannerCount(_) => false,
        };
        let mut answers = Vec::new();
        for effect in self.deferred.remove_matching(is_stale) {
            if let DeferredEffect::Offer(deferred) = effect {
                answers.push(never_sent_answer(&deferred.offer));
            }
        }
        answers
    }

    /// Writes the step's batch and carries out its outputs. Those that depend on the batch are deferred until it is
    /// synced.
    fn execute(&mut self, now: f64, outputs: Vec<Output>) {
        let batch = match self.disk {
            Some(disk) => disk.write(self.core.take_batch()),
            None => 0,
        };
        for output in outputs {
            match output {
                Output::Offer(offer) if self.disk.is_some() => {
                    let deadline = now + offer.timeout;
                    let deferred = Box::new(DeferredOffer { offer, deadline });
                    self.deferred.hold(batch, DeferredEffect::Offer(deferred));
                }
                Output::SetPlannerCount(planners) => {
                    let effect = DeferredEffect::SetPlannerCount(planners);
                    self.deferred.hold(batch, effect);
                }
                output => self.process.execute(output),
            }
        }
    }

    /// Carries out the deferred effects whose batch is synced. Without a disk this is all of them.
    fn release_deferred(&mut self) {
        let synced = self.disk.map_or(u64::MAX, Disk::synced);
        for effect in self.deferred.release(synced) {
            match effect {
                DeferredEffect::Offer(deferred) => self.send_deferred(*deferred),
                DeferredEffect::SetPlannerCount(planners) => self.core.set_planner_count(planners),
            }
        }
    }

    fn send_deferred(&self, deferred: DeferredOffer) {
        let DeferredOffer { offer, deadline } = deferred;
        let timeout = deadline - clock::now();
        if timeout > 0.0 {
            let offer = Offer { timeout, ..offer };
            self.process.execute(Output::Offer(offer));
        } else {
            // If the queue is full, the attempt ends by the policy's own timeout.
            drop(self.process.inputs.try_send(never_sent_answer(&offer)));
        }
    }
}

/// The answer to an offer that was not sent because its record was not synced in time, so that its Pod can't run.
fn never_sent_answer(offer: &Offer) -> Input {
    Input::OfferAnswered {
        task: offer.task,
        attempt: offer.attempt,
        answer: OfferAnswer::NotAccepted {
            outcome: AttemptOutcome::NeverSent,
            message: "the planner's disk was too slow".to_owned(),
            report: None,
        },
    }
}
