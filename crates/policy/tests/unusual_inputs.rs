//! Invalid settings, which a scheduler rejects, and unusual events, which it must handle.

mod common;

use common::{
    CheckedScheduler, class, endpoints_listed, idempotent_settings, offers, settings, task,
};
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, Class, Event, Resources, RetrySafety, Seconds, Settings, SettingsError, Task, TaskId,
};

fn error(settings: Settings) -> SettingsError {
    Scheduler::new(settings, 1).unwrap_err()
}

#[test]
fn errors_name_the_invalid_setting() {
    assert_eq!(error(settings(vec![])).field(), "classes");
    let negative = Class {
        latency_objective: -1.0,
        ..class(RetrySafety::Idempotent)
    };
    assert_eq!(error(settings(vec![negative])).field(), "classes");
    let mut settings = idempotent_settings();
    settings.safety_limits.slow_start_duration = f64::NAN;
    assert_eq!(error(settings).field(), "safety");
    let mut settings = idempotent_settings();
    settings.machine_types.clear();
    assert_eq!(error(settings).field(), "kinds");
}

#[test]
fn settings_errors_show_the_value_and_the_valid_range() {
    let mut settings = idempotent_settings();
    settings.ordinal = 2;
    assert_eq!(
        error(settings).to_string(),
        "settings: schedulers: this scheduler has the ordinal 2 of 2 schedulers; \
         count from 0, and give a number of schedulers above the ordinal"
    );
    let mut settings = idempotent_settings();
    settings.safety_limits.overload_window = -0.5;
    assert_eq!(
        error(settings).to_string(),
        "settings: safety: overload_window is -0.5; give 0 or more"
    );
}

fn step(checked: &mut CheckedScheduler, now: Seconds, events: Vec<Event>) -> Vec<Action> {
    let mut actions = Vec::new();
    checked.scheduler.step(now, events, &mut actions);
    actions
}

/// Unusual but valid events: nothing panics, and tasks get their final answers.
#[test]
fn unusual_events_are_handled() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(
        1.0,
        vec![
            Event::EndpointsListed(vec![]),
            Event::TaskCancelled(TaskId(9)),
            Event::TimerFired(3),
            Event::TimerFired(3),
        ],
    );
    let too_large = Task {
        request: Resources::new(1e9, 2.0),
        ..task(1, 0, 3.0)
    };
    let past_deadline = task(2, 0, 0.5);
    let zero_duration = Task {
        expected_duration: Some(0.0),
        ..task(3, 0, f64::INFINITY)
    };
    let events = vec![
        endpoints_listed(2),
        Event::TaskSubmitted(too_large),
        Event::TaskSubmitted(past_deadline),
        Event::TaskSubmitted(zero_duration),
    ];
    let rejected = |id| Action::Reject {
        task: TaskId(id),
        retry_after: 0.0,
    };
    let actions = step(&mut checked, 1.1, events);
    assert!(actions.contains(&rejected(2)));
    assert_eq!(offers(&actions).len(), 1);
    let actions = step(&mut checked, 2.98, vec![Event::TimerFired(0)]);
    assert!(actions.contains(&rejected(1)));
}
