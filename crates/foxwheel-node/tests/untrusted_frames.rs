//! Frames of calls between processes that nobody vouches for: whoever takes calls goes on.

mod common;

use std::net::SocketAddr;

use common::{submit, wait_for_results, Fleet, FleetPlan};
use foxwheel_node::peer_calls::{PeerCalls, StoreStateVersion};
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Spoiled calls that each process gets.
const CALLS: u64 = 300;

/// The bytes of one call, as its caller sends them.
async fn recorded_call() -> Vec<u8> {
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

/// Changes, cuts or repeats parts of `call`.
fn spoil(rng: &mut StdRng, call: &[u8]) -> Vec<u8> {
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
    // It may be refused before it is read whole.
    let _ = stream.write_all(bytes).await;
}

#[actix_web::test]
async fn a_process_that_gets_spoiled_calls_goes_on() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let call = recorded_call().await;
    for process in &fleet.processes {
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..CALLS {
            let spoiled = spoil(&mut rng, &call);
            send(process.settings.peer_address(), &spoiled).await;
        }
        assert!(!process.has_ended());
    }
    // The front tells the worker of the job by a call.
    let taken = submit(fleet.fronts[0], "after", 2).await.expect("answered");
    assert_eq!(taken.status, StatusCode::ACCEPTED);
    wait_for_results(fleet.fronts[0], "after", 2).await;
    fleet.cancel.cancel();
}
