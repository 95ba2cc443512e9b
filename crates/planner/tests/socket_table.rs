//! The view of the kernel's socket tables, on which the tests of the gateway rely.

mod common;

use common::{GatewayProcess, connection_end, listen, pool_event};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Connects from a local address that other connections may use too.
fn connect_from(local: SocketAddr, peer: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&local.into()).unwrap();
    socket.connect(&peer.into()).unwrap();
    socket.into()
}

// Guards against a look at the connection of another process, which may come from the same address and port.
#[test]
fn connections_to_other_processes_from_the_same_port_are_not_the_gateways() {
    let (_discovery, discovery_address) = listen();
    let known = pool_event(1, true, "s-1", listen().1);
    let gateway = GatewayProcess::start("same-port", discovery_address, &known);
    drop(gateway.connect());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let client = connect_from(any_port, gateway.address);
    let client_address = client.local_addr().unwrap();
    let others: Vec<_> = (0..40).map(|_| listen()).collect();
    let _streams: Vec<TcpStream> = others
        .iter()
        .map(|(_, other)| {
            let mut stream = connect_from(client_address, *other);
            stream.write_all(b"x").unwrap();
            stream
        })
        .collect();
    let end = connection_end(gateway.child.id(), client_address).expect("the connection is open");
    assert_eq!((end.state.as_str(), end.unread_bytes), ("01", 0));
}
