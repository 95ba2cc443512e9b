//! `fleet`: edges and planners as an edge sees them.

use crate::client::Target;
use crate::show::say;
use hyper::Method;
use serde_json::Value;
use tidespur_net::clock;

/// Pause between two looks of `--watch`.
const AGAIN: f64 = 1.0;

#[derive(clap::Args)]
pub struct FleetOptions {
    /// `json` for everything that the edge tells
    #[arg(long, short)]
    output: Option<String>,
    /// Show it again whenever a member or its state has changed
    #[arg(long, short)]
    watch: bool,
}

pub fn fleet(target: &Target, options: FleetOptions) -> Result<(), String> {
    let json = match options.output.as_deref() {
        None => false,
        Some("json") => true,
        Some(other) => return Err(format!("-o {other}: only json is known")),
    };
    smol::block_on(async {
        let mut shown = None;
        loop {
            let told = target
                .call(Method::GET, "/debug/fleet", "", None)
                .await
                .map_err(|problem| problem.text)?;
            let now = standings(&told);
            if shown.as_ref() != Some(&now) {
                show(&told, json);
                shown = Some(now);
            }
            if !options.watch {
                return Ok(());
            }
            clock::sleep(AGAIN).await;
        }
    })
}

/// What a change of makes `--watch` show it again.
fn standings(told: &Value) -> Vec<Value> {
    let members = told["members"].as_array().map_or(&[][..], Vec::as_slice);
    let mut all: Vec<Value> = members
        .iter()
        .flat_map(|m| [m["name"].clone(), m["state"].clone()])
        .collect();
    all.push(told["settled"].clone());
    all
}

fn show(told: &Value, json: bool) {
    if json {
        say!("{}", serde_json::to_string_pretty(told).unwrap_or_default());
        return;
    }
    let text = |value: &Value| {
        value
            .as_str()
            .filter(|text| !text.is_empty())
            .unwrap_or("-")
            .to_owned()
    };
    say!(
        "{:<20} {:<8} {:<12} {:<8} {:>17} {:>7} {:>6} {:>6}",
        "NAME",
        "ROLE",
        "ZONE",
        "STATE",
        "INCARNATION",
        "FACTS",
        "OPEN",
        "FOR"
    );
    for member in told["members"].as_array().into_iter().flatten() {
        let seconds = |key: &str| {
            member[key]
                .as_f64()
                .map_or("-".into(), |age| format!("{age:.0}s"))
        };
        say!(
            "{:<20} {:<8} {:<12} {:<8} {:>17} {:>7} {:>6} {:>6}",
            text(&member["name"]),
            text(&member["role"]),
            text(&member["zone"]),
            text(&member["state"]),
            member["incarnation"],
            seconds("factsAge"),
            member["open"]
                .as_u64()
                .map_or("-".into(), |open| open.to_string()),
            seconds("for"),
        );
    }
    let settled = if told["settled"] == true {
        "all live members see the same"
    } else {
        "not settled"
    };
    say!(
        "{} live, as {} sees them; {settled}",
        told["live"],
        text(&told["asked"])
    );
}
