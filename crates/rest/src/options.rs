//! Parses the query parameters of requests and the options of deletions.

use tidespur_api::decode::FieldValidation;
use tidespur_api::selector::Selector;
use tidespur_api::status::Cause;
use tidespur_api::{ApiError, meta};

/// Query parameters of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// Restricts lists and watches to objects that it matches.
    pub selector: Selector,
    /// Page size of a list; 0 for no limit.
    pub limit: usize,
    /// Token of the list page to continue from.
    pub continue_token: Option<String>,
    /// `resourceVersion` at which to list or from which to watch.
    pub version: Option<u64>,
    /// `resourceVersionMatch`: `Exact` or `NotOlderThan`.
    pub version_match: Option<String>,
    /// Whether the request is a watch.
    pub watch: bool,
    /// Whether the watch asks for bookmarks.
    pub bookmarks: bool,
    /// Whether the watch begins with the present objects; if not given, `version` decides.
    pub send_initial_events: Option<bool>,
    /// Seconds after which the watch ends, `MAX_WATCH_SECONDS` (an hour) at most.
    pub timeout: Option<f64>,
    /// Whether the request is only checked and changes nothing.
    pub dry_run: bool,
    /// How unknown and duplicate fields are handled.
    pub field_validation: FieldValidation,
    /// Propagation policy of a deletion; its body takes precedence.
    pub propagation: Option<String>,
    /// Grace period of a deletion; its body takes precedence.
    pub grace_period_seconds: Option<u64>,
}

/// Longest duration of a watch, in seconds.
pub const MAX_WATCH_SECONDS: f64 = 3600.0;

impl RequestOptions {
    /// Parses a query string; unknown parameters are ignored, as Kubernetes API servers do.
    ///
    /// # Errors
    /// 400 for a malformed query or value.
    pub fn parse(query: &str) -> Result<Self, ApiError> {
        let pairs: Vec<(String, String)> = serde_urlencoded::from_str(query)
            .map_err(|e| ApiError::bad_request(format!("the query can't be read: {e}")))?;
        let get = |key: &str| {
            pairs
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, v)| v.as_str())
        };
        let flag = |key: &str| match get(key) {
            None | Some("" | "0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(ApiError::bad_request(format!(
                "{key} is {other:?}: use true or false"
            ))),
        };
        let number = |key: &str| match get(key) {
            None | Some("") => Ok(None),
            Some(text) => text.parse::<u64>().map(Some).map_err(|_| {
                ApiError::bad_request(format!("{key} is {text:?}: use a whole number"))
            }),
        };
        let version_match = get("resourceVersionMatch").map(str::to_owned);
        if let Some(how) = &version_match
            && !["Exact", "NotOlderThan"].contains(&how.as_str())
        {
            let text = format!("resourceVersionMatch is {how:?}: use Exact or NotOlderThan");
            return Err(ApiError::bad_request(text));
        }
        let dry_run = match get("dryRun") {
            None | Some("") => false,
            Some("All") => true,
            Some(other) => {
                return Err(ApiError::bad_request(format!(
                    "dryRun is {other:?}: use All"
                )));
            }
        };
        let send_initial_events = match get("sendInitialEvents") {
            None => None,
            Some(_) => Some(flag("sendInitialEvents")?),
        };
        let options = Self {
            selector: Selector::parse(get("labelSelector"), get("fieldSelector"))?,
            limit: number("limit")?.unwrap_or(0).min(100_000) as usize,
            continue_token: get("continue").filter(|t| !t.is_empty()).map(str::to_owned),
            version: number("resourceVersion")?,
            version_match,
            watch: flag("watch")?,
            bookmarks: flag("allowWatchBookmarks")?,
            send_initial_events,
            timeout: number("timeoutSeconds")?.map(|s| (s as f64).min(MAX_WATCH_SECONDS)),
            dry_run,
            field_validation: FieldValidation::parse(get("fieldValidation"))?,
            propagation: get("propagationPolicy").map(str::to_owned),
            grace_period_seconds: number("gracePeriodSeconds")?,
        };
        if options.watch && options.send_initial_events.is_some() && options.version_match.is_none()
        {
            return Err(ApiError::bad_request(
                "sendInitialEvents needs resourceVersionMatch=NotOlderThan",
            ));
        }
        if !options.watch && options.send_initial_events.is_some() {
            return Err(ApiError::bad_request(
                "sendInitialEvents is for watches only",
            ));
        }
        if !options.watch && options.version_match.is_some() && options.version.is_none() {
            return Err(ApiError::bad_request(
                "resourceVersionMatch needs resourceVersion",
            ));
        }
        Ok(options)
    }

    /// Combines the query with the body of a deletion, which may be null.
    ///
    /// # Errors
    /// 400 for a malformed value, 422 for options that are not supported.
    pub fn delete_options(
        &self,
        body: &serde_json::Value,
    ) -> Result<crate::DeleteOptions, ApiError> {
        let text = |path: &[&str]| meta::value_at(body, path).as_str().map(str::to_owned);
        let propagation = text(&["propagationPolicy"]).or_else(|| self.propagation.clone());
        if let Some(how) = &propagation
            && !["Background", "Foreground", "Orphan"].contains(&how.as_str())
        {
            let text =
                format!("propagationPolicy is {how:?}: use Background, Foreground or Orphan");
            return Err(ApiError::bad_request(text));
        }
        if meta::value_at(body, &["gracePeriodSeconds"])
            .as_i64()
            .is_some_and(|grace| grace < 0)
        {
            return Err(ApiError::bad_request(
                "gracePeriodSeconds must be 0 or more",
            ));
        }
        let grace = meta::value_at(body, &["gracePeriodSeconds"])
            .as_u64()
            .or(self.grace_period_seconds)
            .unwrap_or(0);
        let unsupported = [
            (
                grace > 0,
                "gracePeriodSeconds",
                "only 0 is served: a deletion is at once",
            ),
            (
                !meta::value_at(body, &["orphanDependents"]).is_null(),
                "orphanDependents",
                "use propagationPolicy",
            ),
        ];
        let causes: Vec<Cause> = unsupported
            .into_iter()
            .filter(|(is_set, ..)| *is_set)
            .map(|(_, field, message)| Cause {
                reason: "FieldValueNotSupported",
                field: field.into(),
                message: message.into(),
            })
            .collect();
        if !causes.is_empty() {
            return Err(ApiError::invalid("DeleteOptions", "", causes));
        }
        let version = match text(&["preconditions", "resourceVersion"]) {
            None => None,
            Some(text) => Some(text.parse::<u64>().map_err(|_| {
                ApiError::bad_request(format!(
                    "preconditions.resourceVersion is {text:?}: use a whole number"
                ))
            })?),
        };
        Ok(crate::DeleteOptions {
            propagation,
            uid: text(&["preconditions", "uid"]),
            version,
        })
    }

    /// Whether the query or the body of a deletion asks for a dry run.
    pub fn is_dry_run_delete(&self, body: &serde_json::Value) -> bool {
        self.dry_run
            || meta::value_at(body, &["dryRun"])
                .as_array()
                .is_some_and(|list| list.iter().any(|d| d == "All"))
    }
}
