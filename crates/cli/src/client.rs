//! Calls to an edge's API.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tidespur_api::{Resource, meta};
use tidespur_net::{Client, client::Lines};

/// An edge and a namespace.
pub struct Target {
    client: Client,
    pub namespace: String,
}

const WITHIN: f64 = 10.0;

impl Target {
    pub fn new(server: &str, namespace: &str) -> Self {
        let server = server.trim_start_matches("http://").trim_end_matches('/');
        Self {
            client: Client::new(server, 8, vec![]),
            namespace: namespace.to_owned(),
        }
    }

    /// One call; errors of the API come as its own words.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        media: &str,
        body: Option<&Value>,
    ) -> Result<Value, Problem> {
        let bytes = body.map_or(Bytes::new(), |body| body.to_string().into_bytes().into());
        let sent = self.client.send(method, path, media, bytes, WITHIN).await;
        let reply = sent.map_err(|e| Problem {
            code: 0,
            text: format!(
                "{}: {e}; is an edge running there? (--server, TIDESPUR_API)",
                self.client.address()
            ),
        })?;
        let object = reply.json();
        if reply.status.is_success() {
            return Ok(object);
        }
        let code = reply.status.as_u16();
        let text = format!(
            "{code} {}: {}",
            meta::text_at(&object, &["reason"]),
            meta::text_at(&object, &["message"])
        );
        Err(Problem { code, text })
    }

    pub async fn get(
        &self,
        resource: &Resource,
        name: &str,
        query: &str,
    ) -> Result<Value, Problem> {
        let path = resource.path(self.space(resource), name);
        self.call(Method::GET, &format!("{path}{query}"), "", None)
            .await
    }

    pub async fn watch(&self, path: &str) -> Result<Lines, Problem> {
        let lines = self.client.stream_lines(path, WITHIN).await;
        lines.map_err(|e| Problem {
            code: 0,
            text: format!("{}: {e}", self.client.address()),
        })
    }

    pub fn space(&self, resource: &Resource) -> &str {
        if resource.namespaced && self.namespace != "*" {
            &self.namespace
        } else {
            ""
        }
    }
}

/// What went wrong, and the API's code (0 where there was no answer).
pub struct Problem {
    pub code: u16,
    pub text: String,
}

impl From<Problem> for String {
    fn from(problem: Problem) -> String {
        problem.text
    }
}
