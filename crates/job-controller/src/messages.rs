//! Events that the controller processes, and actions that its caller executes.

use crate::{Adoption, JobStatus, JobView, PersistedSlot, PodView, RestoredJob, SlotId};
use tidespur_planner_protocol::Location;

/// An event that the controller processes.
#[derive(Clone, Debug)]
pub enum Event {
    /// A Job was created or changed.
    JobUpdated(JobView),
    /// A Job was restored from the records of an earlier process.
    JobRestored(Box<RestoredJob>),
    /// A stray Pod was restored from the records of an earlier process.
    StrayPodRestored {
        /// Uid of the Pod.
        uid: String,
    },
    /// A Job was deleted.
    JobDeleted {
        /// Uid of the Job.
        uid: String,
    },
    /// A Pod was created for a slot.
    PodCreated {
        /// The slot that the Pod was created for.
        slot: SlotId,
        /// The created Pod.
        pod: PodView,
    },
    /// The creation of a Pod for a slot failed.
    PodCreationFailed(SlotId),
    /// A Pod was created or changed.
    PodUpdated(PodView),
    /// A Pod was deleted.
    PodDeleted(PodView),
    /// The planners' answer to [`Action::LocatePod`].
    PodLocated {
        /// Uid of the Pod.
        uid: String,
        /// Where the Pod runs, or how it ended, if known.
        location: Location,
    },
}

/// An action that the caller executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create a Pod. The caller responds with [`Event::PodCreated`] or [`Event::PodCreationFailed`].
    CreatePod {
        /// The slot that the Pod is for.
        slot: SlotId,
        /// Namespace of the Job.
        namespace: String,
        /// Name of the Job.
        job: String,
        /// Whether the slot had a Pod before, or an earlier creation failed.
        is_retry: bool,
        /// The running Pod at a node that the new Pod adopts.
        adoption: Option<Adoption>,
    },
    /// Delete a Pod.
    DeletePod {
        /// Namespace of the Pod.
        namespace: String,
        /// Name of the Pod in the API, which its name at nodes may differ from.
        name: String,
        /// Uid of the Pod. A newer Pod of the same name is kept.
        uid: String,
    },
    /// Write the status of a Job.
    UpdateJobStatus {
        /// Uid of the Job.
        uid: String,
        /// Namespace of the Job.
        namespace: String,
        /// Name of the Job.
        name: String,
        /// The new status.
        status: JobStatus,
    },
    /// Delete a Job whose time to live has elapsed.
    DeleteJob {
        /// Namespace of the Job.
        namespace: String,
        /// Name of the Job.
        name: String,
        /// Uid of the Job. A newer Job of the same name is kept.
        uid: String,
    },
    /// Query all planners for the location of a Pod. The caller responds with [`Event::PodLocated`].
    LocatePod {
        /// Uid of the Pod.
        uid: String,
        /// Namespace of the Pod.
        namespace: String,
        /// Name of the Pod at nodes, see [`PodView::name_at_node`].
        name: String,
    },
    /// Stop a Pod at all nodes that run it.
    StopPod {
        /// Uid of the Pod.
        uid: String,
    },
    /// Persist the state of a slot, or remove its record.
    PersistSlot {
        /// Uid of the Job.
        job: String,
        /// Number of the slot.
        number: u32,
        /// The state; `None` removes the record.
        slot: Option<PersistedSlot>,
    },
    /// Persist which slot numbers a Job has allocated, or remove its record.
    PersistJob {
        /// Uid of the Job.
        job: String,
        /// All numbers below this one are allocated; `None` removes the record.
        next_slot: Option<u32>,
    },
    /// Persist a stray Pod: it has no Job, may run and must be stopped.
    PersistStrayPod {
        /// Uid of the Pod.
        uid: String,
    },
    /// Remove the record of a stray Pod, which is being stopped.
    RemoveStrayPod {
        /// Uid of the Pod.
        uid: String,
    },
}
