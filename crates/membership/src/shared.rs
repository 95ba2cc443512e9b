//! What the failure detector's hooks share with the member that holds it: the detector owns its hooks and gives no way
//! to look into them.

use crate::facts::{Book, MetadataUpdate, MetadataVersion};
use crate::id::MemberId;
use bytes::{Buf, BufMut};
use foca::{BroadcastHandler, Codec, Header, Invalidates, Member, PostcardCodec};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The shared part.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) book: Book,
    /// Names that the detector keeps something of.
    pub(crate) known: BTreeSet<String>,
    /// Of these, not given up.
    pub(crate) live: usize,
    pub(crate) most: usize,
    /// Who this member is: facts of its name and another incarnation are a twin's.
    pub(crate) own: Option<MemberId>,
    /// The newest other process of our own name that anybody spoke of.
    pub(crate) twin: Option<MemberId>,
    /// Something was refused for want of room.
    pub(crate) full: bool,
}

impl State {
    pub(crate) fn is_own(&self, name: &str) -> bool {
        self.own.as_ref().is_some_and(|own| own.name == name)
    }

    /// Another process of our own name was spoken of, or spoke itself.
    pub(crate) fn meet_twin(&mut self, id: &MemberId) {
        if self.twin.as_ref().is_none_or(|twin| id.age() > twin.age()) {
            self.twin = Some(id.clone());
        }
    }
}

/// A handle on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a member that somebody spoke of may be known.
    fn admits(&self, id: &MemberId) -> Result<(), Refused> {
        if !id.is_valid() {
            return Err(Refused);
        }
        let mut state = self.lock();
        if state.is_own(&id.name) {
            state.meet_twin(id);
            return Ok(());
        }
        if !state.known.contains(&id.name) {
            if state.live >= state.most {
                state.full = true;
                return Err(Refused);
            }
            state.live += 1;
            state.known.insert(id.name.clone());
        }
        Ok(())
    }
}

/// A member that can't be one, or for which there is no room.
#[derive(Debug)]
pub(crate) struct Refused;

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a member that can be kept")
    }
}

impl std::error::Error for Refused {}

impl Codec<MemberId> for Shared {
    type Error = Refused;

    fn encode_header(
        &mut self,
        header: &Header<MemberId>,
        buf: impl BufMut,
    ) -> Result<(), Refused> {
        PostcardCodec
            .encode_header(header, buf)
            .map_err(|_| Refused)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<MemberId>, Refused> {
        let header: Header<MemberId> = PostcardCodec.decode_header(buf).map_err(|_| Refused)?;
        self.admits(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<MemberId>,
        buf: impl BufMut,
    ) -> Result<(), Refused> {
        PostcardCodec
            .encode_member(member, buf)
            .map_err(|_| Refused)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<MemberId>, Refused> {
        let member: Member<MemberId> = PostcardCodec.decode_member(buf).map_err(|_| Refused)?;
        match (self.admits(member.id()), self.lock().own.clone()) {
            (Ok(()), _) => Ok(member),
            // One claim that is refused must not drop what else the datagram says, as would an error: it becomes a
            // word that this member lives, which it knows.
            (Err(Refused), Some(own)) => Ok(Member::alive(own)),
            (Err(Refused), None) => Err(Refused),
        }
    }
}

/// Which facts a piece of news replaces on its way.
#[derive(Debug)]
pub(crate) struct Key(String, MetadataVersion);

impl Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 >= other.1
    }
}

impl BroadcastHandler<MemberId> for Shared {
    type Key = Key;
    type Error = Refused;

    fn receive_item(&mut self, data: &[u8], _: Option<&MemberId>) -> Result<Option<Key>, Refused> {
        let told = MetadataUpdate::read(data).ok_or(Refused)?;
        let key = Key(told.name.clone(), told.version);
        let mut state = self.lock();
        let twin = state
            .own
            .as_ref()
            .is_some_and(|own| told.name == own.name && told.version.born != own.incarnation);
        Ok((!twin && state.book.take(told)).then_some(key))
    }
}
