//! Label and field selectors.

use crate::{ApiError, Object, meta};

/// One demand on a value.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Demand {
    In(Vec<String>),
    NotIn(Vec<String>),
    Exists,
    Missing,
}

/// What a list or watch is narrowed to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    labels: Vec<(String, Demand)>,
    fields: Vec<(String, Demand)>,
}

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
    /// Reads both query parameters.
    pub fn parse(labels: Option<&str>, fields: Option<&str>) -> Result<Self, ApiError> {
        let read = |text: Option<&str>, what: &str| match text {
            None => Ok(vec![]),
            Some(text) if text.len() > 4096 => Err(ApiError::bad_request(format!(
                "{what} selector is too long"
            ))),
            Some(text) => terms(text)
                .iter()
                .map(|t| demand(t))
                .collect::<Result<Vec<_>, _>>()
                .map_err(|term| {
                    let found = format!(
                        "unable to parse {what} selector {text:?}: {term:?} is not understood"
                    );
                    ApiError::bad_request(found)
                }),
        };
        let selector = Self {
            labels: read(labels, "label")?,
            fields: read(fields, "field")?,
        };
        if let Some((field, _)) = selector
            .fields
            .iter()
            .find(|(field, _)| !FIELDS.contains(&field.as_str()))
        {
            let known = FIELDS.join(", ");
            return Err(ApiError::bad_request(format!(
                "field label not supported: {field}; use one of {known}"
            )));
        }
        Ok(selector)
    }

    /// Whether it matches all.
    pub fn is_empty(&self) -> bool {
        self.labels.is_empty() && self.fields.is_empty()
    }

    /// Whether an object matches.
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
            .all(|(key, demand)| fits(demand, meta::label(object, key)))
            && self
                .fields
                .iter()
                .all(|(path, demand)| fits(demand, Some(&field(path))))
    }
}

fn fits(demand: &Demand, found: Option<&str>) -> bool {
    let among = |list: &[String]| found.is_some_and(|found| list.iter().any(|one| one == found));
    match demand {
        Demand::In(list) => among(list),
        Demand::NotIn(list) => !among(list),
        Demand::Exists => found.is_some(),
        Demand::Missing => found.is_none(),
    }
}

/// Splits at commas outside parentheses.
fn terms(text: &str) -> Vec<String> {
    let (mut depth, mut list) = (0, vec![String::new()]);
    for c in text.chars() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        match list.last_mut() {
            Some(last) if c != ',' || depth > 0 => last.push(c),
            _ => list.push(String::new()),
        }
    }
    list.into_iter()
        .map(|term| term.trim().to_owned())
        .filter(|term| !term.is_empty())
        .collect()
}

fn demand(term: &str) -> Result<(String, Demand), String> {
    let key = |key: &str| {
        let key = key.trim();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
        if key.is_empty() || !key.chars().all(plain) {
            Err(term.to_owned())
        } else {
            Ok(key.to_owned())
        }
    };
    let list = |text: &str| {
        let inner = text
            .trim()
            .strip_prefix('(')
            .and_then(|text| text.strip_suffix(')'));
        let inner = inner.ok_or_else(|| term.to_owned())?;
        Ok::<_, String>(
            inner
                .split(',')
                .map(|one| one.trim().to_owned())
                .collect::<Vec<_>>(),
        )
    };
    if let Some((left, right)) = term.split_once(" notin ") {
        return Ok((key(left)?, Demand::NotIn(list(right)?)));
    }
    if let Some((left, right)) = term.split_once(" in ") {
        return Ok((key(left)?, Demand::In(list(right)?)));
    }
    if let Some((left, right)) = term.split_once("!=") {
        return Ok((key(left)?, Demand::NotIn(vec![right.trim().to_owned()])));
    }
    if let Some((left, right)) = term.split_once("==").or_else(|| term.split_once('=')) {
        return Ok((key(left)?, Demand::In(vec![right.trim().to_owned()])));
    }
    match term.strip_prefix('!') {
        Some(rest) => Ok((key(rest)?, Demand::Missing)),
        None => Ok((key(term)?, Demand::Exists)),
    }
}
