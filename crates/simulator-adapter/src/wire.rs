//! Translation between the simulator's wire and [`interface`](tidespur_policy::interface). No decisions.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use base64::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;
use tidespur_site_settings::SettingsObject;
use tidespur_site_settings::convert::{attempt_progress, failure_cause, load_report, stable_hash};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Batch {
    at_time_s: f64,
    arrivals: Vec<Arrival>,
}

#[derive(Deserialize)]
enum Arrival {
    Page { page: u32, members: Vec<Member> },
    Start(Box<Start>),
    Exit(Bare),
    PeersKnown(PeersKnown),
    Submit(WireTask),
    InPlace(WireTask),
    Confirmed(Attempt),
    UpdateOf(Attempt),
    ClosedAttempt(Attempt),
    Vanished(Ticket),
    Reminder(Token),
    Echo(EchoOf),
    Heard(HeardOf),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bare {
    scheduler_id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Ticket {
    scheduler_id: String,
    ticket: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Token {
    scheduler_id: String,
    token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EchoOf {
    scheduler_id: String,
    result: String,
    machine: String,
    report: Option<BTreeMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HeardOf {
    scheduler_id: String,
    payload: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Start {
    scheduler_id: String,
    salt: u64,
    info: SettingsObject,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PeersKnown {
    scheduler_id: String,
    kind: String,
    #[serde(default)]
    page: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Member {
    machine: String,
    up_since_s: Option<f64>,
    #[serde(default)]
    cores_free: f64,
    #[serde(default)]
    kind: usize,
    #[serde(default)]
    block: usize,
    #[serde(default)]
    region_part: usize,
    health: String,
    #[serde(default)]
    memory_free: f64,
}

/// `Submit` and `InPlace`: the class is `service` in the first and `class` in the second, where `service` is
/// what the first calls `app`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTask {
    scheduler_id: String,
    ticket: String,
    service: Value,
    class: Option<usize>,
    app: Option<String>,
    #[serde(default)]
    party: usize,
    deadline_s: Option<f64>,
    life_s: Option<f64>,
    #[serde(default)]
    cpu_ask: f64,
    #[serde(default)]
    mem_needed: f64,
    #[serde(default)]
    returned: bool,
    machine: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Attempt {
    scheduler_id: String,
    ticket: String,
    #[serde(default)]
    copy: u32,
    #[serde(default)]
    sort: u32,
    #[serde(default)]
    level: f64,
    #[serde(default)]
    remark: u32,
    #[serde(default)]
    done_flag: bool,
    #[serde(default)]
    result: String,
    report: Option<BTreeMap<String, f64>>,
}

fn ending_of(result: &str, remark: u32) -> Result<AttemptOutcome, String> {
    let why = failure_cause(remark);
    Ok(match result {
        "GOOD" => AttemptOutcome::Finished,
        "BAD" => AttemptOutcome::Failed,
        "FULL" => AttemptOutcome::Rejected(why),
        "LATE" => AttemptOutcome::TimedOut,
        "NOCONN" => AttemptOutcome::ConnectFailed,
        "RST" => AttemptOutcome::Interrupted(why),
        "CXL" => AttemptOutcome::Cancelled,
        "NOP" => AttemptOutcome::NeverSent,
        other => {
            return Err(format!(
                "an outcome was expected (GOOD, BAD, FULL, ...), not {other:?}"
            ));
        }
    })
}

/// Numbers for the texts of one instance, in the order in which they were met.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u64>,
    texts: Vec<String>,
}

impl Names {
    fn number(&mut self, text: &str) -> u64 {
        if let Some(&n) = self.numbers.get(text) {
            return n;
        }
        let n = self.texts.len() as u64;
        self.numbers.insert(text.to_owned(), n);
        self.texts.push(text.to_owned());
        n
    }
}

struct Instance {
    name: String,
    scheduler: Scheduler,
    tickets: Names,
    machines: BTreeMap<MachineId, String>,
    events: Vec<Event>,
}

impl Instance {
    fn task(&mut self, w: &WireTask, in_place: bool) -> Result<Task, String> {
        let (class, service) = if in_place {
            (
                w.class.ok_or("`class` was expected in InPlace")?,
                w.service.as_str(),
            )
        } else {
            let class = w
                .service
                .as_u64()
                .ok_or("`service` of Submit must be a whole number")?;
            (class as usize, w.app.as_deref())
        };
        let service = service.ok_or("the name of the service was expected as a text")?;
        Ok(Task {
            id: TaskId(self.tickets.number(&w.ticket)),
            class,
            tenant: w.party,
            service: ServiceId(stable_hash(service)),
            deadline: w.deadline_s.unwrap_or(f64::INFINITY),
            expected_duration: w.life_s,
            request: Resources::new(w.cpu_ask, w.mem_needed),
            is_resubmission: w.returned,
        })
    }

    fn machine(&mut self, text: &str) -> MachineId {
        let id = MachineId(stable_hash(text));
        self.machines.entry(id).or_insert_with(|| text.to_owned());
        id
    }

    fn entries(&mut self, members: &[Member]) -> Result<Vec<Endpoint>, String> {
        let mut entry = |m: &Member| {
            Ok(Endpoint {
                machine: self.machine(&m.machine),
                machine_type: m.kind,
                cell: m.block,
                zone: m.region_part,
                status: match m.health.as_str() {
                    "Ready" => EndpointStatus::Ready,
                    "Terminating" => EndpointStatus::Draining,
                    "Gone" => EndpointStatus::Gone,
                    other => return Err(format!("health {other:?} is not known")),
                },
                started_at: m.up_since_s.filter(|&t| t > 0.0),
                unclaimed: Resources::new(m.cores_free, m.memory_free),
            })
        };
        members.iter().map(&mut entry).collect()
    }

    fn write(&self, action: Action) -> Value {
        let who = &self.name;
        let ticket = |id: TaskId| &self.tickets.texts[id.0 as usize];
        let machine = |id: MachineId| &self.machines[&id];
        match action {
            Action::Offer {
                task,
                machine: m,
                timeout: wait,
            } => {
                json!({"Place": {"schedulerId": who, "ticket": ticket(task), "machine": machine(m), "tryForS": wait}})
            }
            Action::Reject {
                task,
                retry_after: retry_in,
            } => {
                json!({"Decline": {"schedulerId": who, "ticket": ticket(task), "retryInS": retry_in}})
            }
            Action::Fail(task) => json!({"Error": {"schedulerId": who, "ticket": ticket(task)}}),
            Action::Migrate(task) => {
                json!({"Relocate": {"schedulerId": who, "ticket": ticket(task)}})
            }
            Action::SubscribeEndpoints => json!({"Watch": {"schedulerId": who, "active": true}}),
            Action::SetTimer { after, token } => {
                json!({"Schedule": {"schedulerId": who, "inS": after, "token": token}})
            }
            Action::PollLoad(m) => json!({"Check": {"schedulerId": who, "machine": machine(m)}}),
            Action::Gossip(bytes) => {
                let payload = BASE64_STANDARD.encode(bytes);
                json!({"BroadcastTo": {"schedulerId": who, "recipient": -1, "payload": payload}})
            }
            Action::Log(what) => json!({"WriteLog": {"schedulerId": who, "what": what}}),
        }
    }
}

/// All instances that one process hosts. They share the numbered lists of machines and nothing else.
#[derive(Default)]
pub struct SchedulerHost {
    pages: BTreeMap<u32, Vec<Member>>,
    instances: BTreeMap<String, Instance>,
}

impl SchedulerHost {
    /// Answers one line of input. `Ok(None)` never happens for a whole batch; an error is told in plain words.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>, String> {
        let batch: Batch = serde_json::from_str(text)
            .map_err(|e| format!("a batch with `atTimeS` and `arrivals` was expected: {e}"))?;
        if !batch.at_time_s.is_finite() {
            return Err("`atTimeS` must be a number of seconds".to_owned());
        }
        let now = batch.at_time_s;
        let mut todo = Vec::new();
        let mut order: Vec<String> = Vec::new();
        for arrival in batch.arrivals {
            if let Some(name) = self.take(now, arrival, &mut todo)?
                && !order.contains(&name)
            {
                order.push(name);
            }
        }
        for name in order {
            self.run(now, &name, &mut todo);
        }
        Ok(Some(json!({ "do": todo }).to_string()))
    }

    fn run(&mut self, now: f64, name: &str, todo: &mut Vec<Value>) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let events = std::mem::take(&mut instance.events);
        let mut actions = Vec::new();
        let done = catch_unwind(AssertUnwindSafe(|| {
            instance.scheduler.step(now, events, &mut actions)
        }));
        if done.is_err() {
            todo.push(
                json!({"Panic": {"schedulerId": name, "what": "the decision module panicked"}}),
            );
            return;
        }
        todo.extend(actions.into_iter().map(|a| instance.write(a)));
    }

    fn take(
        &mut self,
        now: f64,
        arrival: Arrival,
        todo: &mut Vec<Value>,
    ) -> Result<Option<String>, String> {
        let (name, event) = match arrival {
            Arrival::Page { page, members } => {
                self.pages.insert(page, members);
                return Ok(None);
            }
            Arrival::Start(start) => {
                let made = start
                    .info
                    .into_settings()
                    .map_err(|error| error.to_string())
                    .and_then(|set| Scheduler::new(set, start.salt).map_err(|e| e.to_string()));
                match made {
                    Ok(scheduler) => {
                        let name = start.scheduler_id;
                        let instance = Instance {
                            name: name.clone(),
                            scheduler,
                            tickets: Names::default(),
                            machines: BTreeMap::new(),
                            events: Vec::new(),
                        };
                        self.instances.insert(name.clone(), instance);
                        return Ok(Some(name));
                    }
                    Err(what) => {
                        todo.push(
                            json!({"Panic": {"schedulerId": start.scheduler_id, "what": what}}),
                        );
                        return Ok(None);
                    }
                }
            }
            Arrival::Exit(of) => {
                self.run(now, &of.scheduler_id, &mut Vec::new());
                self.instances.remove(&of.scheduler_id);
                return Ok(None);
            }
            Arrival::PeersKnown(known) => {
                let Some(instance) = self.instances.get_mut(&known.scheduler_id) else {
                    return Ok(None);
                };
                let mut list = || {
                    let page = self.pages.get(&known.page);
                    instance
                        .entries(page.ok_or_else(|| format!("page {} was never sent", known.page))?)
                };
                let event = match known.kind.as_str() {
                    "update" => Event::EndpointsChanged(list()?),
                    "replace" | "restored" => Event::EndpointsListed(list()?),
                    "unavailable" => Event::EndpointListFailed,
                    other => return Err(format!("PeersKnown of kind {other:?} is not known")),
                };
                (known.scheduler_id, event)
            }
            Arrival::Submit(task) => {
                let Some(instance) = self.instances.get_mut(&task.scheduler_id) else {
                    return Ok(None);
                };
                let event = Event::TaskSubmitted(instance.task(&task, false)?);
                (task.scheduler_id, event)
            }
            Arrival::InPlace(task) => {
                let Some(instance) = self.instances.get_mut(&task.scheduler_id) else {
                    return Ok(None);
                };
                let machine = task
                    .machine
                    .as_deref()
                    .ok_or("`machine` was expected in InPlace")?;
                let machine = instance.machine(machine);
                let event = Event::TaskAdopted(instance.task(&task, true)?, machine);
                (task.scheduler_id, event)
            }
            Arrival::Confirmed(of) => self.attempt(of, |task, of| {
                Ok(Some(Event::AttemptConfirmed {
                    task,
                    attempt: of.copy,
                }))
            })?,
            Arrival::UpdateOf(of) => self.attempt(of, |task, of| {
                Ok(
                    attempt_progress(of.sort, of.level).map(|note| Event::AttemptProgressed {
                        task,
                        progress: note,
                    }),
                )
            })?,
            Arrival::ClosedAttempt(of) => self.attempt(of, |task, of| {
                Ok(Some(Event::AttemptEnded {
                    task,
                    attempt: of.copy,
                    outcome: ending_of(&of.result, of.remark)?,
                    closed: of.done_flag,
                    report: of.report.take().as_ref().map(load_report),
                }))
            })?,
            Arrival::Vanished(of) => {
                let Some(instance) = self.instances.get_mut(&of.scheduler_id) else {
                    return Ok(None);
                };
                let event = Event::TaskCancelled(TaskId(instance.tickets.number(&of.ticket)));
                (of.scheduler_id, event)
            }
            Arrival::Reminder(of) => (of.scheduler_id, Event::TimerFired(of.token)),
            Arrival::Echo(of) => {
                let Some(instance) = self.instances.get_mut(&of.scheduler_id) else {
                    return Ok(None);
                };
                let report = (of.result == "GOOD")
                    .then(|| of.report.as_ref().map(load_report).unwrap_or_default());
                let event = Event::LoadPolled {
                    machine: instance.machine(&of.machine),
                    report,
                };
                (of.scheduler_id, event)
            }
            Arrival::Heard(of) => {
                let bytes = BASE64_STANDARD
                    .decode(&of.payload)
                    .map_err(|e| format!("`payload` of Heard must be base64: {e}"))?;
                (of.scheduler_id, Event::GossipReceived(bytes))
            }
        };
        let Some(instance) = self.instances.get_mut(&name) else {
            return Ok(None);
        };
        instance.events.push(event);
        Ok(Some(name))
    }

    fn attempt(
        &mut self,
        mut of: Attempt,
        event: impl Fn(TaskId, &mut Attempt) -> Result<Option<Event>, String>,
    ) -> Result<(String, Event), String> {
        let number = self
            .instances
            .get_mut(&of.scheduler_id)
            .map_or(0, |i| i.tickets.number(&of.ticket));
        // A note of a kind not known is passed on as nothing: a timer that nobody asked for.
        let event = event(TaskId(number), &mut of)?.unwrap_or(Event::TimerFired(0));
        Ok((of.scheduler_id, event))
    }
}
