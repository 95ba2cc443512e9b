//! A small run cut at every write and every sync: what was not synced is lost, torn or reordered, and what comes back
//! is checked.

use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::Error as BackendIoError;
use std::sync::{Arc, Mutex};
use tidespur_persistence::{Batch, Identity, RecordKey, RecordStore};

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Size(u64),
    Sync,
}

/// A disk that keeps each operation.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<(Vec<u8>, Vec<Op>)>>);

impl Disk {
    fn of(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new((bytes, vec![]))))
    }
    fn done(&self) -> usize {
        self.0.lock().unwrap().1.len()
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, data) => {
            let at = *at as usize;
            // A write that outlives the growth of the file before it.
            bytes.resize(bytes.len().max(at + data.len()), 0);
            bytes[at..at + data.len()].copy_from_slice(data);
        }
        Op::Size(size) => bytes.resize(*size as usize, 0),
        Op::Sync => {}
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, BackendIoError> {
        Ok(self.0.lock().unwrap().0.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendIoError> {
        let at = offset as usize;
        let disk = self.0.lock().unwrap();
        match disk.0.get(at..at + out.len()) {
            Some(bytes) => out.copy_from_slice(bytes),
            None => return Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), BackendIoError> {
        self.op(Op::Size(len))
    }
    fn sync_data(&self) -> Result<(), BackendIoError> {
        self.op(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendIoError> {
        self.op(Op::Write(offset, data.to_vec()))
    }
}

impl Disk {
    fn op(&self, op: Op) -> Result<(), BackendIoError> {
        let mut disk = self.0.lock().unwrap();
        apply(&mut disk.0, &op);
        disk.1.push(op);
        Ok(())
    }
}

fn who() -> Identity {
    Identity {
        role: "edge".into(),
        name: "edge-0".into(),
        cluster: "c".into(),
    }
}

/// A run of batches: the operations of the disk, and after how many of them each batch was acknowledged as what.
type Ran = (Vec<Op>, Vec<(usize, BTreeMap<RecordKey, Vec<u8>>)>);

fn run(rng: &mut impl Rng) -> Ran {
    let disk = Disk::default();
    let (mut memory, _) = RecordStore::with_backend(disk.clone(), &who()).unwrap();
    let mut acknowledged = vec![(disk.done(), BTreeMap::new())];
    let mut truth: BTreeMap<RecordKey, Vec<u8>> = BTreeMap::new();
    for i in 0..6_u32 {
        let mut batch = Batch::default();
        for _ in 0..rng.random_range(1..12) {
            let key = rng.random_range(0..20).to_string();
            if rng.random_bool(0.25) {
                batch.remove("object", &key);
                truth.remove(&("object".into(), key));
            } else {
                let value = vec![i as u8; rng.random_range(1..3_000)];
                batch.put("object", &key, value.clone()).unwrap();
                truth.insert(("object".into(), key), value);
            }
        }
        memory.write(&batch).unwrap();
        acknowledged.push((disk.done(), truth.clone()));
    }
    let ops = disk.0.lock().unwrap().1.clone();
    (ops, acknowledged)
}

/// What a disk holds after a cut: all that was synced, and of what was not a part, in some order, one of it torn.
fn after_cut(ops: &[Op], how: u32, rng: &mut impl Rng) -> Vec<u8> {
    let synced = ops
        .iter()
        .rposition(|op| matches!(op, Op::Sync))
        .map_or(0, |at| at + 1);
    let mut bytes = Vec::new();
    ops[..synced].iter().for_each(|op| apply(&mut bytes, op));
    let mut loose: Vec<Op> = ops[synced..].to_vec();
    match how {
        0 => loose.clear(),
        1 => {}
        2 => loose.retain(|_| rng.random_bool(0.5)),
        _ => {
            for i in (1..loose.len()).rev() {
                loose.swap(i, rng.random_range(0..=i));
            }
            loose.truncate(rng.random_range(0..=loose.len()));
        }
    }
    if let Some(Op::Write(_, data)) = loose.last_mut() {
        // Sectors of 512 bytes are whole or not there.
        let sectors = data.len().div_ceil(512);
        data.truncate(rng.random_range(0..=sectors) * 512);
    }
    // A file's size is the file system's own: it does not shrink by a cut, and grows before what lies in it.
    loose.iter().for_each(|op| apply(&mut bytes, op));
    bytes
}

#[test]
fn every_cut_brings_back_all_that_was_acknowledged_and_no_half_of_a_batch() {
    let (mut cuts, mut rolled) = (0, 0);
    for seed in 0..6 {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let (ops, acknowledged) = run(&mut rng);
        let first = acknowledged[0].0;
        for cut in first..=ops.len() {
            for how in 0..4 {
                let bytes = after_cut(&ops[..cut], how, &mut rng);
                let (_, back) = match RecordStore::with_backend(Disk::of(bytes), &who()) {
                    Ok(opened) => opened,
                    Err(problem) => panic!("seed {seed}, cut {cut}, {how}: {problem}"),
                };
                let known = acknowledged
                    .iter()
                    .rposition(|(done, _)| *done <= cut)
                    .unwrap();
                // The batch that was under way may have come through, but only as a whole.
                let next = acknowledged.get(known + 1).map(|(_, truth)| truth);
                let whole = back.records == acknowledged[known].1 || Some(&back.records) == next;
                assert!(
                    whole,
                    "seed {seed}, cut {cut}, {how}: what came back is no batch's end"
                );
                assert_eq!(back.generation, 2, "the turn rises over a cut");
                (cuts, rolled) = (cuts + 1, rolled + usize::from(Some(&back.records) != next));
            }
        }
    }
    // Both kinds must have been seen, else the cuts are not where they should be.
    assert!(
        cuts > 500 && rolled > 100 && rolled < cuts,
        "{cuts} cuts, {rolled} rolled back"
    );
}

#[test]
fn a_second_cut_while_it_comes_back_changes_nothing() {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(99);
    let (ops, acknowledged) = run(&mut rng);
    let cut = ops.len() - 2;
    let known = &acknowledged
        .iter()
        .rfind(|(done, _)| *done <= cut)
        .unwrap()
        .1;
    let bytes = after_cut(&ops[..cut], 0, &mut rng);
    let disk = Disk::of(bytes.clone());
    drop(RecordStore::with_backend(disk.clone(), &who()).unwrap());
    let returning = disk.0.lock().unwrap().1.clone();
    for again in 0..=returning.len() {
        let mut all = vec![Op::Write(0, bytes.clone()), Op::Sync];
        all.extend_from_slice(&returning[..again]);
        let (_, back) =
            RecordStore::with_backend(Disk::of(after_cut(&all, 3, &mut rng)), &who()).unwrap();
        assert_eq!(
            &back.records, known,
            "after {again} operations of the first return"
        );
    }
}
