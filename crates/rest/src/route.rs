//! Parses request paths.

use percent_encoding::percent_decode_str;
use tidespur_api::{ApiError, Resource};

/// Endpoint of the API that a path denotes.
#[derive(Clone, Debug)]
pub enum Route {
    /// `/version`.
    Version,
    /// `/healthz`, `/livez`, `/readyz`.
    Health,
    /// `/api`.
    Core,
    /// `/apis`.
    Groups,
    /// `/apis/GROUP`.
    Group(String),
    /// `/api/v1`, `/apis/GROUP/v1`.
    Resources(String),
    /// `/openapi/v3`.
    OpenApiIndex,
    /// `/openapi/v3/...`.
    OpenApi(String),
    /// A collection of objects or one object.
    Objects(Target),
    /// Not part of the API; see [`Hooks::handle_other`](crate::Hooks::handle_other).
    Other,
}

/// Collection or object that a path denotes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Resource type of the collection or object, which also tells whether it has namespaces.
    pub resource: &'static Resource,
    /// Namespace; empty for all namespaces and for resources without one.
    pub namespace: String,
    /// Name of the object; empty for the collection.
    pub name: String,
    /// Whether the path denotes the status subresource.
    pub status: bool,
    /// Whether the path has the deprecated prefix `/watch/`, which makes a GET a watch.
    pub watch: bool,
}

/// Parses a path, percent-encoded as in the request.
///
/// # Errors
/// 400 if it is not UTF-8, 404 if it denotes no resource of a served group.
pub fn parse(path: &str) -> Result<Route, ApiError> {
    let mut parts = Vec::new();
    for part in path.split('/').filter(|part| !part.is_empty()) {
        let part = percent_decode_str(part).decode_utf8();
        parts.push(
            part.map_err(|_| ApiError::bad_request("the path is not UTF-8"))?
                .into_owned(),
        );
    }
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Ok(match parts.as_slice() {
        ["version"] => Route::Version,
        ["healthz" | "livez" | "readyz", ..] => Route::Health,
        ["api"] => Route::Core,
        ["apis"] => Route::Groups,
        ["apis", group] => Route::Group((*group).to_owned()),
        ["api", "v1"] => Route::Resources(String::new()),
        ["apis", group, "v1"] => Route::Resources((*group).to_owned()),
        ["openapi", "v3"] => Route::OpenApiIndex,
        ["openapi", "v3", "api", "v1"] => Route::OpenApi(String::new()),
        ["openapi", "v3", "apis", group, "v1"] => Route::OpenApi((*group).to_owned()),
        ["api", "v1", rest @ ..] => objects("", rest)?,
        ["apis", group, "v1", rest @ ..] => objects(group, rest)?,
        _ => Route::Other,
    })
}

fn objects(group: &str, parts: &[&str]) -> Result<Route, ApiError> {
    let (watch, parts) = match parts {
        ["watch", rest @ ..] => (true, rest),
        rest => (false, rest),
    };
    let (namespace, parts) = match parts {
        // `/namespaces/NAME` and `/namespaces/NAME/status` name the namespace itself.
        ["namespaces", space, plural, rest @ ..] if *plural != "status" => {
            (*space, [&[*plural], rest].concat())
        }
        rest => ("", rest.to_vec()),
    };
    let (plural, name, status) = match parts.as_slice() {
        [plural] => (*plural, "", false),
        [plural, name] => (*plural, *name, false),
        [plural, name, "status"] => (*plural, *name, true),
        _ => return Err(ApiError::no_such_path()),
    };
    let resource = Resource::find(group, plural).ok_or_else(ApiError::no_such_path)?;
    let misplaced = if resource.namespaced {
        !name.is_empty() && namespace.is_empty()
    } else {
        !namespace.is_empty()
    };
    if misplaced || (status && !resource.has_status_subresource) {
        return Err(ApiError::no_such_path());
    }
    let (namespace, name) = (namespace.to_owned(), name.to_owned());
    Ok(Route::Objects(Target {
        resource,
        namespace,
        name,
        status,
        watch,
    }))
}
