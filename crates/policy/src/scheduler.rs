//! All decisions of tidespur; here what is known. Types, events and actions: `src/interface.rs`.
//!
//! The path of a request: `step` takes in what was observed (`observations`), then `placement` takes what waits. `pick`
//! (`dice`) filters machines by what bars them (`filters`: the five rules, troubles, room), narrows these to
//! those that lose least (late start, crowding, a machine kept in use), and lets Dice choose (Xie, Hyytiä,
//! Righter, "Size-Aware Dispatching to Fluid Queues"). What can't be placed ends in `finish`, or by an event.

use crate::{interface::*, running_mean::*};
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

mod dice;
mod filters;
mod gossip;
mod machine_state;
mod observations;
mod placement;
#[cfg(test)]
mod plain;

use machine_state::cold;

const GUESSED: f64 = 3.0; // What is taken before anything is seen counts as this many observations.
const USED: [f64; 2] = [0.6, 0.75]; // Use of asked cores and memory before any was seen.
const CORES_FULL: f64 = 0.95; // Comfort: cores in use up to this, as use swings,
const MEMORY_FULL: f64 = 0.80; // and memory up to this: machines slow down and evict soon above.
const START: Seconds = 0.2; // One start with the program at hand, before any was seen,
const SETUP: f64 = 6.0; // and how many times that one without it takes.
const GONE: u32 = 1 << 31; // Marks a program whose last task has ended.
const ANSWER: Seconds = 0.05; // Usual time to an answer before one was seen.
const LEEWAY: Seconds = 0.03; // Final answers that nothing forces earlier go out so long before the deadline.
const VIEW_LAG: Seconds = 1.0; // Lists and reports speak of a moment about this long ago.
const STRIKES_MOST: i32 = 16;
const ADMIT_FULL: f64 = 0.97; // Admission is planned up to this share: views are late and a refusal costs.
const KEPT_FOR: Seconds = 3.0; // and a machine is trusted to keep one for this long after its last task.
const ASK_AGAIN: Seconds = 0.8; // First pause before asking for the list again, drawn from half to whole.

/// A class and a tenant.
type TrafficClass = (usize, usize);

#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum TaskState {
    #[default]
    Held,
    Out,
    Bound,
    Over, // Nothing is owed, an outcome is still to come.
}

#[derive(Debug, Default)]
struct Job {
    task: Task,
    state: TaskState,
    sends: u32,
    sent_at: Seconds,
    machine: MachineId,
    /// First attempt that may have run: when it was sent and where.
    may_run: Option<(Seconds, MachineId)>,
    failed_at: Option<MachineId>, // The machine that first returned an error,
    own_error: bool,              // and whether another did too.
    warm: bool,
}

/// What one of our tasks asks of its machine, and how far it has come.
#[derive(Debug)]
struct Reservation {
    asked: [f64; 2],
    ends: Seconds, // When its hinted life runs out.
    sent_at: Seconds,
    answered: bool,
    runs: bool,
    start: f64,  // Work of its start,
    alone: bool, // which had no start of ours before it.
}

#[derive(Debug, Default)]
struct Machine {
    entry: Option<Endpoint>, // What the list tells of it.
    leaving: bool,
    size: [f64; 2],
    cold_until: Seconds,
    tasks: BTreeMap<TaskId, Reservation>, // Ours, offered or placed.
    own: [f64; 2],                        // Cores and memory that they ask for,
    lagged: [f64; 2],                     // as they stood a view's lag before
    lagged_at: Seconds,
    others: [f64; 2], // and those that others' tasks ask for.
    used: [Mean; 2],  // Use of what is asked, where reports tell.
    /// What failed, for one class and tenant or for all: how often in a row, until when it bars. After that
    /// pause, which doubles, one task at a time is let through until one succeeds (a circuit breaker).
    troubles: BTreeMap<Option<TrafficClass>, (i32, Seconds)>,
    offered_at: Seconds, // The last offer while it was cold.
    report_at: Seconds,
    probe_at: Seconds,
    spare: bool, // Not needed for what runs now, where machines in use cost.
}

/// The standing with the list of machines: a call that is out, when the next may go, failures in a row.
#[derive(Debug, Default)]
struct List {
    subscribed: bool,
    asked_at: Option<Seconds>,
    ask_at: Seconds,
    fails: i32,
}

/// What a look at all that waits has found, while machines only fill. Guards against a scheduler that drowns:
/// a walk over all machines for each waiting task costs more than it has.
#[derive(Debug, Default)]
struct CandidateCache {
    /// Machines that nothing bars for a class and tenant whatever the task, in order of ids.
    open: BTreeMap<TrafficClass, Vec<MachineId>>,
    /// Cores and memory that no machine takes, by class, tenant and, where it counts, service.
    full: BTreeMap<(usize, usize, ServiceId), Vec<[f64; 2]>>,
    looked: u64, // Machines that were looked at, for one task or for many.
}

/// Decides for one scheduler. It knows what its events told it, nothing else.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    seed: u64,
    rng: rand_pcg::Pcg32,
    jobs: BTreeMap<TaskId, Job>,
    /// Tasks to place now, and tasks that found no machine and are tried again from `retry_at`.
    fresh: Vec<TaskId>,
    held: Vec<TaskId>,
    retry_at: Seconds,
    next_wake: Seconds,
    machines: BTreeMap<MachineId, Machine>,
    spread: BTreeMap<(ServiceId, MachineId), u32>,
    /// Programs without a task of ours, as others told or we remember, and until when; and those to tell of.
    programs: BTreeMap<(u32, u32), Seconds>,
    to_tell: Vec<(u32, u32)>,
    list: List,
    /// Life, work, cores and memory of tasks; their rate and when it was counted.
    life: Mean,
    work: Mean,
    sizes: [Mean; 2],
    rate: (f64, Seconds),
    /// Use of what is asked on all machines.
    used: [Mean; 2],
    /// Time to an answer, and its deviation from the mean.
    answer: Mean,
    deviation: Mean,
    /// Time of a start with and without the program.
    starts: [Mean; 2],
    /// Offers that may yet go to cold machines, where there are any, and when that was counted.
    cold_offers: (Option<f64>, Seconds),
    /// The first step. Until then another may have had our part of what cold machines bear, and used it.
    began: Seconds,
    spare_at: Seconds,
    need: [f64; 2],
    looked: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing yet; `seed` is all the chance it has.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            seed,
            rng: rand_pcg::Pcg32::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            fresh: Vec::new(),
            held: Vec::new(),
            retry_at: f64::INFINITY,
            next_wake: f64::INFINITY,
            machines: BTreeMap::new(),
            spread: BTreeMap::new(),
            programs: BTreeMap::new(),
            to_tell: Vec::new(),
            list: List {
                subscribed: !settings.requires_subscription,
                ..List::default()
            },
            life: Mean::default(),
            work: Mean::default(),
            sizes: [Mean::default(); 2],
            rate: (0.0, 0.0),
            used: USED.map(|value| Mean {
                value,
                seen: GUESSED,
            }),
            answer: Mean {
                value: ANSWER,
                seen: GUESSED,
            },
            deviation: Mean {
                value: ANSWER / 2.0,
                seen: GUESSED,
            },
            starts: [1.0, SETUP].map(|setup| Mean {
                value: START * setup,
                seen: GUESSED,
            }),
            cold_offers: (None, 0.0),
            began: f64::INFINITY,
            spare_at: 0.0,
            need: [0.0; 2],
            looked: 0,
            settings,
        })
    }

    /// Takes in `events`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: Seconds, events: Vec<Event>, out: &mut Vec<Action>) {
        self.began = self.began.min(now);
        for event in events {
            self.observe(now, event);
        }
        self.keep_list(now, out);
        self.mark_spare(now);
        self.refill_cold(now);
        self.place(now, out);
        self.probe(now, out);
        self.tell(now, out);
        self.wake(now, out);
    }

    /// Machines that were looked at so far, for one task or for many: the work of choosing.
    pub fn machines_examined(&self) -> u64 {
        self.looked
    }
}

/// A service and a machine as schedulers tell each other of them.
fn pair(service: ServiceId, machine: MachineId) -> (u32, u32) {
    (service.0 as u32, machine.0 as u32 & !GONE)
}
