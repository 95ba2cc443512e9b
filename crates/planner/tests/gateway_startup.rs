//! Gateways that restart at the same time, each with idle clients that use up its descriptors, while discovery is
//! unavailable: they must be ready in time and place tasks.

mod common;

use common::machine::Machine;
use common::{
    GatewayProcess, config, passes_health_check, pool_event, reserve_address, wait_until,
};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 10;
const KILLED: usize = 7;
/// The platform requires that nine in ten gateways are ready within this time.
const READY_DEADLINE: Duration = Duration::from_secs(10);
/// Limit of descriptors of a gateway, as a setting.
const SOCKETS: &str = r#""sockets":48"#;
/// Idle clients of each gateway.
const IDLE_CLIENTS: usize = 60;

/// Keeps idle connections to one gateway and replaces closed ones until `stop` is set. Returns the number of
/// connections that were opened.
fn keep_idle_clients(address: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let (mut idle, mut opened): (Vec<TcpStream>, usize) = (Vec::new(), 0);
        while !stop.load(Ordering::Relaxed) {
            let mut byte = [0];
            idle.retain_mut(
                |stream| matches!(stream.read(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock),
            );
            while idle.len() < IDLE_CLIENTS
                && let Ok(stream) = TcpStream::connect(address)
            {
                stream.set_nonblocking(true).unwrap();
                idle.push(stream);
                opened += 1;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        opened
    })
}

#[test]
fn seven_of_ten_killed_at_once_with_idle_clients_and_without_discovery_are_ready_in_time() {
    let (mut machine, discovery) = (Machine::new(), reserve_address());
    let known = pool_event(1, true, "s-1", machine.address);
    let start = |n: usize, address: Option<SocketAddr>| {
        let limit_sockets = |config: String| config.replace(r#""sockets":256"#, SOCKETS);
        let change = |default| {
            limit_sockets(address.map_or(default, |address| config(address, discovery, &known)))
        };
        let mut gateway =
            GatewayProcess::start_with(&format!("starts-{n}"), discovery, &known, change);
        gateway.address = address.unwrap_or(gateway.address);
        gateway
    };
    let mut fleet: Vec<GatewayProcess> = (0..GATEWAYS).map(|n| start(n, None)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    for gateway in &fleet {
        wait_until("ready after the first start", || {
            passes_health_check(gateway.address)
        });
    }
    let idle_clients: Vec<_> = fleet
        .iter()
        .map(|gateway| keep_idle_clients(gateway.address, stop.clone()))
        .collect();
    for gateway in &fleet {
        wait_until("idle clients use the descriptors", || {
            gateway.descriptor_count() > 24
        });
    }
    let addresses: Vec<SocketAddr> = fleet
        .drain(..KILLED)
        .map(|gateway| gateway.address)
        .collect();
    let restart_time = Instant::now();
    let restarted: Vec<GatewayProcess> = addresses
        .iter()
        .enumerate()
        .map(|(n, &address)| start(n, Some(address)))
        .collect();
    let probes = restarted.iter().map(|gateway| {
        let address = gateway.address;
        std::thread::spawn(move || {
            wait_until("ready after the restart", || passes_health_check(address));
            restart_time.elapsed()
        })
    });
    let probes: Vec<_> = probes.collect();
    let ready: Vec<Duration> = probes
        .into_iter()
        .map(|probe| probe.join().unwrap())
        .collect();
    println!("ready after {ready:?}");
    let in_time = ready.iter().filter(|&&time| time <= READY_DEADLINE).count();
    assert!(
        in_time * 10 >= KILLED * 9,
        "{in_time} of {KILLED} were ready in time: {ready:?}"
    );
    fleet.extend(restarted);
    for (n, gateway) in fleet.iter().enumerate() {
        let id = 100 + n as u64;
        let mut owner = gateway.connect();
        machine.place_task(&mut owner, id);
    }
    stop.store(true, Ordering::Relaxed);
    let opened: Vec<usize> = idle_clients
        .into_iter()
        .map(|clients| clients.join().unwrap())
        .collect();
    assert!(
        opened.iter().all(|&opened| opened >= IDLE_CLIENTS),
        "all idle clients were connected: {opened:?}"
    );
}
