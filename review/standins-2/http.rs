//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message. Returns `None` if the connection ends before its first byte, and an error if the
/// message is not complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if message.start.is_empty() {
            message.start = line;
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> Result<()> {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(reader, &mut message.body);
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok());
    let is_response = message.start.starts_with("HTTP/");
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if is_response => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "not the size of a chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a request on a new connection and returns the response. Returns an error if there is no complete
/// response within `timeout`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {addr}\r\n"));
    }
    text.push_str(&format!(
        "Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
