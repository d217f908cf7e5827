use futures_util::future::join_all;
use masticstair_core::catalog::Route;
use masticstair_core::prelude::*;
use masticstair_policy::engine_choice::rendezvous_order;
use masticstair_policy::stream_versions::{StreamNotice, StreamWriter};
use slog::warn;
use std::rc::Rc;
use std::time::Duration;

use super::client_request::ClientRequest;
use crate::messages::{Message, Reply};
use crate::{Gateway, PeerHost};

/// Control hosts that hold a copy of each record, beside the entry host: one of them may be lost.
const COPIES: usize = 2;

/// How long a client may take a stream up again, as a multiple of the timeout of its route. A client has about that
/// timeout for all of its attempts.
const RETENTION_TIMEOUTS: u64 = 2;

/// The least time that a record is kept.
const MIN_RETENTION: Millis = Millis::new(10_000);

/// Timeout for a control host to take a record.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often all records are sent to a control host that was restarted, until it takes them.
const RESTORE_TRIES: usize = 5;

/// Time between these.
const RESTORE_INTERVAL: Duration = Duration::from_millis(500);

/// Records who wrote the first event of a stream, here and on control hosts, where another entry host finds it.
pub(super) fn record_stream(gw: &Rc<Gateway>, req: &ClientRequest, writer: StreamWriter) {
    let (now, retention) = (gw.now(), retention(&req.route));
    let notice = gw.streams.borrow_mut().record(now, &req.meta.call, writer, retention);
    let gw = gw.clone();
    monoio::spawn(async move { copy_record(&gw, notice).await });
}

/// Returns how long clients may take a stream of a route up.
pub(super) fn retention(route: &Route) -> Millis {
    let timeouts = route.timeout.get().saturating_mul(RETENTION_TIMEOUTS);
    Millis::new(timeouts).max(MIN_RETENTION)
}

/// Sends a record to the first control hosts in the order of its attempt that take it.
async fn copy_record(gw: &Gateway, notice: StreamNotice) {
    let hosts = holders(gw, &notice.attempt);
    let wanted = COPIES.min(hosts.len());
    let mut copies = 0;
    let mut rest = hosts.as_slice();
    while copies < wanted && !rest.is_empty() {
        let (next, others) = rest.split_at((wanted - copies).min(rest.len()));
        rest = others;
        let sent = next.iter().map(|host| send_records(gw, host, vec![notice.clone()]));
        copies += join_all(sent).await.into_iter().filter(|taken| *taken).count();
    }
    if copies < wanted {
        warn!(gw.log, "record of a stream has too few copies"; "request" => %notice.attempt,
            "copies" => copies);
    }
}

/// Returns the control hosts in the order in which they hold the record of an attempt; those that count as failed are the
/// last ones.
pub(super) fn holders(gw: &Gateway, attempt: &CallId) -> Vec<PeerHost> {
    let (hosts, _) = gw.control_hosts();
    let names = hosts.iter().map(|h| h.host.as_str().as_bytes());
    let order = rendezvous_order(attempt.as_str().as_bytes(), names);
    let mut holders: Vec<_> = order.into_iter().filter_map(|n| hosts.get(n).cloned()).collect();
    holders.sort_by_key(|h| h.is_failed);
    holders
}

/// Sends all records of this host to a control host that has lost its own.
pub(super) fn restore_records(gw: &Rc<Gateway>, host: &PeerHost) {
    let records = gw.streams.borrow().own(gw.now());
    if !records.is_empty() {
        let (gw, host) = (gw.clone(), host.clone());
        monoio::spawn(async move {
            for _ in 0..RESTORE_TRIES {
                if send_records(&gw, &host, records.clone()).await {
                    return;
                }
                monoio::time::sleep(RESTORE_INTERVAL).await;
            }
            warn!(gw.log, "control host did not take the records of streams"; "peer" => %host.host,
                "records" => records.len());
        });
    }
}

async fn send_records(gw: &Gateway, host: &PeerHost, records: Vec<StreamNotice>) -> bool {
    let message = Message::Streams(records);
    matches!(gw.update_links.send(host, &message, COPY_TIMEOUT).await, Ok(Reply::Done))
}
