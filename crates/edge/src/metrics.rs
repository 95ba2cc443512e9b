//! What `/metrics` shows of waiting work, in the published text format. Labels are bounded: classes are those of the
//! settings; namespaces and zones beyond a number count as `other`.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::{family::Family, gauge::Gauge};
use prometheus_client::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use tidespur_pending::PendingRecords;

/// Namespaces that are shown by name.
const NAMESPACES_MOST: usize = 50;
/// Zones that are shown by name.
const ZONES_MOST: usize = 20;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    class: String,
    namespace: String,
    zone: String,
    reason: String,
    source: String,
}

type Gauges = Family<Labels, Gauge<f64, AtomicU64>>;

/// The text.
pub(crate) fn text(
    ledger: &PendingRecords,
    open: usize,
    planners: usize,
    behind: u64,
    disk: Option<&tidespur_persistence::Disk>,
) -> String {
    let mut registry = Registry::with_prefix("tidespur");
    let (tasks, cores, memory) = (Gauges::default(), Gauges::default(), Gauges::default());
    registry.register(
        "waiting_tasks",
        "Tasks that a reason holds back; a task counts under each",
        tasks.clone(),
    );
    registry.register("waiting_cores", "Cores that they ask for", cores.clone());
    registry.register(
        "waiting_memory_units",
        "Memory units that they ask for",
        memory.clone(),
    );
    let plain = |registry: &mut Registry, name: &str, help: &str, value: f64| {
        let gauge: Gauge<f64, AtomicU64> = Gauge::default();
        gauge.set(value);
        registry.register(name, help, gauge);
    };
    plain(
        &mut registry,
        "open_tasks",
        "Tasks without an answer",
        open as f64,
    );
    plain(
        &mut registry,
        "planners",
        "Planners that are connected",
        planners as f64,
    );
    plain(
        &mut registry,
        "behind",
        "Times the edge fell behind its own history",
        behind as f64,
    );
    if let Some(disk) = disk {
        let trouble = f64::from(u8::from(disk.error().is_some()));
        plain(
            &mut registry,
            "memory_syncs",
            "Times that the memory was synced to the disk",
            disk.syncs() as f64,
        );
        plain(
            &mut registry,
            "memory_trouble",
            "1 while nothing can be written to the memory",
            trouble,
        );
    }
    let unrecorded = ledger.unrecorded_count() as f64;
    plain(
        &mut registry,
        "waiting_without_record",
        "Tasks beyond the most records that are kept",
        unrecorded,
    );
    let mut sums: BTreeMap<(String, String, String, tidespur_pending::ReasonCode), [f64; 3]> =
        BTreeMap::new();
    let (mut namespaces, mut zones) = (BTreeSet::new(), BTreeSet::new());
    let bounded = |named: &mut BTreeSet<String>, name: String, most: usize| {
        let shown = named.contains(&name) || named.len() < most;
        let name = if shown { name } else { "other".to_owned() };
        named.insert(name.clone());
        name
    };
    for ((class, namespace, zone, code), held) in ledger.totals() {
        let namespace = bounded(&mut namespaces, namespace, NAMESPACES_MOST);
        let zone = bounded(&mut zones, zone, ZONES_MOST);
        let sum = sums.entry((class, namespace, zone, code)).or_default();
        let held = [f64::from(held.tasks), held.cores, held.memory];
        sum.iter_mut()
            .zip(held)
            .for_each(|(sum, held)| *sum += held);
    }
    for ((class, namespace, zone, code), sum) in sums {
        let source = format!("{:?}", code.source()).to_lowercase();
        let labels = Labels {
            class,
            namespace,
            zone,
            reason: code.name().to_owned(),
            source,
        };
        for (family, value) in [&tasks, &cores, &memory].into_iter().zip(sum) {
            family.get_or_create(&labels).set(value);
        }
    }
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = text::encode(&mut out, &registry);
    out
}
