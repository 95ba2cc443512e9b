//! Handling of received datagrams.

use super::Membership;
use crate::wire::{self, Body};
use crate::{DropReason, MemberId, Output, Seconds};
use std::net::SocketAddr;

impl Membership {
    pub(super) fn count_drop(&mut self, reason: DropReason) {
        *self.drops.entry(reason).or_default() += 1;
    }

    pub(super) fn send(&self, to: SocketAddr, body: &Body, outputs: &mut Vec<Output>) {
        let datagram = wire::encode(&self.settings.cluster, body);
        outputs.push(Output::SendDatagram(to, datagram));
    }

    /// Returns whether the view of the failure detector may have changed.
    pub(super) fn handle_datagram(
        &mut self,
        now: Seconds,
        bytes: &[u8],
        outputs: &mut Vec<Output>,
    ) -> bool {
        let body = match wire::decode(&self.settings.cluster, bytes) {
            Ok(body) => body,
            Err(reason) => {
                self.count_drop(reason);
                return false;
            }
        };
        if body.sender().is_some_and(|sender| !sender.is_valid()) {
            self.count_drop(DropReason::Malformed);
            return false;
        }
        match body {
            Body::Swim(data) => self.handle_detector_message(now, &data, outputs),
            Body::Hello(sender) => self.handle_hello(now, sender, outputs),
            Body::Welcome(sender) => {
                if sender == self.own {
                    return false;
                }
                self.handle_alive(now, sender, outputs)
            }
            Body::ReplacedBy(sender) => {
                if sender.name != self.own.name {
                    return false;
                }
                self.handle_alive(now, sender, outputs)
            }
            Body::Versions(sender, versions) => {
                self.compare_versions(&sender, versions, outputs);
                false
            }
            Body::Metadata(sender, updates, requested) => {
                for update in updates {
                    self.store_metadata(update, outputs);
                }
                self.send_metadata(&sender, &requested, outputs);
                false
            }
        }
    }

    fn handle_detector_message(
        &mut self,
        now: Seconds,
        data: &[u8],
        outputs: &mut Vec<Output>,
    ) -> bool {
        // A datagram whose header can't be decoded is counted as malformed when the detector handles it.
        if let Ok((header, _)) = postcard::take_from_bytes::<foca::Header<MemberId>>(data) {
            self.notify_if_replaced(&header.src, outputs);
        }
        self.run_detector(now, outputs, |detector, effects| {
            detector.handle_data(data, effects)
        })
    }

    fn handle_hello(&mut self, now: Seconds, sender: MemberId, outputs: &mut Vec<Output>) -> bool {
        if sender == self.own {
            // One of the seed addresses is that of this member.
            return false;
        }
        self.notify_if_replaced(&sender, outputs);
        self.send(sender.address, &Body::Welcome(self.own.clone()), outputs);
        self.handle_alive(now, sender, outputs)
    }

    /// Handles the proof that another member, or another process with the name of this one, is alive.
    fn handle_alive(&mut self, now: Seconds, id: MemberId, outputs: &mut Vec<Output>) -> bool {
        if id.name == self.own.name {
            self.hooks.lock().record_duplicate(&id);
            return true;
        }
        self.run_detector(now, outputs, |detector, effects| {
            detector.announce(id, effects)
        })
    }

    /// Notifies a process if a newer process uses its name. The failure detector alone would only tell it that it was
    /// declared failed, and it would rejoin repeatedly.
    fn notify_if_replaced(&self, process: &MemberId, outputs: &mut Vec<Output>) {
        let Some(member) = self.members.get(&process.name) else {
            return;
        };
        if member.id.incarnation > process.incarnation && process.is_valid() {
            let body = Body::ReplacedBy(member.id.clone());
            self.send(process.address, &body, outputs);
        }
    }
}
