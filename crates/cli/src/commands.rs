//! Operators' commands against an edge's API.

use crate::client::Target;
use crate::show::say;
use crate::{children, show};
use clap::{Args, ValueEnum};
use hyper::Method;
use serde_json::{Value, json};
use std::io::Read;
use std::path::PathBuf;
use tidespur_api::resource::{EVENTS, NODES, PODS};
use tidespur_api::{Resource, meta, task};
use tidespur_net::clock;

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    Table,
    Wide,
    Json,
    Yaml,
}

#[derive(Args)]
pub struct ApplyOptions {
    /// File with objects, YAML (several parts with ---) or JSON; - for standard input
    #[arg(short = 'f', long = "filename")]
    file: PathBuf,
    /// Change nothing, say what would be done
    #[arg(long)]
    dry_run: bool,
}

#[derive(Args)]
pub struct GetOptions {
    /// jobs, pods, nodes, events or namespaces; one name or short name of them
    resource: String,
    /// Name of one
    name: Option<String>,
    /// How to show them
    #[arg(short, long, value_enum, default_value_t = Output::Table)]
    output: Output,
    /// Go on showing changes
    #[arg(short, long)]
    watch: bool,
    /// Only those whose labels match
    #[arg(short = 'l', long)]
    selector: Option<String>,
    /// In all namespaces
    #[arg(short = 'A', long)]
    all_namespaces: bool,
    /// Only Pods that wait for a node, the oldest first
    #[arg(long, conflicts_with = "watch")]
    waiting: bool,
}

#[derive(Args)]
pub struct DescribeOptions {
    /// job, pod or node
    resource: String,
    /// Its name
    name: String,
}

#[derive(Args)]
pub struct DeleteOptions {
    /// job, pod or namespace
    resource: String,
    /// Its name
    name: String,
    /// background, foreground or orphan
    #[arg(long, default_value = "background")]
    cascade: String,
}

#[derive(Args)]
pub struct NodeOptions {
    /// Name of the node
    pub node: String,
}

#[derive(Args)]
pub struct DrainOptions {
    /// Name of the node
    node: String,
    /// Give up after so many seconds
    #[arg(long, default_value_t = 60.0)]
    timeout: f64,
}

#[derive(Args)]
pub struct CheckOptions {
    /// Settings file (HCL)
    file: PathBuf,
}

fn resource(word: &str) -> Result<&'static Resource, String> {
    Resource::find_by_alias(word).ok_or(format!(
        "{word:?} is not known: use jobs, pods, nodes, events or namespaces"
    ))
}

fn read(file: &PathBuf) -> Result<Vec<Value>, String> {
    let problem = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let mut text = String::new();
    if file.as_os_str() == "-" {
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|e| problem(&e))?;
    } else {
        text = std::fs::read_to_string(file).map_err(|e| problem(&e))?;
    }
    let mut objects = Vec::new();
    for part in serde_yaml_ng::Deserializer::from_str(&text) {
        let value: Value = serde::Deserialize::deserialize(part).map_err(|e| problem(&e))?;
        match value {
            Value::Null => {}
            Value::Object(ref map) if map.contains_key("items") => {
                objects.extend(value["items"].as_array().cloned().unwrap_or_default());
            }
            object => objects.push(object),
        }
    }
    if objects.is_empty() {
        Err(problem(&"no object in it"))
    } else {
        Ok(objects)
    }
}

pub fn apply(target: &Target, options: ApplyOptions) -> Result<(), String> {
    let objects = read(&options.file)?;
    smol::block_on(async {
        for object in objects {
            let kind = meta::text_at(&object, &["kind"]).to_owned();
            let r = Resource::find_by_alias(&kind).ok_or(format!("kind {kind:?} is not served"))?;
            let space = match (r.namespaced, meta::namespace(&object)) {
                (false, _) => "",
                (true, "") => &target.namespace,
                (true, named) => named,
            };
            let query = if options.dry_run {
                "?dryRun=All&fieldValidation=Strict"
            } else {
                "?fieldValidation=Strict"
            };
            let path = r.path(space, "");
            let made = target
                .call(
                    Method::POST,
                    &format!("{path}{query}"),
                    "application/json",
                    Some(&object),
                )
                .await;
            let (done, verb) = match made {
                Ok(done) => (done, "created"),
                Err(e) if e.code == 409 && !meta::name(&object).is_empty() => {
                    let path = r.path(space, meta::name(&object));
                    let media = "application/merge-patch+json";
                    let done = target
                        .call(
                            Method::PATCH,
                            &format!("{path}{query}"),
                            media,
                            Some(&object),
                        )
                        .await?;
                    (done, "configured")
                }
                Err(e) => {
                    return Err(format!(
                        "{}/{}: {}",
                        r.singular,
                        meta::name(&object),
                        e.text
                    ));
                }
            };
            let dry = if options.dry_run { " (dry run)" } else { "" };
            say!("{}/{} {verb}{dry}", r.singular, meta::name(&done));
        }
        Ok(())
    })
}

pub fn get(target: &Target, options: GetOptions) -> Result<(), String> {
    let r = resource(&options.resource)?;
    let space = if options.all_namespaces {
        ""
    } else {
        target.space(r)
    };
    let name = options.name.as_deref().unwrap_or("");
    if options.all_namespaces && !name.is_empty() {
        return Err("a name needs a namespace: leave out -A".into());
    }
    let label = options
        .selector
        .as_ref()
        .map(|s| format!("labelSelector={}", encode(s)))
        .unwrap_or_default();
    smol::block_on(async {
        let found = target
            .call(
                Method::GET,
                &format!("{}?{label}", r.path(space, name)),
                "",
                None,
            )
            .await?;
        let mut items = match found.get("items").and_then(Value::as_array) {
            Some(items) => items.clone(),
            None => vec![found.clone()],
        };
        if options.waiting {
            if r.kind != "Pod" {
                return Err("--waiting is for pods".into());
            }
            items.retain(task::is_unscheduled);
            // Versions grow with time, so they order those of one second too.
            let made =
                |pod: &Value| meta::text_at(pod, &["metadata", "creationTimestamp"]).to_owned();
            items.sort_by_key(|pod| (made(pod), meta::version(pod)));
        }
        let wide = options.output == Output::Wide;
        match options.output {
            Output::Json => say!(
                "{}",
                serde_json::to_string_pretty(&found).unwrap_or_default()
            ),
            Output::Yaml => say!("{}", serde_yaml_ng::to_string(&found).unwrap_or_default()),
            _ if items.is_empty() && !options.watch => say!("none found"),
            _ => say!("{}", show::table(r, &items, wide)),
        }
        if !options.watch {
            return Ok(());
        }
        let version = meta::text_at(&found, &["metadata", "resourceVersion"]);
        let field = if name.is_empty() {
            String::new()
        } else {
            format!("&fieldSelector=metadata.name%3D{name}")
        };
        let path = format!(
            "{}?watch=true&resourceVersion={version}&{label}{field}",
            r.path(space, "")
        );
        let mut lines = target.watch(&path).await?;
        while let Some(line) = lines.next().await.map_err(|e| e.to_string())? {
            let event: Value = serde_json::from_slice(&line).map_err(|e| e.to_string())?;
            let object = &event["object"];
            match (event["type"].as_str().unwrap_or(""), options.output) {
                ("ERROR", _) => return Err(meta::text_at(object, &["message"]).to_owned()),
                (_, Output::Json) => say!("{event}"),
                (_, Output::Yaml) => say!(
                    "---\n{}",
                    serde_yaml_ng::to_string(&event).unwrap_or_default()
                ),
                (kind, _) => say!("{kind:<9}{}", show::row(r, object, wide).join("  ")),
            }
        }
        Ok(())
    })
}

/// Percent-encodes what may stand in a selector.
fn encode(text: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text.bytes()
        .map(|b| {
            if plain(b as char) {
                (b as char).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

pub fn describe(target: &Target, options: DescribeOptions) -> Result<(), String> {
    let r = resource(&options.resource)?;
    smol::block_on(async {
        let mut object = target.get(r, &options.name, "").await?;
        if let Some(metadata) = object["metadata"].as_object_mut() {
            metadata.remove("managedFields");
        }
        say!("{}", serde_yaml_ng::to_string(&object).unwrap_or_default());
        if r.kind == "Job" {
            let query = format!(
                "?labelSelector={}",
                encode(&format!(
                    "{}={}",
                    tidespur_api::names::JOB_NAME,
                    options.name
                ))
            );
            let pods = target.get(PODS, "", &query).await?;
            say!(
                "\n{}",
                show::table(
                    PODS,
                    pods["items"].as_array().map_or(&[], Vec::as_slice),
                    true
                )
            );
        }
        if r.kind == "Node" {
            let query = format!(
                "?fieldSelector={}",
                encode(&format!("spec.nodeName={}", options.name))
            );
            let pods = target
                .call(
                    Method::GET,
                    &format!("{}{query}", PODS.path("", "")),
                    "",
                    None,
                )
                .await?;
            say!(
                "\n{}",
                show::table(
                    PODS,
                    pods["items"].as_array().map_or(&[], Vec::as_slice),
                    true
                )
            );
        }
        let query = format!(
            "?fieldSelector={}",
            encode(&format!("involvedObject.uid={}", meta::uid(&object)))
        );
        let events = target.get(EVENTS, "", &query).await?;
        let events = events["items"].as_array().cloned().unwrap_or_default();
        if !events.is_empty() {
            say!("\n{}", show::table(EVENTS, &events, false));
        }
        Ok(())
    })
}

pub fn delete(target: &Target, options: DeleteOptions) -> Result<(), String> {
    let r = resource(&options.resource)?;
    let mut how = options.cascade.to_ascii_lowercase();
    if let Some(first) = how.get_mut(0..1) {
        first.make_ascii_uppercase();
    }
    smol::block_on(async {
        let path = r.path(target.space(r), &options.name);
        let body = json!({"kind": "DeleteOptions", "apiVersion": "v1", "propagationPolicy": how});
        target
            .call(Method::DELETE, &path, "application/json", Some(&body))
            .await?;
        say!("{}/{} deleted", r.singular, options.name);
        Ok(())
    })
}

pub fn cordon(target: &Target, node: &str, on: bool) -> Result<(), String> {
    smol::block_on(async {
        let body = json!({"spec": {"unschedulable": on}});
        let path = NODES.path("", node);
        target
            .call(
                Method::PATCH,
                &path,
                "application/merge-patch+json",
                Some(&body),
            )
            .await?;
        say!("node/{node} {}", if on { "cordoned" } else { "uncordoned" });
        Ok(())
    })
}

pub fn drain(target: &Target, options: DrainOptions) -> Result<(), String> {
    cordon(target, &options.node, true)?;
    smol::block_on(async {
        let until = clock::now() + options.timeout;
        let query = encode(&format!("spec.nodeName={}", options.node));
        let path = format!("{}?fieldSelector={query}", PODS.path("", ""));
        loop {
            let pods = target.call(Method::GET, &path, "", None).await?;
            let items = pods["items"].as_array().cloned().unwrap_or_default();
            let over = |pod: &Value| {
                matches!(
                    meta::text_at(pod, &["status", "phase"]),
                    "Succeeded" | "Failed"
                )
            };
            let left: Vec<&Value> = items.iter().filter(|pod| !over(pod)).collect();
            if left.is_empty() {
                say!("node/{} drained", options.node);
                return Ok(());
            }
            if clock::now() > until {
                return Err(format!(
                    "{} Pods are still on {}; it stays cordoned",
                    left.len(),
                    options.node
                ));
            }
            for pod in left {
                let path = PODS.path(meta::namespace(pod), meta::name(pod));
                let body = json!({"preconditions": {"uid": meta::uid(pod)}});
                match target
                    .call(Method::DELETE, &path, "application/json", Some(&body))
                    .await
                {
                    Ok(_) => say!("pod/{} evicted", meta::name(pod)),
                    Err(e) if e.code == 404 || e.code == 409 => {}
                    Err(e) => return Err(e.text),
                }
            }
            clock::sleep(0.5).await;
        }
    })
}

pub fn check_config(options: CheckOptions) -> Result<(), String> {
    let config = children::config(Some(&options.file))?;
    config
        .scheduler_settings(0, 0)
        .check()
        .map_err(|e| e.to_string())?;
    say!(
        "{}: good ({} classes, {} kinds)",
        options.file.display(),
        config.classes.len(),
        config.node_types.len()
    );
    Ok(())
}
