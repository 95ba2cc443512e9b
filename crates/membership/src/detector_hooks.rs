//! Hooks of the failure detector: its codec and its broadcast handler. The detector owns its hooks and gives no access
//! to them, so they share their state with the member through a mutex.

use crate::id::MemberId;
use crate::metadata::{MetadataUpdate, MetadataVersion};
use crate::metadata_table::MetadataTable;
use bytes::{Buf, BufMut};
use foca::{BroadcastHandler, Codec, Header, Invalidates, Member, PostcardCodec};
use parking_lot::{Mutex, MutexGuard};
use std::collections::BTreeSet;
use std::sync::Arc;

/// State that the hooks share with the member.
#[derive(Debug, Default)]
pub(crate) struct HookState {
    pub(crate) metadata: MetadataTable,
    /// Names of the members that the detector knows.
    pub(crate) known_names: BTreeSet<String>,
    /// Number of those that have not failed.
    pub(crate) alive_count: usize,
    pub(crate) max_members: usize,
    /// Identity of this member. Metadata with its name and another incarnation comes from another process.
    pub(crate) own: Option<MemberId>,
    /// The newest other process with the name of this member.
    pub(crate) duplicate: Option<MemberId>,
    /// Whether a member was rejected because `max_members` were alive.
    pub(crate) has_rejected_member: bool,
}

impl HookState {
    fn is_own_name(&self, name: &str) -> bool {
        self.own.as_ref().is_some_and(|own| own.name == name)
    }

    /// Records another process with the name of this member.
    pub(crate) fn record_duplicate(&mut self, id: &MemberId) {
        let is_newest = self
            .duplicate
            .as_ref()
            .is_none_or(|duplicate| id.precedence() > duplicate.precedence());
        if is_newest {
            self.duplicate = Some(id.clone());
        }
    }
}

/// A handle to the shared state.
#[derive(Clone, Debug, Default)]
pub(crate) struct DetectorHooks(Arc<Mutex<HookState>>);

impl DetectorHooks {
    pub(crate) fn lock(&self) -> MutexGuard<'_, HookState> {
        self.0.lock()
    }

    /// Admits a member that a message names, or rejects it if it is not valid or too many are alive.
    fn admit(&self, id: &MemberId) -> Result<(), HookError> {
        if !id.is_valid() {
            return Err(HookError::InvalidMember);
        }
        let mut state = self.lock();
        if state.is_own_name(&id.name) {
            state.record_duplicate(id);
            return Ok(());
        }
        if state.known_names.contains(&id.name) {
            return Ok(());
        }
        if state.alive_count >= state.max_members {
            state.has_rejected_member = true;
            return Err(HookError::TooManyMembers);
        }
        state.alive_count += 1;
        state.known_names.insert(id.name.clone());
        Ok(())
    }
}

/// Why a hook rejects a message, or a part of it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HookError {
    #[error("not a valid member")]
    InvalidMember,
    #[error("too many members")]
    TooManyMembers,
    #[error("not valid metadata")]
    InvalidMetadata,
    #[error("can't be encoded or decoded: {0}")]
    Codec(#[from] postcard::Error),
}

impl Codec<MemberId> for DetectorHooks {
    type Error = HookError;

    fn encode_header(
        &mut self,
        header: &Header<MemberId>,
        buffer: impl BufMut,
    ) -> Result<(), HookError> {
        Ok(PostcardCodec.encode_header(header, buffer)?)
    }

    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<MemberId>, HookError> {
        let header: Header<MemberId> = PostcardCodec.decode_header(buffer)?;
        self.admit(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<MemberId>,
        buffer: impl BufMut,
    ) -> Result<(), HookError> {
        Ok(PostcardCodec.encode_member(member, buffer)?)
    }

    fn decode_member(&mut self, buffer: impl Buf) -> Result<Member<MemberId>, HookError> {
        let member: Member<MemberId> = PostcardCodec.decode_member(buffer)?;
        let Err(rejected) = self.admit(member.id()) else {
            return Ok(member);
        };
        // An error would drop the whole datagram because of one rejected member. The entry is replaced by one that says
        // that this member itself is alive, which has no effect.
        match self.lock().own.clone() {
            Some(own) => Ok(Member::alive(own)),
            None => Err(rejected),
        }
    }
}

/// Identifies a queued broadcast; it invalidates those of older versions of the same member's metadata.
#[derive(Debug)]
pub(crate) struct BroadcastKey {
    name: String,
    version: MetadataVersion,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.version >= other.version
    }
}

impl BroadcastHandler<MemberId> for DetectorHooks {
    type Key = BroadcastKey;
    type Error = HookError;

    /// Stores received metadata; returns its key if it is new, so that the detector forwards it.
    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&MemberId>,
    ) -> Result<Option<BroadcastKey>, HookError> {
        let update = MetadataUpdate::decode(data).ok_or(HookError::InvalidMetadata)?;
        let key = BroadcastKey {
            name: update.name.clone(),
            version: update.version,
        };
        let mut state = self.lock();
        let is_of_duplicate = state.own.as_ref().is_some_and(|own| {
            update.name == own.name && update.version.incarnation != own.incarnation
        });
        let is_new = !is_of_duplicate && state.metadata.insert(update);
        Ok(is_new.then_some(key))
    }
}
