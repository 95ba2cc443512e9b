//! `tidespur explain`: why work waits, for its owner and for the fleet.

use crate::client::Target;
use crate::show::say;
use clap::Args;
use hyper::Method;
use serde_json::Value;
use tidespur_api::resource::{JOBS, PODS};
use tidespur_api::{meta, names, task};
use tidespur_net::clock;

#[derive(Args)]
pub struct ExplainOptions {
    /// job or pod
    #[arg(required_unless_present = "all", requires = "name")]
    resource: Option<String>,
    /// Its name
    name: Option<String>,
    /// What holds work back in the whole fleet, by class and namespace
    #[arg(long, conflicts_with_all = ["resource", "name"])]
    all: bool,
    /// As the edge tells it, in JSON
    #[arg(long)]
    json: bool,
}

pub fn explain(target: &Target, options: ExplainOptions) -> Result<(), String> {
    smol::block_on(async {
        if options.all {
            return fleet(target, options.json).await;
        }
        let (Some(resource), Some(name)) = (&options.resource, &options.name) else {
            return Err("name a job or a pod, or use --all".into());
        };
        match tidespur_api::Resource::find_by_alias(resource).map(|r| r.kind) {
            Some("Pod") => pod(target, name, options.json).await,
            Some("Job") => job(target, name, options.json).await,
            _ => Err(format!(
                "{resource}: only jobs and pods wait; use job or pod"
            )),
        }
    })
}

async fn record(target: &Target, pod: &str) -> Result<Option<Value>, String> {
    let path = format!("/debug/waits/{}/{pod}", target.namespace);
    match target.call(Method::GET, &path, "", None).await {
        Ok(record) => Ok(Some(record)),
        Err(problem) if problem.code == 404 => Ok(None),
        Err(problem) => Err(problem.text),
    }
}

async fn pod(target: &Target, name: &str, json: bool) -> Result<(), String> {
    let object = target.get(PODS, name, "").await?;
    let record = record(target, name).await?;
    if json {
        say!(
            "{}",
            serde_json::to_string_pretty(&record).unwrap_or_default()
        );
        return Ok(());
    }
    let node = meta::text_at(&object, &["spec", "nodeName"]);
    let phase = meta::text_at(&object, &["status", "phase"]);
    let waits = task::is_unscheduled(&object);
    match (waits, node) {
        (true, _) => say!("pod/{name} waits"),
        (false, "") => say!(
            "pod/{name} is {phase}: {}",
            meta::text_at(&object, &["status", "message"])
        ),
        (false, node) => say!("pod/{name} was placed on {node} and is {phase}"),
    }
    match record {
        Some(record) => timeline(&record, waits),
        None if waits => say!("  no reason has been told yet; ask again in a second"),
        None => {
            say!("  it did not wait long enough for a record, or that record is no longer kept")
        }
    }
    Ok(())
}

fn seconds(now: f64, at: f64) -> String {
    format!("{:.1} s ago", (now - at).max(0.0))
}

fn timeline(record: &Value, waits: bool) {
    let now = clock::now();
    let number = |value: &Value, key: &str| value[key].as_f64().unwrap_or(0.0);
    if waits {
        say!("  now      {}", meta::text_at(record, &["message"]));
        if let Some(hint) = record["hint"].as_str() {
            say!("  it needs {hint}");
        }
        say!(
            "  told {}; it waits since {}",
            seconds(now, number(record, "seen")),
            seconds(now, number(record, "since"))
        );
        if let Some(word) = record["word"].as_object() {
            let left = |key: &str| {
                word.get(key).and_then(Value::as_f64).unwrap_or(0.0)
                    - (now - number(record, "seen"))
            };
            say!(
                "  it can be sent for {:.1} s more",
                left("sendable_for").max(0.0)
            );
            for answer in word
                .get("answers")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                say!(
                    "  {} answered: {}",
                    answer[0].as_str().unwrap_or(""),
                    answer[1].as_str().unwrap_or("")
                );
            }
        }
    }
    for span in record["spans"].as_array().into_iter().flatten() {
        let until = if span["over"] == true {
            seconds(now, number(span, "last"))
        } else {
            "now".into()
        };
        let times = match span["count"].as_u64() {
            Some(0 | 1) | None => String::new(),
            Some(count) => format!(", {count} times"),
        };
        let nodes = match span["nodes"].as_u64() {
            Some(0) | None => String::new(),
            Some(nodes) => format!(" ({nodes} nodes)"),
        };
        let (code, source) = (
            meta::text_at(span, &["code"]),
            meta::text_at(span, &["source"]),
        );
        say!(
            "  {source:<9}{code}{nodes}: from {} to {until}{times}",
            seconds(now, number(span, "first"))
        );
    }
}

async fn job(target: &Target, name: &str, json: bool) -> Result<(), String> {
    let job = target.get(JOBS, name, "").await?;
    let query = format!(
        "?labelSelector={}%3D{name}",
        names::JOB_NAME.replace('/', "%2F")
    );
    let pods = target.get(PODS, "", &query).await?;
    let pods = pods["items"].as_array().cloned().unwrap_or_default();
    let waits: Vec<&Value> = pods
        .iter()
        .filter(|pod| task::is_unscheduled(pod))
        .collect();
    if !json {
        say!("job/{name}: {} of {} Pods wait", waits.len(), pods.len());
        if meta::value_at(&job, &["spec", "suspend"]) == true {
            say!("  owner    it is suspended: nothing of it may run");
        }
        for condition in meta::value_at(&job, &["status", "conditions"])
            .as_array()
            .into_iter()
            .flatten()
        {
            if condition["type"] == names::PENDING_CONDITION && condition["status"] == "True" {
                say!("  owner    {}", meta::text_at(condition, &["message"]));
            }
        }
    }
    for one in waits {
        pod(target, meta::name(one), json).await?;
    }
    Ok(())
}

async fn fleet(target: &Target, json: bool) -> Result<(), String> {
    let fleet = target.call(Method::GET, "/debug/waits", "", None).await?;
    if json {
        say!(
            "{}",
            serde_json::to_string_pretty(&fleet).unwrap_or_default()
        );
        return Ok(());
    }
    say!(
        "{} tasks have a record; a task counts under each of its reasons, in each zone",
        fleet["waiting"]
    );
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header([
        "TASKS",
        "CORES",
        "MEMORY",
        "OLDEST",
        "CLASS",
        "NAMESPACE",
        "ZONE",
        "SOURCE",
        "REASON",
    ]);
    let mut lines: Vec<&Value> = fleet["reasons"].as_array().into_iter().flatten().collect();
    lines.sort_by_key(|line| std::cmp::Reverse(line["tasks"].as_u64()));
    for line in lines {
        let text = |key: &str| meta::text_at(line, &[key]).to_owned();
        let number = |key: &str| line[key].as_f64().unwrap_or(0.0);
        table.add_row([
            format!("{}", number("tasks")),
            format!("{:.1}", number("cores")),
            format!("{:.1}", number("memory")),
            seconds(clock::now(), number("oldest")),
            text("class"),
            text("namespace"),
            text("zone"),
            text("source"),
            text("words"),
        ]);
    }
    say!("{table}");
    Ok(())
}
