//! Runs members in simulated time without packet loss, and builds datagrams.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use tidespur_membership::{
    Input, MAX_DATAGRAM_BYTES, MemberId, MemberMetadata, MemberState, Membership, Output, Role,
    Settings,
};

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn id(name: &str, port: u16, incarnation: u64) -> MemberId {
    MemberId {
        name: name.into(),
        address: address(port),
        incarnation,
        rejoin_count: 0,
    }
}

pub fn member(own: MemberId, settings: Settings, now: f64) -> Membership {
    Membership::new(settings, own, MemberMetadata::for_role(Role::Edge), 1, now)
        .expect("a valid member")
}

/// Runs the members from `start` to `end` in steps of 10 ms. A datagram to port n is delivered at once to the member
/// with index n - 1. Returns the events, each with the index of its member.
pub fn run(members: &mut [Membership], start: f64, end: f64) -> Vec<(usize, Output)> {
    let mut events = Vec::new();
    let mut now = start;
    while now < end {
        let mut in_flight = Vec::new();
        for (index, member) in members.iter_mut().enumerate() {
            let mut outputs = Vec::new();
            if member.next_wake() <= now {
                member.step(now, [], &mut outputs);
            }
            in_flight.extend(outputs.into_iter().map(|output| (index, output)));
        }
        while let Some((index, output)) = in_flight.pop() {
            let Output::SendDatagram(to, bytes) = output else {
                events.push((index, output));
                continue;
            };
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let receiver = usize::from(to.port()) - 1;
            let mut outputs = Vec::new();
            if let Some(member) = members.get_mut(receiver) {
                member.step(now, [Input::DatagramReceived(bytes)], &mut outputs);
            }
            in_flight.extend(outputs.into_iter().map(|output| (receiver, output)));
        }
        now += 0.01;
    }
    events
}

/// Settings with the member at port 1 as the only seed.
pub fn settings_with_seed() -> Settings {
    Settings {
        seed_addresses: vec![address(1)],
        ..Settings::default()
    }
}

/// The first datagram of a member at port 9: `Hello` to its seed.
pub fn hello(settings: Settings, name: &str) -> Vec<u8> {
    let mut outputs = Vec::new();
    member(id(name, 9, 1), settings, 0.0).step(0.0, [], &mut outputs);
    outputs
        .into_iter()
        .find_map(|output| match output {
            Output::SendDatagram(_, bytes) => Some(bytes),
            _ => None,
        })
        .expect("it sends a datagram to its seed")
}

/// The bytes of a sent datagram; `None` for other outputs.
pub fn datagram(output: Output) -> Option<Vec<u8>> {
    match output {
        Output::SendDatagram(_, bytes) => Some(bytes),
        _ => None,
    }
}

/// The state of the member `name` in the view of `member`.
pub fn state_of(member: &Membership, name: &str) -> MemberState {
    let members = member.view().members;
    members
        .into_iter()
        .find(|member| member.id.name == name)
        .expect("the member is known")
}
