//! Words that tidespur adds to the published API: annotations, reasons, headers.

/// Annotation: how long the task is expected to run, in seconds.
pub const EXPECTED_SECONDS: &str = "placement.tidespur.dev/expected-seconds";
/// Annotation: how long the owner waits for a placement, in seconds.
pub const GIVE_UP_SECONDS: &str = "placement.tidespur.dev/give-up-seconds";
/// Annotation: this Pod comes after one that was refused, failed or lost.
pub const RESUBMITTED: &str = "placement.tidespur.dev/returned";
/// Annotation: the name that nodes know this task by, where an orphan of an earlier Pod was taken over.
pub const ADOPTED_POD_NAME: &str = "placement.tidespur.dev/adopts";
/// Annotation on Pods at a node: repeats of one key within a group are dropped there.
pub const IDEMPOTENCY_KEY: &str = "placement.tidespur.dev/key";
/// Annotation on Pods at a node: the uid of the edge's Pod.
pub const EDGE_POD_UID: &str = "placement.tidespur.dev/uid";

/// Published label: zone of a node.
pub const ZONE: &str = "topology.kubernetes.io/zone";
/// Label: rack of a node.
pub const RACK: &str = "topology.tidespur.dev/rack";
/// Published label: kind of a node.
pub const INSTANCE_TYPE: &str = "node.kubernetes.io/instance-type";
/// Annotation on a Node: where it takes Pods.
pub const ADDRESS: &str = "node.tidespur.dev/address";
/// Annotation on a Node: when its process last came up, Unix seconds.
pub const STARTED_AT: &str = "node.tidespur.dev/up-since";
/// Annotations on a Node: cores and memory units that no accepted Pod asks for.
pub const UNCLAIMED_CPU: &str = "node.tidespur.dev/free-cores";
/// See [`UNCLAIMED_CPU`].
pub const UNCLAIMED_MEMORY: &str = "node.tidespur.dev/free-memory";

/// Header in every answer of a node: `cores=12.5;memory=40;queue=2`, cores and memory units not in use and the
/// offers and starts that wait.
pub const LOAD_HEADER: &str = "x-tidespur-load";
/// Header of a request: the zone that it comes from.
pub const ZONE_HEADER: &str = "x-tidespur-zone";
/// Header of a request: the program that sent it.
pub const PEER_HEADER: &str = "x-tidespur-peer";

/// Published label on Pods: the Job that owns them.
pub const JOB_NAME: &str = "batch.kubernetes.io/job-name";
/// Published label: uid of the Job.
pub const JOB_UID: &str = "batch.kubernetes.io/controller-uid";

/// Condition of a Job: its owner's side waits, pausing before asking again or settling what may run.
pub const PENDING_CONDITION: &str = "placement.tidespur.dev/Waiting";

/// Pod status reason: not placed; asking again is harmless.
pub const PLACEMENT_REFUSED: &str = "PlacementRefused";
/// Pod status reason: no claim whether it ran.
pub const PLACEMENT_UNKNOWN: &str = "PlacementUnknown";

/// Bytes of one memory unit of the policy.
pub const MEMORY_UNIT: f64 = 1024.0 * 1024.0 * 1024.0;
