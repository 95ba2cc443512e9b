//! Admission of new objects while the edge is loaded.

use serde_json::json;
use tidespur_api::resource::{NAMESPACES, PODS};
use tidespur_edge::admission::AdmissionControl;
use tidespur_load_shedding::LoadShedder;
use tidespur_store::{Limits, Store};

const MAX_OPEN_TASKS: usize = 100;

/// A loaded edge must not accept Pods that it cannot answer in time.
#[test]
fn pods_of_the_least_weight_are_rejected_first_when_the_edge_lags() {
    let shedder = LoadShedder::new(0.5, vec![1.0, 5.0]);
    let classes = vec!["cheap".into(), "dear".into()];
    let admission = AdmissionControl::new(classes, MAX_OPEN_TASKS, shedder);
    let mut store = Store::new(Limits::default(), 1, 1);
    let namespace =
        json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": "default"}});
    store
        .create(NAMESPACES, namespace, 0.0)
        .expect("an empty store takes a namespace");
    let create = |class: &str| {
        let mut pod = json!({"kind": "Pod", "metadata": {"name": "a", "namespace": "default"},
            "spec": {"priorityClassName": class}});
        admission
            .admit(&store, PODS, &mut pod)
            .map_err(|error| error.code)
    };
    let rejected = |class| (0..100).filter(|_| create(class) == Err(429)).count();
    assert_eq!((rejected("cheap"), rejected("dear")), (0, 0));

    // Twenty seconds in which each input is handled three seconds late.
    (0..200).for_each(|probe| admission.observe_lag(f64::from(probe) * 0.1, 3.0));
    let (cheap, dear) = (rejected("cheap"), rejected("dear"));
    assert!(cheap > 50 && dear < cheap, "{cheap} and {dear} of 100");

    // Without lag again, it accepts all.
    (200..400).for_each(|probe| admission.observe_lag(f64::from(probe) * 0.1, 0.0));
    assert_eq!((rejected("cheap"), rejected("dear")), (0, 0));
}
