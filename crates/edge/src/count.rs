//! Counts the planners of the fleet while this edge acts for it: the loop around [`Sharers`]. It decides nothing.

use crate::run::Loop;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tidespur_coordination::Input;
use tidespur_coordination_net::FLEET_LEASE;
use tidespur_membership::{MemberStatus, Role};
use tidespur_net::clock;
use tidespur_planner_protocol::ToPlanner;
use tidespur_recovery::{Observed, Output, PlannerCount};

/// The ledger's notes of planners that count begin with this.
pub(crate) const COUNTED: &str = "planner/";
/// It is looked through this often.
const LOOK: f64 = 0.2;

impl Loop {
    /// Ends at once where this edge keeps no ledger.
    pub(crate) async fn count_planners(self: Arc<Self>) {
        let Some(voter) = self.api.hooks.voter.clone() else {
            return;
        };
        let mut sharers = PlannerCount::default();
        loop {
            clock::sleep(LOOK).await;
            let linked: BTreeMap<u64, String> = match self.planners.lock() {
                Ok(planners) => planners
                    .iter()
                    .map(|(&id, linked)| (id, linked.name.clone()))
                    .collect(),
                Err(_) => return,
            };
            let token = voter.valid_token(FLEET_LEASE);
            let (counted, left) = match token {
                Some(_) => (voter.keys_with_prefix(COUNTED), self.left()),
                None => Default::default(),
            };
            let seen = Observed {
                token,
                connected: &linked,
                counted: &counted,
                departed: &left,
            };
            let mut out = Vec::new();
            sharers.step(clock::now(), &seen, &mut out);
            for output in out {
                let note = |name, value| Input::Put {
                    lease: FLEET_LEASE.into(),
                    key: format!("{COUNTED}{name}"),
                    value,
                };
                match output {
                    Output::AddPlanner(name) => voter.send(note(name, b"1".to_vec())),
                    Output::RemovePlanner(name) => voter.send(note(name, Vec::new())),
                    // Asked at the moment of the act: the step may have been long. What comes late all the same, the
                    // planner's fence refuses.
                    Output::NotifyPlanner {
                        link,
                        token,
                        planners,
                    } if voter.valid_token(FLEET_LEASE) == Some(token) => {
                        self.tell(
                            link,
                            ToPlanner::PlannerCount {
                                lease: FLEET_LEASE.into(),
                                token,
                                planners,
                            },
                        );
                    }
                    Output::NotifyPlanner { link, .. } => sharers.notification_failed(link),
                }
            }
        }
    }

    /// Planners that said to the fleet that they left: silence or a lost member is none.
    fn left(&self) -> BTreeSet<String> {
        let Some(member) = &self.api.hooks.member else {
            return BTreeSet::new();
        };
        let view = member.view();
        let left = view
            .members
            .iter()
            .filter(|seen| seen.status == MemberStatus::Left);
        let planners = left.filter(|seen| {
            seen.metadata
                .as_ref()
                .is_some_and(|facts| facts.role == Role::Planner)
        });
        planners.map(|seen| seen.id.name.clone()).collect()
    }
}
