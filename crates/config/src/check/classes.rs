//! Validates one class.

use super::DAY;
use crate::error::{InvalidValue, check_range};
use crate::{Class, NodeType, RetrySafety};
use indexmap::IndexMap;

/// Validates the class of this name.
pub(super) fn check(
    name: &str,
    class: &Class,
    node_types: &IndexMap<String, NodeType>,
) -> Result<(), InvalidValue> {
    let key = |key: &str| format!("class.{name}.{key}");
    let objective = class.latency_objective;
    check_range(&key("aim"), objective, 0.001, DAY)?;
    check_range(&key("deadline"), class.deadline, objective, DAY)?;
    check_range(&key("worth"), class.priority_weight, 0.0, 1e6)?;
    check_range(&key("start_worth"), class.start_weight, 0.0, 1e6)?;
    check_range(&key("calm"), class.full_service_utilization, 0.01, 1.0)?;
    check_range(&key("fade"), class.degradation_range, 0.01, 100.0)?;
    check_range(&key("priority"), f64::from(class.priority), 0.0, 1000.0)?;
    if let Some(node_type) = &class.node_type
        && !node_types.contains_key(node_type)
    {
        return Err(InvalidValue::new(
            key("kind"),
            "is no kind of these settings",
        ));
    }
    check_deduplication(class, key)?;
    check_spread(class, key)
}

/// A keyed class requires a deduplication domain and window; other classes must have neither.
fn check_deduplication(class: &Class, key: impl Fn(&str) -> String) -> Result<(), InvalidValue> {
    let is_keyed = class.retry_safety == RetrySafety::IdempotencyKeyed;
    let invalid = |name: &str, message: &str| Err(InvalidValue::new(key(name), message));
    match (class.deduplication_domain, class.deduplication_window) {
        (Some(_), Some(window)) if is_keyed => check_range(&key("window"), window, 0.0, DAY),
        (None, _) if is_keyed => invalid("effect", "a keyed class needs a group"),
        (_, None) if is_keyed => invalid("effect", "a keyed class needs a window"),
        (None, None) => Ok(()),
        (Some(_), _) => invalid("group", "only a keyed class has a group"),
        (None, Some(_)) => invalid("window", "only a keyed class has a window"),
    }
}

/// The spread domain and the spread limit require each other.
fn check_spread(class: &Class, key: impl Fn(&str) -> String) -> Result<(), InvalidValue> {
    let invalid = |message: &str| Err(InvalidValue::new(key("spread_most"), message));
    match (class.spread_domain, class.max_per_spread_domain) {
        (Some(_), 0) => invalid("0 would let nothing start: allowed is 1 to 4294967295"),
        (None, max) if max > 0 => invalid("has no meaning without spread"),
        _ => Ok(()),
    }
}
