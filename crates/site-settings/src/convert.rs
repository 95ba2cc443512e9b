//! Conversions of single values that the simulator and the operators' platform have in common: load reports, failure
//! causes, progress of attempts, and ids.

use std::collections::BTreeMap;
use tidespur_policy::interface::{AttemptProgress, FailureCause, LoadReport};

/// Start value of the 64-bit FNV hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A load report from named values; values that are not finite and unknown names are ignored.
pub fn load_report(values: &BTreeMap<String, f64>) -> LoadReport {
    let get = |name: &str| values.get(name).copied().filter(|v| v.is_finite());
    let waiting = get("q").or_else(|| get("queue"));
    LoadReport {
        free_cpu: get("x0"),
        free_memory: get("x1"),
        queued: waiting,
        cpu_utilization: get("busy"),
    }
}

/// The failure cause with this number in an outcome; unspecified for 0 and for unknown numbers.
pub fn failure_cause(number: u32) -> FailureCause {
    match number {
        1 => FailureCause::InsufficientCpu,
        2 => FailureCause::InsufficientMemory,
        3 => FailureCause::QueueFull,
        4 => FailureCause::NotEligible,
        5 => FailureCause::Evicted,
        6 => FailureCause::Preempted,
        7 => FailureCause::Drained,
        _ => FailureCause::Unspecified,
    }
}

/// The progress of an attempt with this number; `None` for an unknown number.
pub fn attempt_progress(number: u32, level: f64) -> Option<AttemptProgress> {
    Some(match number {
        1 => AttemptProgress::Started,
        2 => AttemptProgress::CpuUsage(level),
        3 => AttemptProgress::MemoryUsage(level),
        4 => AttemptProgress::ServiceLevel(level),
        5 => AttemptProgress::MachineMemoryUtilization(level),
        _ => return None,
    })
}

/// A hash of a text that is the same in every process: FNV-1a with 64 bits (Fowler, Noll, Vo).
pub fn stable_hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    text.bytes().fold(FNV_OFFSET_BASIS, step)
}
