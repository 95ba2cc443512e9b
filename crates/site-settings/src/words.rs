//! Load reports, reasons, news and ids: the words that the simulator and the platform share.

use std::collections::BTreeMap;
use tidespur_policy::interface::{AttemptProgress, FailureCause, LoadReport};

/// A load report; figures that are none, or not known, are left out.
pub fn load_report(values: BTreeMap<String, f64>) -> LoadReport {
    let get = |name: &str| values.get(name).copied().filter(|v| v.is_finite());
    let waiting = get("q").or_else(|| get("queue"));
    LoadReport {
        free_cpu: get("x0"),
        free_memory: get("x1"),
        queued: waiting,
        cpu_utilization: get("busy"),
    }
}

/// The reason with this number in an outcome; 0, or a number not known: not told.
pub fn failure_cause(remark: u32) -> FailureCause {
    match remark {
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

/// The news of this number on a running attempt; `None` for a number not known.
pub fn attempt_progress(sort: u32, level: f64) -> Option<AttemptProgress> {
    Some(match sort {
        1 => AttemptProgress::Started,
        2 => AttemptProgress::CpuUsage(level),
        3 => AttemptProgress::MemoryUsage(level),
        4 => AttemptProgress::ServiceLevel(level),
        5 => AttemptProgress::MachineMemoryUtilization(level),
        _ => return None,
    })
}

/// FNV-1a: the same number for a text at every instance.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
