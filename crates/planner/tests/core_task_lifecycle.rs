//! The planner's core: each task to its one answer, whatever nodes, register and edges do.

use serde_json::{Value, json};
use tidespur_api::task::PlacementRequest;
use tidespur_config::{Config, DEFAULT_CONFIG, parse};
use tidespur_planner::core::{Core, Input, Offer, OfferAnswer, Output};
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, FailureCause};

const EDGE: EdgeId = EdgeId(1);

fn config() -> Config {
    parse("built-in", DEFAULT_CONFIG).unwrap()
}

fn node(name: &str) -> Value {
    json!({"metadata": {"name": name,
        "labels": {"node.kubernetes.io/instance-type": "std-24", "topology.kubernetes.io/zone": "halle-a",
            "topology.tidespur.dev/rack": name},
        "annotations": {"node.tidespur.dev/address": format!("{name}:1"), "node.tidespur.dev/free-cores": "24",
            "node.tidespur.dev/free-memory": "48"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

fn pod(uid: &str, name: &str, phase: &str, reason: &str) -> Value {
    json!({"metadata": {"name": name, "namespace": "default", "uid": format!("at-node-{uid}"),
        "annotations": {"placement.tidespur.dev/uid": uid}}, "status": {"phase": phase, "reason": reason}})
}

fn ask(uid: &str, class: &str) -> PlacementRequest {
    PlacementRequest {
        uid: uid.into(),
        tenant: "default".into(),
        name: format!("pod-{uid}"),
        service: format!("default/{uid}"),
        class: class.into(),
        cores: 1.0,
        memory: 2.0,
        timeout: Some(2.0),
        ..PlacementRequest::default()
    }
}

struct World {
    core: Core,
    now: f64,
}

impl World {
    /// A planner that knows these nodes and hears from them.
    fn new(nodes: &[&str]) -> Self {
        let mut world = World {
            core: Core::new(config(), 0, "halle-a", 1).unwrap(),
            now: 100.0,
        };
        let out = world.step(vec![Input::Tick]);
        assert!(out.contains(&Output::WatchNodeList));
        world.step(vec![Input::NodesListed(
            nodes.iter().map(|n| node(n)).collect(),
        )]);
        world.step(
            nodes
                .iter()
                .map(|n| Input::PodsListed {
                    node: (*n).to_owned(),
                    pods: vec![],
                })
                .collect(),
        );
        world
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.step(self.now, inputs, &mut out);
        out
    }

    fn place(&mut self, uid: &str, class: &str) -> Vec<Output> {
        let mut out = self.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(ask(uid, class)),
        )]);
        if out.contains(&Output::SendToEdge(
            EDGE,
            ToEdge::Acknowledged { uid: uid.into() },
        )) {
            let within = ask(uid, class).timeout.unwrap();
            out = self.step(vec![Input::EdgeMessage(
                EDGE,
                ToPlanner::Commit {
                    uid: uid.into(),
                    timeout: within,
                },
            )]);
        }
        out
    }

    /// Lets time pass in small steps until it is so, with the timers that are due.
    fn until<T>(&mut self, most: f64, holds: impl Fn(&Output) -> Option<T>) -> Option<T> {
        let end = self.now + most;
        while self.now < end {
            self.now += 0.05;
            if let Some(found) = self
                .step(vec![Input::TimerFired(0)])
                .iter()
                .find_map(&holds)
            {
                return Some(found);
            }
        }
        None
    }
}

fn offer(out: &[Output]) -> Option<(tidespur_policy::interface::TaskId, u32, String)> {
    out.iter().find_map(as_offer)
}

fn as_offer(out: &Output) -> Option<(tidespur_policy::interface::TaskId, u32, String)> {
    match out {
        Output::Offer(Offer {
            task,
            attempt,
            node,
            ..
        }) => Some((*task, *attempt, node.clone())),
        _ => None,
    }
}

fn told(out: &[Output]) -> Vec<ToEdge> {
    out.iter()
        .filter_map(|o| {
            if let Output::SendToEdge(_, message) = o {
                Some(message.clone())
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn a_task_is_placed_runs_and_ends() {
    let mut world = World::new(&["n1", "n2"]);
    let (task, attempt, at) = offer(&world.place("u", "termin-web")).unwrap();
    let out = world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    assert_eq!(
        told(&out),
        [ToEdge::Placed {
            uid: "u".into(),
            node: at.clone()
        }]
    );
    let out = world.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(told(&out), [ToEdge::Started { uid: "u".into() }]);
    let out = world.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Succeeded", ""),
    }]);
    assert_eq!(
        told(&out),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::Succeeded
        }]
    );
    assert_eq!(world.core.task_count(), 0);
}

#[test]
fn a_lost_answer_is_known_by_the_nodes_watch_and_its_time_out_means_nothing_then() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, at) = offer(&world.place("u", "slot-abgleich")).unwrap();
    let out = world.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Pending", ""),
    }]);
    assert_eq!(
        told(&out),
        [ToEdge::Placed {
            uid: "u".into(),
            node: at
        }]
    );
    let late = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: "no answer in time".into(),
        report: None,
    };
    assert_eq!(
        told(&world.step(vec![Input::OfferAnswered {
            task,
            attempt,
            answer: late
        }])),
        []
    );
}

#[test]
fn an_unsafe_task_that_may_have_run_fails_and_is_not_sent_again() {
    let mut world = World::new(&["n1", "n2"]);
    let (task, attempt, _) = offer(&world.place("u", "slot-abgleich")).unwrap();
    let broken = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::Interrupted(FailureCause::Unspecified),
        message: "reset".into(),
        report: None,
    };
    let out = world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: broken,
    }]);
    assert_eq!(offer(&out), None);
    let later = world.until(3.0, |o| match o {
        Output::SendToEdge(_, message) => Some(message.clone()),
        Output::Offer(_) => panic!("sent again"),
        _ => None,
    });
    let said = told(&out).pop().or(later);
    assert!(matches!(said, Some(ToEdge::Failed { uid, .. }) if uid == "u"));
}

#[test]
fn a_copy_of_a_safe_task_that_turns_up_elsewhere_is_deleted() {
    let mut world = World::new(&["n1", "n2", "n3"]);
    let (task, attempt, first) = offer(&world.place("u", "termin-web")).unwrap();
    let late = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: "no answer in time".into(),
        report: None,
    };
    let out = world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: late,
    }]);
    let (_, attempt, second) = offer(&out).or_else(|| world.until(1.0, as_offer)).unwrap();
    if first != second {
        world.step(vec![Input::OfferAnswered {
            task,
            attempt,
            answer: OfferAnswer::Accepted(None),
        }]);
        let out = world.step(vec![Input::PodUpdated {
            node: first.clone(),
            pod: pod("u", "pod-u", "Pending", ""),
        }]);
        let deleted = |o: &Output| matches!(o, Output::DeletePod { address, .. } if *address == format!("{first}:1"));
        assert!(out.iter().any(deleted), "{out:?}");
    }
}

#[test]
fn what_a_dead_node_held_is_lost_and_what_a_silent_one_holds_is_not() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, at) = offer(&world.place("u", "termin-web")).unwrap();
    world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    world.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(
        told(&world.step(vec![Input::NodeWatchLost(at.clone())])),
        []
    );
    let out = world.step(vec![Input::NodeConnectionRefused(at)]);
    assert_eq!(
        told(&out),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }]
    );
}

#[test]
fn a_node_that_comes_back_empty_has_lost_its_tasks() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, at) = offer(&world.place("u", "termin-web")).unwrap();
    world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    let out = world.step(vec![Input::PodsListed {
        node: at,
        pods: vec![],
    }]);
    assert_eq!(
        told(&out),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }]
    );
}

#[test]
fn a_list_that_flaps_does_not_end_what_is_heard_to_run() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, at) = offer(&world.place("u", "termin-web")).unwrap();
    world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    world.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(told(&world.step(vec![Input::NodeDeleted(node(&at))])), []);
    world.now += 10.0;
    let out = world.step(vec![Input::NodeDeleted(node(&at))]);
    assert_eq!(
        told(&out),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }],
        "silent and unlisted"
    );
}

#[test]
fn nothing_goes_to_a_node_that_drains() {
    let mut world = World::new(&["n1"]);
    let mut drains = node("n1");
    drains["spec"] = json!({"unschedulable": true});
    world.step(vec![Input::NodeUpdated(drains)]);
    assert_eq!(offer(&world.place("u", "termin-web")), None);
    let said = world.until(3.0, |o| {
        matches!(o, Output::SendToEdge(_, ToEdge::Rejected { .. })).then_some(())
    });
    assert!(said.is_some());
}

#[test]
fn a_task_that_is_not_wanted_while_its_offer_is_out_is_deleted_once_accepted() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, _) = offer(&world.place("u", "termin-web")).unwrap();
    world.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Cancel { uid: "u".into() },
    )]);
    let out = world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    assert!(
        out.iter().any(|o| matches!(o, Output::DeletePod { .. })),
        "{out:?}"
    );
    assert_eq!(told(&out), [], "its owner is not told of what it gave up");
}

#[test]
fn an_edge_that_is_lost_leaves_nothing_to_send_and_lets_run_what_runs() {
    let mut world = World::new(&["n1"]);
    let (task, attempt, _) = offer(&world.place("a", "termin-web")).unwrap();
    world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    let (task, attempt, _) = offer(&world.place("b", "termin-web")).unwrap();
    let out = world.step(vec![Input::EdgeDisconnected(EDGE)]);
    assert!(!out.iter().any(|o| matches!(o, Output::DeletePod { .. })));
    let late = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: String::new(),
        report: None,
    };
    let out = world.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: late,
    }]);
    assert_eq!(offer(&out), None);
    assert_eq!(world.core.task_count(), 1, "the one that runs");
}

#[test]
fn where_a_task_is_takes_a_word_from_every_node_after_the_question() {
    let mut world = World::new(&["n1", "n2"]);
    let locate = |uid: &str| {
        Input::EdgeMessage(
            EDGE,
            ToPlanner::Locate {
                uid: uid.into(),
                tenant: "default".into(),
                name: format!("pod-{uid}"),
            },
        )
    };
    world.now += 1.0;
    assert_eq!(
        told(&world.step(vec![locate("u")])),
        [],
        "both were last heard before"
    );
    world.now += 0.1;
    assert_eq!(told(&world.step(vec![Input::NodeAlive("n1".into())])), []);
    let out = world.step(vec![Input::NodeConnectionRefused("n2".into())]);
    assert_eq!(
        told(&out),
        [ToEdge::Located {
            uid: "u".into(),
            location: Location::NotFound
        }]
    );
    world.step(vec![Input::PodUpdated {
        node: "n1".into(),
        pod: pod("v", "pod-v", "Running", ""),
    }]);
    let out = world.step(vec![locate("v")]);
    assert_eq!(
        told(&out),
        [ToEdge::Located {
            uid: "v".into(),
            location: Location::At("n1".into())
        }]
    );
    world.step(vec![Input::NodeWatchLost("n1".into()), locate("w")]);
    world.now += 1.0;
    assert_eq!(told(&world.step(vec![Input::Tick])), []);
    world.now += 1.0;
    assert_eq!(
        told(&world.step(vec![Input::Tick])),
        [ToEdge::Located {
            uid: "w".into(),
            location: Location::Unknown
        }]
    );
}

#[test]
fn a_class_that_the_planner_does_not_know_is_refused_by_name() {
    let mut world = World::new(&["n1"]);
    let said = told(&world.place("u", "odd"));
    assert!(
        matches!(&said[..], [ToEdge::Rejected { reason: why, .. }] if why.contains("\"odd\"")),
        "{said:?}"
    );
}

fn offers(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Offer(_))).count()
}

#[test]
fn nothing_is_offered_before_the_edge_says_go() {
    let mut world = World::new(&["a", "b"]);
    let out = world.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Place(ask("t", "termin-web")),
    )]);
    assert_eq!(
        out,
        [Output::SendToEdge(
            EDGE,
            ToEdge::Acknowledged { uid: "t".into() }
        )]
    );
    assert_eq!(
        world.until(1.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
    // Taken back: a Go that crossed it finds nothing.
    world.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Cancel { uid: "t".into() },
    )]);
    let out = world.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Commit {
            uid: "t".into(),
            timeout: 2.0,
        },
    )]);
    assert_eq!(offers(&out), 0, "{out:?}");
    assert_eq!(offers(&world.place("u", "termin-web")), 1);
}

#[test]
fn a_planner_that_stood_still_gives_up_what_was_open_before_it_reads_on() {
    let mut world = World::new(&[]);
    assert_eq!(
        offers(&world.place("held", "slot-abgleich")),
        0,
        "there is no node yet"
    );
    // Not so long that an edge gives it up: it goes on.
    world.now += 1.0;
    assert!(
        !world
            .step(vec![Input::Tick])
            .contains(&Output::DisconnectEdges)
    );
    world.now += 1.6;
    let node = Input::NodesListed(vec![node("a")]);
    let late = Input::EdgeMessage(EDGE, ToPlanner::Place(ask("late", "slot-abgleich")));
    let out = world.step(vec![
        node,
        late,
        Input::PodsListed {
            node: "a".into(),
            pods: vec![],
        },
    ]);
    assert!(
        out.contains(&Output::DisconnectEdges) && offers(&out) == 0,
        "{out:?}"
    );
    assert_eq!(
        world.until(3.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
}

fn waits(out: &[Output]) -> Vec<tidespur_pending::ReasonUpdate> {
    let words = out.iter().filter_map(|o| match o {
        Output::SendToEdge(EDGE, ToEdge::PendingReasons(words)) => Some(words.clone()),
        _ => None,
    });
    words.flatten().collect()
}

#[test]
fn an_edge_is_told_why_its_tasks_wait_and_told_anew_when_that_changes() {
    use tidespur_pending::ReasonCode;
    let mut world = World::new(&["a"]);
    let large = |uid: &str| PlacementRequest {
        cores: 500.0,
        ..ask(uid, "termin-web")
    };
    for uid in ["x", "y"] {
        world.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(PlacementRequest {
                service: "default/s".into(),
                ..large(uid)
            }),
        )]);
        world.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Commit {
                uid: uid.into(),
                timeout: 30.0,
            },
        )]);
    }
    world.now += 0.3;
    let words = waits(&world.step(vec![Input::Tick]));
    assert_eq!(
        words.iter().map(|w| w.uid.as_str()).collect::<Vec<_>>(),
        ["x", "y"]
    );
    assert!(
        std::sync::Arc::ptr_eq(&words[0].diagnosis, &words[1].diagnosis),
        "equal tasks share one"
    );
    assert_eq!(words[0].codes(), [ReasonCode::Cores]);
    assert_eq!(
        words[0].diagnosis.message(),
        "0/1 nodes are available: 1 no cores"
    );
    // 24 cores, of which 2.5 times 0.97 are planned with.
    let nearest = words[0].diagnosis.nearest.clone().unwrap();
    assert!(
        (nearest.shortfall - (500.0 - 24.0 * 2.5 * 0.97)).abs() < 1e-6,
        "{nearest:?}"
    );
    world.now += 0.3;
    assert_eq!(
        waits(&world.step(vec![Input::Tick])),
        [],
        "nothing has changed"
    );
    let mut drains = node("a");
    drains["spec"] = json!({"unschedulable": true});
    world.step(vec![Input::NodeUpdated(drains)]);
    world.now += 0.3;
    let words = waits(&world.step(vec![Input::Tick]));
    assert_eq!(
        words
            .iter()
            .map(tidespur_pending::ReasonUpdate::codes)
            .collect::<Vec<_>>(),
        [[ReasonCode::Draining]; 2]
    );
    // An edge that was lost and is back knows nothing: it is told of its new tasks as if for the first time.
    world.step(vec![Input::EdgeDisconnected(EDGE)]);
    world.step(vec![Input::EdgeMessage(EDGE, ToPlanner::Place(large("z")))]);
    world.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Commit {
            uid: "z".into(),
            timeout: 30.0,
        },
    )]);
    world.now += 0.3;
    assert_eq!(
        waits(&world.step(vec![Input::Tick]))
            .iter()
            .map(|w| w.uid.as_str())
            .collect::<Vec<_>>(),
        ["z"]
    );
}

#[test]
fn a_planner_behind_its_work_turns_new_tasks_away_and_takes_them_again_once_it_is_in_time() {
    let mut world = World::new(&["n1", "n2"]);
    let refused = |out: &[Output]| {
        told(out)
            .iter()
            .any(|word| matches!(word, ToEdge::Rejected { .. }))
    };
    let turned_away = |world: &mut World, round: usize| {
        (0..40)
            .filter(|n| refused(&world.place(&format!("{round}-{n}"), "termin-web")))
            .count()
    };
    assert_eq!(turned_away(&mut world, 0), 0);
    // Every word waits longer and longer in its queue.
    for n in 0..80 {
        world.now += 0.1;
        let sent = world.now - 1.0 - 0.1 * f64::from(n);
        world.step(vec![Input::LagProbe(sent)]);
    }
    assert!(turned_away(&mut world, 1) > 20);
    // What it took before is never turned away, however often it is asked for.
    for _ in 0..40 {
        let again = world.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(ask("0-0", "termin-web")),
        )]);
        assert_eq!(told(&again), [ToEdge::Acknowledged { uid: "0-0".into() }]);
    }
    for _ in 0..120 {
        world.now += 0.1;
        world.step(vec![Input::LagProbe(world.now)]);
    }
    assert_eq!(turned_away(&mut world, 2), 0);
}
