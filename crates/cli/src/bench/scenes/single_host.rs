use masticstair_core::bundle::{Bundle, StageKind};
use masticstair_core::endpoint_api::Usage;
use masticstair_net::runtime::block_on;
use masticstair_standins::StageWork;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

use crate::bench::BenchError;
use crate::bench::deployment::{
    EndpointSpec, EndpointThread, HostSize, TOKEN, bundle_text, start_host,
};
use crate::bench::load::Caller;
use crate::demo::{DemoHost, wait_for_endpoints};

/// One host with stand-ins on threads of their own.
pub(super) struct SingleHost {
    host: DemoHost,
    pub(super) endpoints: Vec<EndpointThread>,
}

impl SingleHost {
    /// Starts a host and `threads` threads with the stand-ins that `specs` returns for each.
    pub(super) fn start(
        workers: usize,
        threads: usize,
        specs: impl Fn(usize, SocketAddr) -> Vec<EndpointSpec>,
    ) -> Result<Self, BenchError> {
        let size = HostSize { number: 0, workers, seed: None, region: "bench" };
        let host = start_host(size)?;
        let addr = host.workers.addr;
        let started = (0..threads).map(|thread| EndpointThread::start(specs(thread, addr)));
        let endpoints = started.collect::<Result<Vec<_>, _>>()?;
        let (text, expected) = (bundle_text(), endpoints.iter().map(|e| e.addrs.len()).sum());
        let bundle: Bundle = text.parse()?;
        block_on(async {
            host.roll_bundle(&text).await?;
            wait_for_endpoints(&host, &bundle, expected).await
        })??;
        Ok(Self { host, endpoints })
    }

    /// Returns a caller of a pipeline.
    pub(super) fn caller(&self, pipeline: &'static str, stream: bool) -> Caller {
        Caller { host: self.host.workers.addr, pipeline, token: TOKEN, stream }
    }

    pub(super) fn stop(self) -> Result<(), BenchError> {
        // The host first: it ends when its requests have ended, which need the endpoints.
        self.host.stop();
        self.endpoints.into_iter().try_for_each(EndpointThread::stop)
    }
}

/// Returns the work of a stage that takes `time` and answers with a document.
pub(super) fn whole_work(time: Duration) -> StageWork {
    StageWork {
        time,
        output: json!({ "documents": ["d1", "d2", "d3"], "vector": [0.5, 0.25, 0.125] }),
        tokens: Vec::new(),
        token_time: Duration::ZERO,
        stamped: false,
        usage: Usage::default(),
    }
}

/// Returns the work of a generation of `count` stamped tokens, `token_time` apart.
pub(super) fn token_work(count: u64, token_time: Duration) -> StageWork {
    StageWork {
        tokens: (0..count).map(|_| Box::default()).collect(),
        token_time,
        stamped: true,
        usage: Usage { output_tokens: count.into(), ..Usage::default() },
        ..whole_work(token_time)
    }
}

/// Returns a stand-in of a pool.
pub(super) fn endpoint(
    pool: &'static str,
    kind: StageKind,
    number: usize,
    work: StageWork,
    host: SocketAddr,
) -> EndpointSpec {
    EndpointSpec { id: format!("{pool}-{number}").into(), kind, pool, work, host }
}
