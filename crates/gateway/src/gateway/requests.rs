//! What clients say: set-ups, hand-overs, cancels, releases.

use super::clients::IdConflict;
use super::{Gateway, Output};
use super::{MAX_PENDING, MAX_PENDING_PER_CLIENT, MAX_REQUESTS};
use crate::message::{Message, MessageKind, RequestId, cause, code};
use crate::request_table::{Request, RequestState};
use crate::{DownstreamId, discovery, task_request};
use tidespur_policy::interface::{Event, Seconds};

impl Gateway {
    pub(super) fn downstream_message(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let id = message.id;
        let too_often = match message.kind {
            MessageKind::SetUp => return self.handle_set_up(now, client, message, outputs),
            MessageKind::Test => {
                let tested = Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]);
                outputs.push(Output::WriteDownstream(client, tested.encode()));
                self.downstreams.record_free_message(now, client)
            }
            MessageKind::Release => match self
                .requests
                .get(id)
                .map(|request| (request.client, request.state))
            {
                Some((by, RequestState::Pending { .. })) if by == client => {
                    self.counts.cancelled += 1;
                    self.cancel_request(now, id, outputs);
                    false
                }
                // Another's set-up that waits is not touched.
                Some((_, RequestState::Pending { .. })) => {
                    self.downstreams.record_malformed(now, client)
                }
                Some((_, RequestState::Placed { .. })) => {
                    outputs.push(Output::WriteDownstream(
                        client,
                        Message::new(MessageKind::Heard, id).encode(),
                    ));
                    self.release_at_machine(now, id, outputs);
                    false
                }
                None => self.downstreams.record_malformed(now, client),
            },
            MessageKind::Heard => self.downstreams.release_acknowledged(now, client),
            MessageKind::Progress => self.downstreams.record_free_message(now, client),
            MessageKind::Answer | MessageKind::Tested | MessageKind::Note | MessageKind::Move => {
                self.downstreams.record_malformed(now, client)
            }
        };
        if too_often {
            self.counts.malformed += 1;
            self.close_client(now, client, outputs);
        }
    }

    /// A set-up came: it is taken, handed over, turned away, or looked into.
    pub(super) fn handle_set_up(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let id = message.id;
        if id == RequestId::default() {
            // No id at all: an answer to it could be anybody's.
            self.counts.malformed += 1;
            self.close_client(now, client, outputs);
            return;
        }
        if let Some(known) = self.requests.get(id).map(|request| request.client) {
            let own = known == client;
            if !own {
                self.defer_id_conflict(
                    IdConflict {
                        holder: known,
                        claimant: client,
                        message,
                    },
                    outputs,
                );
            } else if !task_request::is_handover(&message) {
                // Two requests of one number: neither answer could be told from the other.
                self.counts.malformed += 1;
                self.close_client(now, client, outputs);
            }
            return;
        }
        let mut ask = match task_request::parse(&self.site, now, &message) {
            Ok(ask) => ask,
            Err(problem) => return self.reject_malformed(now, client, id, problem, outputs),
        };
        let from = self.downstreams.from(client);
        let task = self.requests.new_task_id();
        ask.task.id = task;
        let passed = task_request::forwarded_parameters(message);
        let stage = RequestState::Pending {
            attempt: None,
            may_have_run: false,
        };
        let class_index = ask.task.class;
        let mut request = Request {
            task,
            client,
            from,
            state: stage,
            class_index,
            forwarded: passed,
            attempts: 0,
            first_attempt_at: None,
        };
        if let Some(at) = &ask.placed_at {
            let machine = discovery::machine_id(at);
            // The list may tell of the machine only later; until it counts as failed, it is waited for.
            let ended = self.requests.unknown_end_cause(id);
            let room = self.requests.count() < MAX_REQUESTS;
            if ended.is_some() || !room || !self.pool.expect_machine(now, machine) {
                let cause = ended
                    .filter(|&cause| cause != cause::ENDED)
                    .unwrap_or(cause::FAILED);
                outputs.push(Output::WriteDownstream(
                    client,
                    Message::release(id, cause).encode(),
                ));
                return;
            }
            self.machines
                .entry(machine)
                .or_insert_with(|| (at.clone(), None));
            self.counts.adopted += 1;
            self.downstreams.record_valid_set_up(now, client);
            request.state = RequestState::Placed {
                machine,
                attempt: 0,
                since: now,
            };
            request.attempts = 1;
            self.requests.add(id, request);
            self.pool.count_placed(now, machine, true);
            self.downstreams.count_placed(client, true);
            self.events.push(Event::TaskAdopted(ask.task, machine));
            return;
        }
        if !self.downstreams.is_reachable(client) {
            // Nobody waits for the answer.
            self.counts.cancelled += 1;
            return;
        }
        let shed = !self.shedder.admit(ask.task.class);
        self.counts.shed += u64::from(shed);
        if shed
            || self.is_shutting_down()
            || self.downstreams.pending_count(client) >= MAX_PENDING_PER_CLIENT
            || self.requests.pending_count() >= MAX_PENDING
        {
            // It never reached the policy: asking again does no harm.
            self.counts.rejected += 1;
            self.downstreams.record_valid_set_up(now, client);
            outputs.push(Output::WriteDownstream(
                client,
                Message::release(id, cause::CONGESTED).encode(),
            ));
            return;
        }
        self.counts.accepted += 1;
        self.downstreams.record_valid_set_up(now, client);
        self.downstreams.count_pending(now, client, true);
        self.requests.add(id, request);
        self.events.push(Event::TaskSubmitted(ask.task));
    }

    /// A set-up that can't be used is told so at once.
    pub(super) fn reject_malformed(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        id: RequestId,
        problem: task_request::TaskRequestError,
        outputs: &mut Vec<Output>,
    ) {
        self.counts.malformed += 1;
        if self.counts.malformed < 20 {
            outputs.push(Output::Log(format!(
                "request {id} can't be used: {problem}"
            )));
        }
        outputs.push(Output::WriteDownstream(
            client,
            Message::release(id, cause::CONTENT).encode(),
        ));
        if self.downstreams.record_malformed(now, client) {
            self.close_client(now, client, outputs);
        }
    }
}
