//! Which tasks wait here, and why, in the words of `tidespur-pending`. The policy says what bars a machine; this only
//! translates and counts, for tasks of one shape once.

use crate::book::{Book, EdgeId, Known, Names, Stage};
use crate::nodes::Nodes;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_config::Config;
use tidespur_pending::{Diagnosis, ReasonCode, ReasonDraft, ReasonPublisher, SpreadLimit};
use tidespur_planner_protocol::ToEdge;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{FilterReason, PendingDiagnosis, RetryBlocker, TaskId};

/// Tasks that wait are looked at this often: no reason that is told is older than this and one way of the link,
/// while what waits has no more shapes than [`LOOKS_MOST`] allows.
const LOOK_EVERY: f64 = 0.25;
/// Machines that are asked about in one look; beyond, shapes take turns.
const LOOKS_MOST: usize = 10_000;
/// An unchanged word is repeated this often.
const REPEAT: f64 = 2.0;
/// Words in one go.
const WORDS_MOST: usize = 1_024;

/// Tasks with the same chances: service, class, sizes, and the uid where earlier attempts bind it.
type Shape = (String, String, u64, u64, Option<String>);

/// What is known of a shape, and when it was found out.
#[derive(Debug)]
struct Found {
    at: f64,
    diagnosis: Arc<Diagnosis>,
    until: f64,
    next_look: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Waits {
    look_at: f64,
    tellers: BTreeMap<EdgeId, ReasonPublisher>,
    shapes: BTreeMap<Shape, Found>,
}

impl Waits {
    /// An edge is lost, and what it was told with it.
    pub(crate) fn forget(&mut self, edge: EdgeId) {
        self.tellers.remove(&edge);
    }

    /// Looks at what waits, if that is due.
    pub(crate) fn look(
        &mut self,
        now: f64,
        scheduler: &Scheduler,
        config: &Config,
        (book, nodes, names): (&Book, &Nodes, &Names),
    ) -> Vec<(EdgeId, ToEdge)> {
        if now < self.look_at {
            return vec![];
        }
        self.look_at = now + LOOK_EVERY;
        let waits: Vec<(TaskId, &Known, Shape)> = book
            .iter()
            .filter(|(_, known)| matches!(known.stage, Stage::Open | Stage::Out { .. }))
            .map(|(id, known)| (id, known, shape(known)))
            .collect();
        if waits.is_empty() && self.tellers.is_empty() {
            return vec![];
        }
        self.refresh(now, scheduler, config, &waits, nodes, names);
        let none = Arc::new(Diagnosis::default());
        let mut drafts: BTreeMap<EdgeId, Vec<ReasonDraft<'_>>> =
            self.tellers.keys().map(|edge| (*edge, vec![])).collect();
        for (_, known, shape) in &waits {
            let out = match &known.stage {
                Stage::Out { node, .. } => Some(node.as_str()),
                _ => None,
            };
            let found = self.shapes.get(shape);
            if found.is_none() && out.is_none() {
                continue;
            }
            drafts.entry(known.edge).or_default().push(ReasonDraft {
                uid: &known.ask.uid,
                diagnosis: found.map_or(&none, |found| &found.diagnosis),
                offered_to: out,
                node_answers: &known.answers,
                sendable_for: found.map_or(0.0, |found| found.until - now),
                next_attempt_in: found.map_or(0.0, |found| (found.next_look - now).max(0.0)),
            });
        }
        let mut out = Vec::new();
        for (edge, drafts) in drafts {
            let new = || ReasonPublisher::new(2.0 * LOOK_EVERY, REPEAT, WORDS_MOST);
            let teller = self.tellers.entry(edge).or_insert_with(new);
            let due = teller.step(now, drafts);
            if teller.is_empty() {
                self.tellers.remove(&edge);
            }
            if !due.is_empty() {
                out.push((edge, ToEdge::PendingReasons(due)));
            }
        }
        out
    }

    /// Finds out anew about each shape that waits, those found out longest ago first, within the bound.
    fn refresh(
        &mut self,
        now: f64,
        scheduler: &Scheduler,
        config: &Config,
        waits: &[(TaskId, &Known, Shape)],
        nodes: &Nodes,
        names: &Names,
    ) {
        let mut wanted: BTreeMap<&Shape, TaskId> = BTreeMap::new();
        for (id, _, shape) in waits
            .iter()
            .filter(|(_, known, _)| known.stage == Stage::Open)
        {
            wanted.entry(shape).or_insert(*id);
        }
        self.shapes.retain(|shape, _| wanted.contains_key(shape));
        let at = |shape: &Shape| {
            self.shapes
                .get(shape)
                .map_or(f64::NEG_INFINITY, |found| found.at)
        };
        let mut order: Vec<(f64, &Shape, TaskId)> = wanted
            .into_iter()
            .map(|(shape, id)| (at(shape), shape, id))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = LOOKS_MOST;
        for (_, shape, id) in order {
            let Some(waiting) = scheduler.explain(now, id) else {
                continue;
            };
            let limit = config.class_or_default(&shape.1).and_then(|class| {
                let place = format!("{:?}", class.spread_domain?).to_lowercase();
                Some(SpreadLimit {
                    domain: place,
                    max_tasks: class.max_per_spread_domain,
                })
            });
            let diagnosis = diagnose(now, &waiting, limit, nodes, names);
            let diagnosis = match self.shapes.get(shape) {
                Some(old) if *old.diagnosis == diagnosis => old.diagnosis.clone(),
                _ => Arc::new(diagnosis),
            };
            let (until, next_look) = (waiting.send_deadline, waiting.next_attempt_at);
            self.shapes.insert(
                shape.clone(),
                Found {
                    at: now,
                    diagnosis,
                    until,
                    next_look,
                },
            );
            left = left.saturating_sub(waiting.machine_count.max(1));
            if left == 0 {
                return;
            }
        }
    }
}

fn shape(known: &Known) -> Shape {
    let ask = &known.ask;
    // What earlier attempts bind, and how long it can be sent, is its own.
    let own = (known.attempts > 0 && !known.safe).then(|| ask.uid.clone());
    (
        ask.service.clone(),
        ask.class.clone(),
        ask.cores.to_bits(),
        ask.memory.to_bits(),
        own,
    )
}

/// The policy's words as a diagnosis.
fn diagnose(
    now: f64,
    waiting: &PendingDiagnosis,
    limit: Option<SpreadLimit>,
    nodes: &Nodes,
    names: &Names,
) -> Diagnosis {
    let block = waiting.blocker.map(|block| match block {
        RetryBlocker::AttemptsExhausted => ReasonCode::AttemptsUsed,
        RetryBlocker::MayHaveRun => ReasonCode::MayHaveRun,
        RetryBlocker::DeduplicationWindowElapsed => ReasonCode::WindowOver,
        RetryBlocker::DeadlineExceeded => ReasonCode::GivesUp,
    });
    let mut diagnosis = Diagnosis {
        node_count: waiting.machine_count as u32,
        blocker: block,
        ..Diagnosis::default()
    };
    for (machine, bar) in &waiting.rejections {
        let node = names.of(*machine).unwrap_or("");
        let zone = nodes.0.get(node).map_or("", |node| node.zone.as_str());
        let (code, short) = match *bar {
            FilterReason::NotListed
                if nodes
                    .0
                    .get(node)
                    .is_some_and(|node| node.listed && !node.is_known()) =>
            {
                (ReasonCode::Unheard, 0.0)
            }
            FilterReason::NotListed => (ReasonCode::Unlisted, 0.0),
            FilterReason::Draining => (ReasonCode::Draining, 0.0),
            FilterReason::MachineTypeMismatch => (ReasonCode::WrongKind, 0.0),
            FilterReason::OutsideDeduplicationDomain => (ReasonCode::OutsideGroup, 0.0),
            FilterReason::SlowStart => (ReasonCode::ColdBudget, 0.0),
            FilterReason::SpreadLimit(_) => (ReasonCode::Spread, 0.0),
            FilterReason::CircuitOpen(until) => (ReasonCode::SetAside, (until - now).max(0.0)),
            FilterReason::TooManyOffersInFlight => (ReasonCode::Line, 0.0),
            FilterReason::InsufficientCpu(short) => (ReasonCode::Cores, short),
            FilterReason::InsufficientMemory(short) => (ReasonCode::Memory, short),
        };
        // Nodes that left the list are no nodes any more, as far as an owner is concerned.
        if code == ReasonCode::Unlisted {
            diagnosis.node_count = diagnosis.node_count.saturating_sub(1);
            continue;
        }
        diagnosis.add_rejection(node, zone, code, short);
    }
    if diagnosis.rejections.contains_key(&ReasonCode::Spread) {
        diagnosis.spread_limit = limit;
    }
    diagnosis
}
