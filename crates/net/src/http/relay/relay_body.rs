use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer_buffer::AnswerBuffer;
use super::relay_connection::RelayConnection;
use super::relay_pool::RelayPool;
use super::{AnswerRoom, ReadConnection, RelayError};

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

    /// Reads the next chunk, which is not empty; returns `None` at the end of the body, and the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the connection closes before the body is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        let chunk = self.next_chunk().await?;
        if chunk.is_none() {
            self.take_connection().keep();
        }
        Ok(chunk)
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
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
                None => return Ok(None),
            }
        }
    }

    /// Reads the rest of the body. Its memory counts until the returned bytes are dropped. The caller keeps the connection
    /// once it knows that the response is the one to its request.
    ///
    /// # Errors
    ///
    /// See `next`; also returns `Broken` if the body exceeds `limit` bytes or there is no room for it.
    pub async fn read_all(
        mut self,
        limit: usize,
        room: &AnswerRoom,
    ) -> Result<(Bytes, ReadConnection), RelayError> {
        let mut buf = AnswerBuffer::new(room.share());
        while let Some(chunk) = self.next_chunk().await? {
            let broken = |message: String| Err(RelayError::Broken(self.addr, message.into()));
            if buf.len() + chunk.len() > limit {
                return broken(format!("the body has more than {limit} bytes"));
            }
            if !buf.push(&chunk) {
                let (read, held) = (buf.len(), room.held());
                return broken(format!(
                    "no room after {read} bytes ({held} bytes of answers are held)"
                ));
            }
        }
        Ok((buf.freeze(), self.take_connection()))
    }

    fn take_connection(&mut self) -> ReadConnection {
        let connection = self.connection.take().filter(|_| self.keep_alive);
        ReadConnection::new(self.pool.clone(), connection)
    }
}
