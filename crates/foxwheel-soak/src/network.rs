//! Loopback networks: each fleet has one, with an address for every host.

use std::net::{IpAddr, Ipv4Addr, TcpListener};

/// Port for talk between the processes, on each host's own address.
pub const PEER_PORT: u16 = 27_660;

/// Port for callers, on each host's own address.
pub const CALLER_PORT: u16 = 27_661;

/// Port on which the platform asks whether a front is ready.
pub const READINESS_PORT: u16 = 27_662;

/// Port of the metrics, on each host's own address.
pub const METRICS_PORT: u16 = 27_664;

/// Whoever listens here on a network's last address has the network.
const CLAIM_PORT: u16 = 27_659;

/// Networks that fleets may have at one time.
const NETWORKS: u32 = 240;

/// A network of its own: `127.27.NUMBER.*`. Given back when dropped.
#[derive(Debug)]
pub struct Network {
    number: u8,
    /// Held so that no other fleet, also of another process, takes the same.
    _claim: TcpListener,
}

impl Network {
    /// Takes a network that nobody has; none if all are taken.
    pub fn claim() -> Option<Self> {
        let first = std::process::id();
        (0..NETWORKS).find_map(|at| {
            let number = 10 + ((first + at) % NETWORKS) as u8;
            let claim = TcpListener::bind((address(number, 255), CLAIM_PORT)).ok()?;
            let network = Self {
                number,
                _claim: claim,
            };
            Some(network)
        })
    }

    /// Address `host` of the network; 255 is its claim.
    pub fn host(&self, host: u8) -> IpAddr {
        address(self.number, host)
    }
}

fn address(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 27, network, host))
}
