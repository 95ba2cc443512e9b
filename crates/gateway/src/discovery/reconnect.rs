//! When to call the discovery service again after a call or a stream has ended, and how long there has been no stream.
//!
//! The event loop of `gateway-net` makes the calls and reports their results to [`Reconnect`].

use rand::Rng;
use rand_pcg::Pcg32;
use tidespur_policy::interface::Seconds;

/// Time limit for a call, from dialling to the head of the response: the 2 s that the platform gives the service for its
/// answer, and time for the network and for a scheduler that is short of processor time.
pub const CALL_TIMEOUT: Seconds = 2.25;
/// Backoff after a stream that was stable, before jitter shortens it by up to half.
const INITIAL_BACKOFF: Seconds = 0.2;
/// Maximum backoff. Below the 1 s that the platform gives a scheduler to follow a drain, which may be reported at the
/// moment when the service is back.
const MAX_BACKOFF: Seconds = 0.8;
/// A stream that stayed open for this long was stable. A service that closes its streams at once counts as failing.
const STABLE_AFTER: Seconds = 1.0;
/// Interval between warnings while there is no stream.
const WARNING_INTERVAL: Seconds = 10.0;
/// Selects the sequence of random numbers, so that it differs from that of other generators with the same seed.
const RANDOM_STREAM: u64 = 0xd15c;

/// A time without a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Its duration so far.
    pub duration: Seconds,
    /// Calls that failed in this time.
    pub failed_calls: u64,
}

/// What to do after a failed call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Pause before the next call.
    pub pause: Seconds,
    /// The outage, if it is time to log a warning about it.
    pub warning: Option<Outage>,
}

/// Counters of calls since the start, and the current outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallCounts {
    /// Calls that were begun.
    pub calls: u64,
    /// Calls that brought no stream.
    pub failed_calls: u64,
    /// How long there has been no stream; zero while there is one.
    pub outage: Seconds,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Open {
        opened_at: Seconds,
    },
    Closed {
        since: Seconds,
        failed_calls: u64,
        next_warning_at: Seconds,
    },
}

impl State {
    const fn closed(now: Seconds) -> Self {
        Self::Closed {
            since: now,
            failed_calls: 0,
            next_warning_at: now,
        }
    }
}

/// Exponential backoff with jitter between calls, and a record of the outage. The jitter keeps schedulers apart that
/// lost their streams at the same time.
#[derive(Debug)]
pub struct Reconnect {
    rng: Pcg32,
    state: State,
    /// Pause after the next failure, before jitter.
    backoff: Seconds,
    calls: u64,
    failed_calls: u64,
}

impl Reconnect {
    /// Starts without a stream.
    pub fn new(now: Seconds, seed: u64) -> Self {
        Self {
            rng: Pcg32::new(seed, RANDOM_STREAM),
            state: State::closed(now),
            backoff: INITIAL_BACKOFF,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// Records that the address of the service has changed: the stream at the address before counts as closed, and
    /// failures there say nothing about the service at the new one.
    pub fn address_changed(&mut self, now: Seconds) {
        self.state = State::closed(now);
        self.backoff = INITIAL_BACKOFF;
    }

    /// Records the beginning of a call.
    pub const fn call_started(&mut self) {
        self.calls += 1;
    }

    /// Records that a call brought a stream. Returns the outage that ends with it.
    pub fn stream_opened(&mut self, now: Seconds) -> Outage {
        let outage = self.current_outage(now);
        self.state = State::Open { opened_at: now };
        outage
    }

    /// Records that the stream has ended. Returns the pause before the next call.
    pub fn stream_ended(&mut self, now: Seconds) -> Seconds {
        if let State::Open { opened_at } = self.state
            && now - opened_at >= STABLE_AFTER
        {
            self.backoff = INITIAL_BACKOFF;
        }
        self.state = State::closed(now);
        self.next_pause()
    }

    /// Records that a call failed or timed out.
    pub fn call_failed(&mut self, now: Seconds) -> Retry {
        self.failed_calls += 1;
        let mut is_warning_due = false;
        if let State::Closed {
            failed_calls,
            next_warning_at,
            ..
        } = &mut self.state
        {
            *failed_calls += 1;
            is_warning_due = now >= *next_warning_at;
            if is_warning_due {
                *next_warning_at = now + WARNING_INTERVAL;
            }
        }
        Retry {
            pause: self.next_pause(),
            warning: is_warning_due.then(|| self.current_outage(now)),
        }
    }

    /// The counters, for the log.
    pub fn counts(&self, now: Seconds) -> CallCounts {
        CallCounts {
            calls: self.calls,
            failed_calls: self.failed_calls,
            outage: self.current_outage(now).duration,
        }
    }

    fn current_outage(&self, now: Seconds) -> Outage {
        match self.state {
            State::Open { .. } => Outage {
                duration: 0.0,
                failed_calls: 0,
            },
            State::Closed {
                since,
                failed_calls,
                ..
            } => Outage {
                duration: now - since,
                failed_calls,
            },
        }
    }

    fn next_pause(&mut self) -> Seconds {
        let jitter = self.rng.random_range(0.5..1.0);
        let pause = self.backoff * jitter;
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
        pause
    }
}
