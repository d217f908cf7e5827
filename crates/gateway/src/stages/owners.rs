use masticstair_core::prelude::*;
use masticstair_policy::engine_choice::rendezvous_order;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::owner_watch::OwnerWatch;
use super::watched_host::WatchedHost;
use crate::messages::{Message, decode, encode};
use crate::{Gateway, PeerHost};
use masticstair_net::peer::{GatewayMessage, PeerClient};

/// How long a host that did not answer, or did not run a stage, is not chosen to form calls.
const OWNER_BACKOFF: Duration = Duration::from_secs(2);

/// A host that does not answer a ping in this time counts as disconnected.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// The interval between two pings of a host that runs stages of this one.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Chooses the owner of each key: of a stage service, the host that forms its calls; of an endpoint with a limit, the
/// host that gives the permits.
#[derive(Default)]
pub(crate) struct Owners {
    /// When hosts may be chosen again.
    backoffs: RefCell<HashMap<HostId, Timestamp>>,
    watched: RefCell<HashMap<HostId, Rc<WatchedHost>>>,
}

impl Owners {
    /// Returns the host that forms the calls of a service; none if it is the local host.
    ///
    /// Control hosts form the calls: they are few, well connected and not restarted together with the entry
    /// hosts. So a call has items of all hosts, and the capacity of an endpoint is known in one place. Entry
    /// hosts take over while no control host answers.
    pub(super) fn owner(&self, gw: &Gateway, service: &ServiceName) -> Option<PeerHost> {
        self.owner_of(gw, service.as_str().as_bytes())
    }

    /// Returns the host that all hosts choose for a key; none if it is the local host.
    pub(crate) fn owner_of(&self, gw: &Gateway, key: &[u8]) -> Option<PeerHost> {
        let now = gw.now();
        let view = gw.peers();
        let is_usable =
            |h: &&PeerHost| h.client.is_none() || (h.is_alive && !self.is_in_backoff(now, &h.host));
        let (control, entry): (Vec<&PeerHost>, Vec<_>) =
            view.hosts.iter().filter(is_usable).partition(|h| h.is_control);
        let hosts = if control.is_empty() { entry } else { control };
        let names = hosts.iter().map(|h| h.host.as_str().as_bytes());
        let first = *rendezvous_order(key, names).first()?;
        hosts.get(first).filter(|h| h.client.is_some()).map(|h| (*h).clone())
    }

    /// Excludes a host from the choice for a while.
    pub(crate) fn start_backoff(&self, now: Timestamp, host: &HostId) {
        self.backoffs.borrow_mut().insert(host.clone(), now.plus(OWNER_BACKOFF));
    }

    fn is_in_backoff(&self, now: Timestamp, host: &HostId) -> bool {
        self.backoffs.borrow().get(host).is_some_and(|until| now < *until)
    }

    /// Pings a host while it runs stages of this one. A ping that is not answered closes the connection, and
    /// fails every call that waits for the host.
    pub(super) fn watch(&self, gw: &Rc<Gateway>, host: &PeerHost) -> OwnerWatch {
        let mut watched = self.watched.borrow_mut();
        let watched_host = watched.entry(host.host.clone()).or_default().clone();
        watched_host.calls.set(watched_host.calls.get() + 1);
        if let (false, Some(client)) = (watched_host.is_pinged.replace(true), host.client.clone()) {
            let (gw, watched_host) = (gw.clone(), watched_host.clone());
            monoio::spawn(async move {
                ping_while_watched(&gw, &client, &watched_host).await;
                watched_host.is_pinged.set(false);
            });
        }
        OwnerWatch(watched_host)
    }
}

async fn ping_while_watched(gw: &Gateway, client: &PeerClient, watched_host: &WatchedHost) {
    loop {
        monoio::time::sleep(PING_INTERVAL).await;
        let Ok(content) = encode(&Message::Ping) else { return };
        let message = GatewayMessage { content, budget: PING_TIMEOUT };
        if watched_host.calls.get() == 0 {
            return;
        }
        if let Err(e) = client.gateway(message).await {
            slog::info!(gw.log, "ping to stage owner failed"; "peer" => %client.address(),
                "reason" => %e);
        }
    }
}

/// Sends a message to a host and decodes its reply.
pub(crate) async fn send_message(
    host: &PeerHost,
    message: &Message,
    timeout: Duration,
) -> Result<crate::messages::Reply, Box<str>> {
    let client = host.client.as_ref().ok_or("the local host has no peer connection")?;
    let content = encode(message)?;
    let reply = client
        .gateway(GatewayMessage { content, budget: timeout })
        .await
        .map_err(|e| e.to_string().into_boxed_str())?;
    decode(&reply)
}
