//! All parsers that read what comes from outside. The first byte chooses one; whatever follows may be refused, but
//! must not panic, and what was read must be written and read again as the same.
#![no_main]

use libfuzzer_sys::fuzz_target;
use tidespur_api::decode::{self, FieldValidation};
use tidespur_api::resource::RESOURCES;
use tidespur_api::selector::Selector;
use tidespur_api::{quantity, validate};
use tidespur_planner_protocol::{Decoder, ToEdge, ToPlanner, encode};

fn frames<T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug>(
    data: &[u8],
) {
    let mut decoder = Decoder::default();
    // In two parts, as a socket may bring it.
    let (a, b) = data.split_at(data.len() / 2);
    decoder.feed(a);
    let _ = decoder.next_message::<T>();
    decoder.feed(b);
    while let Ok(Some(message)) = decoder.next_message::<T>() {
        let Ok(bytes) = encode(&message) else {
            continue;
        };
        let mut again = Decoder::default();
        again.feed(&bytes);
        assert!(matches!(again.next_message::<T>(), Ok(Some(_))));
    }
}

fn platform(data: &[u8]) {
    let mut decoder = tidespur_gateway::message::Decoder::default();
    let (a, b) = data.split_at(data.len() / 2);
    decoder.feed(a);
    let first = decoder.next_message();
    decoder.feed(b);
    if first.is_err() {
        return;
    }
    let mut read: Vec<u8> = first
        .into_iter()
        .flatten()
        .flat_map(|message| message.encode())
        .collect();
    while let Ok(Some(message)) = decoder.next_message() {
        read.extend(message.encode());
    }
    assert!(data.starts_with(&read));
}

fuzz_target!(|data: &[u8]| {
    let Some((first, data)) = data.split_first() else {
        return;
    };
    let text = std::str::from_utf8(data).unwrap_or("");
    match first % 7 {
        0 => frames::<ToEdge>(data),
        1 => frames::<ToPlanner>(data),
        2 => {
            if let Ok(amount) = quantity::parse(text) {
                assert!(amount.is_finite() && amount >= 0.0);
            }
        }
        4 => platform(data),
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
