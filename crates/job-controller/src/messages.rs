//! Events that the controller observes, and actions that it asks its caller to carry out.

use crate::{Adoption, JobStatus, JobView, PersistedSlot, PodView, RestoredJob, SlotId};
use tidespur_planner_protocol::Location;

/// An event that the controller observes.
#[derive(Clone, Debug)]
pub enum Event {
    /// A Job was created or changed.
    JobUpdated(JobView),
    /// A Job was restored from what an earlier process persisted.
    JobRestored(Box<RestoredJob>),
    /// A Pod without a Job, which may still run, was restored from what an earlier process persisted.
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
        /// The slot.
        slot: SlotId,
        /// The Pod.
        pod: PodView,
    },
    /// No Pod could be created for a slot.
    PodCreationFailed(SlotId),
    /// A Pod was created or changed.
    PodUpdated(PodView),
    /// A Pod was deleted.
    PodDeleted(PodView),
    /// The planners answered where a Pod is: the answer to [`Action::LocatePod`].
    PodLocated {
        /// Uid of the Pod.
        uid: String,
        /// Where it is.
        location: Location,
    },
}

/// An action that the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create a Pod. The caller answers with [`Event::PodCreated`] or [`Event::PodCreationFailed`].
    CreatePod {
        /// The slot that the Pod is for.
        slot: SlotId,
        /// Namespace of the Job.
        namespace: String,
        /// Name of the Job.
        job: String,
        /// Whether the slot had a Pod before, or its creation failed.
        is_retry: bool,
        /// What runs already and is taken over by the new Pod.
        adoption: Option<Adoption>,
    },
    /// Delete a Pod.
    DeletePod {
        /// Namespace.
        namespace: String,
        /// Name.
        name: String,
        /// Uid.
        uid: String,
    },
    /// Write a Job's status.
    UpdateJobStatus {
        /// Uid of the Job.
        uid: String,
        /// Namespace.
        namespace: String,
        /// Name.
        name: String,
        /// The status.
        status: JobStatus,
    },
    /// Delete a Job whose time to live after its end has elapsed.
    DeleteJob {
        /// Namespace.
        namespace: String,
        /// Name.
        name: String,
        /// Uid.
        uid: String,
    },
    /// Ask all planners where this Pod runs, if anywhere. The caller answers with [`Event::PodLocated`].
    LocatePod {
        /// Uid of the Pod.
        uid: String,
        /// Namespace.
        namespace: String,
        /// Name at nodes.
        name: String,
    },
    /// Stop whatever runs of this Pod at nodes.
    StopPod {
        /// Uid of the Pod.
        uid: String,
    },
    /// Persist the state of a slot, or remove what is persisted of it.
    PersistSlot {
        /// Uid of the Job.
        job: String,
        /// Number of the slot.
        number: u32,
        /// The state; `None` removes it.
        slot: Option<PersistedSlot>,
    },
    /// Persist how many slot numbers a Job has allocated, or remove what is persisted of the Job.
    PersistJob {
        /// Uid of the Job.
        job: String,
        /// Numbers below this are allocated; `None` removes the record.
        next_slot: Option<u32>,
    },
    /// Persist that a Pod without a Job may run and is to be stopped.
    PersistStrayPod {
        /// Uid of the Pod.
        uid: String,
    },
    /// Remove what is persisted of a Pod without a Job: it is being stopped.
    RemoveStrayPod {
        /// Uid of the Pod.
        uid: String,
    },
}
