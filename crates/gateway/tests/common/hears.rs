//! What owners and machines of the world do with what they hear.

use super::*;

impl World {
    pub(super) fn owner_hears(&mut self, message: &Message) {
        let id = message.id;
        if let Some(since) = self.over.remove(&id) {
            self.told_late = self.told_late.max(self.now - since);
            return self.after(0.05, What::Ask(1));
        }
        let Some((_, often)) = self.asked.remove(&id) else {
            return;
        };
        self.turned_away[usize::from(id.0.is_multiple_of(3))] +=
            usize::from(message.cause() == Some(cause::CONGESTED));
        if message.kind == MessageKind::Accepted {
            self.answered += 1;
        } else {
            // Whoever is turned away comes again, after pauses that double.
            self.after(AGAIN * f64::from(1 << often.min(4)), What::Ask(often + 1));
        }
    }

    pub(super) fn machine_hears(&mut self, line: UpstreamId, message: &Message) {
        let Some(&m) = self.lines.get(&line) else {
            return;
        };
        let id = message.id;
        let reply = match message.kind {
            MessageKind::SetUp if self.full => {
                release(id.0, cause::FULL).with(code::REASON, b"lack_cpu")
            }
            MessageKind::SetUp => {
                self.standing.insert(id, m);
                answer(id.0)
            }
            MessageKind::HealthCheck => {
                Message::new(MessageKind::HealthCheckReply, id).with(code::CAUSE, &[1])
            }
            _ => return,
        };
        self.after(RTT, What::Input(Input::UpstreamMessage(line, reply)));
    }

    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::WriteDownstream(_, bytes) => read(&bytes)
                .iter()
                .for_each(|message| self.owner_hears(message)),
            Output::Upstream(PoolAction::Dial(line, at)) => {
                let m = at
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse::<usize>().ok())
                    .unwrap()
                    - 1;
                if self.dead.contains(&m) {
                    return self.after(RTT, What::Input(Input::UpstreamConnectRefused(line)));
                }
                self.lines.insert(line, m);
                self.after(RTT, What::Input(Input::UpstreamOpened(line)));
            }
            Output::Upstream(
                PoolAction::Write(line, bytes) | PoolAction::Offer(line, _, bytes),
            ) => {
                read(&bytes)
                    .iter()
                    .for_each(|message| self.machine_hears(line, message));
            }
            Output::Upstream(PoolAction::HalfClose(line)) => {
                self.after(RTT, What::Input(Input::UpstreamEnded(line)))
            }
            Output::Upstream(PoolAction::Close(line)) => drop(self.lines.remove(&line)),
            Output::CloseDownstream(_) | Output::Log(_) | Output::Exit(_) => {}
            Output::Upstream(PoolAction::OfferReady(..) | PoolAction::CheckPeer(_))
            | Output::CheckDownstream(_)
            | Output::StopListening => {
                unreachable!("answered in the step")
            }
        }
    }
}
