//! What the controller is told, and what it wants done.

use crate::{Adopt, JobStatus, JobView, Kept, Past, PodView, SlotId};
use tidespur_planner_protocol::Location;

/// What the controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A Job stands, new or changed.
    Job(JobView),
    /// A Job as an earlier process left it.
    Recall(Box<Past>),
    /// A Pod without a Job that may run, as an earlier process left it.
    RecallStray(String),
    /// A Job is gone.
    JobGone(String),
    /// A Pod was made for a slot.
    Created {
        /// The slot.
        slot: SlotId,
        /// The Pod.
        pod: PodView,
    },
    /// A Pod could not be made for a slot.
    NotCreated(SlotId),
    /// A Pod stands, new or changed.
    Pod(PodView),
    /// A Pod is gone.
    PodGone(PodView),
    /// What was found of a Pod that may run.
    Located {
        /// Its uid.
        uid: String,
        /// What was found.
        found: Location,
    },
}

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a Pod; `Created` or `NotCreated` is due.
    Create {
        /// For this slot.
        slot: SlotId,
        /// Namespace of the Job.
        namespace: String,
        /// Name of the Job.
        job: String,
        /// An earlier Pod of the slot did not stay.
        returned: bool,
        /// Take over what runs already.
        adopt: Option<Adopt>,
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
    Status {
        /// Uid of the Job.
        uid: String,
        /// Namespace.
        namespace: String,
        /// Name.
        name: String,
        /// The status.
        status: JobStatus,
    },
    /// Delete a Job whose time after its end is over.
    DeleteJob {
        /// Namespace.
        namespace: String,
        /// Name.
        name: String,
        /// Uid.
        uid: String,
    },
    /// Ask all planners where this Pod runs, if anywhere; `Located` is due.
    Locate {
        /// Its uid.
        uid: String,
        /// Namespace.
        namespace: String,
        /// Name at nodes.
        name: String,
    },
    /// Whatever runs of this Pod is to be stopped.
    Reap {
        /// Its uid.
        uid: String,
    },
    /// Remember this of a slot, or forget it.
    KeepSlot {
        /// Uid of the Job.
        job: String,
        /// Number of the slot.
        number: u32,
        /// What to remember.
        kept: Option<Kept>,
    },
    /// Remember how many slot numbers a Job has given out, or forget the Job.
    KeepJob {
        /// Uid of the Job.
        job: String,
        /// Numbers below this were given out.
        next_slot: Option<u32>,
    },
    /// Remember a Pod without a Job that may run, or (false) forget it.
    KeepStray {
        /// Its uid.
        uid: String,
        /// Whether it is still to be stopped.
        stands: bool,
    },
}
