//! Translates the simulator's messages into events of the policy, and the policy's actions into replies.
//!
//! See [`interface`](tidespur_policy::interface) for the events and actions. All decisions are made by the policy.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use base64::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;
use tidespur_site_settings::SettingsObject;
use tidespur_site_settings::convert::{attempt_progress, failure_cause, load_report, stable_hash};

/// One line of input. Times are in seconds.
#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "atTimeS")]
    now: f64,
    #[serde(rename = "arrivals")]
    messages: Vec<Message>,
}

/// A message of the simulator. All but `Page` are addressed to one scheduler.
#[derive(Deserialize)]
enum Message {
    /// A list of machines, to which later messages refer by its number.
    #[serde(rename = "Page")]
    EndpointPage {
        page: u32,
        #[serde(rename = "members")]
        endpoints: Vec<EndpointInfo>,
    },
    Start(Box<StartInfo>),
    Exit(ExitInfo),
    #[serde(rename = "PeersKnown")]
    EndpointsChanged(EndpointListInfo),
    #[serde(rename = "Submit")]
    TaskSubmitted(TaskInfo),
    #[serde(rename = "InPlace")]
    TaskAdopted(TaskInfo),
    #[serde(rename = "Confirmed")]
    AttemptConfirmed(AttemptInfo),
    #[serde(rename = "UpdateOf")]
    AttemptProgressed(AttemptInfo),
    #[serde(rename = "ClosedAttempt")]
    AttemptEnded(AttemptInfo),
    #[serde(rename = "Vanished")]
    TaskCancelled(CancelledTaskInfo),
    #[serde(rename = "Reminder")]
    TimerFired(TimerInfo),
    #[serde(rename = "Echo")]
    LoadPolled(LoadPollInfo),
    #[serde(rename = "Heard")]
    GossipReceived(GossipInfo),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StartInfo {
    scheduler_id: String,
    #[serde(rename = "salt")]
    seed: u64,
    #[serde(rename = "info")]
    settings: SettingsObject,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ExitInfo {
    scheduler_id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EndpointListInfo {
    scheduler_id: String,
    /// `update`, `replace`, `restored` or `unavailable`.
    kind: String,
    /// Number of the page with the machines; unused if the list is unavailable.
    #[serde(default)]
    page: u32,
}

#[derive(Deserialize)]
struct EndpointInfo {
    machine: String,
    /// Absent or 0 if unknown.
    #[serde(rename = "upSinceS")]
    started_at: Option<f64>,
    #[serde(default, rename = "coresFree")]
    unclaimed_cpu: f64,
    #[serde(default, rename = "kind")]
    machine_type: usize,
    #[serde(default, rename = "block")]
    cell: usize,
    #[serde(default, rename = "regionPart")]
    zone: usize,
    /// `Ready`, `Terminating` or `Gone`.
    health: String,
    #[serde(default, rename = "memoryFree")]
    unclaimed_memory: f64,
}

/// The fields of `Submit` and `InPlace`. In `Submit`, `service` is the index of the class and `app` the name of the
/// service; in `InPlace`, `class` is the index and `service` the name.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TaskInfo {
    scheduler_id: String,
    ticket: String,
    service: Value,
    class: Option<usize>,
    app: Option<String>,
    #[serde(default, rename = "party")]
    tenant: usize,
    #[serde(rename = "deadlineS")]
    deadline: Option<f64>,
    #[serde(rename = "lifeS")]
    expected_duration: Option<f64>,
    #[serde(default, rename = "cpuAsk")]
    requested_cpu: f64,
    #[serde(default, rename = "memNeeded")]
    requested_memory: f64,
    #[serde(default, rename = "returned")]
    is_resubmission: bool,
    /// Where the task runs; for `InPlace` only.
    machine: Option<String>,
}

/// The fields of `Confirmed`, `UpdateOf` and `ClosedAttempt`; each uses some of them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AttemptInfo {
    scheduler_id: String,
    ticket: String,
    #[serde(default, rename = "copy")]
    attempt: u32,
    #[serde(default, rename = "sort")]
    progress_code: u32,
    #[serde(default, rename = "level")]
    progress_value: f64,
    #[serde(default, rename = "remark")]
    cause_code: u32,
    #[serde(default, rename = "doneFlag")]
    closed: bool,
    #[serde(default, rename = "result")]
    outcome: String,
    report: Option<BTreeMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CancelledTaskInfo {
    scheduler_id: String,
    ticket: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TimerInfo {
    scheduler_id: String,
    token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LoadPollInfo {
    scheduler_id: String,
    /// `GOOD` if the machine has answered.
    result: String,
    machine: String,
    report: Option<BTreeMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct GossipInfo {
    scheduler_id: String,
    /// In base64.
    payload: String,
}

fn attempt_outcome(outcome: &str, cause_code: u32) -> Result<AttemptOutcome, String> {
    let cause = failure_cause(cause_code);
    Ok(match outcome {
        "GOOD" => AttemptOutcome::Finished,
        "BAD" => AttemptOutcome::Failed,
        "FULL" => AttemptOutcome::Rejected(cause),
        "LATE" => AttemptOutcome::TimedOut,
        "NOCONN" => AttemptOutcome::ConnectFailed,
        "RST" => AttemptOutcome::Interrupted(cause),
        "CXL" => AttemptOutcome::Cancelled,
        "NOP" => AttemptOutcome::NeverSent,
        other => {
            return Err(format!(
                "unknown outcome {other:?}; expected GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP"
            ));
        }
    })
}

/// Task ids of the tickets of one scheduler, numbered in the order of their first use.
#[derive(Default)]
struct TicketTable {
    ids: HashMap<String, TaskId>,
    tickets: Vec<String>,
}

impl TicketTable {
    /// The id of a ticket; an unknown ticket gets the next one.
    fn id(&mut self, ticket: &str) -> TaskId {
        if let Some(&id) = self.ids.get(ticket) {
            return id;
        }
        let id = TaskId(self.tickets.len() as u64);
        self.ids.insert(ticket.to_owned(), id);
        self.tickets.push(ticket.to_owned());
        id
    }

    fn ticket(&self, id: TaskId) -> &str {
        &self.tickets[id.0 as usize]
    }
}

struct Instance {
    scheduler_id: String,
    scheduler: Scheduler,
    tickets: TicketTable,
    /// Names of the machines that were mentioned so far.
    machines: BTreeMap<MachineId, String>,
    /// Events for the next step.
    events: Vec<Event>,
}

impl Instance {
    fn task(&mut self, info: &TaskInfo, is_adopted: bool) -> Result<Task, String> {
        let (class, service) = if is_adopted {
            let class = info.class.ok_or("`class` of InPlace is missing")?;
            (class, info.service.as_str())
        } else {
            let class = info
                .service
                .as_u64()
                .ok_or("`service` of Submit must be a non-negative integer")?;
            (class as usize, info.app.as_deref())
        };
        let service = service
            .ok_or("the service name, `app` of Submit or `service` of InPlace, must be a string")?;
        Ok(Task {
            id: self.tickets.id(&info.ticket),
            class,
            tenant: info.tenant,
            service: ServiceId(stable_hash(service)),
            deadline: info.deadline.unwrap_or(f64::INFINITY),
            expected_duration: info.expected_duration,
            request: Resources::new(info.requested_cpu, info.requested_memory),
            is_resubmission: info.is_resubmission,
        })
    }

    fn machine_id(&mut self, name: &str) -> MachineId {
        let id = MachineId(stable_hash(name));
        self.machines.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    fn endpoints(&mut self, infos: &[EndpointInfo]) -> Result<Vec<Endpoint>, String> {
        let mut endpoint = |info: &EndpointInfo| {
            Ok(Endpoint {
                machine: self.machine_id(&info.machine),
                machine_type: info.machine_type,
                cell: info.cell,
                zone: info.zone,
                status: match info.health.as_str() {
                    "Ready" => EndpointStatus::Ready,
                    "Terminating" => EndpointStatus::Draining,
                    "Gone" => EndpointStatus::Gone,
                    other => return Err(format!("unknown `health` {other:?}")),
                },
                started_at: info.started_at.filter(|&time| time > 0.0),
                unclaimed: Resources::new(info.unclaimed_cpu, info.unclaimed_memory),
            })
        };
        infos.iter().map(&mut endpoint).collect()
    }

    fn encode_action(&self, action: Action) -> Value {
        let id = &self.scheduler_id;
        let ticket = |task: TaskId| self.tickets.ticket(task);
        let name = |machine: MachineId| &self.machines[&machine];
        match action {
            Action::Offer {
                task,
                machine,
                timeout,
            } => {
                json!({"Place": {"schedulerId": id, "ticket": ticket(task), "machine": name(machine), "tryForS": timeout}})
            }
            Action::Reject { task, retry_after } => {
                json!({"Decline": {"schedulerId": id, "ticket": ticket(task), "retryInS": retry_after}})
            }
            Action::Fail(task) => json!({"Error": {"schedulerId": id, "ticket": ticket(task)}}),
            Action::Migrate(task) => {
                json!({"Relocate": {"schedulerId": id, "ticket": ticket(task)}})
            }
            Action::SubscribeEndpoints => json!({"Watch": {"schedulerId": id, "active": true}}),
            Action::SetTimer { after, token } => {
                json!({"Schedule": {"schedulerId": id, "inS": after, "token": token}})
            }
            Action::PollLoad(machine) => {
                json!({"Check": {"schedulerId": id, "machine": name(machine)}})
            }
            Action::Gossip(bytes) => {
                let payload = BASE64_STANDARD.encode(bytes);
                json!({"BroadcastTo": {"schedulerId": id, "recipient": -1, "payload": payload}})
            }
            Action::Log(line) => json!({"WriteLog": {"schedulerId": id, "what": line}}),
        }
    }
}

/// The schedulers of one process. They share the pages of machines and nothing else.
#[derive(Default)]
pub struct SchedulerHost {
    pages: BTreeMap<u32, Vec<EndpointInfo>>,
    instances: BTreeMap<String, Instance>,
}

impl SchedulerHost {
    /// Handles a line of input, which holds a batch of messages, and returns the line to reply. Each scheduler that has
    /// a message in the batch runs one step; the replies are in the order of the schedulers' first messages.
    ///
    /// # Errors
    /// Fails if the line is malformed; the error says what was expected.
    pub fn handle_line(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line)
            .map_err(|e| format!("expected a batch with `atTimeS` and `arrivals`: {e}"))?;
        let now = batch.now;
        if !now.is_finite() {
            return Err("`atTimeS` must be a finite number of seconds".to_owned());
        }
        let mut replies = Vec::new();
        let mut to_step: Vec<String> = Vec::new();
        for message in batch.messages {
            if let Some(id) = self.handle_message(now, message, &mut replies)?
                && !to_step.contains(&id)
            {
                to_step.push(id);
            }
        }
        for id in to_step {
            self.step(now, &id, &mut replies);
        }
        Ok(json!({ "do": replies }).to_string())
    }

    /// Passes its events to a scheduler and adds its actions to the replies. A panic of the policy is reported as a
    /// reply, and the other schedulers go on.
    fn step(&mut self, now: f64, scheduler_id: &str, replies: &mut Vec<Value>) {
        let Some(instance) = self.instances.get_mut(scheduler_id) else {
            return;
        };
        let events = std::mem::take(&mut instance.events);
        let mut actions = Vec::new();
        let result = catch_unwind(AssertUnwindSafe(|| {
            instance.scheduler.step(now, events, &mut actions)
        }));
        if result.is_err() {
            replies.push(
                json!({"Panic": {"schedulerId": scheduler_id, "what": "the decision module panicked"}}),
            );
            return;
        }
        let actions = actions.into_iter();
        replies.extend(actions.map(|action| instance.encode_action(action)));
    }

    /// Applies a message or queues its event; returns the scheduler that has to run a step, if any. A message to a
    /// scheduler that has not started or has exited is ignored.
    fn handle_message(
        &mut self,
        now: f64,
        message: Message,
        replies: &mut Vec<Value>,
    ) -> Result<Option<String>, String> {
        let (scheduler_id, event) = match message {
            Message::EndpointPage { page, endpoints } => {
                self.pages.insert(page, endpoints);
                return Ok(None);
            }
            Message::Start(start) => {
                let scheduler = start
                    .settings
                    .into_settings()
                    .map_err(|e| e.to_string())
                    .and_then(|settings| {
                        Scheduler::new(settings, start.seed).map_err(|e| e.to_string())
                    });
                match scheduler {
                    Ok(scheduler) => {
                        let scheduler_id = start.scheduler_id;
                        let instance = Instance {
                            scheduler_id: scheduler_id.clone(),
                            scheduler,
                            tickets: TicketTable::default(),
                            machines: BTreeMap::new(),
                            events: Vec::new(),
                        };
                        self.instances.insert(scheduler_id.clone(), instance);
                        return Ok(Some(scheduler_id));
                    }
                    Err(error) => {
                        replies.push(
                            json!({"Panic": {"schedulerId": start.scheduler_id, "what": error}}),
                        );
                        return Ok(None);
                    }
                }
            }
            Message::Exit(exit) => {
                // Earlier events of this batch are still handled; the replies are dropped as the scheduler has ended.
                self.step(now, &exit.scheduler_id, &mut Vec::new());
                self.instances.remove(&exit.scheduler_id);
                return Ok(None);
            }
            Message::EndpointsChanged(info) => {
                let Some(instance) = self.instances.get_mut(&info.scheduler_id) else {
                    return Ok(None);
                };
                let mut endpoints = || {
                    let page = self.pages.get(&info.page);
                    let page = page.ok_or_else(|| format!("page {} was never sent", info.page))?;
                    instance.endpoints(page)
                };
                let event = match info.kind.as_str() {
                    "update" => Event::EndpointsChanged(endpoints()?),
                    "replace" | "restored" => Event::EndpointsListed(endpoints()?),
                    "unavailable" => Event::EndpointListFailed,
                    other => return Err(format!("unknown `kind` {other:?} of PeersKnown")),
                };
                (info.scheduler_id, event)
            }
            Message::TaskSubmitted(info) => {
                let Some(instance) = self.instances.get_mut(&info.scheduler_id) else {
                    return Ok(None);
                };
                let event = Event::TaskSubmitted(instance.task(&info, false)?);
                (info.scheduler_id, event)
            }
            Message::TaskAdopted(info) => {
                let Some(instance) = self.instances.get_mut(&info.scheduler_id) else {
                    return Ok(None);
                };
                let machine = info
                    .machine
                    .as_deref()
                    .ok_or("`machine` of InPlace is missing")?;
                let machine = instance.machine_id(machine);
                let event = Event::TaskAdopted(instance.task(&info, true)?, machine);
                (info.scheduler_id, event)
            }
            Message::AttemptConfirmed(info) => self.attempt_event(info, |task, info| {
                Ok(Some(Event::AttemptConfirmed {
                    task,
                    attempt: info.attempt,
                }))
            })?,
            Message::AttemptProgressed(info) => self.attempt_event(info, |task, info| {
                let progress = attempt_progress(info.progress_code, info.progress_value);
                Ok(progress.map(|progress| Event::AttemptProgressed { task, progress }))
            })?,
            Message::AttemptEnded(info) => self.attempt_event(info, |task, info| {
                Ok(Some(Event::AttemptEnded {
                    task,
                    attempt: info.attempt,
                    outcome: attempt_outcome(&info.outcome, info.cause_code)?,
                    closed: info.closed,
                    report: info.report.as_ref().map(load_report),
                }))
            })?,
            Message::TaskCancelled(info) => {
                let Some(instance) = self.instances.get_mut(&info.scheduler_id) else {
                    return Ok(None);
                };
                let event = Event::TaskCancelled(instance.tickets.id(&info.ticket));
                (info.scheduler_id, event)
            }
            Message::TimerFired(info) => (info.scheduler_id, Event::TimerFired(info.token)),
            Message::LoadPolled(info) => {
                let Some(instance) = self.instances.get_mut(&info.scheduler_id) else {
                    return Ok(None);
                };
                let report = (info.result == "GOOD")
                    .then(|| info.report.as_ref().map(load_report).unwrap_or_default());
                let event = Event::LoadPolled {
                    machine: instance.machine_id(&info.machine),
                    report,
                };
                (info.scheduler_id, event)
            }
            Message::GossipReceived(info) => {
                let bytes = BASE64_STANDARD
                    .decode(&info.payload)
                    .map_err(|e| format!("`payload` of Heard must be base64: {e}"))?;
                (info.scheduler_id, Event::GossipReceived(bytes))
            }
        };
        let Some(instance) = self.instances.get_mut(&scheduler_id) else {
            return Ok(None);
        };
        instance.events.push(event);
        Ok(Some(scheduler_id))
    }

    /// Converts a message about an attempt. Progress with an unknown code has no event of its own: the scheduler only
    /// runs a step, as after a timer.
    fn attempt_event(
        &mut self,
        info: AttemptInfo,
        convert: impl Fn(TaskId, &AttemptInfo) -> Result<Option<Event>, String>,
    ) -> Result<(String, Event), String> {
        // If no such scheduler runs, the event is dropped later, and the id does not matter.
        let task = self
            .instances
            .get_mut(&info.scheduler_id)
            .map_or(TaskId(0), |instance| instance.tickets.id(&info.ticket));
        let event = convert(task, &info)?.unwrap_or(Event::TimerFired(0));
        Ok((info.scheduler_id, event))
    }
}
