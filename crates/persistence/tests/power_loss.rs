//! Simulated power loss after every disk operation of a small run: operations that were not synced are lost, torn or
//! reordered. The records that are loaded afterwards must be those of the last acknowledged batch or the next one.

use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::Error as BackendIoError;
use std::sync::{Arc, Mutex};
use tidespur_persistence::{Batch, Identity, RecordKey, RecordStore};

#[derive(Clone, Debug)]
enum Operation {
    Write(u64, Vec<u8>),
    Size(u64),
    Sync,
}

#[derive(Debug, Default)]
struct DiskState {
    bytes: Vec<u8>,
    operations: Vec<Operation>,
}

/// A disk in memory that records each operation.
#[derive(Clone, Debug, Default)]
struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    fn with_bytes(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            bytes,
            operations: vec![],
        })))
    }
    fn operation_count(&self) -> usize {
        self.0.lock().unwrap().operations.len()
    }
    fn operations(&self) -> Vec<Operation> {
        self.0.lock().unwrap().operations.clone()
    }
}

fn apply(bytes: &mut Vec<u8>, operation: &Operation) {
    match operation {
        Operation::Write(at, data) => {
            let at = *at as usize;
            // The write may be kept although the preceding growth of the file was lost.
            bytes.resize(bytes.len().max(at + data.len()), 0);
            bytes[at..at + data.len()].copy_from_slice(data);
        }
        Operation::Size(size) => bytes.resize(*size as usize, 0),
        Operation::Sync => {}
    }
}

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> Result<u64, BackendIoError> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }
    fn read(&self, offset: u64, buffer: &mut [u8]) -> Result<(), BackendIoError> {
        let at = offset as usize;
        let disk = self.0.lock().unwrap();
        match disk.bytes.get(at..at + buffer.len()) {
            Some(bytes) => buffer.copy_from_slice(bytes),
            None => return Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), BackendIoError> {
        self.perform(Operation::Size(len))
    }
    fn sync_data(&self) -> Result<(), BackendIoError> {
        self.perform(Operation::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendIoError> {
        self.perform(Operation::Write(offset, data.to_vec()))
    }
}

impl SimulatedDisk {
    fn perform(&self, operation: Operation) -> Result<(), BackendIoError> {
        let mut disk = self.0.lock().unwrap();
        apply(&mut disk.bytes, &operation);
        disk.operations.push(operation);
        Ok(())
    }
}

fn identity() -> Identity {
    Identity {
        role: "edge".into(),
        name: "edge-0".into(),
        cluster: "c".into(),
    }
}

/// The acknowledgement of a batch.
struct Acknowledgement {
    /// Number of disk operations before the acknowledgement.
    operations: usize,
    /// All records with that batch applied.
    records: BTreeMap<RecordKey, Vec<u8>>,
}

/// A run of batches on a simulated disk.
struct RecordedRun {
    operations: Vec<Operation>,
    acknowledgements: Vec<Acknowledgement>,
}

fn run(rng: &mut impl Rng) -> RecordedRun {
    let disk = SimulatedDisk::default();
    let (mut store, _) = RecordStore::with_backend(disk.clone(), &identity()).unwrap();
    let mut acknowledgements = vec![Acknowledgement {
        operations: disk.operation_count(),
        records: BTreeMap::new(),
    }];
    let mut expected: BTreeMap<RecordKey, Vec<u8>> = BTreeMap::new();
    for i in 0..6_u32 {
        let mut batch = Batch::default();
        for _ in 0..rng.random_range(1..12) {
            let key = rng.random_range(0..20).to_string();
            if rng.random_bool(0.25) {
                batch.remove("object", &key);
                expected.remove(&RecordKey::new("object", key));
            } else {
                let value = vec![i as u8; rng.random_range(1..3_000)];
                batch.put("object", &key, value.clone()).unwrap();
                expected.insert(RecordKey::new("object", key), value);
            }
        }
        store.write(&batch).unwrap();
        acknowledgements.push(Acknowledgement {
            operations: disk.operation_count(),
            records: expected.clone(),
        });
    }
    RecordedRun {
        operations: disk.operations(),
        acknowledgements,
    }
}

/// The bytes of a disk after a power loss: all synced operations, and some unsynced ones with the last write torn.
/// `loss` selects the unsynced operations that are kept: 0 none, 1 all, 2 a random subset, otherwise a random number of
/// them in random order.
fn bytes_after_power_loss(operations: &[Operation], loss: u32, rng: &mut impl Rng) -> Vec<u8> {
    let synced = operations
        .iter()
        .rposition(|operation| matches!(operation, Operation::Sync))
        .map_or(0, |at| at + 1);
    let mut bytes = Vec::new();
    for operation in &operations[..synced] {
        apply(&mut bytes, operation);
    }
    let mut unsynced: Vec<Operation> = operations[synced..].to_vec();
    match loss {
        0 => unsynced.clear(),
        1 => {}
        2 => unsynced.retain(|_| rng.random_bool(0.5)),
        _ => {
            for i in (1..unsynced.len()).rev() {
                unsynced.swap(i, rng.random_range(0..=i));
            }
            unsynced.truncate(rng.random_range(0..=unsynced.len()));
        }
    }
    if let Some(Operation::Write(_, data)) = unsynced.last_mut() {
        // Sectors of 512 bytes are written completely or not at all.
        let sectors = data.len().div_ceil(512);
        data.truncate(rng.random_range(0..=sectors) * 512);
    }
    // The file system preserves the size of a file: it does not shrink in a power loss, and grows before its content is
    // written.
    for operation in &unsynced {
        apply(&mut bytes, operation);
    }
    bytes
}

#[test]
fn acknowledged_batches_are_loaded_and_no_batch_partially_after_each_power_loss() {
    let mut loss_count = 0;
    let mut rollback_count = 0;
    for seed in 0..6 {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let run = run(&mut rng);
        let first = run.acknowledgements[0].operations;
        for cut in first..=run.operations.len() {
            for loss in 0..4 {
                let bytes = bytes_after_power_loss(&run.operations[..cut], loss, &mut rng);
                let disk = SimulatedDisk::with_bytes(bytes);
                let (_, loaded) = RecordStore::with_backend(disk, &identity())
                    .unwrap_or_else(|error| panic!("seed {seed}, cut {cut}, {loss}: {error}"));
                let last = run
                    .acknowledgements
                    .iter()
                    .rposition(|acknowledgement| acknowledgement.operations <= cut)
                    .unwrap();
                // The batch that was being written may be loaded, but only completely.
                let next = run.acknowledgements.get(last + 1).map(|next| &next.records);
                let is_next = Some(&loaded.records) == next;
                assert!(
                    loaded.records == run.acknowledgements[last].records || is_next,
                    "seed {seed}, cut {cut}, {loss}: the loaded records are those of no batch"
                );
                assert_eq!(
                    loaded.generation, 2,
                    "the generation rises after a power loss"
                );
                loss_count += 1;
                rollback_count += usize::from(!is_next);
            }
        }
    }
    // Both outcomes must occur, else the simulated power losses do not cover a write in progress.
    assert!(
        loss_count > 500 && rollback_count > 100 && rollback_count < loss_count,
        "{loss_count} power losses, {rollback_count} rollbacks"
    );
}

#[test]
fn records_are_the_same_when_power_is_lost_again_while_the_store_is_opened() {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(99);
    let run = run(&mut rng);
    let cut = run.operations.len() - 2;
    let expected = &run
        .acknowledgements
        .iter()
        .rfind(|acknowledgement| acknowledgement.operations <= cut)
        .unwrap()
        .records;
    let bytes = bytes_after_power_loss(&run.operations[..cut], 0, &mut rng);
    let disk = SimulatedDisk::with_bytes(bytes.clone());
    drop(RecordStore::with_backend(disk.clone(), &identity()).unwrap());
    let opening = disk.operations();
    for second_cut in 0..=opening.len() {
        let mut operations = vec![Operation::Write(0, bytes.clone()), Operation::Sync];
        operations.extend_from_slice(&opening[..second_cut]);
        let bytes = bytes_after_power_loss(&operations, 3, &mut rng);
        let disk = SimulatedDisk::with_bytes(bytes);
        let (_, loaded) = RecordStore::with_backend(disk, &identity()).unwrap();
        assert_eq!(
            &loaded.records, expected,
            "after {second_cut} operations of the first opening"
        );
    }
}
