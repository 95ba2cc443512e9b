//! Behaviour of the simulated owners and machines.

use super::*;

impl Simulation {
    pub(super) fn owner_receives(&mut self, message: &Message) {
        let id = message.id;
        if let Some(since) = self.unreported_ends.remove(&id) {
            self.max_report_delay = self.max_report_delay.max(self.now - since);
            return self.schedule(0.05, SimulatedEvent::Submit(1));
        }
        let Some((_, rejections)) = self.pending.remove(&id) else {
            return;
        };
        self.congested[usize::from(id.0.is_multiple_of(3))] +=
            usize::from(message.cause() == Some(cause::CONGESTED));
        if message.kind == MessageKind::Accepted {
            self.accepted_count += 1;
        } else {
            // Owners resubmit rejected tasks with exponential backoff.
            self.schedule(
                INITIAL_BACKOFF * f64::from(1 << rejections.min(4)),
                SimulatedEvent::Submit(rejections + 1),
            );
        }
    }

    pub(super) fn machine_receives(&mut self, upstream: UpstreamId, message: &Message) {
        let Some(&m) = self.upstreams.get(&upstream) else {
            return;
        };
        let id = message.id;
        let reply = match message.kind {
            MessageKind::SetUp if self.is_full => {
                release(id.0, cause::FULL).with(code::REASON, b"lack_cpu")
            }
            MessageKind::SetUp => {
                self.placed.insert(id, m);
                accepted(id.0)
            }
            MessageKind::HealthCheck => {
                Message::new(MessageKind::HealthCheckReply, id).with(code::CAUSE, &[1])
            }
            _ => return,
        };
        self.schedule(
            ROUND_TRIP_TIME,
            SimulatedEvent::Input(Input::UpstreamMessage(upstream, reply)),
        );
    }

    pub(super) fn apply_output(&mut self, output: Output) {
        match output {
            Output::WriteDownstream(_, bytes) => decode(&bytes)
                .iter()
                .for_each(|message| self.owner_receives(message)),
            Output::Upstream(PoolAction::Dial(upstream, address)) => {
                let m = address
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse::<usize>().ok())
                    .unwrap()
                    - 1;
                if self.failed.contains(&m) {
                    return self.schedule(
                        ROUND_TRIP_TIME,
                        SimulatedEvent::Input(Input::UpstreamConnectRefused(upstream)),
                    );
                }
                self.upstreams.insert(upstream, m);
                self.schedule(
                    ROUND_TRIP_TIME,
                    SimulatedEvent::Input(Input::UpstreamOpened(upstream)),
                );
            }
            Output::Upstream(
                PoolAction::Write(upstream, bytes) | PoolAction::Offer(upstream, _, bytes),
            ) => {
                decode(&bytes)
                    .iter()
                    .for_each(|message| self.machine_receives(upstream, message));
            }
            Output::Upstream(PoolAction::HalfClose(upstream)) => self.schedule(
                ROUND_TRIP_TIME,
                SimulatedEvent::Input(Input::UpstreamEnded(upstream)),
            ),
            Output::Upstream(PoolAction::Close(upstream)) => drop(self.upstreams.remove(&upstream)),
            Output::CloseDownstream(_) | Output::Log(_) | Output::Exit(_) => {}
            Output::Upstream(PoolAction::OfferReady(..) | PoolAction::CheckPeer(_))
            | Output::CheckDownstream(_)
            | Output::StopListening => {
                unreachable!("handled by run_until")
            }
        }
    }
}
