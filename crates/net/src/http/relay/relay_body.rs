use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::RelayError;
use super::relay_connection::RelayConnection;
use super::relay_pool::RelayPool;

/// The body of a response. Dropping it before it is complete closes the connection, which cancels the
/// request.
pub struct RelayBody {
    pool: RelayPool,
    body: Incoming,
    /// `None` once the connection was returned to the pool or closed.
    connection: Option<RelayConnection>,
    /// Whether the connection can be reused after the response.
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

    /// Reads the next chunk, which is not empty; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the connection closes before the body is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        if let Some(connection) = &self.connection {
                            connection.progress.record_progress();
                        }
                        return Ok(Some(data));
                    }
                    // Trailers are not relayed.
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

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// See `next`; also returns `Broken` if the body exceeds `limit` bytes.
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
