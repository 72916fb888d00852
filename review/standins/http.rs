//! The little HTTP/1.1 that the stand-ins speak: one request after the other on a connection, bodies with
//! a length on the way in, and a client that opens a connection for each call.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as received.
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a member of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(key, _)| key == name);
    found.next().map(|(_, value)| value.as_str())
}

/// A connection on which a server reads requests.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next request. Returns `None` if the peer closed the connection before it.
    pub fn read_request(&mut self) -> Result<Option<Request>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if read_more(&mut self.stream, &mut self.buffer)? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or_default().split(' ');
        let method = first.next().unwrap_or_default().to_owned();
        let target = first.next().unwrap_or_default().to_owned();
        let headers = parse_headers(lines);
        let length = find_header(&headers, "content-length");
        let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        while self.buffer.len() < head_end + length {
            if read_more(&mut self.stream, &mut self.buffer)? == 0 {
                return Ok(None);
            }
        }
        let body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }

    /// Writes a complete response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> Result<()> {
        let length = body.len();
        let mut out =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A response as a client received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body ended as its framing says. A body that is cut off is not complete.
    pub is_complete: bool,
    /// Time from the start of the call to the end of the response.
    pub took: Duration,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Calls `addr` on a new connection. `headers` are lines that end with CR LF.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let mut out =
        format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n")
            .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    let mut buffer = Vec::new();
    let mut read = |buffer: &mut Vec<u8>| -> Result<usize> {
        let left = timeout.checked_sub(started.elapsed());
        let left = left.filter(|left| !left.is_zero());
        let left = left.ok_or_else(|| Error::other("the client's time limit passed"))?;
        stream.set_read_timeout(Some(left))?;
        read_more(&mut stream, buffer)
    };
    let head_end = loop {
        if let Some(at) = find(&buffer, b"\r\n\r\n") {
            break at + 4;
        }
        if read(&mut buffer)? == 0 {
            return Err(Error::other("closed before a response"));
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    let status = status.and_then(|it| it.parse().ok()).unwrap_or(0);
    let headers = parse_headers(lines);
    let mut rest = buffer.split_off(head_end);
    let (body, is_complete) = if find_header(&headers, "transfer-encoding").is_some() {
        read_chunks(&mut rest, &mut read)
    } else {
        let length = find_header(&headers, "content-length");
        let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        while rest.len() < length && read(&mut rest).is_ok_and(|count| count > 0) {}
        let is_complete = rest.len() >= length;
        rest.truncate(length);
        (rest, is_complete)
    };
    Ok(Response {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete,
        took: started.elapsed(),
    })
}

fn read_chunks(
    rest: &mut Vec<u8>,
    read: &mut impl FnMut(&mut Vec<u8>) -> Result<usize>,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line_end) = find(rest, b"\r\n") else {
            match read(rest) {
                Ok(count) if count > 0 => continue,
                _ => return (body, false),
            }
        };
        let line = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let Ok(size) = size else {
            return (body, false);
        };
        while rest.len() < line_end + 2 + size + 2 {
            match read(rest) {
                Ok(count) if count > 0 => {}
                _ => {
                    body.extend_from_slice(&rest[(line_end + 2).min(rest.len())..]);
                    return (body, false);
                }
            }
        }
        body.extend_from_slice(&rest[line_end + 2..line_end + 2 + size]);
        rest.drain(..line_end + 2 + size + 2);
        if size == 0 {
            return (body, true);
        }
    }
}
