//! The simulator's wire stays what it was: a conversation with every kind of message that the simulator sends, with
//! the answers of an earlier build. Its choices are the same for the same salt, so the answers are compared whole.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::assert_encoded;
use serde_json::Value;
use std::collections::BTreeSet;
use tidespur_simulator_adapter::wire::SchedulerHost;

const INPUT: &str = include_str!("fixtures/conversation.input.jsonl");
/// What the operators' simulator is told of this program's wire: the names of messages, fields and states.
const WIRE: &str = include_str!("../../../deploy/sites/archiv-sued/wire.json");

fn replies(input: &str) -> Vec<String> {
    let mut host = SchedulerHost::default();
    input
        .lines()
        .map(|line| {
            host.handle_line(line)
                .expect("a readable line")
                .expect("a reply")
        })
        .collect()
}

/// The names of the messages in all lists under this key.
fn message_names<'a>(lines: impl Iterator<Item = &'a str>, list: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for line in lines {
        let line: Value = serde_json::from_str(line).expect("a line is JSON");
        for message in line[list].as_array().expect("a list of messages") {
            names.extend(
                message
                    .as_object()
                    .expect("a message is an object")
                    .keys()
                    .cloned(),
            );
        }
    }
    names
}

fn wire() -> Value {
    serde_json::from_str(WIRE).expect("wire.json is JSON")
}

#[test]
fn replies_stay_the_same_when_the_conversation_is_repeated() {
    let replies = replies(INPUT);
    let names: Vec<String> = (1..=replies.len())
        .map(|number| format!("line {number}"))
        .collect();
    let encoded: Vec<(&str, String)> = names.iter().map(String::as_str).zip(replies).collect();
    assert_encoded("conversation.replies.txt", &encoded);
}

#[test]
fn conversation_holds_every_message_that_the_simulator_sends() {
    let wire = wire();
    let events = wire["events"].as_object().expect("events by their role");
    let expected: BTreeSet<String> = events
        .values()
        .map(|event| event["name"].as_str().expect("a name").to_owned())
        .collect();
    assert_eq!(message_names(INPUT.lines(), "arrivals"), expected);
}

#[test]
fn conversation_holds_every_state_and_outcome_that_the_simulator_names() {
    let wire = wire();
    for (table, field) in [
        ("status", "result"),
        ("state", "health"),
        ("list_kind", "kind"),
    ] {
        for word in wire[table]
            .as_object()
            .expect("words by their role")
            .values()
        {
            assert!(
                INPUT.contains(&format!("\"{field}\":{word}")),
                "{field} {word}"
            );
        }
    }
}

#[test]
fn conversation_brings_about_every_reply_that_the_policy_asks_for() {
    let replies = replies(INPUT);
    let names = message_names(replies.iter().map(String::as_str), "do");
    // `Relocate` and `WriteLog` can be written too; the policy asks for neither.
    let expected = [
        "BroadcastTo",
        "Check",
        "Decline",
        "Error",
        "Panic",
        "Place",
        "Schedule",
        "Watch",
    ];
    assert_eq!(names, expected.map(str::to_owned).into());
}

#[test]
fn message_is_refused_when_a_key_that_it_needs_is_missing() {
    let required = [
        ("Start", "schedulerId"),
        ("Start", "salt"),
        ("Start", "info"),
        ("Exit", "schedulerId"),
        ("PeersKnown", "schedulerId"),
        ("PeersKnown", "kind"),
        ("Page", "page"),
        ("Page", "members"),
        ("Submit", "schedulerId"),
        ("Submit", "ticket"),
        ("Submit", "service"),
        ("Submit", "app"),
        ("InPlace", "schedulerId"),
        ("InPlace", "ticket"),
        ("InPlace", "service"),
        ("InPlace", "class"),
        ("InPlace", "machine"),
        ("Confirmed", "schedulerId"),
        ("Confirmed", "ticket"),
        ("UpdateOf", "schedulerId"),
        ("UpdateOf", "ticket"),
        ("ClosedAttempt", "schedulerId"),
        ("ClosedAttempt", "ticket"),
        ("ClosedAttempt", "result"),
        ("Vanished", "schedulerId"),
        ("Vanished", "ticket"),
        ("Reminder", "schedulerId"),
        ("Reminder", "token"),
        ("Echo", "schedulerId"),
        ("Echo", "result"),
        ("Echo", "machine"),
        ("Heard", "schedulerId"),
        ("Heard", "payload"),
    ];
    for (message, key) in required {
        assert!(is_refused_without(message, key), "{message} without {key}");
    }
}

/// Whether the conversation ends in an error once the first message of this name lacks this key.
fn is_refused_without(message: &str, key: &str) -> bool {
    let mut host = SchedulerHost::default();
    for line in INPUT.lines() {
        let mut line: Value = serde_json::from_str(line).expect("a line is JSON");
        let arrivals = line["arrivals"].as_array_mut().expect("a list of messages");
        let removed = arrivals
            .iter_mut()
            .find_map(|arrival| arrival.get_mut(message))
            .map(|fields| {
                fields
                    .as_object_mut()
                    .expect("fields")
                    .remove(key)
                    .expect("the key stands there")
            });
        let answer = host.handle_line(&line.to_string());
        if removed.is_some() {
            return answer.is_err();
        }
    }
    panic!("no {message} in the conversation");
}
