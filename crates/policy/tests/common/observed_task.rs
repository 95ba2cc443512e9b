//! A task as the events and actions of its scheduler tell of it.

use tidespur_policy::interface::{AttemptOutcome, MachineId, Seconds, Task};

/// A task and its attempts.
#[derive(Debug)]
pub struct ObservedTask {
    pub task: Task,
    pub attempts: Vec<Attempt>,
    /// The final answer was given, or none is owed any more.
    pub answered: bool,
    pub confirmed: bool,
}

/// An offer of a task.
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

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// The number of the last attempt, if it has no outcome yet.
    pub fn open_attempt(&self) -> Option<u32> {
        let last = self.attempts.last()?;
        let attempt = self.attempts.len() as u32 - 1;
        last.outcome.is_none().then_some(attempt)
    }

    /// The one final answer is given.
    pub fn answer(&mut self) {
        assert!(!self.answered, "{:?} was answered twice", self.task.id);
        self.answered = true;
    }
}
