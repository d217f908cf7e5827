//! A blocking HTTP client for tests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::TOKEN;

/// A complete response.
#[derive(Debug)]
pub struct HttpAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a GET request; returns `None` if the connection fails or the response is incomplete.
pub fn get(addr: SocketAddr, path: &str) -> Option<HttpAnswer> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    exchange(addr, request.as_bytes())
}

/// Sends a body to a pipeline; returns `None` if the connection fails or the response is incomplete.
pub fn post(
    addr: SocketAddr,
    pipeline: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpAnswer> {
    let bearer = format!("Bearer {TOKEN}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    exchange(addr, &super::post(&format!("/v1/pipelines/{pipeline}"), &all, body))
}

fn exchange(addr: SocketAddr, request: &[u8]) -> Option<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(request).ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(HttpAnswer { status, head: head.to_owned(), body: body.to_owned() })
}
