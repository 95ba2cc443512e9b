//! The state machine of the door: inputs from sockets to events of the policy, its actions to bytes.

use crate::board::Notice;
use crate::clients::Clients;
use crate::counts::Counts;
use crate::desk::{Attempt, Desk, Request, Stage, micros};
use crate::lines::{End, LineAction, Lines, News};
use crate::message::{Id, Kind, Message, cause, code};
use crate::{ClientId, LineId, ask, board};
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

/// What the door may use.
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
    ClientOpened(ClientId, IpAddr),
    /// It sent a message.
    ClientSaid(ClientId, Message),
    /// It sent what can't be read.
    ClientSpoilt(ClientId),
    /// Its connection ended.
    ClientClosed(ClientId),
    /// A connection to a machine is made.
    LineOpened(LineId),
    /// Nobody listens there.
    LineRefused(LineId),
    /// It could not be made, for another reason.
    LineFailed(LineId),
    /// The machine sent a message.
    LineSaid(LineId, Message),
    /// It sent what can't be read.
    LineSpoilt(LineId),
    /// The connection ended.
    LineEnded(LineId),
    /// The same, and no byte left of what was to be written last: this set-up, or something else.
    LineUnwritten(LineId, Option<Id>),
    /// The notice board told something.
    Noticed(Notice),
    /// The program is to end.
    Leave,
    /// Something that was due so many seconds ago is taken in only now: the loop is behind.
    Behind(Seconds),
    /// Time goes on.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    Client(ClientId, Vec<u8>),
    /// Close a client's connection, after what was written.
    CloseClient(ClientId),
    /// Something about a connection to a machine.
    Line(LineAction),
    /// A line of the log.
    Log(String),
    /// Nothing is owed any more: end.
    End,
}

/// The door of one scheduler.
pub struct Door {
    site: Site,
    policy: Scheduler,
    desk: Desk,
    lines: Lines,
    clients: Clients,
    /// Machines that are listed, or of which something is still here: name, and when it last started.
    known: BTreeMap<MachineId, (String, Option<Seconds>)>,
    noticed: u64,
    events: Vec<Event>,
    timers: BTreeSet<(u64, u64)>,
    owed: VecDeque<(Option<IpAddr>, Vec<u8>)>,
    leaving: Option<Seconds>,
    ticked: Seconds,
    pressure: Pressure,
    counts: Counts,
}

impl Door {
    /// A door over a policy that knows nothing yet.
    ///
    /// # Errors
    /// Settings that the policy can't work with.
    pub fn new(site: Site, limits: Limits, seed: u64) -> Result<Self, String> {
        let policy = Scheduler::new(site.settings.clone(), seed).map_err(|e| e.to_string())?;
        let pressure = Pressure::of(site.settings.classes.iter().map(|class| (class.aim, class.worth)));
        Ok(Self {
            policy,
            desk: Desk::default(),
            lines: Lines::new(limits.lines, site.connect_timeout),
            clients: Clients::new(limits.clients),
            known: BTreeMap::new(),
            noticed: 0,
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
    pub fn noticed(&self) -> u64 {
        self.noticed
    }

    /// The settings that it works by.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Machines, and connections to them, that were looked at so far: the work of choosing.
    pub fn looked(&self) -> [u64; 2] {
        [self.policy.looked(), self.lines.looked()]
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests, those that wait, connections of clients and to machines, machines known.
    pub fn sizes(&self) -> [usize; 5] {
        let clients = self.clients.count();
        [self.desk.count(), self.desk.waiting(), clients, self.lines.count(), self.lines.peers()]
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        let timer = self.timers.first().map_or(f64::INFINITY, |&(at, _)| at as f64 / 1e6);
        let late = self.desk.next_late().map_or(f64::INFINITY, |at| at as f64 / 1e6);
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
            Input::ClientOpened(client, from) => {
                if let Some(victim) = self.clients.opened(now, client, from) {
                    self.forget_client(now, victim, out);
                    self.counts.closed += 1;
                    out.push(Output::CloseClient(victim));
                }
            }
            Input::ClientSaid(client, message) if self.clients.has(client) => {
                self.client_said(now, client, message, out);
            }
            Input::ClientSaid(..) => {}
            Input::ClientSpoilt(client) => {
                self.counts.useless += 1;
                self.close_client(now, client, out);
            }
            Input::ClientClosed(client) => {
                self.clients.closed(client);
                self.forget_client(now, client, out);
            }
            Input::LineOpened(line) => self.on_lines(out, |lines, acts| lines.opened(now, line, acts)),
            Input::LineRefused(line) => self.line_ended(now, line, End::Refused, out),
            Input::LineEnded(line) | Input::LineFailed(line) => {
                self.line_ended(now, line, End::Other, out);
            }
            Input::LineUnwritten(line, offer) => {
                self.line_ended(now, line, End::Unwritten(offer), out);
            }
            Input::LineSpoilt(line) => self.spoilt(now, line, out),
            Input::LineSaid(line, message) => self.line_said(now, line, &message, out),
            Input::Noticed(notice) => self.notice(now, notice, out),
            Input::Leave => self.leaving = self.leaving.or(Some(now)),
            Input::Behind(late) => {
                self.counts.behind_most = self.counts.behind_most.max((late * 1e3) as u64);
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
        for id in self.desk.late(now) {
            self.late(now, id, out);
        }
        if now - self.ticked < TICK {
            return;
        }
        self.ticked = now;
        let mut news = Vec::new();
        self.on_lines(out, |lines, acts| lines.tick(now, acts, &mut news));
        self.hear(now, news, out);
        for client in self.clients.silent(now) {
            self.counts.closed += 1;
            out.push(Output::CloseClient(client));
        }
        // Machines come and go without end: what is kept of one goes with its last connection.
        let lines = &self.lines;
        self.known.retain(|machine, _| lines.knows(*machine));
        self.pay(out);
        self.leave(now, out);
    }

    /// After the word to end: all that is open gets an answer, then the program ends.
    fn leave(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let Some(at) = self.leaving.filter(|at| now - at > LEAVE_AFTER) else { return };
        let latest = now - at > LEAVE_LATEST;
        if latest {
            for id in self.desk.open() {
                let Some(Stage::Open { attempt, may_have_run, .. }) = self.desk.get(id).map(|r| r.stage)
                else {
                    continue;
                };
                // What may run can't be refused: its owner would ask again at once.
                let harmless = attempt.is_none() && !may_have_run;
                let word = if harmless { cause::CONGESTED } else { cause::FAILED };
                self.reply(id, Message::release(id, word).bytes(), out);
                self.drop_request(now, id, out);
            }
        }
        if latest || self.desk.count() == 0 {
            out.push(Output::End);
        }
    }

    // Clients.

    fn close_client(&mut self, now: Seconds, client: ClientId, out: &mut Vec<Output>) {
        self.clients.closed(client);
        self.forget_client(now, client, out);
        self.counts.closed += 1;
        out.push(Output::CloseClient(client));
    }

    /// A connection is no more: what was open on it is given up, what stands is reached by another way.
    fn forget_client(&mut self, now: Seconds, client: ClientId, out: &mut Vec<Output>) {
        for id in self.desk.of_client(client) {
            self.counts.dropped += 1;
            self.drop_request(now, id, out);
        }
    }

    fn client_said(&mut self, now: Seconds, client: ClientId, message: Message, out: &mut Vec<Output>) {
        let id = message.id;
        let too_often = match message.kind {
            Kind::SetUp => return self.set_up(now, client, message, out),
            Kind::Test => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Client(client, tested.bytes()));
                self.clients.free(now, client)
            }
            Kind::Release => match self.desk.get(id).map(|request| (request.client, request.stage)) {
                Some((by, Stage::Open { .. })) if by == client => {
                    self.counts.dropped += 1;
                    self.drop_request(now, id, out);
                    false
                }
                // Another's set-up that waits is not touched.
                Some((_, Stage::Open { .. })) => self.clients.useless(now, client),
                Some((_, Stage::Standing { .. })) => {
                    out.push(Output::Client(client, Message::new(Kind::Heard, id).bytes()));
                    self.end_at_machine(now, id, out);
                    false
                }
                None => self.clients.useless(now, client),
            },
            Kind::Heard => self.clients.heard(now, client),
            Kind::Progress => self.clients.free(now, client),
            Kind::Answer | Kind::Tested | Kind::Note | Kind::Move => self.clients.useless(now, client),
        };
        if too_often {
            self.counts.useless += 1;
            self.close_client(now, client, out);
        }
    }

    fn set_up(&mut self, now: Seconds, client: ClientId, message: Message, out: &mut Vec<Output>) {
        let id = message.id;
        if id == Id::default() {
            // No id at all: an answer to it could be anybody's.
            self.counts.useless += 1;
            self.close_client(now, client, out);
            return;
        }
        let read = ask::read(&self.site, now, &message);
        if let Some(known) = self.desk.get(id) {
            let handed = read.as_ref().is_ok_and(|ask| ask.at.is_some());
            if handed && matches!(known.stage, Stage::Standing { .. }) {
                // Whoever names what is held already is believed to be its owner only where the one who is known
                // has gone: else anybody with an id could draw its end to himself.
                if !self.clients.has(known.client) {
                    self.clients.proves(now, client);
                    self.clients.count_standing(client, true);
                    self.desk.reached_by(id, client, self.clients.from(client));
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
        let from = self.clients.from(client);
        let task = self.desk.number();
        ask.task.id = task;
        let bytes = |code| message.get(code).map(<[u8]>::to_vec).unwrap_or_default();
        let (class, name) = (bytes(code::CLASS), bytes(code::NAME));
        let description = bytes(code::DESCRIPTION);
        let stage = Stage::Open { attempt: None, may_have_run: false };
        let mut request = Request { task, client, from, stage, class, name, description, sends: 0 };
        if let Some(at) = &ask.at {
            let machine = board::machine_id(at);
            if self.desk.has_ended(id) || !self.known.contains_key(&machine) {
                let over = Message::release(id, cause::FAILED).bytes();
                out.push(Output::Client(client, over));
                return;
            }
            self.counts.in_place += 1;
            self.clients.proves(now, client);
            request.stage = Stage::Standing { machine, attempt: 0, since: now };
            request.sends = 1;
            self.desk.add(id, request);
            self.lines.hold(now, machine, true);
            self.clients.count_standing(client, true);
            self.events.push(Event::InPlace(ask.task, machine));
            return;
        }
        let shed = !self.pressure.admits(ask.task.class);
        self.counts.shed += u64::from(shed);
        if shed || self.clients.open(client) >= OPEN_MOST || self.desk.waiting() >= OPEN_MOST_ALL {
            // It never reached the policy: asking again does no harm.
            self.counts.refused += 1;
            self.clients.proves(now, client);
            out.push(Output::Client(client, Message::release(id, cause::CONGESTED).bytes()));
            return;
        }
        self.counts.taken += 1;
        self.clients.proves(now, client);
        self.clients.count_open(now, client, true);
        self.desk.add(id, request);
        self.events.push(Event::Submit(ask.task));
    }

    /// A set-up that can't be used is told so at once.
    fn turn_away(&mut self, now: Seconds, client: ClientId, id: Id, problem: &str, out: &mut Vec<Output>) {
        self.counts.useless += 1;
        if self.counts.useless < 20 {
            out.push(Output::Log(format!("request {id} can't be used: {problem}")));
        }
        out.push(Output::Client(client, Message::release(id, cause::CONTENT).bytes()));
        if self.clients.useless(now, client) {
            self.close_client(now, client, out);
        }
    }

    /// Sends bytes to the owner of a request, by whatever way leads there.
    fn reply(&mut self, id: Id, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let Some(request) = self.desk.get(id) else { return };
        match self.clients.way(Some(request.client), request.from) {
            Some(client) => {
                self.clients.released(client);
                out.push(Output::Client(client, bytes));
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
            let Some(client) = self.clients.way(None, *from) else { return };
            let Some((_, bytes)) = self.owed.pop_front() else { return };
            self.clients.released(client);
            out.push(Output::Client(client, bytes));
        }
    }

    // Requests.

    /// A request whose owner waits is over: nothing is owed, and what is out for it is given up at its machine.
    fn drop_request(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(request) = self.desk.remove(id) else { return };
        let (task, Stage::Open { attempt, .. }) = (request.task, request.stage) else { return };
        self.clients.count_open(now, request.client, false);
        self.events.push(Event::Dropped(task));
        if let Some(attempt) = attempt {
            self.on_lines(out, |lines, acts| lines.give_up(now, attempt.line, id, false, acts));
            self.events.push(event((task, attempt.number, Ending::Cancelled, true, None)));
        }
    }

    /// The time of an attempt is over: it is given up.
    fn late(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Open { attempt: Some(attempt), .. }) = self.desk.get(id).map(|r| r.stage) else {
            return;
        };
        self.counts.late += 1;
        self.on_lines(out, |lines, acts| lines.give_up(now, attempt.line, id, true, acts));
        self.attempt_ended(id, Ending::Late, None);
    }

    /// The attempt that is out has ended without an answer that the task stands.
    fn attempt_ended(&mut self, id: Id, ending: Ending, report: Option<Report>) {
        let Some(request) = self.desk.get(id) else { return };
        let Stage::Open { attempt: Some(attempt), may_have_run } = request.stage else { return };
        let task = request.task;
        let ran = !matches!(ending, Ending::Full(_) | Ending::NoConnection | Ending::Void);
        self.lines.settled(attempt.line, id);
        self.desk.put(id, Stage::Open { attempt: None, may_have_run: may_have_run || ran });
        self.events.push(event((task, attempt.number, ending, false, report)));
    }

    /// A standing task is ended from here: its machine is told.
    fn end_at_machine(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Standing { machine, attempt, .. }) = self.desk.get(id).map(|r| r.stage) else {
            return;
        };
        let ended = Message::release(id, cause::ENDED).bytes();
        self.on_lines(out, |lines, acts| lines.tell(now, machine, ended, acts));
        self.end(now, id, attempt, Ending::Cancelled, None);
    }

    /// A standing task has ended.
    fn end(&mut self, now: Seconds, id: Id, attempt: u32, ending: Ending, report: Option<Report>) {
        let Some(request) = self.desk.remove(id) else { return };
        if let Stage::Standing { machine, .. } = request.stage {
            self.lines.hold(now, machine, false);
        }
        self.clients.count_standing(request.client, false);
        self.counts.ended += 1;
        self.events.push(event((request.task, attempt, ending, true, report)));
    }

    // Machines.

    /// Has something done with the connections to machines, and what it leads to carried out.
    fn on_lines<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Lines, &mut Vec<LineAction>) -> T,
    ) -> T {
        let mut acts = Vec::new();
        let done = act(&mut self.lines, &mut acts);
        out.extend(acts.into_iter().map(Output::Line));
        done
    }

    fn line_ended(&mut self, now: Seconds, line: LineId, end: End, out: &mut Vec<Output>) {
        let mut news = Vec::new();
        self.lines.ended(now, line, end, &mut news);
        self.hear(now, news, out);
    }

    fn line_said(&mut self, now: Seconds, line: LineId, message: &Message, out: &mut Vec<Output>) {
        self.lines.heard(now, line);
        let Some(from) = self.lines.machine(line) else { return };
        let id = message.id;
        let known = self.desk.get(id).map(|request| (request.task, request.client, request.stage));
        match (message.kind, known) {
            (Kind::Answer, Some((task, client, Stage::Open { attempt: Some(attempt), .. })))
                if attempt.line == line =>
            {
                let Some(description) = message.get(code::DESCRIPTION) else {
                    return self.spoilt(now, line, out);
                };
                let answer = Message::new(Kind::Answer, id).with(code::DESCRIPTION, description);
                self.counts.placed += 1;
                self.lines.settled(line, id);
                let since = now;
                self.desk.put(id, Stage::Standing { machine: from, attempt: attempt.number, since });
                self.lines.hold(now, from, true);
                self.clients.count_open(now, client, false);
                self.clients.count_standing(client, true);
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
                out.push(Output::Line(LineAction::Write(line, Message::new(Kind::Heard, id).bytes())));
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
                self.desk.ended_elsewhere(now, id);
                out.push(Output::Line(LineAction::Write(line, Message::new(Kind::Heard, id).bytes())));
            }
            (Kind::Note, Some((task, _, Stage::Standing { machine, .. }))) if machine == from => {
                if let Some(note) = ask::note(message) {
                    self.events.push(Event::Note { task, note });
                }
            }
            (Kind::Test, _) => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Line(LineAction::Write(line, tested.bytes())));
            }
            (Kind::Tested | Kind::Progress | Kind::Heard, _) => {}
            // A second copy, an answer under another's id, or one that comes after it was given up.
            _ => self.counts.strays += 1,
        }
    }

    fn spoilt(&mut self, now: Seconds, line: LineId, out: &mut Vec<Output>) {
        let mut news = Vec::new();
        self.on_lines(out, |lines, acts| lines.spoilt(now, line, acts, &mut news));
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
                News::Lost(machine) => {
                    let name = self.known.get(&machine).map_or("", |(name, _)| name.as_str());
                    out.push(Output::Log(format!("machine {name} is lost")));
                    self.lose(now, machine, now, out);
                }
            }
        }
    }

    /// What stood at a machine since before `before` is over.
    fn lose(&mut self, now: Seconds, machine: MachineId, before: Seconds, out: &mut Vec<Output>) {
        for id in self.desk.at_machine(machine) {
            let Some(Stage::Standing { attempt, since, .. }) = self.desk.get(id).map(|r| r.stage) else {
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

    fn notice(&mut self, now: Seconds, notice: Notice, out: &mut Vec<Output>) {
        // Events may be written twice, and two boards may tell the same ones.
        if notice.number <= self.noticed && self.noticed > 0 {
            return;
        }
        self.noticed = notice.number;
        let mut news = Vec::new();
        let mut entries = Vec::new();
        if notice.whole {
            self.lines.only(&notice.listed.iter().map(|listed| listed.entry.machine).collect());
        }
        for listed in notice.listed {
            let (machine, gone) = (listed.entry.machine, listed.entry.standing == Standing::Gone);
            self.lines.listed(now, machine, &listed.address, gone);
            let before = self.known.insert(machine, (listed.name, listed.entry.up_since));
            if let (Some((_, before)), Some(up)) = (before, listed.entry.up_since)
                && before.is_none_or(|before| up > before)
            {
                // It has started anew: what stood there before is over.
                self.lose(now, machine, up, out);
            }
            entries.push(listed.entry);
        }
        self.lines.taken_over(&mut news);
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
                let Some(id) = self.desk.id(task) else { return };
                if self.desk.get(id).is_some_and(|r| matches!(r.stage, Stage::Standing { .. })) {
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
        let Some(id) = self.desk.id(task) else { return };
        let Some((client, Stage::Open { .. })) = self.desk.get(id).map(|r| (r.client, r.stage)) else {
            return;
        };
        self.reply(id, Message::release(id, word).bytes(), out);
        self.clients.count_open(now, client, false);
        self.desk.remove(id);
    }

    fn send(&mut self, now: Seconds, task: TaskId, machine: MachineId, wait: Seconds, out: &mut Vec<Output>) {
        let Some(id) = self.desk.id(task) else { return };
        let number = self.desk.sends(id);
        let Some(request) = self.desk.get(id) else { return };
        let Stage::Open { may_have_run, .. } = request.stage else { return };
        let milliseconds = (wait * 1000.0).ceil().max(1.0) as u64;
        let set_up = Message::new(Kind::SetUp, id)
            .with(code::CLASS, &request.class)
            .with(code::WAIT, milliseconds.to_string().as_bytes())
            .with(code::NAME, &request.name)
            .with(code::DESCRIPTION, &request.description);
        self.counts.offers += 1;
        match self.on_lines(out, |lines, acts| lines.offer(now, machine, id, set_up.bytes(), acts)) {
            Some(line) => {
                let attempt = Some(Attempt { number, line, until: now + wait });
                self.desk.put(id, Stage::Open { attempt, may_have_run });
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
