//! Bodies to objects: syntax, duplicate and unknown fields, types.

use crate::{ApiError, Object, Resource};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// What is done about fields that the published type does not have, or that come twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum FieldValidation {
    /// Dropped in silence.
    Ignore,
    /// Dropped, and told in `Warning` headers.
    #[default]
    Warn,
    /// Refused with 400.
    Strict,
}

impl FieldValidation {
    /// Reads the query parameter.
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

/// Reads JSON; repeated keys are told by their path, the last one counts.
pub fn json(body: &[u8]) -> Result<(Value, Vec<String>), ApiError> {
    let mut repeated = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let seed = Noting {
        path: String::new(),
        repeated: &mut repeated,
    };
    let value = seed
        .deserialize(&mut deserializer)
        .and_then(|value| deserializer.end().map(|()| value))
        .map_err(|e| ApiError::bad_request(format!("the body is not valid JSON: {e}")))?;
    Ok((value, repeated))
}

/// An object of this resource from a body: through the published type, with the warnings that are due.
pub fn object(
    resource: &Resource,
    body: &[u8],
    validation: FieldValidation,
) -> Result<(Object, Vec<String>), ApiError> {
    let (value, repeated) = json(body)?;
    let warnings = repeated
        .into_iter()
        .map(|path| format!("duplicate field \"{path}\""))
        .collect();
    typed(resource, value, warnings, validation)
}

/// An object of this resource from a value, such as a patched one.
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
    let mut object = (resource.through_type)(value, &mut unknown).map_err(|problem| {
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

struct Noting<'a> {
    path: String,
    repeated: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for Noting<'_> {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Noting<'_> {
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
            match seq.next_element_seed(Noting {
                path,
                repeated: self.repeated,
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
            if map.contains_key(&key) && self.repeated.len() < 16 {
                self.repeated.push(path.clone());
            }
            let value = access.next_value_seed(Noting {
                path,
                repeated: self.repeated,
            })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}
