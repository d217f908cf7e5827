//! Endpoints for the pools of the test bundle, on a thread of the test process.

use masticstair_core::bundle::StageKind;
use masticstair_core::endpoint_api::LoadedModel;
use masticstair_core::prelude::*;
use masticstair_net::runtime::block_on;
use masticstair_standins::{
    CallLog, EngineSpeed, StandIn, WorkFn, engine_work, lookup_work, order_work, pool_work,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Time for a token of the engines.
const TOKEN: Duration = Duration::from_millis(10);
/// Time of every other call.
const CALL: Duration = Duration::from_millis(2);

/// Starts two endpoints a pool; the thread lives as long as the test process.
pub fn start_endpoints(hosts: Vec<SocketAddr>, log: CallLog) {
    thread::spawn(move || {
        block_on(async {
            let speed = EngineSpeed { prefill_token: Duration::ZERO, decode_token: TOKEN };
            let engine: WorkFn = Rc::new(move |req| engine_work(req, speed));
            let pools: [(&str, StageKind, WorkFn); 4] = [
                ("engines", StageKind::Generate, engine),
                ("encoders", StageKind::Encode, Rc::new(|req| pool_work(req, CALL))),
                ("stock", StageKind::Service, Rc::new(|req| lookup_work(req, CALL))),
                ("orders", StageKind::Service, Rc::new(move |req| order_work(req, CALL, &log))),
            ];
            for (pool, kind, work) in pools {
                for number in 0..2usize {
                    let mut hosts = hosts.clone();
                    let shift = number % hosts.len().max(1);
                    hosts.rotate_left(shift);
                    let stand_in = stand_in(pool, kind, number, hosts, work.clone());
                    stand_in.start("127.0.0.1:0".parse().unwrap()).unwrap();
                }
            }
            std::future::pending::<()>().await;
        })
        .unwrap();
    });
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
        data_centre: format!("dc{number}").parse().unwrap(),
        capacity: Slots::new(16),
        models: if kind == StageKind::Generate { vec![model] } else { Vec::new() },
        reports_load: false,
        hosts,
        work,
    }
}
