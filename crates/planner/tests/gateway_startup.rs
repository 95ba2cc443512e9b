//! Many processes that start at once, each under a crowd of idle clients that fills its descriptors, with discovery down.

mod common;

use common::machine::Machine;
use common::{GatewayProcess, config, event, own_address, passes_health_check, until};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const ALL: usize = 10;
const KILLED: usize = 7;
/// The platform's term: nine in ten are ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors that a process may hold, and idle clients that come to each.
const SOCKETS: &str = r#""sockets":48"#;
const CROWD: usize = 60;

/// Idle clients of one process: as many as stay, and new ones for those that are closed or refused, until told to end.
fn crowd(at: SocketAddr, ends: Arc<AtomicBool>) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let (mut idle, mut came): (Vec<TcpStream>, usize) = (Vec::new(), 0);
        while !ends.load(Ordering::Relaxed) {
            let mut byte = [0];
            idle.retain_mut(
                |stream| matches!(stream.read(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock),
            );
            while idle.len() < CROWD
                && let Ok(stream) = TcpStream::connect(at)
            {
                stream.set_nonblocking(true).unwrap();
                idle.push(stream);
                came += 1;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        came
    })
}

#[test]
fn seven_of_ten_killed_at_once_under_idle_clients_and_without_discovery_are_ready_in_time_and_place()
 {
    let (mut machine, nobody) = (Machine::new(), own_address());
    let known = event(1, true, "s-1", machine.at);
    let start = |n: usize, at: Option<SocketAddr>| {
        let few = |config: String| config.replace(r#""sockets":256"#, SOCKETS);
        let change = |made| few(at.map_or(made, |at| config(at, nobody, &known)));
        let mut gateway =
            GatewayProcess::start_with(&format!("starts-{n}"), nobody, &known, change);
        gateway.at = at.unwrap_or(gateway.at);
        gateway
    };
    let mut fleet: Vec<GatewayProcess> = (0..ALL).map(|n| start(n, None)).collect();
    let ends = Arc::new(AtomicBool::new(false));
    for gateway in &fleet {
        until("ready at first", || passes_health_check(gateway.at));
    }
    let crowds: Vec<_> = fleet
        .iter()
        .map(|gateway| crowd(gateway.at, ends.clone()))
        .collect();
    for gateway in &fleet {
        until("its descriptors are filled", || gateway.descriptors() > 24);
    }
    let before: Vec<SocketAddr> = fleet.drain(..KILLED).map(|gateway| gateway.at).collect();
    let began = Instant::now();
    let started: Vec<GatewayProcess> = before
        .iter()
        .enumerate()
        .map(|(n, &at)| start(n, Some(at)))
        .collect();
    let watched = started.iter().map(|gateway| {
        let at = gateway.at;
        std::thread::spawn(move || {
            until("ready again", || passes_health_check(at));
            began.elapsed()
        })
    });
    let watched: Vec<_> = watched.collect();
    let ready: Vec<Duration> = watched.into_iter().map(|one| one.join().unwrap()).collect();
    println!("ready after {ready:?}");
    let in_time = ready.iter().filter(|&&took| took <= READY_WITHIN).count();
    assert!(
        in_time * 10 >= KILLED * 9,
        "{in_time} of {KILLED} were ready in time: {ready:?}"
    );
    fleet.extend(started);
    for (n, gateway) in fleet.iter().enumerate() {
        let id = 100 + n as u64;
        let mut owner = gateway.connect();
        machine.places(&mut owner, id);
    }
    ends.store(true, Ordering::Relaxed);
    let came: Vec<usize> = crowds
        .into_iter()
        .map(|crowd| crowd.join().unwrap())
        .collect();
    assert!(
        came.iter().all(|&came| came >= CROWD),
        "the crowd was there: {came:?}"
    );
}
