//! What clients say: set-ups, hand-overs, cancels, releases.

use super::*;

impl Gateway {
    pub(super) fn client_said(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let id = message.id;
        let too_often = match message.kind {
            Kind::SetUp => return self.set_up(now, client, message, out),
            Kind::Test => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Downstream(client, tested.bytes()));
                self.downstreams.free(now, client)
            }
            Kind::Release => match self
                .table
                .get(id)
                .map(|request| (request.client, request.stage))
            {
                Some((by, Stage::Open { .. })) if by == client => {
                    self.counts.cancelled += 1;
                    self.cancel_request(now, id, out);
                    false
                }
                // Another's set-up that waits is not touched.
                Some((_, Stage::Open { .. })) => self.downstreams.useless(now, client),
                Some((_, Stage::Standing { .. })) => {
                    out.push(Output::Downstream(
                        client,
                        Message::new(Kind::Heard, id).bytes(),
                    ));
                    self.end_at_machine(now, id, out);
                    false
                }
                None => self.downstreams.useless(now, client),
            },
            Kind::Heard => self.downstreams.heard(now, client),
            Kind::Progress => self.downstreams.free(now, client),
            Kind::Answer | Kind::Tested | Kind::Note | Kind::Move => {
                self.downstreams.useless(now, client)
            }
        };
        if too_often {
            self.counts.useless += 1;
            self.close_client(now, client, out);
        }
    }

    /// A set-up came: it is taken, handed over, turned away, or looked into.
    pub(super) fn set_up(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let id = message.id;
        if id == Id::default() {
            // No id at all: an answer to it could be anybody's.
            self.counts.useless += 1;
            self.close_client(now, client, out);
            return;
        }
        if let Some(known) = self.table.get(id).map(|request| request.client) {
            let own = known == client;
            if !own {
                self.claim(
                    Claim {
                        known,
                        client,
                        message,
                    },
                    out,
                );
            } else if !ask::is_handed(&message) {
                // Two requests of one number: neither answer could be told from the other.
                self.counts.useless += 1;
                self.close_client(now, client, out);
            }
            return;
        }
        let mut ask = match ask::read(&self.site, now, &message) {
            Ok(ask) => ask,
            Err(problem) => return self.turn_away(now, client, id, problem, out),
        };
        let from = self.downstreams.from(client);
        let task = self.table.number();
        ask.task.id = task;
        let passed = ask::passed(message);
        let stage = Stage::Open {
            attempt: None,
            may_have_run: false,
        };
        let class_index = ask.task.class;
        let mut request = Request {
            task,
            client,
            from,
            stage,
            class_index,
            passed,
            sends: 0,
            began: None,
        };
        if let Some(at) = &ask.at {
            let machine = discovery::machine_id(at);
            // The list may tell of the machine only later; until it counts as failed, it is waited for.
            let ended = self.table.has_ended(id);
            let room = self.table.count() < REQUESTS_MOST;
            if ended.is_some() || !room || !self.pool.expect(now, machine) {
                let cause = ended
                    .filter(|&cause| cause != cause::ENDED)
                    .unwrap_or(cause::FAILED);
                out.push(Output::Downstream(
                    client,
                    Message::release(id, cause).bytes(),
                ));
                return;
            }
            self.known
                .entry(machine)
                .or_insert_with(|| (at.clone(), None));
            self.counts.in_place += 1;
            self.downstreams.proves(now, client);
            request.stage = Stage::Standing {
                machine,
                attempt: 0,
                since: now,
            };
            request.sends = 1;
            self.table.add(id, request);
            self.pool.hold(now, machine, true);
            self.downstreams.count_standing(client, true);
            self.events.push(Event::TaskAdopted(ask.task, machine));
            return;
        }
        if !self.downstreams.is_there(client) {
            // Nobody waits for the answer.
            self.counts.cancelled += 1;
            return;
        }
        let shed = !self.shedder.admit(ask.task.class);
        self.counts.shed += u64::from(shed);
        if shed
            || self.ends()
            || self.downstreams.open(client) >= OPEN_MOST
            || self.table.waiting() >= OPEN_MOST_ALL
        {
            // It never reached the policy: asking again does no harm.
            self.counts.refused += 1;
            self.downstreams.proves(now, client);
            out.push(Output::Downstream(
                client,
                Message::release(id, cause::CONGESTED).bytes(),
            ));
            return;
        }
        self.counts.taken += 1;
        self.downstreams.proves(now, client);
        self.downstreams.count_open(now, client, true);
        self.table.add(id, request);
        self.events.push(Event::TaskSubmitted(ask.task));
    }

    /// A set-up that can't be used is told so at once.
    pub(super) fn turn_away(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        id: Id,
        problem: ask::AskError,
        out: &mut Vec<Output>,
    ) {
        self.counts.useless += 1;
        if self.counts.useless < 20 {
            out.push(Output::Log(format!(
                "request {id} can't be used: {problem}"
            )));
        }
        out.push(Output::Downstream(
            client,
            Message::release(id, cause::CONTENT).bytes(),
        ));
        if self.downstreams.useless(now, client) {
            self.close_client(now, client, out);
        }
    }
}
