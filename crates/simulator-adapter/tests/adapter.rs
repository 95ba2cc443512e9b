//! Runs the adapter as a process, with its input and output on pipes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"locality":0,"news":1,"discovery":"push",
 "services":[{"aimS":0.7,"deadlineS":6,"effect":"safe","group":"all","credit":1,"windowS":5,"name":"a"}],
 "familyInfo":{"acceptsMemory":1.5,"ack":"accepted","admitCores":2.5,"apartBy":["none"],"classCalm":[1],
 "coldBears":8,"kindByClass":[-1],"kindCores":[32],"lostAfter":[1],"memOfKind":[64],"priorityByClass":[0],
 "startSeconds":[10],"togetherMax":[0]},"limits":{"maxAttempts":4},"report":{"via":"none"},
 "safety":{"answerSlackS":0.01,"coldFrom":0.2,"coldS":9,"drainGraceS":1,"fallMultiple":3,"overloadForS":1},
 "tariffs":{}}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tidespur-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // The adapter may exit early on malformed input, so a failed write is expected.
    let _ = input.write_all(lines.join("\n").as_bytes());
    drop(input);
    child.wait_with_output().unwrap()
}

fn start_batch(settings: &str) -> String {
    let start = format!(
        r#"{{"Start":{{"schedulerId":"s_0","salt":1,"info":{}}}}}"#,
        settings.replace('\n', "")
    );
    let page =
        r#"{"Page":{"page":0,"members":[{"machine":"10.0.0.1:80","health":"Ready","odd":[1]}]}}"#;
    let known = r#"{"PeersKnown":{"schedulerId":"s_0","kind":"restored","version":1,"page":0}}"#;
    format!(r#"{{"atTimeS":5,"arrivals":[{start},{page},{known}]}}"#)
}

#[test]
fn submitted_task_is_placed() {
    let task = r#"{"atTimeS":6,"arrivals":[{"Submit":{"schedulerId":"s_0","ticket":"t","service":0,
        "taskName":"k","deadlineS":12,"app":"x","cpuAsk":1,"memNeeded":1}}]}"#;
    let out = run(&[start_batch(SETTINGS), task.replace('\n', "")]);
    assert!(out.status.success());
    let replies = String::from_utf8(out.stdout).unwrap();
    let last: serde_json::Value = serde_json::from_str(replies.lines().nth(1).unwrap()).unwrap();
    assert_eq!(last["do"][0]["Place"]["machine"], "10.0.0.1:80");
    assert_eq!(last["do"][0]["Place"]["ticket"], "t");
}

#[test]
fn malformed_input_is_reported_with_its_line_number() {
    for malformed in [
        "{",
        r#"{"atTimeS":6,"arrivals":[{"Nonsense":{}}]}"#,
        r#"{"atTimeS":6,"arrivals":[{"Reminder":{"schedulerId":"s_0","token":"x"}}]}"#,
        r#"{"atTimeS":6,"arrivals":[{"ClosedAttempt":{"schedulerId":"s_0","ticket":"t","result":"ODD"}}]}"#,
    ] {
        let out = run(&[start_batch(SETTINGS), malformed.to_owned()]);
        assert!(!out.status.success(), "{malformed}");
        assert!(
            String::from_utf8(out.stderr).unwrap().contains("line 2: "),
            "{malformed}"
        );
        assert_eq!(
            String::from_utf8(out.stdout).unwrap().lines().count(),
            1,
            "{malformed}"
        );
    }
}

#[test]
fn invalid_settings_are_reported_as_a_panic_message() {
    for (valid, invalid, field) in [
        (r#""aimS":0.7"#, r#""aimS":-1"#, "classes"),
        (r#""kindCores":[32]"#, r#""kindCores":[32,64]"#, "kindCores"),
    ] {
        let out = run(&[start_batch(&SETTINGS.replace(valid, invalid))]);
        let text = String::from_utf8(out.stdout).unwrap();
        assert!(text.contains("Panic") && text.contains(field), "{text}");
    }
}
