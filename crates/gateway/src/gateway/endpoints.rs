//! Applies watch events of the endpoint list to the pool and the policy.

use super::{Gateway, KnownMachine, Output};
use crate::discovery::{ListedEndpoint, WatchEvent};
use tidespur_policy::interface::{EndpointStatus, Event, Seconds};

impl Gateway {
    /// Applies a watch event. One with a revision that is not newer than the last is skipped, as a stream may repeat
    /// events, and two streams may deliver the same ones.
    pub(super) fn endpoints_delivered(
        &mut self,
        now: Seconds,
        event: WatchEvent,
        outputs: &mut Vec<Output>,
    ) {
        if event.revision <= self.last_revision && self.last_revision > 0 {
            return;
        }
        self.last_revision = event.revision;
        let mut pool_events = Vec::new();
        let mut endpoints = Vec::new();
        let mut withdrawn = Vec::new();
        if event.is_complete_list {
            let listed = event
                .endpoints
                .iter()
                .map(|listed| listed.endpoint.machine)
                .collect();
            withdrawn.extend(self.pool.mark_unlisted_gone(&listed));
        }
        for listed in event.endpoints {
            if listed.endpoint.status != EndpointStatus::Ready {
                withdrawn.push(listed.endpoint.machine);
            }
            endpoints.push(listed.endpoint.clone());
            self.endpoint_listed(now, listed, outputs);
        }
        for machine in withdrawn {
            self.with_pool(outputs, |pool, actions| {
                pool.withdraw_unsent(now, machine, actions, &mut pool_events);
            });
        }
        self.with_pool(outputs, |pool, actions| {
            pool.replace_machines(now, actions, &mut pool_events);
        });
        self.handle_pool_events(now, pool_events, outputs);
        self.events.push(if event.is_complete_list {
            Event::EndpointsListed(endpoints)
        } else {
            Event::EndpointsChanged(endpoints)
        });
    }

    /// Records an endpoint. A machine that has restarted since it was last listed has lost the tasks placed on it.
    fn endpoint_listed(&mut self, now: Seconds, listed: ListedEndpoint, outputs: &mut Vec<Output>) {
        let machine = listed.endpoint.machine;
        let is_gone = listed.endpoint.status == EndpointStatus::Gone;
        let started_at = listed.endpoint.started_at;
        self.pool
            .endpoint_listed(now, machine, &listed.address, is_gone);
        let listed = KnownMachine {
            name: listed.name,
            started_at,
        };
        let previous = self.machines.insert(machine, listed);
        if let (Some(previous), Some(start)) = (previous, started_at)
            && previous
                .started_at
                .is_none_or(|previous_start| start > previous_start)
        {
            self.machine_failed(machine, start, outputs);
        }
    }
}
