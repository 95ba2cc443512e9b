//! Settings of a member, and their check.

use crate::id::is_valid_name;
use crate::{MembershipError, Seconds};
use std::net::SocketAddr;

/// Upper bound of all times in the settings.
const MAX_TIME: Seconds = 1e6;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cluster. Datagrams of other clusters are dropped.
    pub cluster: String,
    /// Addresses at which other members may be found at first.
    pub seed_addresses: Vec<SocketAddr>,
    /// Number of members that may be alive. As many failed ones are remembered.
    pub max_members: usize,
    /// How often this member probes another one.
    pub probe_interval: Seconds,
    /// How long this member waits for a reply before it probes indirectly, by others.
    pub probe_timeout: Seconds,
    /// How long a suspected member has to refute the suspicion.
    pub suspicion_timeout: Seconds,
    /// How long failed members are remembered, and announced to.
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
