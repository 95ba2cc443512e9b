//! Messages of the platform's protocol.

use std::io::{self, Read};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const HEARD: u8 = 16;
pub const TEST: u8 = 52;
pub const TEST_PASSED: u8 = 53;

pub const CLASS: u8 = 180;
pub const TIMEOUT: u8 = 183;
pub const RETRY: u8 = 189;
pub const NAME: u8 = 192;
pub const REQUESTED: u8 = 195;
pub const REASON: u8 = 201;
pub const LOAD: u8 = 207;
pub const HINT: u8 = 210;
pub const CAUSE: u8 = 222;
pub const DESCRIPTION: u8 = 225;

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub id: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, id: u64) -> Self {
        Self {
            kind,
            id,
            parameters: Vec::new(),
        }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.parameters.push((code, value.to_vec()));
        self
    }

    pub fn release(id: u64, cause: u8) -> Self {
        Self::new(RELEASE, id).with(CAUSE, &[cause])
    }

    pub fn text(&self, code: u8) -> String {
        let found = self.parameters.iter().find(|(found, _)| *found == code);
        found.map_or(String::new(), |(_, value)| {
            String::from_utf8_lossy(value).into_owned()
        })
    }

    pub fn cause(&self) -> u8 {
        let found = self.parameters.iter().find(|(found, _)| *found == CAUSE);
        found
            .and_then(|(_, value)| value.first())
            .copied()
            .unwrap_or(0)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.id.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes the first message of `bytes` and its length there; `None` if it is not whole yet.
    pub fn decode(bytes: &[u8]) -> Option<(Self, usize)> {
        let length = usize::from(u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]));
        let body = bytes.get(2..2 + length)?;
        let mut message = Self::new(
            *body.first()?,
            u64::from_be_bytes(body.get(1..9)?.try_into().ok()?),
        );
        let mut rest = &body[9..];
        while rest.len() >= 3 {
            let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            let value = rest.get(3..3 + size)?;
            message.parameters.push((rest[0], value.to_vec()));
            rest = &rest[3 + size..];
        }
        Some((message, 2 + length))
    }

    /// Reads one message; `None` at the end of the stream.
    pub fn read(stream: &mut impl Read) -> io::Result<Option<Self>> {
        let mut head = [0; 2];
        if let Err(error) = stream.read_exact(&mut head) {
            return match error.kind() {
                io::ErrorKind::UnexpectedEof => Ok(None),
                _ => Err(error),
            };
        }
        let mut bytes = head.to_vec();
        bytes.resize(2 + usize::from(u16::from_be_bytes(head)), 0);
        stream.read_exact(&mut bytes[2..])?;
        Self::decode(&bytes)
            .map(|(message, _)| Some(message))
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "not a message"))
    }
}

/// The value of `key` in `key:value;key:value`.
pub fn field(text: &str, key: &str) -> Option<f64> {
    let fields = text.split(';').filter_map(|field| field.split_once(':'));
    fields
        .filter(|(found, _)| *found == key)
        .find_map(|(_, value)| value.parse().ok())
}
