//! What changed in the store, led to desk and Job controller.

use super::{BATCH, Core, owner_uid};
use crate::desk;
use std::collections::VecDeque;
use std::sync::Arc;
use tidespur_api::resource::PODS;
use tidespur_api::{Object, meta, names, task};
use tidespur_config::RetrySafety;
use tidespur_job_controller::{self as controller, JobView, PodView};
use tidespur_store::{ChangeKind, Precondition, Store};

impl Core {
    pub(super) fn read_jobs(&mut self, store: &mut Store, owner: &mut VecDeque<controller::Event>) {
        for change in self.jobs.read(store, BATCH) {
            if change.kind != ChangeKind::Deleted {
                owner.push_back(controller::Event::Job(JobView::read(&change.object)));
                continue;
            }
            let uid = meta::uid(&change.object);
            owner.push_back(controller::Event::JobGone(uid.to_owned()));
            let owned = |pod: &&Arc<Object>| owner_uid(pod) == uid;
            let pods: Vec<Arc<Object>> = store
                .iter(PODS, meta::namespace(&change.object))
                .filter(owned)
                .cloned()
                .collect();
            for pod in pods {
                drop(store.delete(
                    PODS,
                    meta::namespace(&pod),
                    meta::name(&pod),
                    &Precondition::default(),
                ));
            }
        }
    }

    pub(super) fn read_pods(
        &mut self,
        now: f64,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        desk: &mut Vec<desk::Event>,
    ) {
        for change in self.pods.read(store, BATCH) {
            let pod = &change.object;
            let (uid, view) = (meta::uid(pod).to_owned(), PodView::read(pod));
            if change.kind == ChangeKind::Deleted {
                if self.known.remove(&uid).is_some() {
                    self.notes.closed(&uid);
                    self.waits.close(&uid);
                    desk.push(desk::Event::Cancel(uid));
                }
                owner.push_back(controller::Event::PodGone(view));
                continue;
            }
            let before = change
                .previous
                .as_ref()
                .map(|before| PodView::read(before).phase);
            if before != Some(view.phase) {
                if change.kind != ChangeKind::Added {
                    owner.push_back(controller::Event::Pod(view.clone()));
                }
                if matches!(view.phase, controller::PodPhase::Ended(_)) {
                    self.ended.add(pod, store);
                }
            }
            // One that came and ended within a gap of reading needs no answer any more.
            let over = matches!(view.phase, controller::PodPhase::Ended(_));
            if change.kind == ChangeKind::Added && !over {
                self.known.insert(uid, (view.namespace, view.name));
                let ask = task::placement_request(pod);
                if meta::annotation(pod, names::ADOPTED_POD_NAME).is_some() {
                    let node = meta::text_at(pod, &["spec", "nodeName"]).to_owned();
                    desk.push(desk::Event::Adopt(ask, node));
                } else {
                    let class = self.config.class_or_default(&ask.class);
                    let within = ask
                        .timeout
                        .or(class.map(|class| class.deadline))
                        .unwrap_or(0.0);
                    self.waits.open(now, &ask, meta::name(pod));
                    let safe =
                        class.is_some_and(|class| class.retry_safety == RetrySafety::Idempotent);
                    self.notes.open(&ask.uid, now + within, false);
                    desk.push(desk::Event::Submit(ask, now + within, safe));
                }
            }
        }
    }
}
