use super::relay_connection::RelayConnection;
use super::relay_pool::RelayPool;

/// The connection of a response that was read to its end. Dropping it closes the connection: if the response belongs to
/// another request, the right one is still due and would be taken for the response to the next request.
pub struct ReadConnection {
    pool: RelayPool,
    /// `None` if the connection cannot be reused.
    connection: Option<RelayConnection>,
}

impl ReadConnection {
    pub(super) fn new(pool: RelayPool, connection: Option<RelayConnection>) -> Self {
        Self { pool, connection }
    }

    /// Returns the connection to the pool, since the response is the one to its request.
    pub fn keep(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}
