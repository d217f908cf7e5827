//! The HTTP interface of a host for callers, endpoints, operators and the load balancer.

pub mod admin;
mod announce;
mod health;

pub(crate) use admin::BUNDLES_PATH;

use futures_util::FutureExt;
use http::{Method, StatusCode};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Handler, Request, Response};
use std::rc::Rc;

use crate::request::{WorkerContext, handle_pipeline};

/// Creates the request handler of a worker; it routes each request by its method and path.
pub fn handler(cx: Rc<WorkerContext>) -> Handler {
    Rc::new(move |req| route(cx.clone(), req).boxed_local())
}

async fn route(cx: Rc<WorkerContext>, req: Request) -> Response {
    let path = req.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&req.head.method, parts.as_slice()) {
        (&Method::POST, ["v1", "pipelines", pipeline]) => handle_pipeline(cx, pipeline, req).await,
        (&Method::PUT, ["v1", "endpoints", id]) => announce::announce(&cx.state, id, &req),
        (&Method::DELETE, ["v1", "endpoints", id]) => announce::leave(&cx.state, id, &req),
        (_, ["v1", rest @ ..]) if matches!(rest, ["bundles" | "evacuations" | "status", ..]) => {
            let answer = admin::handle(&cx.state, rest, &req).await;
            answer.unwrap_or_else(|| Response::problem(&unknown_path(&req.head.method, &path)))
        }
        (&Method::GET, ["healthz"]) => Response::new(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, ["readyz"]) => health::readiness(&cx.state),
        (&Method::GET, ["metrics"]) => health::metrics(&cx.state),
        _ => Response::problem(&unknown_path(&req.head.method, &path)),
    }
}

fn unknown_path(method: &Method, path: &str) -> Problem {
    let detail = format!("there is no {method} {path:?}");
    Problem::not_run(404, "path-unknown", detail).with_field("path")
}
