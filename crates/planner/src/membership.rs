//! Follows the fleet's membership to keep this planner connected to every edge.

use crate::edge_connections::EdgeConnections;
use crate::process::PlannerProcess;
use std::sync::Arc;
use tidespur_membership::{MemberStatus, MembershipView, Role};
use tidespur_membership_net::{MemberHandle, ShutdownReason};

/// Maximum time between reads of the membership view, in seconds. It is also read when it changes.
const VIEW_INTERVAL: f64 = 0.5;

impl PlannerProcess {
    /// Keeps a connection to each edge of the fleet until this planner has to shut down.
    pub(crate) async fn follow_membership(
        self: &Arc<Self>,
        member: &MemberHandle,
        connections: &mut EdgeConnections,
    ) -> ShutdownReason {
        loop {
            if let Some(reason) = member.wait_for_shutdown(VIEW_INTERVAL).await {
                return reason;
            }
            let view = member.view();
            for address in live_edges(&view) {
                connections.open_discovered(self, address);
            }
            connections.close_unknown(self, &known_addresses(&view));
        }
    }
}

fn live_edges(view: &MembershipView) -> Vec<&str> {
    let members = view.live_members();
    members
        .filter_map(|member| member.metadata.as_ref())
        .filter(|metadata| metadata.role == Role::Edge)
        .filter(|metadata| !metadata.link.is_empty() && !metadata.is_leaving)
        .map(|metadata| metadata.link.as_str())
        .collect()
}

/// Addresses of all members that have not left. Suspected and failed members are included: the view may be wrong, and
/// a working connection is better evidence.
fn known_addresses(view: &MembershipView) -> Vec<&str> {
    view.members
        .iter()
        .filter(|member| member.status != MemberStatus::Left)
        .filter_map(|member| Some(member.metadata.as_ref()?.link.as_str()))
        .collect()
}
