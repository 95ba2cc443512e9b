//! Decodes request bodies into objects and reports syntax errors, duplicate and unknown fields, and wrong types.

use crate::{ApiError, Object, Resource};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Most duplicate keys that are reported for one body.
const MAX_DUPLICATE_KEYS: usize = 16;

/// How unknown and duplicate fields are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum FieldValidation {
    /// They are dropped silently.
    Ignore,
    /// They are dropped and reported in `Warning` headers.
    #[default]
    Warn,
    /// The request is rejected with 400.
    Strict,
}

impl FieldValidation {
    /// Parses the query parameter `fieldValidation`.
    ///
    /// # Errors
    /// 400 for an unknown value.
    pub fn parse(text: Option<&str>) -> Result<Self, ApiError> {
        match text {
            None | Some("" | "Warn") => Ok(Self::Warn),
            Some("Ignore") => Ok(Self::Ignore),
            Some("Strict") => Ok(Self::Strict),
            Some(other) => Err(ApiError::bad_request(format!(
                "fieldValidation {other:?} is unknown: use Ignore, Warn or Strict"
            ))),
        }
    }
}

/// Parses JSON and returns it with the paths of duplicate keys, of which the last value is used.
///
/// # Errors
/// 400 for invalid JSON.
pub fn json(body: &[u8]) -> Result<(Value, Vec<String>), ApiError> {
    let mut duplicates = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let seed = DuplicateKeys {
        path: String::new(),
        duplicates: &mut duplicates,
    };
    let value = seed
        .deserialize(&mut deserializer)
        .and_then(|value| deserializer.end().map(|()| value))
        .map_err(|e| ApiError::bad_request(format!("the body is not valid JSON: {e}")))?;
    Ok((value, duplicates))
}

/// Decodes an object of this resource from a body and returns it with warnings.
///
/// # Errors
/// 400 for an object that does not have the published type.
pub fn object(
    resource: &Resource,
    body: &[u8],
    validation: FieldValidation,
) -> Result<(Object, Vec<String>), ApiError> {
    let (value, duplicates) = json(body)?;
    let warnings = duplicates
        .into_iter()
        .map(|path| format!("duplicate field \"{path}\""))
        .collect();
    typed(resource, value, warnings, validation)
}

/// Decodes an object of this resource from a value, such as a patched one, and returns it with warnings.
///
/// # Errors
/// 400 for a value that does not have the published type.
pub fn typed(
    resource: &Resource,
    value: Value,
    mut warnings: Vec<String>,
    validation: FieldValidation,
) -> Result<(Object, Vec<String>), ApiError> {
    for (key, expected) in [
        ("kind", resource.kind.to_owned()),
        ("apiVersion", resource.api_version()),
    ] {
        let found = value.get(key).and_then(Value::as_str);
        if found.is_some_and(|found| found != expected) {
            let found = found.unwrap_or("");
            return Err(ApiError::bad_request(format!(
                "{key} is {found:?} in the body, {expected:?} in the path"
            )));
        }
    }
    let mut unknown = Vec::new();
    let mut object = (resource.convert)(value, &mut unknown).map_err(|problem| {
        let (kind, version) = (resource.kind, resource.version);
        ApiError::bad_request(format!(
            "{kind} in version \"{version}\" cannot be handled as a {kind}: {problem}"
        ))
    })?;
    warnings.extend(
        unknown
            .into_iter()
            .map(|path| format!("unknown field \"{path}\"")),
    );
    if validation == FieldValidation::Strict && !warnings.is_empty() {
        let list = warnings.join(", ");
        return Err(ApiError::bad_request(format!(
            "strict decoding error: {list}"
        )));
    }
    if validation == FieldValidation::Ignore {
        warnings.clear();
    }
    object["kind"] = resource.kind.into();
    object["apiVersion"] = resource.api_version().into();
    Ok((object, warnings))
}

/// Deserializes any JSON value and records the paths of duplicate keys.
struct DuplicateKeys<'a> {
    path: String,
    duplicates: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for DuplicateKeys<'_> {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateKeys<'_> {
    type Value = Value;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }
    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, list.len());
            match seq.next_element_seed(DuplicateKeys {
                path,
                duplicates: self.duplicates,
            })? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }
    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            let path = if self.path.is_empty() {
                key.clone()
            } else {
                format!("{}.{key}", self.path)
            };
            if map.contains_key(&key) && self.duplicates.len() < MAX_DUPLICATE_KEYS {
                self.duplicates.push(path.clone());
            }
            let value = access.next_value_seed(DuplicateKeys {
                path,
                duplicates: self.duplicates,
            })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}
