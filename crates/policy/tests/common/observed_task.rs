//! The state of a task, derived from the events and actions of its scheduler.

use tidespur_policy::interface::{AttemptOutcome, MachineId, Seconds, Task};

/// A task and its attempts.
#[derive(Debug)]
pub struct ObservedTask {
    pub task: Task,
    pub attempts: Vec<Attempt>,
    /// Whether the final answer was given or is no longer owed.
    pub answered: bool,
    pub confirmed: bool,
}

/// One offer of a task and its outcome.
#[derive(Debug)]
pub struct Attempt {
    pub machine: MachineId,
    pub sent_at: Seconds,
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        let never_ran = matches!(
            self.outcome,
            Some(
                AttemptOutcome::Rejected(_)
                    | AttemptOutcome::ConnectFailed
                    | AttemptOutcome::NeverSent
            )
        );
        !never_ran
    }
}

impl ObservedTask {
    pub fn new(task: &Task) -> Self {
        Self {
            task: task.clone(),
            attempts: vec![],
            answered: false,
            confirmed: false,
        }
    }

    pub fn adopted(task: &Task, machine: MachineId, now: Seconds) -> Self {
        let attempt = Attempt {
            machine,
            sent_at: now,
            outcome: None,
        };
        Self {
            attempts: vec![attempt],
            answered: true,
            confirmed: true,
            ..Self::new(task)
        }
    }

    /// The first attempt in which the task may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// The number of the last attempt if it has no outcome yet.
    pub fn open_attempt(&self) -> Option<u32> {
        let last = self.attempts.last()?;
        let attempt = self.attempts.len() as u32 - 1;
        last.outcome.is_none().then_some(attempt)
    }

    /// Records the final answer, of which there must be only one.
    pub fn answer(&mut self) {
        assert!(!self.answered, "{:?} was answered twice", self.task.id);
        self.answered = true;
    }
}
