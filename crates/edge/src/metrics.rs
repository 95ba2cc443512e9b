//! `/metrics`: state of the edge and totals of pending work, in the OpenMetrics text format. The number of label values
//! is bounded: classes are those of the configuration, and namespaces and zones above a maximum count as `other`.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::{family::Family, gauge::Gauge};
use prometheus_client::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use tidespur_pending::{PendingRecords, ReasonCode};
use tidespur_persistence::Disk;

/// Maximum number of namespaces with a label value of their own.
const MAX_NAMESPACE_LABELS: usize = 50;
/// Maximum number of zones with a label value of their own.
const MAX_ZONE_LABELS: usize = 20;
/// Label value of all others.
const OTHER_LABEL: &str = "other";

/// Labels of the totals of pending work.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    class: String,
    namespace: String,
    zone: String,
    reason: String,
    source: String,
}

type GaugeFamily = Family<Labels, Gauge<f64, AtomicU64>>;

/// State of the edge besides its pending work.
pub(crate) struct EdgeState<'a> {
    pub(crate) open_tasks: usize,
    pub(crate) connected_planners: usize,
    pub(crate) resync_count: u64,
    pub(crate) disk: Option<&'a Disk>,
}

/// Renders the text of `/metrics`.
pub(crate) fn render(records: &PendingRecords, state: &EdgeState<'_>) -> String {
    let mut registry = Registry::with_prefix("tidespur");
    let families = PendingFamilies::register(&mut registry);
    register_state(&mut registry, state);
    register_gauge(
        &mut registry,
        "waiting_without_record",
        "Tasks beyond the most records that are kept",
        records.unrecorded_count() as f64,
    );
    families.fill(records);
    let mut rendered = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut rendered, &registry);
    rendered
}

fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge: Gauge<f64, AtomicU64> = Gauge::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn register_state(registry: &mut Registry, state: &EdgeState<'_>) {
    register_gauge(
        registry,
        "open_tasks",
        "Tasks without an answer",
        state.open_tasks as f64,
    );
    register_gauge(
        registry,
        "planners",
        "Planners that are connected",
        state.connected_planners as f64,
    );
    register_gauge(
        registry,
        "behind",
        "Times the edge fell behind its own history",
        state.resync_count as f64,
    );
    let Some(disk) = state.disk else { return };
    register_gauge(
        registry,
        "memory_syncs",
        "Times that the memory was synced to the disk",
        disk.syncs() as f64,
    );
    register_gauge(
        registry,
        "memory_trouble",
        "1 while nothing can be written to the memory",
        f64::from(u8::from(disk.error().is_some())),
    );
}

/// Sums of the pending work with the same labels.
#[derive(Default)]
struct Totals {
    tasks: f64,
    cores: f64,
    memory: f64,
}

/// Metric families of the totals of pending work.
struct PendingFamilies {
    tasks: GaugeFamily,
    cores: GaugeFamily,
    memory: GaugeFamily,
}

impl PendingFamilies {
    fn register(registry: &mut Registry) -> Self {
        let families = Self {
            tasks: GaugeFamily::default(),
            cores: GaugeFamily::default(),
            memory: GaugeFamily::default(),
        };
        registry.register(
            "waiting_tasks",
            "Tasks that a reason holds back; a task counts under each",
            families.tasks.clone(),
        );
        registry.register(
            "waiting_cores",
            "Cores that they ask for",
            families.cores.clone(),
        );
        registry.register(
            "waiting_memory_units",
            "Memory units that they ask for",
            families.memory.clone(),
        );
        families
    }

    fn fill(&self, records: &PendingRecords) {
        let mut totals_by_labels: BTreeMap<(String, String, String, ReasonCode), Totals> =
            BTreeMap::new();
        let mut namespaces = BoundedLabels::new(MAX_NAMESPACE_LABELS);
        let mut zones = BoundedLabels::new(MAX_ZONE_LABELS);
        for ((class, namespace, zone, code), pending) in records.totals() {
            let key = (class, namespaces.label(namespace), zones.label(zone), code);
            let totals = totals_by_labels.entry(key).or_default();
            totals.tasks += f64::from(pending.tasks);
            totals.cores += pending.cores;
            totals.memory += pending.memory;
        }
        for ((class, namespace, zone, code), totals) in totals_by_labels {
            let labels = Labels {
                class,
                namespace,
                zone,
                reason: code.name().to_owned(),
                source: format!("{:?}", code.source()).to_lowercase(),
            };
            self.tasks.get_or_create(&labels).set(totals.tasks);
            self.cores.get_or_create(&labels).set(totals.cores);
            self.memory.get_or_create(&labels).set(totals.memory);
        }
    }
}

/// Values of a label, limited to a maximum number.
struct BoundedLabels {
    max: usize,
    known: BTreeSet<String>,
}

impl BoundedLabels {
    fn new(max: usize) -> Self {
        Self {
            max,
            known: BTreeSet::new(),
        }
    }

    /// Returns the value itself if it is among the first `max`, else [`OTHER_LABEL`].
    fn label(&mut self, value: String) -> String {
        let has_own_label = self.known.contains(&value) || self.known.len() < self.max;
        let label = if has_own_label {
            value
        } else {
            OTHER_LABEL.to_owned()
        };
        self.known.insert(label.clone());
        label
    }
}
