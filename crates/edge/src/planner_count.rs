//! Counts the planners of the fleet while this edge holds the fleet's lease. This is the loop around the state machine
//! [`PlannerCounter`], which makes the decisions.

use crate::core::OutgoingMessage;
use crate::server::EdgeServer;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tidespur_coordination::Input;
use tidespur_coordination_net::{FLEET_LEASE, VoterHandle};
use tidespur_membership::{MemberStatus, Role};
use tidespur_net::clock;
use tidespur_planner_protocol::ToPlanner;
use tidespur_recovery::{Observation, Output, PlannerCounter};

/// Prefix of the keys of counted planners in the coordination log.
const PLANNER_KEY_PREFIX: &str = "planner/";
/// Value of the key of a counted planner.
const COUNTED: &[u8] = b"1";
/// Empty value, which removes a key.
const NOT_COUNTED: &[u8] = b"";
/// How often planners are counted, in seconds.
const COUNT_INTERVAL: f64 = 0.2;

impl EdgeServer {
    /// Counts planners periodically. Returns immediately if this edge does not run a voter.
    pub(crate) async fn count_planners(self: Arc<Self>) {
        let Some(voter) = self.api.hooks.voter.clone() else {
            return;
        };
        let mut planner_count = PlannerCounter::default();
        loop {
            clock::sleep(COUNT_INTERVAL).await;
            self.step_planner_count(&mut planner_count, &voter);
        }
    }

    fn step_planner_count(&self, planner_count: &mut PlannerCounter, voter: &VoterHandle) {
        let connected = self.connected_planner_names();
        let token = voter.valid_token(FLEET_LEASE);
        let (counted, departed) = if token.is_some() {
            let counted = voter.keys_with_prefix(PLANNER_KEY_PREFIX);
            (counted, self.departed_planners())
        } else {
            Default::default()
        };
        let observation = Observation {
            token,
            connected: &connected,
            counted: &counted,
            departed: &departed,
        };
        let mut outputs = Vec::new();
        planner_count.step(clock::now(), &observation, &mut outputs);
        for output in outputs {
            match output {
                Output::AddPlanner(name) => put_planner(voter, &name, COUNTED),
                Output::RemovePlanner(name) => put_planner(voter, &name, NOT_COUNTED),
                Output::NotifyPlanner {
                    connection_id,
                    token,
                    planners,
                } => {
                    // The lease is checked again before sending, since the step may have taken long. If it expires
                    // after this check, the planner rejects the message by its fencing token.
                    if voter.valid_token(FLEET_LEASE) == Some(token) {
                        let lease = FLEET_LEASE.into();
                        let message = ToPlanner::PlannerCount {
                            lease,
                            token,
                            planners,
                        };
                        let planner = connection_id;
                        self.send_to_planner(OutgoingMessage { planner, message });
                    } else {
                        planner_count.notification_failed(connection_id);
                    }
                }
            }
        }
    }

    fn connected_planner_names(&self) -> BTreeMap<u64, String> {
        let mut names = BTreeMap::new();
        for (&id, planner) in self.planners.lock().iter() {
            names.insert(id, planner.name.clone());
        }
        names
    }

    /// Names of the planners that have left the fleet voluntarily. Members that failed or are suspected are not
    /// included.
    fn departed_planners(&self) -> BTreeSet<String> {
        let Some(member) = &self.api.hooks.member else {
            return BTreeSet::new();
        };
        let mut departed = BTreeSet::new();
        for member in &member.view().members {
            let metadata = member.metadata.as_ref();
            let is_planner = metadata.is_some_and(|metadata| metadata.role == Role::Planner);
            if member.status == MemberStatus::Left && is_planner {
                departed.insert(member.id.name.clone());
            }
        }
        departed
    }
}

fn put_planner(voter: &VoterHandle, name: &str, value: &[u8]) {
    voter.send(Input::Put {
        lease: FLEET_LEASE.into(),
        key: format!("{PLANNER_KEY_PREFIX}{name}"),
        value: value.to_vec(),
    });
}
