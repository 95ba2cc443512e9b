//! What machines say, and what their connections and the discovery stream tell of them.

use super::*;

impl Gateway {
    /// Has something done with the connections to machines, and what it leads to carried out.
    pub(super) fn with_pool<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut acts = Vec::new();
        let done = act(&mut self.pool, &mut acts);
        for act in acts {
            match act {
                PoolAction::OfferReady(upstream, id) => self.offer_ready(upstream, id, out),
                act => out.push(Output::Upstream(act)),
            }
        }
        done
    }

    pub(super) fn upstream_ended(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        end: ConnectionEnd,
        out: &mut Vec<Output>,
    ) {
        let mut news = Vec::new();
        self.pool.ended(now, line, end, &mut news);
        self.handle_pool_events(now, news, out);
    }

    pub(super) fn upstream_message(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        self.pool.message_received(now, line);
        let Some(from) = self.pool.machine(line) else {
            return;
        };
        let id = message.id;
        let known = self
            .requests
            .get(id)
            .map(|request| (request.task, request.client, request.state));
        match (message.kind, known) {
            (
                MessageKind::Answer,
                Some((
                    task,
                    client,
                    RequestState::Pending {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.upstream == line => {
                let Some(description) = message.get(code::DESCRIPTION) else {
                    return self.upstream_malformed(now, line, out);
                };
                let answer =
                    Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, description);
                self.counts.placed += 1;
                self.pool.settle_offer(line, id);
                let since = now;
                self.requests.set_state(
                    id,
                    RequestState::Placed {
                        machine: from,
                        attempt: attempt.number,
                        since,
                    },
                );
                self.pool.count_placed(now, from, true);
                self.downstreams.count_pending(now, client, false);
                self.downstreams.count_placed(client, true);
                self.events.push(Event::AttemptConfirmed {
                    task,
                    attempt: attempt.number,
                });
                self.reply(id, answer.encode(), out);
            }
            (
                MessageKind::Release,
                Some((
                    _,
                    _,
                    RequestState::Pending {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.upstream == line => {
                let why = task_request::failure_cause(message);
                let ending = match message.cause() {
                    Some(cause::FULL) => AttemptOutcome::Rejected(why),
                    Some(cause::ERROR) => AttemptOutcome::Failed,
                    Some(cause::MOOT) => AttemptOutcome::NeverSent,
                    _ => AttemptOutcome::Interrupted(why),
                };
                match ending {
                    AttemptOutcome::Rejected(_) => self.counts.rejected_by_machine += 1,
                    AttemptOutcome::Failed => self.counts.errors += 1,
                    _ => self.counts.interrupted += 1,
                }
                self.attempt_ended(id, ending, task_request::load_report(message));
            }
            (
                MessageKind::Release,
                Some((
                    _,
                    _,
                    RequestState::Placed {
                        machine, attempt, ..
                    },
                )),
            ) if machine == from => {
                out.push(Output::Upstream(PoolAction::Write(
                    line,
                    Message::new(MessageKind::Heard, id).encode(),
                )));
                let word = message.cause().unwrap_or(cause::FAILED);
                let ending = match word {
                    cause::NORMAL => AttemptOutcome::Finished,
                    cause::ENDED => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::Interrupted(task_request::failure_cause(message)),
                };
                if word != cause::ENDED {
                    self.reply(id, Message::release(id, word).encode(), out);
                }
                self.finish_placed(now, id, attempt, ending, task_request::load_report(message));
            }
            (MessageKind::Release, None) => {
                self.counts.unmatched += 1;
                self.requests
                    .record_unknown_end(now, id, message.cause().unwrap_or(cause::FAILED));
                out.push(Output::Upstream(PoolAction::Write(
                    line,
                    Message::new(MessageKind::Heard, id).encode(),
                )));
            }
            (MessageKind::Note, Some((task, _, RequestState::Placed { machine, .. })))
                if machine == from =>
            {
                if let Some(note) = task_request::attempt_progress(message) {
                    self.events.push(Event::AttemptProgressed {
                        task,
                        progress: note,
                    });
                }
            }
            (MessageKind::Test, _) => {
                let tested = Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]);
                out.push(Output::Upstream(PoolAction::Write(line, tested.encode())));
            }
            (MessageKind::Tested | MessageKind::Progress | MessageKind::Heard, _) => {}
            // A second copy, an answer under another's id, or one that comes after it was cancelled or timed out.
            _ => self.counts.unmatched += 1,
        }
    }

    pub(super) fn upstream_malformed(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        out: &mut Vec<Output>,
    ) {
        let mut news = Vec::new();
        self.with_pool(out, |pool, acts| pool.malformed(now, line, acts, &mut news));
        self.handle_pool_events(now, news, out);
    }

    pub(super) fn handle_pool_events(
        &mut self,
        now: Seconds,
        news: Vec<PoolEvent>,
        out: &mut Vec<Output>,
    ) {
        for news in news {
            match news {
                PoolEvent::ConnectFailed(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::ConnectFailed, None);
                }
                PoolEvent::Interrupted(id) => {
                    self.counts.interrupted += 1;
                    self.attempt_ended(
                        id,
                        AttemptOutcome::Interrupted(FailureCause::Unspecified),
                        None,
                    );
                }
                PoolEvent::NeverSent(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::NeverSent, None);
                }
                PoolEvent::MachineFailed(machine) => {
                    let name = self
                        .machines
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
        for id in self.requests.placed_at_machine(machine) {
            let Some(RequestState::Placed { attempt, since, .. }) =
                self.requests.get(id).map(|r| r.state)
            else {
                continue;
            };
            if since > before {
                continue;
            }
            self.counts.lost += 1;
            self.reply(id, Message::release(id, cause::FAILED).encode(), out);
            self.finish_placed(
                now,
                id,
                attempt,
                AttemptOutcome::Interrupted(FailureCause::Unspecified),
                None,
            );
        }
    }

    pub(super) fn endpoints_delivered(
        &mut self,
        now: Seconds,
        notice: WatchEvent,
        out: &mut Vec<Output>,
    ) {
        // Events may be written twice, and two boards may tell the same ones.
        if notice.revision <= self.last_revision && self.last_revision > 0 {
            return;
        }
        self.last_revision = notice.revision;
        let mut news = Vec::new();
        let (mut entries, mut leaving) = (Vec::new(), Vec::new());
        if notice.is_complete_list {
            let listed = notice
                .endpoints
                .iter()
                .map(|listed| listed.endpoint.machine)
                .collect();
            leaving.extend(self.pool.mark_unlisted_gone(&listed));
        }
        for listed in notice.endpoints {
            let (machine, gone) = (
                listed.endpoint.machine,
                listed.endpoint.status == EndpointStatus::Gone,
            );
            if listed.endpoint.status != EndpointStatus::Ready {
                leaving.push(machine);
            }
            self.pool
                .endpoint_listed(now, machine, &listed.address, gone);
            let before = self
                .machines
                .insert(machine, (listed.name, listed.endpoint.started_at));
            if let (Some((_, before)), Some(up)) = (before, listed.endpoint.started_at)
                && before.is_none_or(|before| up > before)
            {
                // It has started anew: what stood there before is over.
                self.machine_failed(now, machine, up, out);
            }
            entries.push(listed.endpoint);
        }
        self.pool.fail_replaced_machines(&mut news);
        for machine in leaving {
            self.with_pool(out, |pool, acts| {
                pool.withdraw_unsent(now, machine, acts, &mut news)
            });
        }
        self.handle_pool_events(now, news, out);
        self.events.push(if notice.is_complete_list {
            Event::EndpointsListed(entries)
        } else {
            Event::EndpointsChanged(entries)
        });
    }
}
