//! Keeps the connections of callers, and closes those that must make room.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_policy::caller_connections::{
    Activity, CallerTimeouts, ConnectionId, ConnectionLimits, ConnectionTable, NoRoom,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// How long a new connection waits for one that was chosen to be closed, before another one is chosen.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often it is checked whether there is room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a connection of a caller is closed or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection needs its room.
    RoomNeeded,
    /// Its caller has sent or read nothing for too long.
    TimedOut,
    /// There is no room for it.
    NotAccepted,
}

impl CloseReason {
    /// Returns the reason as log lines state it.
    pub fn text(self) -> &'static str {
        match self {
            Self::RoomNeeded => "room needed for others",
            Self::TimedOut => "its caller is too slow",
            Self::NotAccepted => "no room",
        }
    }
}

/// Called for each connection that is closed or not accepted.
type Report = Box<dyn Fn(CloseReason) + Send + Sync>;

/// The connections of callers to a process.
pub struct CallerConnections {
    state: Mutex<State>,
    /// Notified when a connection was closed, or has given memory back.
    room_freed: Notify,
    report: Report,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Cancelled to close a connection. Sorted by id.
    closing: Vec<(ConnectionId, CancellationToken)>,
}

impl std::fmt::Debug for CallerConnections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerConnections")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl CallerConnections {
    /// Creates a process's connections. `report` is called for each one that is closed or not
    /// accepted.
    pub fn new(
        limits: ConnectionLimits,
        report: impl Fn(CloseReason) + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                table: ConnectionTable::new(limits),
                closing: Vec::new(),
            }),
            room_freed: Notify::new(),
            report: Box::new(report),
        })
    }

    /// Returns what the connections may take together.
    pub fn limits(&self) -> ConnectionLimits {
        self.lock().table.limits()
    }

    /// Adds a connection. Closes another one if there is no room, and waits until it is closed. Returns
    /// `None` if no other one may be closed.
    pub async fn admit(self: &Arc<Self>) -> Option<CallerConnection> {
        loop {
            let freed = self.room_freed.notified();
            let now = Instant::now();
            {
                let mut state = self.lock();
                if let Some(connection) = self.open(&mut state, now) {
                    return Some(connection);
                }
                match state.table.choose_for_new_connection(now) {
                    Ok(chosen) => self.close_all(&state, &[chosen], CloseReason::RoomNeeded),
                    Err(NoRoom) => {
                        self.report_not_accepted(&state);
                        return None;
                    }
                }
            }
            // The timeout ends only the wait for the connection that was chosen.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, freed).await;
        }
    }

    /// Does the same as [`Self::admit`] without waiting: the other connection may still be open for a
    /// moment.
    pub fn admit_now(self: &Arc<Self>) -> Option<CallerConnection> {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(connection) = self.open(&mut state, now) {
            return Some(connection);
        }
        let Ok(chosen) = state.table.choose_for_new_connection(now) else {
            self.report_not_accepted(&state);
            return None;
        };
        self.close_all(&state, &[chosen], CloseReason::RoomNeeded);
        let id = state.table.open_instead_of_closing(now);
        Some(self.register(&mut state, id))
    }

    fn report_not_accepted(&self, state: &State) {
        let (connections, held_bytes) = (state.table.len(), state.table.held_bytes());
        let reason = CloseReason::NotAccepted;
        log::info!(reason = reason.text(), connections, held_bytes; "caller connection not accepted");
        (self.report)(reason);
    }

    fn open(self: &Arc<Self>, state: &mut State, now: Instant) -> Option<CallerConnection> {
        let id = state.table.open(now)?;
        Some(self.register(state, id))
    }

    fn register(self: &Arc<Self>, state: &mut State, id: ConnectionId) -> CallerConnection {
        let closing = CancellationToken::new();
        // Ids ascend.
        state.closing.push((id, closing.clone()));
        CallerConnection(Arc::new(Entry {
            connections: Arc::clone(self),
            id,
            closing,
        }))
    }

    /// Closes the connections whose callers have exceeded a timeout.
    pub fn close_timed_out(&self, timeouts: CallerTimeouts) {
        let mut state = self.lock();
        let chosen = state.table.choose_timed_out(timeouts, Instant::now());
        self.close_all(&state, &chosen, CloseReason::TimedOut);
    }

    /// Returns the memory that the connections hold.
    pub fn held_bytes(&self) -> usize {
        self.lock().table.held_bytes()
    }

    fn close_all(&self, state: &State, chosen: &[ConnectionId], reason: CloseReason) {
        for id in chosen {
            if let Ok(index) = state.closing.binary_search_by_key(id, |(id, _)| *id) {
                state.closing[index].1.cancel();
            }
            let activity = state.table.activity(*id);
            log::info!(connection = id, reason = reason.text(), activity:? = activity, held_bytes = state.table.held_bytes(); "caller connection closed");
            (self.report)(reason);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("caller connections lock")
    }
}

/// A connection of a caller. Clones stand for the same connection, which counts until the last one is
/// dropped.
#[derive(Debug, Clone)]
pub struct CallerConnection(Arc<Entry>);

#[derive(Debug)]
struct Entry {
    connections: Arc<CallerConnections>,
    id: ConnectionId,
    closing: CancellationToken,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.close(self.id);
        state.closing.retain(|(id, _)| *id != self.id);
        drop(state);
        self.connections.room_freed.notify_waiters();
    }
}

impl CallerConnection {
    /// Waits until the connection must be closed.
    pub async fn closing(&self) {
        self.0.closing.cancelled().await;
    }

    /// Records what the connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        let mut state = self.0.connections.lock();
        state
            .table
            .set_activity(self.0.id, activity, Instant::now());
    }

    /// Returns what the connection does.
    pub fn activity(&self) -> Activity {
        let activity = self.0.connections.lock().table.activity(self.0.id);
        activity.unwrap_or(Activity::Idle)
    }

    /// Records that the caller has sent `bytes`. On an idle connection they begin a request.
    pub fn record_received(&self, bytes: usize) {
        let mut state = self.0.connections.lock();
        state
            .table
            .record_received(self.0.id, bytes, Instant::now());
    }

    /// Records that the socket has taken `bytes` of a response.
    pub fn record_sent(&self, bytes: usize) {
        let mut state = self.0.connections.lock();
        state.table.record_sent(self.0.id, bytes, Instant::now());
    }

    /// Records that the socket takes no more of a response.
    pub fn record_write_blocked(&self) {
        let mut state = self.0.connections.lock();
        state.table.record_write_blocked(self.0.id, Instant::now());
    }

    /// Begins to hold memory for the caller.
    pub fn hold_nothing(&self) -> HeldBytes {
        HeldBytes {
            connection: self.clone(),
            bytes: 0,
        }
    }

    /// Holds `bytes` for the caller. Closes the connections of others if their room is needed.
    pub fn hold(&self, bytes: usize) -> Result<HeldBytes, NoRoom> {
        let mut held = self.hold_nothing();
        held.grow_to(bytes)?;
        Ok(held)
    }

    /// Does the same as [`Self::hold`], and waits for room until `deadline`.
    pub async fn hold_until(&self, bytes: usize, deadline: Instant) -> Result<HeldBytes, NoRoom> {
        let mut held = self.hold_nothing();
        held.grow_until(bytes, deadline).await?;
        Ok(held)
    }

    /// Waits until there may be more room than now.
    async fn wait_for_room(&self) {
        let freed = self.0.connections.room_freed.notified();
        // Callers also fall behind, which nothing notifies.
        let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, freed).await;
    }

    fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        let connections = &self.0.connections;
        let mut state = connections.lock();
        let chosen = state.table.reserve(self.0.id, bytes, Instant::now())?;
        connections.close_all(&state, &chosen, CloseReason::RoomNeeded);
        Ok(())
    }
}

/// Memory that is held for a caller. It is given back when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    connection: CallerConnection,
    bytes: usize,
}

impl HeldBytes {
    /// Holds `bytes` in total, if that is more than now. Returns an error if there is no room, and then
    /// changes nothing.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let more_bytes = bytes.saturating_sub(self.bytes);
        if more_bytes > 0 {
            self.connection.reserve(more_bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Does the same as [`Self::grow_to`], and waits for room until `deadline`.
    pub async fn grow_until(&mut self, bytes: usize, deadline: Instant) -> Result<(), NoRoom> {
        while self.grow_to(bytes).is_err() {
            if Instant::now() >= deadline {
                return Err(NoRoom);
            }
            self.connection.wait_for_room().await;
        }
        Ok(())
    }

    /// Gives back what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = HeldBytes {
            connection: self.connection.clone(),
            bytes: self.bytes.saturating_sub(bytes),
        };
        self.bytes -= excess.bytes;
    }

    /// Returns `bytes`, for which this is held until they are dropped.
    pub fn attach_to(self, bytes: impl Into<Vec<u8>>) -> Bytes {
        Bytes::from_owner(Attached {
            bytes: bytes.into(),
            _held: self,
        })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let entry = &self.connection.0;
        entry.connections.lock().table.release(entry.id, self.bytes);
        entry.connections.room_freed.notify_waiters();
    }
}

/// Bytes and what is held for them.
struct Attached {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
