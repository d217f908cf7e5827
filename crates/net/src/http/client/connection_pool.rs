use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request};
use monoio::time::Instant;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::body_decoder::BodyDecoder;
use super::connection::Connection;
use super::pool_inner::PoolInner;
use super::{Call, ClientBody, ClientError, ClientLimits, ResponseHead};

/// The connections of one worker to endpoints. Clones share the connections.
#[derive(Clone)]
pub struct ConnectionPool(Rc<PoolInner>);

impl ConnectionPool {
    /// Creates an empty pool; connections are opened by `send` and `fetch`.
    pub fn new(limits: ClientLimits) -> Self {
        Self(Rc::new(PoolInner { limits, idle: RefCell::default() }))
    }

    /// Sends a call and returns the response head and the unread body.
    ///
    /// Dropping the future or the body closes the connection, which cancels the call.
    ///
    /// # Errors
    ///
    /// `ClientError::may_have_sent` returns whether the endpoint may have received the request.
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
            // The cause has probably broken the idle connections to this endpoint as well.
            self.0.evict(addr);
        }
        let (head, decoder) = response?.into_parts();
        let keep_alive = head
            .headers
            .get(CONNECTION)
            .is_none_or(|v| !v.as_bytes().eq_ignore_ascii_case(b"close"));
        let decoder = BodyDecoder::new(decoder, self.0.limits.body);
        let body = ClientBody::new(self.0.clone(), connection, decoder, keep_alive);
        Ok((ResponseHead { status: head.status, headers: head.headers }, body))
    }

    /// Sends a call and reads the complete body within the timeout of the call.
    ///
    /// # Errors
    ///
    /// See `send` and `ClientBody::read_all`.
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
                self.0.evict(addr);
                Err(ClientError::Timeout(addr, timeout))
            }
        }
    }

    /// Closes the idle connections to an endpoint; those in use are not affected.
    pub fn evict(&self, addr: SocketAddr) {
        self.0.evict(addr);
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
