//! Calls to the discovery service after failures: the pauses of one scheduler, and the load of many on the service.

#[path = "common/discovery_service.rs"]
mod discovery_service;

use discovery_service::{DiscoveryService, FixedPause, Load, RetryRule, simulate};
use tidespur_gateway::discovery::reconnect::{CALL_TIMEOUT, Outage, Reconnect};

/// Schedulers of the largest fleet that the platform names.
const SCHEDULERS: usize = 900;
/// Longest pause between two calls, in seconds.
const MAX_PAUSE: f64 = 0.8;
/// How long the service is down in a simulation, in seconds.
const OUTAGE: f64 = 8.0;

impl RetryRule for Reconnect {
    fn call_timeout(&self) -> f64 {
        CALL_TIMEOUT
    }

    fn stream_opened(&mut self, now: f64) {
        Self::stream_opened(self, now);
    }

    fn stream_ended(&mut self, now: f64) -> f64 {
        Self::stream_ended(self, now)
    }

    fn call_failed(&mut self, now: f64, _: f64) -> f64 {
        Self::call_failed(self, now).pause
    }
}

#[test]
fn pauses_grow_to_their_maximum_and_differ_between_schedulers() {
    let pauses = |seed| -> Vec<f64> {
        let mut reconnect = Reconnect::new(0.0, seed);
        (0..20).map(|_| reconnect.call_failed(0.0).pause).collect()
    };
    let (first, second) = (pauses(1), pauses(2));
    assert_ne!(first, second);
    for (n, pause) in first.into_iter().enumerate() {
        let backoff = [0.2, 0.4].get(n).copied().unwrap_or(MAX_PAUSE);
        assert!((backoff / 2.0..backoff).contains(&pause), "{n}: {pause}");
    }
}

// Guards against schedulers that call in step: those that fail together are spread over the whole jitter.
#[test]
fn schedulers_that_fail_together_call_again_at_different_times() {
    let mut parts = [0; 10];
    for seed in 0..SCHEDULERS as u64 {
        let pause = Reconnect::new(0.0, seed).call_failed(0.0).pause;
        parts[((pause - 0.1) / 0.01) as usize] += 1;
    }
    let even_share = SCHEDULERS / parts.len();
    assert!(
        parts.iter().all(|part| *part >= even_share / 2),
        "{parts:?}"
    );
}

// Guards against a service that accepts calls and closes its streams at once: such streams are no success.
#[test]
fn streams_that_end_at_once_are_followed_by_growing_pauses_and_stable_ones_are_not() {
    let mut reconnect = Reconnect::new(0.0, 1);
    let mut pause_after_stream_of = |seconds: f64| {
        reconnect.stream_opened(0.0);
        reconnect.stream_ended(seconds)
    };
    for _ in 0..2 {
        pause_after_stream_of(0.01);
    }
    assert!(pause_after_stream_of(0.01) >= MAX_PAUSE / 2.0);
    assert!(pause_after_stream_of(60.0) < 0.2);
}

#[test]
fn a_new_address_is_not_held_back_by_failures_at_the_old_one() {
    let mut reconnect = Reconnect::new(0.0, 1);
    for _ in 0..5 {
        reconnect.call_failed(1.0);
    }
    reconnect.address_changed(9.0);
    let retry = reconnect.call_failed(10.0);
    assert!(retry.pause < 0.2);
    let outage = Outage {
        duration: 1.0,
        failed_calls: 1,
    };
    assert_eq!(retry.warning, Some(outage));
}

#[test]
fn an_outage_is_warned_about_at_once_and_then_every_ten_seconds() {
    let mut reconnect = Reconnect::new(0.0, 1);
    reconnect.stream_opened(0.0);
    reconnect.stream_ended(100.0);
    let warned_at: Vec<u32> = (101..=130)
        .filter(|second| reconnect.call_failed(f64::from(*second)).warning.is_some())
        .collect();
    assert_eq!(warned_at, [101, 111, 121]);
    assert_eq!(reconnect.counts(130.0).outage, 30.0);
    let outage = reconnect.stream_opened(131.0);
    assert_eq!((outage.duration, outage.failed_calls), (31.0, 30));
    assert_eq!(reconnect.counts(140.0).outage, 0.0);
}

fn simulate_fleet(service: DiscoveryService, rule: impl Fn(u64) -> Box<dyn RetryRule>) -> Load {
    simulate(service, (0..SCHEDULERS as u64).map(rule).collect())
}

// Guards against schedulers that keep a service busy with calls which they give up before it can answer them.
#[test]
fn all_schedulers_have_a_stream_again_soon_after_an_outage() {
    // The platform's service takes one call from each scheduler within 2 to 8 s.
    for all_calls_seconds in [2.0, 8.0] {
        for hangs in [false, true] {
            let service = DiscoveryService {
                calls_per_second: SCHEDULERS as f64 / all_calls_seconds,
                outage: OUTAGE,
                hangs,
            };
            let load = simulate_fleet(service, |seed| Box::new(Reconnect::new(0.0, seed)));
            let fixed_pause =
                |call_timeout| simulate_fleet(service, |_| Box::new(FixedPause { call_timeout }));
            let (with_same_limit, with_1_s) = (fixed_pause(CALL_TIMEOUT), fixed_pause(1.0));
            println!("{service:?}: {load:?}");
            println!("  with a fixed pause: {with_same_limit:?}; and a limit of 1 s: {with_1_s:?}");
            assert_eq!(load.connected, SCHEDULERS);
            assert!(load.calls_back <= with_same_limit.calls_back.min(with_1_s.calls_back));
            let limit = all_calls_seconds + CALL_TIMEOUT + MAX_PAUSE;
            assert!(load.connected_after <= limit, "{service:?}: {load:?}");
            // Three calls a second from each scheduler at most: the first pauses are 0.1, 0.2 and 0.4 s.
            let most = load
                .max_calls_per_second_down
                .max(load.max_calls_per_second_back);
            assert!(most <= 3 * SCHEDULERS, "{service:?}: {load:?}");
        }
    }
}
