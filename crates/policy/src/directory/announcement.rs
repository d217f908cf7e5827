use super::ServingEndpoint;

/// What an endpoint says about itself, again and again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: ServingEndpoint,
    /// Rises with each announcement of one life, so that a late one is recognised.
    pub sequence: u64,
}
