use masticstair_core::prelude::*;
use masticstair_net::peer::{GatewayMessage, PeerClient};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::PeerHost;
use crate::messages::{Message, Reply, decode, encode};

/// The least time after which a message without a reply ends the connection. It covers the queues of a link that requests
/// fill, in both directions.
const MIN_BUDGET: Duration = Duration::from_millis(2_000);

/// The connections to control hosts that carry updates only. The calls of stages share another one, which ends when a
/// ping is answered late.
#[derive(Default)]
pub(crate) struct UpdateLinks(RefCell<HashMap<HostId, PeerClient>>);

impl UpdateLinks {
    /// Sends a message to a control host and returns its reply if that comes within `limit`.
    pub(crate) async fn send(
        &self,
        peer: &PeerHost,
        message: &Message,
        limit: Duration,
    ) -> Result<Reply, Box<str>> {
        let client = self.client(peer).ok_or("the local host has no peer connection")?;
        let content = encode(message)?;
        let message = GatewayMessage { content, budget: limit.max(MIN_BUDGET) };
        let reply = monoio::time::timeout(limit, client.gateway(message)).await;
        let reply = reply.map_err(|_| format!("no answer within {} ms", limit.as_millis()))?;
        match decode(&reply.map_err(|e| e.to_string())?)? {
            Reply::Refused(reason) => Err(reason),
            reply => Ok(reply),
        }
    }

    /// Closes the connection to a host that has left.
    pub(crate) fn remove(&self, host: &HostId) {
        self.0.borrow_mut().remove(host);
    }

    fn client(&self, peer: &PeerHost) -> Option<PeerClient> {
        let shared = peer.client.as_ref()?;
        let mut links = self.0.borrow_mut();
        if let Some(own) = links.get(&peer.host).filter(|own| own.address() == shared.address()) {
            return Some(own.clone());
        }
        let own = shared.separate();
        links.insert(peer.host.clone(), own.clone());
        Some(own)
    }
}
