use masticstair_net::http::client::ConnectionPool;
use std::sync::Arc;

use crate::state::HostState;

/// What the tasks of one worker share.
pub struct WorkerContext {
    /// The state of the host.
    pub state: Arc<HostState>,
    /// The worker's connections to endpoints.
    pub pool: ConnectionPool,
}
