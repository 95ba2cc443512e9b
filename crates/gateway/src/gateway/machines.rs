//! What machines say, and what their connections and the discovery stream tell of them.

use super::*;

impl Gateway {
    /// Has something done with the connections to machines, and what it leads to carried out.
    pub(super) fn on_pool<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut acts = Vec::new();
        let done = act(&mut self.pool, &mut acts);
        for act in acts {
            match act {
                PoolAction::Due(upstream, id) => self.due(upstream, id, out),
                act => out.push(Output::Upstream(act)),
            }
        }
        done
    }

    pub(super) fn line_ended(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        end: End,
        out: &mut Vec<Output>,
    ) {
        let mut news = Vec::new();
        self.pool.ended(now, line, end, &mut news);
        self.hear(now, news, out);
    }

    pub(super) fn line_said(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        self.pool.heard(now, line);
        let Some(from) = self.pool.machine(line) else {
            return;
        };
        let id = message.id;
        let known = self
            .table
            .get(id)
            .map(|request| (request.task, request.client, request.stage));
        match (message.kind, known) {
            (
                Kind::Answer,
                Some((
                    task,
                    client,
                    Stage::Open {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.line == line => {
                let Some(description) = message.get(code::DESCRIPTION) else {
                    return self.malformed(now, line, out);
                };
                let answer = Message::new(Kind::Answer, id).with(code::DESCRIPTION, description);
                self.counts.placed += 1;
                self.pool.settled(line, id);
                let since = now;
                self.table.put(
                    id,
                    Stage::Standing {
                        machine: from,
                        attempt: attempt.number,
                        since,
                    },
                );
                self.pool.hold(now, from, true);
                self.downstreams.count_open(now, client, false);
                self.downstreams.count_standing(client, true);
                self.events.push(Event::AttemptConfirmed {
                    task,
                    attempt: attempt.number,
                });
                self.reply(id, answer.bytes(), out);
            }
            (
                Kind::Release,
                Some((
                    _,
                    _,
                    Stage::Open {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.line == line => {
                let why = ask::why(message);
                let ending = match message.cause() {
                    Some(cause::FULL) => AttemptOutcome::Rejected(why),
                    Some(cause::ERROR) => AttemptOutcome::Failed,
                    Some(cause::MOOT) => AttemptOutcome::NeverSent,
                    _ => AttemptOutcome::Interrupted(why),
                };
                match ending {
                    AttemptOutcome::Rejected(_) => self.counts.full += 1,
                    AttemptOutcome::Failed => self.counts.errors += 1,
                    _ => self.counts.broken += 1,
                }
                self.attempt_ended(id, ending, ask::report(message));
            }
            (
                Kind::Release,
                Some((
                    _,
                    _,
                    Stage::Standing {
                        machine, attempt, ..
                    },
                )),
            ) if machine == from => {
                out.push(Output::Upstream(PoolAction::Write(
                    line,
                    Message::new(Kind::Heard, id).bytes(),
                )));
                let word = message.cause().unwrap_or(cause::FAILED);
                let ending = match word {
                    cause::NORMAL => AttemptOutcome::Finished,
                    cause::ENDED => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::Interrupted(ask::why(message)),
                };
                if word != cause::ENDED {
                    self.reply(id, Message::release(id, word).bytes(), out);
                }
                self.end(now, id, attempt, ending, ask::report(message));
            }
            (Kind::Release, None) => {
                self.counts.strays += 1;
                self.table
                    .ended_elsewhere(now, id, message.cause().unwrap_or(cause::FAILED));
                out.push(Output::Upstream(PoolAction::Write(
                    line,
                    Message::new(Kind::Heard, id).bytes(),
                )));
            }
            (Kind::Note, Some((task, _, Stage::Standing { machine, .. }))) if machine == from => {
                if let Some(note) = ask::note(message) {
                    self.events.push(Event::AttemptProgressed {
                        task,
                        progress: note,
                    });
                }
            }
            (Kind::Test, _) => {
                let tested = Message::new(Kind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Upstream(PoolAction::Write(line, tested.bytes())));
            }
            (Kind::Tested | Kind::Progress | Kind::Heard, _) => {}
            // A second copy, an answer under another's id, or one that comes after it was cancelled or timed out.
            _ => self.counts.strays += 1,
        }
    }

    pub(super) fn malformed(&mut self, now: Seconds, line: UpstreamId, out: &mut Vec<Output>) {
        let mut news = Vec::new();
        self.on_pool(out, |pool, acts| pool.malformed(now, line, acts, &mut news));
        self.hear(now, news, out);
    }

    pub(super) fn hear(&mut self, now: Seconds, news: Vec<News>, out: &mut Vec<Output>) {
        for news in news {
            match news {
                News::Unsent(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::ConnectFailed, None);
                }
                News::Broken(id) => {
                    self.counts.broken += 1;
                    self.attempt_ended(
                        id,
                        AttemptOutcome::Interrupted(FailureCause::Unspecified),
                        None,
                    );
                }
                News::Withdrawn(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::NeverSent, None);
                }
                News::Failed(machine) => {
                    let name = self
                        .known
                        .get(&machine)
                        .map_or("", |(name, _)| name.as_str());
                    out.push(Output::Log(format!("machine {name} has failed")));
                    self.machine_failed(now, machine, now, out);
                }
            }
        }
    }

    /// What stood at a machine since before `before` is over.
    pub(super) fn machine_failed(
        &mut self,
        now: Seconds,
        machine: MachineId,
        before: Seconds,
        out: &mut Vec<Output>,
    ) {
        for id in self.table.at_machine(machine) {
            let Some(Stage::Standing { attempt, since, .. }) = self.table.get(id).map(|r| r.stage)
            else {
                continue;
            };
            if since > before {
                continue;
            }
            self.counts.lost += 1;
            self.reply(id, Message::release(id, cause::FAILED).bytes(), out);
            self.end(
                now,
                id,
                attempt,
                AttemptOutcome::Interrupted(FailureCause::Unspecified),
                None,
            );
        }
    }

    pub(super) fn delivered_event(
        &mut self,
        now: Seconds,
        notice: Delivery,
        out: &mut Vec<Output>,
    ) {
        // Events may be written twice, and two boards may tell the same ones.
        if notice.number <= self.delivered && self.delivered > 0 {
            return;
        }
        self.delivered = notice.number;
        let mut news = Vec::new();
        let (mut entries, mut leaving) = (Vec::new(), Vec::new());
        if notice.whole {
            let listed = notice
                .listed
                .iter()
                .map(|listed| listed.entry.machine)
                .collect();
            leaving.extend(self.pool.only(&listed));
        }
        for listed in notice.listed {
            let (machine, gone) = (
                listed.entry.machine,
                listed.entry.status == EndpointStatus::Gone,
            );
            if listed.entry.status != EndpointStatus::Ready {
                leaving.push(machine);
            }
            self.pool.listed(now, machine, &listed.address, gone);
            let before = self
                .known
                .insert(machine, (listed.name, listed.entry.started_at));
            if let (Some((_, before)), Some(up)) = (before, listed.entry.started_at)
                && before.is_none_or(|before| up > before)
            {
                // It has started anew: what stood there before is over.
                self.machine_failed(now, machine, up, out);
            }
            entries.push(listed.entry);
        }
        self.pool.taken_over(&mut news);
        for machine in leaving {
            self.on_pool(out, |pool, acts| {
                pool.withdraw(now, machine, acts, &mut news)
            });
        }
        self.hear(now, news, out);
        self.events.push(if notice.whole {
            Event::EndpointsListed(entries)
        } else {
            Event::EndpointsChanged(entries)
        });
    }
}
