//! Tables of objects for the terminal.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;
use tidespur_api::{Resource, meta, names};
use tidespur_net::clock;

/// Prints a line to standard output; exits with status 0 when that fails, as after `head` has closed a pipe.
macro_rules! print_line {
    ($($part:tt)*) => {{
        use std::io::Write;
        if writeln!(std::io::stdout(), $($part)*).is_err() {
            std::process::exit(0);
        }
    }};
}
pub(crate) use print_line;

fn age(object: &Value) -> String {
    let Some(created) =
        meta::parse_timestamp(meta::text_at(object, &["metadata", "creationTimestamp"]))
    else {
        return "?".into();
    };
    let seconds = (clock::now() - created).max(0.0) as u64;
    match seconds {
        0..120 => format!("{seconds}s"),
        120..7200 => format!("{}m", seconds / 60),
        7200..172_800 => format!("{}h", seconds / 3600),
        _ => format!("{}d", seconds / 86_400),
    }
}

fn integer_at(object: &Value, path: &[&str]) -> String {
    meta::value_at(object, path)
        .as_i64()
        .unwrap_or(0)
        .to_string()
}

/// Column names of a resource's table.
pub fn column_names(resource: &Resource, wide: bool) -> Vec<&'static str> {
    let (narrow, extra): (&[&'static str], &[&'static str]) = match resource.kind {
        "Job" => (
            &["NAME", "STATUS", "COMPLETIONS", "ACTIVE", "FAILED", "AGE"],
            &["CLASS", "READY"],
        ),
        "Pod" => (
            &["NAME", "STATUS", "NODE", "AGE"],
            &["CLASS", "CPU", "MEMORY", "MESSAGE"],
        ),
        "Node" => (
            &[
                "NAME",
                "STATUS",
                "ZONE",
                "RACK",
                "KIND",
                "FREE-CPU",
                "FREE-MEMORY",
            ],
            &["ADDRESS", "UP"],
        ),
        "Event" => (&["LAST", "TYPE", "REASON", "OBJECT", "MESSAGE"], &[]),
        _ => (&["NAME", "STATUS", "AGE"], &[]),
    };
    let extra = if wide { extra } else { &[] };
    narrow.iter().chain(extra).copied().collect()
}

/// One object's row.
pub fn row(resource: &Resource, object: &Value, wide: bool) -> Vec<String> {
    let text = |path: &[&str]| meta::text_at(object, path).to_owned();
    let annotation = |key: &str| meta::annotation(object, key).unwrap_or("").to_owned();
    let label = |key: &str| meta::label(object, key).unwrap_or("").to_owned();
    let name = meta::name(object).to_owned();
    let mut row = match resource.kind {
        "Job" => {
            let status = match () {
                () if meta::has_condition(object, "Complete") => "Complete",
                () if meta::has_condition(object, "Failed") => "Failed",
                () if meta::has_condition(object, "Suspended") => "Suspended",
                () => "Running",
            };
            let wanted = meta::value_at(object, &["spec", "completions"])
                .as_i64()
                .map_or("1+".into(), |n| n.to_string());
            let completions = format!("{}/{wanted}", integer_at(object, &["status", "succeeded"]));
            let (active, failed) = (
                integer_at(object, &["status", "active"]),
                integer_at(object, &["status", "failed"]),
            );
            vec![
                name,
                status.into(),
                completions,
                active,
                failed,
                age(object),
            ]
        }
        "Pod" => {
            let reason = text(&["status", "reason"]);
            let status = if reason.is_empty() {
                text(&["status", "phase"])
            } else {
                reason
            };
            vec![name, status, text(&["spec", "nodeName"]), age(object)]
        }
        "Node" => {
            let is_cordoned = meta::value_at(object, &["spec", "unschedulable"]) == true;
            let status = if is_cordoned {
                "Ready,SchedulingDisabled"
            } else {
                "Ready"
            };
            let columns = vec![
                name,
                status.into(),
                label(names::ZONE),
                label(names::RACK),
                label(names::INSTANCE_TYPE),
            ];
            [
                columns,
                vec![
                    annotation(names::UNCLAIMED_CPU),
                    annotation(names::UNCLAIMED_MEMORY),
                ],
            ]
            .concat()
        }
        "Event" => {
            let involved_object = format!(
                "{}/{}",
                text(&["involvedObject", "kind"]),
                text(&["involvedObject", "name"])
            );
            vec![
                text(&["lastTimestamp"]),
                text(&["type"]),
                text(&["reason"]),
                involved_object,
                text(&["message"]),
            ]
        }
        _ => vec![name, text(&["status", "phase"]), age(object)],
    };
    if wide {
        let (cores, memory) = tidespur_api::task::resource_requests(object);
        row.extend(match resource.kind {
            "Job" => vec![
                text(&["spec", "template", "spec", "priorityClassName"]),
                integer_at(object, &["status", "ready"]),
            ],
            "Pod" => {
                let class = text(&["spec", "priorityClassName"]);
                let conditions = meta::value_at(object, &["status", "conditions"]).as_array();
                let unschedulable = conditions
                    .into_iter()
                    .flatten()
                    .find(|c| c["reason"] == "Unschedulable");
                let message = unschedulable.map_or(text(&["status", "message"]), |c| {
                    meta::text_at(c, &["message"]).to_owned()
                });
                vec![class, format!("{cores}"), format!("{memory}Gi"), message]
            }
            "Node" => vec![annotation(names::ADDRESS), annotation(names::STARTED_AT)],
            _ => vec![],
        });
    }
    row
}

/// A table of objects.
pub fn table(resource: &Resource, objects: &[Value], wide: bool) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(column_names(resource, wide));
    for object in objects {
        table.add_row(row(resource, object, wide));
    }
    table.to_string()
}
