//! Properties of the message codec for arbitrary messages and bytes. proptest prints the seed of a failure.

use proptest::prelude::*;
use tidespur_gateway::message::{
    Decoder, MAX_MESSAGE_BYTES, Message, MessageError, MessageKind, RequestId,
};

fn kinds() -> impl Strategy<Value = MessageKind> {
    prop::sample::select(vec![
        MessageKind::SetUp,
        MessageKind::Progress,
        MessageKind::Accepted,
        MessageKind::Release,
        MessageKind::ReleaseAck,
        MessageKind::HealthCheck,
        MessageKind::HealthCheckReply,
        MessageKind::ProgressReport,
        MessageKind::Migrate,
    ])
}

type ParameterList = Vec<(u8, Vec<u8>)>;

fn parameter_lists() -> impl Strategy<Value = ParameterList> {
    prop::collection::vec(
        (any::<u8>(), prop::collection::vec(any::<u8>(), 0..300)),
        0..6,
    )
}

fn message(kind: MessageKind, id: u64, parameters: &ParameterList) -> Message {
    let empty = Message::new(kind, RequestId(id));
    parameters
        .iter()
        .fold(empty, |message, (code, value)| message.with(*code, value))
}

fn messages() -> impl Strategy<Value = Message> {
    (kinds(), any::<u64>(), parameter_lists())
        .prop_map(|(kind, id, parameters)| message(kind, id, &parameters))
}

fn decode_all(decoder: &mut Decoder) -> Result<Vec<Message>, MessageError> {
    let mut decoded = Vec::new();
    while let Some(message) = decoder.next_message()? {
        decoded.push(message);
    }
    Ok(decoded)
}

proptest! {
    #[test]
    fn decoded_parameters_are_those_that_were_added(kind in kinds(), id: u64, parameters in parameter_lists()) {
        let mut decoder = Decoder::default();
        decoder.feed(&message(kind, id, &parameters).encode());
        let decoded = decoder.next_message().unwrap().unwrap();
        let list: ParameterList = decoded
            .parameters
            .iter()
            .map(|(code, value)| (code, value.to_vec()))
            .collect();
        prop_assert_eq!(list, parameters);
    }

    #[test]
    fn encoded_messages_are_decoded_from_any_split(
        sent in prop::collection::vec(messages(), 1..5),
        sizes in prop::collection::vec(1usize..40, 1..200),
    ) {
        let bytes: Vec<u8> = sent.iter().flat_map(Message::encode).collect();
        let mut decoder = Decoder::default();
        let (mut decoded, mut rest) = (Vec::new(), bytes.as_slice());
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*size).min(rest.len()));
            decoder.feed(part);
            decoded.extend(decode_all(&mut decoder).unwrap());
            rest = after;
        }
        prop_assert_eq!(decoded, sent);
        prop_assert!(!decoder.has_partial_message());
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        if let Ok(decoded) = decode_all(&mut decoder) {
            let encoded: Vec<u8> = decoded.iter().flat_map(Message::encode).collect();
            prop_assert_eq!(&bytes[..encoded.len()], encoded.as_slice());
        }
    }

    #[test]
    fn a_truncated_message_is_incomplete(message in messages(), part in 0.0f64..1.0) {
        let bytes = message.encode();
        let mut decoder = Decoder::default();
        decoder.feed(&bytes[..(bytes.len() as f64 * part) as usize]);
        prop_assert_eq!(decoder.next_message(), Ok(None));
    }
}

#[test]
fn invalid_lengths_types_and_parameters_are_errors() {
    let decode = |bytes: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.feed(bytes);
        decoder.next_message()
    };
    assert_eq!(decode(&[0, 8, 1]), Err(MessageError::Length(8)));
    let long = (MAX_MESSAGE_BYTES as u16 + 1).to_be_bytes();
    assert_eq!(
        decode(&long),
        Err(MessageError::Length(MAX_MESSAGE_BYTES + 1)),
        "before the rest of the message arrives"
    );
    assert_eq!(decode(&[0, 9, 77]), Err(MessageError::Type(77)));
    // A parameter with a length of three bytes, of which only one follows.
    let mut bytes = vec![0, 13, 12];
    bytes.extend(7u64.to_be_bytes());
    bytes.extend([222, 0, 3, 16]);
    assert_eq!(decode(&bytes), Err(MessageError::Parameters(RequestId(7))));
}
