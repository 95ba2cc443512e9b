//! Lists a collection and then watches it from the listed version on, as Kubernetes clients do.

use crate::Client;
use async_channel::Sender;
use hyper::Method;
use serde_json::Value;

/// What a list and the following watch report.
#[derive(Clone, Debug)]
pub enum ListWatchEvent {
    /// All objects of the collection; always the first event.
    Listed(Vec<Value>),
    /// An object was created or changed; its present state.
    Updated(Value),
    /// An object was deleted; its last state.
    Deleted(Value),
}

/// Lists and watches a collection, sending each event to `events` after converting it with `convert`. Returns the
/// reason once the list or watch fails or ends. `request_timeout` limits the list and the opening of the watch, in
/// seconds. A watch that is silent for `max_silence` seconds counts as lost, so the server must send bookmarks
/// more often.
pub async fn list_and_watch<T: Send>(
    client: &Client,
    path: &str,
    request_timeout: f64,
    max_silence: f64,
    convert: impl Fn(ListWatchEvent) -> T + Send,
    events: &Sender<T>,
) -> String {
    let mut list = match client
        .send(Method::GET, path, "", bytes::Bytes::new(), request_timeout)
        .await
    {
        Ok(reply) if reply.status.is_success() => reply.json(),
        Ok(reply) => return format!("the list: status {}", reply.status),
        Err(error) => return format!("the list: {error}"),
    };
    let version = list["metadata"]["resourceVersion"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    let items = match list["items"].take() {
        Value::Array(items) => items,
        _ => return "the list: no items".into(),
    };
    drop(events.send(convert(ListWatchEvent::Listed(items))).await);
    let path = format!("{path}?watch=true&allowWatchBookmarks=true&resourceVersion={version}");
    let mut lines = match client.stream_lines(&path, request_timeout).await {
        Ok(lines) if lines.status.is_success() => lines,
        Ok(lines) => return format!("the watch: status {}", lines.status),
        Err(error) => return format!("the watch: {error}"),
    };
    loop {
        let line = match lines.next_with_timeout(max_silence).await {
            Ok(line) => line,
            Err(reason) => return reason,
        };
        let Ok(mut event) = serde_json::from_slice::<Value>(&line) else {
            return "a line that is no JSON".into();
        };
        let object = event["object"].take();
        match event["type"].as_str() {
            Some("BOOKMARK") => {}
            Some("ADDED" | "MODIFIED") => {
                drop(events.send(convert(ListWatchEvent::Updated(object))).await)
            }
            Some("DELETED") => drop(events.send(convert(ListWatchEvent::Deleted(object))).await),
            _ => return format!("an error of the server: {}", object["message"]),
        }
    }
}
