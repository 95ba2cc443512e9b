use super::*;

fn hooks() -> EdgeHooks {
    let config = tidespur_config::load_or_default(None).expect("the built-in settings");
    EdgeHooks {
        classes: vec!["cheap".into(), "dear".into()],
        open: AtomicUsize::new(0),
        open_most: 100,
        planners: AtomicUsize::new(1),
        inputs: async_channel::bounded(1).0,
        register: Client::new("127.0.0.1:1", 1, vec![]),
        recorder: Recorder::default(),
        ledger: crate::core::Core::new(config, 1).ledger(),
        behind: AtomicU64::new(0),
        member: None,
        shedder: Mutex::new(LoadShedder::new(0.5, vec![1.0, 5.0])),
        disk: None,
        voter: None,
    }
}

/// Guards the door against an edge that drowns in Pods it can't answer in time.
#[test]
fn an_edge_behind_its_work_answers_429_the_least_worth_first() {
    let hooks = hooks();
    let mut store = Store::new(tidespur_store::Limits::default(), 1, 1);
    let object = json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": "default"}});
    store
        .create(NAMESPACES, object, 0.0)
        .expect("an empty store takes a namespace");
    let create = |class: &str| {
        let mut pod = json!({"kind": "Pod", "metadata": {"name": "a", "namespace": "default"},
            "spec": {"priorityClassName": class}});
        hooks
            .admit(&store, PODS, &mut pod)
            .map_err(|problem| problem.code)
    };
    let refused = |class| (0..100).filter(|_| create(class) == Err(429)).count();
    assert_eq!((refused("cheap"), refused("dear")), (0, 0));
    // Twenty seconds in which whatever comes is taken in three seconds late.
    (0..200).for_each(|mark| lock(&hooks.shedder).observe_lag(f64::from(mark) * 0.1, 3.0));
    let (cheap, dear) = (refused("cheap"), refused("dear"));
    assert!(cheap > 50 && dear < cheap, "{cheap} and {dear} of 100");
    // In time again, it takes all.
    (200..400).for_each(|mark| lock(&hooks.shedder).observe_lag(f64::from(mark) * 0.1, 0.0));
    assert_eq!((refused("cheap"), refused("dear")), (0, 0));
}
