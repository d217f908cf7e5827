use futures_channel::oneshot;
use masticstair_core::bundle::StageKind;
use masticstair_core::endpoint_api::LoadedModel;
use masticstair_core::prelude::*;
use masticstair_standins::{StageWork, StandIn, WorkFn};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc;

use crate::bench::BenchError;
use crate::bench::load::RuntimeThread;

/// Calls that a stand-in runs at the same time: more than the scenes with one host send.
const CAPACITY: Slots = Slots::new(8_192);

/// A stand-in of a scene with one host.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// Its name.
    pub id: Box<str>,
    /// What it serves.
    pub kind: StageKind,
    /// Its pool.
    pub pool: &'static str,
    /// What each call does.
    pub work: StageWork,
    /// The host that it announces itself to.
    pub host: SocketAddr,
}

/// Stand-ins on a thread of their own.
pub struct EndpointThread {
    /// Where they take calls.
    pub addrs: Vec<SocketAddr>,
    stop: oneshot::Sender<()>,
    thread: RuntimeThread<()>,
}

impl EndpointThread {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails when the thread does not start or an address cannot be bound.
    pub fn start(specs: Vec<EndpointSpec>) -> Result<Self, BenchError> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (started, addrs) = mpsc::channel();
        let thread = RuntimeThread::start("bench-endpoints", move || async move {
            let bound: io::Result<Vec<SocketAddr>> = specs.into_iter().map(start_one).collect();
            // The starter waits for this word.
            let _ = started.send(bound);
            let _ = stopped.await;
        })?;
        let addrs = addrs.recv().map_err(|_| BenchError::Panicked)??;
        Ok(Self { addrs, stop, thread })
    }

    /// Ends the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails when their thread panicked.
    pub fn stop(self) -> Result<(), BenchError> {
        // A thread that has ended needs no word.
        let _ = self.stop.send(());
        self.thread.join()
    }
}

fn start_one(spec: EndpointSpec) -> io::Result<SocketAddr> {
    let invalid = || io::Error::other(format!("{:?} is no valid name", spec.id));
    let work = spec.work;
    let make_work: WorkFn = Rc::new(move |_| work.clone());
    let stand_in = StandIn {
        id: spec.id.parse().map_err(|_| invalid())?,
        kind: spec.kind,
        pool: spec.pool.parse().map_err(|_| invalid())?,
        data_centre: "bench-1".parse().map_err(|_| invalid())?,
        capacity: CAPACITY,
        models: vec![LoadedModel {
            name: "bench-1b".parse().map_err(|_| invalid())?,
            version: "1".parse().map_err(|_| invalid())?,
        }],
        reports_load: true,
        hosts: vec![spec.host],
        work: make_work,
    };
    let handle = stand_in.start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    Ok(handle.addr)
}
