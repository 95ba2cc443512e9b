//! Measures how long an edge takes to restore 1,000, 10,000 and 100,000 Pods:
//! `cargo run --release -p tidespur-edge --example restore`.

use serde_json::json;
use std::time::Instant;
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::Core;
use tidespur_persistence::{Batch, Identity, RecordStore};
use tidespur_store::{Limits, Store};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "{:>8} {:>10} {:>12} {:>12}",
        "pods", "MB", "opened in s", "restored in s"
    );
    for count in [1_000, 10_000, 100_000] {
        let directory = tempfile::tempdir()?;
        let identity = Identity {
            role: "edge".into(),
            name: "e".into(),
            cluster: "c".into(),
        };
        let (mut record_store, _) = RecordStore::open(directory.path(), &identity)?;
        let mut batch = Batch::default();
        for i in 0..count {
            let pod = json!({"kind": "Pod", "apiVersion": "v1",
                "metadata": {"name": format!("p{i}"), "namespace": "default", "uid": format!("uid-{i}"),
                    "resourceVersion": i.to_string(), "creationTimestamp": "2026-12-02T00:00:00Z"},
                "spec": {"nodeName": format!("node-{}", i % 500), "priorityClassName": "termin-web",
                    "containers": [{"name": "main", "resources": {"requests": {"cpu": "500m", "memory": "1Gi"}}}]},
                "status": {"phase": "Running", "conditions": [{"type": "PodScheduled", "status": "True"}]}});
            batch.put(
                "object",
                &format!("pods/default/p{i}"),
                pod.to_string().into_bytes(),
            )?;
        }
        record_store.write(&batch)?;
        drop(record_store);
        let size = std::fs::metadata(directory.path().join(tidespur_persistence::STORE_FILE))?.len()
            as f64
            / 1e6;
        let start = Instant::now();
        let (_record_store, records) = RecordStore::open(directory.path(), &identity)?;
        let opened = start.elapsed().as_secs_f64();
        let config = parse("built-in", DEFAULT_CONFIG)?;
        let mut store = Store::new(Limits::default(), 1, 1_000_000);
        Core::new(config, 1).restore(0.0, &records, &mut store)?;
        let restored = start.elapsed().as_secs_f64() - opened;
        println!("{count:>8} {size:>10.1} {opened:>12.3} {restored:>12.3}");
    }
    Ok(())
}
