//! Whether a peer still lives, told by its silence.

/// Heartbeats of one connection. Times are seconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    every: f64,
    patience: f64,
    heard: f64,
    sent: f64,
}

impl Liveness {
    /// A ping every `every` seconds without another message; a peer silent for `patience` is lost.
    pub fn new(every: f64, patience: f64, now: f64) -> Self {
        Self {
            every,
            patience: patience.max(every),
            heard: now,
            sent: now,
        }
    }
    /// Something came from the peer.
    pub fn heard(&mut self, now: f64) {
        self.heard = self.heard.max(now);
    }
    /// Something went to the peer.
    pub fn sent(&mut self, now: f64) {
        self.sent = self.sent.max(now);
    }
    /// Whether a ping is due.
    pub fn ping_due(&self, now: f64) -> bool {
        now - self.sent >= self.every
    }
    /// Whether the peer counts as lost.
    pub fn lost(&self, now: f64) -> bool {
        now - self.heard >= self.patience
    }
    /// When to look again.
    pub fn next(&self) -> f64 {
        (self.sent + self.every).min(self.heard + self.patience)
    }
}
