//! Requests to verbs, answers to responses.

use crate::verbs::Answer;
use crate::{Api, Hooks, RequestLog, RequestOptions, Route, Target, route};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use tidespur_api::{ApiError, Object, openapi, resource};
use tidespur_net::body::{self, BodyError};
use tidespur_net::{Body, server};

/// Serves an API.
pub struct ApiHandler<H>(pub Arc<Api<H>>);

impl<H: Hooks> server::Handler for ApiHandler<H> {
    async fn answer(
        &self,
        request: Request<Incoming>,
        peer: std::net::SocketAddr,
    ) -> Response<Body> {
        let api = &self.0;
        api.hooks
            .wait_until_reachable(request.method(), request.headers())
            .await;
        let (head, incoming) = request.into_parts();
        let method = head.method.as_str().to_owned();
        let path = head
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        if head.method == Method::GET
            && let Some(text) = api.hooks.serve_text(head.uri.path())
        {
            let mut response = Response::new(body::full(text));
            let media = "text/plain; version=1.0.0; charset=utf-8";
            response.headers_mut().insert(
                "content-type",
                hyper::header::HeaderValue::from_static(media),
            );
            return response;
        }
        let body = body::read(incoming, api.limits.max_body_bytes, api.limits.body_timeout).await;
        let outcome = match body {
            Ok(body) => respond(api, &head, body).await,
            Err(BodyError::TooLarge) => Err(ApiError::new(
                413,
                "RequestEntityTooLarge",
                format!(
                    "the body is longer than {} bytes, which is the most",
                    api.limits.max_body_bytes
                ),
            )),
            Err(BodyError::TimedOut) => Err(ApiError::new(
                408,
                "Timeout",
                format!(
                    "the body was not there within {} s",
                    api.limits.body_timeout
                ),
            )),
            Err(BodyError::Interrupted) => {
                Err(ApiError::bad_request("the body ended before it was whole"))
            }
        };
        let (status, answer) = match outcome {
            Ok(Good::Object(status, object, warnings)) => (status, Ok((object, warnings))),
            Ok(Good::Stream(stream)) => {
                api.hooks.log_request(&RequestLog {
                    peer,
                    method: &method,
                    path: &path,
                    object: &Value::Null,
                    status: 200,
                });
                let mut response = Response::new(stream);
                response.headers_mut().insert(
                    "content-type",
                    hyper::header::HeaderValue::from_static("application/json"),
                );
                return decorated(api, response);
            }
            Err(error) if error.code == crate::ABORT_CONNECTION => {
                let mut cut = Response::new(body::full(""));
                cut.extensions_mut().insert(server::ConnectionAborted);
                return cut;
            }
            Err(error) => (error.code, Err(error)),
        };
        let object = answer.as_ref().map_or(&Value::Null, |(object, _)| object);
        api.hooks.log_request(&RequestLog {
            peer,
            method: &method,
            path: &path,
            object,
            status,
        });
        decorated(api, response(status, answer))
    }
}

enum Good {
    Object(u16, Object, Vec<String>),
    Stream(Body),
}

fn plain(object: Value) -> Result<Good, ApiError> {
    Ok(Good::Object(200, object, vec![]))
}

async fn respond<H: Hooks>(
    api: &Arc<Api<H>>,
    head: &hyper::http::request::Parts,
    body: Bytes,
) -> Result<Good, ApiError> {
    let path = head.uri.path();
    let read = head.method == Method::GET;
    match route::parse(path)? {
        Route::Objects(target) if api.hooks.serves(target.resource) => {
            objects(api, head, &target, body).await
        }
        Route::Other => api
            .hooks
            .handle_other(head.method.as_str(), path, &body)
            .unwrap_or_else(|| Err(ApiError::no_such_path()))
            .map(|object| Good::Object(200, object, vec![])),
        Route::Objects(_) => Err(ApiError::no_such_path()),
        _ if !read => Err(ApiError::method_not_allowed()),
        Route::Version => plain(version()),
        Route::Health
            if path.starts_with("/readyz")
                && head.uri.query().is_some_and(|q| q.contains("verbose")) =>
        {
            plain(json!(verbose(api)))
        }
        Route::Health if path.starts_with("/readyz") => plain(json!(api.hooks.ready()?)),
        Route::Health => plain(json!("ok")),
        Route::Core => plain(
            json!({"kind": "APIVersions", "versions": ["v1"], "serverAddressByClientCIDRs": []}),
        ),
        Route::Groups => {
            plain(json!({"kind": "APIGroupList", "apiVersion": "v1", "groups": [batch()]}))
        }
        Route::Group(group) if group == "batch" => plain(batch()),
        Route::Resources(group) if group.is_empty() || group == "batch" => {
            plain(resource::resource_list(&group))
        }
        Route::OpenApiIndex => plain(openapi::index()),
        Route::OpenApi(group) if group.is_empty() || group == "batch" => {
            plain(openapi::group(&group))
        }
        _ => Err(ApiError::no_such_path()),
    }
}

/// Each part of the program in a line, as published servers show them.
fn verbose<H: Hooks>(api: &Api<H>) -> String {
    let line = |(name, stands): (&str, Result<String, String>)| match stands {
        Ok(how) => format!("[+]{name} ok: {how}\n"),
        Err(waits) => format!("[-]{name} waits: {waits}\n"),
    };
    let lines: String = api.hooks.component_status().into_iter().map(line).collect();
    let whole = if api.hooks.ready().is_ok() {
        "passed"
    } else {
        "failed"
    };
    format!("{lines}readyz check {whole}\n")
}

/// Every field of the published type. What is not known of this build is said to be so.
fn version() -> Value {
    let built = |told: Option<&'static str>, otherwise: &'static str| told.unwrap_or(otherwise);
    json!({"major": "1", "minor": "37",
        "gitVersion": concat!("v1.37.0+tidespur-", env!("CARGO_PKG_VERSION")),
        "gitCommit": built(option_env!("TIDESPUR_COMMIT"), "unknown"),
        "gitTreeState": built(option_env!("TIDESPUR_TREE_STATE"), "unknown"),
        "buildDate": built(option_env!("TIDESPUR_BUILD_DATE"), "1970-01-01T00:00:00Z"),
        "goVersion": "none", "compiler": "rustc",
        "platform": format!("{}/{}", std::env::consts::OS, std::env::consts::ARCH)})
}

fn batch() -> Value {
    let version = json!({"groupVersion": "batch/v1", "version": "v1"});
    json!({"kind": "APIGroup", "apiVersion": "v1", "name": "batch", "versions": [version], "preferredVersion": version})
}

async fn objects<H: Hooks>(
    api: &Arc<Api<H>>,
    head: &hyper::http::request::Parts,
    target: &Target,
    body: Bytes,
) -> Result<Good, ApiError> {
    let mut options = RequestOptions::parse(head.uri.query().unwrap_or(""))?;
    options.watch |= target.watch;
    let header = |name: &str| {
        head.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    };
    let media = header("content-type");
    let accept = header("accept");
    let json_wanted = accept.is_empty()
        || ["json", "*/*", "application/*"]
            .iter()
            .any(|m| accept.contains(m));
    if !json_wanted {
        let text = format!("only application/json is served, not {accept:?}");
        return Err(ApiError::new(406, "NotAcceptable", text));
    }
    let sent = matches!(head.method, Method::POST | Method::PUT);
    if sent && !media.is_empty() && !media.starts_with("application/json") {
        let text = format!("the media type {media:?} is not supported: use application/json");
        return Err(ApiError::new(415, "UnsupportedMediaType", text));
    }
    let one = !target.name.is_empty();
    let answer: Answer = match (&head.method, one) {
        (&Method::GET, _) if options.watch => return api.watch(target, &options).map(Good::Stream),
        (&Method::GET, true) => api.get(target),
        (&Method::GET, false) => api.list(target, &options),
        (&Method::POST, false) => api.create(target, &options, &head.headers, &body).await,
        (&Method::PUT, true) => api.replace(target, &options, &head.headers, &body).await,
        (&Method::PATCH, true) => {
            api.patch(target, &options, &head.headers, media, &body)
                .await
        }
        (&Method::DELETE, true) if !target.status => {
            api.delete(target, &options, &head.headers, &body).await
        }
        (&Method::DELETE, false) => api.delete_collection(target, &options, &body),
        _ => Err(ApiError::method_not_allowed()),
    };
    let (status, object, mut warnings) = answer?;
    // Whatever was written or read: nothing is told that a power loss could take back.
    let version = api.store().version();
    warnings.extend(
        api.hooks
            .wait_durable(version, head.method != Method::GET)
            .await?,
    );
    Ok(Good::Object(status, object, warnings))
}

fn response(status: u16, answer: Result<(Object, Vec<String>), ApiError>) -> Response<Body> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    let object = match answer {
        Ok((object, warnings)) => {
            for warning in warnings {
                let text = warning.replace(['"', '\\'], "'");
                if let Ok(value) =
                    hyper::header::HeaderValue::from_str(&format!("299 - \"{text}\""))
                {
                    builder = builder.header("warning", value);
                }
            }
            object
        }
        Err(error) => {
            if let Some(seconds) = error.retry_after {
                builder = builder.header("retry-after", seconds.to_string());
            }
            error.to_status()
        }
    };
    let bytes = match object {
        // Health answers are plain text.
        Value::String(text) => text.into_bytes(),
        other => serde_json::to_vec(&other).unwrap_or_default(),
    };
    builder
        .body(body::full(bytes))
        .unwrap_or_else(|_| Response::new(body::full("")))
}

fn decorated<H: Hooks>(api: &Api<H>, mut response: Response<Body>) -> Response<Body> {
    for (name, value) in api.hooks.headers() {
        if let Ok(value) = hyper::header::HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
