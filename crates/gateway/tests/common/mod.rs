//! A gateway with owners and machines played by hand. No sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{IpAddr, Ipv4Addr};
use tidespur_gateway::message::{Decoder, Message, MessageKind, RequestId, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{
    DownstreamId, Gateway, Input, Limits, Output, PeerCheck, UpstreamId, discovery,
};
use tidespur_site_settings::{SettingsObject, Site};

pub const OWNER: DownstreamId = DownstreamId(1);
pub const OTHER: DownstreamId = DownstreamId(2);

/// Settings with a class that may run twice and one that must not.
pub const INFO: &str = r#"{"balancers":1,"ordinal":0,"locality":0,"discovery":"ask","odd":[1],
 "services":[{"name":"web","aimS":0.7,"deadlineS":6,"effect":"safe","group":"all","credit":1,"windowS":5},
  {"name":"slot","aimS":4,"deadlineS":8,"effect":"unsafe","group":"all","credit":3,"windowS":5}],
 "kinds":["std"],"zones":["east","west"],
 "familyInfo":{"acceptsMemory":1.5,"ack":"accepted","admitCores":2.5,"apartBy":["none","none"],
  "classCalm":[1,1],"coldBears":8,"kindByClass":[-1,-1],"kindCores":[32],"lostAfter":[1,1],"memOfKind":[64],
  "priorityByClass":[0,0],"startSeconds":[10,8],"togetherMax":[0,0],"listsFree":true},
 "limits":{"maxAttempts":4,"connectTimeoutS":0.25,"connIdleS":30},"report":{"via":"answers"},
 "safety":{"answerSlackS":0.05,"coldFrom":0.2,"coldS":9,"drainGraceS":1,"fallMultiple":3,"overloadForS":1},
 "tariffs":{}}"#;

const KEYED: &str = r#""effect":"keyed","group":"all","credit":1,"windowS":1"#;

pub fn site() -> Site {
    serde_json::from_str::<SettingsObject>(INFO)
        .unwrap()
        .into_site()
        .unwrap()
}

pub fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

/// An event of the board: machines by number, with state and start in milliseconds.
pub fn notice(number: u64, whole: bool, machines: &[(u32, &str, u64)]) -> Input {
    let entry = |&(n, state, started): &(u32, &str, u64)| {
        format!(
            r#"{{"instanceId":"s-{n}","hostPort":"127.0.1.{n}:9","zone":"east","machineType":"std","cell":0,
            "lifecycle":"{state}","weight":1,"startedAtMs":{started},"left_over":[30,60]}}"#
        )
    };
    let entries: Vec<String> = machines.iter().map(entry).collect();
    let entries = entries.join(",");
    let text = format!(
        r#"{{"rev":{number},"pool":{{"generation":{number},"reset":{whole},"instances":[{entries}]}}}}"#
    );
    Input::EndpointsDelivered(discovery::parse_event(&site(), &text).unwrap())
}

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

pub fn handed(id: u64, machine: &str) -> Message {
    let asks = format!("cores:1;memory:2;service:00000000b4d65521;at:{machine}");
    Message::new(MessageKind::SetUp, RequestId(id))
        .with(code::CLASS, b"web")
        .with(code::NAME, format!("{id:016x}").as_bytes())
        .with(code::REQUESTED, asks.as_bytes())
}

pub fn answer(id: u64) -> Message {
    Message::new(MessageKind::Accepted, RequestId(id))
        .with(code::DESCRIPTION, b"machine's \x01 own")
}

pub fn release(id: u64, cause: u8) -> Message {
    Message::release(RequestId(id), cause)
}

/// A gateway, and what it wants done.
pub struct Played {
    pub gateway: Gateway,
    pub now: f64,
    pub out: Vec<Output>,
}

impl Played {
    /// With machines 1 to `machines`, and the two clients connected.
    pub fn new(machines: u32) -> Self {
        Self::with(
            machines,
            Limits {
                downstreams: 8,
                upstreams: 16,
                closing: 2,
            },
        )
    }

    /// The same under other limits.
    pub fn with(machines: u32, limits: Limits) -> Self {
        let gateway = Gateway::new(site(), limits, 7).unwrap();
        let mut played = Self {
            gateway,
            now: 1000.0,
            out: Vec::new(),
        };
        let list: Vec<(u32, &str, u64)> = (1..=machines).map(|n| (n, "Ready", 0)).collect();
        played.step(notice(1, true, &list));
        played.step(Input::DownstreamOpened(OWNER, address(1)));
        played.step(Input::DownstreamOpened(OTHER, address(2)));
        played
    }

    /// The same where `web` may be repeated only within a second.
    pub fn keyed(machines: u32) -> Self {
        Self::of(
            &INFO.replace(
                r#""effect":"safe","group":"all","credit":1,"windowS":5"#,
                KEYED,
            ),
            machines,
        )
    }

    /// With other settings, and only the owner connected.
    pub fn of(info: &str, machines: u32) -> Self {
        let site = serde_json::from_str::<SettingsObject>(info)
            .unwrap()
            .into_site()
            .unwrap();
        let gateway = Gateway::new(
            site,
            Limits {
                downstreams: 8,
                upstreams: 16,
                closing: 2,
            },
            7,
        )
        .unwrap();
        let mut played = Self {
            gateway,
            now: 1000.0,
            out: Vec::new(),
        };
        let list: Vec<(u32, &str, u64)> = (1..=machines).map(|n| (n, "Ready", 0)).collect();
        played.step(notice(1, true, &list));
        played.step(Input::DownstreamOpened(OWNER, address(1)));
        played
    }

    /// One input; what it leads to stands in `out` alone. Looks find that all is read.
    pub fn step(&mut self, input: Input) -> &[Output] {
        self.step_seeing(input, |_| vec![])
    }

    /// The same; a look at a client finds what `unread` tells of it.
    pub fn step_seeing(
        &mut self,
        input: Input,
        mut unread: impl FnMut(DownstreamId) -> Vec<Input>,
    ) -> &[Output] {
        self.out.clear();
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut out = Vec::new();
            self.gateway
                .step(self.now, std::mem::take(&mut inputs), &mut out);
            for output in out {
                if let Output::Upstream(PoolAction::CheckPeer(line)) = output {
                    inputs.push(Input::UpstreamChecked(line));
                } else if let Output::CheckDownstream(client) = output {
                    inputs.extend(unread(client));
                    inputs.push(Input::DownstreamChecked(client, PeerCheck::Idle));
                } else {
                    inputs.extend(
                        (output == Output::StopListening).then_some(Input::ListeningStopped),
                    );
                    self.out.push(output);
                }
            }
        }
        &self.out
    }

    /// Time goes on by steps as short as the gateway asks for; all that is wanted meanwhile stands in `out`.
    /// Machines can't be reached, where `refused` says so because nobody listens.
    pub fn wait(&mut self, seconds: f64, refused: Option<bool>) {
        let until = self.now + seconds;
        let mut all = Vec::new();
        while self.now < until {
            self.now = self.gateway.next_wake().clamp(self.now + 0.001, until);
            self.step(Input::Tick);
            let dials: Vec<UpstreamId> = self.dials().iter().map(|dial| dial.0).collect();
            all.append(&mut self.out);
            for line in dials.into_iter().filter(|_| refused == Some(true)) {
                self.step(Input::UpstreamConnectRefused(line));
                all.append(&mut self.out);
            }
        }
        self.out = all;
    }

    pub fn client_says(&mut self, client: DownstreamId, message: Message) -> &[Output] {
        self.step(Input::DownstreamMessage(client, message))
    }

    pub fn machine_says(&mut self, line: UpstreamId, message: Message) -> &[Output] {
        self.step(Input::UpstreamMessage(line, message))
    }

    /// Connections that are to be dialled: which, and where to.
    pub fn dials(&self) -> Vec<(UpstreamId, String)> {
        let dial = |output: &Output| match output {
            Output::Upstream(PoolAction::Dial(line, address)) => Some((*line, address.clone())),
            _ => None,
        };
        self.out.iter().filter_map(dial).collect()
    }

    /// Messages to a client.
    pub fn told(&self, client: DownstreamId) -> Vec<Message> {
        let told = |output: &Output| match output {
            Output::WriteDownstream(to, bytes) if *to == client => Some(read(bytes)),
            _ => None,
        };
        self.out.iter().filter_map(told).flatten().collect()
    }

    /// Messages to machines.
    pub fn written(&self) -> Vec<(UpstreamId, Message)> {
        let written = |output: &Output| match output {
            Output::Upstream(
                PoolAction::Write(line, bytes) | PoolAction::Offer(line, _, bytes),
            ) => Some((*line, bytes.clone())),
            _ => None,
        };
        let all = self.out.iter().filter_map(written);
        all.flat_map(|(line, bytes)| read(&bytes).into_iter().map(move |m| (line, m)))
            .collect()
    }

    pub fn closed_lines(&self) -> Vec<UpstreamId> {
        let closed = |output: &Output| match output {
            Output::Upstream(PoolAction::Close(line) | PoolAction::HalfClose(line)) => Some(*line),
            _ => None,
        };
        self.out.iter().filter_map(closed).collect()
    }

    pub fn closed_clients(&self) -> Vec<DownstreamId> {
        let closed = |output: &Output| match output {
            Output::CloseDownstream(client) => Some(*client),
            _ => None,
        };
        self.out.iter().filter_map(closed).collect()
    }

    /// A set-up is taken, and its offer is written on a new connection: that one and the machine's address.
    pub fn offered(&mut self, message: Message) -> (UpstreamId, String) {
        self.client_says(OWNER, message);
        let (line, address) = self.dials().pop().expect("a dial");
        self.step(Input::UpstreamOpened(line));
        (line, address)
    }

    /// A task that stands, on the connection of its offer.
    pub fn standing(&mut self, id: u64, class: &str) -> (UpstreamId, String) {
        let (line, address) = self.offered(set_up(id, class));
        self.machine_says(line, answer(id));
        assert_eq!(self.told(OWNER)[0].kind, MessageKind::Accepted);
        (line, address)
    }
}

pub fn read(bytes: &[u8]) -> Vec<Message> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    std::iter::from_fn(|| decoder.next_message().expect("our own bytes are messages")).collect()
}
