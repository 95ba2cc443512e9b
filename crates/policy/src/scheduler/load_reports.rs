//! Handlers for load reports, which come with outcomes and polls.

use super::Scheduler;
use super::estimates::TASK_WEIGHT;
use super::machine_state::PartialResources;
use crate::interface::{LoadReport, MachineId, Seconds};

impl Scheduler {
    /// Processes the result of a poll; `None` if it failed.
    pub(super) fn load_polled(&mut self, now: Seconds, id: MachineId, report: Option<LoadReport>) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        machine.last_poll_at = now;
        if let Some(report) = report {
            self.record_load_report(now, id, &report);
        }
    }

    pub(super) fn record_load_report(&mut self, now: Seconds, id: MachineId, report: &LoadReport) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        machine.last_report_at = now;
        let free = PartialResources {
            cpu: report.free_cpu,
            memory: report.free_memory,
        };
        let taken = free.zip_with(machine.capacity, |free, capacity| capacity - free);
        if self.settings.reports_measured_usage {
            let requested = machine.observable_requests(now);
            let ratios = machine.record_usage(taken, requested);
            if let Some(ratio) = ratios.cpu {
                self.estimates.usage.cpu.record(ratio, TASK_WEIGHT);
            }
            if let Some(ratio) = ratios.memory {
                self.estimates.usage.memory.record(ratio, TASK_WEIGHT);
            }
        } else {
            machine.record_requested(now, taken);
            let used = PartialResources {
                cpu: report
                    .cpu_utilization
                    .map(|utilization| utilization * machine.capacity.cpu),
                memory: None,
            };
            let requested = machine.requested();
            machine.record_usage(used, requested);
        }
    }
}
