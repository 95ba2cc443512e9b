//! The scheduler: all decisions of tidespur. It does no I/O and reads no clock; the types that it is driven
//! through are in [`interface`](crate::interface).
//!
//! A step takes in events (`observations` and the modules that it calls), then places pending tasks (`placement`).
//! For each of them `candidates` filters machines (`filters`: the five rules, circuit breakers, capacity), keeps
//! those that lose least (`loss`: a late start, crowding, a machine kept in use), and lets Dice choose (`dice`;
//! Xie, Hyytiä, Righter, "Size-Aware Dispatching to Fluid Queues"). What can't be placed is rejected or fails.
//! Last, the step polls, gossips and sets a timer.

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

/// Places tasks on machines. It knows only what its events contain.
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
    /// When the timer that was asked for last fires; infinite if none is set.
    next_wakeup_at: Seconds,
    machines_examined: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing yet. All its random draws follow from `seed`.
    ///
    /// # Errors
    /// The first setting that it can't work with.
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

    /// Takes in `events`, all of time `now`, and appends what is to be done to `actions`.
    pub fn step(&mut self, now: Seconds, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.step_observed(now, events, actions, &mut NoObserver);
    }

    /// As [`Self::step`], with an observer of each choice of a machine.
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

    /// Machines that were examined so far, for one task or for many: the work of choosing.
    #[must_use]
    pub const fn machines_examined(&self) -> u64 {
        self.machines_examined
    }

    /// Tasks that found no machine and wait for the next retry.
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
