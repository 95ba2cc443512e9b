//! Validates the blocks `fleet`, `durable` and `ledger`.

use crate::error::{InvalidValue, check_range};
use crate::{CoordinationSection, MembershipSection, PersistenceSection};
use std::net::SocketAddr;
use tidespur_membership::is_valid_name;

/// Allowed numbers of voters: an even number tolerates no more failures than the odd number below it.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];

pub(super) fn check_membership(section: &MembershipSection) -> Result<(), InvalidValue> {
    if !is_valid_name(&section.cluster) {
        let message = "1 to 48 letters, digits, '-', '_' or '.' are needed";
        return Err(InvalidValue::new("fleet.cluster", message));
    }
    let listen = parse_address("fleet.listen", &section.listen)?;
    // Other members are sent this address and must be able to reach it.
    if listen.ip().is_unspecified() {
        let message = "the address that others reach is needed, not 0.0.0.0 or ::";
        return Err(InvalidValue::new("fleet.listen", message));
    }
    for address in &section.join {
        parse_address("fleet.join", address)?;
    }
    let max_members = f64::from(section.max_members);
    check_range("fleet.members_most", max_members, 2.0, 4096.0)
}

fn parse_address(key: &str, address: &str) -> Result<SocketAddr, InvalidValue> {
    let message = "an address and a port are needed, as 127.0.0.1:7001";
    let parsed = address.parse();
    parsed.map_err(|_| InvalidValue::new(key, message))
}

pub(super) fn check_persistence(section: &PersistenceSection) -> Result<(), InvalidValue> {
    if section.directory.is_empty() {
        let message = "the folder beneath which each process has its own is needed";
        return Err(InvalidValue::new("durable.dir", message));
    }
    Ok(())
}

pub(super) fn check_coordination(section: &CoordinationSection) -> Result<(), InvalidValue> {
    if !VOTER_COUNTS.contains(&section.voters.len()) {
        let message = "1, 3 or 5 voters are needed: an even number bears no more failures";
        return Err(InvalidValue::new("ledger.voters", message));
    }
    for (name, address) in &section.voters {
        if !is_valid_name(name) || !is_reachable(address) {
            let message = "a name and the address that the others reach are needed, as edge-0 = \"127.0.0.1:7101\"";
            return Err(InvalidValue::new("ledger.voters", message));
        }
    }
    check_range("ledger.term", section.lease_term, 1.0, 600.0)?;
    check_range("ledger.drift", section.max_clock_drift, 0.0, 0.2)
}

/// Whether this is an address with a port that other hosts can connect to, not the wildcard address.
fn is_reachable(address: &str) -> bool {
    let address = address.parse::<SocketAddr>();
    address.is_ok_and(|address| !address.ip().is_unspecified())
}
