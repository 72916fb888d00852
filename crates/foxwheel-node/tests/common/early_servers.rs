//! Servers in trouble that respond before they have read a request, and do not read on; and what becomes
//! of requests there.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_server_emu::server::{self, ServerConfig};
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{call, Fleet, FleetPlan};

/// Body of a request that does not fit into the buffers of a connection.
pub const LONG_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Paths of routes of each kind of online requests.
pub const PATHS: [&str; 4] = ["/plain/a", "/once/a", "/stream/a", "/stream-once/a"];

/// Id of the requests that meet the servers in trouble.
pub const REQUEST: &str = "request";

/// Time from a response to the end of its connection. The request is still being written meanwhile.
const END_DELAY: Duration = Duration::from_millis(120);

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyEnd {
    /// It is reset.
    Reset,
    /// The server says that it sends no more, and resets the connection later.
    CloseThenReset,
}

/// How much of a request is read before the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBefore {
    /// Nothing.
    Nothing,
    /// The head.
    Head,
}

/// What a server does with each request.
#[derive(Debug, Clone)]
pub struct EarlyResponse {
    /// How much it reads.
    pub read_before: ReadBefore,
    /// What it sends.
    pub response: String,
    /// How the connection ends.
    pub end: EarlyEnd,
}

/// Starts a server on a free port and returns its address.
pub async fn start(response: EarlyResponse) -> SocketAddr {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((peer, _)) = listener.accept().await {
            tokio::spawn(serve(peer, response.clone()));
        }
    });
    addr
}

async fn serve(mut peer: TcpStream, response: EarlyResponse) {
    if response.read_before == ReadBefore::Head && !read_head(&mut peer).await {
        return;
    }
    // An error means that the client has closed the connection.
    let _ = peer.write_all(response.response.as_bytes()).await;
    if response.end == EarlyEnd::CloseThenReset {
        let _ = peer.shutdown().await;
    }
    tokio::time::sleep(END_DELAY).await;
    let socket = socket2::SockRef::from(&peer);
    socket.set_linger(Some(Duration::ZERO)).expect("set linger");
}

/// Reads the head of a request. Returns false if the connection ends before.
async fn read_head(peer: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match peer.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    true
}

/// Starts a fleet whose only server gives `response` to each request. The sound one has ended.
pub async fn start_fleet(response: EarlyResponse) -> Fleet {
    let plan = FleetPlan {
        servers: super::server_shapes(1),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let addr = start(response).await;
    fleet.register_server("early", addr, "ready").await;
    fleet.servers[0].terminate();
    let removed = fleet.store.delete("servers/server-0", None).await;
    removed.expect("removed");
    let unused = Some(StatusCode::SERVICE_UNAVAILABLE);
    let until_used = async {
        while super::get_status(fleet.fronts[0], "/plain/a").await == unused {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let used = tokio::time::timeout(super::WAIT_TIMEOUT, until_used).await;
    used.expect("the server is not used");
    fleet
}

/// Lets the item of a job meet `response` until a sound server is listed, and checks its result.
pub async fn check_item(response: EarlyResponse) {
    let case = format!("{response:?}");
    let mut fleet = start_fleet(response).await;
    let front = fleet.fronts[0];
    let body = "a".repeat(LONG_BODY_BYTES / 8 * 7);
    let submission = format!(
        r#"{{"items":[{{"id":"{REQUEST}","path":"/batch/a","tokens":1,"body":"{body}"}}]}}"#
    );
    let accepted = call(
        front,
        Method::POST,
        "/batch/submit",
        "job",
        &[],
        &submission,
    )
    .await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    let first = super::read_results(front, "job", 0).await;
    assert_eq!(first.expect("a response")["next_token"], 0, "{case}");
    let sound = ServerConfig {
        id: "server-1".to_owned(),
        ..ServerConfig::default()
    };
    fleet.add_server(sound).await;
    let removed = fleet.store.delete("servers/early", None).await;
    removed.expect("removed");
    let results = super::wait_for_results(front, "job", 1).await;
    let events = (1..=5).map(|event| server::event_data(REQUEST, event));
    let output = events.collect::<Vec<_>>().join("\n");
    assert_eq!(results[0]["state"], "completed", "{case}");
    assert_eq!(results[0]["output"], output, "{case}");
    fleet.cancel.cancel();
}
