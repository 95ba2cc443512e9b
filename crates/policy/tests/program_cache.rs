//! Cached programs: gossip between schedulers, the preferred machines of a service, and start times with and without a
//! cached program.

mod common;

use common::{
    CheckedScheduler, confirmed, endpoint, endpoints_listed, idempotent_settings, offers, started,
    submitted, task,
};
use std::collections::BTreeSet;
use tidespur_policy::interface::{
    Action, Endpoint, Event, MachineId, Resources, Seconds, ServiceId, Task,
};

fn task_of(service: u64, id: u64, deadline: Seconds) -> Task {
    Task {
        service: ServiceId(service),
        ..task(id, 0, deadline)
    }
}

/// Starts without a cached program were mostly late, so programs that other schedulers announce attract tasks.
#[test]
fn programs_announced_by_gossip_attract_tasks() {
    let mut settings = idempotent_settings();
    settings.allows_gossip = true;
    let adopted = Event::TaskAdopted(task_of(7, 1, 9.0), MachineId(9));
    let mut sender = CheckedScheduler::new(settings.clone(), 1);
    let actions = sender.step(1.0, vec![endpoints_listed(12), adopted.clone()]);
    let message = actions.iter().find_map(|action| match action {
        Action::Gossip(bytes) => Some(bytes.clone()),
        _ => None,
    });
    let mut receiver = CheckedScheduler::new(settings.clone(), 2);
    receiver.step(1.0, vec![endpoints_listed(12)]);
    let message = message.expect("the program was not announced");
    let mut events = vec![Event::GossipReceived(message)];
    events.extend((2..5).map(|id| Event::TaskSubmitted(task_of(7, id, 9.0))));
    let sent = offers(&receiver.step(1.1, events));
    let machines: Vec<MachineId> = sent.iter().map(|offer| offer.1).collect();
    assert_eq!(machines, [MachineId(9); 3]);

    settings.allows_gossip = false;
    let mut without_gossip = CheckedScheduler::new(settings, 1);
    let actions = without_gossip.step(1.0, vec![endpoints_listed(12), adopted]);
    assert!(!actions.iter().any(|a| matches!(a, Action::Gossip(_))));
}

/// Without gossip, schedulers with different seeds choose from the same few machines for a service.
#[test]
fn schedulers_agree_on_preferred_machines() {
    let mut machines = BTreeSet::new();
    for seed in 0..20 {
        let mut checked = CheckedScheduler::new(idempotent_settings(), seed);
        let actions = checked.step(1.0, vec![endpoints_listed(12), submitted(1, 7.0)]);
        machines.insert(offers(&actions)[0].1);
    }
    assert!(machines.len() <= 2, "{machines:?}");
}

#[test]
fn malformed_gossip_is_ignored() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(
        1.0,
        vec![
            Event::GossipReceived(vec![1, 2, 3]),
            Event::GossipReceived(vec![]),
            Event::GossipReceived(vec![255; 256]),
        ],
    );
}

/// Start times with and without a cached program are learned separately, however similar they are. When they were
/// mixed, cached programs had no effect on the choice of a machine.
#[test]
fn cached_programs_are_preferred_after_many_fast_starts() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(1.0, vec![endpoints_listed(12)]);
    let mut now = 1.0;
    for id in 0..60 {
        now += 1.0;
        let submitted = Event::TaskSubmitted(task_of(id, id, now + 6.0));
        checked.step(now, vec![submitted]);
        checked.step(now + 0.02, vec![confirmed(id)]);
        checked.step(now + 0.15, vec![started(id)]);
    }
    let adopted = Event::TaskAdopted(task_of(777, 900, now + 9.0), MachineId(3));
    checked.step(now + 1.0, vec![adopted]);
    let submitted = (901..904).map(|id| Event::TaskSubmitted(task_of(777, id, now + 9.0)));
    let sent = offers(&checked.step(now + 1.1, submitted.collect()));
    assert!(sent.iter().all(|offer| offer.1 == MachineId(3)), "{sent:?}");
}

/// Submits a task every 10 s, with a given start time.
struct StartSequence {
    checked: CheckedScheduler,
    now: Seconds,
}

impl StartSequence {
    /// Submits and starts one task. Returns its machine.
    fn start(&mut self, id: u64, service: u64, start_time: Seconds) -> MachineId {
        self.now += 10.0;
        let submitted = Event::TaskSubmitted(task_of(service, id, self.now + 6.0));
        let sent = offers(&self.checked.step(self.now, vec![submitted]));
        self.checked.step(self.now + 0.02, vec![confirmed(id)]);
        self.checked.step(self.now + start_time, vec![started(id)]);
        sent[0].1
    }
}

/// Starts that are queued behind those of other schedulers must not count as normal start times. When they did, a start
/// without a cached program seemed no more expensive, tasks were placed on any machine, and their starts kept all
/// machines busy.
#[test]
fn cached_programs_are_preferred_after_starts_delayed_by_other_schedulers() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(1.0, vec![endpoints_listed(12)]);
    let mut starts = StartSequence { checked, now: 1.0 };
    // Normal starts, without and with a cached program.
    for id in 0..20 {
        starts.start(id, id, 1.4);
        starts.start(100 + id, id, 0.1);
    }
    for id in 200..220 {
        starts.start(id, 1, 2.0);
    }
    for id in 300..340 {
        starts.start(id, id, 1.4);
    }
    // All machines but one have slight contention, which costs less than a start without a cached program.
    let contended = |id| Endpoint {
        unclaimed: Resources::new(30.0, if id == 0 { 64.0 } else { -3.1 }),
        ..endpoint(id)
    };
    let endpoints = (0..12).map(contended).collect();
    starts
        .checked
        .step(1_002.0, vec![Event::EndpointsListed(endpoints)]);
    let displaced = (400..424)
        .filter(|&id| starts.start(id, id, 1.4) == MachineId(0))
        .count();
    assert!(
        displaced <= 8,
        "{displaced} of 24 tasks left the preferred machines of their services"
    );
}
