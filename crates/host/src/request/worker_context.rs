use masticstair_net::http::client::ConnectionPool;
use std::sync::Arc;

use crate::state::HostState;

/// The context that all tasks of one worker thread share.
pub struct WorkerContext {
    /// Shared by all threads of the host.
    pub state: Arc<HostState>,
    /// Connections to endpoints; each worker thread has its own.
    pub pool: ConnectionPool,
}
