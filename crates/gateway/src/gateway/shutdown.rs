//! The word to end: what is still answered, and when the program ends.
//!
//! All that is taken gets its answer first. Then who has connected is accepted and nobody more, each connection is
//! looked at, what it still asks for is refused, and it is closed once it says nothing; the program ends when the last
//! one is. Guards against bytes that come in the moment of the end: a socket closed over unread bytes resets its
//! connection, and the reset may destroy an answer on its way.

use super::*;
use crate::downstream::Closing;

/// After the word to end, requests go on coming for so long (the platform's page).
const LEAVE_AFTER: Seconds = 0.7;
/// The platform kills no sooner than the longest deadline of the settings, or this where it is longer, and
/// `LEAVE_AFTER` more after the word (the same page).
const DEADLINE_MOST: Seconds = 3.0;
/// Of that time beyond `LEAVE_AFTER`, what is open may take this share. Until then the ends of what stands are passed
/// on too; then what is open is answered.
const ANSWERED_BY: f64 = 0.8;
/// By this share the connections are closed, and by the last one what was written has left.
const CLOSED_BY: f64 = 0.9;
const FLUSHED_BY: f64 = 0.97;

/// The word to end was given.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    at: Seconds,
    stage: Stages,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stages {
    /// Requests are taken as before.
    Serves,
    /// Nothing is open: who has connected is accepted, then nobody more.
    Unlistens,
    /// Each connection is closed once it says nothing.
    Closes,
    Ended,
}

impl Gateway {
    pub(super) fn leave(&mut self, now: Seconds) {
        self.leaving.get_or_insert(Leaving {
            at: now,
            stage: Stages::Serves,
        });
    }

    /// Whether what is asked now is refused at once, as the program ends.
    pub(super) fn ends(&self) -> bool {
        self.leaving
            .is_some_and(|leaving| leaving.stage != Stages::Serves)
    }

    /// Nobody connects any more.
    pub(super) fn unlistened(&mut self, out: &mut Vec<Output>) {
        if let Some(leaving) = &mut self.leaving {
            leaving.stage = Stages::Closes;
        }
        self.close_all(out);
    }

    /// Looks at all clients: those that say nothing are closed.
    fn close_all(&mut self, out: &mut Vec<Output>) {
        for client in self.downstreams.all() {
            if self.downstreams.closing(client).is_none() {
                self.downstreams.closes(client, Closing::End);
                out.push(Output::Look(client));
            }
        }
    }

    /// After the word to end: how far that is.
    pub(super) fn leave_on(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let Some(Leaving { at, stage }) = self
            .leaving
            .filter(|leaving| now > leaving.at + LEAVE_AFTER)
        else {
            return;
        };
        let [answered, closed, flushed] =
            [ANSWERED_BY, CLOSED_BY, FLUSHED_BY].map(|share| self.ends_by(at, share));
        match stage {
            Stages::Serves if now >= answered || self.table.count() == 0 => {
                self.answer_all(now, out);
                self.leaving = Some(Leaving {
                    at,
                    stage: Stages::Unlistens,
                });
                out.push(Output::StopListening);
            }
            Stages::Closes if now >= closed || self.downstreams.count() == 0 => {
                self.leaving = Some(Leaving {
                    at,
                    stage: Stages::Ended,
                });
                out.push(Output::End((flushed - now).max(0.0)));
            }
            Stages::Serves | Stages::Unlistens | Stages::Closes | Stages::Ended => {}
        }
    }

    /// When this share of the time that the platform gives is over.
    fn ends_by(&self, at: Seconds, share: f64) -> Seconds {
        let longest = self
            .site
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        at + LEAVE_AFTER + share * longest.min(DEADLINE_MOST)
    }

    /// When the next of it is due at the latest.
    pub(super) fn leaves_at(&self) -> Seconds {
        match self.leaving {
            Some(Leaving {
                at,
                stage: Stages::Serves,
            }) => self.ends_by(at, ANSWERED_BY),
            Some(Leaving {
                at,
                stage: Stages::Closes,
            }) => self.ends_by(at, CLOSED_BY),
            _ => f64::INFINITY,
        }
    }

    /// Time goes on: who said something when it was to be closed is looked at again.
    pub(super) fn close_on(&mut self, out: &mut Vec<Output>) {
        if self
            .leaving
            .is_some_and(|leaving| leaving.stage == Stages::Closes)
        {
            self.close_all(out);
        }
    }

    fn answer_all(&mut self, now: Seconds, out: &mut Vec<Output>) {
        for id in self.table.open() {
            let Some(Stage::Open {
                attempt,
                may_have_run,
                ..
            }) = self.table.get(id).map(|r| r.stage)
            else {
                continue;
            };
            // What may run can't be refused: its owner would ask again at once.
            let harmless = attempt.is_none() && !may_have_run;
            let word = if harmless {
                cause::CONGESTED
            } else {
                cause::FAILED
            };
            self.reply(id, Message::release(id, word).bytes(), out);
            self.cancel_request(now, id, out);
        }
    }
}
