//! Limits on the memory that clients can use.

mod common;

use common::*;
use proptest::prelude::*;
use tidespur_gateway::input_queue::InputQueue;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::{DownstreamId, Input, Limits, MemoryLimits, Output};

/// Limit on the memory of the process: the lowest that the platform gives.
const PROCESS_BYTES: usize = 32_000_000;
const BAD_CLIENTS: u64 = 20;
const SET_UPS: u64 = 300;

fn limited(machines: u32, process_bytes: usize) -> Harness {
    let limits = Limits {
        downstreams: 64,
        memory: MemoryLimits::for_process(process_bytes),
        ..LIMITS
    };
    Harness::with_limits(machines, limits)
}

/// A set-up with a description of 15,000 bytes.
fn large_set_up(id: u64) -> Message {
    set_up(id, "web").with(250, &[b'?'; 15_000])
}

fn flood(harness: &mut Harness) -> Vec<Message> {
    let mut answers = Vec::new();
    for client in 0..BAD_CLIENTS {
        let client = DownstreamId(100 + client);
        harness.step(Input::DownstreamOpened(client, address(9)));
        for n in 0..SET_UPS {
            harness.client_sends(client, large_set_up((client.0 << 16) + n));
            answers.extend(harness.sent_to(client));
        }
    }
    answers
}

/// Guards against clients that send hundreds of large set-ups and take the process over its limit on memory.
#[test]
fn set_ups_beyond_the_memory_of_pending_requests_are_rejected_at_once() {
    let mut harness = limited(1, PROCESS_BYTES);
    let answers = flood(&mut harness);
    let sizes = harness.gateway.sizes();
    assert!(sizes.pending_bytes <= PROCESS_BYTES / 4, "{sizes:?}");
    assert!(
        sizes.pending * 2 * 15_000 <= PROCESS_BYTES / 4,
        "a request is counted twice, as an offer holds a copy: {sizes:?}"
    );
    assert_eq!(
        answers.len() + sizes.pending,
        (BAD_CLIENTS * SET_UPS) as usize
    );
    assert!(answers.iter().all(|m| m.cause() == Some(cause::CONGESTED)));
    assert_eq!(
        harness.gateway.counts().rejected_for_memory,
        answers.len() as u64
    );
}

#[test]
fn a_client_with_small_set_ups_is_served_while_others_use_all_the_memory_they_can() {
    let mut harness = limited(1, PROCESS_BYTES);
    flood(&mut harness);
    for id in 1..=100 {
        harness.client_sends(OWNER, set_up(id, "web"));
        assert!(harness.sent_to(OWNER).is_empty(), "it is pending");
    }
}

#[test]
fn requests_that_are_placed_cancelled_or_lost_with_their_client_use_no_memory() {
    let mut harness = limited(1, PROCESS_BYTES);
    let (upstream, _) = harness.offer(large_set_up(5));
    assert!(harness.gateway.sizes().pending_bytes > 2 * 15_000);
    harness.machine_sends(upstream, accepted(5));
    assert_eq!(harness.gateway.sizes().pending_bytes, 0);
    harness.client_sends(OWNER, large_set_up(6));
    harness.client_sends(OWNER, release(6, cause::NORMAL));
    assert_eq!(harness.gateway.sizes().pending_bytes, 0);
    harness.client_sends(OTHER, large_set_up(7));
    harness.step(Input::DownstreamClosed(OTHER));
    assert_eq!(harness.gateway.sizes().pending_bytes, 0);
}

/// Guards against a client that hands over any number of tasks.
#[test]
fn the_number_of_adopted_tasks_follows_from_the_memory_of_the_process() {
    let max_tasks = MemoryLimits::for_process(PROCESS_BYTES).max_placed;
    assert!(max_tasks < 20_000);
    let mut harness = limited(4, PROCESS_BYTES);
    let handovers = (1..=20_000)
        .map(|id| Input::DownstreamMessage(OTHER, handover(id, &format!("s-{}", id % 4 + 1))));
    harness
        .gateway
        .step(harness.now, handovers, &mut harness.outputs);
    assert_eq!(harness.gateway.sizes().requests, max_tasks);
    assert_eq!(harness.sent_to(OTHER).len(), 20_000 - max_tasks);
}

/// Guards against messages that take far more memory than they have bytes on the wire.
#[test]
fn a_message_of_many_short_parameters_takes_as_much_memory_as_on_the_wire() {
    let mut message = set_up(5, "web");
    (0..4_000).for_each(|_| message.parameters.push(250, b"x"));
    assert!(message.memory_bytes() <= message.encode().len() + size_of::<Message>());
}

#[test]
fn a_connection_reads_ahead_only_while_the_queue_has_room() {
    let mut queue = InputQueue::new(1_000_000);
    let [first, second] = [DownstreamId(1), DownstreamId(2)];
    assert!(
        queue.admits(first, 1 << 20),
        "the first read is always allowed"
    );
    let mut id = 0;
    while queue.admits(first, 16_384) {
        assert!(queue.queued_bytes() <= 1_000_000);
        id += 1;
        queue.push(Input::DownstreamMessage(first, large_set_up(id)));
    }
    assert!(id < 1_000_000 / 15_000, "it takes a part only");
    assert!(
        queue.admits(second, 16_384),
        "another one can still be read"
    );
    while !queue.is_empty() {
        queue.take_batch();
    }
    assert_eq!(queue.queued_bytes(), 0);
}

#[test]
fn a_queued_cancel_keeps_nothing_but_its_id() {
    let mut queue = InputQueue::default();
    queue.push(Input::DownstreamMessage(OWNER, set_up(5, "web")));
    let cancel = release(5, cause::NORMAL).with(code::DESCRIPTION, &[0; 16_000]);
    queue.push(Input::DownstreamMessage(OWNER, cancel));
    let inputs = queue.take_batch();
    let [_, Input::DownstreamMessage(client, cancel)] = inputs.as_slice() else {
        panic!("expected the set-up and its cancel: {inputs:?}");
    };
    assert_eq!(*client, OWNER);
    assert_eq!(*cancel, Message::new(MessageKind::Release, RequestId(5)));
}

proptest! {
    /// Whatever clients send and machines answer, the memory counted is that of the pending requests.
    #[test]
    fn the_memory_of_pending_requests_is_counted_exactly(
        steps in prop::collection::vec((0u8..5, 1u64..12, 0usize..15_000), 1..60),
    ) {
        let mut harness = limited(2, 8 << 20);
        for (kind, id, size) in steps {
            let client = if id % 2 == 0 { OWNER } else { OTHER };
            match kind {
                0 | 1 => drop(harness.client_sends(client, set_up(id, "web").with(250, &vec![0; size])).len()),
                2 => drop(harness.client_sends(client, release(id, cause::NORMAL)).len()),
                3 => for (upstream, _) in harness.dials() {
                    harness.step(Input::UpstreamOpened(upstream));
                    harness.machine_sends(upstream, accepted(id));
                },
                _ => harness.advance(1.0, Dials::Refused),
            }
            let sizes = harness.gateway.sizes();
            prop_assert!(sizes.pending_bytes <= (8 << 20) / 4);
            prop_assert!(sizes.pending_bytes >= sizes.pending * 1024);
            prop_assert!(sizes.pending > 0 || sizes.pending_bytes == 0);
        }
        harness.advance(10.0, Dials::Refused);
        prop_assert_eq!(harness.gateway.sizes().pending_bytes, 0);
    }
}

/// Guards against names of machines that do not exist, which take memory twice when the machines count as failed.
#[test]
fn of_a_machine_that_does_not_exist_only_the_start_of_its_name_is_kept() {
    let mut harness = Harness::new(1);
    harness.client_sends(OWNER, handover(5, &"é".repeat(7_000)));
    harness.advance(8.0, Dials::Unanswered);
    let lines = harness.outputs.iter().filter_map(|output| match output {
        Output::Log(line) => Some(line.len()),
        _ => None,
    });
    let longest = lines.max().expect("the failure is logged");
    assert!(longest < 300, "{longest} bytes");
}
