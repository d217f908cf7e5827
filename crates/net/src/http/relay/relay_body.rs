use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::RelayError;
use super::relay_connection::RelayConnection;
use super::relay_pool::RelayPool;

/// The body of an answer. Dropping it before its end closes the connection, which cancels the request.
pub struct RelayBody {
    pool: RelayPool,
    body: Incoming,
    /// `None` once the connection went back to the pool or was closed.
    connection: Option<RelayConnection>,
    /// Whether the endpoint keeps the connection open after the answer.
    keep_alive: bool,
    addr: std::net::SocketAddr,
}

impl RelayBody {
    pub(super) fn new(
        pool: RelayPool,
        body: Incoming,
        connection: RelayConnection,
        keep_alive: bool,
    ) -> Self {
        let addr = connection.addr;
        Self { pool, body, connection: Some(connection), keep_alive, addr }
    }

    /// Reads the next piece; `None` after the complete body.
    ///
    /// # Errors
    ///
    /// Returns `Broken` when the connection ends before the body does.
    pub async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    // Trailers say nothing that is passed on.
                    Err(_) => {}
                },
                Some(Err(e)) => {
                    self.connection = None;
                    return Err(RelayError::Broken(self.addr, e.to_string().into()));
                }
                None => {
                    self.release();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As `next`; also when it has more than `limit` bytes.
    pub async fn read_all(mut self, limit: usize) -> Result<Bytes, RelayError> {
        let mut chunks = Vec::new();
        while let Some(chunk) = self.next().await? {
            chunks.extend_from_slice(&chunk);
            if chunks.len() > limit {
                let message = format!("the body has more than {limit} bytes");
                return Err(RelayError::Broken(self.addr, message.into()));
            }
        }
        Ok(chunks.into())
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.keep_alive) {
            self.pool.put_back(connection);
        }
    }
}
