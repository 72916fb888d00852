//! Which connections of callers a process keeps, and how much memory it holds for them.
//!
//! Load pattern: callers that the operator does not control open many connections at once, send heads
//! and bodies without their ends, or read no responses. Each of them stays within the limits of one
//! request, but their sum exceeds the memory and the open files of the host. What is needed is taken
//! from the callers that are furthest behind; a caller that sends and reads at an ordinary pace is
//! never behind.

use std::time::{Duration, Instant};

/// Identifies a connection during the life of the process.
pub type ConnectionId = u64;

/// A connection may hold this much of the whole budget. Beyond it, it leaves a quarter to others, so
/// that ordinary requests are served beside large ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Slowest pace of an ordinary caller.
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// How long a caller may pause after it was on pace.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// A head that is incomplete for so long does not come in one piece, as those of ordinary callers do.
const MIN_HEAD_TIME: Duration = Duration::from_millis(100);

/// How long a connection must have been idle before it is closed for the sake of another one. Its
/// caller may be about to send a request.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// What the connections of a process may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum memory of all connections, in bytes.
    pub max_bytes: usize,
    /// Memory that each connection takes besides what is reserved for it: its task, and the smallest
    /// buffers of its socket and of its parser.
    pub connection_bytes: usize,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It waits for the next request.
    Idle,
    /// It reads the head of a request.
    ReadingHead,
    /// It reads the body of a request.
    ReadingBody,
    /// Its request is being served.
    Serving,
    /// It has refused a request whose body is still arriving, and is about to be closed.
    Discarding,
}

/// How long a connection may wait for its caller, however much room there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTimeouts {
    /// Longest time from the first to the last byte of a head.
    pub head: Duration,
    /// Longest time in which the caller reads nothing while a response is written.
    pub unread_response: Duration,
}

/// The process has no room, and no caller is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the connections of callers take all the room that they may")]
pub struct NoRoom;

/// One connection.
#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    /// Memory that the connection holds: what each one takes, and what was reserved for it.
    held_bytes: usize,
    activity: Activity,
    /// When `activity` began.
    active_since: Instant,
    /// Since when the socket has taken nothing of a response; `None` if it takes what is written.
    write_blocked_since: Option<Instant>,
    /// The caller is behind from this time on, unless it sends or reads more. Applies while the
    /// connection waits for its caller.
    on_pace_until: Instant,
    /// Whether it has had a complete request.
    was_used: bool,
    /// Whether it was chosen to be closed. It counts until it is.
    is_closing: bool,
}

impl Connection {
    fn waits_for_caller(&self) -> bool {
        match self.activity {
            Activity::ReadingHead | Activity::ReadingBody | Activity::Discarding => true,
            Activity::Idle | Activity::Serving => self.write_blocked_since.is_some(),
        }
    }

    /// Extends the time for which the caller is on pace by that of `bytes` at the slowest pace.
    fn extend_pace(&mut self, bytes: usize, now: Instant) {
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S).min(MAX_PAUSE);
        self.on_pace_until = (self.on_pace_until + earned).min(now + MAX_PAUSE);
    }

    /// Returns since when the caller is behind, or `None` if it is not.
    fn behind_since(&self, now: Instant) -> Option<Instant> {
        let is_behind = self.waits_for_caller() && self.on_pace_until < now;
        (is_behind && !self.is_closing).then_some(self.on_pace_until)
    }

    /// Returns since when the head is incomplete, or `None` if the connection reads none, or its rest may
    /// be about to arrive.
    fn head_incomplete_since(&self, now: Instant) -> Option<Instant> {
        let age = now.saturating_duration_since(self.active_since);
        let is_incomplete = self.activity == Activity::ReadingHead && age >= MIN_HEAD_TIME;
        (is_incomplete && !self.is_closing).then_some(self.active_since)
    }

    /// Returns since when the connection is idle, or `None` if it may be about to be used.
    fn idle_since(&self, now: Instant) -> Option<Instant> {
        let is_idle = self.activity == Activity::Idle && self.write_blocked_since.is_none();
        let is_long = now.saturating_duration_since(self.active_since) >= MIN_IDLE_TIME;
        (is_idle && is_long && !self.is_closing).then_some(self.active_since)
    }
}

/// The connections of callers to a process.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    /// Sorted by id.
    connections: Vec<Connection>,
    next_id: ConnectionId,
    /// Sum of what the connections hold that are not being closed.
    held_bytes: usize,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            next_id: 0,
            held_bytes: 0,
        }
    }

    /// Returns what the connections may take together.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    /// Returns the number of connections, among them those that are being closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the sum of what the connections hold, without those that are being closed.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a connection, if there is room for it.
    pub fn open(&mut self, now: Instant) -> Option<ConnectionId> {
        let connection_bytes = self.limits.connection_bytes;
        let has_room = self.connections.len() < self.limits.max_connections
            && self.held_bytes + connection_bytes <= self.limits.max_bytes;
        has_room.then(|| self.open_instead_of_closing(now))
    }

    /// Adds a connection in the place of one that was chosen for it, and may not be closed yet.
    pub fn open_instead_of_closing(&mut self, now: Instant) -> ConnectionId {
        let connection_bytes = self.limits.connection_bytes;
        let id = self.next_id;
        self.next_id += 1;
        self.held_bytes += connection_bytes;
        self.connections.push(Connection {
            id,
            held_bytes: connection_bytes,
            activity: Activity::Idle,
            active_since: now,
            write_blocked_since: None,
            on_pace_until: now + MAX_PAUSE,
            was_used: false,
            is_closing: false,
        });
        id
    }

    /// Chooses a connection to be closed for the sake of a new one: that of the caller that is behind
    /// for the longest time, else the one with the oldest incomplete head, else the one that has been
    /// idle for the longest time, first of those without a request so far.
    pub fn choose_for_new_connection(&mut self, now: Instant) -> Result<ConnectionId, NoRoom> {
        let behind = self.oldest_first(|connection| connection.behind_since(now));
        let heads = self.oldest_first(|connection| connection.head_incomplete_since(now));
        let candidates = [behind, heads, self.idle(now)].concat();
        let (_, index) = *candidates.first().ok_or(NoRoom)?;
        Ok(self.start_closing(index))
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Ok(index) = self.find(id) {
            let closed = self.connections.remove(index);
            if !closed.is_closing {
                self.held_bytes -= closed.held_bytes;
            }
        }
    }

    /// Reserves memory for a connection. Returns the connections that must be closed for it. Returns an
    /// error if there is no room, and then reserves nothing.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<ConnectionId>, NoRoom> {
        let index = self.find(id).map_err(|_| NoRoom)?;
        let connection = &mut self.connections[index];
        if connection.is_closing {
            return Err(NoRoom);
        }
        connection.held_bytes += bytes;
        self.held_bytes += bytes;
        let is_small = connection.held_bytes <= self.limits.connection_bytes + SMALL_BYTES;
        let chosen = self.choose_until_in_budget(id, is_small, now);
        if chosen.is_err() {
            self.release(id, bytes);
        }
        chosen
    }

    fn choose_until_in_budget(
        &mut self,
        id: ConnectionId,
        is_small: bool,
        now: Instant,
    ) -> Result<Vec<ConnectionId>, NoRoom> {
        let max_bytes = match is_small {
            true => self.limits.max_bytes,
            false => self.limits.max_bytes / 4 * 3,
        };
        let excess_bytes = self.held_bytes.saturating_sub(max_bytes);
        if excess_bytes == 0 {
            return Ok(Vec::new());
        }
        let mut candidates = self.oldest_first(|connection| connection.behind_since(now));
        if is_small {
            candidates.extend(self.idle(now));
        }
        // It must not be chosen for its own sake.
        candidates.retain(|(_, index)| self.connections[*index].id != id);
        let mut freed_bytes = 0;
        let enough = candidates.iter().position(|(_, index)| {
            freed_bytes += self.connections[*index].held_bytes;
            freed_bytes >= excess_bytes
        });
        let last = enough.ok_or(NoRoom)?;
        let chosen = candidates[..=last].iter();
        Ok(chosen
            .map(|(_, index)| self.start_closing(*index))
            .collect())
    }

    /// Returns memory that was reserved for a connection.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Ok(index) = self.find(id) {
            let connection = &mut self.connections[index];
            connection.held_bytes -= bytes;
            if !connection.is_closing {
                self.held_bytes -= bytes;
            }
        }
    }

    /// Records what a connection does from now on.
    pub fn set_activity(&mut self, id: ConnectionId, activity: Activity, now: Instant) {
        if let Ok(index) = self.find(id) {
            let connection = &mut self.connections[index];
            let waited = connection.waits_for_caller();
            connection.activity = activity;
            connection.active_since = now;
            connection.was_used |= activity == Activity::Serving;
            if !waited {
                connection.on_pace_until = now + MAX_PAUSE;
            }
        }
    }

    /// Returns what a connection does; `None` if it was closed.
    pub fn activity(&self, id: ConnectionId) -> Option<Activity> {
        let index = self.find(id).ok()?;
        Some(self.connections[index].activity)
    }

    /// Records that the caller has sent `bytes`. On an idle connection they begin a request.
    pub fn record_received(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let Ok(index) = self.find(id) else { return };
        if self.connections[index].activity == Activity::Idle {
            self.set_activity(id, Activity::ReadingHead, now);
        }
        let connection = &mut self.connections[index];
        if matches!(
            connection.activity,
            Activity::ReadingHead | Activity::ReadingBody
        ) {
            connection.extend_pace(bytes, now);
        }
    }

    /// Records that the socket has taken `bytes` of a response.
    pub fn record_sent(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        if let Ok(index) = self.find(id) {
            let connection = &mut self.connections[index];
            connection.write_blocked_since = None;
            connection.extend_pace(bytes, now);
        }
    }

    /// Records that the socket takes no more of a response.
    pub fn record_write_blocked(&mut self, id: ConnectionId, now: Instant) {
        if let Ok(index) = self.find(id) {
            let connection = &mut self.connections[index];
            if !connection.waits_for_caller() {
                connection.on_pace_until = now + MAX_PAUSE;
            }
            connection.write_blocked_since.get_or_insert(now);
        }
    }

    /// Chooses the connections whose callers have exceeded a timeout. They must be closed.
    pub fn choose_timed_out(
        &mut self,
        timeouts: CallerTimeouts,
        now: Instant,
    ) -> Vec<ConnectionId> {
        let is_over = |since: Instant, timeout| now.saturating_duration_since(since) >= timeout;
        let timed_out: Vec<usize> = (0..self.connections.len())
            .filter(|index| {
                let connection = &self.connections[*index];
                let is_head_late = connection.activity == Activity::ReadingHead
                    && is_over(connection.active_since, timeouts.head);
                let blocked_since = connection.write_blocked_since;
                let is_unread =
                    blocked_since.is_some_and(|since| is_over(since, timeouts.unread_response));
                (is_head_late || is_unread) && !connection.is_closing
            })
            .collect();
        timed_out
            .into_iter()
            .map(|index| self.start_closing(index))
            .collect()
    }

    /// Returns the indexes of the idle connections: those without a request so far, then the others, each
    /// sorted by when they became idle.
    fn idle(&self, now: Instant) -> Vec<(Instant, usize)> {
        let idle = self.oldest_first(|connection| connection.idle_since(now));
        let (used, unused): (Vec<_>, Vec<_>) = idle
            .into_iter()
            .partition(|(_, index)| self.connections[*index].was_used);
        [unused, used].concat()
    }

    /// Returns the indexes of the connections for which `since` returns a time, sorted by it.
    fn oldest_first(
        &self,
        since: impl Fn(&Connection) -> Option<Instant>,
    ) -> Vec<(Instant, usize)> {
        let mut found: Vec<(Instant, usize)> = self
            .connections
            .iter()
            .enumerate()
            .filter_map(|(index, connection)| Some((since(connection)?, index)))
            .collect();
        found.sort_unstable();
        found
    }

    fn start_closing(&mut self, index: usize) -> ConnectionId {
        let connection = &mut self.connections[index];
        connection.is_closing = true;
        self.held_bytes -= connection.held_bytes;
        connection.id
    }

    fn find(&self, id: ConnectionId) -> Result<usize, usize> {
        self.connections
            .binary_search_by_key(&id, |connection| connection.id)
    }
}
