//! All decisions of tidespur. Types, events and actions: `src/interface.rs`.
//!
//! The path of a request: `step` takes in what was observed, then `place` takes what waits. `pick` filters
//! machines by `bar` (the five rules, and what troubles stand against them), narrows these candidates to
//! those that lose least (`loss`: late start, crowding, a machine kept in use), and lets [`dice`] choose
//! (Xie, Hyytiä, Righter, "Size-Aware Dispatching to Fluid Queues"); `send` offers the task. One that can't
//! be placed ends in `finish`, or by an event that says it is over.

use crate::interface::*;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[cfg(test)]
mod plain;

const THRESHOLD: f64 = 6.0; // Dice: backlog plus work under six mean works is short, as in the paper.
const MARGIN: f64 = 0.15; // Dice: backlogs within this many mean works of the best are alike.
const SAMPLE: usize = 4; // Dice: longer work looks at this many machines with room.
const MEAN_WEIGHT: f64 = 0.01; // Running means move by this much for one observation,
const ANSWER_WEIGHT: f64 = 0.05; // those of answers and starts by this much,
const STATE_WEIGHT: f64 = 0.25; // and those that must follow a machine's state by this much.
const RATE_OVER: Seconds = 5.0; // The rate of tasks is taken over about this long.

const GUESSED: f64 = 3.0; // What is taken before anything is seen counts as this many observations.
const USED: [f64; 2] = [0.6, 0.75]; // Use of asked cores and memory before any was seen.
const SETTLED: Seconds = 4.0; // Memory of what a task uses grows for some seconds after its start.
const VIEW_LAG: Seconds = 1.0; // Lists and reports speak of a moment about this long ago.
const VIEW_LEAST: f64 = 0.1; // Where less than this share of a machine is asked for, use can't be told.
const CORES_FULL: f64 = 0.95; // Comfort: cores in use up to this, as use swings,
const MEMORY_FULL: f64 = 0.80; // and memory up to this: machines slow down and evict soon above.
const ADMIT_FULL: f64 = 0.97; // Admission is planned up to this share: views are late and a refusal costs.
const CROWDING: f64 = 3.0; // Lives of the task lost by it and by others, for each machine's cores beyond,
const CROWDING_MEMORY: f64 = 15.0; // and for each machine's memory beyond.
const IN_USE: f64 = 1.6; // Keeping a machine in use costs this share of the price of all, over a mean life.
const WORKING: f64 = 0.9; // The working set is filled up to this share of comfort.
const NEED_KEPT: f64 = 0.98; // What was needed falls by this at each look: lost tasks come again.
const KEPT_OPEN: f64 = 0.2; // Machines of it count as this much fuller, so that it changes rarely.
const MARGIN_LOSS: Seconds = 1.3; // Candidates that lose this much more than the best count as alike.

const START: Seconds = 0.2; // One start with the program at hand, before any was seen,
const SETUP: f64 = 6.0; // and how many times that one without it takes.
const STARTING: f64 = 3.0; // A second of a start costs this much, as it holds up others.
const IN_TIME: f64 = 0.7; // From this share of the aim on a start may be late,
const LATE_OVER: f64 = 0.6; // and over this share more that becomes sure.
const HOMES: usize = 2; // Machines that all schedulers take for the homes of a service, by a hash.
const AT_HOME: f64 = 0.9; // Each holds the program with this chance,
const FALL: f64 = 0.7; // those after them with a chance that falls by this factor.
const TELL_SPEND: f64 = 0.004; // Points of the result that messages may cost.
const HEARD_FOR: Seconds = 30.0; // What others told of a program holds for this long,
const KEPT_FOR: Seconds = 3.0; // and a machine is trusted to keep one for this long after its last task.
const GONE: u32 = 1 << 31; // Marks a program whose last task has ended.
const KNOWN_MOST: usize = 10_000; // With more programs known than this, old ones are forgotten,
const GONE_MOST: usize = 100; // and machines that have gone with more of them than this.

const ANSWER: Seconds = 0.05; // Usual time to an answer before one was seen.
const DEVIATIONS: f64 = 5.0; // An offer that takes the mean and this many mean deviations,
const TIMEOUT_LEAST: Seconds = 0.2; // and this long at least, has timed out.
const ASIDE: Seconds = 1.0; // A failure sets a machine aside until the next visit, for this long at least,
const ASIDE_MOST: Seconds = 12.0; // then doubling, and for this long at most.
const FULL_FOR: Seconds = 0.5; // A refusal tells that a machine is full for about this long, doubling,
const FULL_MOST: Seconds = 4.0; // and for at most this long.
const STRIKES_MOST: i32 = 16;
const LINE: usize = 4; // Offers of ours that may be in line at a machine.
const LINE_FOR: Seconds = 0.05; // A full line of offers holds for about this long at first.
const COLD_PART: f64 = 0.5; // Of what cold machines bear, this part is used: chance may double it on one.
const SLACK: f64 = 1.25; // The window in which they bear it is taken this much longer.

const LEEWAY: Seconds = 0.03; // Final answers that nothing forces earlier go out so long before the deadline.
const AGAIN: Seconds = 0.05; // Held tasks are looked at again at least this often,
const CROWDED: f64 = 200.0; // and more rarely from about this many on.
const ASK_AGAIN: Seconds = 0.8; // First pause before asking for the list again, drawn from half to whole.
const ASK_LOST: Seconds = 6.0; // A call for the list that has brought nothing for this long has failed.
const PROBE_SPEND: f64 = 0.001; // Points of the result that probes may cost.
const STALE: Seconds = 1.0; // A report older than this is worth a probe.

#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum State {
    #[default]
    Held,
    Out,
    Bound,
    Over, // Nothing is owed, an outcome is still to come.
}

#[derive(Debug, Default)]
struct Job {
    task: Task,
    state: State,
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
struct Load {
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
    entry: Option<Entry>, // What the list tells of it.
    leaving: bool,
    size: [f64; 2],
    cold_until: Seconds,
    tasks: BTreeMap<TaskId, Load>, // Ours, offered or placed.
    own: [f64; 2],                 // Cores and memory that they ask for,
    lagged: [f64; 2],              // as they stood a view's lag before
    lagged_at: Seconds,
    others: [f64; 2], // and those that others' tasks ask for.
    used: [Mean; 2],  // Use of what is asked, where reports tell.
    /// What failed, for one class and tenant or for all: how often in a row, until when it bars. After that
    /// pause, which doubles, one task at a time is let through until one succeeds (a circuit breaker).
    troubles: BTreeMap<Option<(usize, usize)>, (i32, Seconds)>,
    offered_at: Seconds, // The last offer while it was cold.
    report_at: Seconds,
    probe_at: Seconds,
    spare: bool, // Not needed for what runs now, where machines in use cost.
}

impl Machine {
    fn strike(&mut self, now: Seconds, whose: Option<(usize, usize)>, first: Seconds, most: Seconds) {
        let (strikes, until) = self.troubles.entry(whose).or_default();
        *until = now + doubled(first, *strikes, most);
        *strikes = (*strikes + 1).min(STRIKES_MOST);
    }

    /// What struck it last was not its fault.
    fn acquit(&mut self, whose: Option<(usize, usize)>) {
        if let Some(trouble) = self.troubles.get_mut(&whose) {
            *trouble = (trouble.0 - 1, 0.0);
        }
        self.troubles.retain(|_, trouble| trouble.0 > 0);
    }

    /// An answer to this class and tenant takes back half of what stands against them.
    fn relieve(&mut self, whose: (usize, usize)) {
        for (_, trouble) in self.troubles.iter_mut().filter(|(struck, _)| struck.is_none_or(|s| s == whose)) {
            *trouble = (trouble.0 / 2, 0.0);
        }
        self.troubles.retain(|_, trouble| trouble.0 > 0);
    }

    /// Whether a task of this class and tenant may be sent. What struck several classes or tenants strikes
    /// all that share what these have in common: guards against a tenant that is throttled, a class that
    /// fails, a machine that hangs, and mixtures. Harm: two troubles at once look like one that strikes all.
    fn open(&self, now: Seconds, whose: (usize, usize)) -> bool {
        let bars = |after: Seconds| {
            let (mut first, mut same) = (None, (true, true));
            for (struck, _) in self.troubles.iter().filter(|(_, trouble)| trouble.1 > after) {
                let Some(struck) = *struck else { return true };
                let one = *first.get_or_insert(struck);
                same = (same.0 && struck.0 == one.0, same.1 && struck.1 == one.1);
            }
            first.is_some_and(|one| (!same.0 || one.0 == whose.0) && (!same.1 || one.1 == whose.1))
        };
        !bars(now) && (self.unanswered() == 0 || !bars(-1.0))
    }

    /// Until when what stands against it bars.
    fn aside_until(&self, now: Seconds) -> Seconds {
        self.troubles.values().map(|trouble| trouble.1).fold(now, f64::max)
    }

    fn ready(&self) -> bool {
        self.entry.is_some() && !self.leaving
    }

    fn asked(&self, i: usize) -> f64 {
        self.own[i] + self.others[i]
    }

    /// Changes what our tasks ask for, after what a view would show has followed until now.
    fn add(&mut self, now: Seconds, asked: [f64; 2]) {
        let keep = (-(now - self.lagged_at).max(0.0) / VIEW_LAG).exp();
        for (i, asked) in asked.into_iter().enumerate() {
            self.lagged[i] = self.own[i] + (self.lagged[i] - self.own[i]) * keep;
            self.own[i] = if self.tasks.is_empty() { 0.0 } else { self.own[i] + asked };
        }
        self.lagged_at = now;
    }

    fn unanswered(&self) -> usize {
        self.tasks.values().filter(|task| !task.answered).count()
    }

    /// What the machine was seen to be asked for in all, a while ago: beyond our own, it is others'.
    fn see_asked(&mut self, now: Seconds, seen: [Option<f64>; 2]) {
        self.add(now, [0.0; 2]);
        for (i, seen) in seen.into_iter().enumerate() {
            self.others[i] = seen.map_or(self.others[i], |seen| (seen - self.lagged[i]).max(0.0));
        }
    }

    /// What the machine was seen to use of what is asked for.
    fn see_used(&mut self, i: usize, used: f64, asked: f64) -> Option<f64> {
        let ratio = (asked > VIEW_LEAST * self.size[i]).then(|| (used / asked).clamp(0.1, 2.0))?;
        self.used[i].learn(ratio, STATE_WEIGHT);
        Some(ratio)
    }
}

/// A running mean: of all that was seen at first, later of about the last `1 / weight`.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    seen: f64,
}

impl Mean {
    fn learn(&mut self, seen: f64, weight: f64) {
        self.seen += 1.0;
        self.value += (seen - self.value) * (1.0 / self.seen).max(weight);
    }
    fn or(&self, other: f64) -> f64 {
        if self.seen > 0.0 { self.value } else { other }
    }
}

/// The standing with the list of machines: a call that is out, when the next may go, failures in a row.
#[derive(Debug, Default)]
struct List {
    subscribed: bool,
    asked_at: Option<Seconds>,
    ask_at: Seconds,
    fails: i32,
}

/// What one look at the tasks that wait has found: all of one moment, in which machines only fill. Guards
/// against a scheduler that drowns: a walk over all machines for each waiting task costs more than it has.
#[derive(Debug, Default)]
struct Look {
    /// Machines that nothing bars for a class and tenant whatever the task, in order of ids.
    open: BTreeMap<(usize, usize), Vec<MachineId>>,
    /// Cores and memory that no machine takes, by class, tenant and, where it counts, service.
    full: BTreeMap<(usize, usize, ServiceId), Vec<[f64; 2]>>,
    /// Machines that were looked at, for one task or for many.
    looked: u64,
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
    spare_at: Seconds,
    need: [f64; 2],
    looked: u64,
}

/// A pause that doubles with each failure in a row.
fn doubled(first: Seconds, failures: i32, most: Seconds) -> Seconds {
    (first * 2f64.powi(failures)).min(most)
}

/// Dice: short work to the least backlog while backlog plus work is under the threshold, longer work to the
/// longest backlog among a few; alike ones are drawn at random. Returns an index of `backlogs`.
fn dice(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut impl Rng) -> usize {
    let margin = MARGIN * mean_work;
    let least = backlogs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut near: Vec<usize> = (0..backlogs.len()).collect();
    if least + work < THRESHOLD * mean_work {
        near.retain(|&i| backlogs[i] <= least + margin);
    } else {
        for i in 0..SAMPLE.min(near.len()) {
            let j = rng.random_range(i..near.len());
            near.swap(i, j);
        }
        near.truncate(SAMPLE);
        let longest = near.iter().map(|&i| backlogs[i]).fold(0.0, f64::max);
        near.retain(|&i| backlogs[i] >= longest - margin);
    }
    if near.is_empty() { 0 } else { near[rng.random_range(0..near.len())] }
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
            list: List { subscribed: !settings.subscribe, ..List::default() },
            life: Mean::default(),
            work: Mean::default(),
            sizes: [Mean::default(); 2],
            rate: (0.0, 0.0),
            used: USED.map(|value| Mean { value, seen: GUESSED }),
            answer: Mean { value: ANSWER, seen: GUESSED },
            deviation: Mean { value: ANSWER / 2.0, seen: GUESSED },
            starts: [1.0, SETUP].map(|setup| Mean { value: START * setup, seen: GUESSED }),
            cold_offers: (None, 0.0),
            spare_at: 0.0,
            need: [0.0; 2],
            looked: 0,
            settings,
        })
    }

    /// Takes in `events`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: Seconds, events: Vec<Event>, out: &mut Vec<Action>) {
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

    fn observe(&mut self, now: Seconds, event: Event) {
        match event {
            Event::Submit(task) => self.take_task(now, task, None),
            Event::InPlace(task, machine) => self.take_task(now, task, Some(machine)),
            Event::Confirmed { task, attempt } => self.confirmed(now, task, attempt),
            Event::Note { task, note } => self.note(now, task, note),
            Event::Outcome { task, attempt, ending, closed, report } => {
                let machine = self.jobs.get(&task).map(|job| job.machine);
                self.take_report(now, machine, report);
                self.outcome(now, task, attempt, ending, closed);
            }
            Event::Dropped(id) => match self.jobs.get_mut(&id) {
                Some(job) if job.state == State::Held => {
                    self.jobs.remove(&id);
                }
                Some(job) => job.state = State::Over,
                None => {}
            },
            Event::Timer(_) => self.next_wake = f64::INFINITY,
            Event::ListChanges(list) => self.take_list(now, list, false),
            Event::ListWhole(list) => self.take_list(now, list, true),
            Event::ListFailed => {
                let most = (self.settings.safety.ask_within / 2.0).max(ASK_AGAIN);
                let pause = doubled(ASK_AGAIN, self.list.fails, most) * self.rng.random_range(0.5..1.0);
                let fails = (self.list.fails + 1).min(STRIKES_MOST);
                let subscribed = !self.settings.subscribe;
                self.list = List { subscribed, asked_at: None, ask_at: now + pause, fails };
            }
            Event::Heard(bytes) => {
                for told in bytes.chunks_exact(8) {
                    let half = |i: usize| (0..4).rev().fold(0, |x, k| x << 8 | u32::from(told[i + k]));
                    let (pair, gone) = ((half(0), half(4) & !GONE), half(4) & GONE != 0);
                    self.programs.insert(pair, now + if gone { KEPT_FOR } else { HEARD_FOR });
                }
            }
            Event::Probed { machine, report } => {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.probe_at = now;
                }
                self.take_report(now, Some(machine), report);
            }
        }
    }

    fn take_task(&mut self, now: Seconds, task: Task, machine: Option<MachineId>) {
        if self.jobs.contains_key(&task.id) {
            return;
        }
        let life = task.life.unwrap_or(self.life.value);
        self.life.learn(life, MEAN_WEIGHT);
        self.work.learn(life * task.cores, MEAN_WEIGHT);
        self.sizes[0].learn(task.cores, MEAN_WEIGHT);
        self.sizes[1].learn(task.memory, MEAN_WEIGHT);
        let (rate, at) = self.rate;
        self.rate = (1.0 / RATE_OVER + rate * (-(now - at) / RATE_OVER).exp(), now);
        let (id, mut job) = (task.id, Job { task, sent_at: now, ..Job::default() });
        if let Some(machine) = machine {
            (job.machine, job.state, job.sends) = (machine, State::Bound, 1);
            self.jobs.insert(id, job);
            self.count(now, id);
        } else {
            self.jobs.insert(id, job);
            self.fresh.push(id);
        }
    }

    fn confirmed(&mut self, now: Seconds, id: TaskId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != State::Out || attempt + 1 != job.sends {
            return;
        }
        job.state = State::Bound;
        let wait = now - job.sent_at;
        if let Some(machine) = self.machines.get_mut(&job.machine) {
            machine.tasks.entry(id).and_modify(|load| load.answered = true);
            machine.relieve((job.task.class, job.task.tenant));
        }
        if self.settings.confirm_when_running {
            self.started(now, id);
        } else {
            self.deviation.learn((wait - self.answer.value).abs(), ANSWER_WEIGHT);
            self.answer.learn(wait, ANSWER_WEIGHT);
        }
    }

    fn note(&mut self, now: Seconds, id: TaskId, note: Note) {
        let Some(job) = self.jobs.get(&id) else { return };
        let settled = job.state == State::Bound && now - job.sent_at > SETTLED;
        let (i, share) = match note {
            Note::Runs => return self.started(now, id),
            Note::UsesCores(level) => (0, level / job.task.cores),
            Note::UsesMemory(level) => (1, level / job.task.memory),
            Note::Served(_) | Note::MachineMemory(_) => return,
        };
        if settled && share.is_finite() {
            self.used[i].learn(share.clamp(0.0, 3.0), MEAN_WEIGHT);
        }
    }

    /// A task runs: a long start tells of the program's lack where it was not known to be there.
    fn started(&mut self, now: Seconds, id: TaskId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(machine) = self.machines.get_mut(&job.machine) else { return };
        let Some(load) = machine.tasks.get_mut(&id).filter(|load| !load.runs) else { return };
        load.runs = true;
        let took = (now - load.sent_at).max(0.0);
        if load.alone {
            let between = (self.starts[0].value * self.starts[1].value).sqrt();
            let without = !job.warm && took > between;
            let took = if job.warm { took.min(between) } else { took };
            self.starts[usize::from(without)].learn(took.max(1e-3), ANSWER_WEIGHT);
        }
    }

    fn outcome(&mut self, now: Seconds, id: TaskId, attempt: u32, ending: Ending, closed: bool) {
        let Some(job) = self.jobs.get(&id).filter(|job| attempt + 1 == job.sends) else { return };
        let (was, to, sent_at) = (job.state, job.machine, job.sent_at);
        let (failed_at, own_error) = (job.failed_at, job.own_error);
        let whose = Some((job.task.class, job.task.tenant));
        // Evidence must outlast the time to the next visit of the same machine.
        let aside = (self.machines.len() as f64 / self.rate.0.max(1e-3)).clamp(ASIDE, ASIDE_MOST);
        self.uncount(now, id);
        let machine = self.machines.entry(to).or_default();
        match ending {
            Ending::Finished | Ending::Cancelled | Ending::Void => {}
            Ending::Full(Why::Queue) => machine.strike(now, None, LINE_FOR, LINE_FOR),
            // Refusals hold a while, longer when they go on: full, leaving before the list tells, or, where
            // the reason is none of the machine's, full for this class or tenant. Harm: one with room waits.
            Ending::Full(Why::Cores | Why::Memory) | Ending::Broken(Why::SentAway) => {
                machine.strike(now, None, FULL_FOR, FULL_MOST);
            }
            Ending::Full(_) => machine.strike(now, whose, FULL_FOR, FULL_MOST),
            Ending::Broken(Why::Evicted | Why::PushedOut) => machine.strike(now, None, FULL_FOR, FULL_FOR),
            // An error at a second machine is the task's own and strikes neither. Guards against owners
            // of tasks that no machine can start. Harm: where most machines fail, some are found later.
            Ending::Failed if own_error => {}
            Ending::Failed if failed_at.is_some_and(|first| first != to) => {
                let first = failed_at.and_then(|first| self.machines.get_mut(&first));
                first.into_iter().for_each(|first| first.acquit(whose));
            }
            // Failures before the confirmation: errors, silence, answers lost. Only this class of this tenant
            // is known to be struck. Harm: the task's own first error counts against its machine for a while.
            Ending::Failed | Ending::Late => machine.strike(now, whose, aside, ASIDE_MOST),
            Ending::Broken(_) if was == State::Out => machine.strike(now, whose, aside, ASIDE_MOST),
            // It has died or is cut off: the list tells late, so it counts as cold once it answers again.
            Ending::NoConnection | Ending::Broken(_) => {
                machine.strike(now, None, aside, ASIDE_MOST);
                machine.cold_until = now + self.settings.safety.cold;
                self.programs.retain(|pair, _| pair.1 != to.0 as u32 & !GONE);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if closed || was != State::Out {
            self.jobs.remove(&id);
            return;
        }
        if matches!(ending, Ending::Failed | Ending::Late | Ending::Broken(_) | Ending::Cancelled) {
            job.may_run.get_or_insert((sent_at, to));
        }
        if ending == Ending::Failed {
            job.own_error |= *job.failed_at.get_or_insert(to) != to;
        }
        job.state = State::Held;
        self.fresh.push(id);
    }

    fn take_report(&mut self, now: Seconds, id: Option<MachineId>, report: Option<Report>) {
        let machine = id.and_then(|id| self.machines.get_mut(&id));
        let (Some(machine), Some(report)) = (machine, report) else { return };
        machine.report_at = now;
        let free = [report.free_cores, report.free_memory];
        let taken = [0, 1].map(|i| free[i].map(|free| machine.size[i] - free));
        if self.settings.reports_use {
            machine.add(now, [0.0; 2]);
            for (i, taken) in taken.into_iter().enumerate() {
                let asked = machine.lagged[i] + machine.others[i];
                if let Some(ratio) = taken.and_then(|taken| machine.see_used(i, taken, asked)) {
                    self.used[i].learn(ratio, MEAN_WEIGHT);
                }
            }
        } else {
            machine.see_asked(now, taken);
            if let Some(busy) = report.busy {
                machine.see_used(0, busy * machine.size[0], machine.asked(0));
            }
        }
    }

    fn take_list(&mut self, now: Seconds, list: Vec<Entry>, whole: bool) {
        (self.list.asked_at, self.list.fails) = (None, 0);
        if whole {
            self.machines.values_mut().for_each(|machine| machine.leaving = true);
        }
        for entry in list {
            let Some(kind) = self.settings.kinds.get(entry.kind) else { continue };
            let machine = self.machines.entry(entry.machine).or_default();
            if machine.entry.as_ref().is_some_and(|known| entry.up_since > known.up_since) {
                self.programs.retain(|pair, _| pair.1 != entry.machine.0 as u32 & !GONE);
            }
            machine.size = [kind.cores, kind.memory];
            machine.leaving = entry.standing != Standing::Ready;
            if self.settings.lists_free {
                let asked = [kind.cores - entry.free_cores, kind.memory - entry.free_memory];
                machine.see_asked(now, asked.map(Some));
            }
            machine.entry = Some(entry);
        }
        // Of what has gone, what is known of it is kept for its return, unless too many have gone.
        let is_gone = |machine: &Machine| {
            let drains = machine.entry.as_ref().is_some_and(|entry| entry.standing == Standing::Draining);
            machine.leaving && machine.tasks.is_empty() && !drains
        };
        if self.machines.values().filter(|machine| is_gone(machine)).count() > GONE_MOST {
            self.machines.retain(|_, machine| !is_gone(machine));
        }
    }

    /// Counts a send or a task in place against its machine.
    fn count(&mut self, now: Seconds, id: TaskId) {
        let mean_life = self.life.value;
        let Some(job) = self.jobs.get(&id) else { return };
        let (service, to) = (job.task.service, job.machine);
        let warm = self.warm(now, service, to);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        *self.spread.entry((service, to)).or_default() += 1;
        self.to_tell.push(pair(service, to));
        let machine = self.machines.entry(to).or_default();
        let (out, asked) = (job.state == State::Out, [job.task.cores, job.task.memory]);
        job.warm = warm;
        let start = if warm { 1.0 } else { self.starts[1].value / self.starts[0].value };
        let alone = machine.tasks.values().all(|load| load.runs);
        let ends = now + job.task.life.unwrap_or(mean_life);
        let load = Load { asked, ends, sent_at: now, answered: !out, runs: !out, start, alone };
        machine.tasks.insert(id, load);
        machine.add(now, asked);
        if !out {
            // The list that came before told of this task among all others.
            machine.lagged = machine.own;
            machine.others = [0, 1].map(|i| (machine.others[i] - asked[i]).max(0.0));
        }
    }

    /// Takes back all that `count` did.
    fn uncount(&mut self, now: Seconds, id: TaskId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(machine) = self.machines.get_mut(&job.machine) else { return };
        machine.tasks.remove(&id);
        machine.add(now, [-job.task.cores, -job.task.memory]);
        let key = (job.task.service, job.machine);
        let Some(there) = self.spread.get_mut(&key) else { return };
        *there -= 1;
        if *there == 0 {
            self.spread.remove(&key);
            let pair = pair(key.0, key.1);
            self.to_tell.push((pair.0, pair.1 | GONE));
            self.programs.insert(pair, now + KEPT_FOR);
        }
    }

    /// Lets this scheduler's part of what cold machines bear grow: what all may offer to all of them, as
    /// schedulers can't agree on one. At first each has a random part of it, else all would offer at once.
    fn refill_cold(&mut self, now: Seconds) {
        let safety = &self.settings.safety;
        let cold = self.machines.values().filter(|m| m.ready() && cold(m, safety, now)).count();
        let part = cold as f64 * safety.cold_bears * COLD_PART / self.settings.schedulers as f64;
        let (left, at) = self.cold_offers;
        let left = match left {
            _ if cold == 0 => None,
            Some(left) => Some(left + part * (now - at) / safety.overload_for.max(1e-3)),
            None => Some(self.rng.random_range(0.0..part.max(1.0))),
        };
        self.cold_offers = (left.map(|left| left.min(part.max(1.0))), now);
    }

    /// Whether one more offer keeps within this scheduler's part of what cold machines, and this one, bear.
    fn bears(&self, now: Seconds, machine: &Machine) -> bool {
        let safety = &self.settings.safety;
        let part = (safety.cold_bears / self.settings.schedulers as f64).floor().max(1.0);
        let left = self.cold_offers.0.is_none_or(|left| left >= 1.0);
        !cold(machine, safety, now) || left && now >= machine.offered_at + safety.overload_for * SLACK / part
    }

    /// Until when this task may be sent, were a machine found.
    fn may_send_until(&self, job: &Job) -> Seconds {
        let repeats = match (job.may_run, self.settings.classes[job.task.class].effect) {
            _ if job.sends >= self.settings.max_attempts => 0.0,
            (None, _) | (_, Effect::Safe) => f64::INFINITY,
            (_, Effect::Unsafe) => 0.0,
            (Some((at, _)), Effect::Keyed { window, .. }) => at + window,
        };
        job.task.deadline.min(repeats) - LEEWAY
    }

    /// What bars a task from a machine: the five rules, then what troubles and offers stand against it.
    fn bar(&self, now: Seconds, job: &Job, id: MachineId, machine: &Machine) -> Option<Bar> {
        let bars = [self.bar_of_all(now, &job.task, machine), self.bar_of_own(job, id, machine)];
        bars.into_iter().flatten().min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// What bars all tasks of its class and tenant alike.
    fn bar_of_all(&self, now: Seconds, task: &Task, machine: &Machine) -> Option<Bar> {
        let class = &self.settings.classes[task.class];
        let kind = machine.entry.as_ref().map(|entry| entry.kind);
        let standing = machine.entry.as_ref().map(|entry| entry.standing);
        match () {
            () if !machine.ready() && standing == Some(Standing::Draining) => Some(Bar::Draining),
            () if !machine.ready() => Some(Bar::Unlisted),
            () if class.kind.is_some() && class.kind != kind => Some(Bar::Kind),
            () if !self.bears(now, machine) => Some(Bar::Cold),
            () if !machine.open(now, (task.class, task.tenant)) => Some(Bar::Aside(machine.aside_until(now))),
            () => (machine.unanswered() >= LINE).then_some(Bar::Line),
        }
    }

    /// What bars this task, by where it may have run and where its service is.
    fn bar_of_own(&self, job: &Job, id: MachineId, machine: &Machine) -> Option<Bar> {
        let class = &self.settings.classes[job.task.class];
        let in_group = match (job.may_run, class.effect) {
            (Some((_, first)), Effect::Keyed { group, .. }) => self.same_place(group, id, machine, first),
            _ => true,
        };
        let services = (job.task.service, MachineId(0))..=(job.task.service, MachineId(u64::MAX));
        let there = |place| {
            let near = |other| self.same_place(place, id, machine, other);
            self.spread.range(services).filter(|at| near(at.0.1)).map(|at| at.1).sum::<u32>()
        };
        let full = class.spread.filter(|&place| there(place) >= class.spread_most);
        if in_group { full.map(Bar::Spread) } else { Some(Bar::Group) }
    }

    /// Why a task waits: what bars it from each machine, by the predicates that decide. Changes nothing.
    pub fn explain(&self, now: Seconds, id: TaskId) -> Option<Waiting> {
        let job = self.jobs.get(&id).filter(|job| job.state == State::Held)?;
        let until = self.may_send_until(job);
        let block = match self.settings.classes[job.task.class].effect {
            _ if now < until => None,
            _ if job.sends >= self.settings.max_attempts => Some(Block::Attempts),
            Effect::Unsafe if job.may_run.is_some() => Some(Block::MayHaveRun),
            Effect::Keyed { .. } if now < job.task.deadline - LEEWAY => Some(Block::Window),
            _ => Some(Block::Late),
        };
        let bar = |(&to, m): (&MachineId, &Machine)| {
            let bar = self.bar(now, job, to, m).or_else(|| self.lacks(&job.task, m));
            bar.map(|bar| (to, bar))
        };
        Some(Waiting {
            bars: self.machines.iter().filter_map(bar).collect(),
            machines: self.machines.len(),
            block,
            until,
            next_look: if self.retry_at.is_finite() { self.retry_at } else { now },
            attempts: job.sends,
        })
    }

    /// What the machine lacks to admit the task, as far as is known: of cores and memory what lacks more.
    fn lacks(&self, task: &Task, machine: &Machine) -> Option<Bar> {
        let asked = [machine.asked(0) + task.cores, machine.asked(1) + task.memory];
        let asked = [asked[0] / machine.size[0], asked[1] / machine.size[1]];
        let admits = [self.settings.admit_cores, self.settings.admit_memory];
        let admits = admits.map(|most| most * ADMIT_FULL);
        let over = [0, 1].map(|i| (asked[i] - admits[i]) / admits[i]);
        let short = |i: usize| (asked[i] - admits[i]) * machine.size[i];
        match () {
            () if !(0..2).any(|i| asked[i] > admits[i]) => None,
            () if over[0] > over[1] => Some(Bar::Cores(short(0))),
            () => Some(Bar::Memory(short(1))),
        }
    }

    fn same_place(&self, place: Place, id: MachineId, machine: &Machine, other: MachineId) -> bool {
        let entry = |machine: &Machine| machine.entry.as_ref().map(|entry| (entry.zone, entry.cell));
        let (here, there) = (entry(machine), self.machines.get(&other).and_then(entry));
        match place {
            Place::All => true,
            Place::Machine => id == other,
            Place::Zone => here.zip(there).is_some_and(|(here, there)| here.0 == there.0),
            Place::Cell => here.zip(there).is_some_and(|(here, there)| here.1 == there.1),
        }
    }

    fn warm(&self, now: Seconds, service: ServiceId, id: MachineId) -> bool {
        self.spread.contains_key(&(service, id))
            || self.programs.get(&pair(service, id)).is_some_and(|&until| now < until)
    }

    /// What placing the task there is expected to lose, in seconds of its full service: a late start, crowded
    /// cores or memory over its life (its own and the others'), a machine kept in use. `None` where it would
    /// not be admitted, or do more harm than good.
    fn loss(&self, now: Seconds, job: &Job, machine: &Machine, program: f64) -> Option<f64> {
        let (class, task) = (&self.settings.classes[job.task.class], &job.task);
        let use_of = |i: usize| machine.used[i].or(self.used[i].value).max(0.05);
        let asked = [machine.asked(0) + task.cores, machine.asked(1) + task.memory];
        let asked = [asked[0] / machine.size[0], asked[1] / machine.size[1]];
        let used = [asked[0] * use_of(0), asked[1] * use_of(1)];
        if self.lacks(task, machine).is_some() {
            return None;
        }
        let own = ((used[0] - class.calm) / class.fade.max(0.01)).clamp(0.0, 1.0);
        let crowded = own
            + CROWDING * (used[0] - CORES_FULL).max(0.0)
            + CROWDING_MEMORY * (used[1] - MEMORY_FULL).max(0.0);
        let opened = if machine.asked(0) > 0.0 { 1.0 } else { 2.0 };
        let in_use = if machine.spare { self.settings.prices.machines * IN_USE * opened } else { 0.0 };
        let [with, without] = self.starts.map(|start| start.value / self.starts[0].value);
        // What came back was late already, or has had its first start: only the time it waits is lost.
        let waited = if task.returned { class.deadline } else { now + class.deadline - task.deadline };
        // Starts of ours that wait there tell of its pace, where it grows slower.
        let starts = || machine.tasks.values().filter(|load| !load.runs);
        let before: f64 = starts().map(|load| load.start).sum();
        let age = |load: &Load| (now - load.sent_at) / load.start;
        let pace = starts().map(age).fold(self.starts[0].value, f64::max);
        let late = |work: f64| {
            let takes = pace * (before + work);
            let late = ((waited + takes) / class.aim.max(1e-3) - IN_TIME) / LATE_OVER;
            class.start_worth * late.clamp(0.0, 1.0) + STARTING * takes
        };
        let late = program * late(with) + (1.0 - program) * late(without);
        let life = task.life.unwrap_or(self.life.value);
        Some(late + life * crowded + in_use * self.life.value)
    }

    /// Remaining work known there, over the tasks that the machine can run side by side.
    fn backlog(&self, now: Seconds, machine: &Machine) -> f64 {
        let side_by_side = |i: usize| machine.size[i] / (self.used[i].value * self.sizes[i].value).max(1e-6);
        let own: f64 = machine.tasks.values().map(|load| (load.ends - now).max(0.0) * load.asked[0]).sum();
        (own + machine.others[0] * self.life.value)
            / side_by_side(0).min(MEMORY_FULL * side_by_side(1)).max(1.0)
    }

    /// The machine for one more send of this task, if there is one. Of the tasks that wait only the first of
    /// a shape walks all machines in a look: while they only fill, what takes none takes none that is larger.
    fn pick(&mut self, now: Seconds, id: TaskId, look: &mut Look) -> Option<MachineId> {
        let (job, safety) = (&self.jobs[&id], &self.settings.safety);
        let (service, class) = (job.task.service, &self.settings.classes[job.task.class]);
        let whose = (job.task.class, job.task.tenant);
        if job.state != State::Held {
            return None;
        }
        // What finds no place for one that is bound to a group says nothing of others: they may go elsewhere.
        let bound = job.may_run.is_some() && matches!(class.effect, Effect::Keyed { .. });
        let shape = (whose.0, whose.1, if class.spread.is_some() { service } else { ServiceId(0) });
        let asks = [job.task.cores, job.task.memory];
        let fulls = look.full.get(&shape);
        if fulls.is_some_and(|fulls| fulls.iter().any(|full| full[0] <= asks[0] && full[1] <= asks[1])) {
            return None;
        }
        let all = look.open.entry(whose).or_insert_with(|| {
            look.looked += self.machines.len() as u64;
            let open = |machine: &Machine| self.bar_of_all(now, &job.task, machine).is_none();
            self.machines.iter().filter(|(_, machine)| open(machine)).map(|(&id, _)| id).collect()
        });
        look.looked += all.len() as u64;
        let open = || all.iter().filter_map(|to| Some((*to, self.machines.get(to)?)));
        let takes = |&(to, machine): &(MachineId, &Machine)| self.bar_of_own(job, to, machine).is_none();
        if !open().any(|at| self.lacks(&job.task, at.1).is_none() && takes(&at)) {
            if !bound {
                look.full.entry(shape).or_default().push(asks);
            }
            return None;
        }
        let mut candidates: Vec<(MachineId, &Machine, f64)> = open()
            .filter(takes)
            // Cold machines have no programs, and all schedulers must not choose the same one.
            .map(|(to, machine)| {
                let salt = if cold(machine, safety, now) { id.0.rotate_left(17) ^ self.seed } else { 0 };
                (to, machine, rank(ServiceId(service.0 ^ salt), to, machine))
            })
            .collect();
        // Where others' programs are not seen, all schedulers prefer the same few machines for a service. If
        // one is barred, the next takes its place. Harm: a popular service fills its homes.
        candidates.sort_by(|a, b| a.1.spare.cmp(&b.1.spare).then(a.2.total_cmp(&b.2)));
        let mut chance = if self.informed() { 0.0 } else { AT_HOME };
        for (place, (to, machine, loss)) in candidates.iter_mut().enumerate() {
            chance *= if place < HOMES { 1.0 } else { FALL };
            let program = match self.warm(now, service, *to) {
                true => AT_HOME,
                false if cold(machine, safety, now) => 0.0,
                false => chance,
            };
            *loss = self.loss(now, job, machine, program).unwrap_or(f64::INFINITY);
        }
        let least = candidates.iter().map(|c| c.2).fold(f64::INFINITY, f64::min);
        candidates.retain(|c| c.2.is_finite() && c.2 <= least + MARGIN_LOSS);
        candidates.truncate(if self.informed() { candidates.len() } else { HOMES });
        if candidates.is_empty() {
            return None;
        }
        let mut backlogs: Vec<f64> = candidates.iter().map(|c| self.backlog(now, c.1)).collect();
        let mean = backlogs.iter().sum::<f64>() / backlogs.len() as f64;
        for (backlog, (_, machine, _)) in backlogs.iter_mut().zip(&candidates) {
            let new = machine.tasks.is_empty() || cold(machine, safety, now);
            *backlog = if new { mean } else { *backlog };
        }
        let work = job.task.life.map_or(self.work.value, |life| life * job.task.cores);
        let ids: Vec<MachineId> = candidates.iter().map(|c| c.0).collect();
        Some(ids[dice(&backlogs, work, self.work.value, &mut self.rng)])
    }

    /// Where machines in use cost, marks those that are not needed at comfort for what all tasks use now: the
    /// emptiest, so that the same ones run empty at all schedulers.
    fn mark_spare(&mut self, now: Seconds) {
        if self.settings.prices.machines <= 0.0 || now < self.spare_at {
            return;
        }
        self.spare_at = now + VIEW_LAG / 2.0;
        let listed = || self.machines.iter().filter(|(_, machine)| machine.entry.is_some());
        let in_use = |machine: &Machine, i: usize| machine.asked(i) * machine.used[i].or(self.used[i].value);
        let in_use = [0, 1].map(|i| listed().map(|(_, machine)| in_use(machine, i)).sum::<f64>());
        let mut need = [0, 1].map(|i| in_use[i].max(self.need[i] * NEED_KEPT));
        let full =
            |machine: &Machine| (machine.asked(0) / machine.size[0]).max(machine.asked(1) / machine.size[1]);
        let kept = |machine: &Machine| if machine.spare { 0.0 } else { KEPT_OPEN };
        let mut order: Vec<_> = listed().map(|(&id, machine)| (full(machine) + kept(machine), id)).collect();
        self.need = need;
        // What a machine holds of them: up to comfort, and no more than it admits.
        let admits = [self.settings.admit_cores, self.settings.admit_memory];
        let full = [CORES_FULL, MEMORY_FULL];
        let holds = [0, 1].map(|i| full[i].min(admits[i] * ADMIT_FULL * self.used[i].value) * WORKING);
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in order {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            machine.spare = need[0] <= 0.0 && need[1] <= 0.0;
            if !machine.leaving {
                need[0] -= machine.size[0] * holds[0];
                need[1] -= machine.size[1] * holds[1];
            }
        }
    }

    fn place(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let mut held = std::mem::take(&mut self.fresh);
        if now >= self.retry_at {
            held.append(&mut self.held);
            self.retry_at = f64::INFINITY;
        }
        let classes = &self.settings.classes;
        let worth = |id: &TaskId| self.jobs.get(id).map_or(0.0, |job| classes[job.task.class].worth);
        let mut held: Vec<(f64, TaskId)> = held.into_iter().map(|id| (worth(&id), id)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut look = Look::default();
        for (_, id) in held {
            let Some(job) = self.jobs.get(&id) else { continue };
            if now >= self.may_send_until(job) {
                self.finish(id, out);
                continue;
            }
            #[cfg(test)]
            let plain = self.plain(now, id);
            let picked = self.pick(now, id, &mut look);
            #[cfg(test)]
            assert_eq!((picked, &self.rng), (plain.0, &plain.1));
            if let Some(machine) = picked {
                self.send(now, id, machine, out);
                self.look_again(now, machine, &mut look);
            } else {
                let pause = AGAIN * (1.0 + self.held.len() as f64 / CROWDED); // Each look costs CPU.
                self.retry_at = self.retry_at.min(now + pause).min(self.jobs[&id].task.deadline - LEEWAY);
                self.held.push(id);
            }
        }
        self.looked += look.looked;
    }

    /// After a send: what it bars from now on.
    fn look_again(&mut self, now: Seconds, to: MachineId, look: &mut Look) {
        let Some(machine) = self.machines.get(&to) else { return };
        if cold(machine, &self.settings.safety, now) {
            return look.open.clear(); // It spent of what all cold machines bear.
        }
        for (&(class, tenant), open) in &mut look.open {
            let task = Task { class, tenant, ..Task::default() };
            if self.bar_of_all(now, &task, machine).is_some() {
                open.retain(|&id| id != to);
            }
        }
    }

    /// Machines that were looked at so far, for one task or for many: the work of choosing.
    pub fn looked(&self) -> u64 {
        self.looked
    }

    fn send(&mut self, now: Seconds, id: TaskId, to: MachineId, out: &mut Vec<Action>) {
        let timeout = (self.answer.value + DEVIATIONS * self.deviation.value).max(TIMEOUT_LEAST);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let class = &self.settings.classes[job.task.class];
        let once = self.settings.confirm_when_running || class.effect == Effect::Unsafe;
        let repeated = doubled(timeout, job.sends as i32, class.deadline);
        let wait = if once { class.deadline / 2.0 } else { repeated };
        let wait = wait.min(job.task.deadline - now - LEEWAY / 2.0);
        (job.state, job.sent_at, job.machine) = (State::Out, now, to);
        job.sends += 1;
        self.count(now, id);
        let safety = &self.settings.safety;
        if let Some(machine) = self.machines.get_mut(&to).filter(|machine| cold(machine, safety, now)) {
            self.cold_offers.0 = self.cold_offers.0.map(|left| left - 1.0);
            machine.offered_at = now;
        }
        out.push(Action::Send { task: id, machine: to, wait });
    }

    /// The one end of a request that was not placed: a refusal where it is harmless, else a failure.
    fn finish(&mut self, id: TaskId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let harmless = job.may_run.is_none()
            || match self.settings.classes[job.task.class].effect {
                Effect::Safe => true,
                Effect::Keyed { group, .. } => group == Place::All,
                Effect::Unsafe => false,
            };
        out.push(if harmless { Action::Refuse { task: id, retry_in: 0.0 } } else { Action::Fail(id) });
    }

    /// Tells the others which programs are where: a start without the program is mostly too late, and their
    /// programs are seen nowhere. Where messages are barred or dear, homes must do. Harm: a program that is
    /// gone draws some starts until what was told has aged.
    fn tell(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let told = std::mem::take(&mut self.to_tell);
        if self.tells() {
            let bytes = told.iter().flat_map(|pair| [pair.0.to_le_bytes(), pair.1.to_le_bytes()]);
            let bytes: Vec<u8> = bytes.flatten().collect();
            out.extend(bytes.chunks(256).map(|part| Action::Tell(part.to_vec())));
        }
        if self.programs.len() > KNOWN_MOST {
            self.programs.retain(|_, &mut until| now < until);
        }
    }

    fn tells(&self) -> bool {
        let share = (self.settings.schedulers - 1) as f64 * 8.0 / 256.0;
        self.settings.messages && share > 0.0 && self.settings.prices.message * share <= TELL_SPEND
    }

    /// Whether the programs of a service are known here: its tasks come here alone, or all tell of theirs.
    fn informed(&self) -> bool {
        self.settings.one_home || self.settings.schedulers == 1 || self.tells()
    }

    fn keep_list(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let list = &mut self.list;
        if list.asked_at.is_some_and(|at| now - at > ASK_LOST) {
            (list.subscribed, list.asked_at, list.ask_at) = (false, None, now);
        }
        if !list.subscribed && now >= list.ask_at {
            (list.subscribed, list.asked_at) = (true, Some(now));
            out.push(Action::Subscribe);
        }
    }

    /// Probes machines whose reports are old, as often as the price allows.
    fn probe(&mut self, now: Seconds, out: &mut Vec<Action>) {
        if !self.settings.probes || self.settings.reports == Reports::None {
            return;
        }
        let price = self.settings.prices.probe;
        let spend = if price > 0.0 { PROBE_SPEND / price } else { 1.0 };
        let each = (self.machines.len() as f64 / (self.rate.0 * spend).max(0.1)).max(STALE);
        for (&id, machine) in &mut self.machines {
            let due = now - machine.report_at.max(machine.probe_at) >= each;
            if due && machine.ready() && !cold(machine, &self.settings.safety, now) {
                machine.probe_at = now;
                out.push(Action::Probe(id));
            }
        }
    }

    fn wake(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let probe = if self.settings.probes { now + STALE / 2.0 } else { f64::INFINITY };
        let list = match self.list.asked_at {
            Some(asked) => asked + ASK_LOST + 0.01,
            None if self.list.subscribed => f64::INFINITY,
            None => self.list.ask_at,
        };
        let at = probe.min(list).min(self.retry_at);
        if at.is_finite() && at < self.next_wake {
            self.next_wake = at;
            out.push(Action::Timer { after: (at - now).max(0.001), token: (at.max(0.0) * 1e6) as u64 });
        }
    }
}

/// The place of a machine in a service's order of homes, the same at every scheduler: a weighted rendezvous
/// hash, so that larger machines are home to more and others' homes stay when a machine comes or goes.
fn rank(service: ServiceId, id: MachineId, machine: &Machine) -> f64 {
    let x = (service.0 ^ id.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -((x >> 11) as f64 / (1u64 << 53) as f64).max(1e-12).ln() / machine.size[0].max(1e-6)
}

fn cold(machine: &Machine, safety: &Safety, now: Seconds) -> bool {
    let up_since = machine.entry.as_ref().and_then(|entry| entry.up_since);
    up_since.is_some_and(|up| now < up + safety.cold) || now < machine.cold_until
}

/// A service and a machine as schedulers tell each other of them.
fn pair(service: ServiceId, machine: MachineId) -> (u32, u32) {
    (service.0 as u32, machine.0 as u32 & !GONE)
}
