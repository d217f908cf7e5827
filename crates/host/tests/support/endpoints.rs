//! Stand-in endpoints for the pools of the test bundle, on a thread of the test process.

use masticstair_core::bundle::StageKind;
use masticstair_core::endpoint_api::LoadedModel;
use masticstair_core::prelude::*;
use masticstair_net::runtime::block_on;
use masticstair_standins::{
    CallLog, EngineSpeed, Faults, StandIn, WorkFn, engine_work, lookup_work, order_work, pool_work,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Decode time of one token on the engines.
const DECODE_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Duration of a call to any other endpoint.
const CALL_TIME: Duration = Duration::from_millis(2);
/// The number of endpoints per pool.
pub const ENDPOINTS_PER_POOL: usize = 2;

/// The injectable faults of each endpoint, by endpoint id.
pub type FaultsByEndpoint = HashMap<Box<str>, Faults>;

/// Starts the endpoints of every pool on a thread that lives as long as the test process.
pub fn start_endpoints(hosts: Vec<SocketAddr>, log: CallLog) -> FaultsByEndpoint {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        block_on(async {
            tx.send(start_all(&hosts, log)).unwrap();
            std::future::pending::<()>().await;
        })
        .unwrap();
    });
    rx.recv().unwrap()
}

fn start_all(hosts: &[SocketAddr], log: CallLog) -> FaultsByEndpoint {
    let speed =
        EngineSpeed { prefill_per_token: Duration::ZERO, decode_per_token: DECODE_TOKEN_TIME };
    let engine: WorkFn = Rc::new(move |req| engine_work(req, speed));
    let pools: [(&str, StageKind, WorkFn); 4] = [
        ("engines", StageKind::Generate, engine),
        ("encoders", StageKind::Encode, Rc::new(|req| pool_work(req, CALL_TIME))),
        ("stock", StageKind::Service, Rc::new(|req| lookup_work(req, CALL_TIME))),
        ("orders", StageKind::Service, Rc::new(move |req| order_work(req, CALL_TIME, &log))),
    ];
    let mut faults = HashMap::new();
    for (pool, kind, work) in pools {
        for number in 0..ENDPOINTS_PER_POOL {
            let mut hosts = hosts.to_vec();
            let offset = number % hosts.len().max(1);
            hosts.rotate_left(offset);
            let stand_in = stand_in(pool, kind, number, hosts, work.clone());
            let id = stand_in.id.as_str().into();
            faults.insert(id, stand_in.start("127.0.0.1:0".parse().unwrap()).unwrap().faults);
        }
    }
    faults
}

fn stand_in(
    pool: &str,
    kind: StageKind,
    number: usize,
    hosts: Vec<SocketAddr>,
    work: WorkFn,
) -> StandIn {
    let model = LoadedModel { name: "m".parse().unwrap(), version: "1".parse().unwrap() };
    StandIn {
        id: format!("{pool}-{number}").parse().unwrap(),
        kind,
        pool: pool.parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        capacity: Slots::new(16),
        models: if kind == StageKind::Generate { vec![model] } else { Vec::new() },
        reports_load: false,
        hosts,
        work,
    }
}
