use futures_util::future::{Either, select};
use http::header::HOST;
use masticstair_core::catalog::Catalog;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::freshness::may_deny;
use std::cell::OnceCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer_plain::answer_plain;
use super::answer_ready::answer_ready;
use super::answer_stream::answer_stream;
use super::check_prompt::check_prompt;
use super::check_request::check_request;
use super::check_stop::{check_stop, stop_refusal};
use super::client_request::ClientRequest;
use super::in_flight::InFlight;
use super::refuse::refuse;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason, RequestMeta};
use crate::telemetry::RequestTimeline;

/// Retry delay sent to clients while this host has no catalog; all hosts may have started at the same time.
const NO_CATALOG_RETRY_AFTER: Millis = Millis::new(800);

/// Retry delay sent to clients while this host may lack changes of the catalog; another one may have them.
const OUTDATED_RETRY_AFTER: Millis = Millis::new(300);

/// How long a request waits for the catalog and the endpoints that a host learns after its start.
const STARTUP_WAIT: Duration = Duration::from_millis(1_200);

/// How long after its start a host may still discover endpoints that announced themselves before.
const STARTUP_DISCOVERY_TIME: Duration = Duration::from_secs(5);

const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request ends soon after its deadline, so the end of a stop is not awaited longer than this after it.
const STOP_MARGIN: Duration = Duration::from_secs(10);

/// Assumed when a request states no timeout.
const DEFAULT_CLIENT_TIMEOUT: Millis = Millis::new(10_000);

pub(crate) async fn answer_request(gw: Rc<Gateway>, req: Request) -> Response {
    if gw.cfg.ready_listen == gw.cfg.listen && (gw.front_end.is_ready_probe)(&req.head) {
        return answer_ready(&gw, &req);
    }
    let in_flight = InFlight::new(&gw.in_flight);
    let now = gw.now();
    let meta = match (gw.front_end.read_request)(&req.head) {
        Ok(meta) => meta,
        Err(refusal) => {
            slog::info!(gw.log, "malformed request rejected"; "detail" => refusal.detail.as_ref());
            return (gw.front_end.refuse)(&refusal);
        }
    };
    let mut timeline = RequestTimeline::new(now, &meta);
    wait_for_startup(&gw, now, &meta).await;
    let admitted = admit(&gw, now, meta, req, &mut timeline)
        .and_then(|req| check_prompt(&gw, &req).map(|()| req))
        .and_then(|req| check_request(&gw, &req).map(|()| req))
        .and_then(|req| check_stop(&gw, &req).map(|()| req));
    let response = match admitted {
        Ok(req) => answer_until_stop(&gw, req, timeline, in_flight).await,
        Err(refusal) => refuse(&gw, &timeline, &refusal),
    };
    if gw.is_stopping() { response.closing() } else { response }
}

/// Answers a request with what its route says, unless this host stops before there is an answer.
async fn answer_until_stop(
    gw: &Rc<Gateway>,
    req: ClientRequest,
    timeline: RequestTimeline,
    in_flight: InFlight,
) -> Response {
    let limit = req.deadline.since(gw.now()) + STOP_MARGIN;
    let at_stop = timeline.clone();
    let answer = async {
        match req.route.kind.is_stream() {
            true => answer_stream(gw.clone(), req, timeline, in_flight).await,
            false => answer_plain(gw, req, timeline).await,
        }
    };
    match select(pin!(answer), pin!(gw.stop_ended.notified(limit))).await {
        Either::Left((response, _)) => response,
        Either::Right(_) => refuse(gw, &at_stop, &stop_refusal()),
    }
}

/// Delays a request while this host has no catalog, or knows no endpoint of the services of its route. Both
/// arrive within a second after a start.
async fn wait_for_startup(gw: &Gateway, arrived: Timestamp, meta: &RequestMeta) {
    while gw.now().since(arrived) < STARTUP_WAIT && !is_started(gw, meta) {
        monoio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

fn is_started(gw: &Gateway, meta: &RequestMeta) -> bool {
    let Some(catalog) = gw.catalog.get().filter(|_| gw.is_current.get()) else { return false };
    // After the discovery time a service without endpoints has lost them; waiting does not help.
    if gw.now() > Timestamp::default().plus(STARTUP_DISCOVERY_TIME) {
        return true;
    }
    // A request that matches no route needs no endpoint.
    let Some(route) = catalog.route(&meta.host, &meta.path) else { return true };
    let directory = gw.directory.borrow();
    let target_services = route.targets.iter().map(|target| &target.service);
    let mut services = target_services.chain(route.stages.iter().map(|stage| &stage.service));
    services.all(|service| !directory.ready(service).is_empty())
}

/// Determines the route and the account of a request, or refuses it.
fn admit(
    gw: &Gateway,
    now: Timestamp,
    meta: RequestMeta,
    req: Request,
    timeline: &mut RequestTimeline,
) -> Result<ClientRequest, Refusal> {
    let Some(catalog) = gw.catalog.get().filter(|_| gw.is_current.get()) else {
        let refusal = Refusal::not_run(RefusalReason::NoCatalog, "this host has just started");
        return Err(refusal.with_retry_after(NO_CATALOG_RETRY_AFTER));
    };
    timeline.record_catalog(gw, catalog.version);
    timeline.record_news_age(gw);
    let Some(route) = catalog.route(&meta.host, &meta.path).cloned() else {
        let detail =
            format!("no route of catalog {} matches {}{}", catalog.version, meta.host, meta.path);
        return Err(deny(gw, RefusalReason::NoRoute, detail));
    };
    timeline.route = Some(route.name.clone());
    let (account, priority) = authenticate(gw, &catalog, &meta, route.public)?;
    let service = match route.targets.as_slice() {
        [only] => only.service.clone(),
        _ => route.pick_target(Draw::new(rand::random())).clone(),
    };
    timeline.service = Some(service.clone());
    let timeout = meta.timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT).min(route.timeout);
    let target = req.head.uri.path_and_query().map_or("/", |target| target.as_str()).into();
    let mut headers = req.head.headers;
    if !headers.contains_key(HOST) {
        // Without a `Host` header the host comes from the request target.
        if let Ok(host) = meta.host.parse() {
            headers.insert(HOST, host);
        }
    }
    Ok(ClientRequest {
        method: req.head.method,
        target,
        headers,
        body: req.body,
        priority: priority.unwrap_or(route.priority),
        account,
        service,
        writer: None,
        waits_since: now,
        deadline: now.plus(timeout.duration().max(Duration::from_millis(1))),
        content: OnceCell::new(),
        meta,
        route,
    })
}

/// Refuses a request that the catalog in force does not allow. If the catalog may be old, another host may allow it.
fn deny(gw: &Gateway, reason: RefusalReason, detail: String) -> Refusal {
    let news_age = gw.news_age();
    if may_deny(news_age) {
        return Refusal::not_run(reason, detail);
    }
    let unconfirmed = news_age.as_millis();
    let detail = format!("{detail}; too few control hosts have confirmed it for {unconfirmed} ms");
    Refusal::not_run(RefusalReason::Outdated, detail).with_retry_after(OUTDATED_RETRY_AFTER)
}

/// Returns the account of a request and the account's priority.
fn authenticate(
    gw: &Gateway,
    catalog: &Arc<Catalog>,
    meta: &RequestMeta,
    public: bool,
) -> Result<(Option<AccountId>, Option<u8>), Refusal> {
    let account = meta.key.as_deref().and_then(|key| catalog.accounts.find(key));
    if account.is_none() && !public && !catalog.accounts.is_empty() {
        let detail = format!("the key belongs to no account of catalog {}", catalog.version);
        return Err(deny(gw, RefusalReason::UnknownKey, detail));
    }
    Ok((account.map(|a| a.name.clone()), account.and_then(|a| a.priority)))
}
