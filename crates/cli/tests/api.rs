//! The published API: verbs, errors with their reasons, and invalid input, which must not affect other clients.

mod common;

use common::*;
use serde_json::{Value, json};

const JSON: &str = "application/json";
const MERGE: &str = "application/merge-patch+json";
const PODS: &str = "/api/v1/namespaces/default/pods";
const JOBS: &str = "/apis/batch/v1/namespaces/default/jobs";

fn check(
    running: &RunningCluster,
    method: &str,
    path: &str,
    content_type: &str,
    body: &str,
    code: u16,
    reason: &str,
) -> Value {
    let (status, object) = running.send(method, path, content_type, body);
    assert_eq!(
        (status, object["reason"].as_str().unwrap_or("")),
        (code, reason),
        "{method} {path} {body:.80}: {object}"
    );
    if code >= 400 {
        assert_eq!(
            (object["kind"].as_str(), object["code"].as_u64()),
            (Some("Status"), Some(u64::from(code)))
        );
        assert!(!object["message"].as_str().unwrap().is_empty());
    }
    object
}

#[test]
fn verbs_and_errors_are_the_published_ones() {
    let running = start_cluster(1, 1, |_, _| {});
    let r = &running;
    for path in [
        "/version",
        "/api",
        "/apis",
        "/api/v1",
        "/apis/batch",
        "/apis/batch/v1",
        "/openapi/v3",
        "/openapi/v3/api/v1",
        "/openapi/v3/apis/batch/v1",
        "/api/v1/namespaces/default",
        "/api/v1/nodes/node-00",
    ] {
        check(r, "GET", path, "", "", 200, "");
    }
    check(r, "GET", "/nothing", "", "", 404, "NotFound");
    check(
        r,
        "GET",
        "/apis/apps/v1/deployments",
        "",
        "",
        404,
        "NotFound",
    );
    check(r, "PUT", PODS, JSON, "{}", 405, "MethodNotAllowed");
    check(
        r,
        "POST",
        "/api/v1/nodes",
        JSON,
        r#"{"metadata":{"name":"x"}}"#,
        405,
        "MethodNotAllowed",
    );
    check(r, "GET", &format!("{JOBS}/none"), "", "", 404, "NotFound");
    check(
        r,
        "POST",
        "/api/v1/namespaces/none/pods",
        JSON,
        &pod("a").to_string(),
        404,
        "NotFound",
    );

    let quiet = job_json("quiet", "termin-web", 1, 1.0)
        .to_string()
        .replace("\"spec\":{\"comp", "\"spec\":{\"suspend\":true,\"comp");
    let made = check(r, "POST", JOBS, JSON, &quiet, 201, "");
    assert_eq!(
        (
            made["spec"]["backoffLimit"].as_i64(),
            made["metadata"]["generation"].as_i64()
        ),
        (Some(6), Some(1))
    );
    check(r, "POST", JOBS, JSON, &quiet, 409, "AlreadyExists");
    let job_path = format!("{JOBS}/quiet");
    let dry = check(
        r,
        "PATCH",
        &format!("{job_path}?dryRun=All"),
        MERGE,
        r#"{"metadata":{"labels":{"a":"dry"}}}"#,
        200,
        "",
    );
    assert_eq!(dry["metadata"]["labels"]["a"], "dry");
    check(
        r,
        "PATCH",
        &job_path,
        MERGE,
        r#"{"metadata":{"labels":{"a":"1","b":"2"}}}"#,
        200,
        "",
    );
    let patched = check(
        r,
        "PATCH",
        &job_path,
        "application/json-patch+json",
        r#"[{"op":"test","path":"/metadata/labels/a","value":"1"},{"op":"remove","path":"/metadata/labels/b"}]"#,
        200,
        "",
    );
    assert_eq!(patched["metadata"]["labels"], json!({"a": "1"}));
    check(
        r,
        "PATCH",
        &job_path,
        "application/json-patch+json",
        r#"[{"op":"test","path":"/kind","value":"x"}]"#,
        422,
        "Invalid",
    );
    check(
        r,
        "PATCH",
        &job_path,
        "text/plain",
        "{}",
        415,
        "UnsupportedMediaType",
    );
    check(
        r,
        "PATCH",
        &job_path,
        "application/strategic-merge-patch+json",
        r#"{"spec":{"parallelism":2}}"#,
        200,
        "",
    );
    check(
        r,
        "PATCH",
        &job_path,
        MERGE,
        r#"{"spec":{"template":{"spec":{"containers":null}}}}"#,
        422,
        "Invalid",
    );
    check(
        r,
        "PATCH",
        &job_path,
        MERGE,
        r#"{"metadata":{"resourceVersion":"1"}}"#,
        409,
        "Conflict",
    );
    let mut stale = patched.clone();
    stale["spec"]["parallelism"] = json!(3);
    check(
        r,
        "PUT",
        &job_path,
        JSON,
        &stale.to_string(),
        409,
        "Conflict",
    );
    let body = r#"{"preconditions":{"uid":"other"}}"#;
    check(r, "DELETE", &job_path, JSON, body, 409, "Conflict");
    check(
        r,
        "DELETE",
        &job_path,
        JSON,
        r#"{"propagationPolicy":"Sideways"}"#,
        400,
        "BadRequest",
    );
    let list = check(
        r,
        "GET",
        &format!("{JOBS}?labelSelector=a%3D1,!c"),
        "",
        "",
        200,
        "",
    );
    assert_eq!(list["items"].as_array().unwrap().len(), 1);
    for (query, reason) in [
        ("labelSelector=a%3D%3D%3D(", ""),
        ("fieldSelector=spec.color%3Dred", "BadRequest"),
        ("limit=x", "BadRequest"),
        ("dryRun=Some", "BadRequest"),
        ("resourceVersionMatch=Exact", "BadRequest"),
        ("continue=zzz", "BadRequest"),
    ] {
        let (status, object) = r.send("GET", &format!("{JOBS}?{query}"), "", "");
        assert!(
            reason.is_empty() || (status == 400 && object["reason"] == reason),
            "{query}: {object}"
        );
    }
    check(
        r,
        "GET",
        &format!("{JOBS}?watch=1&resourceVersion=1"),
        "",
        "",
        410,
        "Expired",
    );
    check(
        r,
        "GET",
        &format!("{JOBS}?resourceVersion=99999999999999999"),
        "",
        "",
        504,
        "Timeout",
    );
    check(r, "DELETE", &job_path, JSON, "", 200, "");
    check(r, "DELETE", &job_path, JSON, "", 404, "NotFound");

    let generated =
        json!({"metadata": {"generateName": "g-"}, "spec": {"containers": [{"name": "m"}]}})
            .to_string();
    let names: std::collections::BTreeSet<String> = (0..3)
        .map(|_| {
            check(r, "POST", PODS, JSON, &generated, 201, "")["metadata"]["name"]
                .as_str()
                .unwrap()
                .to_owned()
        })
        .collect();
    assert_eq!(names.len(), 3);
    let first = check(r, "GET", &format!("{PODS}?limit=2"), "", "", 200, "");
    let token = first["metadata"]["continue"]
        .as_str()
        .unwrap()
        .replace('/', "%2F");
    let second_page = check(
        r,
        "GET",
        &format!("{PODS}?limit=2&continue={token}"),
        "",
        "",
        200,
        "",
    );
    assert_eq!(second_page["items"].as_array().unwrap().len(), 1);
    check(r, "DELETE", PODS, JSON, "", 200, "");
    assert_eq!(check(r, "GET", PODS, "", "", 200, "")["items"], json!([]));
}

fn pod(name: &str) -> Value {
    json!({"kind": "Pod", "apiVersion": "v1", "metadata": {"name": name}, "spec": {"containers": [{"name": "m"}]}})
}

#[test]
fn invalid_input_gets_a_clear_error_and_affects_no_other_client() {
    let running = start_cluster(1, 1, |layout, folder| {
        let file = folder.join("quick.hcl");
        let text = tidespur_config::DEFAULT_CONFIG
            .replace("head_timeout     = 10", "head_timeout     = 0.5")
            .replace("body_timeout     = 30", "body_timeout     = 0.5");
        std::fs::write(&file, text).unwrap();
        layout.config_file = Some(file);
    });
    let r = &running;
    let deep = "[".repeat(10_000) + &"]".repeat(10_000);
    for (body, code, reason, says) in [
        ("{", 400, "BadRequest", "JSON"),
        ("", 400, "BadRequest", "JSON"),
        (deep.as_str(), 400, "BadRequest", "recursion"),
        (
            r#"{"metadata":{"name":"a"},"spec":{"containers":"none"}}"#,
            400,
            "BadRequest",
            "spec.containers",
        ),
        (
            r#"{"kind":"Job","metadata":{"name":"a"}}"#,
            400,
            "BadRequest",
            "kind",
        ),
        (
            r#"{"metadata":{"name":"A_"},"spec":{"containers":[{"name":"m"}]}}"#,
            422,
            "Invalid",
            "metadata.name",
        ),
        (
            r#"{"metadata":{"name":"a"},"spec":{"containers":[]}}"#,
            422,
            "Invalid",
            "spec.containers",
        ),
        (
            r#"{"metadata":{"name":"a"},"spec":{"nodeName":"n","containers":[{"name":"m"}]}}"#,
            422,
            "Invalid",
            "spec.nodeName",
        ),
        (
            r#"{"metadata":{"name":"a"},"spec":{"priorityClassName":"odd","containers":[{"name":"m"}]}}"#,
            422,
            "Invalid",
            "termin-web",
        ),
    ] {
        let error = check(r, "POST", PODS, JSON, body, code, reason);
        assert!(
            error["message"].as_str().unwrap().contains(says),
            "{says}: {error}"
        );
    }
    for quantity in ["-1", "1e400", "9E", "1.2.3", "NaN", "", "1 Gi", "infinity"] {
        let body = json!({"metadata": {"name": "a"}, "spec": {"containers": [{"name": "m", "resources": {"requests": {"cpu": quantity}}}]}});
        let error = check(r, "POST", PODS, JSON, &body.to_string(), 422, "Invalid");
        assert_eq!(
            error["details"]["causes"][0]["field"],
            "spec.containers[0].resources.requests[cpu]"
        );
    }
    let twice =
        r#"{"metadata":{"name":"a","name":"b"},"spec":{"containers":[{"name":"m"}],"colour":1}}"#;
    let error = check(
        r,
        "POST",
        &format!("{PODS}?fieldValidation=Strict"),
        JSON,
        twice,
        400,
        "BadRequest",
    );
    let message = error["message"].as_str().unwrap();
    assert!(
        message.contains("metadata.name") && message.contains("spec.colour"),
        "{message}"
    );
    let request = format!(
        "POST {PODS}?dryRun=All HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{twice}",
        twice.len()
    );
    let warned = r.send_raw(request.as_bytes());
    assert!(
        warned.starts_with("HTTP/1.1 201")
            && warned.contains("299 - \"unknown field 'spec.colour'\""),
        "{warned}"
    );

    let huge = format!(
        "{{\"metadata\":{{\"name\":\"a\",\"annotations\":{{\"x\":\"{}\"}}}}}}",
        "x".repeat(10 << 20)
    );
    check(r, "POST", PODS, JSON, &huge, 413, "RequestEntityTooLarge");
    let request = |rest: &str| format!("POST {PODS} HTTP/1.1\r\nhost: x\r\n{rest}");
    // A body that is never completed, and a header that is never completed.
    assert!(
        r.send_raw(request("content-length: 100\r\n\r\n{").as_bytes())
            .starts_with("HTTP/1.1 408")
    );
    let trickled = r.send_raw(b"GET /api HTTP/1.1\r\nhost:");
    assert!(
        trickled.is_empty() || trickled.starts_with("HTTP/1.1 4"),
        "{trickled}"
    );
    let flood: String = (0..500).map(|i| format!("x-{i}: y\r\n")).collect();
    assert!(
        r.send_raw(request(&format!("{flood}\r\n")).as_bytes())
            .starts_with("HTTP/1.1 431")
    );
    assert!(
        r.send_raw(b"\x16\x03\x01\x02\x00garbage\r\n\r\n")
            .starts_with("HTTP/1.1 400")
    );

    // A frame of another version, and garbage, on the planners' port: the connected planner is not affected.
    use std::io::{Read, Write};
    for bytes in [&[0, 0, 0, 1, 0, 9, 0][..], &[0xff; 64][..]] {
        let mut link =
            std::net::TcpStream::connect(&running.cluster.edges[0].addresses[1]).unwrap();
        link.set_read_timeout(Some(std::time::Duration::from_secs(30)))
            .unwrap();
        link.write_all(bytes).unwrap();
        // The edge closes or resets the connection without an answer.
        assert!(matches!(link.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    check(
        r,
        "POST",
        JOBS,
        JSON,
        &job_json("good", "termin-web", 1, 0.2).to_string(),
        201,
        "",
    );
    running.wait_for("the Job is complete", async || {
        let (_, job) = r.send("GET", &format!("{JOBS}/good"), "", "");
        (job["status"]["succeeded"] == 1).then_some(())
    });
    let log = std::fs::read_to_string(running.directory.path().join("logs/edge-0.log")).unwrap();
    assert!(!log.contains("panicked"), "{log}");
}

#[test]
fn a_full_edge_answers_when_to_retry() {
    let mut running = start_cluster(1, 1, |layout, folder| {
        let file = folder.join("small.hcl");
        std::fs::write(
            &file,
            tidespur_config::DEFAULT_CONFIG
                .replace("open_most        = 5000", "open_most        = 2"),
        )
        .unwrap();
        layout.config_file = Some(file);
    });
    running.cluster.process("planner-0").unwrap().kill();
    let (mut made, mut refused) = (0, 0);
    for i in 0..6 {
        let (status, object) = running.send("POST", PODS, JSON, &pod(&format!("p{i}")).to_string());
        match status {
            201 => made += 1,
            429 => {
                refused += 1;
                assert_eq!(
                    (
                        object["reason"].as_str(),
                        object["details"]["retryAfterSeconds"].as_i64()
                    ),
                    (Some("TooManyRequests"), Some(1))
                );
            }
            other => panic!("{other}: {object}"),
        }
        // The edge updates its count shortly after it has answered.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    assert_eq!((made, refused), (2, 4));
}

#[test]
fn a_typed_client_reads_the_version_and_a_node_is_given_the_whole_spec() {
    let running = start_cluster(1, 1, |_, _| {});
    let (_, version) = running.send("GET", "/version", "", "");
    let info: k8s_openapi::apimachinery::pkg::version::Info =
        serde_json::from_value(version.clone()).unwrap();
    assert_eq!(
        (info.major.as_str(), info.compiler.as_str()),
        ("1", "rustc")
    );
    let fields = [
        "major",
        "minor",
        "gitVersion",
        "gitCommit",
        "gitTreeState",
        "buildDate",
        "goVersion",
        "compiler",
        "platform",
    ];
    for field in fields {
        assert!(
            version[field].as_str().is_some_and(|text| !text.is_empty()),
            "{field} in {version}"
        );
    }
    let mut pod_with_image = pod("whole");
    pod_with_image["spec"]["containers"][0]["image"] = "registry.example/web:7".into();
    pod_with_image["spec"]["containers"][0]["args"] = json!(["--port", "80"]);
    check(
        &running,
        "POST",
        PODS,
        JSON,
        &pod_with_image.to_string(),
        201,
        "",
    );
    let node = tidespur_net::Client::new(&running.cluster.nodes[0].addresses[0], 1, vec![]);
    running.wait_for("the node has it", async || {
        let reply = smol::block_on(node.send(
            hyper::Method::GET,
            "/api/v1/pods",
            "",
            Default::default(),
            5.0,
        ));
        let spec =
            reply.ok()?.json()["items"].as_array()?.first()?["spec"]["containers"][0].clone();
        assert_eq!(spec["image"], "registry.example/web:7");
        (spec["args"] == json!(["--port", "80"])).then_some(())
    });
}

#[test]
fn an_unsupported_field_is_rejected_by_name() {
    let running = start_cluster(1, 1, |_, _| {});
    let refused = |path: &str, body: Value, field: &str| {
        let status = check(
            &running,
            "POST",
            path,
            JSON,
            &body.to_string(),
            422,
            "Invalid",
        );
        let causes = status["details"]["causes"].as_array().unwrap();
        assert!(
            causes.iter().any(|cause| cause["field"] == field),
            "{field}: {status}"
        );
    };
    let with = |mut object: Value, path: &[&str], value: Value| {
        let (last, way) = path.split_last().unwrap();
        way.iter().fold(&mut object, |at, key| &mut at[*key])[*last] = value;
        object
    };
    let job = || job_json("j", "termin-web", 1, 1.0);
    refused(
        JOBS,
        with(job(), &["spec", "completionMode"], "Indexed".into()),
        "spec.completionMode",
    );
    refused(
        JOBS,
        with(job(), &["spec", "maxFailedIndexes"], 3.into()),
        "spec.maxFailedIndexes",
    );
    refused(
        JOBS,
        with(
            job(),
            &["metadata", "finalizers"],
            json!(["x.example/wait"]),
        ),
        "metadata.finalizers",
    );
    let selector = json!({"zone": "a"});
    let at = ["spec", "template", "spec", "nodeSelector"];
    refused(
        JOBS,
        with(job(), &at, selector.clone()),
        "spec.template.spec.nodeSelector",
    );
    refused(
        PODS,
        with(pod("p"), &["spec", "nodeSelector"], selector),
        "spec.nodeSelector",
    );
    let grace = "terminationGracePeriodSeconds";
    refused(
        PODS,
        with(pod("p"), &["spec", grace], 30.into()),
        "spec.terminationGracePeriodSeconds",
    );
    let mut large = pod("p");
    large["spec"]["containers"][0]["resources"]["requests"]["example.com/gpu"] = "1".into();
    refused(
        PODS,
        large,
        "spec.containers[0].resources.requests.example.com/gpu",
    );
    // The one supported value is accepted, and a rejected request has created nothing.
    check(
        &running,
        "POST",
        PODS,
        JSON,
        &with(pod("p"), &["spec", grace], 0.into()).to_string(),
        201,
        "",
    );
    let pod_path = format!("{PODS}/p");
    check(
        &running,
        "DELETE",
        &format!("{pod_path}?gracePeriodSeconds=30"),
        "",
        "",
        422,
        "Invalid",
    );
    check(
        &running,
        "DELETE",
        &pod_path,
        JSON,
        r#"{"gracePeriodSeconds":5}"#,
        422,
        "Invalid",
    );
    check(
        &running,
        "DELETE",
        &pod_path,
        JSON,
        r#"{"gracePeriodSeconds":0}"#,
        200,
        "",
    );
    check(
        &running,
        "GET",
        &format!("{JOBS}/j"),
        "",
        "",
        404,
        "NotFound",
    );
}
