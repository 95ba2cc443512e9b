//! The word to end: what is still answered, and when the program ends.
//!
//! All that is taken gets its answer first. Then who has connected is accepted and nobody more, each connection is
//! looked at, what it still asks for is refused, and it is closed once it says nothing; the program ends when the last
//! one is. Guards against bytes that come in the moment of the end: a socket closed over unread bytes resets its
//! connection, and the reset may destroy an answer on its way.

use super::{Gateway, Output};
use crate::downstream::CloseReason;
use crate::message::{Message, cause};
use crate::request_table::RequestState;
use tidespur_policy::interface::Seconds;

/// After the word to end, requests go on coming for so long (the platform's page).
const LATE_REQUEST_TIMEOUT: Seconds = 0.7;
/// The platform kills no sooner than the longest deadline of the settings, or this where it is longer, and
/// `LATE_REQUEST_TIMEOUT` more after the word (the same page).
const MAX_SHUTDOWN_DEADLINE: Seconds = 3.0;
/// Of that time beyond `LATE_REQUEST_TIMEOUT`, what is open may take this share. Until then the ends of what stands are passed
/// on too; then what is open is answered.
const ANSWERED_FRACTION: f64 = 0.8;
/// By this share the connections are closed, and by the last one what was written has left.
const CLOSED_FRACTION: f64 = 0.9;
const FLUSHED_FRACTION: f64 = 0.97;

/// The word to end was given.
#[derive(Clone, Copy, Debug)]
pub(super) struct GracefulShutdown {
    requested_at: Seconds,
    phase: ShutdownPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// Requests are taken as before.
    Serving,
    /// Nothing is open: who has connected is accepted, then nobody more.
    StoppingListener,
    /// Each connection is closed once it says nothing.
    ClosingClients,
    Finished,
}

impl Gateway {
    pub(super) fn begin_shutdown(&mut self, now: Seconds) {
        self.shutdown.get_or_insert(GracefulShutdown {
            requested_at: now,
            phase: ShutdownPhase::Serving,
        });
    }

    /// Whether what is asked now is refused at once, as the program ends.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown
            .is_some_and(|leaving| leaving.phase != ShutdownPhase::Serving)
    }

    /// Nobody connects any more.
    pub(super) fn listening_stopped(&mut self, outputs: &mut Vec<Output>) {
        if let Some(leaving) = &mut self.shutdown {
            leaving.phase = ShutdownPhase::ClosingClients;
        }
        self.check_all_clients(outputs);
    }

    /// Looks at all clients: those that say nothing are closed.
    fn check_all_clients(&mut self, outputs: &mut Vec<Output>) {
        for client in self.downstreams.ids() {
            if self.downstreams.close_reason(client).is_none() {
                self.downstreams.begin_close(client, CloseReason::Shutdown);
                outputs.push(Output::CheckDownstream(client));
            }
        }
    }

    /// After the word to end: how far that is.
    pub(super) fn advance_shutdown(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let Some(GracefulShutdown {
            requested_at: at,
            phase: stage,
        }) = self
            .shutdown
            .filter(|leaving| now > leaving.requested_at + LATE_REQUEST_TIMEOUT)
        else {
            return;
        };
        let [answered, closed, flushed] = [ANSWERED_FRACTION, CLOSED_FRACTION, FLUSHED_FRACTION]
            .map(|share| self.shutdown_deadline(at, share));
        match stage {
            ShutdownPhase::Serving if now >= answered || self.requests.count() == 0 => {
                self.answer_pending_requests(now, outputs);
                self.shutdown = Some(GracefulShutdown {
                    requested_at: at,
                    phase: ShutdownPhase::StoppingListener,
                });
                outputs.push(Output::StopListening);
            }
            ShutdownPhase::ClosingClients if now >= closed || self.downstreams.count() == 0 => {
                self.shutdown = Some(GracefulShutdown {
                    requested_at: at,
                    phase: ShutdownPhase::Finished,
                });
                outputs.push(Output::Exit((flushed - now).max(0.0)));
            }
            ShutdownPhase::Serving
            | ShutdownPhase::StoppingListener
            | ShutdownPhase::ClosingClients
            | ShutdownPhase::Finished => {}
        }
    }

    /// When this share of the time that the platform gives is over.
    fn shutdown_deadline(&self, at: Seconds, share: f64) -> Seconds {
        let longest = self
            .site
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        at + LATE_REQUEST_TIMEOUT + share * longest.min(MAX_SHUTDOWN_DEADLINE)
    }

    /// When the next of it is due at the latest.
    pub(super) fn next_shutdown_deadline(&self) -> Seconds {
        match self.shutdown {
            Some(GracefulShutdown {
                requested_at: at,
                phase: ShutdownPhase::Serving,
            }) => self.shutdown_deadline(at, ANSWERED_FRACTION),
            Some(GracefulShutdown {
                requested_at: at,
                phase: ShutdownPhase::ClosingClients,
            }) => self.shutdown_deadline(at, CLOSED_FRACTION),
            _ => f64::INFINITY,
        }
    }

    /// Time goes on: who said something when it was to be closed is looked at again.
    pub(super) fn recheck_closing_clients(&mut self, outputs: &mut Vec<Output>) {
        if self
            .shutdown
            .is_some_and(|leaving| leaving.phase == ShutdownPhase::ClosingClients)
        {
            self.check_all_clients(outputs);
        }
    }

    fn answer_pending_requests(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        for id in self.requests.pending() {
            let Some(RequestState::Pending {
                attempt,
                may_have_run,
                ..
            }) = self.requests.get(id).map(|r| r.state)
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
            self.reply(id, Message::release(id, word).encode(), outputs);
            self.cancel_request(now, id, outputs);
        }
    }
}
