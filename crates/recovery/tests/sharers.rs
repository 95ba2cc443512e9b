//! The count of planners that share: up at once, down only by a planner's own word.

use std::collections::{BTreeMap, BTreeSet};
use tidespur_recovery::{MAX_NAME_BYTES, Observed, Output, PlannerCount};

#[derive(Default)]
struct Played {
    sharers: PlannerCount,
    now: f64,
    token: Option<u64>,
    linked: BTreeMap<u64, String>,
    counted: BTreeSet<String>,
    left: BTreeSet<String>,
}

impl Played {
    /// Acts under token 1, with these planners linked, and counted where that is said.
    fn new(planners: &[(&str, bool)]) -> Self {
        let linked = (1..)
            .zip(planners)
            .map(|(link, (name, _))| (link, (*name).to_owned()))
            .collect();
        let counted = planners.iter().filter(|(_, counted)| *counted);
        let counted = counted.map(|(name, _)| (*name).to_owned()).collect();
        Self {
            token: Some(1),
            linked,
            counted,
            ..Self::default()
        }
    }

    fn step(&mut self, after: f64) -> Vec<Output> {
        self.now += after;
        let Self {
            token,
            linked,
            counted,
            left,
            ..
        } = self;
        let mut out = Vec::new();
        self.sharers.step(
            self.now,
            &Observed {
                token: *token,
                connected: linked,
                counted,
                departed: left,
            },
            &mut out,
        );
        out
    }
}

fn tell(link: u64, token: u64, planners: u32) -> Output {
    Output::NotifyPlanner {
        link,
        token,
        planners,
    }
}

#[test]
fn others_make_room_before_a_new_planner_is_told_anything() {
    let mut p = Played::new(&[("a", true), ("b", false)]);
    assert_eq!(p.step(0.0), [Output::AddPlanner("b".into()), tell(1, 1, 2)]);
    assert_eq!(p.step(0.1), [], "once");
    p.counted.insert("b".into());
    assert_eq!(p.step(0.1), [tell(2, 1, 2)]);
}

#[test]
fn what_the_ledger_did_not_hear_is_asked_again() {
    let mut p = Played::new(&[("a", false)]);
    assert_eq!(p.step(0.0), [Output::AddPlanner("a".into())]);
    assert_eq!(p.step(0.5), []);
    assert_eq!(p.step(0.6), [Output::AddPlanner("a".into())]);
}

#[test]
fn a_planner_that_is_silent_or_cut_off_goes_on_counting() {
    let mut p = Played::new(&[("a", true), ("b", true)]);
    assert_eq!(p.step(0.0), [tell(1, 1, 2), tell(2, 1, 2)]);
    p.linked.remove(&2);
    for _ in 0..100 {
        assert_eq!(p.step(10.0), []);
    }
    // One that counts and was never linked here either.
    p.counted.insert("c".into());
    assert_eq!(p.step(1.0), [tell(1, 1, 3)]);
}

#[test]
fn one_that_said_that_it_left_is_forgotten_unless_it_is_here_again() {
    let mut p = Played::new(&[("a", true), ("b", true)]);
    p.step(0.0);
    p.left.insert("b".into());
    assert_eq!(p.step(1.0), [], "its link stands: it has come back");
    p.linked.remove(&2);
    assert_eq!(p.step(1.0), [Output::RemovePlanner("b".into())]);
    p.counted.remove("b");
    assert_eq!(p.step(1.0), [tell(1, 1, 1)]);
}

#[test]
fn without_a_token_nothing_is_said_and_with_a_new_one_all_is_said_again() {
    let mut p = Played::new(&[("a", true), ("b", false)]);
    p.token = None;
    assert_eq!(p.step(0.0), []);
    p.token = Some(7);
    assert_eq!(p.step(1.0), [Output::AddPlanner("b".into()), tell(1, 7, 2)]);
    p.token = Some(9);
    assert_eq!(p.step(0.1), [tell(1, 9, 2)]);
    assert_eq!(p.step(0.1), []);
    p.sharers.unsaid(1);
    assert_eq!(
        p.step(0.1),
        [tell(1, 9, 2)],
        "the term was over at the moment of the write, and went on"
    );
}

#[test]
fn names_without_end_are_not_counted() {
    let mut p = Played::new(&[("a", true)]);
    p.linked.insert(2, "x".repeat(MAX_NAME_BYTES + 1));
    p.linked.insert(3, String::new());
    assert_eq!(p.step(0.0), [tell(1, 1, 1)]);
    p.linked
        .extend((10..6_000).map(|link| (link, format!("p-{link}"))));
    let out = p.step(1.0);
    assert_eq!(
        out.iter()
            .filter(|output| matches!(output, Output::AddPlanner(_)))
            .count(),
        4_095
    );
    assert!(out.contains(&tell(1, 1, 4_096)));
}
