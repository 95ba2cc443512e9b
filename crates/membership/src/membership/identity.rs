//! Changes of the own identity: rejoining after the others have declared this member failed, and conflicts with another
//! process of the same name.

use super::Membership;
use super::detector::DetectorEffects;
use crate::{MemberId, MetadataVersion, Output, Seconds};

/// A member that was declared failed rejoins no more often than this, so that two members that declare each other failed
/// do not do so as fast as the network allows.
const REJOIN_INTERVAL: Seconds = 0.3;
/// A member that has started within this time and meets a process of its name with a higher incarnation takes a still
/// higher one: it was restarted after the clock was set back. Later it is the older of two running processes, and ends.
const STARTUP_PERIOD: Seconds = 3.0;
/// Members to which a new identity is announced at once.
const MAX_ANNOUNCEMENTS: usize = 3;

impl Membership {
    /// Rejoins with an identity that is newer than the one that the others have declared failed.
    pub(super) fn rejoin(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.rejoins += 1;
        outputs.push(Output::Rejoined);
        let identity = MemberId {
            rejoin_count: self.own.rejoin_count.saturating_add(1),
            ..self.own.clone()
        };
        self.change_identity(now, identity, outputs);
    }

    /// Resolves a conflict with another process of the same name: the newer one stays. Returns whether this member has
    /// ended.
    pub(super) fn resolve_duplicate(&mut self, now: Seconds, outputs: &mut Vec<Output>) -> bool {
        let Some(duplicate) = self.hooks.lock().duplicate.take() else {
            return false;
        };
        if duplicate.incarnation == self.own.incarnation || duplicate.age() <= self.own.age() {
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

    /// Continues as `identity`, and announces it to some of the others.
    fn change_identity(&mut self, now: Seconds, identity: MemberId, outputs: &mut Vec<Output>) {
        self.is_declared_failed = false;
        self.rejoin_at = self.protocol_time(now) + REJOIN_INTERVAL;
        self.own = identity;
        self.hooks.lock().own = Some(self.own.clone());
        let mut effects = DetectorEffects::default();
        // The detector rejects only an identity that is the same as before.
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
            // If the message can't be encoded, the periodic announcement does the same later.
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
