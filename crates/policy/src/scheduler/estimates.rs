//! Estimates learned from observations: run times of tasks, the resources they request and use, their arrival rate,
//! and the times that machines take to respond and to start a task. Owned by the scheduler.

use crate::interface::{Resources, Seconds, Task};
use crate::running_mean::{ResourceMeans, RunningMean};

/// The minimum weight of one task in means over tasks, and of one load report in means over machines.
pub(super) const TASK_WEIGHT: f64 = 0.01;

/// The minimum weight of one response time or start time in their means.
const LATENCY_WEIGHT: f64 = 0.05;

/// The initial ratio of used to requested resources.
const INITIAL_USAGE: Resources = Resources::new(0.6, 0.75);

/// The initial response time, in seconds.
const INITIAL_RESPONSE_TIME: Seconds = 0.05;

/// The offer timeout is the mean response time plus this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 5.0;

/// The shortest offer timeout, in seconds, so that a briefly busy machine is not considered dead.
const MIN_OFFER_TIMEOUT: Seconds = 0.2;

/// The initial start time with a cached program, in seconds.
const INITIAL_START_TIME: Seconds = 0.2;

/// The initial ratio of the start time without a cached program to that with one.
const INITIAL_UNCACHED_FACTOR: f64 = 6.0;

/// The shortest start time that is recorded, in seconds, so that ratios of start times stay finite.
const MIN_START_TIME: Seconds = 1e-3;

/// The time constant of the arrival rate, in seconds.
const ARRIVAL_RATE_WINDOW: Seconds = 5.0;

/// All estimates of a scheduler.
#[derive(Debug)]
pub(super) struct Estimates {
    /// The run time of tasks, in seconds.
    pub(super) duration: RunningMean,
    /// The work of tasks: run time multiplied by requested cores.
    pub(super) work: RunningMean,
    /// The resources that tasks request.
    pub(super) request: ResourceMeans,
    /// The ratio of used to requested resources, over all machines.
    pub(super) usage: ResourceMeans,
    pub(super) arrivals: ArrivalRate,
    pub(super) response_time: ResponseTime,
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
            response_time: ResponseTime::new(),
            start_time: StartTime::new(),
        }
    }

    /// Records a task that was submitted or adopted.
    pub(super) fn record_task(&mut self, now: Seconds, task: &Task) {
        let duration = self.duration_of(task);
        self.duration.record(duration, TASK_WEIGHT);
        self.work.record(duration * task.request.cpu, TASK_WEIGHT);
        self.request.record(task.request, TASK_WEIGHT);
        self.arrivals.record(now);
    }

    /// The expected run time of the task, in seconds.
    pub(super) fn duration_of(&self, task: &Task) -> Seconds {
        task.expected_duration.unwrap_or(self.duration.value())
    }

    /// The expected work of the task, in core seconds; the mean work if its run time is not given.
    pub(super) fn work_of(&self, task: &Task) -> f64 {
        match task.expected_duration {
            Some(duration) => duration * task.request.cpu,
            None => self.work.value(),
        }
    }
}

/// The arrival rate of tasks, as an exponentially weighted moving average.
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

/// The response time to offers.
#[derive(Debug)]
pub(super) struct ResponseTime {
    mean: RunningMean,
    /// The mean absolute deviation from `mean`.
    deviation: RunningMean,
}

impl ResponseTime {
    const fn new() -> Self {
        Self {
            mean: RunningMean::with_prior(INITIAL_RESPONSE_TIME),
            deviation: RunningMean::with_prior(INITIAL_RESPONSE_TIME / 2.0),
        }
    }

    pub(super) fn record(&mut self, response_time: Seconds) {
        let deviation = (response_time - self.mean.value()).abs();
        self.deviation.record(deviation, LATENCY_WEIGHT);
        self.mean.record(response_time, LATENCY_WEIGHT);
    }

    /// The timeout of the first offer of a task, in seconds.
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

    /// The start time with a cached program, in seconds.
    pub(super) const fn cached(&self) -> Seconds {
        self.cached.value()
    }

    /// The cost of a start without a cached program, as a multiple of one with it.
    pub(super) fn uncached_work(&self) -> f64 {
        self.uncached.value() / self.cached.value()
    }

    /// Records a start that was not queued behind other starts of this scheduler.
    ///
    /// If the program was not known to be cached, the start is classified as cached or uncached by comparison with the
    /// geometric mean of both times. A start with a known cached program is capped at that mean, as a longer one was
    /// queued behind starts of other schedulers.
    pub(super) fn record(&mut self, start_time: Seconds, had_cached_program: bool) {
        let geometric_mean = (self.cached.value() * self.uncached.value()).sqrt();
        if had_cached_program {
            let start_time = start_time.min(geometric_mean).max(MIN_START_TIME);
            self.cached.record(start_time, LATENCY_WEIGHT);
        } else if start_time > geometric_mean {
            let start_time = start_time.max(MIN_START_TIME);
            self.uncached.record(start_time, LATENCY_WEIGHT);
        } else {
            let start_time = start_time.max(MIN_START_TIME);
            self.cached.record(start_time, LATENCY_WEIGHT);
        }
    }
}
