//! The states of the other members: follows the failure detector, reports changes, and removes failed members.

use super::Membership;
use crate::{MemberId, MemberState, MemberStatus, MembershipView, Output, Seconds};
use foca::{State, Timer};
use std::collections::BTreeSet;

/// Interval at which the view is refreshed without a notification of the failure detector, which does not notify of
/// suspicions.
const REFRESH_INTERVAL: Seconds = 0.2;
/// Delay of the exchange of metadata versions after a member has joined.
const FIRST_EXCHANGE_DELAY: Seconds = 0.05;
// 64-bit FNV-1a (Fowler, Noll, Vo), which gives the same hash on all machines.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// A member whose identity or status has changed.
struct ChangedMember {
    id: MemberId,
    status: MemberStatus,
}

impl Membership {
    /// Hash of the alive members, this one included; members that see the same ones compute the same hash.
    pub(super) fn hash_view(&self) -> u64 {
        let mut alive: Vec<(&String, u64)> = self
            .members
            .values()
            .filter(|member| member.status.is_alive())
            .map(|member| (&member.id.name, member.id.incarnation))
            .collect();
        alive.push((&self.own.name, self.own.incarnation));
        alive.sort_unstable();
        let mut hash = FNV_OFFSET_BASIS;
        for (name, incarnation) in alive {
            let bytes = name.bytes().chain([0]).chain(incarnation.to_le_bytes());
            for byte in bytes {
                hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
            }
        }
        hash
    }

    /// Updates the member states from the failure detector and reports the changes.
    pub(super) fn refresh_members(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.next_refresh_at = self.protocol_time(now) + REFRESH_INTERVAL;
        if self.resolve_duplicate(now, outputs) {
            return;
        }
        self.forget_excess_failed(now, outputs);
        let mut known_names = BTreeSet::new();
        let mut changed = Vec::new();
        for member in self.detector.iter_membership_state() {
            let id = member.id();
            if id.name == self.own.name {
                // An earlier identity of this member, which was declared failed.
                continue;
            }
            known_names.insert(id.name.clone());
            let status = self.status(id, member.state());
            let is_known = self.members.get(&id.name).is_some_and(|known| {
                known.id.precedence() == id.precedence() && known.status == status
            });
            if !is_known {
                changed.push(ChangedMember {
                    id: id.clone(),
                    status,
                });
            }
        }
        let mut has_joined = false;
        for member in changed {
            has_joined |= self.update_member(now, member, outputs);
        }
        self.members.retain(|name, _| known_names.contains(name));
        self.update_hooks(known_names);
        if has_joined {
            let soon = self.protocol_time(now) + FIRST_EXCHANGE_DELAY;
            self.next_exchange_at = self.next_exchange_at.min(soon);
        }
        let view_hash = self.hash_view();
        if view_hash != self.view_hash {
            self.view_hash = view_hash;
            self.publish_metadata();
        }
    }

    fn status(&self, id: &MemberId, state: State) -> MemberStatus {
        match state {
            State::Alive => MemberStatus::Alive,
            State::Suspect => MemberStatus::Suspect,
            State::Down if self.has_announced_departure(id) => MemberStatus::Left,
            State::Down => MemberStatus::Failed,
        }
    }

    fn has_announced_departure(&self, id: &MemberId) -> bool {
        let state = self.hooks.lock();
        state.metadata.get(&id.name).is_some_and(|received| {
            received.update.version.incarnation == id.incarnation
                && received.update.metadata.is_leaving
        })
    }

    /// Reports the change of a member and stores its state; returns whether it has joined.
    fn update_member(
        &mut self,
        now: Seconds,
        member: ChangedMember,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let ChangedMember { id, status } = member;
        let name = id.name.clone();
        let known = self.members.get(&name);
        let was_alive = known.is_some_and(|known| known.status.is_alive());
        let previous_status = known
            .filter(|known| known.id.precedence() == id.precedence())
            .map(|known| known.status);
        let event = match (previous_status, status) {
            (Some(MemberStatus::Suspect), MemberStatus::Alive) => {
                Some(Output::SuspicionRefuted(name.clone()))
            }
            (Some(MemberStatus::Alive), MemberStatus::Suspect) => {
                Some(Output::MemberSuspected(name.clone()))
            }
            (_, MemberStatus::Alive | MemberStatus::Suspect) => {
                Some(Output::MemberJoined(name.clone()))
            }
            // Failure and departure of a member that was never seen alive are not reported.
            (_, MemberStatus::Failed) if was_alive => Some(Output::MemberFailed(name.clone())),
            (_, MemberStatus::Left) if was_alive => Some(Output::MemberLeft(name.clone())),
            _ => None,
        };
        let has_joined = matches!(event, Some(Output::MemberJoined(_)));
        outputs.extend(event);
        let state = MemberState {
            id,
            status,
            since: now,
            metadata: None,
            metadata_received_at: 0.0,
        };
        self.members.insert(name, state);
        has_joined
    }

    fn update_hooks(&mut self, known_names: BTreeSet<String>) {
        let mut state = self.hooks.lock();
        state.metadata.retain(&known_names, &self.own.name);
        state.known_names = known_names;
        state.alive_count = self
            .members
            .values()
            .filter(|member| member.status.is_alive())
            .count();
    }

    /// Removes the members that failed first if more than `max_members` failed ones are known. Failed members are kept
    /// in addition to the alive ones: if one were removed too early, a member that still holds it for alive would add
    /// it again by gossip.
    fn forget_excess_failed(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let is_failed = |member: &&foca::Member<MemberId>| member.state() == State::Down;
        let count = self
            .detector
            .iter_membership_state()
            .filter(is_failed)
            .count();
        let excess = count.saturating_sub(self.settings.max_members);
        if excess == 0 {
            return;
        }
        let mut failed: Vec<MemberId> = self
            .detector
            .iter_membership_state()
            .filter(is_failed)
            .map(|member| member.id().clone())
            .collect();
        let failed_at = |id: &MemberId| {
            let member = self.members.get(&id.name);
            member.map_or(0.0, |member| member.since)
        };
        failed.sort_by(|one, other| failed_at(one).total_cmp(&failed_at(other)));
        for id in failed.into_iter().take(excess) {
            self.run_detector(now, outputs, |detector, effects| {
                detector.handle_timer(Timer::RemoveDown(id), effects)
            });
        }
    }

    /// The current view of the fleet.
    pub fn view(&self) -> MembershipView {
        let state = self.hooks.lock();
        let mut members: Vec<MemberState> = self.members.values().cloned().collect();
        for member in &mut members {
            if let Some(received) = state.metadata.get(&member.id.name) {
                member.metadata = Some(received.update.metadata.clone());
                member.metadata_received_at = received.received_at;
            }
        }
        let own = MemberState {
            id: self.own.clone(),
            status: MemberStatus::Alive,
            since: self.started_at,
            metadata: Some(self.metadata.clone()),
            metadata_received_at: state.metadata.now,
        };
        let own_index = members.partition_point(|member| member.id.name < self.own.name);
        members.insert(own_index, own);
        let has_converged = self
            .members
            .values()
            .filter(|member| member.status.is_alive())
            .all(|member| {
                state.metadata.get(&member.id.name).is_some_and(|received| {
                    received.update.version.incarnation == member.id.incarnation
                        && received.update.view_hash == self.view_hash
                })
            });
        MembershipView {
            own: self.own.clone(),
            members,
            has_converged,
            drops: self.drops.clone(),
            rejoins: self.rejoins,
            stalls: self.stalls,
        }
    }
}
