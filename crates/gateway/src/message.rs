//! Encoding and decoding of the platform's messages. The decoder accepts any input without a panic.
//!
//! A message is a length (2 bytes), a type (1 byte), the task's id (8 bytes) and parameters. A parameter is a code
//! (1 byte), a length (2 bytes) and a value. All numbers are big-endian.

mod codes;
mod parameters;

pub use codes::{cause, code};
pub use parameters::Parameters;

/// Maximum size of a message after its length field, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Size of the type and the task's id, which every message has, in bytes.
const HEADER_BYTES: usize = 9;

/// A request's id: 16 hex digits in the platform's texts, eight bytes in its messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A task to place, or to adopt from the machine that holds it.
    SetUp,
    /// Not used by this program; ignored.
    Progress,
    /// The task is placed.
    Accepted,
    /// A rejection, the end of a task, or the cancel of a set-up, as its cause tells.
    Release,
    /// Acknowledges [`MessageKind::Release`].
    ReleaseAck,
    /// Asks the peer for a [`MessageKind::HealthCheckReply`].
    HealthCheck,
    /// Answers [`MessageKind::HealthCheck`] with a cause.
    HealthCheckReply,
    /// Reports the progress of a placed task.
    ProgressReport,
    /// A placed task is migrated: it ends, and its owner resubmits it.
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

    fn from_number(number: u8) -> Option<Self> {
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

/// A message. A decoded one has parameters whose lengths add up to the length of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What the message asks for or reports.
    pub kind: MessageKind,
    /// The task that it is about; 0 in a health check.
    pub id: RequestId,
    /// What the message says of the task.
    pub parameters: Parameters,
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(kind: MessageKind, id: RequestId) -> Self {
        Self {
            kind,
            id,
            parameters: Parameters::default(),
        }
    }

    /// Adds a parameter. A value longer than [`MAX_MESSAGE_BYTES`] is truncated, as no peer would accept it.
    #[must_use]
    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.parameters.push(code, value);
        self
    }

    /// Creates a release with a cause of [`cause`].
    pub fn release(id: RequestId, cause: u8) -> Self {
        Self::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// Value of the first parameter with this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.get(code)
    }

    /// Value of the first parameter with this code as text; `None` also if it isn't UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// Value of the cause parameter; `None` if it is missing or isn't one byte long.
    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE)
            .and_then(|value| <[u8; 1]>::try_from(value).ok())
            .map(|[cause]| cause)
    }

    /// Memory that the message takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.parameters.encoded().len()
    }

    /// Encodes the message, with its length field.
    pub fn encode(&self) -> Vec<u8> {
        let parameters = self.parameters.encoded();
        let length = HEADER_BYTES + parameters.len();
        let mut bytes = Vec::with_capacity(2 + length);
        bytes.extend((length as u16).to_be_bytes());
        bytes.push(self.kind.number());
        bytes.extend(self.id.0.to_be_bytes());
        bytes.extend(parameters);
        bytes
    }
}

/// Why bytes are not a message. The rest of the stream can't be decoded either: the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The length is below the header's, or above [`MAX_MESSAGE_BYTES`].
    #[error("message length is {0} bytes; must be {HEADER_BYTES} to {MAX_MESSAGE_BYTES}")]
    Length(usize),
    /// The type is unknown.
    #[error("unknown message type {0}")]
    Type(u8),
    /// The parameters don't end where the message with this task's id ends.
    #[error("parameters of the message for task {0} don't end at its length")]
    Parameters(RequestId),
}

/// Decodes messages from a byte stream. Buffers at most one incomplete message and the bytes that were fed last.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Length of the decoded prefix of `bytes`.
    decoded: usize,
}

impl Decoder {
    /// Appends bytes that were read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_MESSAGE_BYTES / 4 {
            // Frees a large buffer: of many connections, most have no buffered bytes most of the time.
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether undecoded bytes are buffered.
    pub fn has_partial_message(&self) -> bool {
        self.decoded < self.bytes.len()
    }

    /// Decodes the next message; `None` if it is incomplete.
    ///
    /// # Errors
    /// Fails if the bytes are not a message; the decoder can't be used after that.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let rest = &self.bytes[self.decoded..];
        let Some(&[high, low]) = rest.first_chunk::<2>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(MessageError::Length(length));
        }
        let kind = match rest.get(2) {
            None => return Ok(None),
            Some(&number) => MessageKind::from_number(number).ok_or(MessageError::Type(number))?,
        };
        let Some(body) = rest.get(2..2 + length) else {
            return Ok(None);
        };
        let Some((head, rest)) = body.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let id = RequestId(
            head[1..]
                .iter()
                .fold(0, |id, &byte| id << 8 | u64::from(byte)),
        );
        let parameters = Parameters::parse(rest).ok_or(MessageError::Parameters(id))?;
        self.decoded += 2 + length;
        if self.decoded == self.bytes.len() {
            self.bytes.clear();
            self.decoded = 0;
        }
        Ok(Some(Message {
            kind,
            id,
            parameters,
        }))
    }
}
