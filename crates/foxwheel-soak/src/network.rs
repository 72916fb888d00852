//! Loopback networks. Each fleet has its own, with one address for every host, because processes
//! use the same ports on all hosts.

use std::net::{IpAddr, Ipv4Addr, TcpListener};

/// Port for messages between processes, on the address of each host.
pub const PEER_PORT: u16 = 27_660;

/// Port for callers, on the address of each front.
pub const CALLER_PORT: u16 = 27_661;

/// Port on which the platform asks a front whether it is ready.
pub const READINESS_PORT: u16 = 27_662;

/// Port for metrics, on the address of each host.
pub const METRICS_PORT: u16 = 27_664;

/// Port on the last address of a network. Listening on it claims the network.
const CLAIM_PORT: u16 = 27_659;

/// Number of networks, which limits how many fleets can run at the same time on one machine.
const NETWORK_COUNT: u32 = 240;

/// A claimed loopback network `127.27.NUMBER.0/24`. Dropping it releases the claim.
#[derive(Debug)]
pub struct Network {
    number: u8,
    /// Kept open so that no other fleet of this or another process claims the same network.
    _claim: TcpListener,
}

impl Network {
    /// Claims a free network. Returns `None` if all are in use.
    pub fn claim() -> Option<Self> {
        let first = std::process::id();
        (0..NETWORK_COUNT).find_map(|at| {
            let number = 10 + ((first + at) % NETWORK_COUNT) as u8;
            let claim = TcpListener::bind((address(number, 255), CLAIM_PORT)).ok()?;
            let network = Self {
                number,
                _claim: claim,
            };
            Some(network)
        })
    }

    /// Returns the address with this number in the network. 255 is the address used to claim it.
    pub fn host(&self, host: u8) -> IpAddr {
        address(self.number, host)
    }
}

fn address(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 27, network, host))
}
