use masticstair_net::peer::PeerClient;
use std::cell::RefCell;

use crate::PeerHost;

/// The connection to a control host that carries updates only. The calls of stages share another one, which ends when a
/// ping is answered late.
#[derive(Default)]
pub(super) struct UpdateLink(RefCell<Option<PeerClient>>);

impl UpdateLink {
    /// Returns the client of the connection to a host; none for the local host.
    pub(super) fn client(&self, peer: &PeerHost) -> Option<PeerClient> {
        let shared = peer.client.as_ref()?;
        let mut own = self.0.borrow_mut();
        if own.as_ref().is_none_or(|own| own.address() != shared.address()) {
            *own = Some(shared.separate());
        }
        own.clone()
    }
}
