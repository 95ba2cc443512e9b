//! Test harness: a gateway whose clients and machines are driven by the test, without sockets.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{IpAddr, Ipv4Addr};
use tidespur_gateway::message::{Decoder, Message, MessageKind, RequestId, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{
    DownstreamId, Gateway, Input, Limits, MemoryLimits, Output, PeerCheck, UpstreamId, discovery,
};
use tidespur_site_settings::{SettingsObject, Site};

/// Connection of the client that owns the tasks of a test.
pub const OWNER: DownstreamId = DownstreamId(1);
/// Connection of another client.
pub const OTHER: DownstreamId = DownstreamId(2);

/// Settings object with an idempotent class (`web`) and a non-idempotent one (`slot`).
pub const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"locality":0,"discovery":"ask","odd":[1],
 "services":[{"name":"web","aimS":0.7,"deadlineS":6,"effect":"safe","group":"all","credit":1,"windowS":5},
  {"name":"slot","aimS":4,"deadlineS":8,"effect":"unsafe","group":"all","credit":3,"windowS":5}],
 "kinds":["std"],"zones":["east","west"],
 "familyInfo":{"acceptsMemory":1.5,"ack":"accepted","admitCores":2.5,"apartBy":["none","none"],
  "classCalm":[1,1],"coldBears":8,"kindByClass":[-1,-1],"kindCores":[32],"lostAfter":[1,1],"memOfKind":[64],
  "priorityByClass":[0,0],"startSeconds":[10,8],"togetherMax":[0,0],"listsFree":true},
 "limits":{"maxAttempts":4,"connectTimeoutS":0.25,"connIdleS":30},"report":{"via":"answers"},
 "safety":{"answerSlackS":0.05,"coldFrom":0.2,"coldS":9,"drainGraceS":1,"fallMultiple":3,"overloadForS":1},
 "tariffs":{}}"#;

/// The retry safety of `web` with an idempotency key, valid for one second.
const KEYED: &str = r#""effect":"keyed","group":"all","credit":1,"windowS":1"#;

pub fn site() -> Site {
    serde_json::from_str::<SettingsObject>(SETTINGS)
        .unwrap()
        .into_site()
        .unwrap()
}

pub fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

/// A watch event: number, lifecycle and start time (in milliseconds) of each machine.
pub fn watch_event(revision: u64, is_complete_list: bool, machines: &[(u32, &str, u64)]) -> Input {
    let entry = |&(n, lifecycle, started): &(u32, &str, u64)| {
        format!(
            r#"{{"instanceId":"s-{n}","hostPort":"127.0.1.{n}:9","zone":"east","machineType":"std","cell":0,
            "lifecycle":"{lifecycle}","weight":1,"startedAtMs":{started},"left_over":[30,60]}}"#
        )
    };
    let entries: Vec<String> = machines.iter().map(entry).collect();
    let entries = entries.join(",");
    let text = format!(
        r#"{{"rev":{revision},"pool":{{"generation":{revision},"reset":{is_complete_list},"instances":[{entries}]}}}}"#
    );
    Input::EndpointsDelivered(discovery::parse_event(&site(), &text).unwrap())
}

/// A valid set-up of this class, with a timeout of 6 s.
pub fn set_up(id: u64, class: &str) -> Message {
    Message::new(MessageKind::SetUp, RequestId(id))
        .with(code::CLASS, class.as_bytes())
        .with(code::TIMEOUT, b"6000")
        .with(code::NAME, format!("{id:016x}").as_bytes())
        .with(code::EXPECTED_DURATION, b"8200.0")
        .with(
            code::REQUESTED,
            b"cores:1;memory:2;service:00000000b4d65521",
        )
        .with(code::DESCRIPTION, b"v=0 \x00\xff")
}

/// A set-up that hands over a task which this machine holds.
pub fn handover(id: u64, machine: &str) -> Message {
    let requested = format!("cores:1;memory:2;service:00000000b4d65521;at:{machine}");
    Message::new(MessageKind::SetUp, RequestId(id))
        .with(code::CLASS, b"web")
        .with(code::NAME, format!("{id:016x}").as_bytes())
        .with(code::REQUESTED, requested.as_bytes())
}

/// A machine's answer to an offer.
pub fn accepted(id: u64) -> Message {
    Message::new(MessageKind::Accepted, RequestId(id))
        .with(code::DESCRIPTION, b"machine's \x01 own")
}

pub fn release(id: u64, cause: u8) -> Message {
    Message::release(RequestId(id), cause)
}

/// Limits of most tests; the memory does not matter in them.
pub const LIMITS: Limits = Limits {
    downstreams: 8,
    upstreams: 16,
    closing: 2,
    memory: MemoryLimits::for_process(1 << 30),
};

/// What happens to the dials of the gateway while time advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dials {
    Unanswered,
    Refused,
}

/// A gateway, the time, and the outputs of the last call.
pub struct Harness {
    pub gateway: Gateway,
    pub now: f64,
    pub outputs: Vec<Output>,
}

impl Harness {
    /// Lists machines 1 to `machines`, and connects both clients.
    pub fn new(machines: u32) -> Self {
        Self::with_limits(machines, LIMITS)
    }

    /// As [`Harness::new`], with other limits.
    pub fn with_limits(machines: u32, limits: Limits) -> Self {
        let gateway = Gateway::new(site(), limits, 7).unwrap();
        let mut harness = Self {
            gateway,
            now: 1000.0,
            outputs: Vec::new(),
        };
        let list: Vec<(u32, &str, u64)> = (1..=machines).map(|n| (n, "Ready", 0)).collect();
        harness.step(watch_event(1, true, &list));
        harness.step(Input::DownstreamOpened(OWNER, address(1)));
        harness.step(Input::DownstreamOpened(OTHER, address(2)));
        harness
    }

    /// As [`Harness::with_settings`], with a class `web` that has idempotency keys, valid for one second.
    pub fn with_idempotency_keys(machines: u32) -> Self {
        Self::with_settings(
            &SETTINGS.replace(
                r#""effect":"safe","group":"all","credit":1,"windowS":5"#,
                KEYED,
            ),
            machines,
        )
    }

    /// Uses other settings, and connects only the owner.
    pub fn with_settings(settings: &str, machines: u32) -> Self {
        let site = serde_json::from_str::<SettingsObject>(settings)
            .unwrap()
            .into_site()
            .unwrap();
        let gateway = Gateway::new(site, LIMITS, 7).unwrap();
        let mut harness = Self {
            gateway,
            now: 1000.0,
            outputs: Vec::new(),
        };
        let list: Vec<(u32, &str, u64)> = (1..=machines).map(|n| (n, "Ready", 0)).collect();
        harness.step(watch_event(1, true, &list));
        harness.step(Input::DownstreamOpened(OWNER, address(1)));
        harness
    }

    /// Handles one input, and answers all checks: nothing is unread. `outputs` holds the other outputs.
    pub fn step(&mut self, input: Input) -> &[Output] {
        self.outputs.clear();
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut outputs = Vec::new();
            self.gateway
                .step(self.now, std::mem::take(&mut inputs), &mut outputs);
            for output in outputs {
                if let Output::Upstream(PoolAction::CheckPeer(upstream)) = output {
                    inputs.push(Input::UpstreamChecked(upstream));
                } else if let Output::CheckDownstream(client) = output {
                    inputs.push(Input::DownstreamChecked(client, PeerCheck::Idle));
                } else {
                    inputs.extend(
                        (output == Output::StopListening).then_some(Input::ListeningStopped),
                    );
                    self.outputs.push(output);
                }
            }
        }
        &self.outputs
    }

    /// Advances the time in steps as short as the gateway requests. `outputs` holds all outputs of that time.
    pub fn advance(&mut self, seconds: f64, dials: Dials) {
        let until = self.now + seconds;
        let mut all_outputs = Vec::new();
        while self.now < until {
            let earliest = (self.now + 0.001).min(until);
            self.now = self.gateway.next_wake().clamp(earliest, until);
            self.step(Input::Tick);
            let dialled: Vec<UpstreamId> = self.dials().iter().map(|dial| dial.0).collect();
            all_outputs.append(&mut self.outputs);
            for upstream in dialled.into_iter().filter(|_| dials == Dials::Refused) {
                self.step(Input::UpstreamConnectRefused(upstream));
                all_outputs.append(&mut self.outputs);
            }
        }
        self.outputs = all_outputs;
    }

    pub fn client_sends(&mut self, client: DownstreamId, message: Message) -> &[Output] {
        self.step(Input::DownstreamMessage(client, message))
    }

    pub fn machine_sends(&mut self, upstream: UpstreamId, message: Message) -> &[Output] {
        self.step(Input::UpstreamMessage(upstream, message))
    }

    /// Requested dials: connection and address.
    pub fn dials(&self) -> Vec<(UpstreamId, String)> {
        let dial = |output: &Output| match output {
            Output::Upstream(PoolAction::Dial(upstream, address)) => {
                Some((*upstream, address.clone()))
            }
            _ => None,
        };
        self.outputs.iter().filter_map(dial).collect()
    }

    /// Messages written to a client.
    pub fn sent_to(&self, client: DownstreamId) -> Vec<Message> {
        let messages = |output: &Output| match output {
            Output::WriteDownstream(to, bytes) if *to == client => Some(decode(bytes)),
            _ => None,
        };
        self.outputs.iter().filter_map(messages).flatten().collect()
    }

    /// Messages and offers written to machines.
    pub fn sent_to_machines(&self) -> Vec<(UpstreamId, Message)> {
        let written = |output: &Output| match output {
            Output::Upstream(
                PoolAction::Write(upstream, bytes) | PoolAction::Offer(upstream, _, bytes),
            ) => Some((*upstream, bytes.clone())),
            _ => None,
        };
        let writes = self.outputs.iter().filter_map(written);
        writes
            .flat_map(|(upstream, bytes)| decode(&bytes).into_iter().map(move |m| (upstream, m)))
            .collect()
    }

    /// Connections to machines that were closed or half-closed.
    pub fn closed_upstreams(&self) -> Vec<UpstreamId> {
        let closed = |output: &Output| match output {
            Output::Upstream(PoolAction::Close(upstream) | PoolAction::HalfClose(upstream)) => {
                Some(*upstream)
            }
            _ => None,
        };
        self.outputs.iter().filter_map(closed).collect()
    }

    pub fn closed_clients(&self) -> Vec<DownstreamId> {
        let closed = |output: &Output| match output {
            Output::CloseDownstream(client) => Some(*client),
            _ => None,
        };
        self.outputs.iter().filter_map(closed).collect()
    }

    /// Sends a set-up of the owner and opens the connection that is dialled for its offer. Returns the connection and
    /// the machine's address.
    pub fn offer(&mut self, message: Message) -> (UpstreamId, String) {
        self.client_sends(OWNER, message);
        let (upstream, address) = self.dials().pop().expect("a machine is dialled");
        self.step(Input::UpstreamOpened(upstream));
        (upstream, address)
    }

    /// Places a task of the owner. Returns the connection of its offer and the machine's address.
    pub fn place(&mut self, id: u64, class: &str) -> (UpstreamId, String) {
        let (upstream, address) = self.offer(set_up(id, class));
        self.machine_sends(upstream, accepted(id));
        assert_eq!(self.sent_to(OWNER)[0].kind, MessageKind::Accepted);
        (upstream, address)
    }
}

/// Decodes messages that the gateway wrote.
pub fn decode(bytes: &[u8]) -> Vec<Message> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    std::iter::from_fn(|| {
        decoder
            .next_message()
            .expect("the gateway writes valid messages")
    })
    .collect()
}
