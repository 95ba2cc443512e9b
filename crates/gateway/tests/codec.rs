//! Bytes to messages and back, whatever the bytes are. proptest prints the seed of what fails.

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

fn messages() -> impl Strategy<Value = Message> {
    let parameters = prop::collection::vec(
        (any::<u8>(), prop::collection::vec(any::<u8>(), 0..300)),
        0..6,
    );
    (kinds(), any::<u64>(), parameters).prop_map(|(kind, id, parameters)| Message {
        kind,
        id: RequestId(id),
        parameters,
    })
}

fn all(decoder: &mut Decoder) -> Result<Vec<Message>, MessageError> {
    let mut read = Vec::new();
    while let Some(message) = decoder.next_message()? {
        read.push(message);
    }
    Ok(read)
}

proptest! {
    #[test]
    fn what_is_written_is_read_however_it_is_cut(
        sent in prop::collection::vec(messages(), 1..5),
        cuts in prop::collection::vec(1usize..40, 1..200),
    ) {
        let bytes: Vec<u8> = sent.iter().flat_map(Message::encode).collect();
        let mut decoder = Decoder::default();
        let (mut read, mut rest) = (Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*cut).min(rest.len()));
            decoder.feed(part);
            read.extend(all(&mut decoder).unwrap());
            rest = after;
        }
        prop_assert_eq!(read, sent);
        prop_assert!(!decoder.has_partial_message());
    }

    #[test]
    fn no_bytes_do_harm(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        if let Ok(read) = all(&mut decoder) {
            let again: Vec<u8> = read.iter().flat_map(Message::encode).collect();
            prop_assert_eq!(&bytes[..again.len()], again.as_slice());
        }
    }

    #[test]
    fn a_message_cut_short_is_none(message in messages(), part in 0.0f64..1.0) {
        let bytes = message.encode();
        let mut decoder = Decoder::default();
        decoder.feed(&bytes[..(bytes.len() as f64 * part) as usize]);
        prop_assert_eq!(decoder.next_message(), Ok(None));
    }
}

#[test]
fn lengths_and_parameters_that_do_not_fit_are_told() {
    let read = |bytes: &[u8]| {
        let mut decoder = Decoder::default();
        decoder.feed(bytes);
        decoder.next_message()
    };
    assert_eq!(read(&[0, 8, 1]), Err(MessageError::Length(8)));
    let long = (MAX_MESSAGE_BYTES as u16 + 1).to_be_bytes();
    assert_eq!(
        read(&long),
        Err(MessageError::Length(MAX_MESSAGE_BYTES + 1)),
        "before the rest of it is there"
    );
    assert_eq!(read(&[0, 9, 77]), Err(MessageError::Type(77)));
    // A parameter that says it has three bytes, where one is left.
    let mut bytes = vec![0, 13, 12];
    bytes.extend(7u64.to_be_bytes());
    bytes.extend([222, 0, 3, 16]);
    assert_eq!(read(&bytes), Err(MessageError::Parameters(RequestId(7))));
}
