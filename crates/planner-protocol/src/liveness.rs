//! Whether a peer still lives, told by its silence.

/// Heartbeats of one connection. Times are seconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    heartbeat_interval: f64,
    timeout: f64,
    last_received: f64,
    last_sent: f64,
}

impl Liveness {
    /// A ping every `every` seconds without another message; a peer silent for `patience` is lost.
    pub fn new(every: f64, patience: f64, now: f64) -> Self {
        Self {
            heartbeat_interval: every,
            timeout: patience.max(every),
            last_received: now,
            last_sent: now,
        }
    }
    /// Something came from the peer.
    pub fn on_received(&mut self, now: f64) {
        self.last_received = self.last_received.max(now);
    }
    /// Something went to the peer.
    pub fn on_sent(&mut self, now: f64) {
        self.last_sent = self.last_sent.max(now);
    }
    /// Whether a ping is due.
    pub fn is_heartbeat_due(&self, now: f64) -> bool {
        now - self.last_sent >= self.heartbeat_interval
    }
    /// Whether the peer counts as lost.
    pub fn is_peer_lost(&self, now: f64) -> bool {
        now - self.last_received >= self.timeout
    }
    /// When to look again.
    pub fn next_deadline(&self) -> f64 {
        (self.last_sent + self.heartbeat_interval).min(self.last_received + self.timeout)
    }
}
