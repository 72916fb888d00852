//! Bodies of requests and responses of all connections share the memory that callers may take.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_callers::body::{BodyBuffer, BodyRefusal};
use foxwheel_callers::connections::{CallerConnection, CallerConnections};
use foxwheel_policy::caller_connections::{Activity, ConnectionLimits, NoRoom};

const CONNECTION_BYTES: usize = 16 * 1024;

/// Largest body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Number of largest bodies that there is room for.
const BODIES: usize = 4;

fn connections() -> Arc<CallerConnections> {
    let limits = ConnectionLimits {
        max_connections: 100,
        // Large bodies leave a quarter.
        max_bytes: (BODIES * (MAX_BODY_BYTES + 3 * CONNECTION_BYTES)) / 3 * 4,
        connection_bytes: CONNECTION_BYTES,
    };
    CallerConnections::new(limits, |_| {})
}

async fn serving(connections: &Arc<CallerConnections>) -> CallerConnection {
    let connection = connections.admit().await.expect("room");
    connection.set_activity(Activity::Serving);
    connection
}

/// All bodies together had no limit.
#[tokio::test]
async fn bodies_without_end_share_a_limit() {
    let connections = connections();
    let data = vec![b'a'; MAX_BODY_BYTES];
    let mut bodies = Vec::new();
    for _ in 0..BODIES {
        let connection = serving(&connections).await;
        let mut body = BodyBuffer::begin(&connection, MAX_BODY_BYTES, None).expect("begun");
        assert_eq!(body.push(&data), Ok(()));
        let too_large = Err(BodyRefusal::TooLarge(MAX_BODY_BYTES));
        assert_eq!(body.push(b"a"), too_large);
        bodies.push(body);
    }
    let connection = serving(&connections).await;
    let mut last = BodyBuffer::begin(&connection, MAX_BODY_BYTES, None).expect("begun");
    assert_eq!(last.push(&data), Err(BodyRefusal::NoRoom(NoRoom)));
    // A small body has room beside them.
    assert_eq!(last.push(b"a"), Ok(()));
    drop(last);
    let finished = bodies.pop().expect("a body").finish();
    let copy = finished.clone();
    drop(finished);
    let mut last = BodyBuffer::begin(&connection, MAX_BODY_BYTES, None).expect("begun");
    assert_eq!(last.push(&data), Err(BodyRefusal::NoRoom(NoRoom)));
    drop(copy);
    assert_eq!(last.push(&data), Ok(()));
    drop((last, bodies, connection));
    assert_eq!(connections.held_bytes(), 0);
}

#[tokio::test]
async fn body_that_waits_gets_the_room_of_another_one() {
    let connections = connections();
    let data = vec![b'a'; MAX_BODY_BYTES];
    let mut bodies = Vec::new();
    for _ in 0..BODIES {
        let connection = serving(&connections).await;
        let mut body = BodyBuffer::begin(&connection, MAX_BODY_BYTES, None).expect("begun");
        body.push(&data).expect("room");
        bodies.push(body);
    }
    let connection = serving(&connections).await;
    let mut last = BodyBuffer::begin(&connection, MAX_BODY_BYTES, None).expect("begun");
    let now = Instant::now();
    let refused = last.push_until(&data, now).await;
    assert_eq!(refused, Err(BodyRefusal::NoRoom(NoRoom)));
    let far = now + Duration::from_secs(600);
    let (pushed, ()) = tokio::join!(last.push_until(&data, far), async { drop(bodies) });
    assert_eq!(pushed, Ok(()));
}

#[tokio::test]
async fn body_that_is_announced_as_too_large_is_not_begun() {
    let connections = connections();
    let connection = serving(&connections).await;
    let limit = MAX_BODY_BYTES as u64;
    for announced in [limit + 1, u64::MAX] {
        let refused = BodyBuffer::begin(&connection, MAX_BODY_BYTES, Some(announced));
        let refusal = refused.expect_err("too large");
        assert_eq!(refusal, BodyRefusal::TooLarge(MAX_BODY_BYTES));
    }
    assert!(BodyBuffer::begin(&connection, MAX_BODY_BYTES, Some(limit)).is_ok());
}

/// A new connection waits until the one that is closed for its sake has given its room back.
#[tokio::test]
async fn new_connection_takes_the_place_of_a_closed_one() {
    let closed_count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&closed_count);
    let limits = ConnectionLimits {
        max_connections: 1,
        max_bytes: MAX_BODY_BYTES,
        connection_bytes: CONNECTION_BYTES,
    };
    let connections = CallerConnections::new(limits, move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
    });
    let head = connections.admit().await.expect("room");
    assert!(connections.admit().await.is_none(), "it is not slow yet");
    head.record_received(1);
    tokio::time::sleep(Duration::from_millis(150)).await;
    let close_when_told = async {
        head.closing().await;
        assert_eq!(connections.held_bytes(), 0);
        drop(head);
    };
    let (admitted, ()) = tokio::join!(connections.admit(), close_when_told);
    assert!(admitted.is_some());
    assert_eq!(closed_count.load(Ordering::Relaxed), 2);
}
