//! What a member knows of the fleet, for those who ask.

use crate::facts::Facts;
use crate::id::Id;
use crate::wire::Drop;
use std::collections::BTreeMap;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It answers.
    Live,
    /// It did not answer somebody; it has a while to say that it lives.
    Doubted,
    /// It was given up.
    Lost,
    /// It ended in order.
    Left,
}

impl Standing {
    /// Whether it counts as a member: one in doubt does.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Live | Self::Doubted)
    }

    /// Its word in tables and logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Doubted => "doubted",
            Self::Lost => "lost",
            Self::Left => "left",
        }
    }
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Who.
    pub id: Id,
    /// How it stands.
    pub standing: Standing,
    /// Since when, in seconds of the asked member's clock.
    pub since: f64,
    /// What it tells of itself, once that has come.
    pub facts: Option<Facts>,
    /// When these came.
    pub told_at: f64,
}

/// The fleet as one member sees it, itself included.
#[derive(Clone, Debug)]
pub struct View {
    /// Whose view it is.
    pub own: Id,
    /// All that are known, by name.
    pub members: Vec<Seen>,
    /// Every live member was heard to see the same live members as this one.
    pub settled: bool,
    /// Datagrams dropped, by cause.
    pub drops: BTreeMap<Drop, u64>,
    /// How often this member was given up by others and came back.
    pub rejoins: u64,
    /// How often it stood still for longer than a member may.
    pub stalls: u64,
}

impl View {
    /// Those that count as members.
    pub fn live(&self) -> impl Iterator<Item = &Seen> {
        self.members.iter().filter(|seen| seen.standing.is_live())
    }
}
