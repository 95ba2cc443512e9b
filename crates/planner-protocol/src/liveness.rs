//! Detection of a failed peer by heartbeat timeout.

/// Heartbeat state of one connection. All times are seconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    heartbeat_interval: f64,
    timeout: f64,
    last_received: f64,
    last_sent: f64,
}

impl Liveness {
    /// The state of a connection opened at `now`. A heartbeat is due once nothing was sent for `heartbeat_interval`
    /// seconds; the peer is lost once nothing was received for `timeout` seconds. A `timeout` below
    /// `heartbeat_interval` is raised to it.
    pub fn new(heartbeat_interval: f64, timeout: f64, now: f64) -> Self {
        Self {
            heartbeat_interval,
            timeout: timeout.max(heartbeat_interval),
            last_received: now,
            last_sent: now,
        }
    }

    /// Restarts the timeout: data of the peer has arrived.
    pub fn on_received(&mut self, now: f64) {
        self.last_received = self.last_received.max(now);
    }

    /// Restarts the heartbeat interval: data was sent to the peer.
    pub fn on_sent(&mut self, now: f64) {
        self.last_sent = self.last_sent.max(now);
    }

    /// Whether nothing was sent for the heartbeat interval.
    pub fn is_heartbeat_due(&self, now: f64) -> bool {
        now - self.last_sent >= self.heartbeat_interval
    }

    /// Whether nothing was received for the timeout.
    pub fn is_peer_lost(&self, now: f64) -> bool {
        now - self.last_received >= self.timeout
    }

    /// The earliest time at which [`is_heartbeat_due`](Self::is_heartbeat_due) or
    /// [`is_peer_lost`](Self::is_peer_lost) becomes true if nothing is sent or received until then.
    pub fn next_deadline(&self) -> f64 {
        (self.last_sent + self.heartbeat_interval).min(self.last_received + self.timeout)
    }
}
