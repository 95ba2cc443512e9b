//! Identity changes of this member: rejoining after it was declared failed, and conflicts with another process of the
//! same name.

use super::Membership;
use super::detector::DetectorEffects;
use crate::{MemberId, MetadataVersion, Output, Seconds};

/// Minimum interval between two rejoins. Without it two members that keep declaring each other failed would rejoin as
/// fast as the network allows.
const REJOIN_INTERVAL: Seconds = 0.3;
/// If a process of the same name with a higher incarnation is seen within this time after the start, this process was
/// restarted after the clock was set back, and takes an even higher incarnation. If it is seen later, this process is
/// the older one of two running ones, and ends.
const STARTUP_PERIOD: Seconds = 3.0;
/// Maximum number of members to which a new identity is announced at once.
const MAX_ANNOUNCEMENTS: usize = 3;

impl Membership {
    /// Rejoins under a newer identity than the one that was declared failed.
    pub(super) fn rejoin(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.rejoins += 1;
        outputs.push(Output::Rejoined);
        let identity = MemberId {
            rejoin_count: self.own.rejoin_count.saturating_add(1),
            ..self.own.clone()
        };
        self.change_identity(now, identity, outputs);
    }

    /// Resolves a conflict with another process of the same name, of which the newer one keeps the name. Returns
    /// whether this member has ended.
    pub(super) fn resolve_duplicate(&mut self, now: Seconds, outputs: &mut Vec<Output>) -> bool {
        let Some(duplicate) = self.hooks.lock().duplicate.take() else {
            return false;
        };
        if duplicate.incarnation == self.own.incarnation
            || duplicate.precedence() <= self.own.precedence()
        {
            return false;
        }
        if now - self.started_at > STARTUP_PERIOD {
            self.has_ended = true;
            outputs.push(Output::Replaced(duplicate));
            return true;
        }
        let identity = MemberId {
            incarnation: duplicate.incarnation.saturating_add(1),
            rejoin_count: 0,
            ..self.own.clone()
        };
        self.change_identity(now, identity, outputs);
        false
    }

    /// Continues under `identity` and announces it to some alive members.
    fn change_identity(&mut self, now: Seconds, identity: MemberId, outputs: &mut Vec<Output>) {
        self.is_declared_failed = false;
        self.rejoin_at = self.protocol_time(now) + REJOIN_INTERVAL;
        self.own = identity;
        self.hooks.lock().own = Some(self.own.clone());
        let mut effects = DetectorEffects::default();
        // The detector rejects only an identity that equals the previous one.
        let _ = self
            .detector
            .change_identity(self.own.clone(), &mut effects);
        let receivers: Vec<MemberId> = self
            .detector
            .iter_members()
            .take(MAX_ANNOUNCEMENTS)
            .map(|member| member.id().clone())
            .collect();
        for receiver in receivers {
            // If the announcement can't be encoded, the periodic one follows later.
            let _ = self.detector.announce(receiver, &mut effects);
        }
        if self.metadata_version.incarnation != self.own.incarnation {
            self.metadata_version = MetadataVersion {
                incarnation: self.own.incarnation,
                count: 0,
            };
        }
        self.publish_metadata();
        self.apply_effects(now, effects, outputs);
    }
}
