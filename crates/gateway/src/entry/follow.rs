use masticstair_core::prelude::*;
use masticstair_net::peer::GatewayMessage;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::housekeeping::note_endpoints;
use crate::install_catalog::install_catalog;
use crate::messages::{FollowReply, FollowRequest, Message, Reply, decode, encode};
use crate::{Gateway, PeerHost};

/// How long a control host may wait for something new. A connection that is dead without an error is found
/// out after this and `ANSWER_MARGIN`.
const WAIT: Duration = Duration::from_millis(500);

/// What the answer may take beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// How often control hosts are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The wait after a control host did not answer, and between complete listings of one that has just
/// started.
const RETRY_WAIT: Duration = Duration::from_millis(150);

/// After this time without a word of most control hosts, the newest catalog that is known counts.
const CONFIRM_LIMIT: Duration = Duration::from_secs(3);

/// The hosts that said that they hold no newer catalog than the one in force here.
type Confirmed = Rc<RefCell<HashMap<HostId, CatalogVersion>>>;

/// Follows every control host, each by a task of its own.
pub(crate) async fn follow_control_hosts(gw: Rc<Gateway>) {
    let confirmed = Confirmed::default();
    let followed: Rc<RefCell<HashSet<HostId>>> = Rc::default();
    let started = gw.now();
    loop {
        let (hosts, joined) = gw.control_hosts();
        for host in &hosts {
            if followed.borrow_mut().insert(host.host.clone()) {
                let (gw, name, confirmed) = (gw.clone(), host.host.clone(), confirmed.clone());
                let followed = followed.clone();
                monoio::spawn(async move {
                    follow(&gw, &name, &confirmed).await;
                    followed.borrow_mut().remove(&name);
                });
            }
        }
        if !gw.is_current.get() {
            check_current(&gw, &hosts, joined, &confirmed, started);
        }
        monoio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Follows what endpoints announce to this host itself.
pub(crate) async fn follow_own_table(gw: Rc<Gateway>, control: Rc<ControlHost>) {
    let host = gw.host.clone();
    loop {
        let (incarnation, position) = gw.directory.borrow().position(&host);
        let now = gw.now();
        let feed = control.table.borrow().changes_after(now, incarnation, position);
        if gw.directory.borrow_mut().apply_update(now, &host, feed) {
            note_endpoints(&gw);
        }
        control.changed.notified(WAIT).await;
    }
}

/// A catalog that a quorum has accepted is held by at least one host of every majority, so after the word of
/// most control hosts this host knows it.
fn check_current(
    gw: &Gateway,
    hosts: &[PeerHost],
    joined: bool,
    confirmed: &Confirmed,
    started: Timestamp,
) {
    let version = gw.catalog.version();
    if version == CatalogVersion::default() {
        return;
    }
    let confirmed = confirmed.borrow();
    let heard = hosts.iter().filter(|h| confirmed.contains_key(&h.host)).count();
    let most = joined && heard * 2 > hosts.len();
    if most || gw.now().since(started) > CONFIRM_LIMIT {
        gw.is_current.set(true);
        info!(gw.log, "ready for clients"; "catalog" => %version, "control_hosts" => hosts.len(),
            "confirmed" => heard);
    }
}

/// Follows one control host for as long as it counts as live.
async fn follow(gw: &Rc<Gateway>, host: &HostId, confirmed: &Confirmed) {
    let mut lost = false;
    loop {
        let (hosts, _) = gw.control_hosts();
        let Some(peer) = hosts.into_iter().find(|h| h.host == *host) else { return };
        match ask(gw, &peer).await {
            Ok(reply) => {
                if std::mem::take(&mut lost) {
                    info!(gw.log, "control host regained"; "peer" => %host);
                }
                let settled = reply.feed.settled;
                take(gw, host, reply, confirmed);
                if !settled {
                    monoio::time::sleep(RETRY_WAIT).await;
                }
            }
            Err(reason) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(gw.log, "control host lost"; "peer" => %host,
                        "reason" => reason.as_ref());
                }
                monoio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

async fn ask(gw: &Gateway, peer: &PeerHost) -> Result<FollowReply, Box<str>> {
    let client = peer.client.as_ref().ok_or("the host is this one")?;
    let (incarnation, position) = gw.directory.borrow().position(&peer.host);
    let request = FollowRequest {
        incarnation,
        position,
        catalog: gw.catalog.version(),
        wait: Millis::new(WAIT.as_millis() as u64),
    };
    let content = encode(&Message::Follow(request))?;
    let message = GatewayMessage { content, budget: WAIT + ANSWER_MARGIN };
    let reply = client.gateway(message).await.map_err(|e| e.to_string())?;
    match decode(&reply)? {
        Reply::Follow(reply) => Ok(*reply),
        Reply::Refused(reason) => Err(reason),
        _ => Err("the answer belongs to another message".into()),
    }
}

fn take(gw: &Rc<Gateway>, host: &HostId, reply: FollowReply, confirmed: &Confirmed) {
    if let Some(content) = &reply.catalog {
        install_catalog(gw, reply.catalog_version, content);
    }
    for load in reply.loads {
        gw.stage_times.note_load(gw.now(), load);
    }
    confirmed.borrow_mut().insert(host.clone(), reply.catalog_version);
    let changed = gw.directory.borrow_mut().apply_update(gw.now(), host, reply.feed);
    if changed {
        note_endpoints(gw);
    }
}
