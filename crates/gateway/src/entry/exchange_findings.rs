use futures_util::future::{Either, select};
use masticstair_core::prelude::*;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use crate::finding_positions::FindingPositions as Positions;
use crate::gateway_engines::PoolTotals;
use crate::messages::{FindingsReply, FindingsRequest, Message, Reply};
use crate::{Gateway, PeerHost};

/// How long a control host may wait for news. A connection that is dead without an error is detected after this time
/// plus `ANSWER_MARGIN`; until then the other control hosts pass the findings on.
const NEWS_WAIT: Duration = Duration::from_secs(2);

/// Time allowed for the reply beyond the wait; as for subscriptions, whose connection a late reply would end.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// Delay after a control host did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What this host and a control host know of each other's findings.
#[derive(Default)]
struct Exchange {
    /// The process of the control host that `received` belongs to.
    incarnation: Incarnation,
    received: Positions,
    /// What the control host has reached; none if it needs all findings.
    sent: Option<Positions>,
}

/// Exchanges findings on prompts and endpoints with one control host until the host leaves or is forgotten.
pub(super) async fn exchange_findings(gw: &Rc<Gateway>, host: &HostId) {
    let mut exchange = Exchange::default();
    let mut told_engines = PoolTotals::default();
    loop {
        let (hosts, _) = gw.control_hosts();
        let Some(peer) = hosts.into_iter().find(|h| h.host == *host) else { return };
        let (mut request, positions) = next_request(gw, &exchange);
        // Counted as told before the reply: what is lost with a message is measured again, and nothing counts twice.
        let engines = gw.engine_totals();
        request.engines = Gateway::engine_measurements(&engines, &told_engines);
        told_engines = engines;
        let sends = has_findings(&request);
        let reply = pin!(send_findings(gw, &peer, request));
        let reply = match select(reply, pin!(own_news(gw, positions, sends))).await {
            Either::Left((reply, _)) => reply,
            // What is new is sent at once, in place of waiting for the reply.
            Either::Right(_) => continue,
        };
        gw.has_findings.set(true);
        match reply {
            Ok(reply) => {
                let is_known = reply.incarnation == exchange.incarnation;
                exchange = Exchange {
                    incarnation: reply.incarnation,
                    received: Positions {
                        evidence: reply.evidence_position,
                        limits: reply.limits_position,
                        departures: reply.departures_position,
                        crashes: reply.crashes_position,
                    },
                    sent: is_known.then_some(positions),
                };
                // Before the evidence, which they may explain.
                gw.change_request_crashes(|table, now| table.merge(now, reply.crashes));
                gw.change_evidence(|table, now| table.merge(now, reply.evidence));
                gw.merge_limits(reply.limits);
                gw.merge_departures(reply.departures);
                gw.learn_engines(reply.engines);
            }
            Err(_) => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn has_findings(request: &FindingsRequest) -> bool {
    !request.evidence.is_empty()
        || !request.limits.is_empty()
        || !request.departures.is_empty()
        || !request.crashes.is_empty()
}

/// Returns the next request, and the positions of this host that the control host reaches with it.
fn next_request(gw: &Gateway, exchange: &Exchange) -> (FindingsRequest, Positions) {
    let (poison, limits) = (gw.poison.borrow(), gw.limits.borrow());
    let now = gw.now();
    // A control host that has restarted may need what other hosts found out, too.
    let (after, own_only) = (exchange.sent.unwrap_or_default(), exchange.sent.is_some());
    let mut request = FindingsRequest {
        incarnation: exchange.incarnation,
        evidence_position: exchange.received.evidence,
        limits_position: exchange.received.limits,
        evidence: poison.changes_after(now, after.evidence, own_only),
        limits: limits.changes_after(now, after.limits, own_only),
        wait: Millis::new(NEWS_WAIT.as_millis() as u64),
        departures_position: exchange.received.departures,
        departures: gw.directory.borrow().departures_after(after.departures, own_only),
        crashes_position: exchange.received.crashes,
        crashes: gw.request_crashes.borrow().changes_after(now, after.crashes, own_only),
        engines: Vec::new(),
    };
    if has_findings(&request) {
        request.wait = Millis::default();
    }
    (request, Positions::of(gw))
}

/// Completes when this host has found out something itself after `positions`; never while findings are being sent.
async fn own_news(gw: &Gateway, positions: Positions, sends: bool) {
    if sends {
        return std::future::pending().await;
    }
    let has_news = || {
        let now = gw.now();
        !gw.poison.borrow().changes_after(now, positions.evidence, true).is_empty()
            || !gw.limits.borrow().changes_after(now, positions.limits, true).is_empty()
            || !gw.directory.borrow().departures_after(positions.departures, true).is_empty()
            || !gw.request_crashes.borrow().changes_after(now, positions.crashes, true).is_empty()
    };
    while !has_news() {
        gw.findings_changed.notified(NEWS_WAIT).await;
    }
}

async fn send_findings(
    gw: &Gateway,
    peer: &PeerHost,
    request: FindingsRequest,
) -> Result<FindingsReply, Box<str>> {
    let budget = request.wait.duration() + ANSWER_MARGIN;
    match gw.update_links.send(peer, &Message::Findings(request), budget).await? {
        Reply::Findings(reply) => Ok(reply),
        _ => Err("reply does not match the message".into()),
    }
}
