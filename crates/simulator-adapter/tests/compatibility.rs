//! Guards the simulator's protocol: a recorded conversation with every kind of message that the simulator sends must
//! get the replies of an earlier build. Decisions depend on the messages and the seed alone, so replies are compared
//! exactly.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::assert_encoded;
use serde_json::Value;
use std::collections::BTreeSet;
use tidespur_simulator_adapter::wire::SchedulerHost;

const INPUT: &str = include_str!("fixtures/conversation.input.jsonl");
/// The configuration of the operators' simulator for this program: the names of messages, fields and states.
const WIRE: &str = include_str!("../../../deploy/sites/archiv-sued/wire.json");

fn replies(input: &str) -> Vec<String> {
    let mut host = SchedulerHost::default();
    input
        .lines()
        .map(|line| host.handle_line(line).expect("line is valid"))
        .collect()
}

/// The names of all messages in the lists under the key `list` of each line.
fn message_names<'a>(lines: impl Iterator<Item = &'a str>, list: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for line in lines {
        let line: Value = serde_json::from_str(line).expect("a line is JSON");
        for message in line[list].as_array().expect("value is a list of messages") {
            names.extend(
                message
                    .as_object()
                    .expect("message is an object")
                    .keys()
                    .cloned(),
            );
        }
    }
    names
}

fn wire_config() -> Value {
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
fn conversation_contains_every_message_that_the_simulator_sends() {
    let wire = wire_config();
    let events = wire["events"].as_object().expect("events is an object");
    let expected: BTreeSet<String> = events
        .values()
        .map(|event| event["name"].as_str().expect("name is a string").to_owned())
        .collect();
    assert_eq!(message_names(INPUT.lines(), "arrivals"), expected);
}

#[test]
fn conversation_contains_every_state_and_outcome_of_the_simulator() {
    let wire = wire_config();
    for (table, field) in [
        ("status", "result"),
        ("state", "health"),
        ("list_kind", "kind"),
    ] {
        for word in wire[table]
            .as_object()
            .expect("table is an object")
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
fn conversation_leads_to_every_reply_that_the_policy_causes() {
    let replies = replies(INPUT);
    let names = message_names(replies.iter().map(String::as_str), "do");
    // The adapter can also encode `Relocate` and `WriteLog`; the policy uses neither.
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
fn message_without_a_required_key_is_rejected() {
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
        assert!(is_rejected_without(message, key), "{message} without {key}");
    }
}

/// Whether the first message of this name in the conversation is rejected if the key is removed from it.
fn is_rejected_without(message: &str, key: &str) -> bool {
    let mut host = SchedulerHost::default();
    for line in INPUT.lines() {
        let mut line: Value = serde_json::from_str(line).expect("a line is JSON");
        let arrivals = line["arrivals"]
            .as_array_mut()
            .expect("value is a list of messages");
        let removed = arrivals
            .iter_mut()
            .find_map(|arrival| arrival.get_mut(message))
            .map(|fields| {
                fields
                    .as_object_mut()
                    .expect("message is an object")
                    .remove(key)
                    .expect("message has the key")
            });
        let reply = host.handle_line(&line.to_string());
        if removed.is_some() {
            return reply.is_err();
        }
    }
    panic!("no {message} in the conversation");
}
