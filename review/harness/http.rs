//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
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

/// Reads one message; `None` if the connection ends before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { start, headers, body: Vec::new() };
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Sends one request on a new connection and reads the response; every step takes at most `timeout`.
pub fn call(
    addr: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    send(&stream, start, headers, body)?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Writes one request; `start` is the method and the path.
pub fn send(
    mut stream: &TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("{start} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}
