//! A stand-in for a model replica. It runs as a process of its own and writes a line to its standard
//! output for each run that begins or ends.

use std::io::{Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Request};

/// The answer to a request whose id ends so has neither a length nor chunks and ends with its connection.
pub const UNFRAMED_SUFFIX: &str = "u";

/// What a replica does.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    /// Number of events of a complete stream.
    pub event_count: u64,
    /// Time between two events.
    pub interval: Duration,
    /// By how much that time grows with the number in the request's id: requests differ in length.
    pub interval_step: Duration,
}

/// Returns the data of event `number` of the stream of the request `id`: a line of a cut sheet of some 75
/// bytes, as JSON.
pub fn event_data(id: &str, number: u64) -> String {
    let (width, height) = (number % 90 + 10, number % 40 + 10);
    format!(
        "{{\"row\":\"{number}\",\"part\":\"A1\",\"w\":\"{width}\",\"h\":\"{height}\",\"saw\":\"2\",\"of\":\"{id}\"}}"
    )
}

/// Returns the number that the id of a request ends with, 0 if there is none.
fn number_of(id: &str) -> u32 {
    let digits = id.rsplit(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Serves on a free port, whose number is the first line of the output. Never returns.
pub fn run(replica: Replica) -> ! {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a replica");
    println!("PORT {}", listener.local_addr().expect("address").port());
    let output = Arc::new(Mutex::new(std::io::stdout()));
    loop {
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        let (replica, output) = (replica.clone(), Arc::clone(&output));
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(Some(request)) = connection.read_request() {
                match replica.serve(&mut connection, &request, &output) {
                    Ok(true) => {}
                    _ => return,
                }
            }
        });
    }
}

impl Replica {
    /// Serves one request. Returns whether the connection may carry another one.
    fn serve(
        &self,
        connection: &mut Connection,
        request: &Request,
        output: &Mutex<std::io::Stdout>,
    ) -> Result<bool> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if request.method == "GET" {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            connection.respond("200 OK", &headers, b"")?;
            return Ok(true);
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
            connection.respond("421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        let after = request.header("last-event-id");
        let after: u64 = after.and_then(|it| it.parse().ok()).unwrap_or(0);
        let log = |text: String| {
            let mut output = output.lock().unwrap();
            let _ = writeln!(output, "{text}");
            let _ = output.flush();
        };
        log(format!("BEGIN {id} {after}"));
        let ended = self.stream(connection, &id, after);
        match &ended {
            Ok(_) => log(format!("END {id} whole")),
            Err(_) => log(format!("END {id} left")),
        }
        ended
    }

    fn stream(&self, connection: &mut Connection, id: &str, after: u64) -> Result<bool> {
        let is_unframed = id.ends_with(UNFRAMED_SUFFIX);
        let framing = match is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Response-Signature: {}.{id}\r\nX-Weight-Versions: 1\r\n{framing}\r\n",
            self.id
        );
        let interval = self.interval + self.interval_step * number_of(id);
        let stream = &mut connection.stream;
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.event_count {
            thread::sleep(interval);
            if is_closed(stream) {
                return Err(std::io::Error::other("the caller has left"));
            }
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number));
            match is_unframed {
                true => stream.write_all(event.as_bytes())?,
                false => {
                    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?
                }
            }
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!is_unframed)
    }
}

/// Returns whether the peer has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => {
            // Bytes of a next request, which would be sent too early.
            let _ = stream.read(&mut []);
            false
        }
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}
