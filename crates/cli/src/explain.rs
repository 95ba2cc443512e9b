//! `explain`: why a Pod or Job is waiting, and the reasons across the whole fleet.

use crate::client::Target;
use crate::show::print_line;
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
            return explain_fleet(target, options.json).await;
        }
        let (Some(resource), Some(name)) = (&options.resource, &options.name) else {
            return Err("name a job or a pod, or use --all".into());
        };
        match tidespur_api::Resource::find_by_alias(resource).map(|r| r.kind) {
            Some("Pod") => explain_pod(target, name, options.json).await,
            Some("Job") => explain_job(target, name, options.json).await,
            _ => Err(format!(
                "{resource}: only jobs and pods wait; use job or pod"
            )),
        }
    })
}

/// Fetches the record of a Pod's waiting time; `None` when the edge keeps none.
async fn fetch_record(target: &Target, pod: &str) -> Result<Option<Value>, String> {
    let path = format!("/debug/waits/{}/{pod}", target.namespace);
    match target.call(Method::GET, &path, "", None).await {
        Ok(record) => Ok(Some(record)),
        Err(error) if error.status == 404 => Ok(None),
        Err(error) => Err(error.message),
    }
}

async fn explain_pod(target: &Target, name: &str, json: bool) -> Result<(), String> {
    let object = target.get(PODS, name, "").await?;
    let record = fetch_record(target, name).await?;
    if json {
        print_line!(
            "{}",
            serde_json::to_string_pretty(&record).unwrap_or_default()
        );
        return Ok(());
    }
    let node = meta::text_at(&object, &["spec", "nodeName"]);
    let phase = meta::text_at(&object, &["status", "phase"]);
    let is_waiting = task::is_unscheduled(&object);
    match (is_waiting, node) {
        (true, _) => print_line!("pod/{name} waits"),
        (false, "") => print_line!(
            "pod/{name} is {phase}: {}",
            meta::text_at(&object, &["status", "message"])
        ),
        (false, node) => print_line!("pod/{name} was placed on {node} and is {phase}"),
    }
    match record {
        Some(record) => print_record(&record, is_waiting),
        None if is_waiting => print_line!("  no reason has been told yet; ask again in a second"),
        None => {
            print_line!(
                "  it did not wait long enough for a record, or that record is no longer kept"
            )
        }
    }
    Ok(())
}

fn seconds_ago(now: f64, at: f64) -> String {
    format!("{:.1} s ago", (now - at).max(0.0))
}

fn print_record(record: &Value, is_waiting: bool) {
    let now = clock::now();
    let number = |value: &Value, key: &str| value[key].as_f64().unwrap_or(0.0);
    if is_waiting {
        print_line!("  now      {}", meta::text_at(record, &["message"]));
        if let Some(hint) = record["hint"].as_str() {
            print_line!("  it needs {hint}");
        }
        print_line!(
            "  told {}; it waits since {}",
            seconds_ago(now, number(record, "seen")),
            seconds_ago(now, number(record, "since"))
        );
        if let Some(word) = record["word"].as_object() {
            let remaining_seconds = |key: &str| {
                word.get(key).and_then(Value::as_f64).unwrap_or(0.0)
                    - (now - number(record, "seen"))
            };
            print_line!(
                "  it can be sent for {:.1} s more",
                remaining_seconds("sendable_for").max(0.0)
            );
            for answer in word
                .get("answers")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                print_line!(
                    "  {} answered: {}",
                    answer[0].as_str().unwrap_or(""),
                    answer[1].as_str().unwrap_or("")
                );
            }
        }
    }
    for span in record["spans"].as_array().into_iter().flatten() {
        let until = if span["over"] == true {
            seconds_ago(now, number(span, "last"))
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
        print_line!(
            "  {source:<9}{code}{nodes}: from {} to {until}{times}",
            seconds_ago(now, number(span, "first"))
        );
    }
}

async fn explain_job(target: &Target, name: &str, json: bool) -> Result<(), String> {
    let job = target.get(JOBS, name, "").await?;
    let query = format!(
        "?labelSelector={}%3D{name}",
        names::JOB_NAME.replace('/', "%2F")
    );
    let pods = target.get(PODS, "", &query).await?;
    let pods = pods["items"].as_array().cloned().unwrap_or_default();
    let waiting: Vec<&Value> = pods
        .iter()
        .filter(|pod| task::is_unscheduled(pod))
        .collect();
    if !json {
        print_line!("job/{name}: {} of {} Pods wait", waiting.len(), pods.len());
        if meta::value_at(&job, &["spec", "suspend"]) == true {
            print_line!("  owner    it is suspended: nothing of it may run");
        }
        for condition in meta::value_at(&job, &["status", "conditions"])
            .as_array()
            .into_iter()
            .flatten()
        {
            if condition["type"] == names::PENDING_CONDITION && condition["status"] == "True" {
                print_line!("  owner    {}", meta::text_at(condition, &["message"]));
            }
        }
    }
    for pod in waiting {
        explain_pod(target, meta::name(pod), json).await?;
    }
    Ok(())
}

async fn explain_fleet(target: &Target, json: bool) -> Result<(), String> {
    let fleet = target.call(Method::GET, "/debug/waits", "", None).await?;
    if json {
        print_line!(
            "{}",
            serde_json::to_string_pretty(&fleet).unwrap_or_default()
        );
        return Ok(());
    }
    print_line!(
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
            seconds_ago(clock::now(), number("oldest")),
            text("class"),
            text("namespace"),
            text("zone"),
            text("source"),
            text("words"),
        ]);
    }
    print_line!("{table}");
    Ok(())
}
