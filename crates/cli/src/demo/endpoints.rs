//! Starts the stand-ins of a deployment.

use masticstair_core::bundle::{Bundle, StageKind};
use masticstair_core::endpoint_api::LoadedModel;
use masticstair_core::prelude::*;
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

/// Where endpoints are and whom they announce themselves to.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// The endpoints of each pool are spread over them in turn; not empty.
    pub(crate) data_centres: Vec<DataCentreId>,
    /// In the order of their data centres; an endpoint tries the one of its own first. Not empty.
    pub(crate) hosts: Vec<SocketAddr>,
}

/// Starts every endpoint of a deployment.
pub(crate) fn start_endpoints(
    deployment: &Deployment,
    bundle: &Bundle,
    placement: &Placement,
    log: &CallLog,
) -> io::Result<Vec<StandInHandle>> {
    let mut handles = Vec::new();
    for pool in deployment.pools {
        for number in 0..pool.replicas {
            let Some(stand_in) = make_stand_in(bundle, pool, number, placement, log) else {
                return Err(io::Error::other(format!("pool {} has an invalid name", pool.name)));
            };
            handles.push(stand_in.start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?);
        }
    }
    Ok(handles)
}

fn make_stand_in(
    bundle: &Bundle,
    pool: &DemoPool,
    number: u32,
    placement: &Placement,
    log: &CallLog,
) -> Option<StandIn> {
    let position = number as usize % placement.data_centres.len();
    let mut hosts = placement.hosts.clone();
    let shift = position % hosts.len();
    hosts.rotate_left(shift);
    let models = bundle.models.iter().filter(|_| pool.kind == StageKind::Generate);
    let models = models.map(|m| LoadedModel { name: m.name.clone(), version: m.version.clone() });
    Some(StandIn {
        id: format!("{}-{number}", pool.name).parse().ok()?,
        kind: pool.kind,
        pool: pool.name.parse().ok()?,
        data_centre: placement.data_centres[position].clone(),
        capacity: pool.slots,
        models: models.collect(),
        reports_load: pool.reports_load,
        hosts,
        work: make_work(*pool, number, log.clone()),
    })
}

fn make_work(pool: DemoPool, number: u32, log: CallLog) -> WorkFn {
    match pool.kind {
        StageKind::Generate => {
            let decode_per_token = TOKEN_TIMES[number as usize % TOKEN_TIMES.len()];
            let speed = EngineSpeed { prefill_per_token: decode_per_token / 50, decode_per_token };
            Rc::new(move |req| engine_work(req, speed))
        }
        StageKind::Service if pool.once => Rc::new(move |req| order_work(req, pool.time, &log)),
        StageKind::Service => Rc::new(move |req| lookup_work(req, pool.time)),
        _ => Rc::new(move |req| pool_work(req, pool.time)),
    }
}
