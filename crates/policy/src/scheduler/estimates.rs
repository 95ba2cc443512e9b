//! Estimates from what was observed: how long tasks run, what they request and use, how often they arrive, how
//! long machines take to answer and to start a task. Owned by the scheduler.

use crate::interface::{Resources, Seconds, Task};
use crate::running_mean::{ResourceMeans, RunningMean};

/// The least weight of one task in the means over tasks, and of one report in those over machines.
pub(super) const TASK_WEIGHT: f64 = 0.01;

/// The least weight of one answer or start in their means.
const ANSWER_WEIGHT: f64 = 0.05;

/// The ratio of use to requests before any was observed.
const INITIAL_USAGE: Resources = Resources::new(0.6, 0.75);

/// The time to an answer before one was observed, in seconds.
const INITIAL_ANSWER_TIME: Seconds = 0.05;

/// An offer has timed out after the mean time to an answer and this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 5.0;

/// The shortest timeout of an offer, in seconds: a machine that is busy for a moment is not taken for dead.
const MIN_OFFER_TIMEOUT: Seconds = 0.2;

/// The time of a start with a cached program before one was observed, in seconds.
const INITIAL_START_TIME: Seconds = 0.2;

/// How many times as long a start without it takes, before one was observed.
const INITIAL_UNCACHED_FACTOR: f64 = 6.0;

/// The shortest start that is recorded, in seconds, so that ratios of start times stay finite.
const MIN_START_TIME: Seconds = 1e-3;

/// The arrival rate is taken over about this many seconds.
const ARRIVAL_RATE_WINDOW: Seconds = 5.0;

/// All estimates of a scheduler.
#[derive(Debug)]
pub(super) struct Estimates {
    /// How long tasks run, in seconds.
    pub(super) duration: RunningMean,
    /// Their work: duration times requested cores.
    pub(super) work: RunningMean,
    /// What they request.
    pub(super) request: ResourceMeans,
    /// The ratio of use to requests, over all machines.
    pub(super) usage: ResourceMeans,
    pub(super) arrivals: ArrivalRate,
    pub(super) answer_time: AnswerTime,
    pub(super) start_time: StartTime,
}

impl Estimates {
    pub(super) fn new() -> Self {
        Self {
            duration: RunningMean::default(),
            work: RunningMean::default(),
            request: ResourceMeans::default(),
            usage: ResourceMeans::with_prior(INITIAL_USAGE),
            arrivals: ArrivalRate::default(),
            answer_time: AnswerTime::new(),
            start_time: StartTime::new(),
        }
    }

    /// Takes in a task that was submitted or adopted.
    pub(super) fn record_task(&mut self, now: Seconds, task: &Task) {
        let duration = self.duration_of(task);
        self.duration.record(duration, TASK_WEIGHT);
        self.work.record(duration * task.request.cpu, TASK_WEIGHT);
        self.request.record(task.request, TASK_WEIGHT);
        self.arrivals.record(now);
    }

    /// How long the task is expected to run, in seconds.
    pub(super) fn duration_of(&self, task: &Task) -> Seconds {
        task.expected_duration.unwrap_or(self.duration.value())
    }

    /// The work of the task: its duration times requested cores; the mean work where no duration is given.
    pub(super) fn work_of(&self, task: &Task) -> f64 {
        match task.expected_duration {
            Some(duration) => duration * task.request.cpu,
            None => self.work.value(),
        }
    }
}

/// Tasks that arrive per second, as an exponentially weighted moving average.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    per_second: f64,
    updated_at: Seconds,
}

impl ArrivalRate {
    fn record(&mut self, now: Seconds) {
        let decay = (-(now - self.updated_at) / ARRIVAL_RATE_WINDOW).exp();
        self.per_second = 1.0 / ARRIVAL_RATE_WINDOW + self.per_second * decay;
        self.updated_at = now;
    }

    /// The rate at the time of the last arrival.
    pub(super) const fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// The time to the answer to an offer, and its deviation from the mean.
#[derive(Debug)]
pub(super) struct AnswerTime {
    mean: RunningMean,
    deviation: RunningMean,
}

impl AnswerTime {
    const fn new() -> Self {
        Self {
            mean: RunningMean::with_prior(INITIAL_ANSWER_TIME),
            deviation: RunningMean::with_prior(INITIAL_ANSWER_TIME / 2.0),
        }
    }

    pub(super) fn record(&mut self, answer_time: Seconds) {
        let deviation = (answer_time - self.mean.value()).abs();
        self.deviation.record(deviation, ANSWER_WEIGHT);
        self.mean.record(answer_time, ANSWER_WEIGHT);
    }

    /// How long to wait for the answer to a first attempt, in seconds.
    pub(super) fn timeout(&self) -> Seconds {
        let timeout = self.mean.value() + TIMEOUT_DEVIATIONS * self.deviation.value();
        timeout.max(MIN_OFFER_TIMEOUT)
    }
}

/// The time that a machine takes to start a task, with and without the program in its cache.
#[derive(Debug)]
pub(super) struct StartTime {
    cached: RunningMean,
    uncached: RunningMean,
}

impl StartTime {
    const fn new() -> Self {
        Self {
            cached: RunningMean::with_prior(INITIAL_START_TIME),
            uncached: RunningMean::with_prior(INITIAL_START_TIME * INITIAL_UNCACHED_FACTOR),
        }
    }

    /// The time of a start with a cached program, in seconds.
    pub(super) const fn cached(&self) -> Seconds {
        self.cached.value()
    }

    /// The work of a start without a cached program, in starts with one.
    pub(super) fn uncached_work(&self) -> f64 {
        self.uncached.value() / self.cached.value()
    }

    /// Takes in a start that had no other start before it.
    ///
    /// Where the program was not known to be cached, the start counts to the kind that it is nearer to, by their
    /// geometric mean. One that had the program counts for no more than that mean: what is longer was spent behind
    /// starts of other schedulers.
    pub(super) fn record(&mut self, start_time: Seconds, had_cached_program: bool) {
        let geometric_mean = (self.cached.value() * self.uncached.value()).sqrt();
        if had_cached_program {
            let start_time = start_time.min(geometric_mean).max(MIN_START_TIME);
            self.cached.record(start_time, ANSWER_WEIGHT);
        } else if start_time > geometric_mean {
            let start_time = start_time.max(MIN_START_TIME);
            self.uncached.record(start_time, ANSWER_WEIGHT);
        } else {
            let start_time = start_time.max(MIN_START_TIME);
            self.cached.record(start_time, ANSWER_WEIGHT);
        }
    }
}
