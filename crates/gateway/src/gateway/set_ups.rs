//! Handles set-ups: submits them to the policy, adopts tasks that a machine holds already, rejects, or defers an id
//! conflict.

use super::id_conflicts::IdConflict;
use super::{Gateway, KnownMachine, MAX_PENDING, MAX_PENDING_PER_CLIENT, Output};
use crate::message::{Message, Parameters, RequestId, cause};
use crate::request_table::{Request, RequestState};
use crate::task_request::TaskRequestError;
use crate::{DownstreamId, discovery, task_request};
use tidespur_policy::interface::{Event, Seconds, Task};

/// An invalid set-up is logged only while the count of malformed messages is below this, to bound the log.
const MAX_LOGGED_MALFORMED: u64 = 20;
/// The start of an unlisted machine's name that is kept, for the log. Clients can name machines that don't exist.
const MAX_UNLISTED_NAME_CHARS: usize = 64;

impl Gateway {
    /// Handles a set-up. One without an id closes its connection, as an answer to it would be ambiguous.
    pub(super) fn handle_set_up(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let id = message.id;
        if id == RequestId::default() {
            return self.close_malformed_client(now, client, outputs);
        }
        if let Some(holder) = self.requests.get(id).map(|request| request.client) {
            return self.set_up_of_known_id(now, holder, client, message, outputs);
        }
        let mut parsed = match task_request::parse(&self.site, now, &message) {
            Ok(parsed) => parsed,
            Err(error) => return self.reject_malformed(now, client, id, error, outputs),
        };
        let task = self.requests.new_task_id();
        parsed.task.id = task;
        let request = Request {
            task,
            client,
            client_address: self.downstreams.address(client),
            state: RequestState::Pending {
                attempt: None,
                may_have_run: false,
            },
            class_index: parsed.task.class,
            forwarded: task_request::forwarded_parameters(message),
            attempts: 0,
            first_attempt_at: None,
        };
        match &parsed.placed_at {
            Some(name) => self.adopt(now, id, request, parsed.task, name, outputs),
            None => self.submit(now, id, request, parsed.task, outputs),
        }
    }

    /// Handles a set-up with an id that is in use. A hand-over that is repeated on its connection is ignored. Any other
    /// set-up on the same connection closes it, as two answers with the same id would be ambiguous.
    fn set_up_of_known_id(
        &mut self,
        now: Seconds,
        holder: DownstreamId,
        client: DownstreamId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        if holder != client {
            let conflict = IdConflict {
                holder,
                claimant: client,
                message,
            };
            self.defer_id_conflict(conflict, outputs);
        } else if !task_request::is_handover(&message) {
            self.close_malformed_client(now, client, outputs);
        }
    }

    /// Adopts a task that the machine `name` holds already. The machine may be listed only later; the task is kept
    /// until then, or until the machine counts as failed.
    fn adopt(
        &mut self,
        now: Seconds,
        id: RequestId,
        mut request: Request,
        task: Task,
        name: &str,
        outputs: &mut Vec<Output>,
    ) {
        let machine = discovery::machine_id(name);
        let client = request.client;
        let end_cause = self.requests.unknown_ends().cause_of(id);
        let has_capacity = self.requests.placed_count() < self.max_placed;
        if end_cause.is_some() || !has_capacity || !self.pool.add_unlisted_machine(now, machine) {
            let release_cause = end_cause
                .filter(|&end_cause| end_cause != cause::ENDED)
                .unwrap_or(cause::FAILED);
            return self.reject(client, id, release_cause, outputs);
        }
        self.machines
            .entry(machine)
            .or_insert_with(|| KnownMachine {
                name: name.chars().take(MAX_UNLISTED_NAME_CHARS).collect(),
                started_at: None,
            });
        self.counts.adopted += 1;
        self.downstreams.record_valid_set_up(now, client);
        request.state = RequestState::Placed {
            machine,
            attempt: 0,
            since: now,
            dialled_at: None,
        };
        request.attempts = 1;
        request.forwarded = Parameters::default();
        self.requests.add(id, request);
        self.pool.task_placed(now, machine);
        self.downstreams.task_placed(client);
        self.events.push(Event::TaskAdopted(task, machine));
    }

    /// Submits a task to the policy, or rejects it if the gateway has no capacity. A rejected task never reached the
    /// policy, so its owner can safely resubmit it. A client that has disconnected gets no answer.
    fn submit(
        &mut self,
        now: Seconds,
        id: RequestId,
        request: Request,
        task: Task,
        outputs: &mut Vec<Output>,
    ) {
        let client = request.client;
        if !self.downstreams.is_reachable(client) {
            self.counts.cancelled += 1;
            return;
        }
        let is_shed = !self.shedder.admit(task.class);
        self.counts.shed += u64::from(is_shed);
        let has_memory = self.requests.has_memory_for(&request);
        self.counts.rejected_for_memory += u64::from(!has_memory);
        let is_rejected = is_shed
            || !has_memory
            || self.is_shutting_down()
            || self.downstreams.pending_count(client) >= MAX_PENDING_PER_CLIENT
            || self.requests.pending_count() >= MAX_PENDING;
        self.downstreams.record_valid_set_up(now, client);
        if is_rejected {
            self.counts.rejected += 1;
            return self.reject(client, id, cause::CONGESTED, outputs);
        }
        self.counts.accepted += 1;
        self.downstreams.request_opened(now, client);
        self.requests.add(id, request);
        self.events.push(Event::TaskSubmitted(task));
    }

    /// Rejects an invalid set-up, and closes its connection if the client exceeds the limit on malformed messages.
    fn reject_malformed(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        id: RequestId,
        error: TaskRequestError,
        outputs: &mut Vec<Output>,
    ) {
        self.counts.malformed += 1;
        if self.counts.malformed < MAX_LOGGED_MALFORMED {
            outputs.push(Output::Log(format!(
                "rejected the set-up of request {id}: {error}"
            )));
        }
        self.reject(client, id, cause::INVALID_CONTENT, outputs);
        if self.downstreams.record_malformed(now, client) {
            self.close_client(now, client, outputs);
        }
    }

    /// Counts a malformed message and closes its connection.
    pub(super) fn close_malformed_client(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.counts.malformed += 1;
        self.close_client(now, client, outputs);
    }
}
