//! API errors and their form as the published `Status` object.

use serde_json::{Value, json};

/// One cause of a 422, as in `status.details.causes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// Published cause type, such as `FieldValueInvalid`.
    pub reason: &'static str,
    /// Path of the field.
    pub field: String,
    /// What is wrong and which values are allowed.
    pub message: String,
}

/// An error response of the API.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {reason}: {message}")]
pub struct ApiError {
    /// HTTP status of the response, such as 404; 0 if the connection is closed without a response.
    pub code: u16,
    /// Published reason, such as `NotFound`.
    pub reason: &'static str,
    /// Message for people.
    pub message: String,
    /// Violations by field, for a 422.
    pub causes: Vec<Cause>,
    /// Seconds after which the client may retry; `None` sends no `Retry-After`.
    pub retry_after: Option<u32>,
    /// Kind or plural, and name, of the object that the error concerns.
    pub subject: Option<(String, String)>,
}

impl ApiError {
    /// An error with a code, its published reason and a message.
    pub fn new(code: u16, reason: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            code,
            reason,
            message,
            causes: vec![],
            retry_after: None,
            subject: None,
        }
    }
    /// 400: the request is malformed.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(400, "BadRequest", message)
    }
    /// 404: the object does not exist.
    pub fn not_found(plural: &str, name: &str) -> Self {
        let mut error = Self::new(404, "NotFound", format!("{plural} \"{name}\" not found"));
        error.subject = Some((plural.to_owned(), name.to_owned()));
        error
    }
    /// 404: the path denotes no resource.
    pub fn no_such_path() -> Self {
        Self::new(
            404,
            "NotFound",
            "the server could not find the requested resource",
        )
    }
    /// 405: the resource does not allow the method.
    pub fn method_not_allowed() -> Self {
        let message = "the server does not allow this method on the requested resource";
        Self::new(405, "MethodNotAllowed", message)
    }
    /// 409: the name is taken.
    pub fn already_exists(plural: &str, name: &str) -> Self {
        let mut error = Self::new(
            409,
            "AlreadyExists",
            format!("{plural} \"{name}\" already exists"),
        );
        error.subject = Some((plural.to_owned(), name.to_owned()));
        error
    }
    /// 409: a precondition does not hold.
    pub fn conflict(plural: &str, name: &str, why: &str) -> Self {
        let message = format!("Operation cannot be fulfilled on {plural} \"{name}\": {why}");
        let mut error = Self::new(409, "Conflict", message);
        error.subject = Some((plural.to_owned(), name.to_owned()));
        error
    }
    /// 410: the requested version is no longer kept.
    pub fn expired(message: impl Into<String>) -> Self {
        Self::new(410, "Expired", message)
    }
    /// 422: the object violates rules, by field.
    pub fn invalid(kind: &str, name: &str, causes: Vec<Cause>) -> Self {
        let list: Vec<String> = causes
            .iter()
            .map(|c| format!("{}: {}", c.field, c.message))
            .collect();
        let message = format!("{kind} \"{name}\" is invalid: {}", list.join(", "));
        let mut error = Self::new(422, "Invalid", message);
        error.causes = causes;
        error.subject = Some((kind.to_owned(), name.to_owned()));
        error
    }
    /// 429 with a time after which to retry, in seconds.
    pub fn too_many_requests(message: impl Into<String>, seconds: u32) -> Self {
        let mut error = Self::new(429, "TooManyRequests", message);
        error.retry_after = Some(seconds);
        error
    }
    /// 503 with a time after which to retry, in seconds.
    pub fn unavailable(message: impl Into<String>, seconds: u32) -> Self {
        let mut error = Self::new(503, "ServiceUnavailable", message);
        error.retry_after = Some(seconds);
        error
    }

    /// The error as a `Status` object.
    pub fn to_status(&self) -> Value {
        let mut details = serde_json::Map::new();
        if let Some((kind, name)) = &self.subject {
            details.insert("kind".into(), json!(kind));
            details.insert("name".into(), json!(name));
        }
        if !self.causes.is_empty() {
            let cause =
                |c: &Cause| json!({"reason": c.reason, "message": c.message, "field": c.field});
            details.insert("causes".into(), self.causes.iter().map(cause).collect());
        }
        if let Some(seconds) = self.retry_after {
            details.insert("retryAfterSeconds".into(), json!(seconds));
        }
        let mut status = json!({
            "kind": "Status", "apiVersion": "v1", "metadata": {}, "status": "Failure",
            "message": self.message, "reason": self.reason, "code": self.code,
        });
        if !details.is_empty() {
            status["details"] = Value::Object(details);
        }
        status
    }
}

/// The `Status` of a completed deletion.
pub fn success(plural: &str, name: &str, uid: &str) -> Value {
    json!({"kind": "Status", "apiVersion": "v1", "metadata": {}, "status": "Success",
        "details": {"name": name, "kind": plural, "uid": uid}})
}
