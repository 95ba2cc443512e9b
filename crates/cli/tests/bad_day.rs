//! A short fault scenario against real processes, checked from the recorded traffic.

use std::process::Command;

const SCENARIO: &str = r#"
nodes    = 8
planners = 3
edges    = 2
clients  = 8
seconds  = 6
rest     = 40
delay    = 0.2

work "web" {
  class  = "termin-web"
  jobs   = 40
  pods   = [1, 3]
  shapes = [[0.5, 1], [1, 2.5]]
  life   = 2
}
work "run" {
  class  = "slot-abgleich"
  jobs   = 5
  pods   = [1, 1]
  shapes = [[8, 16]]
  life   = 3
}
trouble "lost answers" {
  kind     = "answer-lost"
  at       = 1
  seconds  = 4
  share    = 0.5
  strength = 0.5
}
trouble "crash" {
  kind    = "crash"
  at      = 2
  seconds = 2
  rack    = true
}
trouble "planner" {
  kind    = "kill-planner"
  at      = 3
  seconds = 1
}
trouble "drain" {
  kind    = "drain"
  at      = 4
  seconds = 3
}
trouble "edge" {
  kind    = "kill-edge"
  at      = 5
  seconds = 1
}
"#;

#[test]
fn a_scenario_with_faults_breaks_no_rule() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("day.hcl");
    std::fs::write(&file, SCENARIO).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_tidespur"))
        .args(["badday", "--seed", "4", "--report", "json", "--scenario"])
        .arg(&file)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    println!("seed 4: {text}");
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(output.status.success(), "{text}");
    assert_eq!(report["broken_rules"], serde_json::json!([]));
    let count = |key: &str| report[key].as_u64().unwrap();
    assert!(count("placed") >= 40, "{text}");
    let answered = count("placed") + count("refused") + count("failed");
    assert_eq!(
        count("submitted"),
        answered + count("withdrawn") + count("lost_with_edge")
    );
    assert_eq!(report["seed"], 4);
}
