//! Actions of the policy, carried out.

use super::*;

impl Gateway {
    pub(super) fn carry_out(&mut self, now: Seconds, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => self.send(now, task, machine, wait, out),
            Action::Reject { task, .. } => {
                self.counts.refused += 1;
                self.finish(now, task, cause::FULL, out);
            }
            Action::Fail(task) => {
                self.counts.failed += 1;
                self.finish(now, task, cause::FAILED, out);
            }
            Action::Migrate(task) => {
                let Some(id) = self.table.id(task) else {
                    return;
                };
                if self
                    .table
                    .get(id)
                    .is_some_and(|r| matches!(r.stage, Stage::Standing { .. }))
                {
                    self.reply(id, Message::new(Kind::Move, id).bytes(), out);
                    self.end_at_machine(now, id, out);
                }
            }
            // The board is followed all the time: there is nothing to ask for.
            Action::SubscribeEndpoints => self.events.push(Event::EndpointsChanged(Vec::new())),
            Action::SetTimer { after, token } => {
                self.timers.insert((micros(now + after), token));
            }
            // The platform has no way to ask for a load alone, and none to other schedulers that is used here.
            Action::PollLoad(machine) => self.events.push(Event::LoadPolled {
                machine,
                report: None,
            }),
            Action::Gossip(_) => {}
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    pub(super) fn finish(&mut self, now: Seconds, task: TaskId, word: u8, out: &mut Vec<Output>) {
        let Some(id) = self.table.id(task) else {
            return;
        };
        let Some((client, Stage::Open { .. })) = self.table.get(id).map(|r| (r.client, r.stage))
        else {
            return;
        };
        self.reply(id, Message::release(id, word).bytes(), out);
        self.downstreams.count_open(now, client, false);
        self.table.remove(id);
    }

    pub(super) fn send(
        &mut self,
        now: Seconds,
        task: TaskId,
        machine: MachineId,
        wait: Seconds,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.table.id(task) else {
            return;
        };
        let number = self.table.sends(id);
        let Some(request) = self.table.get(id) else {
            return;
        };
        let Stage::Open { may_have_run, .. } = request.stage else {
            return;
        };
        let milliseconds = ((wait * 1000.0).ceil().max(1.0) as u64).to_string();
        let mut set_up = Message::new(Kind::SetUp, id);
        for (code, value) in &request.passed {
            set_up = set_up.with(
                *code,
                if *code == code::WAIT {
                    milliseconds.as_bytes()
                } else {
                    value
                },
            );
        }
        self.counts.offers += 1;
        match self.on_pool(out, |pool, acts| {
            pool.offer(now, machine, id, set_up.bytes(), acts)
        }) {
            Some(line) => {
                let attempt = Some(Attempt {
                    number,
                    line,
                    until: now + wait,
                });
                self.table.put(
                    id,
                    Stage::Open {
                        attempt,
                        may_have_run,
                    },
                );
            }
            None => {
                self.counts.unsent += 1;
                self.events.push(event((
                    task,
                    number,
                    AttemptOutcome::ConnectFailed,
                    false,
                    None,
                )));
            }
        }
    }
}
