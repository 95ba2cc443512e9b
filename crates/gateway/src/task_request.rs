//! Parser of set-ups: converts them to the policy's tasks.
//!
//! Called by the gateway for each set-up; one that can't be used is rejected with the error of its first invalid field.

use crate::message::{Message, Parameters, code};
use std::collections::BTreeMap;
use tidespur_policy::interface::{Resources, Seconds, ServiceId, Task, TaskId};
use tidespur_site_settings::{Site, convert};

/// A set-up with a longer timeout is rejected, as no owner of the platform waits that long.
const MAX_TIMEOUT: Seconds = 3600.0;
/// A set-up with a longer expected duration is rejected.
const MAX_EXPECTED_DURATION: Seconds = 1e7;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Why a set-up can't be used. The owner gets [`cause::INVALID_CONTENT`](crate::message::cause); the log names the
/// field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskRequestError {
    /// A required field is missing or isn't UTF-8.
    #[error("{0}: missing or not UTF-8; check that the owner's protocol version is supported")]
    Missing(&'static str),
    /// The settings don't contain the class.
    #[error("unknown class; compare the owner's classes with the settings")]
    UnknownClass,
    /// The settings don't contain the tenant.
    #[error("unknown tenant; compare the owner's tenants with the settings")]
    UnknownTenant,
    /// A field isn't a finite number.
    #[error("{0}: not a finite number; check the program of the owner")]
    NotANumber(&'static str),
    /// A number is outside of its range.
    #[error(
        "{0}: out of range; check that a machine type in the settings admits this much, and that a time isn't too long"
    )]
    OutOfRange(&'static str),
    /// The task's name or its service is empty.
    #[error("the name of the task or of its service is empty; check the program of the owner")]
    EmptyName,
}

/// A parsed set-up.
#[derive(Clone, Debug)]
pub struct TaskRequest {
    /// The task for the policy; its id is 0 until the caller assigns one.
    pub task: Task,
    /// Name of the machine that holds the task already; `None` unless the set-up is a hand-over.
    pub placed_at: Option<String>,
}

/// Splits `key:value;key:value` into its fields. If a key repeats, the last value counts.
pub(crate) fn fields(text: &str) -> BTreeMap<&str, &str> {
    text.split(';')
        .filter_map(|field| field.split_once(':'))
        .map(|(key, value)| (key.trim(), value.trim()))
        .collect()
}

fn number(field: &'static str, text: &str) -> Result<f64, TaskRequestError> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite())
        .ok_or(TaskRequestError::NotANumber(field))
}

fn required_text<'a>(
    message: &'a Message,
    code: u8,
    field: &'static str,
) -> Result<&'a str, TaskRequestError> {
    message.text(code).ok_or(TaskRequestError::Missing(field))
}

fn required_field<'a>(
    fields: &BTreeMap<&str, &'a str>,
    name: &'static str,
) -> Result<&'a str, TaskRequestError> {
    fields
        .get(name)
        .copied()
        .ok_or(TaskRequestError::Missing(name))
}

/// Parses a set-up that arrived at `now`.
///
/// # Errors
/// Fails with the error of the first invalid field.
pub fn parse(
    site: &Site,
    now: Seconds,
    message: &Message,
) -> Result<TaskRequest, TaskRequestError> {
    let class = class_index(site, message)?;
    let tenant = tenant_index(site, message)?;
    let fields = fields(required_text(
        message,
        code::REQUESTED,
        "requested resources",
    )?);
    let request = requested_resources(site, &fields)?;
    let service = required_field(&fields, "service")?;
    if service.is_empty() || required_text(message, code::NAME, "name of the task")?.is_empty() {
        return Err(TaskRequestError::EmptyName);
    }
    let expected_duration = expected_duration(message)?;
    let placed_at = fields.get("at").map(|machine| (*machine).to_owned());
    let deadline = match placed_at {
        Some(_) => f64::INFINITY,
        None => now + timeout(message)?,
    };
    let task = Task {
        id: TaskId(0),
        class,
        tenant,
        service: ServiceId(convert::stable_hash(service)),
        deadline,
        expected_duration,
        request,
        is_resubmission: message.text(code::RETRY) == Some("1"),
    };
    Ok(TaskRequest { task, placed_at })
}

fn class_index(site: &Site, message: &Message) -> Result<usize, TaskRequestError> {
    let class = required_text(message, code::CLASS, "class")?;
    site.classes
        .iter()
        .position(|name| name == class)
        .ok_or(TaskRequestError::UnknownClass)
}

/// Index of the tenant in the settings; 0 if the settings have no tenants, whatever the set-up contains.
fn tenant_index(site: &Site, message: &Message) -> Result<usize, TaskRequestError> {
    if site.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = required_text(message, code::TENANT, "tenant")?;
    site.tenants
        .iter()
        .position(|name| name == tenant)
        .ok_or(TaskRequestError::UnknownTenant)
}

/// Parses the requested resources. A request that exceeds what an empty machine of the largest type admits is out of
/// range, as waiting can't help.
fn requested_resources(
    site: &Site,
    fields: &BTreeMap<&str, &str>,
) -> Result<Resources, TaskRequestError> {
    let cores = number("cores", required_field(fields, "cores")?)?;
    let memory = number("memory", required_field(fields, "memory")?)?;
    let machine_types = &site.settings.machine_types;
    let overcommit = &site.settings.overcommit;
    let largest_cpu = machine_types
        .iter()
        .map(|machine_type| machine_type.capacity.cpu)
        .fold(0.0, f64::max);
    if !(cores > 0.0 && cores <= largest_cpu * overcommit.cpu.max(1.0)) {
        return Err(TaskRequestError::OutOfRange("cores"));
    }
    let largest_memory = machine_types
        .iter()
        .map(|machine_type| machine_type.capacity.memory)
        .fold(0.0, f64::max);
    if !(memory >= 0.0 && memory <= largest_memory * overcommit.memory.max(1.0)) {
        return Err(TaskRequestError::OutOfRange("memory"));
    }
    Ok(Resources::new(cores, memory))
}

/// Parses the duration that the owner expects, in seconds; `None` if the set-up has none.
fn expected_duration(message: &Message) -> Result<Option<Seconds>, TaskRequestError> {
    if message.get(code::EXPECTED_DURATION).is_none() {
        return Ok(None);
    }
    let duration = required_text(message, code::EXPECTED_DURATION, "expected duration")?;
    let duration = number("expected duration", duration)? / MILLISECONDS_PER_SECOND;
    if !(0.0..=MAX_EXPECTED_DURATION).contains(&duration) {
        return Err(TaskRequestError::OutOfRange("expected duration"));
    }
    Ok(Some(duration))
}

/// How long the owner waits for an answer, in seconds.
fn timeout(message: &Message) -> Result<Seconds, TaskRequestError> {
    let timeout = required_text(message, code::TIMEOUT, "timeout")?;
    let timeout = number("timeout", timeout)? / MILLISECONDS_PER_SECOND;
    if !(timeout > 0.0 && timeout <= MAX_TIMEOUT) {
        return Err(TaskRequestError::OutOfRange("timeout"));
    }
    Ok(timeout)
}

/// Selects the parameters of a set-up that are forwarded to a machine, in their order: all except those for schedulers
/// only. Unknown parameters are forwarded too, as the platform sends more of them (a tenant, an idempotency key) than a
/// deployment's settings show. The timeout is included, but each offer replaces its value.
pub fn forwarded_parameters(message: Message) -> Parameters {
    let scheduler_only = [code::RETRY, code::EXPECTED_DURATION, code::REQUESTED];
    let mut parameters = message.parameters;
    parameters.retain(|code| !scheduler_only.contains(&code));
    parameters
}

/// Whether a set-up is a hand-over: it names the machine that holds its task already.
pub fn is_handover(message: &Message) -> bool {
    message
        .text(code::REQUESTED)
        .is_some_and(|requested| fields(requested).contains_key("at"))
}
