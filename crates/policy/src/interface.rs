//! The types through which a [`Scheduler`](crate::Scheduler) is spoken to: settings, events, actions.
//!
//! All times are seconds on one clock that only advances; its zero is the caller's. Ids are numbers that
//! the caller hands out: one id means one task (or machine, service) for the life of a `Scheduler`.

/// Seconds, as a point on the caller's clock or as a length.
pub type Seconds = f64;

/// One request to place a task. Never reused: a task that comes again has a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A machine. It keeps its id over restarts, and all schedulers are given the same id for it: such as a hash of
/// its address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);

/// The service that a task belongs to; all schedulers are given the same id for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

/// The machines that a group or a spread rule speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Place {
    /// All machines together.
    All,
    /// One zone.
    Zone,
    /// One cell: a handful of machines that belong together.
    Cell,
    /// A single machine.
    Machine,
}

/// What a second run of a task would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: repeat at will.
    Safe,
    /// Machines of one group drop repeats for a while after the first send that may have run.
    Keyed {
        /// Where repeats are dropped.
        group: Place,
        /// For how long.
        window: Seconds,
    },
    /// Harm: never send again unless every earlier attempt is known not to have run.
    Unsafe,
}

/// A class of tasks.
#[derive(Clone, Debug)]
pub struct Class {
    /// A first start within this time earns its full worth.
    pub aim: Seconds,
    /// How long owners wait for a placement.
    pub deadline: Seconds,
    /// What repeats do.
    pub effect: Effect,
    /// Worth of one second of full service.
    pub worth: f64,
    /// Seconds of service that a timely start is worth.
    pub start_worth: Seconds,
    /// Share of the machine's cores up to which the class is served in full.
    pub calm: f64,
    /// Service drops to nothing over this much more.
    pub fade: f64,
    /// The kind of machine it needs, if any.
    pub kind: Option<usize>,
    /// Higher goes first.
    pub priority: u32,
    /// Where `spread_most` counts; `None` where tasks may crowd.
    pub spread: Option<Place>,
    /// The most tasks of one service in one such place.
    pub spread_most: u32,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the service.
    pub share: f64,
    /// New tasks a second, over all schedulers, within the share.
    pub quota_per_s: f64,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Cores of a machine.
    pub cores: f64,
    /// Memory of a machine.
    pub memory: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Nowhere.
    None,
    /// With outcomes and probes.
    Answers,
    /// With probes alone.
    Probes,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Safety {
    /// A final answer counts until this long after the deadline.
    pub answer_slack: Seconds,
    /// Without a subscription the list must be asked for at least this often.
    pub ask_within: Seconds,
    /// A machine that has just come up starts tasks at this fraction of its pace, or above.
    pub cold_from: f64,
    /// It is warm no later than this.
    pub cold: Seconds,
    /// Offers within `overload_for`, from all schedulers together, that a cold machine always bears.
    pub cold_bears: f64,
    /// Sends to a leaving machine must stop within this of being told.
    pub drain_grace: Seconds,
    /// More than this multiple of present capacity ...
    pub fall_multiple: f64,
    /// ... for this long pushes a cold machine over.
    pub overload_for: Seconds,
}

/// What the result is charged for.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// All machines in use beyond those needed.
    pub machines: f64,
    /// One refused offer for each task.
    pub refused: f64,
    /// One move for each task.
    pub moves: f64,
    /// Moves that one eviction counts as.
    pub eviction_as_moves: f64,
    /// One probe for each task.
    pub probe: f64,
    /// One full message for each task.
    pub message: f64,
}

/// What a scheduler is told before it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this scheduler, from 0.
    pub ordinal: usize,
    /// How many schedulers share the machines.
    pub schedulers: usize,
    /// The zone that this scheduler is in.
    pub zone: usize,
    /// The classes; tasks name theirs by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The kinds of machines.
    pub kinds: Vec<Kind>,
    /// Machines accept until tasks ask for this multiple of their cores.
    pub admit_cores: f64,
    /// Or this multiple of their memory.
    pub admit_memory: f64,
    /// The tasks of a service come to one scheduler while that is up (else to any).
    pub one_home: bool,
    /// `Confirmed` arrives when the task runs (else when it is accepted).
    pub confirm_when_running: bool,
    /// The list of machines must be subscribed to (else changes arrive unasked).
    pub subscribe: bool,
    /// List entries carry unclaimed cores and memory.
    pub lists_free: bool,
    /// Where reports come from.
    pub reports: Reports,
    /// Reports tell cores and memory not in use (else not asked for).
    pub reports_use: bool,
    /// Probes are permitted.
    pub probes: bool,
    /// Schedulers may tell each other things.
    pub messages: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// The longest advice to stay away that is followed, 0 if none is.
    pub max_retry_after: Seconds,
    /// Worth of a task beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Figures of the rules.
    pub safety: Safety,
    /// What costs.
    pub prices: Prices,
}

impl Settings {
    /// Tells the first field that can't be worked with.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |field, problem: &str| Err(SettingsError { field, problem: problem.to_owned() });
        let bad = |x: f64| x.is_nan() || x < 0.0;
        if self.classes.is_empty() {
            return fail("classes", "at least one is needed");
        }
        if self.kinds.is_empty() || self.kinds.iter().any(|k| !(k.cores > 0.0 && k.memory > 0.0)) {
            return fail("kinds", "at least one is needed, each with cores and memory above 0");
        }
        if self.schedulers == 0 || self.ordinal >= self.schedulers {
            return fail("schedulers", "must be above the ordinal of this one");
        }
        for c in &self.classes {
            if [c.aim, c.deadline, c.worth, c.start_worth, c.calm, c.fade].into_iter().any(bad) {
                return fail("classes", "a negative time, worth or share");
            }
            if c.kind.is_some_and(|k| k >= self.kinds.len()) {
                return fail("classes", "a kind that is not among the kinds");
            }
            if matches!(c.effect, Effect::Keyed { window, .. } if bad(window)) {
                return fail("classes", "a negative window");
            }
        }
        let s = &self.safety;
        let times = [s.answer_slack, s.ask_within, s.cold, s.drain_grace, s.overload_for, s.cold_bears];
        if times.into_iter().chain([s.cold_from, s.fall_multiple]).any(bad) {
            return fail("safety", "a negative figure");
        }
        if bad(self.admit_cores) || bad(self.admit_memory) {
            return fail("admit_cores", "a negative figure");
        }
        Ok(())
    }
}

/// A task as its owner describes it.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The request.
    pub id: TaskId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// When the owner gives up on this request; may be infinite.
    pub deadline: Seconds,
    /// How long it is expected to run, roughly.
    pub life: Option<Seconds>,
    /// Cores asked.
    pub cores: f64,
    /// Memory asked.
    pub memory: f64,
    /// It came back after a refusal, failure, move or loss.
    pub returned: bool,
}

/// State of a machine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes tasks.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the machine list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The machine.
    pub machine: MachineId,
    /// Index into [`Settings::kinds`].
    pub kind: usize,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it takes tasks.
    pub standing: Standing,
    /// When it last started; `None`: long ago.
    pub up_since: Option<Seconds>,
    /// Cores that no accepted task asks for, a while ago; below 0 where more was accepted.
    pub free_cores: f64,
    /// Likewise memory.
    pub free_memory: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The task has finished.
    Finished,
    /// The machine returned an error; the task may have run.
    Failed,
    /// Turned away, never ran.
    Full(Why),
    /// No answer in time; it may have run.
    Late,
    /// No connection, never ran.
    NoConnection,
    /// Before confirmation: answer cut short, may have run. After it: evicted, sent away or lost.
    Broken(Why),
    /// Given up or moved; may have run unless it was confirmed.
    Cancelled,
    /// Never sent.
    Void,
}

/// The reason that came with an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Not told.
    Unknown,
    /// No cores left.
    Cores,
    /// No memory left.
    Memory,
    /// Too many offers wait there.
    Queue,
    /// Wrong kind, leaving, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    PushedOut,
    /// Sent away by a machine that leaves.
    SentAway,
}

/// Load of a machine, some time ago; what is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Cores not in use or not asked for, see [`Settings::reports_use`].
    pub free_cores: Option<f64>,
    /// Memory, likewise.
    pub free_memory: Option<f64>,
    /// Offers and starts that wait.
    pub waiting: Option<f64>,
    /// Fraction of the cores that is busy.
    pub busy: Option<f64>,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The task runs now.
    Runs,
    /// Cores that it uses now.
    UsesCores(f64),
    /// Memory that it uses now.
    UsesMemory(f64),
    /// Share of full service that it gets.
    Served(f64),
    /// Share of its machine's memory that is in use.
    MachineMemory(f64),
}

/// What a scheduler is told. Events of one step share its time and stand in the order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place. Exactly one final answer is owed.
    Submit(Task),
    /// A task that already runs on a machine is now this scheduler's. Attempt 0 counts as made.
    InPlace(Task, MachineId),
    /// The task is placed by this attempt: the final answer. An `Outcome` tells its end.
    Confirmed {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
    },
    /// News of an attempt that has no outcome yet.
    Note {
        /// The request.
        task: TaskId,
        /// What is told.
        note: Note,
    },
    /// The one end of an attempt.
    Outcome {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// The request is closed; if not, a final answer may still be owed.
        closed: bool,
        /// Load of the machine, where it came along.
        report: Option<Report>,
    },
    /// The request is over; nothing is owed.
    Dropped(TaskId),
    /// A timer is due.
    Timer(u64),
    /// Changes of the machine list.
    ListChanges(Vec<Entry>),
    /// The whole machine list; what is absent is gone.
    ListWhole(Vec<Entry>),
    /// A subscription or a call for the list failed or broke.
    ListFailed,
    /// What a probe brought; `None`: it failed.
    Probed {
        /// The machine.
        machine: MachineId,
        /// Its load.
        report: Option<Report>,
    },
    /// What another scheduler told; may be late, and some are lost.
    Heard(Vec<u8>),
    /// So many schedulers share what cold machines bear, from now on; this one is counted.
    Sharers(usize),
}

/// What a scheduler wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine. Attempts of a task count from 0 in order of sends.
    Send {
        /// The request.
        task: TaskId,
        /// Where to.
        machine: MachineId,
        /// Wait this long for the confirmation.
        wait: Seconds,
    },
    /// Final answer: not placed, asking again does no harm.
    Refuse {
        /// The request.
        task: TaskId,
        /// Advice to stay away this long; 0: none.
        retry_in: Seconds,
    },
    /// Final answer: failed, no claim whether it ran.
    Fail(TaskId),
    /// Stop a placed task; its owner asks again.
    Move(TaskId),
    /// Subscribe to the machine list.
    Subscribe,
    /// Ask for a `Timer` event.
    Timer {
        /// How long from now.
        after: Seconds,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask a machine for its load.
    Probe(MachineId),
    /// Tell all other schedulers these bytes, 256 at most.
    Tell(Vec<u8>),
    /// A line for the operators.
    Log(String),
}

/// What keeps a task from one machine. Amounts are those of the moment of the question. Of several the first
/// in this order is told.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Bar {
    /// The list does not show it, or shows it as gone.
    Unlisted,
    /// It drains.
    Draining,
    /// It is not of the kind that the class needs.
    Kind,
    /// An earlier attempt may have run, and repeats are dropped elsewhere.
    Group,
    /// It has just come up and bears no more offers now.
    Cold,
    /// As many tasks of the service as may be are in that place.
    Spread(Place),
    /// Set aside after troubles until this time; then one task at a time is let through.
    Aside(Seconds),
    /// As many offers of ours as may be wait there for an answer.
    Line,
    /// So many cores too few.
    Cores(f64),
    /// So much memory too little.
    Memory(f64),
}

/// What keeps a task from all machines alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// All its attempts are used up.
    Attempts,
    /// An earlier attempt may have run, and a second start does harm.
    MayHaveRun,
    /// An earlier attempt may have run, and the time in which repeats are dropped is over.
    Window,
    /// Its owner gives up now.
    Late,
}

/// Why a task waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// What keeps it from each machine, in order of their ids; machines without an entry would take it.
    pub bars: Vec<(MachineId, Bar)>,
    /// Machines that were looked at.
    pub machines: usize,
    /// What keeps it from all.
    pub block: Option<Block>,
    /// Until when it can be sent.
    pub until: Seconds,
    /// When it is looked at next.
    pub next_look: Seconds,
    /// Attempts made.
    pub attempts: u32,
}

/// A setting that can't be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}
