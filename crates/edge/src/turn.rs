//! One turn of the edge's loop after the other: what came is stepped, what follows is written down, then said.

use crate::core::{Core, Input};
use crate::desk::PlannerId;
use crate::run::Loop;
use crate::waits::lock;
use async_channel::Receiver;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tidespur_membership::MemberMetadata;
use tidespur_membership_net::{MemberHandle, ShutdownReason};
use tidespur_net::clock;
use tidespur_persistence::Outbox;
use tidespur_planner_protocol::ToPlanner;

/// Inputs that are taken into one step.
const STEP_MOST: usize = 512;
/// The fleet is told how this edge stands this often.
const TELL: f64 = 1.0;
/// How far the edge is behind its work is measured this often.
const MARK: f64 = 0.1;

/// Words that wait for the disk; beyond, those that need not be said any more are dropped.
const HELD_MOST: usize = 16_384;

/// What the loop says, to a planner or to those who wait for a version.
enum Word {
    Tell(PlannerId, Box<ToPlanner>),
    Show(u64),
}

impl Loop {
    pub(crate) async fn turn(&self, mut core: Core, inputs: Receiver<Input>) {
        let mut outbox = Outbox::default();
        let disk_came = self.disk.as_ref().map(|disk| disk.disk.subscribe());
        let mut shown = self.api.store().version();
        loop {
            let wake = core.next_wake().unwrap_or(f64::INFINITY);
            let came = async {
                match &disk_came {
                    Some(came) => came.recv().await.map(|()| Input::Kick),
                    None => std::future::pending().await,
                }
            };
            let heard = smol::future::or(inputs.recv(), came);
            let mut batch = match clock::timeout(wake - clock::now(), heard).await {
                Some(Ok(input)) => vec![input],
                Some(Err(_)) => return,
                None => vec![],
            };
            while batch.len() < STEP_MOST {
                let Ok(input) = inputs.try_recv() else { break };
                batch.push(input);
            }
            for input in &batch {
                if let Input::Sent(at) = input {
                    let now = clock::now();
                    lock(&self.api.hooks.shedder).observe_lag(now, now - at);
                }
            }
            let mut out = Vec::new();
            let mut store = self.api.store();
            core.step(clock::now(), batch, &mut store, &mut out);
            let version = store.version();
            let kept = self
                .disk
                .as_ref()
                .map(|disk| (disk, core.remember(&mut store)));
            drop(store);
            self.api.hooks.open.store(core.open(), Ordering::Relaxed);
            self.api
                .hooks
                .behind
                .store(core.behind(), Ordering::Relaxed);
            self.api
                .hooks
                .planners
                .store(core.planners(), Ordering::Relaxed);
            let Some((disk, (batch, problems))) = kept else {
                out.into_iter()
                    .for_each(|(planner, message)| self.tell(planner, message));
                if std::mem::replace(&mut shown, version) != version {
                    self.api.notify_watchers();
                }
                continue;
            };
            for problem in problems {
                tracing::error!(edge = self.options.name, %problem, "can't be kept");
            }
            let rests_on = disk.disk.write(batch);
            for (planner, message) in out {
                match message {
                    // It may be taken back: nothing is offered before `Go`, which waits.
                    ToPlanner::Place(_) => self.tell(planner, message),
                    message => outbox.hold(rests_on, Word::Tell(planner, Box::new(message))),
                }
            }
            if std::mem::replace(&mut shown, version) != version {
                outbox.hold(rests_on, Word::Show(version));
            }
            if outbox.len() > HELD_MOST {
                // The disk stands still: words to planners that have gone meanwhile are nobody's, and the last version
                // that may be shown tells of all before it.
                let planners = lock(&self.planners);
                drop(outbox.remove_matching(|word| match word {
                    Word::Tell(planner, _) => !planners.contains_key(planner),
                    Word::Show(before) => *before != version,
                }));
            }
            for word in outbox.release(disk.disk.synced()) {
                match word {
                    Word::Tell(planner, message) => self.tell(planner, *message),
                    Word::Show(version) => {
                        self.api.store().set_visible_version(version);
                        disk.show(version);
                        self.api.notify_watchers();
                    }
                }
            }
        }
    }

    pub(crate) fn tell(&self, planner: PlannerId, message: ToPlanner) {
        let planners = lock(&self.planners);
        // A full queue means that the planner reads nothing: its link ends, and its tasks with it.
        if let Some(linked) = planners.get(&planner)
            && linked.send.try_send(message).is_err()
        {
            linked.send.close();
        }
    }

    /// Tells the fleet how this edge stands; ends with the member.
    pub(crate) async fn keep_fleet(
        self: Arc<Self>,
        member: Arc<MemberHandle>,
        mut facts: MemberMetadata,
    ) -> ShutdownReason {
        loop {
            if let Some(ending) = member.wait_for_shutdown(TELL).await {
                return ending;
            }
            let open = self.api.hooks.open.load(Ordering::Relaxed);
            facts.open_tasks = Some(u32::try_from(open).unwrap_or(u32::MAX));
            member.update_metadata(facts.clone());
        }
    }

    /// Measures how far the edge is behind its work.
    pub(crate) async fn mark(self: Arc<Self>) {
        while self.inputs.send(Input::Sent(clock::now())).await.is_ok() {
            clock::sleep(MARK).await;
        }
    }
}
