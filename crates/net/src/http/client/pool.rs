use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use masticstair_core::prelude::*;
use monoio::time::Instant;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::body_decoder::BodyDecoder;
use super::connection::Connection;
use super::{Call, ClientBody, ClientError};

/// Bounds of the client side.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The largest body of a response that is read whole.
    pub body: ByteCount,
    /// How long an unused connection is kept. A connection that has not answered lately may be dead
    /// without an error.
    pub idle: Millis,
    /// Unused connections kept for each endpoint.
    pub idle_per_endpoint: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { body: ByteCount::new(8_388_608), idle: Millis::new(2_000), idle_per_endpoint: 256 }
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// The connections of one worker to the endpoints.
#[derive(Clone)]
pub struct ConnectionPool(Rc<PoolInner>);

pub(super) struct PoolInner {
    pub(super) limits: ClientLimits,
    /// Unused connections; the one used last is at the end.
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Makes a pool without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self(Rc::new(PoolInner { limits, idle: RefCell::default() }))
    }

    /// Sends a call and returns the head of the response and its body, which is still to be read.
    ///
    /// Dropping the future or the body closes the connection, which cancels the call.
    ///
    /// # Errors
    ///
    /// `ClientError::may_have_sent` tells whether the endpoint may have got the request.
    pub async fn send(&self, call: Call) -> Result<(ResponseHead, ClientBody), ClientError> {
        let deadline = Instant::now() + call.timeout.duration();
        let reused = if call.reuse { self.0.take_idle(call.addr) } else { None };
        let mut connection = match reused {
            Some(connection) => connection,
            None => Connection::open(call.addr, deadline).await?,
        };
        let addr = call.addr;
        let req = build_request(call)?;
        let response = connection.exchange(req, deadline).await;
        if response.is_err() {
            // Connections of the same age have likely been lost with this one.
            self.0.forget(addr);
        }
        let (head, decoder) = response?.into_parts();
        let keep = head
            .headers
            .get(CONNECTION)
            .is_none_or(|v| !v.as_bytes().eq_ignore_ascii_case(b"close"));
        let decoder = BodyDecoder::new(decoder, self.0.limits.body);
        let body = ClientBody::new(self.0.clone(), connection, decoder, keep);
        Ok((ResponseHead { status: head.status, headers: head.headers }, body))
    }

    /// Sends a call and reads the whole body within the timeout of the call.
    ///
    /// # Errors
    ///
    /// As `send`; `TooLarge` when the body is larger than the limit of the pool.
    pub async fn fetch(&self, call: Call) -> Result<(ResponseHead, Bytes), ClientError> {
        let (addr, timeout) = (call.addr, call.timeout);
        let read = async {
            let (head, body) = self.send(call).await?;
            let bytes = body.read_all().await?;
            Ok((head, bytes))
        };
        match monoio::time::timeout(timeout.duration(), read).await {
            Ok(result) => result,
            Err(_) => {
                self.0.forget(addr);
                Err(ClientError::Timeout(addr, timeout))
            }
        }
    }

    /// Closes the unused connections to an endpoint.
    pub fn forget(&self, addr: SocketAddr) {
        self.0.forget(addr);
    }
}

impl PoolInner {
    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let limit = self.limits.idle.duration();
        connections.retain(|c| c.last_answer.elapsed() < limit);
        connections.pop()
    }

    pub(super) fn put_idle(&self, mut connection: Connection) {
        connection.last_answer = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() < self.limits.idle_per_endpoint {
            connections.push(connection);
        }
    }

    pub(super) fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

fn build_request(call: Call) -> Result<Request<Bytes>, http::Error> {
    let host = HeaderValue::from_maybe_shared(Bytes::from(call.addr.to_string()))?;
    let mut req = Request::new(call.body);
    *req.method_mut() = call.method;
    *req.uri_mut() = call.path.parse()?;
    *req.headers_mut() = call.headers;
    req.headers_mut().insert(HOST, host);
    Ok(req)
}
