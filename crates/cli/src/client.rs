//! HTTP client for an edge's API.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tidespur_api::{Resource, meta};
use tidespur_net::{Client, client::Lines};

/// The edge that a command calls and the namespace that it works in.
pub struct Target {
    client: Client,
    pub namespace: String,
}

const REQUEST_TIMEOUT_SECONDS: f64 = 10.0;

impl Target {
    pub fn new(server: &str, namespace: &str) -> Self {
        let server = server.trim_start_matches("http://").trim_end_matches('/');
        Self {
            client: Client::new(server, 8, vec![]),
            namespace: namespace.to_owned(),
        }
    }

    /// Sends one request and returns the JSON body; an error carries the reason and message of the API's answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: Option<&Value>,
    ) -> Result<Value, RequestError> {
        let bytes = body.map_or(Bytes::new(), |body| body.to_string().into_bytes().into());
        let sent = self
            .client
            .send(method, path, content_type, bytes, REQUEST_TIMEOUT_SECONDS)
            .await;
        let reply = sent.map_err(|e| RequestError {
            status: 0,
            message: format!(
                "{}: {e}; is an edge running there? (--server, TIDESPUR_API)",
                self.client.address()
            ),
        })?;
        let object = reply.json();
        if reply.status.is_success() {
            return Ok(object);
        }
        let status = reply.status.as_u16();
        let message = format!(
            "{status} {}: {}",
            meta::text_at(&object, &["reason"]),
            meta::text_at(&object, &["message"])
        );
        Err(RequestError { status, message })
    }

    pub async fn get(
        &self,
        resource: &Resource,
        name: &str,
        query: &str,
    ) -> Result<Value, RequestError> {
        let path = resource.path(self.namespace_of(resource), name);
        self.call(Method::GET, &format!("{path}{query}"), "", None)
            .await
    }

    pub async fn watch(&self, path: &str) -> Result<Lines, RequestError> {
        let lines = self
            .client
            .stream_lines(path, REQUEST_TIMEOUT_SECONDS)
            .await;
        lines.map_err(|e| RequestError {
            status: 0,
            message: format!("{}: {e}", self.client.address()),
        })
    }

    /// The namespace of `resource` in request paths; empty for a cluster-scoped resource and for `--namespace '*'`.
    pub fn namespace_of(&self, resource: &Resource) -> &str {
        if resource.namespaced && self.namespace != "*" {
            &self.namespace
        } else {
            ""
        }
    }
}

/// A failed request.
pub struct RequestError {
    /// HTTP status of the answer; 0 when there was none.
    pub status: u16,
    pub message: String,
}

impl From<RequestError> for String {
    fn from(error: RequestError) -> String {
        error.message
    }
}
