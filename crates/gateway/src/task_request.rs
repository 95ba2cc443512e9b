//! Parses set-ups into the policy's tasks.
//!
//! Called by the gateway for each message; a set-up that can't be used is rejected with the error of the first field.

use crate::message::{Message, code};
use std::collections::BTreeMap;
use tidespur_policy::interface::{Resources, Seconds, ServiceId, Task, TaskId};
use tidespur_site_settings::{Site, convert};

/// A set-up whose owner waits longer than this is rejected, as no owner of the platform waits so long.
const MAX_OWNER_WAIT: Seconds = 3600.0;
/// A set-up whose task is expected to run longer than this is rejected.
const MAX_EXPECTED_DURATION: Seconds = 1e7;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Why a set-up can't be used. Its owner is told so by cause 100; the log names the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskRequestError {
    /// A field is not there.
    #[error("{0} is missing or no text; its sender may use another version of the protocol")]
    Missing(&'static str),
    /// A class that the settings do not have.
    #[error("a class that is not known; compare the owner's classes with the settings")]
    UnknownClass,
    /// A tenant that the settings do not have.
    #[error("a tenant that is not known; compare the owner's tenants with the settings")]
    UnknownTenant,
    /// A field holds no number, or no finite one.
    #[error("{0}: no finite number; check the owner's program")]
    NotANumber(&'static str),
    /// A number that nothing here can serve.
    #[error(
        "{0}: out of range; no machine of the settings admits so much, or no owner waits so long"
    )]
    OutOfRange(&'static str),
    /// A name without a letter.
    #[error("an empty name; check the owner's program")]
    EmptyName,
}

/// What a set-up asks for.
#[derive(Clone, Debug)]
pub struct TaskRequest {
    /// The task as the policy knows it; its id is assigned by the caller.
    pub task: Task,
    /// The machine that holds the task already.
    pub placed_at: Option<String>,
}

/// Splits `key:value;key:value` into its fields; a later field of the same key replaces an earlier one.
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
/// Fails with the first field that can't be used.
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
        "what the task asks for",
    )?);
    let request = requested_resources(site, &fields)?;
    let service = required_field(&fields, "service")?;
    if service.is_empty() || required_text(message, code::NAME, "the task's name")?.is_empty() {
        return Err(TaskRequestError::EmptyName);
    }
    let expected_duration = expected_duration(message)?;
    let placed_at = fields.get("at").map(|machine| (*machine).to_owned());
    let deadline = match placed_at {
        Some(_) => f64::INFINITY,
        None => now + owner_wait(message)?,
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
    let class = required_text(message, code::CLASS, "the class")?;
    site.classes
        .iter()
        .position(|name| name == class)
        .ok_or(TaskRequestError::UnknownClass)
}

/// The tenant's index in the settings; 0 where the settings have no tenants, whatever the set-up says.
fn tenant_index(site: &Site, message: &Message) -> Result<usize, TaskRequestError> {
    if site.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = required_text(message, code::TENANT, "the tenant")?;
    site.tenants
        .iter()
        .position(|name| name == tenant)
        .ok_or(TaskRequestError::UnknownTenant)
}

/// The requested resources. A request that no machine admits even when it is empty is out of range: waiting would not
/// help.
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

/// The duration that the owner expects, if the set-up has a hint.
fn expected_duration(message: &Message) -> Result<Option<Seconds>, TaskRequestError> {
    if message.get(code::EXPECTED_DURATION).is_none() {
        return Ok(None);
    }
    let hint = required_text(message, code::EXPECTED_DURATION, "the hint")?;
    let duration = number("the hint", hint)? / MILLISECONDS_PER_SECOND;
    if !(0.0..=MAX_EXPECTED_DURATION).contains(&duration) {
        return Err(TaskRequestError::OutOfRange("the hint"));
    }
    Ok(Some(duration))
}

/// How long the owner waits for an answer.
fn owner_wait(message: &Message) -> Result<Seconds, TaskRequestError> {
    let wait = required_text(message, code::TIMEOUT, "the wait")?;
    let wait = number("the wait", wait)? / MILLISECONDS_PER_SECOND;
    if !(wait > 0.0 && wait <= MAX_OWNER_WAIT) {
        return Err(TaskRequestError::OutOfRange("the wait"));
    }
    Ok(wait)
}

/// What of a set-up goes on to a machine, in its order: all that is not for schedulers alone, as platforms send more
/// than one deployment's settings show (a tenant, the key of work that may be repeated). The wait is written anew.
pub fn forwarded_parameters(message: Message) -> Vec<(u8, Vec<u8>)> {
    let own = [code::RETRY, code::EXPECTED_DURATION, code::REQUESTED];
    message
        .parameters
        .into_iter()
        .filter(|(code, _)| !own.contains(code))
        .collect()
}

/// Whether a set-up names the machine that holds its task already.
pub fn is_handover(message: &Message) -> bool {
    message
        .text(code::REQUESTED)
        .is_some_and(|asks| fields(asks).contains_key("at"))
}
