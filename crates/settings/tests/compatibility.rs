//! The operators' settings object is read as it always was: each key of the fixture has a value of its own, and each
//! is looked for in what the policy and the front ends are given.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidespur_policy::interface::{Effect, Note, Place, Report, Reports, Settings, Why};
use tidespur_settings::{Info, Site, words};

const SETTINGS: &str = include_str!("fixtures/settings.json");

fn site_of(settings: Value) -> Site {
    serde_json::from_value::<Info>(settings).expect("readable settings").site().expect("usable settings")
}

fn fixture() -> Value {
    serde_json::from_str(SETTINGS).expect("the fixture is JSON")
}

/// The fixture with one value replaced, named by a JSON pointer.
fn settings_with(pointer: &str, value: Value) -> Settings {
    let mut settings = fixture();
    *settings.pointer_mut(pointer).expect("a key of the fixture") = value;
    site_of(settings).settings
}

#[test]
fn names_and_connection_limits_keep_their_keys() {
    let site = site_of(fixture());
    assert_eq!(site.classes, ["web", "keyed", "slot"]);
    assert_eq!(site.tenants, ["tenant-1", "tenant-2"]);
    assert_eq!(site.kinds, ["std", "big"]);
    assert_eq!(site.zones, ["east", "west", "north"]);
    assert_eq!(site.connect_timeout, 0.3125);
    assert_eq!(site.connection_idle, 19.5);
}

#[test]
fn general_settings_keep_their_keys() {
    let settings = site_of(fixture()).settings;
    assert_eq!(settings.schedulers, 4);
    assert_eq!(settings.ordinal, 3);
    assert_eq!(settings.zone, 1);
    assert_eq!(settings.admit_cores, 2.5);
    assert_eq!(settings.admit_memory, 1.5);
    assert!(settings.one_home);
    assert!(settings.confirm_when_running);
    assert!(settings.subscribe);
    assert!(settings.lists_free);
    assert_eq!(settings.reports, Reports::Answers);
    assert!(settings.reports_use);
    assert!(settings.probes);
    assert!(settings.messages);
    assert_eq!(settings.max_attempts, 17);
    assert_eq!(settings.max_retry_after, 18.5);
    assert_eq!(settings.over_share_worth, 0.125);
}

#[test]
fn classes_keep_their_keys() {
    let classes = site_of(fixture()).settings.classes;
    let [web, keyed, slot] = classes.as_slice() else { panic!("three classes") };

    assert_eq!((web.aim, web.deadline, web.worth), (0.75, 6.5, 1.25));
    assert_eq!(web.effect, Effect::Safe);
    assert_eq!((web.start_worth, web.calm, web.fade), (13.5, 0.5, 0.375));
    assert_eq!((web.kind, web.priority), (None, 5));
    assert_eq!((web.spread, web.spread_most), (None, 21));

    assert_eq!((keyed.aim, keyed.deadline, keyed.worth), (1.75, 7.5, 2.25));
    assert_eq!(keyed.effect, Effect::Keyed { group: Place::Cell, window: 4.5 });
    assert_eq!((keyed.start_worth, keyed.calm, keyed.fade), (14.5, 0.25, 0.625));
    assert_eq!((keyed.kind, keyed.priority), (Some(1), 6));
    assert_eq!((keyed.spread, keyed.spread_most), (Some(Place::Zone), 22));

    assert_eq!((slot.aim, slot.deadline, slot.worth), (2.75, 8.5, 3.25));
    assert_eq!(slot.effect, Effect::Unsafe);
    assert_eq!((slot.start_worth, slot.calm, slot.fade), (15.5, 0.75, 0.875));
    assert_eq!((slot.kind, slot.priority), (Some(0), 7));
    assert_eq!((slot.spread, slot.spread_most), (Some(Place::Machine), 23));
}

#[test]
fn tenants_and_machine_kinds_keep_their_keys() {
    let settings = site_of(fixture()).settings;
    let tenants: Vec<(f64, f64)> =
        settings.tenants.iter().map(|tenant| (tenant.share, tenant.quota_per_s)).collect();
    assert_eq!(tenants, [(0.625, 11.5), (0.375, 12.5)]);
    let kinds: Vec<(f64, f64)> = settings.kinds.iter().map(|kind| (kind.cores, kind.memory)).collect();
    assert_eq!(kinds, [(32.0, 128.0), (64.0, 256.0)]);
}

#[test]
fn safety_figures_keep_their_keys() {
    let safety = site_of(fixture()).settings.safety;
    assert_eq!(safety.answer_slack, 0.0625);
    assert_eq!(safety.ask_within, 24.5);
    assert_eq!(safety.cold_from, 0.1875);
    assert_eq!(safety.cold, 25.5);
    assert_eq!(safety.cold_bears, 8.5);
    assert_eq!(safety.drain_grace, 26.5);
    assert_eq!(safety.fall_multiple, 27.5);
    assert_eq!(safety.overload_for, 28.5);
}

#[test]
fn prices_keep_their_keys() {
    let prices = site_of(fixture()).settings.prices;
    assert_eq!(prices.machines, 29.5);
    assert_eq!(prices.refused, 10.5);
    assert_eq!(prices.moves, 30.5);
    assert_eq!(prices.eviction_as_moves, 9.5);
    assert_eq!(prices.probe, 32.5);
    assert_eq!(prices.message, 31.5);
}

#[test]
fn words_in_settings_keep_their_meaning() {
    let places =
        [("all", Place::All), ("zone", Place::Zone), ("cell", Place::Cell), ("machine", Place::Machine)];
    for (word, place) in places {
        let settings = settings_with("/familyInfo/apartBy/0", json!(word));
        assert_eq!(settings.classes[0].spread, Some(place), "apartBy {word}");
        let settings = settings_with("/services/1/group", json!(word));
        assert_eq!(settings.classes[1].effect, Effect::Keyed { group: place, window: 4.5 }, "group {word}");
    }
    for word in ["none", ""] {
        let settings = settings_with("/familyInfo/apartBy/2", json!(word));
        assert_eq!(settings.classes[2].spread, None, "apartBy {word:?}");
        let settings = settings_with("/services/1/group", json!(word));
        let expected = Effect::Keyed { group: Place::Machine, window: 4.5 };
        assert_eq!(settings.classes[1].effect, expected, "group {word:?}");
    }
    for (word, reports) in [("probe", Reports::Probes), ("none", Reports::None), ("", Reports::None)] {
        assert_eq!(settings_with("/report/via", json!(word)).reports, reports, "via {word:?}");
    }
    assert!(!settings_with("/familyInfo/ack", json!("accepted")).confirm_when_running);
    assert!(!settings_with("/familyInfo/measuredBy", json!("asked")).reports_use);
    assert!(!settings_with("/discovery", json!("push")).subscribe);
    assert_eq!(settings_with("/limits/retryAfter", json!(false)).max_retry_after, 0.0);
}

/// Every key of the fixture outside of lists, as JSON pointers.
fn keys_of(value: &Value, prefix: &str, keys: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(list) if list.iter().all(Value::is_object) => {
            list.iter().enumerate().map(|(index, child)| (index.to_string(), child)).collect()
        }
        _ => return,
    };
    for (key, child) in children {
        let pointer = format!("{prefix}/{key}");
        if value.is_object() {
            keys.push(pointer.clone());
        }
        keys_of(child, &pointer, keys);
    }
}

/// What comes of the fixture without this key: an error, or other settings.
fn outcome_without(pointer: &str) -> String {
    let mut settings = fixture();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer begins with a slash");
    let parent = settings.pointer_mut(parent).expect("a parent in the fixture");
    parent.as_object_mut().expect("keys stand in objects").remove(key);
    match serde_json::from_value::<Info>(settings) {
        Err(error) => error.to_string(),
        Ok(info) => format!("{:?}", info.site()),
    }
}

#[test]
fn every_key_but_unknown_ones_and_unused_groups_has_an_effect() {
    let with_all = format!("{:?}", Ok::<_, String>(site_of(fixture())));
    let mut keys = Vec::new();
    keys_of(&fixture(), "", &mut keys);
    let without_effect: Vec<String> =
        keys.into_iter().filter(|key| outcome_without(key) == with_all).collect();
    // A group and a window mean something for keyed work alone, and `news` is not known.
    let expected =
        ["/news", "/services/0/group", "/services/0/windowS", "/services/2/group", "/services/2/windowS"];
    assert_eq!(without_effect, expected);
}

#[test]
fn reason_numbers_keep_their_meaning() {
    let reasons = [
        (0, Why::Unknown),
        (1, Why::Cores),
        (2, Why::Memory),
        (3, Why::Queue),
        (4, Why::NotHere),
        (5, Why::Evicted),
        (6, Why::PushedOut),
        (7, Why::SentAway),
        (8, Why::Unknown),
    ];
    for (number, reason) in reasons {
        assert_eq!(words::why_of(number), reason, "{number}");
    }
}

#[test]
fn note_numbers_keep_their_meaning() {
    let notes = [
        (0, None),
        (1, Some(Note::Runs)),
        (2, Some(Note::UsesCores(1.5))),
        (3, Some(Note::UsesMemory(1.5))),
        (4, Some(Note::Served(1.5))),
        (5, Some(Note::MachineMemory(1.5))),
        (6, None),
    ];
    for (number, note) in notes {
        assert_eq!(words::note_of(number, 1.5), note, "{number}");
    }
}

#[test]
fn load_reports_keep_their_keys() {
    let report = |figures: &[(&str, f64)]| {
        words::report_of(
            figures.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect::<BTreeMap<_, _>>(),
        )
    };
    let expected =
        Report { free_cores: Some(1.5), free_memory: Some(2.5), waiting: Some(3.5), busy: Some(0.5) };
    assert_eq!(report(&[("x0", 1.5), ("x1", 2.5), ("q", 3.5), ("busy", 0.5)]), expected);
    assert_eq!(report(&[("x0", 1.5), ("x1", 2.5), ("queue", 3.5), ("busy", 0.5)]), expected);
    assert_eq!(report(&[("x0", f64::NAN), ("another", 1.0)]), Report::default());
}

#[test]
fn hash_of_a_name_stays_the_same_at_all_instances() {
    assert_eq!(words::hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(words::hash("service-1"), 0x11ec_c33b_f6dd_cb2e);
}
