//! How a node behaves, without I/O: it looks at one offer at a time, admits by its own limits, starts a few tasks
//! at a time, crowds, evicts and drains.

use crate::Fault;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// A node's nature.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Kind.
    pub kind: String,
    /// Cores.
    pub cores: f64,
    /// Memory units.
    pub memory: f64,
    /// Accepts until tasks ask for this multiple of its cores,
    pub cpu_overcommit: f64,
    /// or this of its memory.
    pub memory_overcommit: f64,
    /// Time to look at one offer.
    pub offer_processing_time: f64,
    /// Offers that may wait.
    pub max_queued_offers: usize,
    /// Starts at a time.
    pub max_concurrent_starts: usize,
    /// Time of a start where the program is at hand.
    pub start_time: f64,
    /// Times as long where it is not.
    pub set_up_factor: f64,
    /// Programs kept after their last task.
    pub max_cached_programs: usize,
    /// A node that came up just now is at full pace after this long, 0 for one that is warm,
    pub warm_up_time: f64,
    /// and begins at this share of it.
    pub slow_start_speed: f64,
    /// Offers within `overload_window` that it bears however cold,
    pub slow_start_offers: f64,
    /// else this multiple of what it can start.
    pub overload_ratio: f64,
    /// See `slow_start_offers`.
    pub overload_window: f64,
    /// All the chance it has.
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

/// A task as it is offered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    /// Namespace and name, under which it stands here.
    pub name: (String, String),
    /// Uid of its request.
    pub uid: String,
    /// The same for repeats.
    pub key: String,
    /// Its program.
    pub service: String,
    /// Cores asked.
    pub cores: f64,
    /// Memory units asked.
    pub memory: f64,
    /// Higher stays longer.
    pub priority: i64,
    /// How long it will run.
    pub runs: f64,
    /// The kind of node that it needs.
    pub kind: Option<String>,
    /// After this nobody waits for an answer.
    pub until: f64,
}

/// Why an offer is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Not enough cores.
    OutOfCpu,
    /// Not enough memory.
    OutOfMemory,
    /// Too many offers wait.
    Queue,
    /// Another kind is wanted.
    Kind,
    /// It drains.
    Draining,
    /// The offer's time is over.
    TooLate,
    /// A copy stands here.
    Copy,
    /// An error.
    Error,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// It finished.
    Succeeded,
    /// Evicted for memory.
    Evicted,
    /// Sent away.
    SentAway,
    /// Deleted.
    Deleted,
}

/// What the node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// An offer; its number comes back with the answer.
    Offer(u64, Offer),
    /// A task is not wanted any more.
    Delete(String, String),
    /// It drains, or takes tasks again.
    Draining(bool),
    /// A trouble begins.
    Fault(Fault),
}

/// How an answer goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// As it should.
    Sent,
    /// Never.
    Silent,
    /// The connection is cut.
    Reset,
}

/// What the node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers an offer.
    Answer(u64, Result<(), Refusal>, Way),
    /// A task runs now.
    Runs(String, String),
    /// A task has ended.
    Ended(String, String, Over),
    /// All open watches break.
    BreakWatches,
    /// More was sent to the cold node than it bears: it stays down.
    Fell,
}

#[derive(Debug)]
struct Task {
    offer: Offer,
    /// Work of the start that is left; 0 once it runs.
    start_left: f64,
    starting: bool,
    left: f64,
    use_cores: f64,
    use_memory: f64,
}

#[derive(Debug, Default)]
struct Troubles {
    slow: (f64, f64),
    hang: f64,
    lose: (f64, bool, f64),
    errors: (f64, f64),
    cut: (Vec<String>, f64),
    use_all: f64,
    mute: f64,
}

/// The node.
#[derive(Debug)]
pub struct Node {
    set: NodeSettings,
    rng: rand_pcg::Pcg32,
    born: f64,
    now: f64,
    line: VecDeque<(u64, Offer)>,
    looking_until: Option<f64>,
    tasks: BTreeMap<(String, String), Task>,
    kept: VecDeque<String>,
    draining: bool,
    send_away: Option<(f64, f64)>,
    troubles: Troubles,
    recent: VecDeque<(f64, f64)>,
    fell: bool,
}

impl Node {
    /// A node that came up at `now`.
    pub fn new(set: NodeSettings, now: f64) -> Self {
        let rng = rand_pcg::Pcg32::seed_from_u64(set.seed);
        Self {
            set,
            rng,
            born: now,
            now,
            line: VecDeque::new(),
            looking_until: None,
            tasks: BTreeMap::new(),
            kept: VecDeque::new(),
            draining: false,
            send_away: None,
            troubles: Troubles::default(),
            recent: VecDeque::new(),
            fell: false,
        }
    }

    /// Its nature.
    pub fn settings(&self) -> &NodeSettings {
        &self.set
    }

    /// Zones that it is cut from now.
    pub fn cut_from(&self, now: f64) -> &[String] {
        if now < self.troubles.cut.1 {
            &self.troubles.cut.0
        } else {
            &[]
        }
    }

    /// Whether nobody can see what it holds.
    pub fn mute(&self, now: f64) -> bool {
        now < self.troubles.mute
    }

    /// Whether it was pushed over.
    pub fn fallen(&self) -> bool {
        self.fell
    }

    /// Cores and memory that nobody has asked for.
    pub fn unclaimed(&self) -> (f64, f64) {
        let sum = |of: fn(&Offer) -> f64| self.tasks.values().map(|t| of(&t.offer)).sum::<f64>();
        (
            self.set.cores - sum(|o| o.cores),
            self.set.memory - sum(|o| o.memory),
        )
    }

    /// Cores and memory not in use, and offers and starts that wait.
    pub fn load(&self) -> (f64, f64, usize) {
        let (cores, memory) = self.used();
        let waiting = self.line.len() + self.tasks.values().filter(|t| t.start_left > 0.0).count();
        (
            (self.set.cores - cores).max(0.0),
            (self.set.memory - memory).max(0.0),
            waiting,
        )
    }

    fn used(&self) -> (f64, f64) {
        let all = self.now < self.troubles.use_all;
        let running = || self.tasks.values().filter(|t| t.start_left <= 0.0);
        let cores = running()
            .map(|t| if all { t.offer.cores } else { t.use_cores })
            .sum();
        (cores, running().map(|t| t.use_memory).sum())
    }

    fn warmth(&self) -> f64 {
        if self.set.warm_up_time <= 0.0 {
            return 1.0;
        }
        let share = ((self.now - self.born) / self.set.warm_up_time).clamp(0.0, 1.0);
        self.set.slow_start_speed + (1.0 - self.set.slow_start_speed) * share
    }

    fn pace(&self) -> f64 {
        let slow = if self.now < self.troubles.slow.1 {
            self.troubles.slow.0.max(1.0)
        } else {
            1.0
        };
        self.warmth() / slow
    }

    /// Share of their pace at which tasks run, where cores are crowded.
    fn served(&self) -> f64 {
        (self.set.cores / self.used().0.max(1e-9)).min(1.0)
    }

    /// Takes in `events`, all of time `now`.
    pub fn step(&mut self, now: f64, events: Vec<Event>, out: &mut Vec<Action>) {
        self.pass(now, out);
        if self.fell {
            return;
        }
        for event in events {
            self.take(event, out);
        }
        self.begin();
    }

    /// When to step next.
    pub fn next_wake(&self) -> f64 {
        let (pace, served) = (self.pace().max(1e-3), self.served().max(1e-3));
        let starts = self
            .tasks
            .values()
            .filter(|t| t.starting)
            .map(|t| t.start_left / pace);
        let ends = self
            .tasks
            .values()
            .filter(|t| t.start_left <= 0.0)
            .map(|t| t.left / served);
        let first = starts.chain(ends).fold(f64::INFINITY, f64::min);
        // Paces change while it warms up.
        let step = if pace < 1.0 && !self.tasks.is_empty() {
            0.1
        } else {
            5.0
        };
        let away = self.send_away.map_or(f64::INFINITY, |(next, _)| next);
        let looked = self.looking_until.unwrap_or(f64::INFINITY);
        (self.now + first.min(step) + 1e-4).min(looked).min(away)
    }

    /// Lets time pass.
    fn pass(&mut self, now: f64, out: &mut Vec<Action>) {
        let dt = (now - self.now).max(0.0);
        let (pace, served) = (self.pace(), self.served());
        self.now = self.now.max(now);
        let mut over = Vec::new();
        for (name, task) in &mut self.tasks {
            if task.starting {
                task.start_left -= dt * pace;
                if task.start_left <= 0.0 {
                    (task.starting, task.start_left) = (false, 0.0);
                    out.push(Action::Runs(name.0.clone(), name.1.clone()));
                }
            } else if task.start_left <= 0.0 {
                task.left -= dt * served;
                if task.left <= 0.0 {
                    over.push(name.clone());
                }
            }
        }
        for name in over {
            self.remove(&name, Over::Succeeded, out);
        }
        while self.looking_until.is_some_and(|until| until <= now) {
            self.looking_until = None;
            if let Some((id, offer)) = self.line.pop_front() {
                self.look(id, offer, out);
            }
            self.begin();
        }
        while self.used().1 > self.set.memory {
            let least = |t: &Task| (t.offer.priority, -t.use_memory);
            let victim = self
                .tasks
                .iter()
                .filter(|(_, t)| t.start_left <= 0.0)
                .min_by(|a, b| {
                    let (a, b) = (least(a.1), least(b.1));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                });
            let Some(name) = victim.map(|(name, _)| name.clone()) else {
                break;
            };
            self.remove(&name, Over::Evicted, out);
        }
        while let Some((next, every)) = self.send_away.filter(|(next, _)| *next <= now) {
            let Some(name) = self.tasks.keys().next().cloned() else {
                self.send_away = None;
                break;
            };
            self.remove(&name, Over::SentAway, out);
            self.send_away = Some((next + every, every));
        }
        self.begin();
    }

    /// Takes up the next offer and the next starts.
    fn begin(&mut self) {
        if self.looking_until.is_none() && !self.line.is_empty() {
            self.looking_until =
                Some(self.now + self.set.offer_processing_time / self.pace().clamp(1e-3, 1.0));
        }
        let mut free = self
            .set
            .max_concurrent_starts
            .saturating_sub(self.tasks.values().filter(|t| t.starting).count());
        for task in self
            .tasks
            .values_mut()
            .filter(|t| t.start_left > 0.0 && !t.starting)
        {
            if free == 0 {
                break;
            }
            task.starting = true;
            free -= 1;
        }
    }

    fn take(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Offer(id, offer) => {
                self.press(&offer, out);
                if self.fell {
                } else if self.now < self.troubles.hang {
                    out.push(Action::Answer(id, Err(Refusal::Error), Way::Silent));
                } else if self.now < self.troubles.errors.1
                    && self.rng.random_bool(self.troubles.errors.0)
                {
                    out.push(Action::Answer(id, Err(Refusal::Error), Way::Sent));
                } else if self.line.len() >= self.set.max_queued_offers {
                    out.push(Action::Answer(id, Err(Refusal::Queue), Way::Sent));
                } else {
                    self.line.push_back((id, offer));
                }
            }
            Event::Delete(space, name) => self.remove(&(space, name), Over::Deleted, out),
            Event::Draining(draining) => self.draining = draining,
            Event::Fault(fault) => self.trouble(fault, out),
        }
    }

    fn trouble(&mut self, fault: Fault, out: &mut Vec<Action>) {
        let now = self.now;
        match fault {
            Fault::Slow { factor, seconds } => self.troubles.slow = (factor, now + seconds),
            Fault::Hang { seconds } => self.troubles.hang = now + seconds,
            Fault::DropResponses {
                share,
                reset,
                seconds,
            } => {
                self.troubles.lose = (share.clamp(0.0, 1.0), reset, now + seconds);
            }
            Fault::ReturnErrors { share, seconds } => {
                self.troubles.errors = (share.clamp(0.0, 1.0), now + seconds)
            }
            Fault::PartitionZones { zones, seconds } => {
                self.troubles.cut = (zones, now + seconds);
                out.push(Action::BreakWatches);
            }
            Fault::UseAllRequestedCores { seconds } => self.troubles.use_all = now + seconds,
            Fault::BlockReads { seconds } => {
                self.troubles.mute = now + seconds;
                out.push(Action::BreakWatches);
            }
            Fault::ClearProgramCache => self.kept.clear(),
            Fault::CloseWatches => out.push(Action::BreakWatches),
            Fault::TerminateTasks { every } => self.send_away = Some((now, every)),
        }
    }

    /// Counts what is sent while it is cold; beyond what it bears it falls over.
    fn press(&mut self, offer: &Offer, out: &mut Vec<Action>) {
        if self.warmth() >= 1.0 {
            return;
        }
        let set = &self.set;
        let work = set.start_time
            * if self.holds(&offer.service) {
                1.0
            } else {
                set.set_up_factor
            };
        self.recent.push_back((self.now, work));
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| *at <= self.now - set.overload_window)
        {
            self.recent.pop_front();
        }
        let sent: f64 = self.recent.iter().map(|(_, work)| work).sum();
        let can = self.warmth() * set.max_concurrent_starts as f64 * set.overload_window;
        if self.recent.len() as f64 > set.slow_start_offers && sent > set.overload_ratio * can {
            self.fell = true;
            out.push(Action::Fell);
        }
    }

    fn holds(&self, service: &str) -> bool {
        self.tasks.values().any(|t| t.offer.service == service)
            || self.kept.iter().any(|kept| kept == service)
    }

    fn look(&mut self, id: u64, offer: Offer, out: &mut Vec<Action>) {
        let answer = self.judge(&offer);
        let mut way = Way::Sent;
        if answer.is_ok() {
            let (share, reset, until) = self.troubles.lose;
            if self.now < until && self.rng.random_bool(share) {
                way = if reset { Way::Reset } else { Way::Silent };
            }
            let start_left = self.set.start_time
                * if self.holds(&offer.service) {
                    1.0
                } else {
                    self.set.set_up_factor
                };
            let use_cores = offer.cores * self.rng.random_range(0.40..0.66);
            let use_memory = offer.memory * self.rng.random_range(0.52..0.80);
            let left = offer.runs;
            let task = Task {
                start_left,
                starting: false,
                left,
                use_cores,
                use_memory,
                offer,
            };
            self.tasks.insert(task.offer.name.clone(), task);
        }
        out.push(Action::Answer(id, answer, way));
    }

    fn judge(&self, offer: &Offer) -> Result<(), Refusal> {
        let (cores, memory) = self.unclaimed();
        let over = |free: f64, size: f64, admit: f64, asked: f64| {
            size - free + asked > size * admit + 1e-9
        };
        match () {
            () if self.now > offer.until => Err(Refusal::TooLate),
            () if self.draining || self.send_away.is_some() => Err(Refusal::Draining),
            () if offer
                .kind
                .as_ref()
                .is_some_and(|kind| *kind != self.set.kind) =>
            {
                Err(Refusal::Kind)
            }
            () if self.tasks.contains_key(&offer.name) => Err(Refusal::Copy),
            () if self.tasks.values().any(|t| t.offer.key == offer.key) => Err(Refusal::Copy),
            () if over(cores, self.set.cores, self.set.cpu_overcommit, offer.cores) => {
                Err(Refusal::OutOfCpu)
            }
            () if over(
                memory,
                self.set.memory,
                self.set.memory_overcommit,
                offer.memory,
            ) =>
            {
                Err(Refusal::OutOfMemory)
            }
            () => Ok(()),
        }
    }

    fn remove(&mut self, name: &(String, String), over: Over, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.remove(name) else {
            return;
        };
        if !self
            .tasks
            .values()
            .any(|t| t.offer.service == task.offer.service)
        {
            self.kept.retain(|kept| *kept != task.offer.service);
            self.kept.push_back(task.offer.service);
            while self.kept.len() > self.set.max_cached_programs {
                self.kept.pop_front();
            }
        }
        out.push(Action::Ended(name.0.clone(), name.1.clone(), over));
    }
}
