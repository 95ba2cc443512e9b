//! The edge's server: what its tasks share, and sending to planners.

use crate::core::{Input, OutgoingMessage};
use crate::dispatcher::PlannerId;
use crate::hooks::EdgeHooks;
use crate::options::Options;
use crate::storage::SharedStorage;
use async_channel::Sender;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tidespur_config::Config;
use tidespur_membership::MemberMetadata;
use tidespur_membership_net::{MemberHandle, ShutdownReason};
use tidespur_net::Recorder;
use tidespur_planner_protocol::ToPlanner;
use tidespur_rest::Api;

/// How often the fleet is told the number of open tasks, in seconds.
const METADATA_UPDATE_INTERVAL: f64 = 1.0;

/// A planner that is connected.
pub(crate) struct ConnectedPlanner {
    pub(crate) name: String,
    pub(crate) messages: Sender<ToPlanner>,
}

/// What the tasks of the edge share.
pub(crate) struct EdgeServer {
    pub(crate) config: Config,
    pub(crate) options: Options,
    pub(crate) inputs: Sender<Input>,
    pub(crate) api: Arc<Api<EdgeHooks>>,
    pub(crate) planners: Mutex<BTreeMap<PlannerId, ConnectedPlanner>>,
    pub(crate) recorder: Recorder,
    pub(crate) storage: SharedStorage,
}

impl EdgeServer {
    /// Sends a message to a planner; one that has disconnected gets nothing.
    pub(crate) fn send_to_planner(&self, outgoing: OutgoingMessage) {
        let planners = self.planners.lock();
        let Some(planner) = planners.get(&outgoing.planner) else {
            return;
        };
        if planner.messages.try_send(outgoing.message).is_err() {
            // A full queue means that the planner reads nothing: its session ends, and its tasks with it.
            planner.messages.close();
        }
    }

    /// Keeps the fleet informed about this edge, until the process is to shut down.
    pub(crate) async fn update_membership(
        &self,
        member: &MemberHandle,
        mut metadata: MemberMetadata,
    ) -> ShutdownReason {
        loop {
            if let Some(reason) = member.wait_for_shutdown(METADATA_UPDATE_INTERVAL).await {
                return reason;
            }
            let open_tasks = self.api.hooks.admission.open_tasks();
            metadata.open_tasks = Some(u32::try_from(open_tasks).unwrap_or(u32::MAX));
            member.update_metadata(metadata.clone());
        }
    }

    /// Publishes the core's counters to those who answer requests.
    pub(crate) fn publish_counters(&self, core: &crate::core::Core) {
        let hooks = &self.api.hooks;
        hooks.admission.set_open_tasks(core.open_tasks());
        hooks
            .resync_count
            .store(core.resync_count(), Ordering::Relaxed);
        hooks
            .connected_planners
            .store(core.connected_planners(), Ordering::Relaxed);
    }
}
