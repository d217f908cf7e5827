//! Starts the stand-ins of a deployment.

use masticstair_core::bundle::{Bundle, StageKind};
use masticstair_core::endpoint_api::LoadedModel;
use masticstair_standins::{
    CallLog, EngineSpeed, StandIn, StandInHandle, WorkFn, engine_work, lookup_work, order_work,
    pool_work,
};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use super::deployment::{DemoPool, Deployment};

/// Time for each generated token on the engines, in turn: the back ends differ in speed.
const TOKEN_TIMES: [Duration; 3] =
    [Duration::from_millis(3), Duration::from_millis(6), Duration::from_millis(12)];

/// Starts every endpoint; they announce themselves to `host`.
pub(crate) fn start_endpoints(
    deployment: &Deployment,
    bundle: &Bundle,
    host: SocketAddr,
    log: &CallLog,
) -> io::Result<Vec<StandInHandle>> {
    let mut handles = Vec::new();
    for pool in deployment.pools {
        for number in 0..pool.replicas {
            let Some(stand_in) = make_stand_in(deployment, bundle, pool, number, host, log) else {
                return Err(io::Error::other(format!("pool {} has an invalid name", pool.name)));
            };
            handles.push(stand_in.start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?);
        }
    }
    Ok(handles)
}

fn make_stand_in(
    deployment: &Deployment,
    bundle: &Bundle,
    pool: &DemoPool,
    number: u32,
    host: SocketAddr,
    log: &CallLog,
) -> Option<StandIn> {
    let models = bundle.models.iter().filter(|_| pool.kind == StageKind::Generate);
    let models = models.map(|m| LoadedModel { name: m.name.clone(), version: m.version.clone() });
    Some(StandIn {
        id: format!("{}-{number}", pool.name).parse().ok()?,
        kind: pool.kind,
        pool: pool.name.parse().ok()?,
        data_centre: format!("{}-1", deployment.region).parse().ok()?,
        capacity: pool.slots,
        models: models.collect(),
        reports_load: pool.reports_load,
        hosts: vec![host],
        work: make_work(*pool, number, log.clone()),
    })
}

fn make_work(pool: DemoPool, number: u32, log: CallLog) -> WorkFn {
    match pool.kind {
        StageKind::Generate => {
            let decode_token = TOKEN_TIMES[number as usize % TOKEN_TIMES.len()];
            let speed = EngineSpeed { prefill_token: decode_token / 50, decode_token };
            Rc::new(move |req| engine_work(req, speed))
        }
        StageKind::Service if pool.once => Rc::new(move |req| order_work(req, pool.time, &log)),
        StageKind::Service => Rc::new(move |req| lookup_work(req, pool.time)),
        _ => Rc::new(move |req| pool_work(req, pool.time)),
    }
}
