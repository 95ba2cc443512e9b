//! One Pod's worth of work, and at most one Pod that may run for it.

use crate::{PodEnd, PodPhase, PodView, Settings};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tidespur_planner_protocol::{Location, TerminationReason};

/// Names a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotId {
    /// Uid of the Job.
    pub job: String,
    /// Number in the Job.
    pub number: u32,
}

/// What runs already at a node and is to be taken over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// The node.
    pub node: String,
    /// What it is called there.
    pub name: String,
}

/// How far a slot is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// A Pod is due at this time.
    Idle {
        at: f64,
        returned: bool,
        adopt: Option<Adopt>,
    },
    /// A Pod is being made.
    Making,
    /// This Pod stands for it.
    Active { pod: PodView },
    /// This Pod may run though it was answered as unknown or lost; nothing may be sent before that is settled.
    Settling {
        pod: PodView,
        ask_at: f64,
        asked: bool,
        unclear: u32,
        unwanted: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) state: State,
    /// Troubles in a row.
    pub(crate) troubles: u32,
}

/// What the end of a slot's Pod comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The slot's work is done.
    Done,
    /// Its program failed: that counts against the Job, and it is tried again.
    RunFailed,
    /// It is asked for again.
    Again,
    /// Not settled yet.
    Open,
}

/// The longest pause between two questions about a Pod that stays unclear.
const UNCLEAR_MOST: f64 = 30.0;

impl Slot {
    pub(crate) fn new(now: f64) -> Self {
        Self {
            state: State::Idle {
                at: now,
                returned: false,
                adopt: None,
            },
            troubles: 0,
        }
    }

    /// The Pod that stands for it.
    pub(crate) fn pod(&self) -> Option<&PodView> {
        match &self.state {
            State::Active { pod } | State::Settling { pod, .. } => Some(pod),
            _ => None,
        }
    }

    /// The slot's Pod came to an end. Of guarded classes one that may run is settled first; the same wait follows
    /// the loss of a node, as one that is only cut off runs on.
    pub(crate) fn ended(
        &mut self,
        now: f64,
        pod: &PodView,
        end: PodEnd,
        guarded: bool,
        set: &Settings,
        rng: &mut impl Rng,
    ) -> Verdict {
        let pause = match end {
            PodEnd::Succeeded => return Verdict::Done,
            PodEnd::Unknown | PodEnd::Lost if guarded => {
                let (pod, ask_at) = (pod.clone(), now + set.settle);
                self.state = State::Settling {
                    pod,
                    ask_at,
                    asked: false,
                    unclear: 0,
                    unwanted: false,
                };
                return Verdict::Open;
            }
            PodEnd::Lost | PodEnd::Moved => set.pauses.draw_lost(rng),
            _ => set.pauses.draw(self.troubles, rng),
        };
        self.troubles += 1;
        self.state = State::Idle {
            at: now + pause,
            returned: true,
            adopt: None,
        };
        if end == PodEnd::Failed {
            Verdict::RunFailed
        } else {
            Verdict::Again
        }
    }

    /// What was found of a Pod that was being settled. Only a clear word ends the settling: a slot of a guarded
    /// class waits for as long as a node that may hold its Pod can't be heard. Harm: a node that is cut off for
    /// good and stays listed holds the slot until it leaves the list.
    pub(crate) fn found(
        &mut self,
        now: f64,
        found: Location,
        set: &Settings,
        rng: &mut impl Rng,
    ) -> Verdict {
        let State::Settling {
            pod,
            ask_at,
            asked,
            unclear,
            ..
        } = &mut self.state
        else {
            return Verdict::Open;
        };
        match found {
            Location::At(node) => {
                let adopt = Some(Adopt {
                    node,
                    name: pod.known_as.clone(),
                });
                self.state = State::Idle {
                    at: now,
                    returned: true,
                    adopt,
                };
                Verdict::Again
            }
            Location::Ended(TerminationReason::Succeeded) => Verdict::Done,
            Location::Ended(TerminationReason::Failed) => {
                self.again(now + set.pauses.draw(self.troubles, rng));
                Verdict::RunFailed
            }
            Location::Ended(_) | Location::NotFound => {
                self.again(now + set.pauses.draw_lost(rng));
                Verdict::Again
            }
            Location::Unknown => {
                *asked = false;
                *unclear += 1;
                let pause = (set.settle.max(0.1) * f64::from(*unclear)).min(UNCLEAR_MOST);
                *ask_at = now + pause * rng.random_range(0.5..=1.0);
                Verdict::Open
            }
        }
    }

    fn again(&mut self, at: f64) {
        self.troubles += 1;
        self.state = State::Idle {
            at,
            returned: true,
            adopt: None,
        };
    }

    /// In which order slots are given up when a Job shrinks: what has not begun first. One that is being settled
    /// or made can't be given up.
    pub(crate) fn keep_rank(&self) -> Option<u32> {
        match &self.state {
            State::Idle { adopt: None, .. } => Some(0),
            State::Active { pod } if pod.phase == PodPhase::Waiting => Some(1),
            State::Active { pod } if pod.phase == PodPhase::Placed => Some(2),
            State::Active { .. } => Some(3),
            _ => None,
        }
    }
}
