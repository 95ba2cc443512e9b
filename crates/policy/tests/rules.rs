//! Scripted events: one test for each rule, each outcome by effect, and each failure that was found.

mod common;
use common::*;
use tidespur_policy::interface::*;

const KEYED: RetrySafety = RetrySafety::IdempotencyKeyed {
    domain: FailureDomain::Cell,
    window: 3.0,
};

fn fleet(n: u64) -> Event {
    Event::EndpointsListed((0..n).map(entry).collect())
}

#[test]
fn no_task_is_lost_without_machines() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    assert!(sends(&w.step(1.0, vec![Event::TaskSubmitted(task(1, 0, 3.0))])).is_empty());
    let actions = w.step(2.98, vec![Event::TimerFired(0)]);
    assert!(matches!(actions[0], Action::Reject { .. }), "{actions:?}");
}

#[test]
fn held_tasks_ask_for_a_timer_before_their_deadline() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    let actions = w.step(1.0, vec![Event::TaskSubmitted(task(1, 0, 1.04))]);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::SetTimer { after, .. } if *after < 0.04))
    );
}

#[test]
fn outcomes_by_effect() {
    use AttemptOutcome::*;
    // After each ending: is the task sent again, refused, or failed?
    let (again, failed) = ("sent", "failed");
    for (effect, ending, then) in [
        (
            RetrySafety::Idempotent,
            Rejected(FailureCause::QueueFull),
            again,
        ),
        (RetrySafety::Idempotent, TimedOut, again),
        (RetrySafety::Idempotent, Failed, again),
        (
            RetrySafety::Idempotent,
            Interrupted(FailureCause::Unspecified),
            again,
        ),
        (RetrySafety::Idempotent, ConnectFailed, again),
        (KEYED, Rejected(FailureCause::InsufficientCpu), again),
        (KEYED, TimedOut, again),
        (KEYED, Failed, again),
        (KEYED, Interrupted(FailureCause::Unspecified), again),
        (KEYED, ConnectFailed, again),
        (
            RetrySafety::NonIdempotent,
            Rejected(FailureCause::InsufficientMemory),
            again,
        ),
        (RetrySafety::NonIdempotent, ConnectFailed, again),
        (RetrySafety::NonIdempotent, NeverSent, again),
        (RetrySafety::NonIdempotent, TimedOut, failed),
        (RetrySafety::NonIdempotent, Failed, failed),
        (RetrySafety::NonIdempotent, Cancelled, failed),
        (
            RetrySafety::NonIdempotent,
            Interrupted(FailureCause::Unspecified),
            failed,
        ),
    ] {
        let mut w = Watched::new(settings(vec![class(effect)]), 1);
        let first = w.step(1.0, vec![fleet(8), Event::TaskSubmitted(task(1, 0, 7.0))]);
        assert_eq!(sends(&first).len(), 1);
        let then_done = w.step(1.5, vec![outcome(1, 0, ending)]);
        let did = match &then_done[..] {
            [Action::Offer { .. }, ..] => "sent",
            [Action::Fail(_), ..] => "failed",
            other => panic!("{effect:?} after {ending:?}: {other:?}"),
        };
        assert_eq!(did, then, "{effect:?} after {ending:?}");
    }
}

#[test]
fn a_keyed_task_is_not_sent_again_after_its_window() {
    let mut w = Watched::new(settings(vec![class(KEYED)]), 1);
    w.step(1.0, vec![fleet(8), Event::TaskSubmitted(task(1, 0, 7.0))]);
    let actions = w.step(4.5, vec![outcome(1, 0, AttemptOutcome::TimedOut)]);
    assert!(matches!(actions[0], Action::Fail(_)), "{actions:?}");
}

#[test]
fn a_drain_learned_in_this_step_binds_its_sends() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(1.0, vec![fleet(2)]);
    let leaving = Endpoint {
        status: EndpointStatus::Draining,
        ..entry(0)
    };
    let mut events: Vec<Event> = (0..6)
        .map(|i| Event::TaskSubmitted(task(i, 0, 9.0)))
        .collect();
    events.push(Event::EndpointsChanged(vec![leaving]));
    let sent = sends(&w.step(2.0, events));
    assert!(
        !sent.is_empty() && sent.iter().all(|s| s.1 == MachineId(1)),
        "{sent:?}"
    );
}

/// All schedulers learn of a restart together: offers to cold machines start spread out and stay within a part of
/// what these bear, on one machine and on all of them.
#[test]
fn cold_machines_get_their_budget_and_no_more() {
    for (schedulers, machines) in [(2, 1), (2, 4), (100, 1), (100, 30)] {
        let mut all = 0;
        let mut at_once = 0;
        for seed in 0..10 {
            let mut set = settings(vec![class(RetrySafety::Idempotent)]);
            set.scheduler_count = schedulers;
            let mut w = Watched::new(set, seed);
            let cold = |m| Endpoint {
                started_at: Some(99.0),
                ..entry(m)
            };
            let mut events = vec![Event::EndpointsListed((0..machines).map(cold).collect())];
            events.extend((0..40).map(|i| Event::TaskSubmitted(task(i, 0, 109.0))));
            at_once += sends(&w.step(100.0, events)).len();
            all += (1..60)
                .map(|i| sends(&w.step(100.0 + f64::from(i) * 0.1, vec![])).len())
                .sum::<usize>();
        }
        let (all, at_once) = (all as f64 / 10.0, at_once as f64 / 10.0);
        // Of 8 offers a second and machine, half is used by all schedulers together.
        let most = 8.0 * machines as f64 / schedulers as f64;
        assert!(
            all <= 6.0 * most + 1.0 && (all >= 1.0 || most < 0.3),
            "{schedulers}, {machines}: {all} in 6 s"
        );
        assert!(
            at_once <= most.max(0.5),
            "{schedulers}, {machines}: {at_once} at once"
        );
    }
}

#[test]
fn spread_counts_tasks_in_place_and_attempts() {
    let spread = Class {
        spread_domain: Some(FailureDomain::Cell),
        max_per_spread_domain: 2,
        ..class(RetrySafety::Idempotent)
    };
    let mut w = Watched::new(settings(vec![spread]), 1);
    let same = |id| Task {
        service: ServiceId(7),
        ..task(id, 0, 9.0)
    };
    w.step(
        1.0,
        vec![fleet(4), Event::TaskAdopted(same(1), MachineId(0))],
    );
    let sent = sends(&w.step(1.1, (2..6).map(|i| Event::TaskSubmitted(same(i))).collect()));
    assert_eq!(sent.len(), 1);
}

/// A list that came before the tasks in place told of them too: counted twice, nothing fitted.
#[test]
fn tasks_in_place_are_not_counted_twice() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    let full = Endpoint {
        unclaimed: Resources::new(2.0, 4.0),
        ..entry(0)
    };
    let mut events = vec![Event::EndpointsListed(vec![full])];
    events.extend((0..30).map(|i| Event::TaskAdopted(task(i, 0, 1.0), MachineId(0))));
    w.step(1.0, events);
    assert_eq!(
        sends(&w.step(1.1, vec![Event::TaskSubmitted(task(50, 0, 7.0))])).len(),
        1
    );
}

/// A machine that turns everything away, for whatever reason, is asked ever more rarely.
#[test]
fn a_machine_that_goes_on_refusing_is_asked_rarely() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(1.0, vec![fleet(1)]);
    let (mut now, mut offers) = (1.0, 0);
    for id in 0..200 {
        now += 0.1;
        let mut events = vec![Event::TaskSubmitted(task(id, 0, now + 1.0))];
        loop {
            let sent = sends(&w.step(now, std::mem::take(&mut events)));
            if sent.is_empty() {
                break;
            }
            offers += sent.len();
            for (id, _) in sent {
                let attempt = w.tasks[&id].attempts.len() as u32 - 1;
                events.push(outcome(
                    id.0,
                    attempt,
                    AttemptOutcome::Rejected(FailureCause::NotEligible),
                ));
            }
        }
    }
    assert!((3..20).contains(&offers), "{offers} offers in 20 s");
}

/// A burst must not overrun the line of offers of one machine.
#[test]
fn a_burst_waits_for_the_line_of_a_machine() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    let mut events = vec![fleet(1)];
    events.extend((0..40).map(|i| Event::TaskSubmitted(task(i, 0, 7.0))));
    let first = sends(&w.step(1.0, events)).len();
    assert!((1..=8).contains(&first), "{first} offers at once");
    let more = w.step(
        1.1,
        vec![Event::AttemptConfirmed {
            task: TaskId(0),
            attempt: 0,
        }],
    );
    assert!(!sends(&more).is_empty());
}

#[test]
fn settings_that_make_no_sense_are_named() {
    use tidespur_policy::Scheduler;
    let field = |set: Settings| Scheduler::new(set, 1).unwrap_err().field();
    assert_eq!(field(settings(vec![])), "classes");
    assert_eq!(
        field(settings(vec![Class {
            latency_objective: -1.0,
            ..class(RetrySafety::Idempotent)
        }])),
        "classes"
    );
    let mut set = settings(vec![class(RetrySafety::Idempotent)]);
    set.safety_limits.slow_start_duration = f64::NAN;
    assert_eq!(field(set), "safety");
    let mut set = settings(vec![class(RetrySafety::Idempotent)]);
    set.machine_types.clear();
    assert_eq!(field(set), "kinds");
}

/// Legal oddities: nothing panics, and what is owed is answered.
#[test]
fn oddities_are_borne() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(
        1.0,
        vec![
            Event::EndpointsListed(vec![]),
            Event::TaskCancelled(TaskId(9)),
            Event::TimerFired(3),
            Event::TimerFired(3),
        ],
    );
    let huge = Task {
        request: Resources::new(1e9, 2.0),
        ..task(1, 0, 3.0)
    };
    let passed = task(2, 0, 0.5);
    let brief = Task {
        expected_duration: Some(0.0),
        ..task(3, 0, f64::INFINITY)
    };
    let odd = vec![
        fleet(2),
        Event::TaskSubmitted(huge),
        Event::TaskSubmitted(passed),
        Event::TaskSubmitted(brief),
    ];
    let actions = {
        let mut out = Vec::new();
        w.scheduler.step(1.1, odd, &mut out);
        out
    };
    assert!(actions.contains(&Action::Reject {
        task: TaskId(2),
        retry_after: 0.0
    }));
    assert_eq!(sends(&actions).len(), 1);
    let mut out = Vec::new();
    w.scheduler.step(2.98, vec![Event::TimerFired(0)], &mut out);
    assert!(out.contains(&Action::Reject {
        task: TaskId(1),
        retry_after: 0.0
    }));
}

/// Starts without the program were mostly late: what another scheduler tells of a program draws its tasks.
#[test]
fn told_programs_draw_tasks() {
    let mut set = settings(vec![class(RetrySafety::Idempotent)]);
    set.allows_gossip = true;
    let same = |id| Task {
        service: ServiceId(7),
        ..task(id, 0, 9.0)
    };
    let mut teller = Watched::new(set.clone(), 1);
    let actions = teller.step(
        1.0,
        vec![fleet(12), Event::TaskAdopted(same(1), MachineId(9))],
    );
    let told = actions.iter().find_map(|a| match a {
        Action::Gossip(bytes) => Some(bytes.clone()),
        _ => None,
    });
    let mut hearer = Watched::new(set.clone(), 2);
    hearer.step(1.0, vec![fleet(12)]);
    let mut events = vec![Event::GossipReceived(told.expect("the program is told"))];
    events.extend((2..5).map(|i| Event::TaskSubmitted(same(i))));
    let sent = sends(&hearer.step(1.1, events));
    assert_eq!(
        sent.iter().map(|s| s.1).collect::<Vec<_>>(),
        [MachineId(9); 3]
    );
    set.allows_gossip = false;
    let quiet = Watched::new(set, 1).step(
        1.0,
        vec![fleet(12), Event::TaskAdopted(same(1), MachineId(9))],
    );
    assert!(!quiet.iter().any(|a| matches!(a, Action::Gossip(_))));
}

/// Without messages, schedulers with other seeds agree on a few homes of a service.
#[test]
fn schedulers_agree_on_homes() {
    let mut to = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), seed);
        let sent = sends(&w.step(1.0, vec![fleet(12), Event::TaskSubmitted(task(1, 0, 7.0))]));
        to.insert(sent[0].1);
    }
    assert!(to.len() <= 2, "{to:?}");
}

/// Odd messages are borne.
#[test]
fn messages_that_make_no_sense_are_ignored() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(
        1.0,
        vec![
            Event::GossipReceived(vec![1, 2, 3]),
            Event::GossipReceived(vec![]),
            Event::GossipReceived(vec![255; 256]),
        ],
    );
}

/// The times of starts with and without the program are learned apart, however near they come: once they had been
/// mixed, programs counted for nothing and tasks went anywhere.
#[test]
fn programs_go_on_counting_after_many_quick_starts() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(1.0, vec![fleet(12)]);
    let mut now = 1.0;
    for id in 0..60 {
        now += 1.0;
        let new = Task {
            service: ServiceId(id),
            ..task(id, 0, now + 6.0)
        };
        w.step(now, vec![Event::TaskSubmitted(new)]);
        w.step(
            now + 0.02,
            vec![Event::AttemptConfirmed {
                task: TaskId(id),
                attempt: 0,
            }],
        );
        w.step(
            now + 0.15,
            vec![Event::AttemptProgressed {
                task: TaskId(id),
                progress: AttemptProgress::Started,
            }],
        );
    }
    let same = |id| Task {
        service: ServiceId(777),
        ..task(id, 0, now + 9.0)
    };
    w.step(now + 1.0, vec![Event::TaskAdopted(same(900), MachineId(3))]);
    let sent = sends(&w.step(
        now + 1.1,
        (901..904).map(|i| Event::TaskSubmitted(same(i))).collect(),
    ));
    assert!(sent.iter().all(|s| s.1 == MachineId(3)), "{sent:?}");
}

#[test]
fn an_error_of_the_tasks_own_counts_against_no_machine() {
    // Owners whose tasks no machine can start: each is answered by errors, wherever it is sent.
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    let mut now = 1.0;
    w.step(now, vec![fleet(4)]);
    for id in 1..=20 {
        now += 0.01;
        let mut actions = w.step(now, vec![Event::TaskSubmitted(task(id, 0, now + 6.0))]);
        let mut attempt = 0;
        while !sends(&actions).is_empty() {
            now += 0.01;
            actions = w.step(now, vec![outcome(id, attempt, AttemptOutcome::Failed)]);
            attempt += 1;
        }
    }
    // A good one finds machines at once, well before what errors bar for a second at the least is over.
    let good = w.step(
        now + 0.01,
        vec![Event::TaskSubmitted(task(99, 0, now + 6.0))],
    );
    assert_eq!(sends(&good).len(), 1, "{good:?}");
}

#[test]
fn machines_that_have_gone_are_forgotten() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    for n in 0..1_000 {
        let gone = Endpoint {
            status: EndpointStatus::Gone,
            ..entry(n)
        };
        w.step(
            1.0 + n as f64,
            vec![Event::EndpointsChanged(vec![gone, entry(n + 1)])],
        );
    }
    w.step(2_000.0, vec![Event::TaskSubmitted(task(1, 0, 1.0))]);
    w.step(
        2_001.0,
        vec![Event::TaskSubmitted(Task {
            request: Resources::new(1e3, 2.0),
            ..task(2, 0, 2_007.0)
        })],
    );
    let waits = w
        .scheduler
        .explain(2_001.0, TaskId(2))
        .expect("no machine takes it");
    assert!(
        waits.machine_count < 200,
        "{} machines are still known",
        waits.machine_count
    );
}

/// Starts that wait behind those of other schedulers tell nothing of what a start takes: once they had been learned as
/// usual, a start without the program seemed no dearer, tasks went anywhere, and their starts kept all machines busy.
#[test]
fn programs_go_on_counting_after_starts_that_others_held_up() {
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(1.0, vec![fleet(12)]);
    let mut now = 1.0;
    let mut start = |w: &mut Watched, id: u64, service: u64, takes: Seconds| {
        now += 10.0;
        let new = Task {
            service: ServiceId(service),
            ..task(id, 0, now + 6.0)
        };
        let sent = sends(&w.step(now, vec![Event::TaskSubmitted(new)]));
        w.step(
            now + 0.02,
            vec![Event::AttemptConfirmed {
                task: TaskId(id),
                attempt: 0,
            }],
        );
        w.step(
            now + takes,
            vec![Event::AttemptProgressed {
                task: TaskId(id),
                progress: AttemptProgress::Started,
            }],
        );
        sent[0].1
    };
    // Usual starts, without the program and with it.
    for id in 0..20 {
        start(&mut w, id, id, 1.4);
        start(&mut w, 100 + id, id, 0.1);
    }
    for id in 200..220 {
        start(&mut w, id, 1, 2.0);
    }
    for id in 300..340 {
        start(&mut w, id, id, 1.4);
    }
    // All machines but one are a little crowded: less dear than a start without the program.
    let crowded = |n| Endpoint {
        unclaimed: Resources::new(30.0, if n == 0 { 64.0 } else { -3.1 }),
        ..entry(n)
    };
    w.step(
        1_002.0,
        vec![Event::EndpointsListed((0..12).map(crowded).collect())],
    );
    let away = (400..424)
        .filter(|&id| start(&mut w, id, id, 1.4) == MachineId(0))
        .count();
    assert!(away <= 8, "{away} of 24 left the homes of their services");
}

/// Machines kept in use must be able to admit what they are kept for, also where tasks use much less than they ask:
/// once only what is in use had been counted, the few of them with room drew all tasks of all schedulers.
#[test]
fn the_working_set_is_as_large_as_admission_asks() {
    let mut set = settings(vec![class(RetrySafety::Idempotent)]);
    (set.overcommit.memory, set.costs.idle_machines) = (1.2, 0.2);
    let mut w = Watched::new(set, 1);
    let asked = |n| {
        if n < 10 {
            1.16
        } else {
            0.6 + 0.3 * f64::from(u8::from(n < 12))
        }
    };
    let listed = |n| Endpoint {
        unclaimed: Resources::new(16.0, 64.0 * (1.0 - asked(n))),
        ..entry(n)
    };
    w.step(
        1.0,
        vec![Event::EndpointsListed((0..24).map(listed).collect())],
    );
    // Tasks use a good third of what they ask for.
    let stands = (0..20).map(|id| Event::TaskAdopted(task(id, 0, 99.0), MachineId(id % 10)));
    w.step(1.0, stands.collect());
    let uses = |id| Event::AttemptProgressed {
        task: TaskId(id),
        progress: AttemptProgress::MemoryUsage(0.6),
    };
    w.step(8.0, (0..20).map(uses).collect());
    for look in 0..100 {
        w.step(8.0 + 0.6 * f64::from(look), vec![]);
    }
    let mut used = std::collections::BTreeSet::new();
    for id in 100..112 {
        let now = 70.0 + 0.01 * id as f64;
        let new = Task {
            service: ServiceId(id),
            ..task(id, 0, 79.0)
        };
        used.extend(
            sends(&w.step(now, vec![Event::TaskSubmitted(new)]))
                .iter()
                .map(|sent| sent.1),
        );
        w.step(
            now,
            vec![Event::AttemptConfirmed {
                task: TaskId(id),
                attempt: 0,
            }],
        );
        w.step(
            now,
            vec![Event::AttemptProgressed {
                task: TaskId(id),
                progress: AttemptProgress::Started,
            }],
        );
    }
    assert!(used.len() >= 5, "{used:?}");
}
