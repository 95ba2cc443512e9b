//! The state machine of the gateway: inputs from sockets to events of the policy, its actions to bytes.

use crate::counts::Counts;
use crate::discovery::Delivery;
use crate::downstream::Downstreams;
use crate::message::{Id, Kind, Message, cause, code};
use crate::pool::{End, News, Pool, PoolAction};
use crate::table::{Attempt, Request, RequestTable, Stage, micros};
use crate::{DownstreamId, UpstreamId, ask, discovery};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{Action, Ending, Event, MachineId, Report, Seconds, Standing, TaskId, Why};
use tidespur_pressure::Pressure;
use tidespur_settings::Site;

/// Set-ups without an answer on one connection; more are refused at once.
const OPEN_MOST: usize = 256;
/// Set-ups without an answer in all.
const OPEN_MOST_ALL: usize = 8_192;
/// Releases that wait for a way to their owner.
const OWED_MOST: usize = 4_096;
/// Time goes on at least this often.
const TICK: Seconds = 0.1;
/// After the word to end, requests go on coming for so long.
const LEAVE_AFTER: Seconds = 0.7;
/// After the word to end, what is still open is answered, and then the program ends; until then it passes on the
/// ends of what stands. The platform kills no sooner than 3.7 s after the word.
const LEAVE_LATEST: Seconds = 3.1;

/// What the gateway may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients at once.
    pub clients: usize,
    /// Connections to machines at once.
    pub lines: usize,
}

impl Limits {
    /// Shares out a limit on descriptors: some for the program itself and the notice board; a third for owners, who
    /// hold no more by the platform's rule, and an eighth for others who come in; the rest for machines, so that as
    /// many as can be have a connection of their own.
    pub fn of(sockets: usize) -> Self {
        let own = 24.min(sockets / 4);
        let clients = sockets / 3 + sockets / 8;
        Self { lines: (sockets - own).saturating_sub(clients).max(2), clients: clients.max(1) }
    }
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    DownstreamOpened(DownstreamId, IpAddr),
    /// It sent a message.
    DownstreamSaid(DownstreamId, Message),
    /// It sent what can't be read.
    DownstreamMalformed(DownstreamId),
    /// Its connection ended.
    DownstreamClosed(DownstreamId),
    /// A connection to a machine is made.
    UpstreamOpened(UpstreamId),
    /// Nobody listens there.
    UpstreamRefused(UpstreamId),
    /// It could not be made, for another reason.
    UpstreamFailed(UpstreamId),
    /// The machine sent a message.
    UpstreamSaid(UpstreamId, Message),
    /// It sent what can't be read.
    UpstreamMalformed(UpstreamId),
    /// The connection ended.
    UpstreamEnded(UpstreamId),
    /// The same, and no byte left of what was to be written last: this set-up, or something else.
    UpstreamUnwritten(UpstreamId, Option<Id>),
    /// The notice board told something.
    Delivered(Delivery),
    /// The program is to end.
    Leave,
    /// Something that was due so many seconds ago is taken in only now: the loop is behind.
    Lag(Seconds),
    /// Time goes on.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    Downstream(DownstreamId, Vec<u8>),
    /// Close a client's connection, after what was written.
    CloseDownstream(DownstreamId),
    /// Something about a connection to a machine.
    Upstream(PoolAction),
    /// A line of the log.
    Log(String),
    /// Nothing is owed any more: end.
    End,
}

/// The gateway of one scheduler.
pub struct Gateway {
    site: Site,
    policy: Scheduler,
    table: RequestTable,
    pool: Pool,
    downstreams: Downstreams,
    /// Machines that are listed, or of which something is still here: name, and when it last started.
    known: BTreeMap<MachineId, (String, Option<Seconds>)>,
    delivered: u64,
    events: Vec<Event>,
    timers: BTreeSet<(u64, u64)>,
    owed: VecDeque<(Option<IpAddr>, Vec<u8>)>,
    leaving: Option<Seconds>,
    ticked: Seconds,
    pressure: Pressure,
    counts: Counts,
}

impl Gateway {
    /// A gateway over a policy that knows nothing yet.
    ///
    /// # Errors
    /// Settings that the policy can't work with.
    pub fn new(site: Site, limits: Limits, seed: u64) -> Result<Self, String> {
        let policy = Scheduler::new(site.settings.clone(), seed).map_err(|e| e.to_string())?;
        let pressure = Pressure::of(site.settings.classes.iter().map(|class| (class.aim, class.worth)));
        Ok(Self {
            policy,
            table: RequestTable::default(),
            pool: Pool::new(limits.lines, site.connect_timeout),
            downstreams: Downstreams::new(limits.clients),
            known: BTreeMap::new(),
            delivered: 0,
            events: Vec::new(),
            timers: BTreeSet::new(),
            owed: VecDeque::new(),
            leaving: None,
            ticked: 0.0,
            pressure,
            counts: Counts::default(),
            site,
        })
    }

    /// Number of the last event of the notice board that was taken in.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The settings that it works by.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Machines, and connections to them, that were looked at so far: the work of choosing.
    pub fn looked(&self) -> [u64; 2] {
        [self.policy.looked(), self.pool.looked()]
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests, those that wait, connections of clients and to machines, machines known.
    pub fn sizes(&self) -> [usize; 5] {
        let clients = self.downstreams.count();
        [self.table.count(), self.table.waiting(), clients, self.pool.count(), self.pool.peers()]
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        let timer = self.timers.first().map_or(f64::INFINITY, |&(at, _)| at as f64 / 1e6);
        let late = self.table.next_late().map_or(f64::INFINITY, |at| at as f64 / 1e6);
        timer.min(late).min(self.ticked + TICK)
    }

    /// Takes in what came at `now`, and tells what is to be done.
    pub fn step(&mut self, now: Seconds, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Output>) {
        for input in inputs {
            self.take(now, input, out);
        }
        self.pass(now, out);
        // An offer that can't leave is an event at once; the policy's attempts bound how often.
        while !self.events.is_empty() {
            let mut actions = Vec::new();
            self.policy.step(now, std::mem::take(&mut self.events), &mut actions);
            for action in actions {
                self.carry_out(now, action, out);
            }
        }
    }

    fn take(&mut self, now: Seconds, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::DownstreamOpened(client, from) => {
                if let Some(victim) = self.downstreams.opened(now, client, from) {
                    self.forget_client(now, victim, out);
                    self.counts.closed += 1;
                    out.push(Output::CloseDownstream(victim));
                }
            }
            Input::DownstreamSaid(client, message) if self.downstreams.has(client) => {
                self.client_said(now, client, message, out);
            }
            Input::DownstreamSaid(..) => {}
            Input::DownstreamMalformed(client) => {
                self.counts.useless += 1;
                self.close_client(now, client, out);
            }
            Input::DownstreamClosed(client) => {
                self.downstreams.closed(client);
                self.forget_client(now, client, out);
            }
            Input::UpstreamOpened(line) => self.on_pool(out, |pool, acts| pool.opened(now, line, acts)),
            Input::UpstreamRefused(line) => self.line_ended(now, line, End::Refused, out),
            Input::UpstreamEnded(line) | Input::UpstreamFailed(line) => {
                self.line_ended(now, line, End::Other, out);
            }
            Input::UpstreamUnwritten(line, offer) => {
                self.line_ended(now, line, End::Unwritten(offer), out);
            }
            Input::UpstreamMalformed(line) => self.malformed(now, line, out),
            Input::UpstreamSaid(line, message) => self.line_said(now, line, &message, out),
            Input::Delivered(event) => self.delivered_event(now, event, out),
            Input::Leave => self.leaving = self.leaving.or(Some(now)),
            Input::Lag(late) => {
                self.counts.lag_most = self.counts.lag_most.max((late * 1e3) as u64);
                self.pressure.mark(now, late);
            }
            Input::Tick => {}
        }
    }

    /// What is due by now.
    fn pass(&mut self, now: Seconds, out: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|&&(at, _)| at <= micros(now)) {
            self.timers.remove(&(at, token));
            self.events.push(Event::Timer(token));
        }
        for id in self.table.late(now) {
            self.late(now, id, out);
        }
        if now - self.ticked < TICK {
            return;
        }
        self.ticked = now;
        let mut news = Vec::new();
        self.on_pool(out, |pool, acts| pool.tick(now, acts, &mut news));
        self.hear(now, news, out);
        for client in self.downstreams.silent(now) {
            self.counts.closed += 1;
            out.push(Output::CloseDownstream(client));
        }
        // Machines come and go without end: what is kept of one goes with its last connection.
        let pool = &self.pool;
        self.known.retain(|machine, _| pool.knows(*machine));
        self.pay(out);
        self.leave(now, out);
    }

    /// After the word to end: all that is open gets an answer, then the program ends.
    fn leave(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let Some(at) = self.leaving.filter(|at| now - at > LEAVE_AFTER) else { return };
        let latest = now - at > LEAVE_LATEST;
        if latest {
            for id in self.table.open() {
                let Some(Stage::Open { attempt, may_have_run, .. }) = self.table.get(id).map(|r| r.stage)
                else {
                    continue;
                };
                // What may run can't be refused: its owner would ask again at once.
                let harmless = attempt.is_none() && !may_have_run;
                let word = if harmless { cause::CONGESTED } else { cause::FAILED };
                self.reply(id, Message::release(id, word).bytes(), out);
                self.cancel_request(now, id, out);
            }
        }
        if latest || self.table.count() == 0 {
            out.push(Output::End);
        }
    }

    // Downstreams.

    fn close_client(&mut self, now: Seconds, client: DownstreamId, out: &mut Vec<Output>) {
        self.downstreams.closed(client);
        self.forget_client(now, client, out);
        self.counts.closed += 1;
        out.push(Output::CloseDownstream(client));
    }

    /// A connection is no more: what was open on it is given up, what stands is reached by another way.
    fn forget_client(&mut self, now: Seconds, client: DownstreamId, out: &mut Vec<Output>) {
        for id in self.table.of_client(client) {
            self.counts.cancelled += 1;
            self.cancel_request(now, id, out);
        }
    }

    fn client_said(&mut self, now: Seconds, client: DownstreamId, message: Message, out: &mut Vec<Output>) {
        let id = message.id;
        let too_often = match message.kind {
            Kind::SetUp => return self.set_up(now, client, message, out),
            Kind::Test => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Downstream(client, tested.bytes()));
                self.downstreams.free(now, client)
            }
            Kind::Release => match self.table.get(id).map(|request| (request.client, request.stage)) {
                Some((by, Stage::Open { .. })) if by == client => {
                    self.counts.cancelled += 1;
                    self.cancel_request(now, id, out);
                    false
                }
                // Another's set-up that waits is not touched.
                Some((_, Stage::Open { .. })) => self.downstreams.useless(now, client),
                Some((_, Stage::Standing { .. })) => {
                    out.push(Output::Downstream(client, Message::new(Kind::Heard, id).bytes()));
                    self.end_at_machine(now, id, out);
                    false
                }
                None => self.downstreams.useless(now, client),
            },
            Kind::Heard => self.downstreams.heard(now, client),
            Kind::Progress => self.downstreams.free(now, client),
            Kind::Answer | Kind::Tested | Kind::Note | Kind::Move => self.downstreams.useless(now, client),
        };
        if too_often {
            self.counts.useless += 1;
            self.close_client(now, client, out);
        }
    }

    fn set_up(&mut self, now: Seconds, client: DownstreamId, message: Message, out: &mut Vec<Output>) {
        let id = message.id;
        if id == Id::default() {
            // No id at all: an answer to it could be anybody's.
            self.counts.useless += 1;
            self.close_client(now, client, out);
            return;
        }
        let read = ask::read(&self.site, now, &message);
        if let Some(known) = self.table.get(id) {
            let handed = read.as_ref().is_ok_and(|ask| ask.at.is_some());
            if handed && matches!(known.stage, Stage::Standing { .. }) {
                // Whoever names what is held already is believed to be its owner only where the one who is known
                // has gone: else anybody with an id could draw its end to himself.
                if !self.downstreams.has(known.client) {
                    self.downstreams.proves(now, client);
                    self.downstreams.count_standing(client, true);
                    self.table.reached_by(id, client, self.downstreams.from(client));
                }
            } else {
                // Two requests of one number: neither answer could be told from the other.
                self.counts.useless += 1;
                self.close_client(now, client, out);
            }
            return;
        }
        let mut ask = match read {
            Ok(ask) => ask,
            Err(problem) => return self.turn_away(now, client, id, &problem, out),
        };
        let from = self.downstreams.from(client);
        let task = self.table.number();
        ask.task.id = task;
        let bytes = |code| message.get(code).map(<[u8]>::to_vec).unwrap_or_default();
        let (class, name) = (bytes(code::CLASS), bytes(code::NAME));
        let description = bytes(code::DESCRIPTION);
        let stage = Stage::Open { attempt: None, may_have_run: false };
        let mut request = Request { task, client, from, stage, class, name, description, sends: 0 };
        if let Some(at) = &ask.at {
            let machine = discovery::machine_id(at);
            if self.table.has_ended(id) || !self.known.contains_key(&machine) {
                let over = Message::release(id, cause::FAILED).bytes();
                out.push(Output::Downstream(client, over));
                return;
            }
            self.counts.in_place += 1;
            self.downstreams.proves(now, client);
            request.stage = Stage::Standing { machine, attempt: 0, since: now };
            request.sends = 1;
            self.table.add(id, request);
            self.pool.hold(now, machine, true);
            self.downstreams.count_standing(client, true);
            self.events.push(Event::InPlace(ask.task, machine));
            return;
        }
        let shed = !self.pressure.admits(ask.task.class);
        self.counts.shed += u64::from(shed);
        if shed || self.downstreams.open(client) >= OPEN_MOST || self.table.waiting() >= OPEN_MOST_ALL {
            // It never reached the policy: asking again does no harm.
            self.counts.refused += 1;
            self.downstreams.proves(now, client);
            out.push(Output::Downstream(client, Message::release(id, cause::CONGESTED).bytes()));
            return;
        }
        self.counts.taken += 1;
        self.downstreams.proves(now, client);
        self.downstreams.count_open(now, client, true);
        self.table.add(id, request);
        self.events.push(Event::Submit(ask.task));
    }

    /// A set-up that can't be used is told so at once.
    fn turn_away(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        id: Id,
        problem: &str,
        out: &mut Vec<Output>,
    ) {
        self.counts.useless += 1;
        if self.counts.useless < 20 {
            out.push(Output::Log(format!("request {id} can't be used: {problem}")));
        }
        out.push(Output::Downstream(client, Message::release(id, cause::CONTENT).bytes()));
        if self.downstreams.useless(now, client) {
            self.close_client(now, client, out);
        }
    }

    /// Sends bytes to the owner of a request, by whatever way leads there.
    fn reply(&mut self, id: Id, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let Some(request) = self.table.get(id) else { return };
        match self.downstreams.way(Some(request.client), request.from) {
            Some(client) => {
                self.downstreams.released(client);
                out.push(Output::Downstream(client, bytes));
            }
            None => {
                if self.owed.len() >= OWED_MOST {
                    self.owed.pop_front();
                }
                self.owed.push_back((request.from, bytes));
            }
        }
    }

    /// What had no way to its owner goes out once there is one.
    fn pay(&mut self, out: &mut Vec<Output>) {
        while let Some((from, _)) = self.owed.front() {
            let Some(client) = self.downstreams.way(None, *from) else { return };
            let Some((_, bytes)) = self.owed.pop_front() else { return };
            self.downstreams.released(client);
            out.push(Output::Downstream(client, bytes));
        }
    }

    // Requests.

    /// A request whose owner waits is over: nothing is owed, and what is out for it is given up at its machine.
    fn cancel_request(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(request) = self.table.remove(id) else { return };
        let (task, Stage::Open { attempt, .. }) = (request.task, request.stage) else { return };
        self.downstreams.count_open(now, request.client, false);
        self.events.push(Event::Dropped(task));
        if let Some(attempt) = attempt {
            self.on_pool(out, |pool, acts| pool.cancel(now, attempt.line, id, false, acts));
            self.events.push(event((task, attempt.number, Ending::Cancelled, true, None)));
        }
    }

    /// The time of an attempt is over: it is given up.
    fn late(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Open { attempt: Some(attempt), .. }) = self.table.get(id).map(|r| r.stage) else {
            return;
        };
        self.counts.timed_out += 1;
        self.on_pool(out, |pool, acts| pool.cancel(now, attempt.line, id, true, acts));
        self.attempt_ended(id, Ending::Late, None);
    }

    /// The attempt that is out has ended without an answer that the task stands.
    fn attempt_ended(&mut self, id: Id, ending: Ending, report: Option<Report>) {
        let Some(request) = self.table.get(id) else { return };
        let Stage::Open { attempt: Some(attempt), may_have_run } = request.stage else { return };
        let task = request.task;
        let ran = !matches!(ending, Ending::Full(_) | Ending::NoConnection | Ending::Void);
        self.pool.settled(attempt.line, id);
        self.table.put(id, Stage::Open { attempt: None, may_have_run: may_have_run || ran });
        self.events.push(event((task, attempt.number, ending, false, report)));
    }

    /// A standing task is ended from here: its machine is told.
    fn end_at_machine(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Standing { machine, attempt, .. }) = self.table.get(id).map(|r| r.stage) else {
            return;
        };
        let ended = Message::release(id, cause::ENDED).bytes();
        self.on_pool(out, |pool, acts| pool.tell(now, machine, ended, acts));
        self.end(now, id, attempt, Ending::Cancelled, None);
    }

    /// A standing task has ended.
    fn end(&mut self, now: Seconds, id: Id, attempt: u32, ending: Ending, report: Option<Report>) {
        let Some(request) = self.table.remove(id) else { return };
        if let Stage::Standing { machine, .. } = request.stage {
            self.pool.hold(now, machine, false);
        }
        self.downstreams.count_standing(request.client, false);
        self.counts.ended += 1;
        self.events.push(event((request.task, attempt, ending, true, report)));
    }

    // Machines.

    /// Has something done with the connections to machines, and what it leads to carried out.
    fn on_pool<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut acts = Vec::new();
        let done = act(&mut self.pool, &mut acts);
        out.extend(acts.into_iter().map(Output::Upstream));
        done
    }

    fn line_ended(&mut self, now: Seconds, line: UpstreamId, end: End, out: &mut Vec<Output>) {
        let mut news = Vec::new();
        self.pool.ended(now, line, end, &mut news);
        self.hear(now, news, out);
    }

    fn line_said(&mut self, now: Seconds, line: UpstreamId, message: &Message, out: &mut Vec<Output>) {
        self.pool.heard(now, line);
        let Some(from) = self.pool.machine(line) else { return };
        let id = message.id;
        let known = self.table.get(id).map(|request| (request.task, request.client, request.stage));
        match (message.kind, known) {
            (Kind::Answer, Some((task, client, Stage::Open { attempt: Some(attempt), .. })))
                if attempt.line == line =>
            {
                let Some(description) = message.get(code::DESCRIPTION) else {
                    return self.malformed(now, line, out);
                };
                let answer = Message::new(Kind::Answer, id).with(code::DESCRIPTION, description);
                self.counts.placed += 1;
                self.pool.settled(line, id);
                let since = now;
                self.table.put(id, Stage::Standing { machine: from, attempt: attempt.number, since });
                self.pool.hold(now, from, true);
                self.downstreams.count_open(now, client, false);
                self.downstreams.count_standing(client, true);
                self.events.push(Event::Confirmed { task, attempt: attempt.number });
                self.reply(id, answer.bytes(), out);
            }
            (Kind::Release, Some((_, _, Stage::Open { attempt: Some(attempt), .. })))
                if attempt.line == line =>
            {
                let why = ask::why(message);
                let ending = match message.cause() {
                    Some(cause::FULL) => Ending::Full(why),
                    Some(cause::ERROR) => Ending::Failed,
                    Some(cause::MOOT) => Ending::Void,
                    _ => Ending::Broken(why),
                };
                match ending {
                    Ending::Full(_) => self.counts.full += 1,
                    Ending::Failed => self.counts.errors += 1,
                    _ => self.counts.broken += 1,
                }
                self.attempt_ended(id, ending, ask::report(message));
            }
            (Kind::Release, Some((_, _, Stage::Standing { machine, attempt, .. }))) if machine == from => {
                out.push(Output::Upstream(PoolAction::Write(line, Message::new(Kind::Heard, id).bytes())));
                let word = message.cause().unwrap_or(cause::FAILED);
                let ending = match word {
                    cause::NORMAL => Ending::Finished,
                    cause::ENDED => Ending::Cancelled,
                    _ => Ending::Broken(ask::why(message)),
                };
                if word != cause::ENDED {
                    self.reply(id, Message::release(id, word).bytes(), out);
                }
                self.end(now, id, attempt, ending, ask::report(message));
            }
            (Kind::Release, None) => {
                self.counts.strays += 1;
                self.table.ended_elsewhere(now, id);
                out.push(Output::Upstream(PoolAction::Write(line, Message::new(Kind::Heard, id).bytes())));
            }
            (Kind::Note, Some((task, _, Stage::Standing { machine, .. }))) if machine == from => {
                if let Some(note) = ask::note(message) {
                    self.events.push(Event::Note { task, note });
                }
            }
            (Kind::Test, _) => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Upstream(PoolAction::Write(line, tested.bytes())));
            }
            (Kind::Tested | Kind::Progress | Kind::Heard, _) => {}
            // A second copy, an answer under another's id, or one that comes after it was given up.
            _ => self.counts.strays += 1,
        }
    }

    fn malformed(&mut self, now: Seconds, line: UpstreamId, out: &mut Vec<Output>) {
        let mut news = Vec::new();
        self.on_pool(out, |pool, acts| pool.malformed(now, line, acts, &mut news));
        self.hear(now, news, out);
    }

    fn hear(&mut self, now: Seconds, news: Vec<News>, out: &mut Vec<Output>) {
        for news in news {
            match news {
                News::Unsent(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, Ending::NoConnection, None);
                }
                News::Broken(id) => {
                    self.counts.broken += 1;
                    self.attempt_ended(id, Ending::Broken(Why::Unknown), None);
                }
                News::Failed(machine) => {
                    let name = self.known.get(&machine).map_or("", |(name, _)| name.as_str());
                    out.push(Output::Log(format!("machine {name} is lost")));
                    self.machine_failed(now, machine, now, out);
                }
            }
        }
    }

    /// What stood at a machine since before `before` is over.
    fn machine_failed(&mut self, now: Seconds, machine: MachineId, before: Seconds, out: &mut Vec<Output>) {
        for id in self.table.at_machine(machine) {
            let Some(Stage::Standing { attempt, since, .. }) = self.table.get(id).map(|r| r.stage) else {
                continue;
            };
            if since > before {
                continue;
            }
            self.counts.lost += 1;
            self.reply(id, Message::release(id, cause::FAILED).bytes(), out);
            self.end(now, id, attempt, Ending::Broken(Why::Unknown), None);
        }
    }

    fn delivered_event(&mut self, now: Seconds, notice: Delivery, out: &mut Vec<Output>) {
        // Events may be written twice, and two boards may tell the same ones.
        if notice.number <= self.delivered && self.delivered > 0 {
            return;
        }
        self.delivered = notice.number;
        let mut news = Vec::new();
        let mut entries = Vec::new();
        if notice.whole {
            self.pool.only(&notice.listed.iter().map(|listed| listed.entry.machine).collect());
        }
        for listed in notice.listed {
            let (machine, gone) = (listed.entry.machine, listed.entry.standing == Standing::Gone);
            self.pool.listed(now, machine, &listed.address, gone);
            let before = self.known.insert(machine, (listed.name, listed.entry.up_since));
            if let (Some((_, before)), Some(up)) = (before, listed.entry.up_since)
                && before.is_none_or(|before| up > before)
            {
                // It has started anew: what stood there before is over.
                self.machine_failed(now, machine, up, out);
            }
            entries.push(listed.entry);
        }
        self.pool.taken_over(&mut news);
        self.hear(now, news, out);
        self.events.push(if notice.whole { Event::ListWhole(entries) } else { Event::ListChanges(entries) });
    }

    // The policy's words.

    fn carry_out(&mut self, now: Seconds, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { task, machine, wait } => self.send(now, task, machine, wait, out),
            Action::Refuse { task, .. } => {
                self.counts.refused += 1;
                self.finish(now, task, cause::FULL, out);
            }
            Action::Fail(task) => {
                self.counts.failed += 1;
                self.finish(now, task, cause::FAILED, out);
            }
            Action::Move(task) => {
                let Some(id) = self.table.id(task) else { return };
                if self.table.get(id).is_some_and(|r| matches!(r.stage, Stage::Standing { .. })) {
                    self.reply(id, Message::new(Kind::Move, id).bytes(), out);
                    self.end_at_machine(now, id, out);
                }
            }
            // The board is followed all the time: there is nothing to ask for.
            Action::Subscribe => self.events.push(Event::ListChanges(Vec::new())),
            Action::Timer { after, token } => drop(self.timers.insert((micros(now + after), token))),
            // The platform has no way to ask for a load alone, and none to other schedulers that is used here.
            Action::Probe(machine) => self.events.push(Event::Probed { machine, report: None }),
            Action::Tell(_) => {}
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    fn finish(&mut self, now: Seconds, task: TaskId, word: u8, out: &mut Vec<Output>) {
        let Some(id) = self.table.id(task) else { return };
        let Some((client, Stage::Open { .. })) = self.table.get(id).map(|r| (r.client, r.stage)) else {
            return;
        };
        self.reply(id, Message::release(id, word).bytes(), out);
        self.downstreams.count_open(now, client, false);
        self.table.remove(id);
    }

    fn send(&mut self, now: Seconds, task: TaskId, machine: MachineId, wait: Seconds, out: &mut Vec<Output>) {
        let Some(id) = self.table.id(task) else { return };
        let number = self.table.sends(id);
        let Some(request) = self.table.get(id) else { return };
        let Stage::Open { may_have_run, .. } = request.stage else { return };
        let milliseconds = (wait * 1000.0).ceil().max(1.0) as u64;
        let set_up = Message::new(Kind::SetUp, id)
            .with(code::CLASS, &request.class)
            .with(code::WAIT, milliseconds.to_string().as_bytes())
            .with(code::NAME, &request.name)
            .with(code::DESCRIPTION, &request.description);
        self.counts.offers += 1;
        match self.on_pool(out, |pool, acts| pool.offer(now, machine, id, set_up.bytes(), acts)) {
            Some(line) => {
                let attempt = Some(Attempt { number, line, until: now + wait });
                self.table.put(id, Stage::Open { attempt, may_have_run });
            }
            None => {
                self.counts.unsent += 1;
                self.events.push(event((task, number, Ending::NoConnection, false, None)));
            }
        }
    }
}

fn event((task, attempt, ending, closed, report): (TaskId, u32, Ending, bool, Option<Report>)) -> Event {
    Event::Outcome { task, attempt, ending, closed, report }
}
