use super::ServingEndpoint;

/// The heartbeat of an endpoint, with its current state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The endpoint as it describes itself.
    pub endpoint: ServingEndpoint,
    /// Increases with each announcement of one incarnation, to detect announcements that arrive late.
    pub sequence: u64,
}
