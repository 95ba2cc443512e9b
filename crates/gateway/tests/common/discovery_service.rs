//! A simulated discovery service with limited capacity, and many schedulers that call it after an outage.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Time limit of the platform for a call, in seconds. A call is turned away if its answer would take longer.
const PLATFORM_CALL_TIMEOUT: f64 = 2.0;
/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 60.0;

/// When a scheduler calls again.
pub trait RetryRule {
    fn call_timeout(&self) -> f64;
    fn stream_opened(&mut self, now: f64);
    /// Returns the pause before the next call, in seconds.
    fn stream_ended(&mut self, now: f64) -> f64;
    /// As [`Self::stream_ended`], after a call that was begun at `called_at`.
    fn call_failed(&mut self, now: f64, called_at: f64) -> f64;
}

/// For comparison: the same pause of 0.1 s after each call, except after calls that took 0.5 s.
pub struct FixedPause {
    pub call_timeout: f64,
}

impl RetryRule for FixedPause {
    fn call_timeout(&self) -> f64 {
        self.call_timeout
    }

    fn stream_opened(&mut self, _: f64) {}

    fn stream_ended(&mut self, _: f64) -> f64 {
        0.0
    }

    fn call_failed(&mut self, now: f64, called_at: f64) -> f64 {
        if now - called_at < 0.5 { 0.1 } else { 0.0 }
    }
}

/// A service that fails at time 0, when all streams end, and is back after `outage` seconds.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryService {
    pub calls_per_second: f64,
    pub outage: f64,
    /// Whether calls hang during the outage, or are refused.
    pub hangs: bool,
}

/// What the service saw.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Most calls within a second of the outage.
    pub max_calls_per_second_down: usize,
    /// Most calls within a second once the service is back.
    pub max_calls_per_second_back: usize,
    /// Calls once the service is back.
    pub calls_back: usize,
    /// Schedulers that had a stream at the end of the run.
    pub connected: usize,
    /// Seconds from the end of the outage until all schedulers had a stream; infinite if they never had.
    pub connected_after: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Answered,
    Failed,
}

/// Plays the outage and the return of the service. The service answers calls in their order, also those that were
/// given up meanwhile.
pub fn simulate(service: DiscoveryService, mut schedulers: Vec<Box<dyn RetryRule>>) -> Load {
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    let mut events = BinaryHeap::new();
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    let mut called_at = vec![0.0; schedulers.len()];
    let mut connected = Vec::new();
    let mut free_at = service.outage;
    for (n, scheduler) in schedulers.iter_mut().enumerate() {
        scheduler.stream_opened(-100.0);
        let pause = scheduler.stream_ended(0.0);
        events.push(Reverse((micros(pause), n, Event::Call)));
    }
    while let Some(Reverse((at, n, event))) = events.pop() {
        let now = at as f64 / 1e6;
        if now > RUN_SECONDS {
            break;
        }
        let scheduler = &mut schedulers[n];
        let next = match event {
            Event::Answered => {
                connected.push(now - service.outage);
                continue;
            }
            Event::Failed => (now + scheduler.call_failed(now, called_at[n]), Event::Call),
            Event::Call => {
                *calls.entry(at / 1_000_000).or_default() += 1;
                called_at[n] = now;
                let timeout = now + scheduler.call_timeout();
                let is_down = now < service.outage;
                let answer_at = free_at.max(now) + 1.0 / service.calls_per_second;
                if is_down && service.hangs {
                    (timeout, Event::Failed)
                } else if is_down || answer_at - now > PLATFORM_CALL_TIMEOUT {
                    (now, Event::Failed)
                } else {
                    free_at = answer_at;
                    if answer_at <= timeout {
                        (answer_at, Event::Answered)
                    } else {
                        (timeout, Event::Failed)
                    }
                }
            }
        };
        events.push(Reverse((micros(next.0), n, next.1)));
    }
    let back_at = service.outage as u64;
    let most_calls =
        |seconds: &mut dyn Iterator<Item = (&u64, &usize)>| seconds.map(|(_, n)| *n).max();
    let has_all = connected.len() == schedulers.len();
    Load {
        max_calls_per_second_down: most_calls(&mut calls.range(..back_at)).unwrap_or(0),
        max_calls_per_second_back: most_calls(&mut calls.range(back_at..)).unwrap_or(0),
        calls_back: calls.range(back_at..).map(|(_, n)| *n).sum(),
        connected: connected.len(),
        connected_after: connected
            .last()
            .copied()
            .filter(|_| has_all)
            .unwrap_or(f64::INFINITY),
    }
}
