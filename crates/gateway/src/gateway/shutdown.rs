//! Graceful shutdown: which requests are still answered, and when the process exits.
//!
//! Accepted requests are answered first. Then the connections that wait are accepted and no more, each client is
//! checked, its new requests are rejected, and its connection is closed once it is idle; the process exits when the last
//! one is closed. Guards against bytes that arrive at the same moment: closing a socket with unread bytes resets its
//! connection, and the reset may destroy an answer that was sent.

use super::{Gateway, Output};
use crate::downstream::CloseReason;
use crate::message::{Message, cause};
use crate::request_table::RequestState;
use tidespur_policy::interface::Seconds;

/// After a shutdown request, clients go on sending requests for this long (the platform's specification).
const LATE_REQUEST_TIMEOUT: Seconds = 0.7;
/// The platform kills the process no sooner than the longest deadline of the settings, or this if it is shorter, plus
/// [`LATE_REQUEST_TIMEOUT`] after the request (the same specification).
const MAX_SHUTDOWN_DEADLINE: Seconds = 3.0;
/// Fraction of the time beyond [`LATE_REQUEST_TIMEOUT`] after which pending requests are answered. Until then ends of
/// placed tasks are forwarded too.
const ANSWERED_FRACTION: f64 = 0.8;
/// Fraction of it after which connections are closed.
const CLOSED_FRACTION: f64 = 0.9;
/// Fraction of it after which all bytes were sent.
const FLUSHED_FRACTION: f64 = 0.97;

/// A shutdown that was requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct GracefulShutdown {
    requested_at: Seconds,
    phase: ShutdownPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// Requests are accepted as before.
    Serving,
    /// No request is pending: connections that wait are accepted, and then no more.
    StoppingListener,
    /// Each connection is closed once it is idle.
    ClosingClients,
    /// The process was told to exit.
    Finished,
}

impl Gateway {
    pub(super) fn begin_shutdown(&mut self, now: Seconds) {
        self.shutdown.get_or_insert(GracefulShutdown {
            requested_at: now,
            phase: ShutdownPhase::Serving,
        });
    }

    /// Whether new requests are rejected because of the shutdown.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown
            .is_some_and(|leaving| leaving.phase != ShutdownPhase::Serving)
    }

    /// No further connection is accepted: the clients are closed once they are idle.
    pub(super) fn listening_stopped(&mut self, outputs: &mut Vec<Output>) {
        if let Some(leaving) = &mut self.shutdown {
            leaving.phase = ShutdownPhase::ClosingClients;
        }
        self.check_all_clients(outputs);
    }

    /// Checks all clients, to close those that are idle.
    fn check_all_clients(&mut self, outputs: &mut Vec<Output>) {
        for client in self.downstreams.ids() {
            if self.downstreams.close_reason(client).is_none() {
                self.downstreams.begin_close(client, CloseReason::Shutdown);
                outputs.push(Output::CheckDownstream(client));
            }
        }
    }

    /// Advances the shutdown to its next phase once that is due or nothing is left to wait for.
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

    /// When this fraction of the time that the platform gives is over.
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

    /// When the next phase is due at the latest; infinite without a shutdown.
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

    /// Checks clients again that were not idle when they were to be closed.
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
            // A task that may have run must not be rejected as harmless to repeat.
            let never_ran = attempt.is_none() && !may_have_run;
            let release_cause = if never_ran {
                cause::CONGESTED
            } else {
                cause::FAILED
            };
            self.reply(id, Message::release(id, release_cause).encode(), outputs);
            self.cancel_request(now, id, outputs);
        }
    }
}
