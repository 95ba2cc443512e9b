//! Failure detection by heartbeat timeout: whether the peer of a connection is still alive.

/// Heartbeat state of one connection. All times are seconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    heartbeat_interval: f64,
    timeout: f64,
    last_received: f64,
    last_sent: f64,
}

impl Liveness {
    /// A connection that opens at `now`. A heartbeat is due after `heartbeat_interval` seconds in which nothing was
    /// sent; a peer from which nothing was received for `timeout` seconds is lost. `timeout` is at least
    /// `heartbeat_interval`.
    pub fn new(heartbeat_interval: f64, timeout: f64, now: f64) -> Self {
        Self {
            heartbeat_interval,
            timeout: timeout.max(heartbeat_interval),
            last_received: now,
            last_sent: now,
        }
    }

    /// Notes that something was received from the peer.
    pub fn on_received(&mut self, now: f64) {
        self.last_received = self.last_received.max(now);
    }

    /// Notes that something was sent to the peer.
    pub fn on_sent(&mut self, now: f64) {
        self.last_sent = self.last_sent.max(now);
    }

    /// Whether a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: f64) -> bool {
        now - self.last_sent >= self.heartbeat_interval
    }

    /// Whether the peer counts as lost.
    pub fn is_peer_lost(&self, now: f64) -> bool {
        now - self.last_received >= self.timeout
    }

    /// When [`is_heartbeat_due`](Self::is_heartbeat_due) or [`is_peer_lost`](Self::is_peer_lost) changes next, if
    /// nothing is sent or received until then.
    pub fn next_deadline(&self) -> f64 {
        (self.last_sent + self.heartbeat_interval).min(self.last_received + self.timeout)
    }
}
