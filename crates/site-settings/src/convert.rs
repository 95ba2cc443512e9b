//! Conversions of values that the simulator and the operators' platform encode alike: load reports, failure causes,
//! progress of attempts, and ids.

use std::collections::BTreeMap;
use tidespur_policy::interface::{AttemptProgress, FailureCause, LoadReport};

/// Initial value of the 64-bit FNV hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Converts the named values of a load report; values that are not finite and unknown names are ignored.
pub fn load_report(values: &BTreeMap<String, f64>) -> LoadReport {
    let get = |name: &str| values.get(name).copied().filter(|v| v.is_finite());
    LoadReport {
        free_cpu: get("x0"),
        free_memory: get("x1"),
        queued: get("q").or_else(|| get("queue")),
        cpu_utilization: get("busy"),
    }
}

/// Converts the code of a failure cause in an outcome; `Unspecified` for 0 and for unknown codes.
pub fn failure_cause(code: u32) -> FailureCause {
    match code {
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

/// Converts the progress of an attempt, which has a code and a value; `None` for an unknown code.
pub fn attempt_progress(code: u32, level: f64) -> Option<AttemptProgress> {
    Some(match code {
        1 => AttemptProgress::Started,
        2 => AttemptProgress::CpuUsage(level),
        3 => AttemptProgress::MemoryUsage(level),
        4 => AttemptProgress::ServiceLevel(level),
        5 => AttemptProgress::MachineMemoryUtilization(level),
        _ => return None,
    })
}

/// Hashes a text with 64-bit FNV-1a (Fowler, Noll, Vo). The result is the same in every process and build.
pub fn stable_hash(text: &str) -> u64 {
    let hash_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    text.bytes().fold(FNV_OFFSET_BASIS, hash_byte)
}
