//! Cached programs on machines where no task of this scheduler runs them: those of its own earlier tasks, and those
//! that other schedulers announce by gossip. Owned by the scheduler.
//!
//! A gossip message is a sequence of 8-byte announcements: the low 32 bits of the service id, then the low 31 bits of
//! the machine id with the highest bit set if the last task has ended. Both are little-endian.

use crate::interface::{MachineId, Seconds, ServiceId};
use std::collections::BTreeMap;

/// How long a machine is assumed to keep a program after its last task, in seconds.
const CACHED_AFTER_LAST_TASK: Seconds = 3.0;

/// How long an announcement of a program in use is valid, in seconds.
const ANNOUNCEMENT_LIFETIME: Seconds = 30.0;

/// Expired programs are removed when more than this many are known, to bound memory.
const MAX_PROGRAMS: usize = 10_000;

/// The longest gossip message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// The length of an announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 8;

/// The bit of an announced machine that is set if the last task has ended.
const LAST_TASK_ENDED: u32 = 1 << 31;

/// The program of a service on a machine, identified as in announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProgramLocation {
    service: u32,
    machine: u32,
}

impl ProgramLocation {
    const fn new(service: ServiceId, machine: MachineId) -> Self {
        Self {
            service: service.0 as u32,
            machine: announced_machine(machine),
        }
    }
}

const fn announced_machine(machine: MachineId) -> u32 {
    machine.0 as u32 & !LAST_TASK_ENDED
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    location: ProgramLocation,
    last_task_ended: bool,
}

impl Announcement {
    fn encode(self) -> [u8; ANNOUNCEMENT_BYTES] {
        let flag = if self.last_task_ended {
            LAST_TASK_ENDED
        } else {
            0
        };
        let machine = self.location.machine | flag;
        let mut bytes = [0; ANNOUNCEMENT_BYTES];
        bytes[..4].copy_from_slice(&self.location.service.to_le_bytes());
        bytes[4..].copy_from_slice(&machine.to_le_bytes());
        bytes
    }

    fn decode(bytes: [u8; ANNOUNCEMENT_BYTES]) -> Self {
        let [s0, s1, s2, s3, m0, m1, m2, m3] = bytes;
        let machine = u32::from_le_bytes([m0, m1, m2, m3]);
        Self {
            location: ProgramLocation {
                service: u32::from_le_bytes([s0, s1, s2, s3]),
                machine: machine & !LAST_TASK_ENDED,
            },
            last_task_ended: machine & LAST_TASK_ENDED != 0,
        }
    }
}

/// Known cached programs, and announcements to send.
#[derive(Debug, Default)]
pub(super) struct ProgramCache {
    cached_until: BTreeMap<ProgramLocation, Seconds>,
    announcements: Vec<Announcement>,
}

impl ProgramCache {
    /// Whether the machine is believed to have the service's program in its cache.
    pub(super) fn contains(&self, now: Seconds, service: ServiceId, machine: MachineId) -> bool {
        let cached_until = self
            .cached_until
            .get(&ProgramLocation::new(service, machine));
        cached_until.is_some_and(|&until| now < until)
    }

    /// Records that a task of this scheduler was offered to the machine.
    pub(super) fn record_use(&mut self, service: ServiceId, machine: MachineId) {
        self.announcements.push(Announcement {
            location: ProgramLocation::new(service, machine),
            last_task_ended: false,
        });
    }

    /// Records that the last task of this scheduler on the machine has ended.
    pub(super) fn record_last_end(&mut self, now: Seconds, service: ServiceId, machine: MachineId) {
        let location = ProgramLocation::new(service, machine);
        self.announcements.push(Announcement {
            location,
            last_task_ended: true,
        });
        self.cached_until
            .insert(location, now + CACHED_AFTER_LAST_TASK);
    }

    /// Removes all programs of a machine, which has lost its cache.
    pub(super) fn forget_machine(&mut self, machine: MachineId) {
        let machine = announced_machine(machine);
        self.cached_until
            .retain(|location, _| location.machine != machine);
    }

    /// Processes a gossip message from another scheduler. An incomplete announcement at its end is ignored.
    pub(super) fn record_gossip(&mut self, now: Seconds, message: &[u8]) {
        let (announcements, _incomplete) = message.as_chunks::<ANNOUNCEMENT_BYTES>();
        for bytes in announcements {
            let announcement = Announcement::decode(*bytes);
            let lifetime = if announcement.last_task_ended {
                CACHED_AFTER_LAST_TASK
            } else {
                ANNOUNCEMENT_LIFETIME
            };
            self.cached_until
                .insert(announcement.location, now + lifetime);
        }
    }

    /// Discards all announcements that were not sent.
    pub(super) fn discard_announcements(&mut self) {
        self.announcements.clear();
    }

    /// Returns gossip messages with all announcements since the last call.
    pub(super) fn take_messages(&mut self) -> Vec<Vec<u8>> {
        let announcements = std::mem::take(&mut self.announcements);
        let bytes: Vec<u8> = announcements
            .into_iter()
            .flat_map(Announcement::encode)
            .collect();
        bytes
            .chunks(MAX_MESSAGE_BYTES)
            .map(<[u8]>::to_vec)
            .collect()
    }

    /// Removes expired programs if too many are known.
    pub(super) fn remove_expired(&mut self, now: Seconds) {
        if self.cached_until.len() > MAX_PROGRAMS {
            self.cached_until.retain(|_, until| now < *until);
        }
    }
}
