//! Recordings as lines in order of time, and the figures of the rules.

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// One line of a recording.
#[derive(Clone, Debug)]
pub struct Line {
    /// When.
    pub t: f64,
    /// Who wrote it.
    pub who: String,
    /// What it tells of.
    pub what: String,
    /// All of it.
    pub value: Value,
}

impl Line {
    /// A text in it.
    pub fn text(&self, key: &str) -> &str {
        self.value.get(key).and_then(Value::as_str).unwrap_or("")
    }
    /// A number in it.
    pub fn number(&self, key: &str) -> f64 {
        self.value.get(key).and_then(Value::as_f64).unwrap_or(0.0)
    }
    /// A yes or no in it.
    pub fn flag(&self, key: &str) -> bool {
        self.value
            .get(key)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }
}

/// All that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// In order of time.
    pub lines: Vec<Line>,
}

impl Traffic {
    /// Reads all recordings in a folder. A last line that a killed process left half is passed over.
    pub fn read(folder: &Path) -> Result<Self, String> {
        let problem = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut values = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(problem)? {
            let path = entry.map_err(problem)?.path();
            if path.extension().is_some_and(|e| e == "jsonl") {
                let text = std::fs::read_to_string(&path).map_err(problem)?;
                values.extend(
                    text.lines()
                        .filter_map(|line| serde_json::from_str(line).ok()),
                );
            }
        }
        Ok(Self::new(values))
    }

    /// From lines in any order.
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

    /// Lines of one sort.
    pub fn of<'a>(&'a self, what: &'a str) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(move |line| line.what == what)
    }
}

/// What a class asks for.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// `node`, `rack`, `zone` or "".
    pub spread: String,
    /// The most there.
    pub most: usize,
    /// How long owners wait.
    pub deadline: f64,
}

/// Figures of the rules, read from the settings' text.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// By name; the first is for Pods that name none.
    pub classes: BTreeMap<String, Class>,
    /// Sends must stop so long after word of a drain.
    pub drain_grace: f64,
    /// An answer may come so long after the deadline.
    pub slack: f64,
    /// An overload is counted over this.
    pub overload_for: f64,
    /// A node is cold for so long.
    pub cold: f64,
}

impl Rules {
    /// Reads them.
    pub fn parse(settings: &str) -> Result<Self, String> {
        let value: Value = hcl::from_str(settings).map_err(|e| e.to_string())?;
        let class = |c: &Value| Class {
            effect: c["effect"].as_str().unwrap_or("").to_owned(),
            spread: c["spread"].as_str().unwrap_or("").to_owned(),
            most: c["spread_most"].as_u64().unwrap_or(0) as usize,
            deadline: c["deadline"].as_f64().unwrap_or(0.0),
        };
        let classes = value["class"].as_object().ok_or("no classes")?;
        let safety = |key: &str, otherwise: f64| value["safety"][key].as_f64().unwrap_or(otherwise);
        Ok(Self {
            classes: classes
                .iter()
                .map(|(name, c)| (name.clone(), class(c)))
                .collect(),
            drain_grace: safety("drain_grace", 1.0),
            // What the wire and a busy machine of the rig may add.
            slack: safety("answer_slack", 0.1) + 0.4,
            overload_for: safety("overload_for", 1.0),
            cold: safety("cold", 18.0),
        })
    }
}
