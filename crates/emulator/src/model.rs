//! Model of a node, without I/O: it processes one offer at a time, admits tasks up to its overcommit limits, starts a
//! few tasks at a time, shares its cores between running tasks, evicts and drains.

use crate::Fault;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Size and behaviour of a node. Times are in seconds, memory is in memory units.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node object, unique in the cluster.
    pub name: String,
    /// Name of the zone that the node is in.
    pub zone: String,
    /// Name of the rack, unique within its zone.
    pub rack: String,
    /// Machine type; tasks can require one.
    pub kind: String,
    /// Number of cores that tasks share.
    pub cores: f64,
    /// Memory units; beyond this, tasks are evicted.
    pub memory: f64,
    /// Tasks are admitted until their requests reach this multiple of `cores`.
    pub cpu_overcommit: f64,
    /// Tasks are admitted until their requests reach this multiple of `memory`.
    pub memory_overcommit: f64,
    /// Time to process one offer at full speed.
    pub offer_processing_time: f64,
    /// Offers that may wait; further ones are refused.
    pub max_queued_offers: usize,
    /// Tasks that start at the same time; further ones wait.
    pub max_concurrent_starts: usize,
    /// Time to start a task whose program is cached.
    pub start_time: f64,
    /// Multiple of `start_time` for a task whose program is not cached.
    pub set_up_factor: f64,
    /// Programs that stay cached after their last task.
    pub max_cached_programs: usize,
    /// Time after its start until a node runs at full speed; 0 for a node that is already warm.
    pub warm_up_time: f64,
    /// Speed right after the start, as a share of the full speed.
    pub slow_start_speed: f64,
    /// A node that warms up fails only after more offers than this within `overload_window`.
    pub slow_start_offers: f64,
    /// It fails once the offered start work exceeds this multiple of what it can do within `overload_window`.
    pub overload_ratio: f64,
    /// Window over which offers to a node that warms up are counted.
    pub overload_window: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            name: "node".into(),
            zone: "halle-a".into(),
            rack: "rack-1".into(),
            kind: "std-24".into(),
            cores: 24.0,
            memory: 48.0,
            cpu_overcommit: 2.5,
            memory_overcommit: 1.2,
            offer_processing_time: 0.01,
            max_queued_offers: 64,
            max_concurrent_starts: 4,
            start_time: 0.05,
            set_up_factor: 6.0,
            max_cached_programs: 7,
            warm_up_time: 0.0,
            slow_start_speed: 0.15,
            slow_start_offers: 8.0,
            overload_ratio: 2.5,
            overload_window: 1.0,
            seed: 1,
        }
    }
}

/// A task as it is offered to the node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    /// Namespace and name of the Pod on the node.
    pub name: (String, String),
    /// Uid of the request.
    pub uid: String,
    /// Equal for all attempts of the same request.
    pub idempotency_key: String,
    /// Service whose program the task runs.
    pub service: String,
    /// Requested cores. Admission counts them against the node's cores.
    pub cores: f64,
    /// Requested memory units.
    pub memory: f64,
    /// Tasks of low priority are evicted first.
    pub priority: i64,
    /// Run time in seconds on a node whose cores are not overloaded.
    pub run_time: f64,
    /// Required machine type; `None` accepts any.
    pub required_kind: Option<String>,
    /// Unix time in seconds after which the planner no longer waits for the answer.
    pub deadline: f64,
}

/// Why an offer is refused. Recordings contain the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The requested cores exceed the overcommit limit.
    OutOfCpu,
    /// The requested memory exceeds the overcommit limit.
    OutOfMemory,
    /// The queue of offers is full.
    Queue,
    /// The task requires another machine type.
    Kind,
    /// The node drains.
    Draining,
    /// The deadline of the offer has passed.
    TooLate,
    /// The node already holds a task of this name or idempotency key.
    Copy,
    /// Caused by an injected fault.
    Error,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ran for its whole run time.
    Succeeded,
    /// Evicted because the node ran out of memory.
    Evicted,
    /// Terminated by [`Fault::TerminateTasks`].
    Terminated,
    /// Deleted through the API.
    Deleted,
}

/// Input of the model.
#[derive(Clone, Debug)]
pub enum Event {
    /// An offer; [`Action::Respond`] returns its number.
    Offer(u64, Offer),
    /// The task of this namespace and name was deleted through the API.
    Delete(String, String),
    /// Whether the node is marked as unschedulable.
    Draining(bool),
    /// A fault starts.
    Fault(Fault),
}

/// How a response is delivered. Recordings contain the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Sent to the caller.
    Sent,
    /// Never sent; the connection stays open.
    Silent,
    /// The connection is closed without a response.
    Reset,
}

/// Output of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers the offer of this number.
    Respond(u64, Result<(), Refusal>, Delivery),
    /// The task of this namespace and name has started.
    TaskStarted(String, String),
    /// The task of this namespace and name has ended.
    TaskEnded(String, String, TaskEnd),
    /// Closes all open watches.
    CloseWatches,
    /// The node was overloaded while it warmed up. It stays down until its process is restarted.
    Overloaded,
}

#[derive(Debug)]
struct Task {
    offer: Offer,
    /// Seconds of start work that are left at full speed; 0 once the task runs.
    start_left: f64,
    starting: bool,
    /// Seconds of run time that are left.
    run_left: f64,
    used_cores: f64,
    used_memory: f64,
}

/// Injected faults; each ends at the time in its last field.
#[derive(Debug, Default)]
struct ActiveFaults {
    /// Factor and end.
    slow: (f64, f64),
    hang_until: f64,
    /// Share, whether the connection is closed, and end.
    drop_responses: (f64, bool, f64),
    /// Share and end.
    errors: (f64, f64),
    /// Zones and end.
    partition: (Vec<String>, f64),
    use_all_until: f64,
    reads_blocked_until: f64,
}

/// An emulated node. Times are Unix times in seconds.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    rng: rand_pcg::Pcg32,
    started_at: f64,
    now: f64,
    queue: VecDeque<(u64, Offer)>,
    /// When the offer at the head of the queue is processed; `None` while the queue is empty.
    processed_at: Option<f64>,
    tasks: BTreeMap<(String, String), Task>,
    /// Programs of services without a task, least recently used first.
    cached_programs: VecDeque<String>,
    draining: bool,
    /// Time of the next termination and the interval.
    terminating: Option<(f64, f64)>,
    faults: ActiveFaults,
    /// Time and start work of each offer within the overload window.
    recent_offers: VecDeque<(f64, f64)>,
    overloaded: bool,
}

impl Node {
    /// A node that starts at `now`, without tasks.
    pub fn new(settings: NodeSettings, now: f64) -> Self {
        let rng = rand_pcg::Pcg32::seed_from_u64(settings.seed);
        Self {
            settings,
            rng,
            started_at: now,
            now,
            queue: VecDeque::new(),
            processed_at: None,
            tasks: BTreeMap::new(),
            cached_programs: VecDeque::new(),
            draining: false,
            terminating: None,
            faults: ActiveFaults::default(),
            recent_offers: VecDeque::new(),
            overloaded: false,
        }
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Zones whose requests are not answered at `now`; empty without such a fault.
    pub fn partitioned_zones(&self, now: f64) -> &[String] {
        if now < self.faults.partition.1 {
            &self.faults.partition.0
        } else {
            &[]
        }
    }

    /// Whether GET requests are not answered at `now`.
    pub fn reads_blocked(&self, now: f64) -> bool {
        now < self.faults.reads_blocked_until
    }

    /// Whether it failed because of overload while it warmed up. Then it answers nothing.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Cores and memory units that no task has requested; negative where the node is overcommitted.
    pub fn unclaimed(&self) -> (f64, f64) {
        let sum = |of: fn(&Offer) -> f64| self.tasks.values().map(|t| of(&t.offer)).sum::<f64>();
        (
            self.settings.cores - sum(|o| o.cores),
            self.settings.memory - sum(|o| o.memory),
        )
    }

    /// Cores and memory units not in use, and the number of queued offers and unfinished starts.
    pub fn load(&self) -> (f64, f64, usize) {
        let (cores, memory) = self.used();
        let waiting = self.queue.len() + self.tasks.values().filter(|t| t.start_left > 0.0).count();
        (
            (self.settings.cores - cores).max(0.0),
            (self.settings.memory - memory).max(0.0),
            waiting,
        )
    }

    fn used(&self) -> (f64, f64) {
        let use_all = self.now < self.faults.use_all_until;
        let running = || self.tasks.values().filter(|t| t.start_left <= 0.0);
        let cores = running()
            .map(|t| if use_all { t.offer.cores } else { t.used_cores })
            .sum();
        (cores, running().map(|t| t.used_memory).sum())
    }

    fn warm_up_speed(&self) -> f64 {
        if self.settings.warm_up_time <= 0.0 {
            return 1.0;
        }
        let share = ((self.now - self.started_at) / self.settings.warm_up_time).clamp(0.0, 1.0);
        self.settings.slow_start_speed + (1.0 - self.settings.slow_start_speed) * share
    }

    fn speed(&self) -> f64 {
        let slow = if self.now < self.faults.slow.1 {
            self.faults.slow.0.max(1.0)
        } else {
            1.0
        };
        self.warm_up_speed() / slow
    }

    /// Speed of running tasks, from 0 to 1: below 1 where they use more cores than there are.
    fn cpu_share(&self) -> f64 {
        (self.settings.cores / self.used().0.max(1e-9)).min(1.0)
    }

    /// Advances to `now` and then handles `events`.
    pub fn step(&mut self, now: f64, events: Vec<Event>, out: &mut Vec<Action>) {
        self.advance(now, out);
        if self.overloaded {
            return;
        }
        for event in events {
            self.handle_event(event, out);
        }
        self.begin_work();
    }

    /// Time of the next step, at the latest.
    pub fn next_wake(&self) -> f64 {
        let (speed, cpu_share) = (self.speed().max(1e-3), self.cpu_share().max(1e-3));
        let starts = self
            .tasks
            .values()
            .filter(|t| t.starting)
            .map(|t| t.start_left / speed);
        let ends = self
            .tasks
            .values()
            .filter(|t| t.start_left <= 0.0)
            .map(|t| t.run_left / cpu_share);
        let next_change = starts.chain(ends).fold(f64::INFINITY, f64::min);
        // Below full speed the speed changes with time, so that estimates of completion times are short-lived.
        let step = if speed < 1.0 && !self.tasks.is_empty() {
            0.1
        } else {
            5.0
        };
        let terminated = self.terminating.map_or(f64::INFINITY, |(next, _)| next);
        let processed = self.processed_at.unwrap_or(f64::INFINITY);
        (self.now + next_change.min(step) + 1e-4)
            .min(processed)
            .min(terminated)
    }

    /// Processes everything that happens up to `now`.
    fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        let dt = (now - self.now).max(0.0);
        let (speed, cpu_share) = (self.speed(), self.cpu_share());
        self.now = self.now.max(now);
        let mut finished = Vec::new();
        for (name, task) in &mut self.tasks {
            if task.starting {
                task.start_left -= dt * speed;
                if task.start_left <= 0.0 {
                    (task.starting, task.start_left) = (false, 0.0);
                    out.push(Action::TaskStarted(name.0.clone(), name.1.clone()));
                }
            } else if task.start_left <= 0.0 {
                task.run_left -= dt * cpu_share;
                if task.run_left <= 0.0 {
                    finished.push(name.clone());
                }
            }
        }
        for name in finished {
            self.end_task(&name, TaskEnd::Succeeded, out);
        }
        while self.processed_at.is_some_and(|until| until <= now) {
            self.processed_at = None;
            if let Some((id, offer)) = self.queue.pop_front() {
                self.process_offer(id, offer, out);
            }
            self.begin_work();
        }
        while self.used().1 > self.settings.memory {
            let eviction_order = |t: &Task| (t.offer.priority, -t.used_memory);
            let victim = self
                .tasks
                .iter()
                .filter(|(_, t)| t.start_left <= 0.0)
                .min_by(|a, b| {
                    let (a, b) = (eviction_order(a.1), eviction_order(b.1));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                });
            let Some(name) = victim.map(|(name, _)| name.clone()) else {
                break;
            };
            self.end_task(&name, TaskEnd::Evicted, out);
        }
        while let Some((next, every)) = self.terminating.filter(|(next, _)| *next <= now) {
            let Some(name) = self.tasks.keys().next().cloned() else {
                self.terminating = None;
                break;
            };
            self.end_task(&name, TaskEnd::Terminated, out);
            self.terminating = Some((next + every, every));
        }
        self.begin_work();
    }

    /// Begins to process the next offer and starts tasks that wait.
    fn begin_work(&mut self) {
        if self.processed_at.is_none() && !self.queue.is_empty() {
            self.processed_at = Some(
                self.now + self.settings.offer_processing_time / self.speed().clamp(1e-3, 1.0),
            );
        }
        let mut free_starts = self
            .settings
            .max_concurrent_starts
            .saturating_sub(self.tasks.values().filter(|t| t.starting).count());
        for task in self
            .tasks
            .values_mut()
            .filter(|t| t.start_left > 0.0 && !t.starting)
        {
            if free_starts == 0 {
                break;
            }
            task.starting = true;
            free_starts -= 1;
        }
    }

    fn handle_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Offer(id, offer) => {
                self.count_offer(&offer, out);
                if self.overloaded {
                } else if self.now < self.faults.hang_until {
                    out.push(Action::Respond(id, Err(Refusal::Error), Delivery::Silent));
                } else if self.now < self.faults.errors.1
                    && self.rng.random_bool(self.faults.errors.0)
                {
                    out.push(Action::Respond(id, Err(Refusal::Error), Delivery::Sent));
                } else if self.queue.len() >= self.settings.max_queued_offers {
                    out.push(Action::Respond(id, Err(Refusal::Queue), Delivery::Sent));
                } else {
                    self.queue.push_back((id, offer));
                }
            }
            Event::Delete(namespace, name) => {
                self.end_task(&(namespace, name), TaskEnd::Deleted, out)
            }
            Event::Draining(draining) => self.draining = draining,
            Event::Fault(fault) => self.apply_fault(fault, out),
        }
    }

    fn apply_fault(&mut self, fault: Fault, out: &mut Vec<Action>) {
        let now = self.now;
        match fault {
            Fault::Slow { factor, seconds } => self.faults.slow = (factor, now + seconds),
            Fault::Hang { seconds } => self.faults.hang_until = now + seconds,
            Fault::DropResponses {
                share,
                reset,
                seconds,
            } => {
                self.faults.drop_responses = (share.clamp(0.0, 1.0), reset, now + seconds);
            }
            Fault::ReturnErrors { share, seconds } => {
                self.faults.errors = (share.clamp(0.0, 1.0), now + seconds)
            }
            Fault::PartitionZones { zones, seconds } => {
                self.faults.partition = (zones, now + seconds);
                out.push(Action::CloseWatches);
            }
            Fault::UseAllRequestedCores { seconds } => self.faults.use_all_until = now + seconds,
            Fault::BlockReads { seconds } => {
                self.faults.reads_blocked_until = now + seconds;
                out.push(Action::CloseWatches);
            }
            Fault::ClearProgramCache => self.cached_programs.clear(),
            Fault::CloseWatches => out.push(Action::CloseWatches),
            Fault::TerminateTasks { every } => self.terminating = Some((now, every)),
        }
    }

    /// Counts an offer that arrives during warm-up, and lets the node fail where the offers exceed its limits.
    fn count_offer(&mut self, offer: &Offer, out: &mut Vec<Action>) {
        if self.warm_up_speed() >= 1.0 {
            return;
        }
        let settings = &self.settings;
        let work = settings.start_time
            * if self.has_program(&offer.service) {
                1.0
            } else {
                settings.set_up_factor
            };
        self.recent_offers.push_back((self.now, work));
        while self
            .recent_offers
            .front()
            .is_some_and(|(at, _)| *at <= self.now - settings.overload_window)
        {
            self.recent_offers.pop_front();
        }
        let offered: f64 = self.recent_offers.iter().map(|(_, work)| work).sum();
        let capacity =
            self.warm_up_speed() * settings.max_concurrent_starts as f64 * settings.overload_window;
        if self.recent_offers.len() as f64 > settings.slow_start_offers
            && offered > settings.overload_ratio * capacity
        {
            self.overloaded = true;
            out.push(Action::Overloaded);
        }
    }

    fn has_program(&self, service: &str) -> bool {
        self.tasks.values().any(|t| t.offer.service == service)
            || self
                .cached_programs
                .iter()
                .any(|program| program == service)
    }

    fn process_offer(&mut self, id: u64, offer: Offer, out: &mut Vec<Action>) {
        let answer = self.check_admission(&offer);
        let mut delivery = Delivery::Sent;
        if answer.is_ok() {
            let (share, reset, until) = self.faults.drop_responses;
            if self.now < until && self.rng.random_bool(share) {
                delivery = if reset {
                    Delivery::Reset
                } else {
                    Delivery::Silent
                };
            }
            let start_left = self.settings.start_time
                * if self.has_program(&offer.service) {
                    1.0
                } else {
                    self.settings.set_up_factor
                };
            let used_cores = offer.cores * self.rng.random_range(0.40..0.66);
            let used_memory = offer.memory * self.rng.random_range(0.52..0.80);
            let run_left = offer.run_time;
            let task = Task {
                start_left,
                starting: false,
                run_left,
                used_cores,
                used_memory,
                offer,
            };
            self.tasks.insert(task.offer.name.clone(), task);
        }
        out.push(Action::Respond(id, answer, delivery));
    }

    fn check_admission(&self, offer: &Offer) -> Result<(), Refusal> {
        let (cores, memory) = self.unclaimed();
        let exceeds = |free: f64, size: f64, overcommit: f64, requested: f64| {
            size - free + requested > size * overcommit + 1e-9
        };
        match () {
            () if self.now > offer.deadline => Err(Refusal::TooLate),
            () if self.draining || self.terminating.is_some() => Err(Refusal::Draining),
            () if offer
                .required_kind
                .as_ref()
                .is_some_and(|kind| *kind != self.settings.kind) =>
            {
                Err(Refusal::Kind)
            }
            () if self.tasks.contains_key(&offer.name) => Err(Refusal::Copy),
            () if self
                .tasks
                .values()
                .any(|t| t.offer.idempotency_key == offer.idempotency_key) =>
            {
                Err(Refusal::Copy)
            }
            () if exceeds(
                cores,
                self.settings.cores,
                self.settings.cpu_overcommit,
                offer.cores,
            ) =>
            {
                Err(Refusal::OutOfCpu)
            }
            () if exceeds(
                memory,
                self.settings.memory,
                self.settings.memory_overcommit,
                offer.memory,
            ) =>
            {
                Err(Refusal::OutOfMemory)
            }
            () => Ok(()),
        }
    }

    fn end_task(&mut self, name: &(String, String), end: TaskEnd, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.remove(name) else {
            return;
        };
        if !self
            .tasks
            .values()
            .any(|t| t.offer.service == task.offer.service)
        {
            self.cached_programs
                .retain(|program| *program != task.offer.service);
            self.cached_programs.push_back(task.offer.service);
            while self.cached_programs.len() > self.settings.max_cached_programs {
                self.cached_programs.pop_front();
            }
        }
        out.push(Action::TaskEnded(name.0.clone(), name.1.clone(), end));
    }
}
