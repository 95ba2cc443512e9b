//! Parsed recordings in order of time, and the parameters of the rules.

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// One line of a recording.
#[derive(Clone, Debug)]
pub struct Line {
    /// Unix time in seconds.
    pub t: f64,
    /// Name of the process that wrote it; `rig` for the clients of the testbed.
    pub who: String,
    /// Type of the line.
    pub what: String,
    /// The whole JSON object.
    pub value: Value,
}

impl Line {
    /// String at `key`; empty if there is none.
    pub fn text(&self, key: &str) -> &str {
        self.value.get(key).and_then(Value::as_str).unwrap_or("")
    }
    /// Number at `key`; 0 if there is none.
    pub fn number(&self, key: &str) -> f64 {
        self.value.get(key).and_then(Value::as_f64).unwrap_or(0.0)
    }
    /// Boolean at `key`; false if there is none.
    pub fn flag(&self, key: &str) -> bool {
        self.value
            .get(key)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }
}

/// Lines of all recordings of a run.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Sorted by time.
    pub lines: Vec<Line>,
}

impl Traffic {
    /// Reads all recordings in a directory. Lines that are not JSON are skipped: a killed process leaves its last line
    /// incomplete.
    pub fn read(folder: &Path) -> Result<Self, String> {
        let error = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut values = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(error)? {
            let path = entry.map_err(error)?.path();
            if path.extension().is_some_and(|e| e == "jsonl") {
                let text = std::fs::read_to_string(&path).map_err(error)?;
                values.extend(
                    text.lines()
                        .filter_map(|line| serde_json::from_str(line).ok()),
                );
            }
        }
        Ok(Self::new(values))
    }

    /// Takes lines in any order and sorts them.
    pub fn new(values: Vec<Value>) -> Self {
        let text = |value: &Value, key: &str| value[key].as_str().unwrap_or("").to_owned();
        let mut lines: Vec<Line> = values
            .into_iter()
            .map(|value| Line {
                t: value["t"].as_f64().unwrap_or(0.0),
                who: text(&value, "who"),
                what: text(&value, "what"),
                value,
            })
            .collect();
        lines.sort_by(|a, b| a.t.total_cmp(&b.t));
        Self { lines }
    }

    /// Lines of one type.
    pub fn of<'a>(&'a self, what: &'a str) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(move |line| line.what == what)
    }
}

/// Settings of a class that the rules use.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Retry safety: `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Spread domain: `node`, `rack`, `zone`, or empty without a limit.
    pub spread: String,
    /// Maximum number of tasks of a service per spread domain.
    pub most: usize,
    /// Seconds that owners wait for an outcome.
    pub deadline: f64,
}

/// Parameters of the rules, parsed from the settings. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Classes by name; the first is the default of Pods without a class.
    pub classes: BTreeMap<String, Class>,
    /// Grace period after which a planner must send nothing more to a draining node.
    pub drain_grace: f64,
    /// Tolerance for outcomes after the deadline.
    pub slack: f64,
    /// Window over which offers to a node that warms up are counted.
    pub overload_for: f64,
    /// Time that a node needs to warm up.
    pub cold: f64,
}

impl Rules {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// If it is not valid HCL or has no classes.
    pub fn parse(settings: &str) -> Result<Self, String> {
        let value: Value = hcl::from_str(settings).map_err(|e| e.to_string())?;
        let class = |c: &Value| Class {
            effect: c["effect"].as_str().unwrap_or("").to_owned(),
            spread: c["spread"].as_str().unwrap_or("").to_owned(),
            most: c["spread_most"].as_u64().unwrap_or(0) as usize,
            deadline: c["deadline"].as_f64().unwrap_or(0.0),
        };
        let classes = value["class"].as_object().ok_or("no classes")?;
        let safety = |key: &str, default: f64| value["safety"][key].as_f64().unwrap_or(default);
        Ok(Self {
            classes: classes
                .iter()
                .map(|(name, c)| (name.clone(), class(c)))
                .collect(),
            drain_grace: safety("drain_grace", 1.0),
            // 0.4 s for network delay and a busy test machine.
            slack: safety("answer_slack", 0.1) + 0.4,
            overload_for: safety("overload_for", 1.0),
            cold: safety("cold", 18.0),
        })
    }
}
