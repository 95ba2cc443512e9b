//! A list and the watch after it, as published clients read them.

use crate::Client;
use async_channel::Sender;
use hyper::Method;
use serde_json::Value;

/// What a list and the watch after it report.
#[derive(Clone, Debug)]
pub enum ListWatchEvent {
    /// All objects of the collection.
    Listed(Vec<Value>),
    /// An object was created or changed; as it is now.
    Updated(Value),
    /// An object was deleted; as it was last.
    Deleted(Value),
}

/// Lists and watches a collection, and hands on what comes as `read` puts it, until it ends; says why. A watch silent for `silence`
/// seconds is lost, so the server must send bookmarks more often.
pub async fn list_and_watch<T: Send>(
    client: &Client,
    path: &str,
    within: f64,
    silence: f64,
    read: impl Fn(ListWatchEvent) -> T + Send,
    to: &Sender<T>,
) -> String {
    let mut list = match client
        .send(Method::GET, path, "", bytes::Bytes::new(), within)
        .await
    {
        Ok(reply) if reply.status.is_success() => reply.json(),
        Ok(reply) => return format!("the list: status {}", reply.status),
        Err(problem) => return format!("the list: {problem}"),
    };
    let version = list["metadata"]["resourceVersion"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    let items = match list["items"].take() {
        Value::Array(items) => items,
        _ => return "the list: no items".into(),
    };
    drop(to.send(read(ListWatchEvent::Listed(items))).await);
    let path = format!("{path}?watch=true&allowWatchBookmarks=true&resourceVersion={version}");
    let mut lines = match client.stream_lines(&path, within).await {
        Ok(lines) if lines.status.is_success() => lines,
        Ok(lines) => return format!("the watch: status {}", lines.status),
        Err(problem) => return format!("the watch: {problem}"),
    };
    loop {
        let line = match lines.next_with_timeout(silence).await {
            Ok(line) => line,
            Err(why) => return why,
        };
        let Ok(mut event) = serde_json::from_slice::<Value>(&line) else {
            return "a line that is no JSON".into();
        };
        let object = event["object"].take();
        match event["type"].as_str() {
            Some("BOOKMARK") => {}
            Some("ADDED" | "MODIFIED") => {
                drop(to.send(read(ListWatchEvent::Updated(object))).await)
            }
            Some("DELETED") => drop(to.send(read(ListWatchEvent::Deleted(object))).await),
            _ => return format!("an error of the server: {}", object["message"]),
        }
    }
}
