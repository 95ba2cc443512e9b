//! The reasons of one task over time.

use crate::{Code, Source, Word};
use serde::Serialize;
use std::collections::VecDeque;

/// Closed spans that are kept of one task.
pub const SPANS_MOST: usize = 24;

/// One reason, from when to when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// The reason.
    pub code: Code,
    /// Whose doing.
    pub source: Source,
    /// It was first seen then.
    pub first: f64,
    /// It was last seen then.
    pub last: f64,
    /// It was seen anew so often: a reason that comes and goes is one span, as an Event with a count is.
    pub count: u32,
    /// Nodes that it ruled out when last seen.
    pub nodes: u32,
    /// It does not hold any more.
    pub over: bool,
}

/// A task that waits.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    /// Namespace.
    pub namespace: String,
    /// Pod.
    pub pod: String,
    /// Job or Pod that it belongs to.
    pub service: String,
    /// Class, as it named it.
    pub class: String,
    /// Cores and memory units that it asks for.
    pub asks: [f64; 2],
    /// It waits since then.
    pub since: f64,
    /// When its reasons were last told.
    pub seen: f64,
    /// Reasons that hold, the weightiest first.
    pub codes: Vec<Code>,
    /// For people.
    pub message: String,
    /// What would have to change.
    pub hint: Option<String>,
    /// What its planner told last.
    pub word: Option<Word>,
    /// Reasons over time, by when they were first seen.
    pub spans: VecDeque<Span>,
}

impl Record {
    /// Takes in which reasons hold now.
    pub(crate) fn hold(&mut self, now: f64, codes: Vec<Code>, nodes: impl Fn(Code) -> u32) {
        for span in &mut self.spans {
            if !codes.contains(&span.code) {
                span.over = true;
            }
        }
        for &code in &codes {
            match self.spans.iter_mut().find(|span| span.code == code) {
                Some(span) => {
                    span.count += u32::from(span.over);
                    (span.last, span.over, span.nodes) = (now, false, nodes(code));
                }
                None => {
                    if self.spans.len() >= SPANS_MOST {
                        // There are fewer codes than this today; the bound holds all the same.
                        self.spans.pop_front();
                    }
                    let source = code.source();
                    let nodes = nodes(code);
                    self.spans.push_back(Span {
                        code,
                        source,
                        first: now,
                        last: now,
                        count: 1,
                        nodes,
                        over: false,
                    });
                }
            }
        }
        (self.codes, self.seen) = (codes, now);
    }
}
