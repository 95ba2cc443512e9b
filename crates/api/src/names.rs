//! Names of annotations, labels, conditions, reasons and headers: those that tidespur adds to the Kubernetes API, and
//! the published ones that it uses.

/// Annotation of a Pod: how long the task is expected to run, in seconds.
pub const EXPECTED_SECONDS: &str = "placement.tidespur.dev/expected-seconds";
/// Annotation of a Pod: how long its owner waits for a placement, in seconds.
pub const GIVE_UP_SECONDS: &str = "placement.tidespur.dev/give-up-seconds";
/// Annotation of a Pod that resubmits a task whose earlier Pod was rejected, failed or lost.
pub const RESUBMITTED: &str = "placement.tidespur.dev/returned";
/// Annotation of a Pod that adopted an orphaned attempt of an earlier Pod: the Pod name by which nodes know the task.
pub const ADOPTED_POD_NAME: &str = "placement.tidespur.dev/adopts";
/// Annotation of a Pod at a node: idempotency key; further starts with the key in the deduplication domain are dropped.
pub const IDEMPOTENCY_KEY: &str = "placement.tidespur.dev/key";
/// Annotation of a Pod at a node: uid of the Pod at the edge.
pub const EDGE_POD_UID: &str = "placement.tidespur.dev/uid";

/// Published label of a Node: its zone.
pub const ZONE: &str = "topology.kubernetes.io/zone";
/// Label of a Node: its rack.
pub const RACK: &str = "topology.tidespur.dev/rack";
/// Published label of a Node: its node type in the settings.
pub const INSTANCE_TYPE: &str = "node.kubernetes.io/instance-type";
/// Annotation of a Node: address at which it accepts Pods.
pub const ADDRESS: &str = "node.tidespur.dev/address";
/// Annotation of a Node: when its process last started, in Unix seconds.
pub const STARTED_AT: &str = "node.tidespur.dev/up-since";
/// Annotation of a Node: CPU that no accepted Pod requests, in cores.
pub const UNCLAIMED_CPU: &str = "node.tidespur.dev/free-cores";
/// Annotation of a Node: memory that no accepted Pod requests, in memory units.
pub const UNCLAIMED_MEMORY: &str = "node.tidespur.dev/free-memory";

/// Header in every response of a node: `cores=12.5;memory=40;queue=2`, that is, the cores and memory units that are not
/// in use and the number of queued offers and starts.
pub const LOAD_HEADER: &str = "x-tidespur-load";
/// Header of a request: zone of the sender.
pub const ZONE_HEADER: &str = "x-tidespur-zone";
/// Header of a request: name of the program that sent it.
pub const PEER_HEADER: &str = "x-tidespur-peer";

/// Published label of a Pod: name of the Job that owns it.
pub const JOB_NAME: &str = "batch.kubernetes.io/job-name";
/// Published label of a Pod: uid of the Job that owns it.
pub const JOB_UID: &str = "batch.kubernetes.io/controller-uid";

/// Condition of a Job whose controller waits: for a backoff to end, or for the outcome of an attempt that may have run.
pub const PENDING_CONDITION: &str = "placement.tidespur.dev/Waiting";

/// Status reason of a Pod: it was not placed, so the task can be retried safely.
pub const PLACEMENT_REFUSED: &str = "PlacementRefused";
/// Status reason of a Pod: it is unknown whether it ran.
pub const PLACEMENT_UNKNOWN: &str = "PlacementUnknown";

/// Size of the memory unit of policy and settings, in bytes.
pub const MEMORY_UNIT: f64 = 1024.0 * 1024.0 * 1024.0;
