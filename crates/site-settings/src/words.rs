//! Load reports, reasons, news and ids: the words that the simulator and the platform share.

use std::collections::BTreeMap;
use tidespur_policy::interface::{Note, Report, Why};

/// A load report; figures that are none, or not known, are left out.
pub fn report_of(values: BTreeMap<String, f64>) -> Report {
    let get = |name: &str| values.get(name).copied().filter(|v| v.is_finite());
    let waiting = get("q").or_else(|| get("queue"));
    Report {
        free_cores: get("x0"),
        free_memory: get("x1"),
        waiting,
        busy: get("busy"),
    }
}

/// The reason with this number in an outcome; 0, or a number not known: not told.
pub fn why_of(remark: u32) -> Why {
    match remark {
        1 => Why::Cores,
        2 => Why::Memory,
        3 => Why::Queue,
        4 => Why::NotHere,
        5 => Why::Evicted,
        6 => Why::PushedOut,
        7 => Why::SentAway,
        _ => Why::Unknown,
    }
}

/// The news of this number on a running attempt; `None` for a number not known.
pub fn note_of(sort: u32, level: f64) -> Option<Note> {
    Some(match sort {
        1 => Note::Runs,
        2 => Note::UsesCores(level),
        3 => Note::UsesMemory(level),
        4 => Note::Served(level),
        5 => Note::MachineMemory(level),
        _ => return None,
    })
}

/// FNV-1a: the same number for a text at every instance.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
