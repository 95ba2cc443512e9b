//! The queue of pending tasks: those to place in this step, and those that wait for the next retry because no machine
//! was found. Owned by the scheduler.

use super::task_record::FINAL_ANSWER_MARGIN;
use crate::interface::{Seconds, TaskId};

/// The retry interval of a short queue, in seconds.
const RETRY_INTERVAL: Seconds = 0.05;

/// The number of waiting tasks for which the retry interval grows by `RETRY_INTERVAL`, as each retry costs CPU time.
const TASKS_PER_INTERVAL: f64 = 200.0;

/// Pending tasks, by their ids.
#[derive(Debug)]
pub(super) struct PendingQueue {
    /// Tasks to place in this step.
    ready: Vec<TaskId>,
    /// Tasks for which no machine was found.
    unplaced: Vec<TaskId>,
    /// When `unplaced` tasks are retried; infinite if there are none.
    retry_at: Seconds,
}

impl PendingQueue {
    pub(super) const fn new() -> Self {
        Self {
            ready: Vec::new(),
            unplaced: Vec::new(),
            retry_at: f64::INFINITY,
        }
    }

    /// Adds a task to place in this step.
    pub(super) fn push(&mut self, task: TaskId) {
        self.ready.push(task);
    }

    /// Removes and returns all tasks that are to be placed now.
    pub(super) fn take_due(&mut self, now: Seconds) -> Vec<TaskId> {
        let mut due = std::mem::take(&mut self.ready);
        if now >= self.retry_at {
            due.append(&mut self.unplaced);
            self.retry_at = f64::INFINITY;
        }
        due
    }

    /// Keeps a task for which no machine was found. The next retry is early enough for its deadline.
    pub(super) fn defer(&mut self, now: Seconds, task: TaskId, deadline: Seconds) {
        let interval = RETRY_INTERVAL * (1.0 + self.unplaced.len() as f64 / TASKS_PER_INTERVAL);
        self.retry_at = self
            .retry_at
            .min(now + interval)
            .min(deadline - FINAL_ANSWER_MARGIN);
        self.unplaced.push(task);
    }

    /// When waiting tasks are retried; infinite if there are none.
    pub(super) const fn retry_at(&self) -> Seconds {
        self.retry_at
    }

    /// The number of tasks that wait for the next retry.
    pub(super) const fn unplaced_count(&self) -> usize {
        self.unplaced.len()
    }
}
