//! Stand-ins of clients: online requests and batch jobs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::Setup;
use crate::http;

/// Host header of all routes.
pub const HOST: &str = "ficu95.example";

/// Time limit of a client's call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends an online request. Returns the status, 0 if there was no complete response, and the body.
pub fn post(
    setup: &Setup,
    front: SocketAddr,
    target: &str,
    id: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> (u16, String) {
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "4000"),
    ];
    headers.extend_from_slice(more);
    let answer = http::call(front, "POST", target, &headers, body, TIMEOUT);
    let (status, text) = answer.map_or((0, String::new()), |it| (it.status(), it.text()));
    setup
        .record
        .line(&format!("client: POST {target} {id} answered {status}"));
    (status, text)
}

/// An item of a batch job: id and headers as JSON fields.
pub struct Item {
    pub id: String,
    pub headers: String,
}

/// Submits a batch job. Returns the status, 0 if there was no complete response.
pub fn submit(setup: &Setup, front: SocketAddr, prefix: &str, job: &str, items: &[Item]) -> u16 {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"id\":\"{}\",\"path\":\"{prefix}3/{}\",\"headers\":{{{}}},\"body\":\"q83vEjRWeJA=\",\"tokens\":940}}",
                item.id, item.id, item.headers
            )
        })
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", job),
        ("Content-Type", "application/json"),
    ];
    let answer = http::call(
        front,
        "POST",
        &format!("{prefix}{job}"),
        &headers,
        body.as_bytes(),
        TIMEOUT,
    );
    let status = answer.map_or(0, |it| it.status());
    setup.record.line(&format!(
        "client: batch job {job} with {} items answered {status}",
        items.len()
    ));
    status
}

/// Reads a batch job from the start. Returns the status, 0 if there was no complete response, and the body.
pub fn read(setup: &Setup, front: SocketAddr, job: &str) -> (u16, String) {
    let headers = [("Host", HOST), ("X-Wait-Ms", "1000")];
    let answer = http::call(
        front,
        "GET",
        &format!("/api/lots/{job}?after=0"),
        &headers,
        b"",
        TIMEOUT,
    );
    let (status, text) = answer.map_or((0, String::new()), |it| (it.status(), it.text()));
    setup.record.line(&format!(
        "client: read of batch job {job} answered {status}: {}",
        shorten(&text)
    ));
    (status, text)
}

/// Reads a batch job about twice per second until it lists `count` results or `time` has passed. Returns the
/// last body.
pub fn read_until_listed(
    setup: &Setup,
    front: SocketAddr,
    job: &str,
    count: usize,
    time: Duration,
) -> String {
    let deadline = Instant::now() + time;
    loop {
        let (status, text) = read(setup, front, job);
        if (status == 200 && listed(&text) >= count) || Instant::now() >= deadline {
            return text;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Returns how many results the body of a read lists.
pub fn listed(text: &str) -> usize {
    text.matches("\"state\":").count()
}

fn shorten(text: &str) -> String {
    text.chars().take(240).collect()
}
