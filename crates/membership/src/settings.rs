//! Settings of a member, and their validation.

use crate::id::is_valid_name;
use crate::{MembershipError, Seconds};
use std::net::SocketAddr;

/// Upper bound of all times in the settings, in seconds.
const MAX_TIME: Seconds = 1e6;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cluster. Datagrams of other clusters are dropped.
    pub cluster: String,
    /// Addresses of members that are contacted to join the fleet; may include the member's own.
    pub seed_addresses: Vec<SocketAddr>,
    /// Maximum number of alive members. As many failed ones are kept in addition.
    pub max_members: usize,
    /// Interval between two probes by this member, in seconds.
    pub probe_interval: Seconds,
    /// Time without a reply, in seconds, after which this member probes indirectly, through other members.
    pub probe_timeout: Seconds,
    /// Time in which a suspected member may refute the suspicion, in seconds; then it is declared failed.
    pub suspicion_timeout: Seconds,
    /// Time for which failed members are kept and receive announcements, in seconds.
    pub forget_after: Seconds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: "tidespur".into(),
            seed_addresses: vec![],
            max_members: 1_024,
            probe_interval: 0.3,
            probe_timeout: 0.12,
            suspicion_timeout: 0.9,
            forget_after: 3_600.0,
        }
    }
}

impl Settings {
    pub(crate) fn check(&self) -> Result<(), MembershipError> {
        if !is_valid_name(&self.cluster) {
            return Err(MembershipError::InvalidCluster {
                name: self.cluster.clone(),
            });
        }
        let times = [
            self.probe_timeout,
            self.probe_interval,
            self.suspicion_timeout,
            self.forget_after,
        ];
        let is_ascending = times
            .windows(2)
            .all(|pair| 0.0 < pair[0] && pair[0] < pair[1] && pair[1] < MAX_TIME);
        if !is_ascending {
            return Err(MembershipError::TimesNotAscending);
        }
        Ok(())
    }
}
