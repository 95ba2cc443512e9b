//! Fuzz target of all parsers of input from peers and clients. The first byte selects the parser. The rest may be
//! rejected but must not cause a panic, and a parsed message must survive encoding and parsing again.
#![no_main]

use libfuzzer_sys::fuzz_target;
use tidespur_api::decode::{self, FieldValidation};
use tidespur_api::resource::RESOURCES;
use tidespur_api::selector::Selector;
use tidespur_api::{quantity, validate};
use tidespur_planner_protocol::{Decoder, ToEdge, ToPlanner, encode};

fn planner_messages<
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
>(
    data: &[u8],
) {
    let mut decoder = Decoder::default();
    // Fed in two parts, as it may arrive from a socket.
    let (head, tail) = data.split_at(data.len() / 2);
    decoder.feed(head);
    let _ = decoder.next_message::<T>();
    decoder.feed(tail);
    while let Ok(Some(message)) = decoder.next_message::<T>() {
        let Ok(bytes) = encode(&message) else {
            continue;
        };
        let mut second_decoder = Decoder::default();
        second_decoder.feed(&bytes);
        assert!(matches!(second_decoder.next_message::<T>(), Ok(Some(_))));
    }
}

fn gateway_messages(data: &[u8]) {
    let mut decoder = tidespur_gateway::message::Decoder::default();
    let (head, tail) = data.split_at(data.len() / 2);
    decoder.feed(head);
    let first = decoder.next_message();
    decoder.feed(tail);
    if first.is_err() {
        return;
    }
    let mut encoded: Vec<u8> = first
        .into_iter()
        .flatten()
        .flat_map(|message| message.encode())
        .collect();
    while let Ok(Some(message)) = decoder.next_message() {
        encoded.extend(message.encode());
    }
    assert!(data.starts_with(&encoded));
}

fuzz_target!(|data: &[u8]| {
    let Some((first, data)) = data.split_first() else {
        return;
    };
    let text = std::str::from_utf8(data).unwrap_or("");
    match first % 7 {
        0 => planner_messages::<ToEdge>(data),
        1 => planner_messages::<ToPlanner>(data),
        2 => {
            if let Ok(amount) = quantity::parse(text) {
                assert!(amount.is_finite() && amount >= 0.0);
            }
        }
        4 => gateway_messages(data),
        5 => {
            let mut events = tidespur_gateway::discovery::EventStreamDecoder::default();
            for line in data.split(|&byte| byte == b'\n') {
                let Ok(event) = events.push_line(line) else {
                    return;
                };
                assert!(event.is_none_or(|event| !event.is_empty()));
            }
        }
        3 => drop(Selector::parse(Some(text), Some(text))),
        _ => {
            let resource = &RESOURCES[data.len() % RESOURCES.len()];
            if let Ok((object, _)) = decode::object(resource, data, FieldValidation::default()) {
                let _ = validate::check(resource, &object, None, &[]);
            }
        }
    }
});
