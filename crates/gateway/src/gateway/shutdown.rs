//! Graceful shutdown: which requests are still answered, and when the process exits.
//!
//! Accepted requests are answered first. Then the connections in the listener's backlog are accepted and the listener
//! is closed. Each client is checked, its new requests are rejected, and its connection is closed once it is idle. The
//! process exits when the last connection is closed. The checks guard against messages that arrive at the same moment:
//! closing a socket with unread bytes resets its connection, and the reset may destroy an answer that was sent.

use super::{Gateway, Output};
use crate::downstream::CloseReason;
use crate::message::{Message, cause};
use crate::request_table::RequestState;
use tidespur_policy::interface::Seconds;

/// Clients may send requests for this long after a shutdown request, by the platform's specification.
const LATE_REQUEST_TIMEOUT: Seconds = 0.7;
/// The platform kills the process no earlier than [`LATE_REQUEST_TIMEOUT`] plus the longest deadline of the settings
/// after the shutdown request, by the same specification. This is the upper bound of that deadline.
const MAX_SHUTDOWN_DEADLINE: Seconds = 3.0;
/// Fraction of the time after [`LATE_REQUEST_TIMEOUT`] at which pending requests are answered. Until then, ends of
/// placed tasks are forwarded too.
const ANSWERED_FRACTION: f64 = 0.8;
/// Fraction of that time at which connections are closed.
const CLOSED_FRACTION: f64 = 0.9;
/// Fraction of that time at which all bytes have to be sent.
const FLUSHED_FRACTION: f64 = 0.97;

/// A requested shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct GracefulShutdown {
    requested_at: Seconds,
    phase: ShutdownPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// Requests are accepted as before.
    Serving,
    /// No request is pending; the listener's backlog is accepted, and the listener is closed.
    StoppingListener,
    /// Each connection is closed once it is idle.
    ClosingClients,
    /// [`Output::Exit`] was issued.
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
            .is_some_and(|shutdown| shutdown.phase != ShutdownPhase::Serving)
    }

    /// Handles the end of listening: from now on, clients are closed once they are idle.
    pub(super) fn listening_stopped(&mut self, outputs: &mut Vec<Output>) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.phase = ShutdownPhase::ClosingClients;
        }
        self.check_all_clients(outputs);
    }

    /// Has all clients checked, to close those that are idle.
    fn check_all_clients(&mut self, outputs: &mut Vec<Output>) {
        for client in self.downstreams.ids() {
            if self.downstreams.close_reason(client).is_none() {
                self.downstreams.begin_close(client, CloseReason::Shutdown);
                outputs.push(Output::CheckDownstream(client));
            }
        }
    }

    /// Advances the shutdown to its next phase if that is due or there is nothing left to wait for.
    pub(super) fn advance_shutdown(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let Some(GracefulShutdown {
            requested_at,
            phase,
        }) = self
            .shutdown
            .filter(|shutdown| now > shutdown.requested_at + LATE_REQUEST_TIMEOUT)
        else {
            return;
        };
        let [answered, closed, flushed] = [ANSWERED_FRACTION, CLOSED_FRACTION, FLUSHED_FRACTION]
            .map(|fraction| self.shutdown_deadline(requested_at, fraction));
        match phase {
            ShutdownPhase::Serving if now >= answered || self.requests.count() == 0 => {
                self.answer_pending_requests(now, outputs);
                self.shutdown = Some(GracefulShutdown {
                    requested_at,
                    phase: ShutdownPhase::StoppingListener,
                });
                outputs.push(Output::StopListening);
            }
            ShutdownPhase::ClosingClients if now >= closed || self.downstreams.count() == 0 => {
                self.shutdown = Some(GracefulShutdown {
                    requested_at,
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

    /// Time at which this fraction of the time that the platform allows has passed.
    fn shutdown_deadline(&self, requested_at: Seconds, fraction: f64) -> Seconds {
        let longest = self
            .site
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        requested_at + LATE_REQUEST_TIMEOUT + fraction * longest.min(MAX_SHUTDOWN_DEADLINE)
    }

    /// Latest time of the next phase; infinite if there is no shutdown or the phase depends on other inputs.
    pub(super) fn next_shutdown_deadline(&self) -> Seconds {
        match self.shutdown {
            Some(GracefulShutdown {
                requested_at,
                phase: ShutdownPhase::Serving,
            }) => self.shutdown_deadline(requested_at, ANSWERED_FRACTION),
            Some(GracefulShutdown {
                requested_at,
                phase: ShutdownPhase::ClosingClients,
            }) => self.shutdown_deadline(requested_at, CLOSED_FRACTION),
            _ => f64::INFINITY,
        }
    }

    /// Has the clients checked again that were not idle at the last check.
    pub(super) fn recheck_closing_clients(&mut self, outputs: &mut Vec<Output>) {
        if self
            .shutdown
            .is_some_and(|shutdown| shutdown.phase == ShutdownPhase::ClosingClients)
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
            // A rejection would claim that the task can safely be resubmitted, which is wrong if it may have run.
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
