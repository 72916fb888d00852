//! Corrupted calls to the peer service must not stop the process that receives them.

mod common;

use std::net::SocketAddr;

use common::{submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_node::peer_calls::{PeerCalls, StoreStateVersion};
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of corrupted calls sent to each process.
const CORRUPTED_CALLS: u64 = 300;

/// Returns the bytes of one valid call.
async fn record_call() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let calls = PeerCalls::default();
    let recording = async {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut bytes = vec![0; 4_096];
        let length = stream.read(&mut bytes).await.expect("a call");
        bytes.truncate(length);
        bytes
    };
    let (_, bytes) = tokio::join!(
        calls.fetch_state(addr, StoreStateVersion::default()),
        recording
    );
    assert!(bytes.len() > 8, "{bytes:?}");
    bytes
}

/// Returns `call` with random changes, truncations or repetitions of parts.
fn corrupt(rng: &mut StdRng, call: &[u8]) -> Vec<u8> {
    let mut bytes = call.to_vec();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes[at] = 0xff,
            2 => bytes.truncate(at.max(1)),
            _ => bytes.extend_from_within(at..),
        }
    }
    bytes
}

async fn send(addr: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(addr).await.expect("still listening");
    // The process may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
}

#[actix_web::test]
async fn a_process_survives_corrupted_calls() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let call = record_call().await;
    for process in &fleet.processes {
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..CORRUPTED_CALLS {
            let corrupted = corrupt(&mut rng, &call);
            send(process.settings.peer_address(), &corrupted).await;
        }
        assert!(!process.has_ended());
    }
    // The front informs the worker of the job by a call.
    let accepted = submit_job(fleet.fronts[0], "after", 2)
        .await
        .expect("a response");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    wait_for_results(fleet.fronts[0], "after", 2).await;
    fleet.cancel.cancel();
}
