//! Hooks of the failure detector: its codec and its handler of broadcasts. The detector owns its hooks and gives no
//! access to them, so their state is shared with the member.

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
    /// This member. Metadata of its name and another incarnation is that of another process.
    pub(crate) own: Option<MemberId>,
    /// The newest other process with the name of this member that was heard of.
    pub(crate) duplicate: Option<MemberId>,
    /// Whether a member was rejected because there are too many.
    pub(crate) has_rejected_member: bool,
}

impl HookState {
    fn is_own_name(&self, name: &str) -> bool {
        self.own.as_ref().is_some_and(|own| own.name == name)
    }

    /// Remembers another process with the name of this member.
    pub(crate) fn record_duplicate(&mut self, id: &MemberId) {
        let is_newest = self
            .duplicate
            .as_ref()
            .is_none_or(|duplicate| id.age() > duplicate.age());
        if is_newest {
            self.duplicate = Some(id.clone());
        }
    }
}

/// A handle on the shared state.
#[derive(Clone, Debug, Default)]
pub(crate) struct DetectorHooks(Arc<Mutex<HookState>>);

impl DetectorHooks {
    pub(crate) fn lock(&self) -> MutexGuard<'_, HookState> {
        self.0.lock()
    }

    /// Admits a member that a message names, or rejects it.
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
        // An error would drop the whole datagram with one rejected member. The member is replaced by the statement that
        // this member is alive, which has no effect.
        match self.lock().own.clone() {
            Some(own) => Ok(Member::alive(own)),
            None => Err(rejected),
        }
    }
}

/// Identifies a broadcast: it replaces older versions of the same member's metadata in the send queue.
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

    /// Stores received metadata; returns the key if it is new and to be broadcast further.
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
