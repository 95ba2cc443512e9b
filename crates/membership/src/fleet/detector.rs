//! The failure detector, led by its own clock.

use super::*;

/// What the failure detector wants.
#[derive(Default)]
pub(super) struct Wants {
    sends: Vec<(MemberId, Vec<u8>)>,
    timers: Vec<(Timer<MemberId>, Duration)>,
    changed: bool,
    given_up: bool,
}

impl Runtime<MemberId> for Wants {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.given_up |= matches!(notification, Notification::Defunct);
        self.changed = true;
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((event, after));
    }
}

impl Membership {
    /// Runs something of the failure detector; tells whether its view may have changed.
    pub(super) fn detector(
        &mut self,
        now: Seconds,
        out: &mut Vec<Output>,
        run: impl FnOnce(
            &mut Foca<MemberId, Shared, Pcg32, Shared>,
            &mut Wants,
        ) -> Result<(), foca::Error>,
    ) -> bool {
        let mut wants = Wants::default();
        let ran = run(&mut self.foca, &mut wants);
        let full = std::mem::take(&mut self.shared.lock().full);
        match (full, ran) {
            (true, _) => self.drop(DropReason::TooManyMembers),
            (false, Err(_)) => self.drop(DropReason::Malformed),
            (false, Ok(())) => {}
        }
        let mut changed = wants.changed;
        if wants.given_up && !self.over {
            self.given_up = true;
            changed = true;
        }
        self.carry_out(now, wants, out);
        changed
    }

    pub(super) fn carry_out(&mut self, now: Seconds, wants: Wants, out: &mut Vec<Output>) {
        let here = now - self.stood;
        for (timer, after) in wants.timers {
            self.numbered += 1;
            self.timers.insert(
                (((here + after.as_secs_f64()) * 1e6) as u64, self.numbered),
                timer,
            );
        }
        for (to, data) in wants.sends {
            self.send(to.address, &Body::Swim(data), out);
        }
    }

    /// Comes back as one that is newer than what the others gave up.
    pub(super) fn come_back(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.given_up = false;
        self.back_at = now - self.stood + BACK;
        self.rejoins += 1;
        out.push(Output::Rejoined);
        let mut wants = Wants::default();
        self.renew(
            MemberId {
                rejoin_count: self.own.rejoin_count.saturating_add(1),
                ..self.own.clone()
            },
            &mut wants,
        );
        self.carry_out(now, wants, out);
    }

    /// Goes on as `new`, and says so to some of the others.
    pub(super) fn renew(&mut self, new: MemberId, wants: &mut Wants) {
        self.own = new;
        self.shared.lock().own = Some(self.own.clone());
        // Fails only where the identity is the same.
        let _ = self.foca.change_identity(self.own.clone(), &mut *wants);
        let some: Vec<MemberId> = self
            .foca
            .iter_members()
            .take(3)
            .map(|member| member.id().clone())
            .collect();
        for id in some {
            let _ = self.foca.announce(id, &mut *wants);
        }
        if self.version.born != self.own.incarnation {
            self.version = MetadataVersion {
                born: self.own.incarnation,
                count: 0,
            };
        }
        self.publish();
    }
}

pub(super) fn config(settings: &Settings) -> foca::Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often = |s: Seconds, n| {
        Some(PeriodicParams {
            frequency: Duration::from_secs_f64(s),
            num_members: some(n),
        })
    };
    foca::Config {
        probe_period: Duration::from_secs_f64(settings.probe_interval),
        probe_rtt: Duration::from_secs_f64(settings.probe_timeout),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(settings.suspicion_timeout),
        remove_down_after: Some(Duration::from_secs_f64(settings.forget_after)),
        max_packet_size: some(BODY_MOST),
        notify_down_members: true,
        periodic_announce: often(3.0, 1),
        periodic_announce_to_down_members: often(1.5, 2),
        periodic_gossip: often(0.2, 3),
    }
}
