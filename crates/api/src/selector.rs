//! Parses label and field selectors and matches them against objects.

use crate::{ApiError, Object, meta};

/// A requirement on the value of one label or field.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Requirement {
    In(Vec<String>),
    NotIn(Vec<String>),
    Exists,
    Missing,
}

/// Selector of a list or watch; the default matches every object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    labels: Vec<(String, Requirement)>,
    fields: Vec<(String, Requirement)>,
}

/// Longest selector, in bytes.
const MAX_SELECTOR_BYTES: usize = 4096;

/// Fields that are supported in field selectors.
const FIELDS: [&str; 8] = [
    "metadata.name",
    "metadata.namespace",
    "status.phase",
    "spec.nodeName",
    "spec.unschedulable",
    "involvedObject.name",
    "involvedObject.uid",
    "reason",
];

impl Selector {
    /// Parses the query parameters `labelSelector` and `fieldSelector`.
    ///
    /// # Errors
    /// 400 for a selector that is too long or malformed, and for an unknown field.
    pub fn parse(labels: Option<&str>, fields: Option<&str>) -> Result<Self, ApiError> {
        let selector = Self {
            labels: parse_requirements(labels, "label")?,
            fields: parse_requirements(fields, "field")?,
        };
        for (field, _) in &selector.fields {
            if !FIELDS.contains(&field.as_str()) {
                let known = FIELDS.join(", ");
                let message = format!("field label not supported: {field}; use one of {known}");
                return Err(ApiError::bad_request(message));
            }
        }
        Ok(selector)
    }

    /// Whether it has no requirements and so matches every object.
    pub fn is_empty(&self) -> bool {
        self.labels.is_empty() && self.fields.is_empty()
    }

    /// Whether an object meets all requirements. A missing field has the value "", `spec.unschedulable` the value
    /// "false".
    pub fn matches(&self, object: &Object) -> bool {
        let field = |path: &str| {
            let keys: Vec<&str> = path.split('.').collect();
            match meta::value_at(object, &keys) {
                serde_json::Value::String(text) => text.clone(),
                serde_json::Value::Bool(on) => on.to_string(),
                _ if path == "spec.unschedulable" => "false".into(),
                _ => String::new(),
            }
        };
        self.labels
            .iter()
            .all(|(key, requirement)| is_met(requirement, meta::label(object, key)))
            && self
                .fields
                .iter()
                .all(|(path, requirement)| is_met(requirement, Some(&field(path))))
    }
}

/// Whether a value meets the requirement; `None` if there is no such label.
fn is_met(requirement: &Requirement, found: Option<&str>) -> bool {
    let among = |list: &[String]| found.is_some_and(|found| list.iter().any(|item| item == found));
    match requirement {
        Requirement::In(list) => among(list),
        Requirement::NotIn(list) => !among(list),
        Requirement::Exists => found.is_some(),
        Requirement::Missing => found.is_none(),
    }
}

fn parse_requirements(
    text: Option<&str>,
    kind: &str,
) -> Result<Vec<(String, Requirement)>, ApiError> {
    let Some(text) = text else {
        return Ok(Vec::new());
    };
    if text.len() > MAX_SELECTOR_BYTES {
        let message = format!("{kind} selector is too long");
        return Err(ApiError::bad_request(message));
    }
    let mut requirements = Vec::new();
    for term in terms(text) {
        let Some(requirement) = parse_term(&term) else {
            let message =
                format!("unable to parse {kind} selector {text:?}: {term:?} is not understood");
            return Err(ApiError::bad_request(message));
        };
        requirements.push(requirement);
    }
    Ok(requirements)
}

/// Splits a selector at the commas outside parentheses.
fn terms(text: &str) -> Vec<String> {
    let mut depth = 0;
    let mut terms = Vec::new();
    let mut term = String::new();
    for c in text.chars() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if c == ',' && depth <= 0 {
            terms.push(std::mem::take(&mut term));
        } else {
            term.push(c);
        }
    }
    terms.push(term);
    let trimmed = terms.iter().map(|term| term.trim().to_owned());
    trimmed.filter(|term| !term.is_empty()).collect()
}

/// Parses one term; `None` if it is malformed.
fn parse_term(term: &str) -> Option<(String, Requirement)> {
    if let Some((key, values)) = term.split_once(" notin ") {
        return Some((parse_key(key)?, Requirement::NotIn(parse_values(values)?)));
    }
    if let Some((key, values)) = term.split_once(" in ") {
        return Some((parse_key(key)?, Requirement::In(parse_values(values)?)));
    }
    if let Some((key, value)) = term.split_once("!=") {
        let values = vec![value.trim().to_owned()];
        return Some((parse_key(key)?, Requirement::NotIn(values)));
    }
    if let Some((key, value)) = term.split_once("==").or_else(|| term.split_once('=')) {
        let values = vec![value.trim().to_owned()];
        return Some((parse_key(key)?, Requirement::In(values)));
    }
    match term.strip_prefix('!') {
        Some(key) => Some((parse_key(key)?, Requirement::Missing)),
        None => Some((parse_key(term)?, Requirement::Exists)),
    }
}

fn parse_key(key: &str) -> Option<String> {
    let key = key.trim();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let is_valid = !key.is_empty() && key.chars().all(is_allowed);
    is_valid.then(|| key.to_owned())
}

/// Parses a list of values in parentheses.
fn parse_values(list: &str) -> Option<Vec<String>> {
    let inner = list.trim().strip_prefix('(')?.strip_suffix(')')?;
    let values = inner.split(',').map(|value| value.trim().to_owned());
    Some(values.collect())
}
