//! Requests and attempts over time: answers to owners, cancels, time-outs, ends.

use super::*;

impl Gateway {
    /// Sends bytes to the owner of a request, by whatever way leads there.
    pub(super) fn reply(&mut self, id: Id, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let Some(request) = self.table.get(id) else {
            return;
        };
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
    pub(super) fn pay(&mut self, out: &mut Vec<Output>) {
        while let Some((from, _)) = self.owed.front() {
            let Some(client) = self.downstreams.way(None, *from) else {
                return;
            };
            let Some((_, bytes)) = self.owed.pop_front() else {
                return;
            };
            self.downstreams.released(client);
            out.push(Output::Downstream(client, bytes));
        }
    }

    /// A request whose owner waits is over: nothing is owed, and what is out for it is cancelled at its machine.
    pub(super) fn cancel_request(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(request) = self.table.remove(id) else {
            return;
        };
        let (task, Stage::Open { attempt, .. }) = (request.task, request.stage) else {
            return;
        };
        self.downstreams.count_open(now, request.client, false);
        self.events.push(Event::TaskCancelled(task));
        if let Some(attempt) = attempt {
            self.on_pool(out, |pool, acts| {
                pool.cancel(now, attempt.line, id, false, acts)
            });
            self.events.push(event((
                task,
                attempt.number,
                AttemptOutcome::Cancelled,
                true,
                None,
            )));
        }
    }

    /// Attempts whose time is over: an answer may lie unread, so their connections are looked at first. Guards against
    /// a loop that lags and takes an attempt for failed that was answered in time. Costs one read.
    pub(super) fn overdue(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let of = |id| match self.table.get(id).map(|request| request.stage) {
            Some(Stage::Open {
                attempt: Some(attempt),
                ..
            }) => Some(attempt.line),
            _ => None,
        };
        let lines: BTreeSet<UpstreamId> = self.table.late(now).into_iter().filter_map(of).collect();
        out.extend(
            lines
                .into_iter()
                .map(|line| Output::Upstream(PoolAction::Look(line))),
        );
    }

    /// What a machine had said on a connection was taken in: what is over now is over.
    pub(super) fn upstream_looked_at(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        out: &mut Vec<Output>,
    ) {
        for id in self.table.late(now) {
            if self.table.is_out(id, line) {
                self.timed_out(now, id, out);
            }
        }
    }

    /// The time of an attempt is over: it is cancelled.
    fn timed_out(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Open {
            attempt: Some(attempt),
            ..
        }) = self.table.get(id).map(|r| r.stage)
        else {
            return;
        };
        self.counts.timed_out += 1;
        let never_left = self.on_pool(out, |pool, acts| {
            pool.cancel(now, attempt.line, id, true, acts)
        });
        // It waited for its own client or for a machine that takes no bytes: it has not run.
        self.attempt_ended(
            id,
            if never_left {
                AttemptOutcome::NeverSent
            } else {
                AttemptOutcome::TimedOut
            },
            None,
        );
    }

    /// The attempt that is out has ended without an answer that the task stands.
    pub(super) fn attempt_ended(
        &mut self,
        id: Id,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.table.get(id) else {
            return;
        };
        let Stage::Open {
            attempt: Some(attempt),
            may_have_run,
        } = request.stage
        else {
            return;
        };
        let task = request.task;
        let ran = !matches!(
            ending,
            AttemptOutcome::Rejected(_) | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        self.pool.settled(attempt.line, id);
        if !(may_have_run || ran) {
            self.table.has_not_run(id);
        }
        self.table.put(
            id,
            Stage::Open {
                attempt: None,
                may_have_run: may_have_run || ran,
            },
        );
        self.events
            .push(event((task, attempt.number, ending, false, report)));
    }

    /// A standing task is ended from here: its machine is told.
    pub(super) fn end_at_machine(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) {
        let Some(Stage::Standing {
            machine, attempt, ..
        }) = self.table.get(id).map(|r| r.stage)
        else {
            return;
        };
        let ended = Message::release(id, cause::ENDED).bytes();
        self.on_pool(out, |pool, acts| pool.tell(now, machine, ended, acts));
        self.end(now, id, attempt, AttemptOutcome::Cancelled, None);
    }

    /// A standing task has ended.
    pub(super) fn end(
        &mut self,
        now: Seconds,
        id: Id,
        attempt: u32,
        ending: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.table.remove(id) else {
            return;
        };
        if let Stage::Standing { machine, .. } = request.stage {
            self.pool.hold(now, machine, false);
        }
        self.downstreams.count_standing(request.client, false);
        self.counts.ended += 1;
        self.events
            .push(event((request.task, attempt, ending, true, report)));
    }
}
