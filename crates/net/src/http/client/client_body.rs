use bytes::{Bytes, BytesMut};
use monoio_http::h1::BorrowFramedRead;
use std::rc::Rc;

use super::ClientError;
use super::body_decoder::BodyDecoder;
use super::connection::Connection;
use super::pool_inner::PoolInner;

/// The body of a response. Dropping it before it is complete closes the connection.
pub struct ClientBody {
    pool: Rc<PoolInner>,
    /// `None` once the connection was returned to the pool or closed.
    connection: Option<Connection>,
    decoder: BodyDecoder,
    /// Whether the connection can be reused after the response.
    keep_alive: bool,
}

impl ClientBody {
    pub(super) fn new(
        pool: Rc<PoolInner>,
        connection: Connection,
        decoder: BodyDecoder,
        keep_alive: bool,
    ) -> Self {
        let mut body = Self { pool, connection: Some(connection), decoder, keep_alive };
        body.release_at_end();
        body
    }

    /// Reads the next chunk; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the connection closes before the body is complete or a chunk exceeds the body
    /// limit of the pool.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ClientError> {
        let Some(connection) = &mut self.connection else { return Ok(None) };
        let addr = connection.addr;
        let chunk = match connection.codec.framed_mut().next_with(&mut self.decoder).await {
            Some(Ok(chunk)) => chunk,
            Some(Err(e)) => return Err(ClientError::Broken(addr, e.to_string().into())),
            None => return Err(ClientError::Broken(addr, "closed within the body".into())),
        };
        self.release_at_end();
        Ok(chunk)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// See `next`; also returns `TooLarge` if the chunks of the body together exceed the limit of the pool. A
    /// body whose `Content-Length` exceeds the limit is a single chunk, so it is `Broken`.
    pub async fn read_all(mut self) -> Result<Bytes, ClientError> {
        let limit = self.pool.limits.body;
        let Some(first) = self.next().await? else { return Ok(Bytes::new()) };
        if self.decoder.has_ended() {
            return Ok(first);
        }
        let mut buf = BytesMut::from(first);
        while let Some(chunk) = self.next().await? {
            buf.extend_from_slice(&chunk);
            if buf.len() as u64 > limit.get() {
                return Err(ClientError::TooLarge(limit));
            }
        }
        Ok(buf.freeze())
    }

    fn release_at_end(&mut self) {
        if !self.decoder.has_ended() {
            return;
        }
        if let Some(connection) = self.connection.take().filter(|_| self.keep_alive) {
            self.pool.put_idle(connection);
        }
    }
}
