//! Messages of the hosts of a zone, for tests of the state that a process keeps of its peers.

use std::net::SocketAddr;
use std::time::Duration;

use foxwheel_node::load_table::ServerLoad;
use foxwheel_node::peer_calls::StoreStateVersion;
use foxwheel_node::peer_messages::Heartbeat;
use foxwheel_node::peers::Peers;
use foxwheel_node::settings::Role;
use foxwheel_policy::membership::ServerInstance;

/// Returns the peer address of a host.
pub fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_660))
}

/// Returns an instance of the only server.
pub fn server(incarnation: u64) -> ServerInstance {
    ServerInstance {
        id: "server-1".to_owned(),
        incarnation,
    }
}

/// Returns the empty peer state of a worker in the zone `hall`.
pub fn worker_peers() -> Peers {
    Peers::new("hall".to_owned(), Role::Worker)
}

/// Returns a heartbeat of a worker in the zone `hall` that knows the addresses of the hosts `known`
/// and has as many online requests in flight as its host's number.
pub fn heartbeat(host: u8, sequence: u64, known: &[u8]) -> Heartbeat {
    Heartbeat {
        host: format!("host-{host}"),
        incarnation: 1,
        sequence,
        role: Role::Worker,
        zone: "hall".to_owned(),
        addr: addr(host),
        leaving: false,
        store_reached: true,
        is_watching_store: false,
        time_since_store_response: Duration::ZERO,
        state_version: StoreStateVersion::default(),
        quarantine_digest: 0,
        representatives: Vec::new(),
        loads: vec![ServerLoad {
            server: server(1),
            online: u32::from(host),
            batch: 1,
        }],
        dead_instances: Vec::new(),
        claims: Vec::new(),
        waiting_items: 0,
        known_addresses: known.iter().map(|host| addr(*host)).collect(),
    }
}
