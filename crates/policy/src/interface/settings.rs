//! What a scheduler is started with.

use super::*;

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
        let fail = |field, problem: &str| {
            Err(SettingsError {
                field,
                problem: problem.to_owned(),
            })
        };
        let bad = |x: f64| x.is_nan() || x < 0.0;
        if self.classes.is_empty() {
            return fail("classes", "at least one is needed");
        }
        if self.kinds.is_empty()
            || self
                .kinds
                .iter()
                .any(|k| !(k.cores > 0.0 && k.memory > 0.0))
        {
            return fail(
                "kinds",
                "at least one is needed, each with cores and memory above 0",
            );
        }
        if self.schedulers == 0 || self.ordinal >= self.schedulers {
            return fail("schedulers", "must be above the ordinal of this one");
        }
        for c in &self.classes {
            if [c.aim, c.deadline, c.worth, c.start_worth, c.calm, c.fade]
                .into_iter()
                .any(bad)
            {
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
        let times = [
            s.answer_slack,
            s.ask_within,
            s.cold,
            s.drain_grace,
            s.overload_for,
            s.cold_bears,
        ];
        if times
            .into_iter()
            .chain([s.cold_from, s.fall_multiple])
            .any(bad)
        {
            return fail("safety", "a negative figure");
        }
        if bad(self.admit_cores) || bad(self.admit_memory) {
            return fail("admit_cores", "a negative figure");
        }
        Ok(())
    }
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
