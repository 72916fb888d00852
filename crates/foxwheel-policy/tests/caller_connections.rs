//! Replays callers that stop short of the end of their requests, or read no responses, beside ordinary
//! ones.

use std::time::{Duration, Instant};

use foxwheel_policy::caller_connections::{
    Activity, CallerTimeouts, ConnectionId, ConnectionLimits, ConnectionTable, NoRoom,
};

const MEGABYTE: usize = 1_000_000;

const CONNECTION_BYTES: usize = 24 * 1024;

/// A table and the time that has passed.
struct Replay {
    table: ConnectionTable,
    now: Instant,
}

impl Replay {
    fn new(max_connections: usize, max_bytes: usize) -> Self {
        let limits = ConnectionLimits {
            max_connections,
            max_bytes,
            connection_bytes: CONNECTION_BYTES,
        };
        Self {
            table: ConnectionTable::new(limits),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, time_ms: u64) {
        self.now += Duration::from_millis(time_ms);
    }

    fn open(&mut self) -> ConnectionId {
        self.table.open(self.now).expect("room")
    }

    fn begin(&mut self, activity: Activity) -> ConnectionId {
        let id = self.open();
        self.table.set_activity(id, activity, self.now);
        id
    }

    fn reserve(&mut self, id: ConnectionId, bytes: usize) -> Result<Vec<ConnectionId>, NoRoom> {
        self.table.reserve(id, bytes, self.now)
    }

    /// Opens connections that send `bytes` of a body each and then nothing more.
    fn begin_bodies(&mut self, count: usize, bytes: usize) -> Vec<ConnectionId> {
        let begin_body = |_| {
            let id = self.begin(Activity::ReadingBody);
            assert_eq!(self.reserve(id, bytes), Ok(Vec::new()));
            self.table.record_received(id, bytes, self.now);
            id
        };
        (0..count).map(begin_body).collect()
    }
}

#[test]
fn bodies_that_stand_still_make_room_for_others_oldest_first() {
    let mut replay = Replay::new(100, 40 * MEGABYTE);
    let still = replay.begin_bodies(7, 4 * MEGABYTE);
    let late = replay.begin(Activity::ReadingBody);
    assert_eq!(replay.reserve(late, 4 * MEGABYTE), Err(NoRoom));
    replay.pass(600);
    replay.table.record_received(late, 64_000, replay.now);
    assert_eq!(replay.reserve(late, 4 * MEGABYTE), Ok(vec![still[0]]));
    assert_eq!(replay.reserve(late, 8 * MEGABYTE), Ok(still[1..3].to_vec()));
}

#[test]
fn ordinary_requests_have_room_beside_large_bodies_on_pace() {
    let mut replay = Replay::new(100, 40 * MEGABYTE);
    replay.begin_bodies(7, 4 * MEGABYTE);
    let large = replay.begin(Activity::ReadingBody);
    assert_eq!(replay.reserve(large, 4 * MEGABYTE), Err(NoRoom));
    for _ in 0..50 {
        let small = replay.begin(Activity::ReadingBody);
        assert_eq!(replay.reserve(small, 2_000), Ok(Vec::new()));
    }
}

#[test]
fn a_caller_that_sends_single_bytes_is_behind() {
    let mut replay = Replay::new(100, 10 * MEGABYTE);
    let trickling = replay.begin_bodies(1, 4 * MEGABYTE)[0];
    let steady = replay.begin_bodies(1, 3 * MEGABYTE)[0];
    for _ in 0..20 {
        replay.pass(100);
        replay.table.record_received(trickling, 1, replay.now);
        replay.table.record_received(steady, 4_000, replay.now);
    }
    let other = replay.begin(Activity::ReadingBody);
    assert_eq!(replay.reserve(other, 4 * MEGABYTE), Ok(vec![trickling]));
    assert_eq!(replay.reserve(other, 4 * MEGABYTE), Err(NoRoom));
}

#[test]
fn a_request_that_is_served_is_not_closed() {
    let mut replay = Replay::new(100, 10 * MEGABYTE);
    let served = replay.begin_bodies(1, 6 * MEGABYTE)[0];
    replay
        .table
        .set_activity(served, Activity::Serving, replay.now);
    replay.pass(60_000);
    let other = replay.begin(Activity::ReadingBody);
    assert_eq!(replay.reserve(other, 4 * MEGABYTE), Err(NoRoom));
}

#[test]
fn a_response_that_is_not_read_makes_room_for_others() {
    let mut replay = Replay::new(100, 10 * MEGABYTE);
    let unread = replay.begin(Activity::Serving);
    assert_eq!(replay.reserve(unread, 6 * MEGABYTE), Ok(Vec::new()));
    replay
        .table
        .set_activity(unread, Activity::Idle, replay.now);
    replay.table.record_write_blocked(unread, replay.now);
    let other = replay.begin(Activity::ReadingBody);
    assert_eq!(replay.reserve(other, 4 * MEGABYTE), Err(NoRoom));
    replay.pass(600);
    // What a caller sends does not make room in its socket.
    replay.table.record_received(unread, 1, replay.now);
    assert_eq!(replay.reserve(other, 4 * MEGABYTE), Ok(vec![unread]));
}

#[test]
fn new_connections_replace_incomplete_heads_before_idle_ones() {
    let mut replay = Replay::new(4, MEGABYTE);
    let used = replay.begin(Activity::Serving);
    replay.table.set_activity(used, Activity::Idle, replay.now);
    replay.pass(1);
    let idle = replay.open();
    let older_head = replay.begin(Activity::ReadingHead);
    let newer_head = replay.begin(Activity::ReadingHead);
    assert_eq!(replay.table.open(replay.now), None);
    assert_eq!(
        replay.table.choose_for_new_connection(replay.now),
        Err(NoRoom)
    );
    replay.pass(2_000);
    for expected in [older_head, newer_head, idle, used] {
        let chosen = replay.table.choose_for_new_connection(replay.now);
        assert_eq!(chosen, Ok(expected));
        replay.table.close(expected);
    }
    assert!(replay.table.is_empty());
    assert_eq!(replay.table.held_bytes(), 0);
}

#[test]
fn connections_that_are_being_closed_count_until_they_are() {
    let mut replay = Replay::new(1, MEGABYTE);
    let head = replay.begin(Activity::ReadingHead);
    replay.pass(200);
    let chosen = replay.table.choose_for_new_connection(replay.now);
    assert_eq!(chosen, Ok(head));
    assert_eq!(replay.table.open(replay.now), None);
    assert_eq!(replay.reserve(head, 1), Err(NoRoom));
    replay.table.close(head);
    assert!(replay.table.open(replay.now).is_some());
}

#[test]
fn memory_bounds_the_number_of_connections() {
    let mut replay = Replay::new(1_000, 10 * CONNECTION_BYTES);
    for _ in 0..10 {
        replay.open();
    }
    assert_eq!(replay.table.open(replay.now), None);
}

#[test]
fn slow_callers_are_closed_after_their_timeouts_only() {
    const TIMEOUTS: CallerTimeouts = CallerTimeouts {
        head: Duration::from_secs(4),
        unread_response: Duration::from_secs(5),
    };
    let mut replay = Replay::new(10, MEGABYTE);
    let _idle = replay.open();
    let _body = replay.begin(Activity::ReadingBody);
    let head = replay.begin(Activity::ReadingHead);
    let unread = replay.begin(Activity::Serving);
    replay.table.record_write_blocked(unread, replay.now);
    replay.pass(3_900);
    // Bytes do not extend the timeout of a head.
    replay.table.record_received(head, 100, replay.now);
    assert!(replay
        .table
        .choose_timed_out(TIMEOUTS, replay.now)
        .is_empty());
    replay.pass(200);
    let timed_out = replay.table.choose_timed_out(TIMEOUTS, replay.now);
    assert_eq!(timed_out, vec![head]);
    replay.pass(1_000);
    let timed_out = replay.table.choose_timed_out(TIMEOUTS, replay.now);
    assert_eq!(timed_out, vec![unread]);
}

#[test]
fn what_is_given_back_can_be_reserved_again() {
    arbtest::arbtest(|source| {
        let mut replay = Replay::new(8, 2 * MEGABYTE);
        let mut reserved: Vec<(ConnectionId, usize)> = Vec::new();
        for _ in 0..source.int_in_range(1..=60)? {
            replay.pass(source.int_in_range(0..=700)?);
            match source.int_in_range(0..=3)? {
                0 => {
                    let id = replay.table.open(replay.now);
                    reserved.extend(id.map(|id| (id, 0)));
                }
                1 if !reserved.is_empty() => {
                    let at = source.choose_index(reserved.len())?;
                    let activity = *source.choose(&[
                        Activity::ReadingBody,
                        Activity::Serving,
                        Activity::ReadingHead,
                    ])?;
                    let id = reserved[at].0;
                    replay.table.set_activity(id, activity, replay.now);
                    let bytes = source.int_in_range(0..=MEGABYTE)?;
                    if let Ok(closed) = replay.reserve(id, bytes) {
                        reserved[at].1 += bytes;
                        for id in closed {
                            replay.table.close(id);
                            reserved.retain(|(kept, _)| *kept != id);
                        }
                    }
                }
                2 if !reserved.is_empty() => {
                    let at = source.choose_index(reserved.len())?;
                    let (id, bytes) = reserved[at];
                    replay.table.release(id, bytes);
                    reserved[at].1 = 0;
                }
                _ if !reserved.is_empty() => {
                    let at = source.choose_index(reserved.len())?;
                    let (id, _) = reserved.swap_remove(at);
                    replay.table.close(id);
                }
                _ => {}
            }
            let held: usize = reserved
                .iter()
                .map(|(_, bytes)| CONNECTION_BYTES + bytes)
                .sum();
            assert_eq!(replay.table.held_bytes(), held);
            assert_eq!(replay.table.len(), reserved.len());
            assert!(held <= 2 * MEGABYTE, "{held}");
        }
        Ok(())
    });
}
