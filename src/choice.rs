//! All decisions of tidespur. Types, events and actions: `src/interface.rs`.
//!
//! The path of a request: `step` first takes in all that was observed, then `place` takes what waits. `pick`
//! keeps the machines that pass `gate` (the five rules) and have room (`crowding`), narrows these candidates
//! by evidence of trouble, comfort and foreseen start, and lets [`dice`] (Xie, Hyytiä, Righter, "Size-Aware
//! Dispatching to Fluid Queues") choose among them; `send` offers the task. One that can't be placed ends in
//! `finish`, or by an event that says it is over.

use crate::interface::*;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Dice: backlog a lane plus work under this many mean works is short; the paper's six average jobs.
const THRESHOLD: f64 = 6.0;
/// Dice: backlogs within this many mean works of the best are alike, so schedulers don't hit one machine.
const MARGIN: f64 = 0.15;
const SAMPLE: usize = 4; // Dice: longer work looks at this many machines with room.
/// Running means move by this much for one observation once they have seen enough.
const MEAN_WEIGHT: f64 = 0.01;
const ANSWER_WEIGHT: f64 = 0.05; // Means of answers and starts by this much.
const STATE_WEIGHT: f64 = 0.25; // And means that must follow a machine's state by this much.
/// Before anything is seen: use of asked cores and memory; tasks ask for more than they use.
const USED: [f64; 2] = [0.6, 0.75];
/// Memory in use is planned up to this share: machines slow down and evict above.
const MEMORY_FULL: f64 = 0.85;
const CORES_FULL: f64 = 0.95; // Cores in use are planned up to this share of a class's calm: use swings.
/// Where no machine has room in comfort, the least crowded may go this far into the fade of the class, and
/// this full of memory: a crowded start is worth more than none.
const STRETCH: f64 = 0.7;
const MEMORY_MOST: f64 = 0.96;
const CROWD: f64 = 0.05; // Then machines crowded within this of the least count as alike.
/// Admission is planned up to this share of the machine's limit: views are late and a refusal costs.
const ADMIT_FULL: f64 = 0.97;
/// A start without the program is taken as this many starts with it until both were seen.
const SETUP: f64 = 6.0;
/// Machines that all schedulers take for the homes of a service, by a hash, where no program is known.
const HOMES: usize = 2;
const AT_HOME: f64 = 0.9; // A home is taken to hold the program with this chance.
const TELL_SPEND: f64 = 0.004; // Points of the result that messages may cost.
/// What others told of a program holds for this many mean lives, and is told again after half of that.
const HEARD: f64 = 2.0;
const HEARD_LEAST: Seconds = 10.0; // And for this long at least, as lives are unknown at first.
/// The mark of a program whose last task has ended, and how long a machine is trusted to keep it then.
const GONE: u32 = 1 << 31;
const KEPT_FOR: Seconds = 2.0;
const START: f64 = 0.2; // Seconds of one warm start before any was seen.
const KEPT: usize = 4; // Programs that a machine is trusted to keep after their last task of ours.
const IN_TIME: f64 = 0.7; // Share of the aim within which a start should be foreseen.
const VIEW_LAG: Seconds = 1.0; // Lists and reports speak of a moment about this long ago.
/// An offer unanswered for this many usual answers, and this long, means the machine is silent.
const SILENT: f64 = 5.0;
const SILENT_MIN: Seconds = 0.25;
/// Share of failures (running) from which a machine is set aside, and for how long, doubling.
const SICK: f64 = 0.5;
const ASIDE: Seconds = 1.0;
const ASIDE_MOST: Seconds = 8.0;
const FULL_FOR: Seconds = 0.5; // A refusal tells that a machine is full for about this long.
const FULL_MOST: Seconds = 4.0; // And for at most this long when it goes on refusing.
const LINE: f64 = 6.0; // Offers that may be in line at a machine before its line was ever seen full.
/// Final answers that nothing forces earlier go out this long before the deadline.
const LEEWAY: Seconds = 0.03;
const AGAIN: Seconds = 0.05; // Held tasks are looked at again at least this often.
const CROWDED: f64 = 200.0; // And more rarely from about this many on.
/// First pause before asking for the list again, doubling, drawn from half to whole.
const ASK_AGAIN: Seconds = 0.8;
const ASK_LOST: Seconds = 6.0; // A call for the list that has brought nothing for this long has failed.
const PROBE_SPEND: f64 = 0.001; // Points of the result that probes may cost.
const RATE_OVER: Seconds = 5.0; // The rate of tasks is taken over about this long.
const SETTLED: Seconds = 4.0; // Memory of what a task uses grows for some seconds after its start.
/// A start may take this much longer than the soonest, and cold machines' windows are taken this much longer.
const SLACK: f64 = 1.25;
const TOLD_MOST: usize = 20_000; // From this many told programs on, old ones are forgotten.
const STALE: Seconds = 1.0; // A report older than this is worth a probe.

#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum State {
    #[default]
    Held,
    Out,
    Bound,
    /// Nothing is owed, an outcome is still to come.
    Over,
}

#[derive(Debug, Default)]
struct Job {
    task: Task,
    state: State,
    sends: u32,
    sent_at: Seconds,
    machine: MachineId,
    tried: Vec<MachineId>,
    /// First attempt that may have run: when it was sent and where.
    may_run: Option<(Seconds, MachineId)>,
    /// When its hinted life runs out, while it counts in the backlog.
    life_end: Option<Seconds>,
    start_weight: f64,
    warm: bool,
}

#[derive(Debug, Default)]
struct Machine {
    listed: bool,
    leaving: bool,
    kind: usize,
    cell: usize,
    zone: usize,
    size: [f64; 2],
    up_since: Option<Seconds>,
    cold_until: Seconds,
    own: [f64; 2],
    lagged: [f64; 2],
    lagged_at: Seconds,
    others: [f64; 2],
    used: [Option<f64>; 2],
    tasks: u32,
    /// Backlog = end_sum - now * core_sum, over tasks whose hinted life has not run out.
    core_sum: f64,
    end_sum: f64,
    unanswered: BTreeMap<TaskId, Seconds>,
    /// Accepted, not known to run: when sent, with how much start work before and with it.
    starting: BTreeMap<TaskId, (Seconds, f64)>,
    start_work: f64,
    unit: Option<f64>,
    fail: f64,
    strikes: i32,
    aside_until: Seconds,
    full_until: Seconds,
    refusals: i32,
    /// Offers that may wait there for an answer, learned from refusals.
    line: f64,
    offers: VecDeque<Seconds>,
    programs: VecDeque<ServiceId>,
    report_at: Seconds,
    probe_at: Seconds,
}

impl Machine {
    fn asked(&self, i: usize) -> f64 {
        self.own[i] + self.others[i]
    }
    fn lag(&mut self, now: Seconds) {
        let keep = (-(now - self.lagged_at).max(0.0) / VIEW_LAG).exp();
        for i in 0..2 {
            self.lagged[i] = self.own[i] + (self.lagged[i] - self.own[i]) * keep;
        }
        self.lagged_at = now;
    }
    /// A start that is over, for better or worse: when it was sent and the work up to it.
    fn start_over(&mut self, id: TaskId, weight: f64) -> Option<(Seconds, f64)> {
        let start = self.starting.remove(&id)?;
        self.start_work = if self.starting.is_empty() { 0.0 } else { (self.start_work - weight).max(0.0) };
        Some(start)
    }
    /// What the machine was seen to be asked for in all, a while ago: beyond our own, it is others'.
    fn see_asked(&mut self, now: Seconds, seen: [Option<f64>; 2]) {
        self.lag(now);
        for (i, seen) in seen.into_iter().enumerate() {
            if let Some(seen) = seen {
                self.others[i] = (seen - self.lagged[i]).max(0.0);
            }
        }
    }
}

/// Running means over the tasks that came: their number, work, cores, memory, life and rate.
#[derive(Debug, Default)]
struct Means {
    seen: f64,
    work: f64,
    asked: [f64; 2],
    life: f64,
    rate: f64,
    rate_at: Seconds,
}

/// Decides for one scheduler. It knows what its events told it, nothing else.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    rng: rand_pcg::Pcg32,
    jobs: BTreeMap<TaskId, Job>,
    /// Tasks to place now, and tasks that candidates no machine and are tried again from `retry_at`.
    fresh: Vec<TaskId>,
    held: Vec<TaskId>,
    retry_at: Seconds,
    machines: BTreeMap<MachineId, Machine>,
    spread: BTreeMap<(ServiceId, MachineId), u32>,
    programs: Programs,
    expiry: BTreeSet<(u64, TaskId)>,
    mean: Means,
    used: [f64; 2],
    answer: Option<f64>,
    starts: [Option<f64>; 2],
    next_wake: Seconds,
    list: List,
}

/// Programs that others told of, and those we told of: the low halves of service and machine, and when.
#[derive(Debug, Default)]
struct Programs {
    heard: BTreeMap<(u32, u32), Seconds>,
    told: BTreeMap<(u32, u32), Seconds>,
    to_tell: Vec<(u32, u32)>,
}

/// The standing with the list of machines: a call that is out, when the next may go, failures in a row.
#[derive(Debug, Default)]
struct List {
    subscribed: bool,
    asked_at: Option<Seconds>,
    ask_at: Seconds,
    fails: i32,
}

/// A pause that doubles with each failure in a row.
fn doubled(first: Seconds, failures: i32, most: Seconds) -> Seconds {
    (first * 2f64.powi(failures)).min(most)
}

/// Moves a running mean, or sets it at the first observation.
fn learn(mean: &mut Option<f64>, seen: f64, weight: f64) {
    *mean = Some(mean.map_or(seen, |mean| mean + (seen - mean) * weight));
}

fn micros(t: Seconds) -> u64 {
    (t.max(0.0) * 1e6) as u64
}

/// Dice: short work to the least backlog while backlog plus work is under the threshold, longer work to the
/// longest backlog among a few; alike ones are drawn at random. Returns an index of `backlogs`.
fn dice(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut impl Rng) -> usize {
    let margin = MARGIN * mean_work;
    let least = backlogs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut near: Vec<usize> = if least + work < THRESHOLD * mean_work {
        (0..backlogs.len()).filter(|&i| backlogs[i] <= least + margin).collect()
    } else {
        let mut sample: Vec<usize> = (0..backlogs.len()).collect();
        for i in 0..SAMPLE.min(sample.len()) {
            let j = rng.random_range(i..sample.len());
            sample.swap(i, j);
        }
        sample.truncate(SAMPLE);
        let longest = sample.iter().map(|&i| backlogs[i]).fold(0.0, f64::max);
        sample.retain(|&i| backlogs[i] >= longest - margin);
        sample
    };
    if near.is_empty() {
        near.push(0);
    }
    near[rng.random_range(0..near.len())]
}

impl Scheduler {
    /// A scheduler that knows nothing yet; `seed` is all the chance it has.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: rand_pcg::Pcg32::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            fresh: Vec::new(),
            held: Vec::new(),
            retry_at: f64::INFINITY,
            machines: BTreeMap::new(),
            spread: BTreeMap::new(),
            programs: Programs::default(),
            expiry: BTreeSet::new(),
            mean: Means::default(),
            used: USED,
            answer: None,
            starts: [None; 2],
            next_wake: f64::INFINITY,
            list: List { subscribed: !settings.subscribe, ..List::default() },
            settings,
        })
    }

    /// Takes in `events`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: Seconds, events: Vec<Event>, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.expiry.first().filter(|e| e.0 <= micros(now)) {
            self.expiry.remove(&(at, id));
            self.forget_backlog(id);
        }
        for event in events {
            self.observe(now, event);
        }
        self.keep_list(now, out);
        self.place(now, out);
        self.probe(now, out);
        self.tell(now, out);
        self.wake(now, out);
    }

    fn observe(&mut self, now: Seconds, event: Event) {
        match event {
            Event::Submit(task) => {
                if self.jobs.contains_key(&task.id) {
                    return;
                }
                self.learn_task(now, &task);
                self.fresh.push(task.id);
                self.jobs.insert(task.id, Job { task, sent_at: now, ..Job::default() });
            }
            Event::InPlace(task, machine) => {
                if self.jobs.contains_key(&task.id) {
                    return;
                }
                self.learn_task(now, &task);
                let id = task.id;
                let job =
                    Job { task, sent_at: now, machine, state: State::Bound, sends: 1, ..Job::default() };
                self.jobs.insert(id, job);
                self.count(now, id);
            }
            Event::Confirmed { task, attempt } => {
                let running = self.settings.confirm_when_running;
                let Some(job) = self.jobs.get_mut(&task) else { return };
                if job.state != State::Out || attempt + 1 != job.sends {
                    return;
                }
                job.state = State::Bound;
                let wait = now - job.sent_at;
                if let Some(m) = self.machines.get_mut(&job.machine) {
                    m.unanswered.remove(&task);
                    m.refusals = 0;
                    m.line += 1.0 / m.line;
                    m.fail *= 1.0 - STATE_WEIGHT;
                }
                if running {
                    self.started(now, task);
                } else {
                    learn(&mut self.answer, wait, ANSWER_WEIGHT);
                }
            }
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
                let fails = self.list.fails + 1;
                let subscribed = !self.settings.subscribe;
                self.list = List { subscribed, asked_at: None, ask_at: now + pause, fails };
            }
            Event::Heard(bytes) => {
                for pair in bytes.chunks_exact(8) {
                    let half =
                        |i: usize| u32::from_le_bytes([pair[i], pair[i + 1], pair[i + 2], pair[i + 3]]);
                    let (pair, gone) = ((half(0), half(4) & !GONE), half(4) & GONE != 0);
                    let until = now + if gone { KEPT_FOR } else { HEARD_LEAST.max(HEARD * self.mean.life) };
                    self.programs.heard.insert(pair, until);
                }
            }
            Event::Probed { machine, report } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    if report.is_none() {
                        m.fail += (1.0 - m.fail) * STATE_WEIGHT;
                    }
                    m.probe_at = now;
                }
                self.take_report(now, Some(machine), report);
            }
        }
    }

    fn learn_task(&mut self, now: Seconds, task: &Task) {
        self.mean.seen += 1.0;
        let (by, mean) = ((1.0 / self.mean.seen).max(MEAN_WEIGHT), &mut self.mean);
        let life = task.life.unwrap_or(mean.life);
        mean.life += (life - mean.life) * by;
        mean.work += (life * task.cores - mean.work) * by;
        mean.asked[0] += (task.cores - mean.asked[0]) * by;
        mean.asked[1] += (task.memory - mean.asked[1]) * by;
        mean.rate = 1.0 / RATE_OVER + mean.rate * (-(now - mean.rate_at) / RATE_OVER).exp();
        mean.rate_at = now;
    }

    fn note(&mut self, now: Seconds, id: TaskId, note: Note) {
        let Some(job) = self.jobs.get(&id) else { return };
        let settled = job.state == State::Bound && now - job.sent_at > SETTLED;
        let learn = |mean: &mut f64, level: f64, asked: f64| {
            if settled && asked > 0.0 && level.is_finite() {
                *mean += ((level / asked).clamp(0.0, 3.0) - *mean) * MEAN_WEIGHT;
            }
        };
        match note {
            Note::Runs => self.started(now, id),
            Note::UsesCores(level) => learn(&mut self.used[0], level, job.task.cores),
            Note::UsesMemory(level) => learn(&mut self.used[1], level, job.task.memory),
            Note::Served(_) | Note::MachineMemory(_) => {}
        }
    }

    /// A task runs: how long its start took tells the pace of its machine's starts.
    fn started(&mut self, now: Seconds, id: TaskId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(m) = self.machines.get_mut(&job.machine) else { return };
        let Some((at, work)) = m.start_over(id, job.start_weight) else { return };
        (m.strikes, m.fail) = (0, m.fail * (1.0 - STATE_WEIGHT));
        let took = (now - at).max(0.0);
        learn(&mut m.unit, took / work.max(1.0), STATE_WEIGHT);
        if work == job.start_weight {
            learn(&mut self.starts[usize::from(!job.warm)], took, ANSWER_WEIGHT);
        }
    }

    fn outcome(&mut self, now: Seconds, id: TaskId, attempt: u32, ending: Ending, closed: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        if attempt + 1 != job.sends {
            return;
        }
        let (was, machine, sent_at) = (job.state, job.machine, job.sent_at);
        self.uncount(now, id);
        let m = self.machines.entry(machine).or_default();
        match ending {
            Ending::Finished | Ending::Cancelled | Ending::Void => {}
            // The line is shared with others: go down to what stood there, less a part; answers raise it.
            Ending::Full(Why::Queue) => {
                m.line = (0.7 * (m.unanswered.len() as f64 + 1.0)).min(m.line).max(1.0);
                m.full_until = now + FULL_FOR / 10.0;
            }
            // Any other refusal holds a while, longer when it goes on: full, leaving before the list tells,
            // or refusing for a reason that nobody names. Harm: a machine that has room again waits.
            Ending::Full(_) | Ending::Broken(Why::SentAway) => {
                m.full_until = now + doubled(FULL_FOR, m.refusals, FULL_MOST);
                m.refusals += 1;
                if m.refusals > 1 {
                    m.line = 1.0;
                }
            }
            Ending::Broken(Why::Evicted | Why::PushedOut) => m.full_until = now + FULL_FOR,
            // Failures of any kind, before or after the confirmation: the machine may be dead, silent, cut
            // off or returning errors; what matters is the share of them. Harm: an error of the task itself
            // counts against its machine, so a few never set it aside.
            Ending::Failed | Ending::Late | Ending::NoConnection | Ending::Broken(_) => {
                m.fail += (1.0 - m.fail) * if ending == Ending::NoConnection { SICK } else { STATE_WEIGHT };
                if matches!(ending, Ending::NoConnection | Ending::Broken(_)) {
                    // It may have died: the list tells late, so it counts as cold once it answers again.
                    m.cold_until = now + self.settings.safety.cold;
                    m.programs.clear();
                }
                if m.fail >= SICK && now >= m.aside_until {
                    m.aside_until = now + doubled(ASIDE, m.strikes, ASIDE_MOST);
                    m.strikes += 1;
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if closed || was != State::Out {
            self.jobs.remove(&id);
            return;
        }
        if matches!(ending, Ending::Failed | Ending::Late | Ending::Broken(_) | Ending::Cancelled) {
            job.may_run.get_or_insert((sent_at, machine));
        }
        if ending != Ending::Void {
            job.tried.push(machine);
        }
        job.state = State::Held;
        self.fresh.push(id);
    }

    fn take_report(&mut self, now: Seconds, id: Option<MachineId>, report: Option<Report>) {
        let (Some(m), Some(report)) = (id.and_then(|id| self.machines.get_mut(&id)), report) else { return };
        m.report_at = now;
        let size = m.size;
        let taken = [report.free_cores.map(|f| size[0] - f), report.free_memory.map(|f| size[1] - f)];
        if self.settings.reports_use {
            m.lag(now);
            for i in 0..2 {
                let asked = m.lagged[i] + m.others[i];
                let Some(taken) = taken[i].filter(|_| asked > 0.1 * size[i]) else { continue };
                let ratio = (taken / asked).clamp(0.1, 2.0);
                learn(&mut m.used[i], ratio, STATE_WEIGHT);
                self.used[i] += (ratio - self.used[i]) * MEAN_WEIGHT;
            }
        } else {
            m.see_asked(now, taken);
            if let Some(busy) = report.busy.filter(|_| m.asked(0) > 0.1 * size[0]) {
                let ratio = (busy * size[0] / m.asked(0)).clamp(0.1, 2.0);
                learn(&mut m.used[0], ratio, STATE_WEIGHT);
            }
        }
    }

    fn take_list(&mut self, now: Seconds, list: Vec<Entry>, whole: bool) {
        (self.list.asked_at, self.list.fails) = (None, 0);
        if whole {
            self.machines.values_mut().for_each(|m| m.leaving = true);
        }
        for e in list {
            let m = self.machines.entry(e.machine).or_default();
            m.line = if m.listed { m.line } else { LINE };
            let Some(kind) = self.settings.kinds.get(e.kind) else { continue };
            m.size = [kind.cores, kind.memory];
            (m.listed, m.kind, m.cell, m.zone) = (true, e.kind, e.cell, e.zone);
            m.leaving = e.standing != Standing::Ready;
            if e.up_since > m.up_since {
                m.programs.clear();
            }
            m.up_since = e.up_since;
            if self.settings.lists_free {
                m.see_asked(now, [Some(kind.cores - e.free_cores), Some(kind.memory - e.free_memory)]);
            }
        }
    }

    /// Counts a send or a task in place against its machine.
    fn count(&mut self, now: Seconds, id: TaskId) {
        let (mean_life, setup) = (self.mean.life, self.setup());
        let Some(job) = self.jobs.get(&id) else { return };
        let m = self.machines.get(&job.machine);
        let warm = m.is_some_and(|m| self.warm(now, job.task.service, job.machine, m));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        *self.spread.entry((job.task.service, job.machine)).or_default() += 1;
        let pair = pair(job.task.service, job.machine);
        if self.programs.told.get(&pair).is_none_or(|&at| now - at > HEARD * mean_life / 2.0) {
            self.programs.told.insert(pair, now);
            self.programs.to_tell.push(pair);
        }
        let m = self.machines.entry(job.machine).or_default();
        m.lag(now);
        m.own[0] += job.task.cores;
        m.own[1] += job.task.memory;
        m.tasks += 1;
        let life_end = now + job.task.life.unwrap_or(mean_life).clamp(0.0, 1e7);
        job.life_end = Some(life_end);
        m.core_sum += job.task.cores;
        m.end_sum += job.task.cores * life_end;
        self.expiry.insert((micros(life_end), id));
        if job.state == State::Out {
            (job.warm, job.start_weight) = (warm, if warm { 1.0 } else { setup });
            m.start_work += job.start_weight;
            m.unanswered.insert(id, now);
            m.starting.insert(id, (now, m.start_work));
        } else {
            // The list that came before told of this task among all others.
            m.lagged = m.own;
            m.others[0] = (m.others[0] - job.task.cores).max(0.0);
            m.others[1] = (m.others[1] - job.task.memory).max(0.0);
        }
    }

    fn forget_backlog(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Some(end), Some(m)) = (job.life_end.take(), self.machines.get_mut(&job.machine)) else { return };
        self.expiry.remove(&(micros(end), id));
        m.core_sum -= job.task.cores;
        m.end_sum -= job.task.cores * end;
    }

    /// Takes back all that `count` did.
    fn uncount(&mut self, now: Seconds, id: TaskId) {
        self.forget_backlog(id);
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(m) = self.machines.get_mut(&job.machine) else { return };
        m.lag(now);
        m.own[0] -= job.task.cores;
        m.own[1] -= job.task.memory;
        m.tasks -= 1;
        if m.tasks == 0 {
            (m.own, m.core_sum, m.end_sum) = ([0.0; 2], 0.0, 0.0);
        }
        m.unanswered.remove(&id);
        m.start_over(id, job.start_weight);
        let key = (job.task.service, job.machine);
        if let Some(n) = self.spread.get_mut(&key) {
            *n -= 1;
            if *n == 0 {
                self.spread.remove(&key);
                let pair = pair(key.0, key.1);
                self.programs.told.remove(&pair);
                self.programs.to_tell.push((pair.0, pair.1 | GONE));
                m.programs.retain(|&p| p != key.0);
                m.programs.push_back(key.0);
                if m.programs.len() > KEPT {
                    m.programs.pop_front();
                }
            }
        }
    }

    /// Offers that this scheduler may make to a cold machine within how long: its part of what all may.
    fn cold_budget(&self) -> (usize, Seconds) {
        let part = self.settings.safety.cold_bears / self.settings.schedulers as f64;
        let window = self.settings.safety.overload_for * SLACK;
        if part >= 1.0 { (part as usize, window) } else { (1, window / part.max(1e-3)) }
    }

    /// The one gate: the five rules, for one more send of this task to this machine.
    fn gate(&self, now: Seconds, job: &Job, id: MachineId, m: &Machine) -> bool {
        let class = &self.settings.classes[job.task.class];
        let owed = job.state == State::Held && job.sends < self.settings.max_attempts;
        let in_time = now + LEEWAY < job.task.deadline;
        let here = m.listed && !m.leaving && class.kind.is_none_or(|k| k == m.kind);
        if !owed || !in_time || !here {
            return false;
        }
        let once = match (job.may_run, class.effect) {
            (None, _) | (_, Effect::Safe) => true,
            (_, Effect::Unsafe) => false,
            (Some((at, first)), Effect::Keyed { group, window }) => {
                now + LEEWAY < at + window && self.same_place(group, id, m, first)
            }
        };
        if !once {
            return false;
        }
        if cold(m, &self.settings, now) {
            let (most, window) = self.cold_budget();
            if m.offers.iter().filter(|&&at| at > now - window).count() >= most {
                return false;
            }
        }
        let Some(place) = class.spread else { return true };
        let there: u32 = self
            .spread
            .range((job.task.service, MachineId(0))..=(job.task.service, MachineId(u64::MAX)))
            .filter(|((_, other), _)| self.same_place(place, id, m, *other))
            .map(|(_, n)| n)
            .sum();
        there < class.spread_most
    }

    fn same_place(&self, place: Place, id: MachineId, m: &Machine, other: MachineId) -> bool {
        let known = self.machines.get(&other).filter(|o| o.listed);
        match place {
            Place::All => true,
            Place::Machine => id == other,
            Place::Zone => known.is_some_and(|o| o.zone == m.zone),
            Place::Cell => known.is_some_and(|o| o.cell == m.cell),
        }
    }

    fn setup(&self) -> f64 {
        match self.starts {
            [Some(warm), Some(cold)] if warm > 0.0 => (cold / warm).clamp(2.0, 20.0),
            _ => SETUP,
        }
    }

    /// How long until the task would run there, from the pace of starts seen there.
    fn start_in(&self, now: Seconds, m: &Machine, program: f64) -> Seconds {
        let unit = m.unit.or(self.starts[0]).unwrap_or(START);
        let unit = m.starting.values().next().map_or(unit, |&(at, work)| unit.max((now - at) / work));
        let work = program + (1.0 - program) * self.setup();
        // Starts run side by side, so the pace of many says nothing of how long one takes.
        (unit * (m.start_work + work)).max(self.starts[0].unwrap_or(START) * work)
    }

    fn warm(&self, now: Seconds, service: ServiceId, id: MachineId, m: &Machine) -> bool {
        m.programs.contains(&service)
            || self.spread.contains_key(&(service, id))
            || self.programs.heard.get(&pair(service, id)).is_some_and(|&until| now < until)
    }

    /// Whether the machine would admit the task, and how crowded that would leave it: up to 1 all are served
    /// well, above 1 the task lacks cores or memory; `None` where it should not be offered at all.
    fn crowding(&self, now: Seconds, job: &Job, m: &Machine) -> Option<f64> {
        let (class, task) = (&self.settings.classes[job.task.class], &job.task);
        let use_of = |i: usize| m.used[i].unwrap_or(self.used[i]).max(0.05);
        let asked = [(m.asked(0) + task.cores) / m.size[0], (m.asked(1) + task.memory) / m.size[1]];
        let used = [asked[0] * use_of(0), asked[1] * use_of(1)];
        let admitted = asked[0] <= self.settings.admit_cores * ADMIT_FULL
            && asked[1] <= self.settings.admit_memory * ADMIT_FULL
            && used[0] <= class.calm + STRETCH * class.fade
            && used[1] <= MEMORY_MOST;
        (now >= m.full_until && admitted)
            .then(|| (used[0] / (class.calm * CORES_FULL).max(0.01)).max(used[1] / MEMORY_FULL))
    }

    fn backlog(&self, now: Seconds, m: &Machine) -> f64 {
        let lanes_cores = m.size[0] / (self.used[0] * self.mean.asked[0]).max(1e-6);
        let lanes_memory = MEMORY_FULL * m.size[1] / (self.used[1] * self.mean.asked[1]).max(1e-6);
        let others = m.others[0] * self.mean.life;
        ((m.end_sum - now * m.core_sum).max(0.0) + others) / lanes_cores.min(lanes_memory).max(1.0)
    }

    fn pick(&mut self, now: Seconds, id: TaskId) -> Option<MachineId> {
        let job = &self.jobs[&id];
        let mut candidates: Vec<(MachineId, &Machine, f64)> = self
            .machines
            .iter()
            .filter(|&(&mid, m)| self.gate(now, job, mid, m))
            .filter_map(|(&mid, m)| Some((mid, m, self.crowding(now, job, m)?)))
            // A machine set aside gets nothing, then one task at a time until one has started.
            .filter(|(_, m, _)| now >= m.aside_until && (m.fail < SICK || m.starting.is_empty()))
            .filter(|(_, m, _)| (m.unanswered.len() as f64) < m.line)
            .collect();
        let silent = (SILENT * self.answer.unwrap_or(0.0)).max(SILENT_MIN);
        narrow(&mut candidates, |(mid, ..)| !job.tried.contains(mid));
        narrow(&mut candidates, |(_, m, _)| m.unanswered.values().next().is_none_or(|at| now - at < silent));
        let least = candidates.iter().map(|f| f.2).fold(f64::INFINITY, f64::min);
        narrow(&mut candidates, |f| f.2 <= 1f64.max(least + CROWD));
        if self.settings.prices.machines > 0.0 {
            narrow(&mut candidates, |(_, m, _)| m.asked(0) > 0.0);
        }
        // Where no program is known, all schedulers prefer the same few machines for a service, as others'
        // programs are not seen. Where a home is crowded, silent or barred, the next takes its place. Harm: a
        // popular service fills its homes first.
        let service = job.task.service;
        let mut ranks: Vec<u64> = candidates.iter().map(|f| rank(service, f.0)).collect();
        ranks.sort_unstable();
        let known = candidates.iter().any(|f| self.warm(now, service, f.0, f.1));
        let home = ranks.get(HOMES - 1).filter(|_| !known).copied().unwrap_or(0);
        let start = |f: &(MachineId, &Machine, f64)| {
            let program = if known && self.warm(now, service, f.0, f.1) {
                1.0
            } else if rank(service, f.0) <= home {
                AT_HOME
            } else {
                0.0
            };
            self.start_in(now, f.1, program)
        };
        let soonest = candidates.iter().map(start).fold(f64::INFINITY, f64::min);
        let aim = self.settings.classes[job.task.class].aim * IN_TIME;
        narrow(&mut candidates, |f| start(f) <= aim.max(soonest * SLACK));
        if candidates.is_empty() {
            return None;
        }
        let known: Vec<f64> = candidates.iter().map(|(_, m, _)| self.backlog(now, m)).collect();
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let new = |m: &Machine| m.tasks == 0 || cold(m, &self.settings, now);
        let backlogs: Vec<f64> =
            candidates.iter().zip(&known).map(|((_, m, _), &b)| if new(m) { mean } else { b }).collect();
        let work = job.task.life.map_or(self.mean.work, |life| life * job.task.cores);
        let ids: Vec<MachineId> = candidates.iter().map(|f| f.0).collect();
        Some(ids[dice(&backlogs, work, self.mean.work, &mut self.rng)])
    }

    fn place(&mut self, now: Seconds, out: &mut Vec<Action>) {
        // Waiting tasks take turns, rarer the more there are: each look costs CPU, which is limited.
        let mut held = std::mem::take(&mut self.fresh);
        if now >= self.retry_at {
            held.append(&mut self.held);
            self.retry_at = f64::INFINITY;
        }
        let classes = &self.settings.classes;
        held.sort_by(|a, b| {
            let worth = |id: &TaskId| self.jobs.get(id).map_or(0.0, |j| classes[j.task.class].worth);
            worth(b).total_cmp(&worth(a)).then(a.cmp(b))
        });
        for id in held {
            let Some(job) = self.jobs.get(&id) else { continue };
            let effect = self.settings.classes[job.task.class].effect;
            let barred = job.may_run.is_some_and(|(at, _)| match effect {
                Effect::Safe => false,
                Effect::Unsafe => true,
                Effect::Keyed { window, .. } => now + LEEWAY >= at + window,
            });
            if barred || job.sends >= self.settings.max_attempts || now + LEEWAY >= job.task.deadline {
                self.finish(id, out);
            } else if let Some(machine) = self.pick(now, id) {
                self.send(now, id, machine, out);
            } else {
                let pause = AGAIN * (1.0 + self.held.len() as f64 / CROWDED);
                self.retry_at = self.retry_at.min(now + pause).min(self.jobs[&id].task.deadline - LEEWAY);
                self.held.push(id);
            }
        }
    }

    fn send(&mut self, now: Seconds, id: TaskId, machine: MachineId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let class = &self.settings.classes[job.task.class];
        let usual = match class.effect {
            _ if self.settings.confirm_when_running => class.deadline / 2.0,
            Effect::Unsafe => class.deadline / 2.0,
            _ => class.aim,
        };
        let wait = usual.max(SILENT * self.answer.unwrap_or(0.0)).min(job.task.deadline - now - LEEWAY / 2.0);
        (job.state, job.sent_at, job.machine) = (State::Out, now, machine);
        job.sends += 1;
        self.count(now, id);
        let keep = now - self.cold_budget().1;
        if let Some(m) = self.machines.get_mut(&machine) {
            m.offers.push_back(now);
            while m.offers.front().is_some_and(|&at| at < keep) {
                m.offers.pop_front();
            }
        }
        out.push(Action::Send { task: id, machine, wait });
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
        let bytes: Vec<u8> = self
            .programs
            .to_tell
            .drain(..)
            .flat_map(|p| [p.0.to_le_bytes(), p.1.to_le_bytes()])
            .flatten()
            .collect();
        let share = (self.settings.schedulers - 1) as f64 * 8.0 / 256.0;
        if self.settings.messages && share > 0.0 && self.settings.prices.message * share <= TELL_SPEND {
            out.extend(bytes.chunks(256).map(|part| Action::Tell(part.to_vec())));
        }
        if self.programs.heard.len() + self.programs.told.len() > TOLD_MOST {
            self.programs.heard.retain(|_, until| now < *until);
            self.programs.told.retain(|_, at| now - *at < HEARD * self.mean.life);
        }
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

    /// Probes the machine whose report is oldest, as often as the price allows.
    fn probe(&mut self, now: Seconds, out: &mut Vec<Action>) {
        if !self.settings.probes || self.settings.reports == Reports::None {
            return;
        }
        let spend =
            if self.settings.prices.probe > 0.0 { PROBE_SPEND / self.settings.prices.probe } else { 1.0 };
        let each = (self.machines.len() as f64 / (self.mean.rate * spend).max(0.1)).max(STALE);
        for (&id, m) in &mut self.machines {
            let due = now - m.report_at.max(m.probe_at) >= each;
            if due && m.listed && !m.leaving && !cold(m, &self.settings, now) {
                m.probe_at = now;
                out.push(Action::Probe(id));
            }
        }
    }

    fn wake(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let mut at = if self.settings.probes { now + STALE / 2.0 } else { f64::INFINITY };
        if let Some(asked) = self.list.asked_at {
            at = at.min(asked + ASK_LOST + 0.01);
        } else if !self.list.subscribed {
            at = at.min(self.list.ask_at);
        }
        at = at.min(self.retry_at);
        if at.is_finite() && at < self.next_wake {
            self.next_wake = at;
            out.push(Action::Timer { after: (at - now).max(0.001), token: micros(at) });
        }
    }
}

/// The place of a machine in a service's order of homes: the same at every scheduler.
fn rank(service: ServiceId, machine: MachineId) -> u64 {
    let x = (service.0 ^ machine.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

fn cold(m: &Machine, settings: &Settings, now: Seconds) -> bool {
    m.up_since.is_some_and(|up| now < up + settings.safety.cold) || now < m.cold_until
}

/// A service and a machine as schedulers tell each other of them.
fn pair(service: ServiceId, machine: MachineId) -> (u32, u32) {
    (service.0 as u32, machine.0 as u32 & !GONE)
}

/// Keeps what `good` likes, or all if it likes nothing.
fn narrow<T>(candidates: &mut Vec<T>, good: impl Fn(&T) -> bool) {
    if candidates.iter().any(&good) {
        candidates.retain(good);
    }
}
