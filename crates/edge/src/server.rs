//! State that the tasks of the edge share, and sending messages to planners.

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

/// How often the number of open tasks is published in the fleet, in seconds.
const METADATA_UPDATE_INTERVAL: f64 = 1.0;

/// A connected planner, and the queue of the messages that its session sends.
pub(crate) struct ConnectedPlanner {
    pub(crate) name: String,
    pub(crate) messages: Sender<ToPlanner>,
}

/// State that the tasks of the edge share.
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
    /// Queues a message for a planner; drops it if the planner has disconnected.
    pub(crate) fn send_to_planner(&self, outgoing: OutgoingMessage) {
        let planners = self.planners.lock();
        let Some(planner) = planners.get(&outgoing.planner) else {
            return;
        };
        if planner.messages.try_send(outgoing.message).is_err() {
            // The queue is full because the planner does not read. Closing it ends the session, and the planner counts as
            // lost.
            planner.messages.close();
        }
    }

    /// Publishes the metadata of this edge in the fleet periodically, until the process is to shut down.
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

    /// Copies the counters of the core to the API hooks.
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
