use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_standins::{CallLog, StandInHandle};

use super::fault_case::FaultCase;
use crate::bench::BenchError;
use crate::bench::deployment::{HostSize, start_host};
use crate::demo::{
    DEPLOYMENTS, DemoHost, DemoPool, Deployment, Placement, start_endpoints, wait_for_endpoints,
};

/// Calls that an engine runs at the same time: few, so that the capacity is reached at a rate that other
/// work on the machine leaves room for.
const ENGINE_SLOTS: Slots = Slots::new(2);
/// Hosts.
const HOSTS: usize = 3;

/// Three hosts and their endpoints.
pub(super) struct FaultFleet {
    pub(super) hosts: Vec<DemoHost>,
    /// The replicas of each pool.
    pub(super) pools: Vec<(PoolName, Vec<StandInHandle>)>,
    pub(super) bundle: Bundle,
}

impl FaultFleet {
    /// Starts the hosts; the first is the only voter and the seed of the others.
    pub(super) fn start_hosts() -> Result<Vec<DemoHost>, BenchError> {
        let first = start_host(HostSize { number: 0, workers: 1, seed: None, region: "ee-north" })?;
        let seed = Some(first.control.peer_addr);
        let mut hosts = vec![first];
        for number in 1..HOSTS {
            hosts.push(start_host(HostSize { number, workers: 1, seed, region: "ee-north" })?);
        }
        Ok(hosts)
    }

    /// Starts the endpoints on this runtime and waits until every host knows them and the bundle.
    pub(super) async fn start(hosts: Vec<DemoHost>, case: FaultCase) -> Result<Self, BenchError> {
        let pools: Vec<DemoPool> = DEPLOYMENTS[0].pools.iter().copied().map(with_slots).collect();
        let deployment = Deployment { pools: pools.leak(), ..DEPLOYMENTS[0] };
        // Each host owns its part of the account limits, so the bundle has to know how many there are.
        let text = deployment.bundle.replace("hosts = 8", "hosts = 3");
        let text = if case == FaultCase::Burst { without_rates(&text) } else { text };
        let bundle: Bundle = text.parse()?;
        hosts[0].roll_bundle(&text).await?;
        let placement = Placement {
            data_centres: vec![hosts[0].state.cfg.data_centre.clone()],
            hosts: vec![hosts[0].workers.addr],
        };
        let handles = start_endpoints(&deployment, &bundle, &placement, &CallLog::default())?;
        for host in &hosts {
            wait_for_endpoints(host, &bundle, handles.len()).await?;
            while host.state.serving().is_err() {
                monoio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
        let mut handles = handles.into_iter();
        let named = deployment.pools.iter().filter_map(|pool| {
            let replicas = handles.by_ref().take(pool.replicas as usize).collect();
            Some((pool.name.parse().ok()?, replicas))
        });
        let pools = named.collect();
        Ok(Self { hosts, pools, bundle })
    }

    /// Begins a fault on the first replica of each pool.
    pub(super) fn apply(&self, case: FaultCase) {
        self.pools.iter().filter_map(|(_, replicas)| replicas.first()).for_each(|r| case.apply(r));
    }

    /// Returns how many calls the hosts have made to endpoints.
    pub(super) fn calls(&self) -> u64 {
        let count = |host: &DemoHost| -> u64 {
            let text = host.state.metrics.encode();
            let lines = text.lines().filter(|l| l.starts_with("masticstair_stage_calls_total{"));
            lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum()
        };
        self.hosts.iter().map(count).sum()
    }
}

/// Lifts the limits of the accounts: they are below the burst, which is to meet the capacity.
fn without_rates(bundle: &str) -> String {
    let lift = |line: &str| match line.split_once(" = ") {
        Some((key @ ("burst" | "concurrency" | "rate_per_s"), _)) => format!("{key} = 100000\n"),
        _ => format!("{line}\n"),
    };
    bundle.lines().map(lift).collect()
}

fn with_slots(pool: DemoPool) -> DemoPool {
    let slots = if pool.name == "engines" { ENGINE_SLOTS } else { pool.slots };
    DemoPool { slots, ..pool }
}
