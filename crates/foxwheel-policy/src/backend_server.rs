//! What is known of a backend server from its entry in the platform's list.

use std::net::SocketAddr;

use foxwheel_core::ids::{Incarnation, ServerId, ServiceName, Zone};
use serde::{Deserialize, Serialize};

/// One start of a backend server. Loads, failures and connections belong to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's id.
    pub id: ServerId,
    /// Tells its starts apart.
    pub incarnation: Incarnation,
}

impl std::fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.id)
    }
}

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Is leaving: takes no new work.
    Draining,
}

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its id, which a later start may have too.
    pub id: ServerId,
    /// Tells starts under one id apart.
    pub incarnation: Incarnation,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens; may be reused by another service's server later.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

impl BackendServer {
    /// The start that the entry tells of.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}
