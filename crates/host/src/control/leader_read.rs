//! Reads that only the leader answers: queries of the replicated state, and the status of the group.

use masticstair_store::consensus::{Node, ReadError, Role};
use std::time::Duration;

use super::LeaderStatus;

/// Answers a query if the local replica leads, otherwise fails with the leader that it knows.
pub(super) async fn leader_read(
    node: &Node,
    query: &[u8],
    limit: Duration,
) -> Result<Box<[u8]>, ReadError> {
    if query != LeaderStatus::QUERY {
        return node.read(query, limit).await;
    }
    let status = node.status();
    if status.role == Role::Leader {
        Ok(LeaderStatus::of(&status).encode())
    } else {
        Err(ReadError::NotLeader { leader: status.leader })
    }
}
