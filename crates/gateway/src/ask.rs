//! A set-up's fields to a task, with all that can be wrong with them.

use crate::message::{Message, code};
use std::collections::BTreeMap;
use tidespur_policy::interface::{
    AttemptProgress, FailureCause, LoadReport, Resources, Seconds, ServiceId, Task, TaskId,
};
use tidespur_site_settings::{Site, convert};

/// An owner that says that it waits longer than this is not believed.
const WAIT_MOST: Seconds = 3600.0;
/// Nor is a task that is to run longer than this.
const LIFE_MOST: Seconds = 1e7;

/// Why a set-up can't be used. Its owner is told so by cause 100; the log names the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// A field is not there.
    #[error("{0} is missing or no text; whoever sent it speaks another edition of the protocol")]
    Missing(&'static str),
    /// A class that the settings do not have.
    #[error("a class that is not known; compare the owner's classes with the settings")]
    Class,
    /// A tenant that the settings do not have.
    #[error("a tenant that is not known; compare the owner's tenants with the settings")]
    Tenant,
    /// A field holds no number, or no finite one.
    #[error("{0}: no finite number; look at the owner's program")]
    Number(&'static str),
    /// A number that nothing here can serve.
    #[error(
        "{0}: out of range; no machine of the settings admits so much, or no owner waits so long"
    )]
    Range(&'static str),
    /// A name without a letter.
    #[error("an empty name; look at the owner's program")]
    Empty,
}

/// What a set-up asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// What the policy is told; its id is the caller's to give.
    pub task: Task,
    /// The machine that holds the task already.
    pub at: Option<String>,
}

fn fields(text: &str) -> BTreeMap<&str, &str> {
    text.split(';')
        .filter_map(|field| field.split_once(':'))
        .map(|(k, v)| (k.trim(), v.trim()))
        .collect()
}

fn number(what: &'static str, text: &str) -> Result<f64, AskError> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite())
        .ok_or(AskError::Number(what))
}

/// Reads a set-up that came at `now`.
///
/// # Errors
/// Names the field that can't be used.
pub fn read(site: &Site, now: Seconds, message: &Message) -> Result<Ask, AskError> {
    let text = |code, what| message.text(code).ok_or(AskError::Missing(what));
    let class = text(code::CLASS, "the class")?;
    let class = site
        .classes
        .iter()
        .position(|name| name == class)
        .ok_or(AskError::Class)?;
    let tenant = match (site.tenants.is_empty(), text(code::TENANT, "the tenant")) {
        (true, _) => 0,
        (false, tenant) => {
            let tenant = tenant?;
            site.tenants
                .iter()
                .position(|name| name == tenant)
                .ok_or(AskError::Tenant)?
        }
    };
    let asks = fields(text(code::ASKS, "what the task asks for")?);
    let field = |name: &'static str| asks.get(name).copied().ok_or(AskError::Missing(name));
    let most = |of: fn(&tidespur_policy::interface::MachineType) -> f64, admit: f64| {
        site.settings
            .machine_types
            .iter()
            .map(of)
            .fold(0.0, f64::max)
            * admit.max(1.0)
    };
    let cores = number("cores", field("cores")?)?;
    let memory = number("memory", field("memory")?)?;
    // No machine admits more, however empty: waiting would not help.
    if !(cores > 0.0 && cores <= most(|kind| kind.capacity.cpu, site.settings.overcommit.cpu)) {
        return Err(AskError::Range("cores"));
    }
    if !(memory >= 0.0
        && memory <= most(|kind| kind.capacity.memory, site.settings.overcommit.memory))
    {
        return Err(AskError::Range("memory"));
    }
    let service = field("service")?;
    if service.is_empty() || text(code::NAME, "the task's name")?.is_empty() {
        return Err(AskError::Empty);
    }
    let life = match message.text(code::HINT) {
        None if message.get(code::HINT).is_some() => return Err(AskError::Missing("the hint")),
        None => None,
        Some(hint) => Some(number("the hint", hint)? / 1000.0),
    };
    if life.is_some_and(|life| !(0.0..=LIFE_MOST).contains(&life)) {
        return Err(AskError::Range("the hint"));
    }
    let at = asks.get("at").map(|at| (*at).to_owned());
    let deadline = match (text(code::WAIT, "the wait"), &at) {
        (_, Some(_)) => f64::INFINITY,
        (Err(problem), None) => return Err(problem),
        (Ok(wait), None) => {
            let wait = number("the wait", wait)? / 1000.0;
            if !(wait > 0.0 && wait <= WAIT_MOST) {
                return Err(AskError::Range("the wait"));
            }
            now + wait
        }
    };
    let task = Task {
        id: TaskId(0),
        class,
        tenant,
        service: ServiceId(convert::stable_hash(service)),
        deadline,
        expected_duration: life,
        request: Resources::new(cores, memory),
        is_resubmission: message.text(code::RETRY) == Some("1"),
    };
    Ok(Ask { task, at })
}

/// What of a set-up goes on to a machine, in its order: all that is not for schedulers alone, as platforms send more
/// than one deployment's settings show (a tenant, the key of work that may be repeated). The wait is written anew.
pub fn passed(message: Message) -> Vec<(u8, Vec<u8>)> {
    let own = [code::RETRY, code::HINT, code::ASKS];
    message
        .parameters
        .into_iter()
        .filter(|(code, _)| !own.contains(code))
        .collect()
}

/// Whether a set-up names the machine that holds its task already.
pub fn is_handed(message: &Message) -> bool {
    message
        .text(code::ASKS)
        .is_some_and(|asks| fields(asks).contains_key("at"))
}

/// The load that came along, if any of it can be read.
pub fn report(message: &Message) -> Option<LoadReport> {
    let values = fields(message.text(code::LOAD)?);
    let values = values
        .into_iter()
        .filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?)))
        .collect();
    Some(convert::load_report(&values)).filter(|report| *report != LoadReport::default())
}

/// Why something was refused or released.
pub fn why(message: &Message) -> FailureCause {
    const WORDS: [&str; 7] = [
        "lack_cpu",
        "lack_ram",
        "backlog",
        "unfit",
        "killed",
        "displaced",
        "dismissed",
    ];
    let word = message.text(code::WORD).unwrap_or("");
    convert::failure_cause(
        WORDS
            .iter()
            .position(|w| *w == word)
            .map_or(0, |i| i as u32 + 1),
    )
}

/// What a note tells; `None` for one that is not known.
pub fn note(message: &Message) -> Option<AttemptProgress> {
    const WORDS: [&str; 5] = ["running", "use_cpu", "use_ram", "health", "ram_high"];
    let word = message.text(code::WORD)?;
    let sort = WORDS.iter().position(|w| *w == word)? as u32 + 1;
    let level = message
        .text(code::FIGURE)
        .and_then(|figure| figure.parse().ok())
        .unwrap_or(0.0);
    convert::attempt_progress(sort, level)
}
