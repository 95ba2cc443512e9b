//! The platform's messages: frames and parameters, from bytes and back. Takes any bytes without harm.

mod codes;

pub use codes::{cause, code};

/// A message may hold so many bytes after its length.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Type and task, which every message has.
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
    /// A task to place, or one that a machine already holds.
    SetUp,
    /// Free; means nothing.
    Progress,
    /// The task stands.
    Answer,
    /// A refusal, a release, or a set-up given up, by its cause.
    Release,
    /// Free; the release was heard.
    Heard,
    /// Asks whether the connection works.
    Test,
    /// It does, or not, by its cause.
    Tested,
    /// News of a task that stands.
    Note,
    /// A standing task ends; its owner comes again.
    Move,
}

impl MessageKind {
    const ALL: [(u8, Self); 9] = [
        (1, Self::SetUp),
        (6, Self::Progress),
        (9, Self::Answer),
        (12, Self::Release),
        (16, Self::Heard),
        (52, Self::Test),
        (53, Self::Tested),
        (44, Self::Note),
        (51, Self::Move),
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

/// A message as it came: its parameters are as long as they say and no longer than the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: MessageKind,
    /// The task that it names.
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

    /// The same with one parameter more. A value beyond [`MAX_MESSAGE_BYTES`] is cut to it, as no peer reads it.
    #[must_use]
    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.parameters
            .push((code, value[..value.len().min(MAX_MESSAGE_BYTES)].to_vec()));
        self
    }

    /// A release, or a set-up given up.
    pub fn release(id: RequestId, cause: u8) -> Self {
        Self::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// The first parameter of this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value.as_slice())
    }

    /// The first parameter of this code as text; `None` also where it is no UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, where one is given.
    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE)
            .and_then(|value| <[u8; 1]>::try_from(value).ok())
            .map(|[cause]| cause)
    }

    /// Its bytes.
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

/// Why bytes are no message. Nothing after them can be read: the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// A length below the head's, or above [`MAX_MESSAGE_BYTES`].
    Length(usize),
    /// A type that is not known.
    Type(u8),
    /// Parameters that do not fill the message, of this task.
    Parameters(RequestId),
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Length(n) => write!(
                f,
                "a message of {n} bytes, {HEADER_BYTES} to {MAX_MESSAGE_BYTES} are allowed"
            ),
            Self::Type(n) => write!(f, "a message of type {n}, which is not known"),
            Self::Parameters(id) => {
                write!(f, "a message for task {id} whose parameters do not fill it")
            }
        }
    }
}

impl std::error::Error for MessageError {}

/// Takes in bytes as they come and gives out whole messages. Holds at most one unfinished message and what was
/// fed last.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_MESSAGE_BYTES / 4 {
            // Most connections hold nothing most of the time, and there are many.
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether an unfinished message waits for its rest.
    pub fn has_partial_message(&self) -> bool {
        self.read < self.bytes.len()
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// The bytes are no message; the decoder is of no further use.
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
