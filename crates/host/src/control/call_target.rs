use masticstair_net::peer::PeerClient;

/// The destination of one attempt to reach the leader.
pub(super) enum CallTarget {
    /// No host is known and there is no local replica.
    None,
    /// The replica of this host.
    Local,
    /// Another host.
    Remote(PeerClient),
}
