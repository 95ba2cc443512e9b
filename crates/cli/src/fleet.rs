//! `fleet`: the members of the fleet, as one edge sees them.

use crate::client::Target;
use crate::show::print_line;
use hyper::Method;
use serde_json::Value;
use tidespur_net::clock;

/// Pause between two requests of `--watch`.
const POLL_INTERVAL_SECONDS: f64 = 1.0;

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
        Some(other) => {
            return Err(format!(
                "unknown output format {other:?}: only json is supported"
            ));
        }
    };
    smol::block_on(async {
        let mut shown = None;
        loop {
            let view = target
                .call(Method::GET, "/debug/fleet", "", None)
                .await
                .map_err(|error| error.message)?;
            let states = member_states(&view);
            if shown.as_ref() != Some(&states) {
                print_view(&view, json);
                shown = Some(states);
            }
            if !options.watch {
                return Ok(());
            }
            clock::sleep(POLL_INTERVAL_SECONDS).await;
        }
    })
}

/// Names and states of the members: `--watch` prints the view again when they change.
fn member_states(view: &Value) -> Vec<Value> {
    let members = view["members"].as_array().map_or(&[][..], Vec::as_slice);
    let mut states: Vec<Value> = members
        .iter()
        .flat_map(|m| [m["name"].clone(), m["state"].clone()])
        .collect();
    states.push(view["settled"].clone());
    states
}

fn print_view(view: &Value, json: bool) {
    if json {
        print_line!("{}", serde_json::to_string_pretty(view).unwrap_or_default());
        return;
    }
    let text = |value: &Value| {
        value
            .as_str()
            .filter(|text| !text.is_empty())
            .unwrap_or("-")
            .to_owned()
    };
    print_line!(
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
    for member in view["members"].as_array().into_iter().flatten() {
        let seconds = |key: &str| {
            member[key]
                .as_f64()
                .map_or("-".into(), |age| format!("{age:.0}s"))
        };
        print_line!(
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
    let settled = if view["settled"] == true {
        "all live members see the same"
    } else {
        "not settled"
    };
    print_line!(
        "{} live, as {} sees them; {settled}",
        view["live"],
        text(&view["asked"])
    );
}
