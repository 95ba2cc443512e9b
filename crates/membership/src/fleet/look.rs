//! The view: who is in doubt, lost or forgotten, and whether all see the same.

use super::*;

impl Membership {
    /// A word for the live members, the same for all who see the same.
    pub(super) fn seen_now(&self) -> u64 {
        let own = (&self.own.name, self.own.incarnation);
        let live = self.members.values().filter(|seen| seen.status.is_alive());
        let mut all: Vec<(&String, u64)> = live
            .map(|seen| (&seen.id.name, seen.id.incarnation))
            .collect();
        all.push(own);
        all.sort_unstable();
        let bytes = all
            .iter()
            .flat_map(|(name, born)| name.bytes().chain([0]).chain(born.to_le_bytes()));
        // FNV-1a: the same on all machines.
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        })
    }

    /// Compares the detector's view with what was known, and tells what has changed.
    pub(super) fn look(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.look_at = now - self.stood + LOOK;
        if self.twin(now, out) {
            return;
        }
        self.make_room(now, out);
        let mut known = std::collections::BTreeSet::new();
        let mut met = false;
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            if id.name == self.own.name {
                // What others gave up of this one, before it came back.
                continue;
            }
            known.insert(id.name.clone());
            let leaving = || {
                let state = self.shared.lock();
                let told = state.book.told.get(&id.name).map(|(told, _)| told);
                told.is_some_and(|told| told.version.born == id.incarnation && told.facts.leaving)
            };
            let standing = match member.state() {
                State::Alive => MemberStatus::Alive,
                State::Suspect => MemberStatus::Suspect,
                State::Down if leaving() => MemberStatus::Left,
                State::Down => MemberStatus::Failed,
            };
            let before = self.members.get(&id.name);
            let same = before.is_some_and(|seen| seen.id.age() == id.age());
            let was = before.map(|seen| seen.status);
            if same && was == Some(standing) {
                continue;
            }
            let name = id.name.clone();
            match (was.filter(|_| same), standing) {
                (Some(MemberStatus::Suspect), MemberStatus::Alive) => {
                    out.push(Output::SuspicionRefuted(name))
                }
                (Some(MemberStatus::Alive), MemberStatus::Suspect) => {
                    out.push(Output::MemberSuspected(name))
                }
                (_, MemberStatus::Alive | MemberStatus::Suspect) => {
                    met = true;
                    out.push(Output::MemberJoined(name));
                }
                // One that was never seen live is no loss.
                (_, MemberStatus::Failed) if was.is_some_and(MemberStatus::is_alive) => {
                    out.push(Output::MemberFailed(name))
                }
                (_, MemberStatus::Left) if was.is_some_and(MemberStatus::is_alive) => {
                    out.push(Output::MemberLeft(name))
                }
                _ => {}
            }
            let seen = MemberState {
                id: id.clone(),
                status: standing,
                since: now,
                metadata: None,
                metadata_received_at: 0.0,
            };
            self.members.insert(id.name.clone(), seen);
        }
        self.members.retain(|name, _| known.contains(name));
        {
            let mut state = self.shared.lock();
            state
                .book
                .told
                .retain(|name, _| known.contains(name) || *name == self.own.name);
            state.known = known;
            state.live = self
                .members
                .values()
                .filter(|seen| seen.status.is_alive())
                .count();
        }
        if met {
            self.exchange_at = self.exchange_at.min(now - self.stood + SOON);
        }
        let sees = self.seen_now();
        if sees != self.sees {
            self.sees = sees;
            self.publish();
        }
    }

    /// Two processes of one name: the newer stays.
    pub(super) fn twin(&mut self, now: Seconds, out: &mut Vec<Output>) -> bool {
        let twin = self.shared.lock().twin.take();
        let Some(twin) = twin
            .filter(|twin| twin.incarnation != self.own.incarnation && twin.age() > self.own.age())
        else {
            return false;
        };
        if now - self.started > STARTING {
            self.over = true;
            out.push(Output::Replaced(twin));
            return true;
        }
        let new = MemberId {
            incarnation: twin.incarnation.saturating_add(1),
            rejoin_count: 0,
            ..self.own.clone()
        };
        (self.given_up, self.back_at) = (false, now - self.stood + BACK);
        let mut wants = Wants::default();
        self.renew(new, &mut wants);
        self.carry_out(now, wants, out);
        false
    }

    /// Forgets those that were lost first where more than as many as may be live are kept. Those that are lost take no
    /// room of the live: forgotten too soon, whoever still believes in them would bring them back.
    pub(super) fn make_room(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let gone = || {
            self.foca
                .iter_membership_state()
                .filter(|member| member.state() == State::Down)
        };
        let over = gone().count().saturating_sub(self.settings.max_members);
        if over == 0 {
            return;
        }
        let mut gone: Vec<MemberId> = gone().map(|member| member.id().clone()).collect();
        let since = |id: &MemberId| self.members.get(&id.name).map_or(0.0, |seen| seen.since);
        gone.sort_by(|a, b| since(a).total_cmp(&since(b)));
        for id in gone.into_iter().take(over) {
            self.detector(now, out, |foca, wants| {
                foca.handle_timer(Timer::RemoveDown(id), wants)
            });
        }
    }
}
