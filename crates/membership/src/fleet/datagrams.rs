//! What members say to each other.

use super::*;

impl Membership {
    pub(super) fn drop(&mut self, why: DropReason) {
        *self.drops.entry(why).or_default() += 1;
    }

    pub(super) fn datagram(&mut self, now: Seconds, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let body = match wire::read(&self.settings.cluster, bytes) {
            Ok(body) => body,
            Err(why) => {
                self.drop(why);
                return false;
            }
        };
        match body {
            Body::Swim(data) => {
                if let Ok((header, _)) = postcard::take_from_bytes::<foca::Header<MemberId>>(&data)
                {
                    self.tell_older(&header.src, out);
                }
                self.detector(now, out, |foca, wants| foca.handle_data(&data, wants))
            }
            Body::Hello(id)
            | Body::Welcome(id)
            | Body::Newer(id)
            | Body::Versions(id, _)
            | Body::Facts(id, _, _)
                if !id.is_valid() =>
            {
                self.drop(DropReason::Malformed);
                false
            }
            Body::Hello(id) if id != self.own => {
                self.tell_older(&id, out);
                self.send(id.address, &Body::Welcome(self.own.clone()), out);
                self.meet(now, id, out)
            }
            Body::Welcome(id) if id != self.own => self.meet(now, id, out),
            Body::Newer(id) if id.name == self.own.name => self.meet(now, id, out),
            Body::Newer(_) => false,
            // Ourselves, by a seed that is our own address.
            Body::Hello(_) | Body::Welcome(_) => false,
            Body::Versions(from, versions) => {
                self.compare(&from, versions, out);
                false
            }
            Body::Facts(from, told, want) => {
                for told in told {
                    self.take(told, out);
                }
                self.answer(&from, want, out);
                false
            }
        }
    }

    /// Another member, or another process of this one's name, is there.
    pub(super) fn meet(&mut self, now: Seconds, id: MemberId, out: &mut Vec<Output>) -> bool {
        if id.name == self.own.name {
            self.shared.lock().meet_twin(&id);
            return true;
        }
        self.detector(now, out, |foca, wants| foca.announce(id, wants))
    }

    /// Whoever speaks under a name that a newer process has is told so: by the detector alone it would learn that it
    /// was given up, and come back for ever.
    pub(super) fn tell_older(&self, who: &MemberId, out: &mut Vec<Output>) {
        let newer = self.members.get(&who.name).map(|seen| &seen.id);
        if let Some(newer) =
            newer.filter(|newer| newer.incarnation > who.incarnation && who.is_valid())
        {
            self.send(who.address, &Body::Newer(newer.clone()), out);
        }
    }

    pub(super) fn send(&self, to: SocketAddr, body: &Body, out: &mut Vec<Output>) {
        out.push(Output::SendDatagram(
            to,
            wire::datagram(&self.settings.cluster, body),
        ));
    }

    /// Tells anew what this member tells of itself.
    pub(super) fn publish(&mut self) {
        self.version.count = self.version.count.wrapping_add(1);
        let told = self.told();
        // Refused only where it is too long; the settings' checks bound all of its parts.
        let _ = self.foca.add_broadcast(&told.bytes());
    }

    pub(super) fn told(&self) -> MetadataUpdate {
        let (name, version) = (self.own.name.clone(), self.version);
        MetadataUpdate {
            name,
            version,
            sees: self.sees,
            facts: self.facts.clone(),
        }
    }

    pub(super) fn take(&mut self, told: MetadataUpdate, out: &mut Vec<Output>) {
        let name = told.name.clone();
        // What is said of our own name by others is our own word, or a twin's.
        if told.is_sound() && name != self.own.name && self.shared.lock().book.take(told) {
            out.push(Output::MetadataChanged(name));
        }
    }

    /// Another's versions: sends what is newer here, asks for what is newer there.
    pub(super) fn compare(
        &mut self,
        from: &MemberId,
        versions: Vec<(String, MetadataVersion)>,
        out: &mut Vec<Output>,
    ) {
        let (mut newer, mut want) = (Vec::new(), Vec::new());
        {
            let state = self.shared.lock();
            for (name, version) in versions.into_iter().take(ANSWER_MOST * 2) {
                let here = state.book.version(&name).unwrap_or_default();
                if here > version {
                    newer.push(name);
                } else if here < version && name != self.own.name {
                    want.push(name);
                }
            }
        }
        if !want.is_empty() {
            want.truncate(ANSWER_MOST / 2);
            self.send(
                from.address,
                &Body::Facts(self.own.clone(), vec![], want),
                out,
            );
        }
        self.answer(from, newer, out);
    }

    /// Sends facts by names, as many to a datagram as it holds.
    pub(super) fn answer(&mut self, to: &MemberId, names: Vec<String>, out: &mut Vec<Output>) {
        let told: Vec<MetadataUpdate> = {
            let state = self.shared.lock();
            let told = |name: &String| state.book.told.get(name).map(|(told, _)| told.clone());
            names.iter().take(ANSWER_MOST).filter_map(told).collect()
        };
        let mut batch = Vec::new();
        let mut bytes = 0;
        for told in told {
            let size = told.bytes().len();
            if bytes + size > BODY_MOST - 128 && !batch.is_empty() {
                let full = std::mem::take(&mut batch);
                self.send(
                    to.address,
                    &Body::Facts(self.own.clone(), full, vec![]),
                    out,
                );
                bytes = 0;
            }
            bytes += size;
            batch.push(told);
        }
        if !batch.is_empty() {
            self.send(
                to.address,
                &Body::Facts(self.own.clone(), batch, vec![]),
                out,
            );
        }
    }
}
