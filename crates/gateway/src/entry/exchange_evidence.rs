use futures_util::future::{Either, select};
use masticstair_core::prelude::*;
use masticstair_net::peer::GatewayMessage;
use masticstair_policy::poison::EvidenceUpdate;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use crate::messages::{EvidenceRequest, Message, Reply, decode, encode};
use crate::{Gateway, PeerHost};

/// How long a control host may wait for evidence. A connection that is dead without an error is detected after this
/// time plus `ANSWER_MARGIN`; until then the other control hosts pass the evidence on.
const EVIDENCE_WAIT: Duration = Duration::from_secs(2);

/// Time allowed for the reply beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Delay after a control host did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What this host and a control host know of each other's evidence.
#[derive(Default)]
struct Exchange {
    /// The process of the control host that the positions belong to.
    incarnation: Incarnation,
    /// The position of the control host that this host has reached.
    received: u64,
    /// The position of this host that the control host has reached; none if it needs all evidence.
    sent: Option<u64>,
}

/// Exchanges evidence on prompts with one control host for as long as the host counts as live.
pub(super) async fn exchange_evidence(gw: &Rc<Gateway>, host: &HostId) {
    let mut exchange = Exchange::default();
    loop {
        let (hosts, _) = gw.control_hosts();
        let Some(peer) = hosts.into_iter().find(|h| h.host == *host) else { return };
        let (request, position) = next_request(gw, &exchange);
        let sends = !request.changes.is_empty();
        let reply = pin!(send_evidence(&peer, request));
        let reply = match select(reply, pin!(own_evidence(gw, position, sends))).await {
            Either::Left((reply, _)) => reply,
            // What is new is sent at once, in place of waiting for the reply.
            Either::Right(_) => continue,
        };
        gw.has_evidence.set(true);
        match reply {
            Ok(update) => {
                let is_known = update.incarnation == exchange.incarnation;
                exchange = Exchange {
                    incarnation: update.incarnation,
                    received: update.position,
                    sent: is_known.then_some(position),
                };
                gw.change_evidence(|table, now| table.merge(now, update.changes));
            }
            Err(_) => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns the next request, and the position of this host that the control host reaches with it.
fn next_request(gw: &Gateway, exchange: &Exchange) -> (EvidenceRequest, u64) {
    let table = gw.poison.borrow();
    let changes = match exchange.sent {
        Some(sent) => table.changes_after(gw.now(), sent, true),
        None => table.changes_after(gw.now(), 0, false),
    };
    let wait = if changes.is_empty() { EVIDENCE_WAIT } else { Duration::ZERO };
    let request = EvidenceRequest {
        incarnation: exchange.incarnation,
        position: exchange.received,
        changes,
        wait: Millis::new(wait.as_millis() as u64),
    };
    (request, table.position())
}

/// Completes when this host has seen something itself after `position`; never while evidence is being sent.
async fn own_evidence(gw: &Gateway, position: u64, sends: bool) {
    if sends {
        return std::future::pending().await;
    }
    while gw.poison.borrow().changes_after(gw.now(), position, true).is_empty() {
        gw.poison_changed.notified(EVIDENCE_WAIT).await;
    }
}

async fn send_evidence(
    peer: &PeerHost,
    request: EvidenceRequest,
) -> Result<EvidenceUpdate, Box<str>> {
    let client = peer.client.as_ref().ok_or("the local host has no peer connection")?;
    let budget = request.wait.duration() + ANSWER_MARGIN;
    let content = encode(&Message::Evidence(request))?;
    let reply =
        client.gateway(GatewayMessage { content, budget }).await.map_err(|e| e.to_string())?;
    match decode(&reply)? {
        Reply::Evidence(update) => Ok(update),
        Reply::Refused(reason) => Err(reason),
        _ => Err("reply does not match the message".into()),
    }
}
