//! The scheduler, which makes all placement decisions of tidespur. It does no I/O and reads no clock; its input and
//! output types are in [`interface`](crate::interface).
//!
//! A step processes events (`observations` and the modules it calls), then places pending tasks (`placement`). For each
//! task, `candidates` filters machines (`filters`: the five rules, circuit breakers, capacity), keeps those with the
//! least loss (`loss`: a late start, contention, a machine kept in use), and lets Dice choose among them (`dice`; Xie,
//! Hyytiä, Righter, "Size-Aware Dispatching to Fluid Queues"). Tasks that can't be placed are rejected or failed.
//! Finally, the step polls loads, sends gossip and sets a timer.

mod attempts;
mod candidate_cache;
mod candidates;
mod circuit_breakers;
mod diagnosis;
mod dice;
mod endpoint_subscription;
mod endpoints;
mod estimates;
mod filters;
mod gossip;
mod idle_capacity;
mod load_polling;
mod load_reports;
mod loss;
mod machine_health;
mod machine_state;
mod observations;
pub mod observer;
mod outcomes;
mod pending_queue;
mod placement;
mod placement_counts;
mod preferred_machines;
mod program_cache;
mod reservations;
mod slow_start;
mod task_record;
mod wakeups;

use crate::interface::{Action, Event, Seconds, Settings, SettingsError};
use endpoint_subscription::EndpointSubscription;
use estimates::Estimates;
use idle_capacity::IdleCapacity;
use machine_state::MachineTable;
use observer::{NoObserver, PlacementObserver, SchedulerRng};
use pending_queue::PendingQueue;
use placement_counts::PlacementCounts;
use program_cache::ProgramCache;
use rand::SeedableRng;
use slow_start::SlowStartBudget;
use task_record::TaskTable;

/// Places tasks on machines. It learns about them only from its events.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    seed: u64,
    rng: SchedulerRng,
    tasks: TaskTable,
    pending: PendingQueue,
    machines: MachineTable,
    placement_counts: PlacementCounts,
    programs: ProgramCache,
    endpoint_subscription: EndpointSubscription,
    estimates: Estimates,
    slow_start: SlowStartBudget,
    idle_capacity: IdleCapacity,
    /// When the last requested timer fires; infinite if none is set.
    next_wakeup_at: Seconds,
    machines_examined: u64,
}

impl Scheduler {
    /// Creates a scheduler without machines and tasks. `seed` determines all its random draws.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            seed,
            rng: SchedulerRng::seed_from_u64(seed),
            tasks: TaskTable::new(),
            pending: PendingQueue::new(),
            machines: MachineTable::new(),
            placement_counts: PlacementCounts::default(),
            programs: ProgramCache::default(),
            endpoint_subscription: EndpointSubscription::new(settings.requires_subscription),
            estimates: Estimates::new(),
            slow_start: SlowStartBudget::new(),
            idle_capacity: IdleCapacity::default(),
            next_wakeup_at: f64::INFINITY,
            machines_examined: 0,
            settings,
        })
    }

    /// Processes `events`, which all happened at `now`, and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Seconds, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.step_observed(now, events, actions, &mut NoObserver);
    }

    /// Like [`Self::step`], but calls `observer` before and after each choice of a machine.
    pub fn step_observed(
        &mut self,
        now: Seconds,
        events: Vec<Event>,
        actions: &mut Vec<Action>,
        observer: &mut impl PlacementObserver,
    ) {
        self.slow_start.record_step(now);
        for event in events {
            self.observe(now, event);
        }
        self.subscribe(now, actions);
        self.idle_capacity.update(
            now,
            &self.settings,
            &self.estimates.usage,
            &mut self.machines,
        );
        self.refill_slow_start_budget(now);
        self.place(now, actions, observer);
        self.poll_loads(now, actions);
        self.gossip(now, actions);
        self.set_timer(now, actions);
    }

    /// The number of machines examined so far, where an examination may serve many tasks: a measure of the work of
    /// placement.
    #[must_use]
    pub const fn machines_examined(&self) -> u64 {
        self.machines_examined
    }

    /// The number of pending tasks for which no machine was found, and which wait for the next retry.
    #[must_use]
    pub const fn unplaced_tasks(&self) -> usize {
        self.pending.unplaced_count()
    }

    fn subscribe(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.endpoint_subscription.start_request(now) {
            actions.push(Action::SubscribeEndpoints);
        }
    }

    fn refill_slow_start_budget(&mut self, now: Seconds) {
        let limits = &self.settings.safety_limits;
        let slow_start_machines = self
            .machines
            .values()
            .filter(|machine| machine.is_ready() && machine.is_in_slow_start(limits, now))
            .count();
        self.slow_start
            .refill(now, slow_start_machines, &self.settings, &mut self.rng);
    }
}
