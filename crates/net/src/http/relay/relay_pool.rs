use http::header::CONNECTION;
use http::{HeaderMap, Request, Uri};
use http_body_util::Full;
use masticstair_core::id::ConnectionNumber;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::relay_connection::RelayConnection;
use super::{ProbeOutcome, RelayBody, RelayCall, RelayError, RelayHead};
use crate::http::final_status::is_final_status;
use crate::memory::MemoryAccount;

/// Maximum number of idle connections per endpoint.
const IDLE_PER_ENDPOINT: usize = 32;

/// The relay connections of one worker to endpoints. Clones share the connections.
#[derive(Clone, Default)]
pub struct RelayPool(Rc<RelayPoolInner>);

#[derive(Default)]
struct RelayPoolInner {
    account: MemoryAccount,
    /// Idle connections by endpoint, most recently used last.
    idle: RefCell<HashMap<SocketAddr, Vec<RelayConnection>>>,
    connections_opened: Cell<u64>,
}

impl RelayPool {
    /// Creates a pool without connections. What is read ahead on them counts in `account`.
    pub fn new(account: MemoryAccount) -> Self {
        Self(Rc::new(RelayPoolInner { account, ..RelayPoolInner::default() }))
    }

    /// Sends a request and returns the response head and the unread body.
    ///
    /// Dropping the future or the body closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// `RelayError::may_have_sent` returns whether the endpoint may have received the request.
    pub async fn send(&self, call: RelayCall) -> Result<(RelayHead, RelayBody), RelayError> {
        let RelayCall { addr, method, target, headers, body, connect_timeout, max_idle } = call;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = target.parse::<Uri>().map_err(http::Error::from)?;
        *req.headers_mut() = headers;
        loop {
            let reused = self.take_idle(addr, max_idle);
            let new_connection = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.open(addr, connect_timeout).await?,
            };
            match connection.sender.try_send_request(req).await {
                Ok(response) => {
                    connection.progress.record_progress();
                    let (head, body) = response.into_parts();
                    if !is_final_status(head.status) {
                        let message = format!("status {} is not final", head.status.as_u16());
                        return Err(RelayError::Broken(addr, message.into()));
                    }
                    let keep_alive = !is_closing(&head.headers);
                    let head = RelayHead {
                        status: head.status,
                        headers: head.headers,
                        connection: connection.number,
                        new_connection,
                    };
                    return Ok((head, RelayBody::new(self.clone(), body, connection, keep_alive)));
                }
                Err(mut e) => match e.take_message() {
                    // The endpoint had closed the idle connection; nothing was sent, so retry.
                    Some(unsent) if !new_connection => req = unsent,
                    Some(_) => return Err(RelayError::NotSent(addr)),
                    None => {
                        // The cause has probably broken the idle connections to this endpoint as well.
                        self.evict(addr);
                        return Err(RelayError::Broken(addr, e.into_error().to_string().into()));
                    }
                },
            }
        }
    }

    /// Opens a connection to an endpoint. One that it accepts is kept for the next request.
    pub async fn probe(&self, addr: SocketAddr, timeout: Duration) -> ProbeOutcome {
        match self.open(addr, timeout).await {
            Ok(connection) => {
                self.put_back(connection);
                ProbeOutcome::Accepted
            }
            Err(e) if e.is_refused() => ProbeOutcome::Refused,
            Err(_) => ProbeOutcome::Silent,
        }
    }

    /// Closes the idle connections to an endpoint; those in use are not affected.
    pub fn evict(&self, addr: SocketAddr) {
        self.0.idle.borrow_mut().remove(&addr);
    }

    /// Closes connections that have been idle for at least `limit` or that the endpoint has closed.
    pub fn close_idle(&self, limit: Duration) {
        self.0.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| c.last_response.elapsed() < limit && !c.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Returns the number of connection attempts since the pool was created.
    pub fn connections_opened(&self) -> u64 {
        self.0.connections_opened.get()
    }

    async fn open(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<RelayConnection, RelayError> {
        let opened = self.0.connections_opened.get() + 1;
        self.0.connections_opened.set(opened);
        let number = ConnectionNumber::new(opened);
        RelayConnection::open(number, addr, timeout, &self.0.account).await
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<RelayConnection> {
        let mut idle = self.0.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        connections.retain(|c| !c.sender.is_closed());
        let usable = connections.last()?.last_response.elapsed() <= max_idle;
        if usable { connections.pop() } else { None }
    }

    /// Returns a connection to the pool once it is ready for another request. It is closed instead if the
    /// endpoint sent bytes after the end of the response.
    pub(super) fn put_back(&self, mut connection: RelayConnection) {
        let pool = self.clone();
        monoio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            connection.last_response = Instant::now();
            let mut idle = pool.0.idle.borrow_mut();
            let connections = idle.entry(connection.addr).or_default();
            if connections.len() < IDLE_PER_ENDPOINT {
                connections.push(connection);
            }
        });
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.any(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
