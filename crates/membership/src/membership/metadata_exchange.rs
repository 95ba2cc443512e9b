//! Publishes the metadata of this member, and repairs what gossip missed by an anti-entropy exchange of versions with
//! random members.

use super::Membership;
use crate::wire::{Body, MAX_BODY_BYTES};
use crate::{MemberId, MetadataUpdate, MetadataVersion, Output, Seconds};
use rand::RngExt;

/// Maximum interval between two exchanges of versions; the interval is random, from half of this on.
pub(super) const EXCHANGE_INTERVAL: Seconds = 1.5;
/// Maximum number of updates that are sent in reply to one request.
const MAX_UPDATES_PER_REPLY: usize = 32;
/// Maximum number of versions of one datagram that are compared.
const MAX_COMPARED_VERSIONS: usize = MAX_UPDATES_PER_REPLY * 2;
/// Maximum number of names whose metadata is requested in one datagram.
const MAX_REQUESTED_NAMES: usize = MAX_UPDATES_PER_REPLY / 2;
/// Maximum size of names, updates and versions in a body, in bytes; the rest is for the sender and the list lengths.
const MAX_LIST_BYTES: usize = MAX_BODY_BYTES - 128;
/// Upper bound of the encoded size of a version and the length prefix of its name, in bytes.
const VERSION_BYTES: usize = 16;

impl Membership {
    /// Broadcasts the metadata of this member as a new version.
    pub(super) fn publish_metadata(&mut self) {
        self.metadata_version.count = self.metadata_version.count.wrapping_add(1);
        let update = self.own_update().encode();
        // The detector rejects only updates that are too large; the settings bound all parts of this one.
        let _ = self.detector.add_broadcast(&update);
    }

    pub(super) fn own_update(&self) -> MetadataUpdate {
        MetadataUpdate {
            name: self.own.name.clone(),
            version: self.metadata_version,
            view_hash: self.view_hash,
            metadata: self.metadata.clone(),
        }
    }

    pub(super) fn store_metadata(&mut self, update: MetadataUpdate, outputs: &mut Vec<Output>) {
        // An update under this member's name is its own, or that of another process of this name.
        if !update.is_valid() || update.name == self.own.name {
            return;
        }
        let name = update.name.clone();
        if self.hooks.lock().metadata.insert(update) {
            outputs.push(Output::MetadataChanged(name));
        }
    }

    /// Sends the versions of known metadata to a random member. Each call covers as many names as fit into a datagram,
    /// and continues after the last name of the previous call.
    pub(super) fn exchange_versions(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let interval = EXCHANGE_INTERVAL * self.rng.random_range(0.5..1.0);
        self.next_exchange_at = self.protocol_time(now) + interval;
        let addresses = self.alive_addresses();
        if addresses.is_empty() {
            return;
        }
        let to = addresses[self.rng.random_range(0..addresses.len())];
        let versions = self.next_versions();
        self.exchange_cursor = versions
            .last()
            .map_or(String::new(), |(name, _)| name.clone());
        self.send(to, &Body::Versions(self.own.clone(), versions), outputs);
    }

    /// As many versions as fit into a datagram, from the first name after the cursor on, cyclically.
    fn next_versions(&self) -> Vec<(String, MetadataVersion)> {
        let state = self.hooks.lock();
        let names: Vec<&String> = state.known_names.iter().chain([&self.own.name]).collect();
        let start = names
            .iter()
            .position(|name| **name > self.exchange_cursor)
            .unwrap_or(0);
        let mut versions = Vec::new();
        let mut bytes = 0;
        for &name in names[start..].iter().chain(&names[..start]) {
            bytes += name.len() + VERSION_BYTES;
            if bytes > MAX_LIST_BYTES {
                break;
            }
            let version = state.metadata.version(name).unwrap_or_default();
            versions.push((name.clone(), version));
        }
        versions
    }

    /// Compares the versions that another member has: sends it newer metadata, and requests what is newer there.
    pub(super) fn compare_versions(
        &mut self,
        from: &MemberId,
        versions: Vec<(String, MetadataVersion)>,
        outputs: &mut Vec<Output>,
    ) {
        let mut newer_here = Vec::new();
        let mut newer_there = Vec::new();
        {
            let state = self.hooks.lock();
            for (name, version) in versions.into_iter().take(MAX_COMPARED_VERSIONS) {
                let known = state.metadata.version(&name).unwrap_or_default();
                if known > version {
                    newer_here.push(name);
                } else if known < version && name != self.own.name {
                    newer_there.push(name);
                }
            }
        }
        if !newer_there.is_empty() {
            newer_there.truncate(MAX_REQUESTED_NAMES);
            let request = Body::Metadata(self.own.clone(), vec![], newer_there);
            self.send(from.address, &request, outputs);
        }
        self.send_metadata(from, &newer_here, outputs);
    }

    /// Sends the known metadata of these members, with as many updates per datagram as fit.
    pub(super) fn send_metadata(
        &mut self,
        to: &MemberId,
        names: &[String],
        outputs: &mut Vec<Output>,
    ) {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for update in self.known_updates(names) {
            let bytes = update.encode().len();
            if batch_bytes + bytes > MAX_LIST_BYTES && !batch.is_empty() {
                let full = std::mem::take(&mut batch);
                self.send_updates(to, full, outputs);
                batch_bytes = 0;
            }
            batch_bytes += bytes;
            batch.push(update);
        }
        if !batch.is_empty() {
            self.send_updates(to, batch, outputs);
        }
    }

    fn known_updates(&self, names: &[String]) -> Vec<MetadataUpdate> {
        let state = self.hooks.lock();
        names
            .iter()
            .take(MAX_UPDATES_PER_REPLY)
            .filter_map(|name| Some(state.metadata.get(name)?.update.clone()))
            .collect()
    }

    fn send_updates(&self, to: &MemberId, updates: Vec<MetadataUpdate>, outputs: &mut Vec<Output>) {
        let body = Body::Metadata(self.own.clone(), updates, vec![]);
        self.send(to.address, &body, outputs);
    }
}
