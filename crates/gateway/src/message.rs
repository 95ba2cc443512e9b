//! The platform's messages: framing and parameters, encoded and decoded. Any bytes can be decoded without harm.
//!
//! A message is a length of two bytes, a type of one, the task's id of eight, and parameters: a code of one byte, a
//! length of two and the value. All numbers are big-endian.

mod codes;

pub use codes::{cause, code};

/// Bound on the bytes of a message after its length.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Bytes of the type and the task's id, which every message has.
const HEADER_BYTES: usize = 9;

/// A request's id on the platform: 16 hex digits there, eight bytes here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a message is, by its type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A task to place, or to adopt from the machine that holds it.
    SetUp,
    /// No meaning here; ignored.
    Progress,
    /// The task is placed.
    Accepted,
    /// A rejection, the end of a task, or a cancelled set-up, by its cause.
    Release,
    /// Acknowledges a release.
    ReleaseAck,
    /// A health check of the connection.
    HealthCheck,
    /// Answers a health check, by its cause.
    HealthCheckReply,
    /// Progress of a placed task.
    ProgressReport,
    /// A placed task is migrated: it ends, and its owner submits it again.
    Migrate,
}

impl MessageKind {
    const ALL: [(u8, Self); 9] = [
        (1, Self::SetUp),
        (6, Self::Progress),
        (9, Self::Accepted),
        (12, Self::Release),
        (16, Self::ReleaseAck),
        (52, Self::HealthCheck),
        (53, Self::HealthCheckReply),
        (44, Self::ProgressReport),
        (51, Self::Migrate),
    ];

    fn of(number: u8) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(n, _)| *n == number)
            .map(|(_, kind)| *kind)
    }

    fn number(self) -> u8 {
        Self::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or(0, |(n, _)| *n)
    }
}

/// A message. The lengths of its parameters were checked when it was decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: MessageKind,
    /// The task that it is about.
    pub id: RequestId,
    /// Its parameters, in order: code and value.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// A message without parameters.
    pub fn new(kind: MessageKind, id: RequestId) -> Self {
        Self {
            kind,
            id,
            parameters: Vec::new(),
        }
    }

    /// Adds a parameter. A value longer than [`MAX_MESSAGE_BYTES`] is truncated, as no peer accepts it.
    #[must_use]
    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.parameters
            .push((code, value[..value.len().min(MAX_MESSAGE_BYTES)].to_vec()));
        self
    }

    /// A release with this cause.
    pub fn release(id: RequestId, cause: u8) -> Self {
        Self::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// The value of the first parameter of this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value.as_slice())
    }

    /// The value of the first parameter of this code as text; `None` also where it is no UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, if there is one of one byte.
    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE)
            .and_then(|value| <[u8; 1]>::try_from(value).ok())
            .map(|[cause]| cause)
    }

    /// The message's bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let length = HEADER_BYTES
            + self
                .parameters
                .iter()
                .map(|(_, value)| 3 + value.len())
                .sum::<usize>();
        let mut bytes = Vec::with_capacity(2 + length);
        bytes.extend((length as u16).to_be_bytes());
        bytes.push(self.kind.number());
        bytes.extend(self.id.0.to_be_bytes());
        for (code, value) in &self.parameters {
            bytes.push(*code);
            bytes.extend((value.len() as u16).to_be_bytes());
            bytes.extend(value);
        }
        bytes
    }
}

/// Why bytes are no message. Nothing after them can be read: the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The length is below the header's, or above [`MAX_MESSAGE_BYTES`].
    #[error("a message of {0} bytes, {HEADER_BYTES} to {MAX_MESSAGE_BYTES} are allowed")]
    Length(usize),
    /// The type is not known.
    #[error("a message of type {0}, which is not known")]
    Type(u8),
    /// The parameters do not fill the message, which is for this task.
    #[error("a message for task {0} whose parameters do not fill it")]
    Parameters(RequestId),
}

/// Decodes messages from a stream of bytes. Holds at most one incomplete message and the bytes that were fed last.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Adds bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_MESSAGE_BYTES / 4 {
            // There are many connections, and most hold no bytes most of the time.
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether bytes are left that were not decoded yet.
    pub fn has_partial_message(&self) -> bool {
        self.read < self.bytes.len()
    }

    /// Decodes the next complete message, if there is one.
    ///
    /// # Errors
    /// Fails if the bytes are no message; the decoder can't be used after that.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let rest = &self.bytes[self.read..];
        let Some(&[high, low]) = rest.first_chunk::<2>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(MessageError::Length(length));
        }
        let kind = match rest.get(2) {
            None => return Ok(None),
            Some(&number) => MessageKind::of(number).ok_or(MessageError::Type(number))?,
        };
        let Some(body) = rest.get(2..2 + length) else {
            return Ok(None);
        };
        let Some((head, mut rest)) = body.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let id = RequestId(
            head[1..]
                .iter()
                .fold(0, |id, &byte| id << 8 | u64::from(byte)),
        );
        let mut message = Message::new(kind, id);
        while let Some((&[code, high, low], after)) = rest.split_first_chunk::<3>() {
            let value = after.split_at_checked(usize::from(u16::from_be_bytes([high, low])));
            let Some((value, after)) = value else {
                return Err(MessageError::Parameters(id));
            };
            message.parameters.push((code, value.to_vec()));
            rest = after;
        }
        if !rest.is_empty() {
            return Err(MessageError::Parameters(id));
        }
        self.read += 2 + length;
        if self.read == self.bytes.len() {
            self.bytes.clear();
            self.read = 0;
        }
        Ok(Some(message))
    }
}
