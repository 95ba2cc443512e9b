//! Admission control while the event loop of the edge lags.

use serde_json::json;
use tidespur_api::resource::{NAMESPACES, PODS};
use tidespur_edge::admission::AdmissionControl;
use tidespur_load_shedding::LoadShedder;
use tidespur_store::{Limits, Store};

const MAX_OPEN_TASKS: usize = 100;

/// An overloaded edge must not accept Pods that it cannot answer in time.
#[test]
fn pods_of_the_lowest_weight_are_rejected_first_when_the_edge_lags() {
    let shedder = LoadShedder::new(0.5, vec![1.0, 5.0]);
    let classes = vec!["low".into(), "high".into()];
    let admission = AdmissionControl::new(classes, MAX_OPEN_TASKS, shedder);
    let mut store = Store::new(Limits::default(), 1, 1);
    let namespace =
        json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": "default"}});
    store
        .create(NAMESPACES, namespace, 0.0)
        .expect("cannot create the namespace");
    let create = |class: &str| {
        let mut pod = json!({"kind": "Pod", "metadata": {"name": "a", "namespace": "default"},
            "spec": {"priorityClassName": class}});
        admission
            .admit(&store, PODS, &mut pod)
            .map_err(|error| error.code)
    };
    let rejected = |class| (0..100).filter(|_| create(class) == Err(429)).count();
    assert_eq!((rejected("low"), rejected("high")), (0, 0));

    // For 20 s, each input is handled 3 s late.
    (0..200).for_each(|probe| admission.observe_lag(f64::from(probe) * 0.1, 3.0));
    let (low, high) = (rejected("low"), rejected("high"));
    assert!(low > 50 && high < low, "{low} and {high} of 100");

    // Without lag, all Pods are accepted again.
    (200..400).for_each(|probe| admission.observe_lag(f64::from(probe) * 0.1, 0.0));
    assert_eq!((rejected("low"), rejected("high")), (0, 0));
}
