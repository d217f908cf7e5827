use masticstair_net::peer::PeerClient;

/// Where the next attempt of a request goes.
pub(super) enum CallTarget {
    None,
    Local,
    Remote(PeerClient),
}
