//! End-to-end tests: from a public client through edge, planner and node, and back to the client's watch.

mod common;

use common::*;
use futures::{StreamExt, TryStreamExt};
use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::{Node, Pod};
use kube::ResourceExt;
use kube::api::{
    Api, DeleteParams, ListParams, Patch, PatchParams, PostParams, WatchEvent, WatchParams,
};
use kube::runtime::{WatchStreamExt, reflector, watcher};
use serde_json::json;
use std::collections::BTreeMap;
use tidespur_emulator::Fault;

#[test]
fn a_watch_sees_a_job_placed_running_and_complete() {
    let running = start_cluster(8, 2, |_, _| {});
    let (jobs, pods) = (running.jobs(), running.pods());
    running.runtime.block_on(async {
        let seen = watcher(pods.clone(), watcher::Config::default()).applied_objects();
        let mut seen = std::pin::pin!(seen);
        jobs.create(&PostParams::default(), &job("web", "termin-web", 4, 0.5))
            .await
            .unwrap();
        let mut outcomes: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        let mut done = 0;
        while done < 4 {
            let pod = seen.try_next().await.unwrap().unwrap();
            let list = outcomes.entry(pod.name_any()).or_default();
            if let Some(outcome) = outcome(&pod)
                && list.last() != Some(&outcome)
            {
                list.push(outcome);
            }
            done += usize::from(pod.status.unwrap().phase.as_deref() == Some("Succeeded"));
        }
        assert_eq!(outcomes.len(), 4);
        assert!(
            outcomes.values().all(|list| *list == ["placed"]),
            "{outcomes:?}"
        );
    });
    running.wait_for("the Job is complete", async || {
        is_complete(&jobs.get("web").await.unwrap()).then_some(())
    });
}

#[test]
fn a_watch_broken_mid_burst_resumes_without_loss_or_repeat() {
    let running = start_cluster(4, 1, |_, _| {});
    let (jobs, pods) = (running.jobs(), running.pods());
    running.runtime.block_on(async {
        let from = pods
            .list(&ListParams::default())
            .await
            .unwrap()
            .metadata
            .resource_version
            .unwrap();
        for i in 0..6 {
            jobs.create(
                &PostParams::default(),
                &job(&format!("w{i}"), "termin-web", 4, 0.3),
            )
            .await
            .unwrap();
        }
        // One watcher that stays connected, and one that reconnects after every third event.
        let read = async |events_per_watch: usize| {
            let (mut version, mut all) = (from.clone(), Vec::new());
            let mut ended = std::collections::BTreeSet::new();
            'watches: loop {
                let stream = pods
                    .watch(&WatchParams::default().timeout(20), &version)
                    .await
                    .unwrap();
                let mut stream = std::pin::pin!(stream);
                for _ in 0..events_per_watch {
                    let Some(event) = stream.try_next().await.unwrap() else {
                        break;
                    };
                    let (WatchEvent::Added(pod)
                    | WatchEvent::Modified(pod)
                    | WatchEvent::Deleted(pod)) = event
                    else {
                        continue;
                    };
                    version = pod.resource_version().unwrap();
                    all.push(version.clone());
                    if pod.status.as_ref().unwrap().phase.as_deref() == Some("Succeeded") {
                        ended.insert(pod.name_any());
                    }
                    if ended.len() == 24 {
                        break 'watches;
                    }
                }
            }
            all
        };
        let (unbroken, resumed) = futures::join!(read(usize::MAX), read(3));
        assert!(unbroken.len() >= 72, "{}", unbroken.len());
        assert_eq!(unbroken, resumed);
    });
}

#[test]
fn a_compacted_version_is_gone_and_a_relist_converges() {
    let running = start_cluster(2, 1, |layout, folder| {
        let file = folder.join("small.hcl");
        let text = tidespur_config::DEFAULT_CONFIG
            .replace("history          = 16384", "history          = 16");
        assert_ne!(text, tidespur_config::DEFAULT_CONFIG);
        std::fs::write(&file, text).unwrap();
        layout.config_file = Some(file);
    });
    let (jobs, pods) = (running.jobs(), running.pods());
    running.runtime.block_on(async {
        let old = pods
            .list(&ListParams::default())
            .await
            .unwrap()
            .metadata
            .resource_version
            .unwrap();
        let (reader, writer) = reflector::store();
        let cache = reflector(writer, watcher(pods.clone(), watcher::Config::default()));
        let kept = tokio::spawn(cache.default_backoff().for_each(|_| async {}));
        for i in 0..5 {
            jobs.create(
                &PostParams::default(),
                &job(&format!("w{i}"), "termin-web", 5, 0.2),
            )
            .await
            .unwrap();
        }
        loop {
            let list = jobs.list(&ListParams::default()).await.unwrap();
            if list.items.iter().all(is_complete) {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        match pods.watch(&WatchParams::default(), &old).await {
            Err(kube::Error::Api(status)) => {
                assert_eq!((status.code, status.reason.as_str()), (410, "Expired"))
            }
            Err(other) => panic!("{other}"),
            Ok(_) => panic!("a compacted version was served"),
        }
        let listed = pods.list(&ListParams::default()).await.unwrap();
        let truth: BTreeMap<String, Option<String>> = listed
            .items
            .iter()
            .map(|p| (p.name_any(), p.resource_version()))
            .collect();
        loop {
            let cached: BTreeMap<String, Option<String>> = reader
                .state()
                .iter()
                .map(|p| (p.name_any(), p.resource_version()))
                .collect();
            if cached == truth {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        kept.abort();
    });
}

/// Runs one Job of a class while every node loses its answers after it has accepted the work. With `mute` the nodes
/// don't report the Pods that they hold either.
fn answers_lost(class: &str, reset: bool, mute: bool) -> (RunningCluster, Vec<serde_json::Value>) {
    let running = start_cluster(3, 1, |layout, folder| {
        let file = folder.join("keyed.hcl");
        let keyed = "class \"keyed\" {\n aim = 0.5\n deadline = 2\n effect = \"keyed\"\n group = \"node\"\n window = 8\n}\n";
        std::fs::write(
            &file,
            format!("{}\n{keyed}", tidespur_config::DEFAULT_CONFIG),
        )
        .unwrap();
        layout.config_file = Some(file);
    });
    let jobs = running.jobs();
    for i in 0..3 {
        let node = format!("node-{i:02}");
        let fault = Fault::DropResponses {
            share: 1.0,
            reset,
            seconds: 4.0,
        };
        smol::block_on(running.cluster.inject_fault(&node, &fault)).unwrap();
        if mute {
            smol::block_on(
                running
                    .cluster
                    .inject_fault(&node, &Fault::BlockReads { seconds: 4.0 }),
            )
            .unwrap();
        }
    }
    running.runtime.block_on(async {
        let mut job = job_json("lost", class, 1, 9.0);
        job["spec"]["template"]["metadata"]["annotations"]["placement.tidespur.dev/give-up-seconds"] =
            "2".into();
        jobs.create(&PostParams::default(), &serde_json::from_value(job).unwrap()).await.unwrap();
    });
    running.wait_for("the Job is complete", async || {
        is_complete(&jobs.get("lost").await.unwrap()).then_some(())
    });
    let records = running.records();
    (running, records)
}

fn accepted(records: &[serde_json::Value]) -> usize {
    let is_acceptance = |r: &&serde_json::Value| {
        r["what"] == "answer" && r["said"] == "accepted" && !r["way"].is_null()
    };
    records.iter().filter(is_acceptance).count()
}

#[test]
fn a_non_idempotent_task_whose_answer_was_lost_is_adopted_and_not_started_twice() {
    for reset in [true, false] {
        let (running, records) = answers_lost("slot-abgleich", reset, true);
        let pods = running
            .runtime
            .block_on(running.pods().list(&ListParams::default()))
            .unwrap();
        let outcomes: Vec<_> = pods.items.iter().map(|p| outcome(p).unwrap()).collect();
        assert!(
            outcomes.contains(&"failed") && outcomes.contains(&"placed"),
            "{outcomes:?}"
        );
        assert_eq!(accepted(&records), 1, "it ran once");
        let adopted = pods.items.iter().find(|p| {
            p.annotations()
                .contains_key("placement.tidespur.dev/adopts")
        });
        assert_eq!(
            adopted.unwrap().status.as_ref().unwrap().phase.as_deref(),
            Some("Succeeded")
        );
    }
}

#[test]
fn a_lost_answer_is_inferred_from_the_pods_that_the_node_reports() {
    let (running, records) = answers_lost("slot-abgleich", false, false);
    let pods = running
        .runtime
        .block_on(running.pods().list(&ListParams::default()))
        .unwrap();
    assert_eq!(
        pods.items
            .iter()
            .map(|p| outcome(p).unwrap())
            .collect::<Vec<_>>(),
        ["placed"]
    );
    assert_eq!(accepted(&records), 1);
}

#[test]
fn a_keyed_task_whose_answer_was_lost_runs_once_in_its_group() {
    let (_running, records) = answers_lost("keyed", false, true);
    // Its group is one node, which rejects duplicates while it holds the first copy.
    assert_eq!(accepted(&records), 1);
}

#[test]
fn an_idempotent_task_whose_answer_was_lost_runs_again_and_its_orphan_is_stopped() {
    let (running, records) = answers_lost("termin-web", false, true);
    assert!(accepted(&records) >= 2, "it was sent again");
    let pods_in_phase = |phase: &str| {
        records
            .iter()
            .filter(|r| r["who"] != "rig" && r["what"] == "pod" && r["phase"] == phase)
            .count()
    };
    // Every copy but the successful one was deleted, so that it occupies no resources.
    assert_eq!(pods_in_phase("Succeeded"), 1);
    assert_eq!(pods_in_phase("Failed"), accepted(&records) - 1);
    drop(running);
}

#[test]
fn a_job_runs_after_its_client_disconnects() {
    use std::io::Write;
    let running = start_cluster(2, 1, |_, _| {});
    let body = job_json("orphan", "termin-web", 1, 0.3).to_string();
    let mut socket = std::net::TcpStream::connect(running.cluster.api(0)).unwrap();
    write!(socket, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
        content-length: {}\r\n\r\n{body}", body.len()).unwrap();
    drop(socket);
    let jobs = running.jobs();
    // Either the request was never read, or the Job runs to completion.
    let seen = running.wait_for("it is decided", async || {
        match jobs.get_opt("orphan").await.unwrap() {
            Some(job) => is_complete(&job).then_some(true),
            None => Some(false),
        }
    });
    if !seen {
        running
            .runtime
            .block_on(jobs.create(&PostParams::default(), &job("orphan", "termin-web", 1, 0.3)))
            .unwrap();
    }
}

#[test]
fn concurrent_creates_of_one_name_succeed_once() {
    let running = start_cluster(2, 1, |_, _| {});
    let jobs = running.jobs();
    let wins = running.runtime.block_on(async {
        let tries = (0..16).map(|_| {
            let jobs = jobs.clone();
            async move {
                jobs.create(&PostParams::default(), &job("same", "termin-web", 1, 0.2))
                    .await
            }
        });
        let results = futures::future::join_all(tries).await;
        let lost = results.iter().filter_map(|r| r.as_ref().err());
        for error in lost {
            let kube::Error::Api(status) = error else {
                panic!("{error}")
            };
            assert_eq!(
                (status.code, status.reason.as_str()),
                (409, "AlreadyExists")
            );
        }
        results.iter().filter(|r| r.is_ok()).count()
    });
    assert_eq!(wins, 1);
}

#[test]
fn a_pod_deleted_while_its_offer_is_out_leaves_nothing_at_the_node() {
    let running = start_cluster(1, 1, |_, _| {});
    let pods = running.pods();
    // The node takes half a second to answer an offer.
    smol::block_on(running.cluster.inject_fault(
        "node-00",
        &Fault::Slow {
            factor: 50.0,
            seconds: 20.0,
        },
    ))
    .unwrap();
    let pod: Pod = serde_json::from_value(
        json!({"metadata": {"name": "gone"}, "spec": {"containers": [{"name": "m"}]}}),
    )
    .unwrap();
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &pod))
        .unwrap();
    let offered = |records: &[serde_json::Value]| records.iter().any(|r| r["what"] == "offer");
    running.wait_for("the offer is out", async || {
        offered(&running.records()).then_some(())
    });
    running
        .runtime
        .block_on(pods.delete("gone", &DeleteParams::default()))
        .unwrap();
    let node = running.cluster.nodes[0].addresses[0].clone();
    let client = tidespur_net::Client::new(&node, 1, vec![]);
    running.wait_for("the node holds nothing", async || {
        let answered = running
            .records()
            .iter()
            .any(|r| r["what"] == "answer" && r["who"] == "planner-0");
        let reply = smol::block_on(client.send(
            hyper::Method::GET,
            "/api/v1/pods",
            "",
            Default::default(),
            5.0,
        ));
        let pods = reply.ok()?.json();
        let live = pods["items"].as_array()?.iter().any(|p| {
            !["Failed", "Succeeded"].contains(&p["status"]["phase"].as_str().unwrap_or(""))
        });
        (answered && !live).then_some(())
    });
}

#[test]
fn a_job_that_shrinks_during_placement_keeps_its_new_number_of_pods() {
    let running = start_cluster(4, 2, |_, _| {});
    let jobs = running.jobs();
    let pods = running.runtime.block_on(async {
        jobs.create(
            &PostParams::default(),
            &job("shrinks", "termin-web", 12, 30.0),
        )
        .await
        .unwrap();
        let patch = json!({"spec": {"parallelism": 3}});
        jobs.patch("shrinks", &PatchParams::default(), &Patch::Merge(patch))
            .await
            .unwrap();
        running.pods()
    });
    running.wait_for("three Pods are left and run", async || {
        let list = pods.list(&ListParams::default()).await.unwrap();
        let live: Vec<_> = list
            .items
            .iter()
            .filter(|p| outcome(p) != Some("refused"))
            .collect();
        let run = live
            .iter()
            .filter(|p| p.status.as_ref().unwrap().phase.as_deref() == Some("Running"))
            .count();
        (live.len() == 3 && run == 3).then_some(())
    });
}

#[test]
fn a_cordoned_node_gets_nothing_and_a_drained_one_is_emptied() {
    let running = start_cluster(2, 1, |_, _| {});
    let (jobs, pods) = (running.jobs(), running.pods());
    let nodes: Api<Node> = Api::all(running.client());
    running.runtime.block_on(nodes.cordon("node-00")).unwrap();
    running.wait_for("the list shows the cordon", async || {
        nodes
            .get("node-00")
            .await
            .unwrap()
            .spec
            .unwrap()
            .unschedulable
            .unwrap_or(false)
            .then_some(())
    });
    std::thread::sleep(std::time::Duration::from_millis(300));
    running
        .runtime
        .block_on(jobs.create(&PostParams::default(), &job("web", "termin-web", 2, 20.0)))
        .unwrap();
    running.wait_for("both run", async || {
        let list = pods.list(&ListParams::default()).await.unwrap();
        let on: Vec<_> = list
            .items
            .iter()
            .filter_map(|p| p.spec.as_ref()?.node_name.clone())
            .collect();
        assert!(on.iter().all(|node| node == "node-01"), "{on:?}");
        (on.len() == 2).then_some(())
    });
}

#[test]
fn a_watcher_that_does_not_read_is_disconnected_and_delays_no_other() {
    use std::io::{Read, Write};
    let running = start_cluster(2, 1, |layout, folder| {
        let file = folder.join("small.hcl");
        std::fs::write(
            &file,
            tidespur_config::DEFAULT_CONFIG
                .replace("history          = 16384", "history          = 64"),
        )
        .unwrap();
        layout.config_file = Some(file);
    });
    let api: Api<k8s_openapi::api::core::v1::Event> = Api::namespaced(running.client(), "default");
    let mut slow = std::net::TcpStream::connect(running.cluster.api(0)).unwrap();
    write!(
        slow,
        "GET /api/v1/namespaces/default/events?watch=true HTTP/1.1\r\nhost: x\r\n\r\n"
    )
    .unwrap();
    let filler = "x".repeat(60_000);
    running.runtime.block_on(async {
        let reading = api
            .watch(&WatchParams::default().timeout(60), "0")
            .await
            .unwrap();
        let mut reading = std::pin::pin!(reading);
        // Far more than the socket buffers, the edge's queue and the history hold.
        for i in 0..400 {
            let event = serde_json::from_value(
                json!({"metadata": {"name": format!("e{i}")}, "message": filler,
                "involvedObject": {}}),
            )
            .unwrap();
            api.create(&PostParams::default(), &event).await.unwrap();
            // The other watcher receives each event immediately.
            loop {
                match reading.try_next().await.unwrap().unwrap() {
                    WatchEvent::Added(event) if event.name_any() == format!("e{i}") => break,
                    WatchEvent::Added(_) | WatchEvent::Bookmark(_) => {}
                    other => panic!("{other:?}"),
                }
            }
        }
    });
    // The slow watcher now reads what was in transit, and then the error that its version has expired.
    let mut received = Vec::new();
    slow.set_read_timeout(Some(std::time::Duration::from_secs(30)))
        .unwrap();
    let _ = slow.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    let got = text.matches("\"type\":\"ADDED\"").count();
    assert!(
        got < 400,
        "the edge buffered every event for the slow watcher"
    );
    assert!(
        text.contains("\"type\":\"ERROR\"") && text.contains("\"code\":410"),
        "{got} events, no 410 at the end"
    );
}

#[test]
fn without_planners_each_task_is_answered_in_time_and_a_new_planner_takes_over() {
    let mut running = start_cluster(2, 1, |_, _| {});
    running.cluster.process("planner-0").unwrap().kill();
    let pods = running.pods();
    let pod = |name: &str| -> Pod {
        serde_json::from_value(json!({"metadata": {"name": name, "annotations": {"placement.tidespur.dev/give-up-seconds": "1.5"}},
            "spec": {"containers": [{"name": "m"}]}})).unwrap()
    };
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &pod("alone")))
        .unwrap();
    let answer = running.wait_for("it is answered", async || {
        outcome(&pods.get("alone").await.unwrap()).map(str::to_owned)
    });
    assert_eq!(answer, "refused");
    running.cluster.restart_planner("planner-0").unwrap();
    let api = running.cluster.api(0).to_owned();
    running.wait_for("the planner is connected", async || {
        let client = tidespur_net::Client::new(&api, 1, vec![]);
        let ready =
            smol::block_on(client.send(hyper::Method::GET, "/readyz", "", Default::default(), 5.0));
        ready.ok().filter(|r| r.status.is_success()).map(drop)
    });
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &pod("again")))
        .unwrap();
    let answer = running.wait_for("it is answered", async || {
        outcome(&pods.get("again").await.unwrap()).map(str::to_owned)
    });
    assert_eq!(answer, "placed");
}

#[test]
fn running_tasks_move_to_another_planner_when_theirs_is_killed() {
    let mut running = start_cluster(4, 2, |_, _| {});
    let jobs = running.jobs();
    running
        .runtime
        .block_on(jobs.create(
            &PostParams::default(),
            &job("long", "slot-abgleich", 4, 4.0),
        ))
        .unwrap();
    let pods = running.pods();
    running.wait_for("all run", async || {
        let list = pods.list(&ListParams::default()).await.unwrap();
        let run = |p: &&Pod| p.status.as_ref().unwrap().phase.as_deref() == Some("Running");
        (list.items.iter().filter(run).count() == 4).then_some(())
    });
    running.cluster.process("planner-0").unwrap().kill();
    running.wait_for("the Job is complete", async || {
        is_complete(&jobs.get("long").await.unwrap()).then_some(())
    });
    assert_eq!(accepted(&running.records()), 4, "nothing was started again");
}

#[test]
fn tasks_of_a_killed_node_are_placed_again() {
    let mut running = start_cluster(2, 1, |_, _| {});
    let (jobs, pods) = (running.jobs(), running.pods());
    running
        .runtime
        .block_on(jobs.create(&PostParams::default(), &job("web", "termin-web", 4, 5.0)))
        .unwrap();
    running.wait_for("all run", async || {
        let list = pods.list(&ListParams::default()).await.unwrap();
        let run = |p: &&Pod| p.status.as_ref().unwrap().phase.as_deref() == Some("Running");
        (list.items.iter().filter(run).count() == 4).then_some(())
    });
    running.cluster.process("node-00").unwrap().kill();
    running.wait_for("two were lost", async || {
        let list = pods.list(&ListParams::default()).await.unwrap();
        let lost = |p: &&Pod| p.status.as_ref().unwrap().reason.as_deref() == Some("NodeLost");
        (list.items.iter().filter(lost).count() == 2).then_some(())
    });
    running.cluster.restart_node("node-00").unwrap();
    running.wait_for("the Job is complete", async || {
        is_complete(&jobs.get("web").await.unwrap()).then_some(())
    });
}

#[test]
fn a_registry_that_is_unreachable_at_startup_is_reported_and_waited_for() {
    let mut running = start_cluster(2, 1, |_, _| {});
    running.cluster.registry.set_paused(true);
    running.cluster.restart_planner("planner-0").unwrap();
    let pods = running.pods();
    let pod: Pod = serde_json::from_value(json!({"metadata": {"name": "early", "annotations":
        {"placement.tidespur.dev/give-up-seconds": "2"}}, "spec": {"containers": [{"name": "m"}]}}))
    .unwrap();
    let api = running.cluster.api(0).to_owned();
    running.wait_for("the planner is connected", async || {
        let client = tidespur_net::Client::new(&api, 1, vec![]);
        let ready =
            smol::block_on(client.send(hyper::Method::GET, "/readyz", "", Default::default(), 5.0));
        ready.ok().filter(|r| r.status.is_success()).map(drop)
    });
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &pod))
        .unwrap();
    let message = running.wait_for("it is refused", async || {
        let pod = pods.get("early").await.unwrap();
        (outcome(&pod) == Some("refused")).then(|| pod.status.unwrap().message.unwrap_or_default())
    });
    assert!(
        message.contains("register has listed no nodes"),
        "{message}"
    );
    running.cluster.registry.set_paused(false);
    let jobs: Api<Job> = running.jobs();
    running
        .runtime
        .block_on(jobs.create(&PostParams::default(), &job("later", "termin-web", 1, 0.2)))
        .unwrap();
    running.wait_for("the Job is complete", async || {
        is_complete(&jobs.get("later").await.unwrap()).then_some(())
    });
}

#[test]
fn the_condition_of_a_waiting_pod_gives_the_current_reason() {
    let running = start_cluster(2, 1, |_, _| {});
    let (pods, nodes) = (running.pods(), Api::<Node>::all(running.client()));
    let large = json!({"metadata": {"name": "large", "annotations": {"placement.tidespur.dev/give-up-seconds": "60"}},
        "spec": {"priorityClassName": "slot-abgleich", "containers": [{"name": "m",
            "resources": {"requests": {"cpu": "400", "memory": "1Gi"}}}]}});
    let large: Pod = serde_json::from_value(large).unwrap();
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &large))
        .unwrap();
    let message = async || {
        let pod = pods.get("large").await.unwrap();
        let conditions = pod.status?.conditions?;
        let waits = conditions
            .into_iter()
            .find(|c| c.type_ == "PodScheduled" && c.status == "False")?;
        assert_eq!(waits.reason.as_deref(), Some("Unschedulable"));
        waits.message
    };
    let message_text = running.wait_for("the condition gives the reason", message);
    assert_eq!(message_text, "0/2 nodes are available: 2 no cores");
    running.runtime.block_on(nodes.cordon("node-00")).unwrap();
    running.wait_for("the condition follows", async || {
        let message_text = message().await?;
        (message_text == "0/2 nodes are available: 1 draining, 1 no cores").then_some(())
    });
    // There is one Event, whose count has increased.
    let events: Api<k8s_openapi::api::core::v1::Event> =
        Api::namespaced(running.client(), "default");
    let about = ListParams::default().fields("reason=FailedScheduling");
    let list = running.runtime.block_on(events.list(&about)).unwrap().items;
    assert_eq!(list.len(), 1);
    assert!(
        list[0].count.unwrap() >= 2 && list[0].series.is_some(),
        "{:?}",
        list[0]
    );
    // The record has the reasons over time and a hint about the node that is closest to fitting.
    let (code, record) = running.send("GET", "/debug/waits/default/large", "", "");
    assert_eq!(code, 200);
    let cores = record["spans"]
        .as_array()
        .unwrap()
        .iter()
        .find(|span| span["code"] == "Cores")
        .unwrap();
    assert_eq!(
        (&cores["source"], &cores["over"]),
        (&json!("policy"), &json!(false))
    );
    assert!(
        record["hint"]
            .as_str()
            .unwrap()
            .contains("cores more free on node-01"),
        "{record}"
    );
    let (_, fleet) = running.send("GET", "/debug/waits", "", "");
    let reasons: Vec<&str> = fleet["reasons"]
        .as_array()
        .unwrap()
        .iter()
        .map(|line| line["reason"].as_str().unwrap())
        .collect();
    assert_eq!(reasons, ["Draining", "Cores"]);
    assert!(
        !fleet.to_string().contains("large"),
        "the fleet's report must not contain names of Pods"
    );
    let metrics =
        running.send_raw(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let line = r#"tidespur_waiting_tasks{class="slot-abgleich",namespace="default",zone="halle-b",reason="Cores",source="policy"} 1"#;
    assert!(metrics.contains(line), "{metrics}");
    // After the Pod is deleted, its last record is still served, without current reasons.
    running
        .runtime
        .block_on(pods.delete("large", &DeleteParams::default()))
        .unwrap();
    running.wait_for("it waits no longer", async || {
        let (code, record) = running.send("GET", "/debug/waits/default/large", "", "");
        (code == 200 && record["codes"] == json!([])).then_some(())
    });
}

#[test]
fn a_task_without_a_planner_reports_it_and_is_placed_once_the_planner_resumes() {
    let running = start_cluster(2, 1, |_, _| {});
    running.cluster.planners[0].set_paused(true);
    let pod = json!({"metadata": {"name": "early", "annotations": {"placement.tidespur.dev/give-up-seconds": "60"}},
        "spec": {"containers": [{"name": "m"}]}});
    let pods = running.pods();
    let pod: Pod = serde_json::from_value(pod).unwrap();
    running
        .runtime
        .block_on(pods.create(&PostParams::default(), &pod))
        .unwrap();
    let codes =
        async || running.send("GET", "/debug/waits/default/early", "", "").1["codes"].clone();
    running.wait_for("the silent planner is reported", async || {
        (codes().await == json!(["PlannersSilent"])).then_some(())
    });
    running.wait_for("the lost planner is reported", async || {
        (codes().await == json!(["NoPlanner"])).then_some(())
    });
    running.cluster.planners[0].set_paused(false);
    // It was never offered to a node, so it is placed now and doesn't fail with an unknown outcome.
    running.wait_for("it is placed", async || {
        let pod = pods.get("early").await.unwrap();
        assert!(
            !matches!(outcome(&pod), Some("refused" | "failed")),
            "{pod:?}"
        );
        outcome(&pod)
    });
}
