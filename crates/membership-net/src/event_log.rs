//! Rate-limited log lines about membership events: in a large fleet a network partition changes the state of very many
//! members at once.

use tidespur_membership::{Output, Seconds};

/// Maximum number of log lines per second, and of a burst. Events above it are only counted.
const MAX_LINES_PER_SECOND: f64 = 20.0;

/// Logs the events of one member, limited by a token bucket.
pub(crate) struct EventLog {
    member: String,
    tokens: f64,
    refilled_at: Seconds,
    /// Number of events that were not logged since the last line.
    suppressed: u64,
}

impl EventLog {
    pub(crate) fn new(member: String, now: Seconds) -> Self {
        Self {
            member,
            tokens: MAX_LINES_PER_SECOND,
            refilled_at: now,
            suppressed: 0,
        }
    }

    pub(crate) fn refill(&mut self, now: Seconds) {
        let refilled = self.tokens + (now - self.refilled_at) * MAX_LINES_PER_SECOND;
        self.tokens = refilled.min(MAX_LINES_PER_SECOND);
        self.refilled_at = now;
    }

    /// Logs the event, or counts it as suppressed if no token is left.
    pub(crate) fn log(&mut self, event: &Output) {
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return;
        }
        self.tokens -= 1.0;
        let suppressed = std::mem::take(&mut self.suppressed);
        write_line(&self.member, event, suppressed);
    }
}

fn write_line(member: &str, event: &Output, suppressed: u64) {
    match event {
        Output::MemberJoined(peer) => tracing::info!(member, peer, suppressed, "member joined"),
        Output::MemberSuspected(peer) => {
            tracing::info!(member, peer, suppressed, "member suspected");
        }
        Output::SuspicionRefuted(peer) => {
            tracing::info!(member, peer, suppressed, "suspicion refuted");
        }
        Output::MemberFailed(peer) => tracing::warn!(member, peer, suppressed, "member failed"),
        Output::MemberLeft(peer) => tracing::info!(member, peer, suppressed, "member left"),
        Output::Rejoined => {
            tracing::warn!(member, suppressed, "declared failed by others; rejoined");
        }
        Output::Replaced(newer) => {
            tracing::error!(
                member,
                address = %newer.address,
                "a newer process has this name; shutting down"
            );
        }
        Output::MetadataChanged(_) | Output::SendDatagram(..) => {}
    }
}
