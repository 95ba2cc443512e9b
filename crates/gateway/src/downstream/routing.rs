//! Which connection reaches an owner.

use super::{Downstream, Downstreams};
use crate::DownstreamId;
use std::net::IpAddr;

impl Downstreams {
    /// Chooses a connection to an owner whose last connection was `id`, from `address`: that connection if it is
    /// reachable, else the one used last from the same address, else the one used last by any owner. Other connections
    /// than `id` are eligible only if they are an owner's, as another client may have the same address.
    pub fn route_to_owner(
        &self,
        id: Option<DownstreamId>,
        address: Option<IpAddr>,
    ) -> Option<DownstreamId> {
        if let Some(id) = id.filter(|id| self.is_reachable(*id)) {
            return Some(id);
        }
        let owners = || {
            self.downstreams
                .iter()
                .filter(|(_, client)| client.is_owner && !client.peer_closed)
        };
        let same_address = owners().filter(|(_, client)| Some(client.address) == address);
        let by_last_use = |a: &(&DownstreamId, &Downstream), b: &(&DownstreamId, &Downstream)| {
            a.1.last_used_at.total_cmp(&b.1.last_used_at)
        };
        same_address
            .max_by(by_last_use)
            .or_else(|| owners().max_by(by_last_use))
            .map(|(&id, _)| id)
    }
}
