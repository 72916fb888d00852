//! Backend servers as they are described by their entries in the platform's server list.

use std::net::SocketAddr;

use foxwheel_core::ids::{Incarnation, ServerId, ServiceName, SoftwareVersion, Zone};
use serde::{Deserialize, Serialize};

use crate::stream_origin::StreamOrigin;

/// One instance of a backend server: a server that restarts is a new instance under the same
/// id. Loads, failures and connections are tracked per instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's id.
    pub id: ServerId,
    /// Distinguishes the instances that have this id.
    pub incarnation: Incarnation,
}

impl std::fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.id)
    }
}

/// The state that a backend server reports for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts new work.
    Ready,
    /// The server is shutting down and accepts no new work.
    Draining,
}

/// The entry of one backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The server's id; later instances may have the same one.
    pub id: ServerId,
    /// Distinguishes the instances that have this id.
    pub incarnation: Incarnation,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// Listening address; a server of another service may use it later.
    pub addr: SocketAddr,
    /// The server's availability zone.
    pub zone: Zone,
    /// The version of the server's software. It never changes within an instance.
    pub version: SoftwareVersion,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: ServerState,
}

impl BackendServer {
    /// Returns the instance that the entry describes.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the origin of the streams that begin at the server.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            service: self.service.clone(),
            version: self.version.clone(),
        }
    }
}
