//! Accounting of offered and placed tasks in the state of their machine, the placement counts and the program cache.
//! Called by placement and event handlers.

use super::Scheduler;
use super::machine_state::Reservation;
use super::task_record::TaskState;
use crate::interface::{Seconds, TaskId};

impl Scheduler {
    /// Reserves resources for an offered or adopted task on its machine.
    pub(super) fn reserve(&mut self, now: Seconds, id: TaskId) {
        let Some(record) = self.tasks.get(&id) else {
            return;
        };
        let service = record.task.service;
        let machine_id = record.machine;
        let has_cached_program = self.has_cached_program(now, service, machine_id);
        let start_work = if has_cached_program {
            1.0
        } else {
            self.estimates.start_time.uncached_work()
        };
        let Some(record) = self.tasks.get_mut(&id) else {
            return;
        };
        record.had_cached_program = has_cached_program;
        self.placement_counts.increment(service, machine_id);
        self.programs.record_use(service, machine_id);
        let is_placed = record.state != TaskState::Offered;
        let request = record.task.request;
        let machine = self.machines.entry(machine_id).or_default();
        let starts_alone = machine.reservations.values().all(|other| other.is_running);
        let reservation = Reservation {
            request,
            expected_end: now + self.estimates.duration_of(&record.task),
            sent_at: now,
            is_confirmed: is_placed,
            is_running: is_placed,
            start_work,
            starts_alone,
        };
        machine.reservations.insert(id, reservation);
        machine.change_own_requests(now, request);
        if is_placed {
            machine.adopt_request(request);
        }
    }

    /// Releases what [`Self::reserve`] reserved.
    pub(super) fn release(&mut self, now: Seconds, id: TaskId) {
        let Some(record) = self.tasks.get(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&record.machine) else {
            return;
        };
        machine.reservations.remove(&id);
        machine.change_own_requests(now, -record.task.request);
        let service = record.task.service;
        if self.placement_counts.decrement(service, record.machine) {
            self.programs.record_last_end(now, service, record.machine);
        }
    }
}
