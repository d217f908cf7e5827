use masticstair_core::unit::{ByteCount, Timestamp};

use super::HolderNumber;

/// A connection, as the choice of the one that gives way sees it.
#[derive(Clone, Copy, Debug)]
pub struct HolderView {
    /// The number of the connection; later connections have higher numbers.
    pub number: HolderNumber,
    /// What is held for the connection, with the answer that its client has not read.
    pub held: ByteCount,
    /// Since when the process has waited for the client, which has neither sent nor read anything; `None` while the
    /// process is at work on a request, or lets the client wait.
    pub waits_since: Option<Timestamp>,
    /// Whether the process waits for the client to read.
    pub is_blocked: bool,
    /// Since when a request that is read has waited for room; `None` if it does not.
    pub wants_room_since: Option<Timestamp>,
    /// When its request began.
    pub begun: Timestamp,
}
