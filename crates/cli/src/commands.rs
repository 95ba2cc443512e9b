//! Commands that read and change objects through an edge's API, and `check-config`.

use crate::client::Target;
use crate::show::print_line;
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

fn find_resource(alias: &str) -> Result<&'static Resource, String> {
    Resource::find_by_alias(alias).ok_or(format!(
        "unknown resource {alias:?}: use jobs, pods, nodes, events or namespaces"
    ))
}

/// Reads the objects of a YAML or JSON file, which may hold several documents and lists; `-` is standard input.
fn read_objects(file: &PathBuf) -> Result<Vec<Value>, String> {
    let error = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let mut text = String::new();
    if file.as_os_str() == "-" {
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|e| error(&e))?;
    } else {
        text = std::fs::read_to_string(file).map_err(|e| error(&e))?;
    }
    let mut objects = Vec::new();
    for document in serde_yaml_ng::Deserializer::from_str(&text) {
        let value: Value = serde::Deserialize::deserialize(document).map_err(|e| error(&e))?;
        match value {
            Value::Null => {}
            Value::Object(ref map) if map.contains_key("items") => {
                objects.extend(value["items"].as_array().cloned().unwrap_or_default());
            }
            object => objects.push(object),
        }
    }
    if objects.is_empty() {
        Err(error(&"contains no objects"))
    } else {
        Ok(objects)
    }
}

pub fn apply(target: &Target, options: ApplyOptions) -> Result<(), String> {
    let objects = read_objects(&options.file)?;
    smol::block_on(async {
        for object in objects {
            let kind = meta::text_at(&object, &["kind"]).to_owned();
            let r =
                Resource::find_by_alias(&kind).ok_or(format!("kind {kind:?} is not supported"))?;
            let namespace = match (r.namespaced, meta::namespace(&object)) {
                (false, _) => "",
                (true, "") => &target.namespace,
                (true, named) => named,
            };
            let query = if options.dry_run {
                "?dryRun=All&fieldValidation=Strict"
            } else {
                "?fieldValidation=Strict"
            };
            let path = r.path(namespace, "");
            let created = target
                .call(
                    Method::POST,
                    &format!("{path}{query}"),
                    "application/json",
                    Some(&object),
                )
                .await;
            let (applied, verb) = match created {
                Ok(applied) => (applied, "created"),
                Err(e) if e.status == 409 && !meta::name(&object).is_empty() => {
                    let path = r.path(namespace, meta::name(&object));
                    let content_type = "application/merge-patch+json";
                    let patched = target
                        .call(
                            Method::PATCH,
                            &format!("{path}{query}"),
                            content_type,
                            Some(&object),
                        )
                        .await?;
                    (patched, "configured")
                }
                Err(e) => {
                    return Err(format!(
                        "{}/{}: {}",
                        r.singular,
                        meta::name(&object),
                        e.message
                    ));
                }
            };
            let dry = if options.dry_run { " (dry run)" } else { "" };
            print_line!("{}/{} {verb}{dry}", r.singular, meta::name(&applied));
        }
        Ok(())
    })
}

pub fn get(target: &Target, options: GetOptions) -> Result<(), String> {
    let r = find_resource(&options.resource)?;
    let namespace = if options.all_namespaces {
        ""
    } else {
        target.namespace_of(r)
    };
    let name = options.name.as_deref().unwrap_or("");
    if options.all_namespaces && !name.is_empty() {
        return Err("a name can't be combined with --all-namespaces".into());
    }
    let label_query = options
        .selector
        .as_ref()
        .map(|s| format!("labelSelector={}", percent_encode(s)))
        .unwrap_or_default();
    smol::block_on(async {
        let response = target
            .call(
                Method::GET,
                &format!("{}?{label_query}", r.path(namespace, name)),
                "",
                None,
            )
            .await?;
        let mut items = match response.get("items").and_then(Value::as_array) {
            Some(items) => items.clone(),
            None => vec![response.clone()],
        };
        if options.waiting {
            if r.kind != "Pod" {
                return Err("--waiting applies to pods only".into());
            }
            items.retain(task::is_unscheduled);
            // Creation times are whole seconds; the growing resource version orders Pods of the same second.
            let created =
                |pod: &Value| meta::text_at(pod, &["metadata", "creationTimestamp"]).to_owned();
            items.sort_by_key(|pod| (created(pod), meta::version(pod)));
        }
        let wide = options.output == Output::Wide;
        match options.output {
            Output::Json => print_line!(
                "{}",
                serde_json::to_string_pretty(&response).unwrap_or_default()
            ),
            Output::Yaml => print_line!(
                "{}",
                serde_yaml_ng::to_string(&response).unwrap_or_default()
            ),
            _ if items.is_empty() && !options.watch => print_line!("none found"),
            _ => print_line!("{}", show::table(r, &items, wide)),
        }
        if !options.watch {
            return Ok(());
        }
        let version = meta::text_at(&response, &["metadata", "resourceVersion"]);
        let field_query = if name.is_empty() {
            String::new()
        } else {
            format!("&fieldSelector=metadata.name%3D{name}")
        };
        let path = format!(
            "{}?watch=true&resourceVersion={version}&{label_query}{field_query}",
            r.path(namespace, "")
        );
        let mut lines = target.watch(&path).await?;
        while let Some(line) = lines.next().await.map_err(|e| e.to_string())? {
            let event: Value = serde_json::from_slice(&line).map_err(|e| e.to_string())?;
            let object = &event["object"];
            match (event["type"].as_str().unwrap_or(""), options.output) {
                ("ERROR", _) => return Err(meta::text_at(object, &["message"]).to_owned()),
                (_, Output::Json) => print_line!("{event}"),
                (_, Output::Yaml) => print_line!(
                    "---\n{}",
                    serde_yaml_ng::to_string(&event).unwrap_or_default()
                ),
                (kind, _) => print_line!("{kind:<9}{}", show::row(r, object, wide).join("  ")),
            }
        }
        Ok(())
    })
}

/// Percent-encodes a selector for a query string.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text.bytes()
        .map(|b| {
            if is_unreserved(b as char) {
                (b as char).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

pub fn describe(target: &Target, options: DescribeOptions) -> Result<(), String> {
    let r = find_resource(&options.resource)?;
    smol::block_on(async {
        let mut object = target.get(r, &options.name, "").await?;
        if let Some(metadata) = object["metadata"].as_object_mut() {
            metadata.remove("managedFields");
        }
        print_line!("{}", serde_yaml_ng::to_string(&object).unwrap_or_default());
        if r.kind == "Job" {
            let query = format!(
                "?labelSelector={}",
                percent_encode(&format!(
                    "{}={}",
                    tidespur_api::names::JOB_NAME,
                    options.name
                ))
            );
            let pods = target.get(PODS, "", &query).await?;
            print_line!(
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
                percent_encode(&format!("spec.nodeName={}", options.name))
            );
            let pods = target
                .call(
                    Method::GET,
                    &format!("{}{query}", PODS.path("", "")),
                    "",
                    None,
                )
                .await?;
            print_line!(
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
            percent_encode(&format!("involvedObject.uid={}", meta::uid(&object)))
        );
        let events = target.get(EVENTS, "", &query).await?;
        let events = events["items"].as_array().cloned().unwrap_or_default();
        if !events.is_empty() {
            print_line!("\n{}", show::table(EVENTS, &events, false));
        }
        Ok(())
    })
}

pub fn delete(target: &Target, options: DeleteOptions) -> Result<(), String> {
    let r = find_resource(&options.resource)?;
    let mut policy = options.cascade.to_ascii_lowercase();
    if let Some(first) = policy.get_mut(0..1) {
        first.make_ascii_uppercase();
    }
    smol::block_on(async {
        let path = r.path(target.namespace_of(r), &options.name);
        let body =
            json!({"kind": "DeleteOptions", "apiVersion": "v1", "propagationPolicy": policy});
        target
            .call(Method::DELETE, &path, "application/json", Some(&body))
            .await?;
        print_line!("{}/{} deleted", r.singular, options.name);
        Ok(())
    })
}

pub fn cordon(target: &Target, node: &str, is_cordoned: bool) -> Result<(), String> {
    smol::block_on(async {
        let body = json!({"spec": {"unschedulable": is_cordoned}});
        let path = NODES.path("", node);
        target
            .call(
                Method::PATCH,
                &path,
                "application/merge-patch+json",
                Some(&body),
            )
            .await?;
        print_line!(
            "node/{node} {}",
            if is_cordoned {
                "cordoned"
            } else {
                "uncordoned"
            }
        );
        Ok(())
    })
}

pub fn drain(target: &Target, options: DrainOptions) -> Result<(), String> {
    cordon(target, &options.node, true)?;
    smol::block_on(async {
        let deadline = clock::now() + options.timeout;
        let query = percent_encode(&format!("spec.nodeName={}", options.node));
        let path = format!("{}?fieldSelector={query}", PODS.path("", ""));
        loop {
            let pods = target.call(Method::GET, &path, "", None).await?;
            let items = pods["items"].as_array().cloned().unwrap_or_default();
            let is_finished = |pod: &Value| {
                matches!(
                    meta::text_at(pod, &["status", "phase"]),
                    "Succeeded" | "Failed"
                )
            };
            let remaining: Vec<&Value> = items.iter().filter(|pod| !is_finished(pod)).collect();
            if remaining.is_empty() {
                print_line!("node/{} drained", options.node);
                return Ok(());
            }
            if clock::now() > deadline {
                return Err(format!(
                    "{} Pods are still on {}; it stays cordoned",
                    remaining.len(),
                    options.node
                ));
            }
            for pod in remaining {
                let path = PODS.path(meta::namespace(pod), meta::name(pod));
                let body = json!({"preconditions": {"uid": meta::uid(pod)}});
                match target
                    .call(Method::DELETE, &path, "application/json", Some(&body))
                    .await
                {
                    Ok(_) => print_line!("pod/{} evicted", meta::name(pod)),
                    // Already deleted, or replaced by a Pod of the same name.
                    Err(e) if e.status == 404 || e.status == 409 => {}
                    Err(e) => return Err(e.message),
                }
            }
            clock::sleep(0.5).await;
        }
    })
}

pub fn check_config(options: CheckOptions) -> Result<(), String> {
    let config = children::load_config(Some(&options.file))?;
    config
        .scheduler_settings(0, 0)
        .check()
        .map_err(|e| e.to_string())?;
    print_line!(
        "{}: good ({} classes, {} kinds)",
        options.file.display(),
        config.classes.len(),
        config.node_types.len()
    );
    Ok(())
}
