//! A minimal HTTP/1.1 client and server.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request or a response; `None` if the connection ends before its head is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let start = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let is_response = start.starts_with("HTTP/");
    let mut message = Message { start, headers, body: Vec::new(), is_complete: false };
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
    if chunked {
        message.is_complete = read_chunks(stream, &mut message.body);
    } else if let Some(length) = length {
        let mut body = vec![0; length];
        message.is_complete = stream.read_exact(&mut body).is_ok();
        if message.is_complete {
            message.body = body;
        }
    } else if is_response {
        message.is_complete = stream.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_complete = true;
    }
    Some(message)
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match stream.read_line(&mut line) {
        Ok(n) if n > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(stream) else { return false };
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if stream.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a request on a new connection and reads the response. The error says why there is none.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|e| format!("no connection: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(timeout)).map_err(|e| e.to_string())?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let mut writer = stream.try_clone().map_err(|e| e.to_string())?;
    writer.write_all(&bytes).map_err(|e| format!("the request could not be sent: {e}"))?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)
        .ok_or_else(|| format!("closed or silent after {} ms", started.elapsed().as_millis()))
}
