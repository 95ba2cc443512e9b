//! The loop around the planner: sockets and timers in, sockets and timers out. It decides nothing.

use crate::attempts::Attempts;
use crate::book::EdgeId;
use crate::core::{Answer, Core, Input, Output};
use crate::links::Links;
use crate::options::Options;
use async_channel::{Receiver, Sender};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tidespur_config::Config;
use tidespur_coordination::Fence;
use tidespur_membership::{MemberMetadata, Role};
use tidespur_membership_net::{MemberHandle, ShutdownReason, shutdown_signal};
use tidespur_net::{Client, Recorder, clock};
use tidespur_persistence::{Disk, Identity, LoadedRecords, Outbox};
use tidespur_planner_protocol::ToEdge;

/// Inputs that may wait for the core.
const INPUTS_MOST: usize = 16_384;
/// How far the planner is behind its work is measured this often.
const MARK: f64 = 0.1;
/// Heads of watches must be there within this.
pub(crate) const HEAD_WITHIN: f64 = 2.0;
/// A node or the register silent for this long has lost its watch; both tell every half second that they live.
pub(crate) const SILENCE: f64 = 1.6;
/// Links to edges at once.
pub(crate) const LINKS_MOST: usize = 256;
/// The fleet's view is looked through this often, beside when it tells news.
pub(crate) const LOOK: f64 = 0.5;
/// Pause before a lost connection is tried again.
pub(crate) const AGAIN: f64 = 0.25;

type Edges = Arc<Mutex<BTreeMap<EdgeId, Sender<ToEdge>>>>;

pub(crate) struct Loop {
    pub(crate) config: Config,
    pub(crate) options: Options,
    pub(crate) name: String,
    pub(crate) inputs: Sender<Input>,
    pub(crate) edges: Edges,
    pub(crate) clients: Mutex<BTreeMap<String, Client>>,
    pub(crate) watches: Mutex<BTreeMap<String, smol::Task<()>>>,
    pub(crate) recorder: Recorder,
}

/// Runs the planner until the process ends.
pub async fn run(config: Config, options: Options) -> Result<(), String> {
    let name = options
        .name
        .clone()
        .unwrap_or_else(|| format!("planner-{}", options.ordinal));
    let recorder = match &options.shared.record {
        Some(path) => {
            Recorder::append_to(path, &name).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => Recorder::default(),
    };
    let core = Core::new(
        config.clone(),
        options.ordinal as usize,
        &options.zone,
        options.shared.seed,
    );
    let core = core.map_err(|e| e.to_string())?;
    let (disk, back) = remember(&config, &options, &name)?.unzip();
    let mut core = match &back {
        Some(back) => core.recalling(Attempts::recall(back)?, Fence::load(back)),
        None => core,
    };
    let (send, receive) = async_channel::bounded(INPUTS_MOST);
    let this = Arc::new(Loop {
        config,
        options,
        name,
        inputs: send,
        edges: Edges::default(),
        clients: Mutex::default(),
        watches: Mutex::default(),
        recorder,
    });
    let facts = MemberMetadata {
        zone: this.options.zone.clone(),
        ..MemberMetadata::for_role(Role::Planner)
    };
    let options = &this.options;
    let incarnation = back.as_ref().map(LoadedRecords::incarnation);
    let member = MemberHandle::join(
        &this.config,
        &options.shared.fleet,
        &this.name,
        facts,
        options.shared.seed,
        incarnation,
    );
    let member = member.await.map_err(|error| error.to_string())?;
    if member.is_none() && options.edges.is_empty() {
        return Err("--edge is needed where no fleet is joined".into());
    }
    let mut links = Links::default();
    for address in &options.edges {
        links.open(&this, address, true);
    }
    let marks = this.inputs.clone();
    smol::spawn(async move {
        while marks.send(Input::Sent(clock::now())).await.is_ok() {
            clock::sleep(MARK).await;
        }
    })
    .detach();
    this.recorder.record("started", || json!({}));
    tracing::info!(planner = this.name, "started");
    let alone = member.is_none();
    let ended = async {
        match this.clone().keep_fleet(member, links) {
            fleet if !alone => fleet.await,
            // What is remembered is closed in order; without a memory nothing is.
            fleet if disk.is_some() => {
                let told = async { shutdown_signal().await.unwrap_or(ShutdownReason::Signalled) };
                smol::future::or(told, fleet).await
            }
            fleet => fleet.await,
        }
    };
    let turned = async {
        this.turn(&mut core, receive, disk.as_ref()).await;
        ShutdownReason::Signalled
    };
    let ending = smol::future::or(ended, turned).await;
    if let Some(disk) = &disk {
        disk.finish();
    }
    ending.into_result().map_err(|error| error.to_string())
}

/// Opens the memory of this planner, where it has one.
fn remember(
    config: &Config,
    options: &Options,
    name: &str,
) -> Result<Option<(Disk, LoadedRecords)>, String> {
    let Some(folder) = tidespur_config::data_directory(config, options.shared.data.as_deref())
    else {
        tracing::warn!(
            planner = name,
            "keeps its attempts in memory only (see --data)"
        );
        return Ok(None);
    };
    let (role, cluster) = ("planner".to_owned(), config.cluster().to_owned());
    let who = Identity {
        role,
        name: name.to_owned(),
        cluster,
    };
    let (memory, back) = Disk::open(&folder, &who).map_err(|e| e.to_string())?;
    Ok(Some((
        Disk::start(memory).map_err(|e| e.to_string())?,
        back,
    )))
}

/// An offer that waits for its intent to be safe, and until when it makes sense.
struct Held(Output, f64);

impl Loop {
    async fn turn(self: &Arc<Self>, core: &mut Core, inputs: Receiver<Input>, disk: Option<&Disk>) {
        let mut outbox: Outbox<Held> = Outbox::default();
        let disk_came = disk.map(Disk::subscribe);
        loop {
            let came = async {
                match &disk_came {
                    Some(came) => came.recv().await.map(|()| Input::Tick),
                    None => std::future::pending().await,
                }
            };
            let mut batch = match clock::timeout(0.25, smol::future::or(inputs.recv(), came)).await
            {
                Some(Ok(input)) => vec![input],
                Some(Err(_)) => return,
                None => vec![Input::Tick],
            };
            while batch.len() < self.config.planner.max_events_per_step as usize {
                let Ok(input) = inputs.try_recv() else { break };
                batch.push(input);
            }
            let now = clock::now();
            if let Some(disk) = disk {
                core.stuck(disk.error().is_some());
                let late = |Held(offer, until): &Held| now >= *until || !wanted(core, offer);
                batch.extend(
                    outbox
                        .remove_matching(late)
                        .into_iter()
                        .filter_map(|Held(offer, _)| unsent(offer)),
                );
            }
            let mut outputs = Vec::new();
            core.step(now, batch, &mut outputs);
            let Some(disk) = disk else {
                for output in outputs {
                    match output {
                        Output::Share(planners) => core.share(planners),
                        output => self.carry_out(output),
                    }
                }
                continue;
            };
            let rests_on = disk.write(core.remember());
            for output in outputs {
                match output {
                    Output::Offer { wait, .. } => outbox.hold(rests_on, Held(output, now + wait)),
                    Output::Share(_) => outbox.hold(rests_on, Held(output, f64::INFINITY)),
                    output => self.carry_out(output),
                }
            }
            for Held(offer, until) in outbox.release(disk.synced()) {
                let left = until - clock::now();
                match offer {
                    Output::Share(planners) => core.share(planners),
                    Output::Offer {
                        task,
                        attempt,
                        node,
                        address,
                        ask,
                        ..
                    } if left > 0.0 => {
                        self.carry_out(Output::Offer {
                            task,
                            attempt,
                            node,
                            address,
                            ask,
                            wait: left,
                        });
                    }
                    late => drop(unsent(late).map(|input| self.inputs.try_send(input))),
                }
            }
        }
    }
}

fn wanted(core: &Core, held: &Output) -> bool {
    match held {
        Output::Offer { task, attempt, .. } => core.wants(*task, *attempt),
        _ => true,
    }
}

/// What becomes of an offer that never left: nothing of it can have run.
fn unsent(offer: Output) -> Option<Input> {
    let Output::Offer { task, attempt, .. } = offer else {
        return None;
    };
    let answer = Answer::Ended(
        tidespur_policy::interface::AttemptOutcome::NeverSent,
        "the planner's disk was too slow".into(),
        None,
    );
    Some(Input::Answered {
        task,
        attempt,
        answer,
    })
}
