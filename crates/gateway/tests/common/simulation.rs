//! Simulation of a zone failure at full size: 140 of 400 machines fail at once with all tasks placed on them, and
//! owners resubmit their tasks. It uses neither sockets nor a clock. The gateway has a seventh of a core: the duration
//! of a step is computed from the messages read and written and the machines and connections examined.

mod simulated_peers;

use super::common::*;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_gateway::input_queue::InputQueue;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{
    DownstreamId, Gateway, Input, Limits, Output, PeerCheck, UpstreamId, discovery,
};
use tidespur_site_settings::SettingsObject;

pub const MACHINES: usize = 400;
pub const FAILED_MACHINES: usize = 140;
/// Time on a seventh of a core to read or write a message, with its system call.
pub const SECONDS_PER_MESSAGE: f64 = 7.0 * 15e-6;
/// Time on a seventh of a core to examine a machine. At full size, 500 pending tasks that were each compared with 400
/// machines 5.7 times per second used a seventh of a core.
pub const SECONDS_PER_MACHINE: f64 = 7.0 * 120e-9;
/// Time on a seventh of a core to examine a connection.
pub const SECONDS_PER_CONNECTION: f64 = 7.0 * 10e-9;
/// Connections of owners; each may have 256 pending requests.
pub const OWNER_CONNECTIONS: u64 = 4;
/// When the zone fails, in seconds.
pub const FAILURE_TIME: f64 = 1005.0;
/// When the other machines have capacity again, in seconds.
pub const RECOVERY_TIME: f64 = 1011.0;
/// Delay of each answer of a machine, in seconds.
pub const ROUND_TRIP_TIME: f64 = 0.002;
/// Delay before an owner resubmits a rejected task for the first time, in seconds.
pub const INITIAL_BACKOFF: f64 = 0.5;

#[derive(Clone, Debug)]
pub enum SimulatedEvent {
    /// An owner submits a task that was rejected this many times.
    Submit(u32),
    Input(Input),
    ZoneFailure,
    /// All machines that are left have capacity again.
    Recovery,
}

pub struct Simulation {
    pub gateway: Gateway,
    pub now: f64,
    /// Events by time in microseconds, and by sequence number.
    pub events: BTreeMap<(u64, u64), SimulatedEvent>,
    pub last_number: u64,
    pub queue: InputQueue,
    /// When the queued inputs arrived, in their order.
    pub arrival_times: BTreeMap<u64, f64>,
    /// Machines of the open connections.
    pub upstreams: BTreeMap<UpstreamId, usize>,
    pub failed: BTreeSet<usize>,
    /// Whether all machines reject offers.
    pub is_full: bool,
    /// Machines of the placed tasks.
    pub placed: BTreeMap<RequestId, usize>,
    /// When tasks ended whose owners have not been told yet.
    pub unreported_ends: BTreeMap<RequestId, f64>,
    /// When each pending request was submitted, and how often it was rejected before.
    pub pending: BTreeMap<RequestId, (f64, u32)>,
    pub accepted_count: usize,
    /// Set-ups that were rejected as the gateway is overloaded: of the class with the lower priority weight, and of the
    /// other.
    pub congested: [usize; 2],
    /// Longest time between the failure of a machine and the release to an owner, in seconds.
    pub max_report_delay: f64,
    /// Measured lags of the event loop: time and lag.
    pub lags: Vec<(f64, f64)>,
}

/// A watch event with the complete list of machines and their free cores.
pub fn complete_list(revision: u64, free_cores: impl Fn(usize) -> f64) -> Input {
    let entry = |m: usize| {
        format!(
            r#"{{"instanceId":"s-{m}","hostPort":"127.0.0.1:{}","zone":"east","machineType":"std","cell":{},
            "lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[{},60]}}"#,
            m + 1,
            m / 8,
            free_cores(m)
        )
    };
    let entries: Vec<String> = (0..MACHINES).map(entry).collect();
    let text = format!(
        r#"{{"rev":{revision},"pool":{{"reset":true,"instances":[{}]}}}}"#,
        entries.join(",")
    );
    Input::EndpointsDelivered(discovery::parse_event(&site(), &text).unwrap())
}

/// Free cores before the failure: there is capacity only in the zone that fails.
pub fn free_cores_before_failure(m: usize) -> f64 {
    if m < FAILED_MACHINES { 20.0 } else { -46.0 }
}

impl Simulation {
    pub fn new() -> Self {
        let settings = SETTINGS.replace(r#""balancers":1"#, r#""balancers":16"#);
        let site = serde_json::from_str::<SettingsObject>(&settings)
            .unwrap()
            .into_site()
            .unwrap();
        let gateway = Gateway::new(site, Limits::for_process(784, 1 << 30), 7).unwrap();
        let mut simulation = Self {
            gateway,
            now: 1000.0,
            events: BTreeMap::new(),
            last_number: 0,
            queue: InputQueue::default(),
            arrival_times: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            failed: BTreeSet::new(),
            is_full: false,
            placed: BTreeMap::new(),
            unreported_ends: BTreeMap::new(),
            pending: BTreeMap::new(),
            accepted_count: 0,
            congested: [0; 2],
            max_report_delay: 0.0,
            lags: Vec::new(),
        };
        simulation.schedule(
            0.0,
            SimulatedEvent::Input(complete_list(1, free_cores_before_failure)),
        );
        for n in 1..=OWNER_CONNECTIONS {
            simulation.schedule(
                0.0,
                SimulatedEvent::Input(Input::DownstreamOpened(DownstreamId(n), address(1))),
            );
        }
        simulation.schedule_submissions(0.01, 300, 1.0);
        simulation.schedule(FAILURE_TIME - 1000.0, SimulatedEvent::ZoneFailure);
        simulation.schedule(RECOVERY_TIME - 1000.0, SimulatedEvent::Recovery);
        simulation
    }

    fn schedule(&mut self, seconds: f64, event: SimulatedEvent) {
        self.last_number += 1;
        self.events.insert(
            (((self.now + seconds) * 1e6) as u64, self.last_number),
            event,
        );
    }

    /// Schedules submissions at a constant rate for `duration` seconds.
    pub fn schedule_submissions(&mut self, start: f64, count: u32, duration: f64) {
        for n in 0..count {
            self.schedule(
                start + duration * f64::from(n) / f64::from(count),
                SimulatedEvent::Submit(0),
            );
        }
    }

    fn submit(&mut self, rejections: u32) {
        let id = RequestId(self.last_number + 1_000);
        self.last_number += 1;
        self.pending.insert(id, (self.now, rejections));
        let class = if id.0.is_multiple_of(3) {
            "slot"
        } else {
            "web"
        };
        let mut message = set_up(id.0, class);
        message.parameters.retain(|c| c != code::EXPECTED_DURATION);
        let owner = DownstreamId(1 + id.0 % OWNER_CONNECTIONS);
        self.enqueue(Input::DownstreamMessage(
            owner,
            message.with(code::EXPECTED_DURATION, b"60000"),
        ));
    }

    fn enqueue(&mut self, input: Input) {
        self.arrival_times.insert(
            self.arrival_times
                .last_key_value()
                .map_or(0, |(n, _)| n + 1),
            self.now,
        );
        self.queue.push(input);
    }

    pub fn handle_event(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Submit(rejections) => self.submit(rejections),
            SimulatedEvent::Input(input) => self.enqueue(input),
            SimulatedEvent::ZoneFailure => {
                self.failed = (0..FAILED_MACHINES).collect();
                let ended: Vec<UpstreamId> = self
                    .upstreams
                    .iter()
                    .filter(|(_, m)| self.failed.contains(m))
                    .map(|(&upstream, _)| upstream)
                    .collect();
                for upstream in ended {
                    self.upstreams.remove(&upstream);
                    self.enqueue(Input::UpstreamEnded(upstream));
                }
                let now = self.now;
                let lost_tasks = self.placed.iter().filter(|(_, m)| self.failed.contains(m));
                self.unreported_ends = lost_tasks.map(|(&id, _)| (id, now)).collect();
                self.placed.retain(|_, m| !self.failed.contains(m));
                self.is_full = true;
            }
            SimulatedEvent::Recovery => {
                self.is_full = false;
                self.enqueue(complete_list(2, |_| 20.0));
            }
        }
    }

    /// Handles the events that are due.
    fn handle_due_events(&mut self) {
        while self
            .events
            .first_key_value()
            .is_some_and(|((at, _), _)| *at as f64 / 1e6 <= self.now)
        {
            let (_, event) = self.events.pop_first().unwrap();
            self.handle_event(event);
        }
    }

    pub fn run_until(&mut self, until: f64) {
        while self.now < until {
            self.handle_due_events();
            let due = self.gateway.next_wake();
            let mut inputs = Vec::new();
            if let Some((_, arrived_at)) = self.arrival_times.first_key_value() {
                // The event loop's lag timer would measure the age of the oldest queued input.
                let lag = self.now - arrived_at;
                self.lags.push((self.now, lag));
                inputs.push(Input::LagMeasured(lag));
                let taken = self.queue.take_batch();
                for _ in 0..taken.len() {
                    self.arrival_times.pop_first();
                }
                inputs.extend(taken);
            } else if due <= self.now {
                self.lags.push((self.now, 0.0));
                inputs.extend([Input::LagMeasured(0.0), Input::Tick]);
            } else {
                let next = self
                    .events
                    .first_key_value()
                    .map_or(f64::INFINITY, |((at, _), _)| *at as f64 / 1e6);
                self.now = next.min(due).max(self.now + 1e-6).min(until);
                continue;
            }
            while !inputs.is_empty() {
                let (before, read_count) = (self.gateway.examined(), inputs.len());
                let mut outputs = Vec::new();
                self.gateway
                    .step(self.now, std::mem::take(&mut inputs), &mut outputs);
                let after = self.gateway.examined();
                let examination_time = SECONDS_PER_MACHINE
                    * (after.machines - before.machines) as f64
                    + SECONDS_PER_CONNECTION * (after.connections - before.connections) as f64;
                self.now += SECONDS_PER_MESSAGE * read_count as f64 + examination_time;
                for output in outputs {
                    self.now += SECONDS_PER_MESSAGE;
                    if let Output::Upstream(PoolAction::CheckPeer(upstream)) = output {
                        // The check reads all that has arrived by now.
                        self.handle_due_events();
                        let completions = self.queue.take_completions();
                        for _ in &completions {
                            self.arrival_times.pop_first();
                        }
                        inputs.extend(completions);
                        inputs.push(Input::UpstreamChecked(upstream));
                    } else if let Output::CheckDownstream(client) = output {
                        // Messages of owners are queued as they arrive here, so nothing is unread.
                        inputs.push(Input::DownstreamChecked(client, PeerCheck::Queued));
                    } else {
                        self.apply_output(output);
                    }
                }
            }
        }
    }

    pub fn max_lag_since(&self, start: f64) -> f64 {
        self.lags
            .iter()
            .filter(|(time, _)| *time >= start)
            .map(|(_, lag)| *lag)
            .fold(0.0, f64::max)
    }
}
