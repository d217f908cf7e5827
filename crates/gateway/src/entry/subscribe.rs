use futures_util::future::join;
use masticstair_core::prelude::*;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use super::catalog_request::CatalogRequest;
use super::exchange_findings::exchange_findings;
use super::stream_copies::restore_records;
use super::subscription_progress::{SubscriptionProgress, UPDATE_WAIT};
use crate::control::ControlHost;
use crate::gateway_evacuations::install_evacuations;
use crate::install_catalog::install_catalog;
use crate::maintenance::on_endpoints_changed;
use crate::messages::{
    CatalogMode, CatalogUpdate, Message, Reply, SubscribeReply, SubscribeRequest,
};
use crate::{Gateway, PeerHost};

/// Time allowed for the reply beyond the wait. On a link that requests fill, each direction may take some hundred
/// milliseconds.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// How often the set of control hosts is checked for new ones.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a control host did not answer, or sent a catalog that cannot be read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Without replies from a majority of the control hosts, the newest known catalog counts as current after
/// this time.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Control hosts that have replied, with the version of the catalog that each one named first.
type Confirmed = Rc<RefCell<HashMap<HostId, CatalogVersion>>>;

/// Subscribes to every control host, each in its own task.
pub(crate) async fn subscribe_to_control_hosts(gw: Rc<Gateway>) {
    let confirmed = Confirmed::default();
    let subscribed: Rc<RefCell<HashSet<HostId>>> = Rc::default();
    let started = gw.now();
    loop {
        let (hosts, joined) = gw.control_hosts();
        for host in &hosts {
            if subscribed.borrow_mut().insert(host.host.clone()) {
                let (gw, name, confirmed) = (gw.clone(), host.host.clone(), confirmed.clone());
                let subscribed = subscribed.clone();
                monoio::spawn(async move {
                    join(subscribe(&gw, &name, &confirmed), exchange_findings(&gw, &name)).await;
                    gw.update_links.remove(&name);
                    subscribed.borrow_mut().remove(&name);
                });
            }
        }
        if !gw.is_current.get() {
            check_current(&gw, &hosts, joined, &confirmed, started);
        }
        monoio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Applies the announcements that endpoints send to this host itself.
pub(crate) async fn subscribe_to_local_table(gw: Rc<Gateway>, control: Rc<ControlHost>) {
    let host = gw.host.clone();
    loop {
        let (incarnation, position) = gw.directory.borrow().position(&host);
        let now = gw.now();
        let update = control.table.borrow().changes_after(now, incarnation, position);
        gw.record_listed_warmups(&update);
        if gw.directory.borrow_mut().apply_update(now, &host, update) {
            on_endpoints_changed(&gw);
        }
        control.changed.notified(UPDATE_WAIT).await;
    }
}

/// Marks the catalog in force as current once a majority of the control hosts has replied, or after
/// `CONFIRMATION_TIMEOUT`.
///
/// A catalog accepted by a quorum is held by at least one host of every majority, so this host has it once it has the
/// newest one that a majority of the control hosts named.
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
    let live: Vec<_> = hosts.iter().filter(|h| !h.is_failed).collect();
    let confirmed_hosts = live.iter().filter(|h| confirmed.contains_key(&h.host)).count();
    // A host that has just started must know the prompts that crash engines, and the limits of endpoints.
    let has_majority = joined
        && confirmed_hosts * 2 > live.len()
        && confirmed.values().all(|held| *held <= version)
        && gw.has_findings.get();
    if has_majority || gw.now().since(started) > CONFIRMATION_TIMEOUT {
        gw.is_current.set(true);
        info!(gw.log, "catalog is current; accepting clients"; "catalog" => %version,
            "control_hosts" => live.len(), "confirmed" => confirmed_hosts);
    }
}

/// Keeps a subscription to one control host until the host leaves or is forgotten.
async fn subscribe(gw: &Rc<Gateway>, host: &HostId, confirmed: &Confirmed) {
    info!(gw.log, "subscribing to control host"; "peer" => %host);
    let mut progress = SubscriptionProgress::default();
    loop {
        let (hosts, _) = gw.control_hosts();
        let Some(peer) = hosts.into_iter().find(|h| h.host == *host) else {
            gw.last_contacts.borrow_mut().remove(host);
            gw.control_news.borrow_mut().remove(host);
            warn!(gw.log, "subscription to control host ended; the host has left";
                "peer" => %host, "catalog" => %gw.catalog.version());
            return;
        };
        request_updates(gw, &peer, confirmed, &mut progress).await;
        if progress.is_disconnected || progress.is_unreadable {
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Requests updates once and applies the reply.
async fn request_updates(
    gw: &Rc<Gateway>,
    peer: &PeerHost,
    confirmed: &Confirmed,
    progress: &mut SubscriptionProgress,
) {
    let host = &peer.host;
    let (asked_at, in_force) = (gw.now(), gw.catalog.version());
    let catalog = match progress.is_unreadable {
        true => CatalogRequest::whole(),
        false => CatalogRequest::next(gw, host, progress.is_overdue),
    };
    let is_backup = catalog.mode == CatalogMode::Version;
    let reply = match fetch_updates(gw, peer, catalog, progress.wait).await {
        Ok(reply) => reply,
        Err(reason) => return progress.record_failure(gw, host, &reason),
    };
    gw.last_contacts.borrow_mut().insert(host.clone(), gw.now());
    let (held_at, version) = (asked_at.plus(reply.held.duration()), reply.catalog_version);
    progress.record_reply(gw, host, held_at);
    let (before, _) = gw.directory.borrow().position(host);
    if before != Incarnation::default() && before != reply.feed.incarnation {
        restore_records(gw, peer);
    }
    progress.is_unreadable = apply_updates(gw, host, reply, confirmed).is_err();
    let now_in_force = gw.catalog.version();
    progress.is_overdue = is_backup && version > now_in_force && now_in_force == in_force;
    record_news(gw, host, held_at, version);
}

/// Records which catalog a control host held, not before `held_at`.
fn record_news(gw: &Gateway, host: &HostId, held_at: Timestamp, version: CatalogVersion) {
    let mut news = gw.control_news.borrow_mut();
    news.entry(host.clone()).or_default().record(held_at, version, gw.catalog.version());
}

async fn fetch_updates(
    gw: &Gateway,
    peer: &PeerHost,
    catalog: CatalogRequest,
    wait: Duration,
) -> Result<SubscribeReply, Box<str>> {
    let (incarnation, position) = gw.directory.borrow().position(&peer.host);
    let request = SubscribeRequest {
        incarnation,
        position,
        catalog: catalog.base,
        wait: Millis::new(wait.as_millis() as u64),
        catalog_mode: catalog.mode,
        catalog_wait: catalog.wait,
        evacuations: Some(gw.evacuations.borrow().revision()),
    };
    let message = Message::Subscribe(request);
    match gw.update_links.send(peer, &message, UPDATE_WAIT + ANSWER_MARGIN).await? {
        Reply::Subscribe(reply) => Ok(*reply),
        _ => Err("reply does not match the message".into()),
    }
}

/// Applies a reply. Fails if its catalog cannot be read; the rest is applied all the same.
fn apply_updates(
    gw: &Rc<Gateway>,
    host: &HostId,
    mut reply: SubscribeReply,
    confirmed: &Confirmed,
) -> io::Result<()> {
    // Before the endpoints, which may be in an evacuated data centre.
    if let Some(listing) = reply.evacuations.take() {
        install_evacuations(gw, listing);
    }
    if let Some(content) = &reply.catalog {
        install_catalog(gw, reply.catalog_version, content);
    }
    let installed = match &reply.catalog_update {
        Some(update) => install_update(gw, reply.catalog_version, update),
        None => Ok(()),
    };
    if let Err(e) = &installed {
        warn!(gw.log, "cannot read the update of the catalog"; "peer" => %host,
            "version" => %reply.catalog_version, "reason" => %e);
    }
    for load in reply.loads {
        gw.stage_times.record_load(gw.now(), load);
    }
    confirmed.borrow_mut().entry(host.clone()).or_insert(reply.catalog_version);
    reply.feed.add_software(reply.software);
    gw.software.borrow_mut().record(gw.now(), reply.feed.listed());
    gw.record_listed_warmups(&reply.feed);
    let changed = gw.directory.borrow_mut().apply_update(gw.now(), host, reply.feed);
    if changed {
        on_endpoints_changed(gw);
    }
    installed
}

/// Installs a catalog that was sent as an update.
fn install_update(gw: &Gateway, version: CatalogVersion, update: &CatalogUpdate) -> io::Result<()> {
    if version <= gw.catalog.version() {
        return Ok(());
    }
    let base = gw.catalog.document().filter(|d| d.version == update.base);
    if base.is_none() && update.base != CatalogVersion::default() {
        // Another control host has sent a catalog since; the next request names that one.
        return Ok(());
    }
    let content = update.decode(base.as_ref().map(|d| &*d.content).unwrap_or_default())?;
    install_catalog(gw, version, &content);
    Ok(())
}
