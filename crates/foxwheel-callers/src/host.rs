//! What a process may use on its host, and the part of it that callers may take.

use foxwheel_policy::caller_connections::ConnectionLimits;
use nix::sys::resource::{self, Resource};

/// Open files of a host that a platform keeps for other purposes than the sockets of the process.
const RESERVED_FILES: usize = 200;

/// Open files that a process needs for itself: its listeners, connections to the store, and connections of
/// callers that were accepted and are not registered.
const OWN_FILES: usize = 64;

/// Part of the open files for connections from other processes of the system, and as many to them.
const PEERS_SHARE: usize = 16;

/// Smallest number of connections from other processes of the system.
const MIN_PEER_CONNECTIONS: usize = 32;

/// Connections to each address for the platform and for operators.
const STATUS_CONNECTIONS: usize = 16;

/// Memory of all connections to such an address.
const STATUS_BYTES: usize = 1024 * 1024;

/// Part of the memory that other processes of the system may take with incomplete calls.
const PEERS_MEMORY_SHARE: f64 = 0.15;

/// Part of the memory that callers may take. The rest is for the process itself, for what its
/// allocator cannot return, and for what arrives at sockets and is not read yet.
const CALLERS_SHARE: f64 = 0.4;

/// Smallest number of connections, however few files the host allows.
const MIN_CONNECTIONS: usize = 8;

/// Memory of a connection in the process: its task, and the smallest buffer of its parser.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Smallest receive buffer of a socket. A body of four megabytes passes through it within seconds,
/// also from callers that are 20 ms away.
const MIN_RECEIVE_BUFFER_BYTES: u64 = 16 * 1024;

/// Largest receive buffer of a socket.
const MAX_RECEIVE_BUFFER_BYTES: u64 = 64 * 1024;

/// Part of the memory that one receive buffer may take.
const RECEIVE_BUFFER_SHARE: u64 = 5_500;

/// The number of bytes in a megabyte, as settings count them.
pub const BYTES_PER_MB: f64 = 1_000_000.0;

/// What a process may use on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Open files, among them sockets; `None` for the limit that the process was started with.
    pub open_files: Option<u64>,
}

impl HostLimits {
    /// Returns what the connections of callers may take together, if the process opens
    /// `files_per_connection` files for each.
    pub fn for_callers(self, files_per_connection: usize) -> ConnectionLimits {
        let own_files = OWN_FILES + 2 * STATUS_CONNECTIONS + 2 * self.max_peer_connections();
        let callers_files = self.open_files().saturating_sub(RESERVED_FILES + own_files);
        let connections = callers_files / files_per_connection;
        // What has arrived and is not read counts as memory. The kernel accepts half as much again as
        // the size of the buffer.
        let unread_bytes = self.receive_buffer_bytes() / 2 * 3;
        ConnectionLimits {
            max_connections: connections.max(MIN_CONNECTIONS),
            max_bytes: (self.memory_bytes as f64 * CALLERS_SHARE) as usize,
            connection_bytes: CONNECTION_BYTES + unread_bytes as usize,
        }
    }

    /// Returns what the connections of other processes of the system may take together.
    pub fn for_peers(self) -> ConnectionLimits {
        ConnectionLimits {
            max_connections: self.max_peer_connections(),
            max_bytes: (self.memory_bytes as f64 * PEERS_MEMORY_SHARE) as usize,
            connection_bytes: 0,
        }
    }

    /// Returns what the connections to an address for the platform or for operators may take together.
    pub fn for_status() -> ConnectionLimits {
        ConnectionLimits {
            max_connections: STATUS_CONNECTIONS,
            max_bytes: STATUS_BYTES,
            connection_bytes: CONNECTION_BYTES,
        }
    }

    fn max_peer_connections(self) -> usize {
        (self.open_files() / PEERS_SHARE).max(MIN_PEER_CONNECTIONS)
    }

    fn open_files(self) -> usize {
        let open_files = self.open_files.unwrap_or_else(process_file_limit);
        usize::try_from(open_files).unwrap_or(usize::MAX)
    }

    /// Returns the size of the receive buffer of each caller's socket, which bounds what has arrived
    /// and is not read.
    pub fn receive_buffer_bytes(self) -> u32 {
        let bytes = (self.memory_bytes / RECEIVE_BUFFER_SHARE)
            .clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES);
        bytes as u32
    }
}

/// Returns the limit of open files that the process was started with.
fn process_file_limit() -> u64 {
    /// The usual limit of a process that is given none.
    const USUAL_LIMIT: u64 = 1_024;
    match resource::getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft_limit, _)) => soft_limit,
        Err(e) => {
            log::warn!(error:% = e; "the limit of open files is not known; assuming {USUAL_LIMIT}");
            USUAL_LIMIT
        }
    }
}
