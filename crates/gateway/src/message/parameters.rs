//! Parameters of a message, kept as they are encoded.

use super::MAX_MESSAGE_BYTES;

/// Size of a parameter's code and length, in bytes.
const PARAMETER_HEADER_BYTES: usize = 3;

/// The parameters of a message in the order of the wire; a code may repeat. Takes as much memory as on the wire,
/// however many there are: a vector for each would need sixteen times as much for a message of one-byte values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters {
    encoded: Vec<u8>,
}

impl Parameters {
    /// Parses encoded parameters; `None` if the last one doesn't end where the bytes end.
    pub fn parse(encoded: &[u8]) -> Option<Self> {
        let mut rest = encoded;
        while let Some((_, _, after)) = split_first(rest) {
            rest = after;
        }
        rest.is_empty().then(|| Self {
            encoded: encoded.to_vec(),
        })
    }

    /// Adds a parameter. A value longer than [`MAX_MESSAGE_BYTES`] is truncated, as no peer would accept it.
    pub fn push(&mut self, code: u8, value: &[u8]) {
        let value = &value[..value.len().min(MAX_MESSAGE_BYTES)];
        self.encoded.push(code);
        self.encoded.extend((value.len() as u16).to_be_bytes());
        self.encoded.extend(value);
    }

    /// Value of the first parameter with this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.iter()
            .find(|(found, _)| *found == code)
            .map(|(_, value)| value)
    }

    /// Code and value of each parameter.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest = self.encoded.as_slice();
        std::iter::from_fn(move || {
            let (code, value, after) = split_first(rest)?;
            rest = after;
            Some((code, value))
        })
    }

    /// Keeps the parameters whose code satisfies the condition.
    pub fn retain(&mut self, condition: impl Fn(u8) -> bool) {
        let mut kept = Self::default();
        for (code, value) in self.iter().filter(|(code, _)| condition(*code)) {
            kept.push(code, value);
        }
        *self = kept;
    }

    /// The parameters as on the wire.
    pub fn encoded(&self) -> &[u8] {
        &self.encoded
    }
}

/// Code and value of the first parameter, and the bytes after it; `None` if the bytes don't hold a whole one.
fn split_first(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (&[code, high, low], rest) = bytes.split_first_chunk::<PARAMETER_HEADER_BYTES>()?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([high, low])))?;
    Some((code, value, rest))
}
