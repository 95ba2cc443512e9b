//! Compatibility with earlier versions of the operators' protocol: the bytes that are written, and the interpretation
//! of what owners, machines and the discovery stream send, must not change.

mod common;
#[path = "common/fixtures.rs"]
mod fixtures;

use common::{Dials, Harness, OWNER, accepted, release, set_up, site};
use fixtures::{Sample, assert_compatible, assert_encoded, from_hex, to_hex};
use tidespur_gateway::message::{Decoder, Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output, discovery, machine_report, task_request};
use tidespur_policy::interface::{
    AttemptProgress, EndpointStatus, FailureCause, LoadReport, ServiceId,
};

const ID: RequestId = RequestId(0x0123_4567_89ab_cdef);

/// A set-up with every parameter that an owner can send.
fn full_set_up(id: RequestId) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, b"slot")
        .with(code::TIMEOUT, b"6000")
        .with(code::TENANT, b"tenant-1")
        .with(code::RETRY, b"1")
        .with(code::NAME, b"task-1")
        .with(code::REQUESTED, b"cores:1.5;memory:2.25;service:service-1")
        .with(code::EXPECTED_DURATION, b"8200.0")
        .with(code::DESCRIPTION, b"v=0 \x00\xff")
}

fn progress_report(kind: &str) -> Message {
    Message::new(MessageKind::ProgressReport, ID).with(code::REASON, kind.as_bytes())
}

fn decode(text: &str) -> Message {
    let mut decoder = Decoder::default();
    decoder.feed(&from_hex(text));
    decoder
        .next_message()
        .expect("a valid message")
        .expect("a complete message")
}

#[test]
fn messages_keep_their_bytes() {
    let kinds = samples_of_each_variant! { MessageKind:
        "empty SetUp", MessageKind::SetUp => MessageKind::SetUp;
        "empty Progress", MessageKind::Progress => MessageKind::Progress;
        "empty Answer", MessageKind::Accepted => MessageKind::Accepted;
        "empty Release", MessageKind::Release => MessageKind::Release;
        "empty Heard", MessageKind::ReleaseAck => MessageKind::ReleaseAck;
        "empty Test", MessageKind::HealthCheck => MessageKind::HealthCheck;
        "empty Tested", MessageKind::HealthCheckReply => MessageKind::HealthCheckReply;
        "empty Note", MessageKind::ProgressReport => MessageKind::ProgressReport;
        "empty Move", MessageKind::Migrate => MessageKind::Migrate;
    };
    let mut samples: Vec<Sample<Message>> = kinds
        .into_iter()
        .map(|(name, kind)| (name, Message::new(kind, ID)))
        .collect();
    samples.extend([
        ("set-up of an owner", full_set_up(ID)),
        (
            "answer of a machine",
            Message::new(MessageKind::Accepted, ID).with(code::DESCRIPTION, b"bytes \x01"),
        ),
        ("refusal of a machine", {
            Message::release(ID, cause::FULL)
                .with(code::REASON, b"lack_cpu")
                .with(code::LOAD, b"x0:1;q:2")
        }),
        (
            "note of a machine",
            progress_report("use_cpu").with(code::LEVEL, b"1.5"),
        ),
        (
            "test",
            Message::new(MessageKind::HealthCheck, ID).with(code::CAUSE, &[0]),
        ),
        (
            "tested",
            Message::new(MessageKind::HealthCheckReply, ID).with(code::CAUSE, &[1]),
        ),
    ]);
    assert_compatible(
        "message.hex.txt",
        &samples,
        |message| to_hex(&message.encode()),
        decode,
    );
}

#[test]
fn codes_and_causes_keep_their_numbers() {
    let numbers = [
        ("code CLASS", code::CLASS),
        ("code WAIT", code::TIMEOUT),
        ("code TENANT", code::TENANT),
        ("code RETRY", code::RETRY),
        ("code NAME", code::NAME),
        ("code ASKS", code::REQUESTED),
        ("code WORD", code::REASON),
        ("code LOAD", code::LOAD),
        ("code HINT", code::EXPECTED_DURATION),
        ("code FIGURE", code::LEVEL),
        ("code CAUSE", code::CAUSE),
        ("code DESCRIPTION", code::DESCRIPTION),
        ("cause NORMAL", cause::NORMAL),
        ("cause ENDED", cause::ENDED),
        ("cause FULL", cause::FULL),
        ("cause FAILED", cause::FAILED),
        ("cause CONGESTED", cause::CONGESTED),
        ("cause ERROR", cause::ERROR),
        ("cause CONTENT", cause::INVALID_CONTENT),
        ("cause MOOT", cause::NEVER_SENT),
    ];
    let encoded: Vec<(&str, String)> = numbers
        .into_iter()
        .map(|(name, number)| (name, number.to_string()))
        .collect();
    assert_encoded("numbers.txt", &encoded);
}

/// Bytes that the last step wrote, with their recipients.
fn written_bytes(harness: &Harness) -> String {
    let write = |output: &Output| match output {
        Output::WriteDownstream(_, bytes) => Some(format!("owner {}", to_hex(bytes))),
        Output::Upstream(PoolAction::Write(_, bytes) | PoolAction::Offer(_, _, bytes)) => {
            Some(format!("machine {}", to_hex(bytes)))
        }
        _ => None,
    };
    harness
        .outputs
        .iter()
        .filter_map(write)
        .collect::<Vec<_>>()
        .join(", ")
}

#[test]
fn gateway_keeps_the_bytes_that_it_writes() {
    let mut harness = Harness::new(1);
    let mut transcript = Vec::new();

    let (upstream, _) = harness.offer(full_set_up(RequestId(5)));
    transcript.push(("offer of a set-up", written_bytes(&harness)));
    harness.machine_sends(upstream, accepted(5));
    transcript.push(("answer passed on", written_bytes(&harness)));
    harness.client_sends(
        OWNER,
        Message::new(MessageKind::HealthCheck, RequestId(9)).with(code::CAUSE, &[0]),
    );
    transcript.push(("test of an owner", written_bytes(&harness)));
    harness.machine_sends(
        upstream,
        Message::new(MessageKind::HealthCheck, RequestId(9)).with(code::CAUSE, &[0]),
    );
    transcript.push(("test of a machine", written_bytes(&harness)));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    transcript.push(("end at the machine", written_bytes(&harness)));
    harness.machine_sends(upstream, release(99, cause::NORMAL));
    transcript.push(("end of an unknown task", written_bytes(&harness)));
    harness.client_sends(OWNER, Message::new(MessageKind::SetUp, RequestId(10)));
    transcript.push(("unreadable set-up", written_bytes(&harness)));

    let mut harness = Harness::new(1);
    harness.place(6, "web");
    harness.client_sends(OWNER, release(6, cause::NORMAL));
    transcript.push(("standing task ended by its owner", written_bytes(&harness)));

    let mut harness = Harness::new(1);
    harness.offer(set_up(7, "web"));
    harness.client_sends(OWNER, release(7, cause::NORMAL));
    transcript.push((
        "waiting set-up given up by its owner",
        written_bytes(&harness),
    ));

    let mut harness = Harness::new(1);
    let (upstream, _) = harness.offer(set_up(8, "web"));
    harness.machine_sends(
        upstream,
        release(8, cause::FULL).with(code::REASON, b"lack_cpu"),
    );
    harness.advance(7.0, Dials::Unanswered);
    transcript.push((
        "set-up that no machine has room for",
        written_bytes(&harness),
    ));

    let mut harness = Harness::new(1);
    let (upstream, _) = harness.offer(set_up(8, "slot"));
    harness.machine_sends(upstream, release(8, cause::ERROR));
    transcript.push((
        "set-up that may have run and must not run twice",
        written_bytes(&harness),
    ));

    let mut harness = Harness::new(1);
    harness.place(11, "web");
    harness.advance(2.0, Dials::Unanswered);
    transcript.push(("test of a silent machine", written_bytes(&harness)));
    harness.advance(5.9, Dials::Unanswered);
    transcript.push(("task lost with its machine", written_bytes(&harness)));

    let mut harness = Harness::new(1);
    harness.step(Input::Shutdown);
    harness.now += 0.8;
    harness
        .gateway
        .step(harness.now, [Input::Tick], &mut harness.outputs);
    harness
        .gateway
        .step(harness.now, [Input::ListeningStopped], &mut harness.outputs);
    harness.outputs.clear();
    harness.gateway.step(
        harness.now,
        [Input::DownstreamMessage(OWNER, set_up(12, "web"))],
        &mut harness.outputs,
    );
    transcript.push(("set-up during shutdown", written_bytes(&harness)));

    assert!(
        transcript.iter().all(|(_, bytes)| !bytes.is_empty()),
        "each step must write: {transcript:#?}"
    );
    assert_encoded("gateway.hex.txt", &transcript);
}

#[test]
fn all_fields_of_a_set_up_are_parsed() {
    let mut site = site();
    site.tenants = vec!["tenant-0".into(), "tenant-1".into()];
    let parsed = task_request::parse(&site, 1000.0, &full_set_up(ID)).expect("a valid set-up");
    assert_eq!(parsed.task.class, 1);
    assert_eq!(parsed.task.tenant, 1);
    assert_eq!(parsed.task.service, ServiceId(0x11ec_c33b_f6dd_cb2e));
    assert_eq!(parsed.task.deadline, 1006.0);
    assert_eq!(parsed.task.expected_duration, Some(8.2));
    assert_eq!(parsed.task.request.cpu, 1.5);
    assert_eq!(parsed.task.request.memory, 2.25);
    assert!(parsed.task.is_resubmission);
    assert_eq!(parsed.placed_at, None);
    assert!(!task_request::is_handover(&full_set_up(ID)));
}

#[test]
fn a_handover_contains_the_name_of_its_machine() {
    let message = common::handover(5, "machine-1");
    assert!(task_request::is_handover(&message));
    let parsed = task_request::parse(&site(), 1000.0, &message).expect("a valid set-up");
    assert_eq!(parsed.placed_at.as_deref(), Some("machine-1"));
    assert_eq!(parsed.task.deadline, f64::INFINITY);
}

#[test]
fn parameters_for_schedulers_only_are_not_forwarded() {
    let codes: Vec<u8> = task_request::forwarded_parameters(full_set_up(ID))
        .iter()
        .map(|(code, _)| code)
        .collect();
    assert_eq!(codes, [180, 183, 186, 192, 225]);
}

#[test]
fn failure_reasons_of_machines_are_parsed() {
    let reasons = [
        ("lack_cpu", FailureCause::InsufficientCpu),
        ("lack_ram", FailureCause::InsufficientMemory),
        ("backlog", FailureCause::QueueFull),
        ("unfit", FailureCause::NotEligible),
        ("killed", FailureCause::Evicted),
        ("displaced", FailureCause::Preempted),
        ("dismissed", FailureCause::Drained),
        ("another", FailureCause::Unspecified),
    ];
    for (text, expected) in reasons {
        assert_eq!(
            machine_report::failure_cause(&progress_report(text)),
            expected,
            "{text}"
        );
    }
}

#[test]
fn progress_reports_of_machines_are_parsed() {
    let kinds = [
        ("running", Some(AttemptProgress::Started)),
        ("use_cpu", Some(AttemptProgress::CpuUsage(1.5))),
        ("use_ram", Some(AttemptProgress::MemoryUsage(1.5))),
        ("health", Some(AttemptProgress::ServiceLevel(1.5))),
        (
            "ram_high",
            Some(AttemptProgress::MachineMemoryUtilization(1.5)),
        ),
        ("another", None),
    ];
    for (text, expected) in kinds {
        assert_eq!(
            machine_report::attempt_progress(&progress_report(text).with(code::LEVEL, b"1.5")),
            expected,
            "{text}"
        );
    }
}

#[test]
fn all_values_of_a_load_report_are_parsed() {
    let report = |text: &str| {
        machine_report::load_report(
            &Message::new(MessageKind::Accepted, ID).with(code::LOAD, text.as_bytes()),
        )
    };
    let expected = LoadReport {
        free_cpu: Some(1.5),
        free_memory: Some(2.5),
        queued: Some(3.0),
        cpu_utilization: Some(0.25),
    };
    assert_eq!(report("x0:1.5;x1:2.5;q:3;busy:0.25"), Some(expected));
    assert_eq!(report("x0:1.5;x1:2.5;queue:3;busy:0.25"), Some(expected));
    assert_eq!(report("another:1"), None);
}

#[test]
fn all_fields_of_a_discovery_event_are_parsed() {
    let text = include_str!("fixtures/discovery_event.json");
    let event = discovery::parse_event(&site(), text).expect("a valid event");
    assert_eq!((event.revision, event.is_complete_list), (7, true));
    let [first, second, third] = event.endpoints.as_slice() else {
        panic!("three machines")
    };
    assert_eq!(
        (first.name.as_str(), first.address.as_str()),
        ("machine-1", "127.0.1.1:9")
    );
    assert_eq!(first.endpoint.machine.0, 0x060f_8ad2_44c8_fb38);
    assert_eq!(
        (
            first.endpoint.machine_type,
            first.endpoint.cell,
            first.endpoint.zone
        ),
        (0, 3, 1)
    );
    assert_eq!(first.endpoint.status, EndpointStatus::Ready);
    assert_eq!(first.endpoint.started_at, Some(12.5));
    assert_eq!(
        (
            first.endpoint.unclaimed.cpu,
            first.endpoint.unclaimed.memory
        ),
        (30.5, 60.25)
    );
    assert_eq!(second.endpoint.status, EndpointStatus::Draining);
    assert_eq!(third.endpoint.status, EndpointStatus::Gone);
}
