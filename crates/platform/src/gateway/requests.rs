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
    pub(super) fn turn_away(
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

    // Downstreams.

    pub(super) fn close_client(&mut self, now: Seconds, client: DownstreamId, out: &mut Vec<Output>) {
        self.downstreams.closed(client);
        self.forget_client(now, client, out);
        self.counts.closed += 1;
        out.push(Output::CloseDownstream(client));
    }

    /// A connection is no more: what was open on it is given up, what stands is reached by another way.
    pub(super) fn forget_client(&mut self, now: Seconds, client: DownstreamId, out: &mut Vec<Output>) {
        for id in self.table.of_client(client) {
            self.counts.cancelled += 1;
            self.cancel_request(now, id, out);
        }
    }
}
