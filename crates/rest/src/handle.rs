//! Dispatches HTTP requests to verbs and builds the responses.

use crate::verbs::VerbResult;
use crate::{Api, Hooks, RequestLog, RequestOptions, Route, Target, route};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use tidespur_api::{ApiError, Object, openapi, resource};
use tidespur_net::body;
use tidespur_net::{Body, server};

/// HTTP request handler of an API.
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
        let outcome = match api.read_body(incoming).await {
            Ok(body) => respond(api, &head, body.bytes()).await,
            Err(error) => Err(error),
        };
        let (status, answer) = match outcome {
            Ok(Success::Object(status, object, warnings)) => (status, Ok((object, warnings))),
            Ok(Success::Stream(stream)) => {
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
                return with_headers(api, response);
            }
            Err(error) if error.code == crate::ABORT_CONNECTION => {
                let mut aborted = Response::new(body::full(""));
                aborted.extensions_mut().insert(server::ConnectionAborted);
                return aborted;
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
        with_headers(api, response(status, answer))
    }
}

enum Success {
    Object(u16, Object, Vec<String>),
    Stream(Body),
}

fn plain(object: Value) -> Result<Success, ApiError> {
    Ok(Success::Object(200, object, vec![]))
}

async fn respond<H: Hooks>(
    api: &Arc<Api<H>>,
    head: &hyper::http::request::Parts,
    body: &[u8],
) -> Result<Success, ApiError> {
    let path = head.uri.path();
    let is_get = head.method == Method::GET;
    match route::parse(path)? {
        Route::Objects(target) if api.hooks.serves(target.resource) => {
            objects(api, head, &target, body).await
        }
        Route::Other => api
            .hooks
            .handle_other(head.method.as_str(), path, body)
            .unwrap_or_else(|| Err(ApiError::no_such_path()))
            .map(|object| Success::Object(200, object, vec![])),
        Route::Objects(_) => Err(ApiError::no_such_path()),
        _ if !is_get => Err(ApiError::method_not_allowed()),
        Route::Version => plain(version()),
        Route::Health
            if path.starts_with("/readyz")
                && head.uri.query().is_some_and(|q| q.contains("verbose")) =>
        {
            plain(json!(verbose_readiness(api)))
        }
        Route::Health if path.starts_with("/readyz") => plain(json!(api.hooks.ready()?)),
        Route::Health => plain(json!("ok")),
        Route::Core => plain(
            json!({"kind": "APIVersions", "versions": ["v1"], "serverAddressByClientCIDRs": []}),
        ),
        Route::Groups => {
            plain(json!({"kind": "APIGroupList", "apiVersion": "v1", "groups": [batch_group()]}))
        }
        Route::Group(group) if group == "batch" => plain(batch_group()),
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

/// One line for each component of the program, in the format of Kubernetes API servers.
fn verbose_readiness<H: Hooks>(api: &Api<H>) -> String {
    let line = |(name, status): (&str, Result<String, String>)| match status {
        Ok(state) => format!("[+]{name} ok: {state}\n"),
        Err(cause) => format!("[-]{name} waits: {cause}\n"),
    };
    let lines: String = api.hooks.component_status().into_iter().map(line).collect();
    let summary = if api.hooks.ready().is_ok() {
        "passed"
    } else {
        "failed"
    };
    format!("{lines}readyz check {summary}\n")
}

/// All fields of the published version type; those that are not known of this build say so.
fn version() -> Value {
    let build_info = |value: Option<&'static str>, default: &'static str| value.unwrap_or(default);
    json!({"major": "1", "minor": "37",
        "gitVersion": concat!("v1.37.0+tidespur-", env!("CARGO_PKG_VERSION")),
        "gitCommit": build_info(option_env!("TIDESPUR_COMMIT"), "unknown"),
        "gitTreeState": build_info(option_env!("TIDESPUR_TREE_STATE"), "unknown"),
        "buildDate": build_info(option_env!("TIDESPUR_BUILD_DATE"), "1970-01-01T00:00:00Z"),
        "goVersion": "none", "compiler": "rustc",
        "platform": format!("{}/{}", std::env::consts::OS, std::env::consts::ARCH)})
}

fn batch_group() -> Value {
    let version = json!({"groupVersion": "batch/v1", "version": "v1"});
    json!({"kind": "APIGroup", "apiVersion": "v1", "name": "batch", "versions": [version], "preferredVersion": version})
}

async fn objects<H: Hooks>(
    api: &Arc<Api<H>>,
    head: &hyper::http::request::Parts,
    target: &Target,
    body: &[u8],
) -> Result<Success, ApiError> {
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
    let accepts_json = accept.is_empty()
        || ["json", "*/*", "application/*"]
            .iter()
            .any(|m| accept.contains(m));
    if !accepts_json {
        let text = format!("only application/json is served, not {accept:?}");
        return Err(ApiError::new(406, "NotAcceptable", text));
    }
    let has_object = matches!(head.method, Method::POST | Method::PUT);
    if has_object && !media.is_empty() && !media.starts_with("application/json") {
        let text = format!("the media type {media:?} is not supported: use application/json");
        return Err(ApiError::new(415, "UnsupportedMediaType", text));
    }
    let is_single = !target.name.is_empty();
    let result: VerbResult = match (&head.method, is_single) {
        (&Method::GET, _) if options.watch => {
            return api.watch(target, &options).map(Success::Stream);
        }
        (&Method::GET, true) => api.get(target),
        (&Method::GET, false) => api.list(target, &options),
        (&Method::POST, false) => api.create(target, &options, &head.headers, body).await,
        (&Method::PUT, true) => api.replace(target, &options, &head.headers, body).await,
        (&Method::PATCH, true) => {
            api.patch(target, &options, &head.headers, media, body)
                .await
        }
        (&Method::DELETE, true) if !target.status => {
            api.delete(target, &options, &head.headers, body).await
        }
        (&Method::DELETE, false) => api.delete_collection(target, &options, body),
        _ => Err(ApiError::method_not_allowed()),
    };
    let (status, object, mut warnings) = result?;
    // For reads and writes alike: a response must not contain anything that a power loss could undo.
    let version = api.store().version();
    warnings.extend(
        api.hooks
            .wait_durable(version, head.method != Method::GET)
            .await?,
    );
    Ok(Success::Object(status, object, warnings))
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
        // Health endpoints return plain text.
        Value::String(text) => text.into_bytes(),
        other => serde_json::to_vec(&other).unwrap_or_default(),
    };
    builder
        .body(body::full(bytes))
        .unwrap_or_else(|_| Response::new(body::full("")))
}

fn with_headers<H: Hooks>(api: &Api<H>, mut response: Response<Body>) -> Response<Body> {
    for (name, value) in api.hooks.headers() {
        if let Ok(value) = hyper::header::HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
