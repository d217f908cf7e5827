use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use std::time::Duration;

use crate::options::DeploymentProfile;

/// Calls that a stand-in runs at the same time.
const SLOTS: Slots = Slots::new(8);

/// What the demo runs for one of the users.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    pub(crate) bundle: &'static str,
    pub(crate) trace: &'static str,
    pub(crate) pools: &'static [DemoPool],
}

/// A pool of the demo.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoPool {
    pub(crate) name: &'static str,
    pub(crate) kind: StageKind,
    pub(crate) replicas: u32,
    pub(crate) reports_load: bool,
    /// Whether calls are recorded and must not be repeated.
    pub(crate) once: bool,
    pub(crate) time: Duration,
    /// Calls that a replica runs at the same time.
    pub(crate) slots: Slots,
}

pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "trepiserv",
        region: "ee-north",
        bundle: include_str!("../../../../examples/trepiserv/bundle.toml"),
        trace: include_str!("../../../../examples/trepiserv/trace.jsonl"),
        pools: &[
            model_pool("encoders", StageKind::Encode, 5),
            model_pool("retrievers", StageKind::Retrieve, 12),
            model_pool("rerankers", StageKind::Rerank, 20),
            engine_pool(),
            service("orders-bookings", 4, false, true),
            service("fitter-portal", 4, true, false),
            service("report-archive", 5, true, false),
            service("profile-catalogue", 5, true, false),
        ],
    },
    Deployment {
        name: "council",
        region: "prairie-west",
        bundle: include_str!("../../../../examples/council/bundle.toml"),
        trace: include_str!("../../../../examples/council/trace.jsonl"),
        pools: &[
            model_pool("encoders", StageKind::Encode, 5),
            model_pool("retrievers", StageKind::Retrieve, 12),
            model_pool("rerankers", StageKind::Rerank, 20),
            engine_pool(),
            service("filing-desk", 4, false, true),
            service("map-service", 4, true, false),
            service("notice-mailer", 5, true, true),
            service("monitor-logbook", 5, true, false),
        ],
    },
];

/// Returns what the demo runs for a deployment.
pub(crate) const fn deployment(profile: DeploymentProfile) -> Deployment {
    match profile {
        DeploymentProfile::Trepiserv => DEPLOYMENTS[0],
        DeploymentProfile::Council => DEPLOYMENTS[1],
    }
}

const fn model_pool(name: &'static str, kind: StageKind, ms: u64) -> DemoPool {
    let time = Duration::from_millis(ms);
    DemoPool { name, kind, replicas: 3, reports_load: true, once: false, time, slots: SLOTS }
}

const fn engine_pool() -> DemoPool {
    let time = Duration::ZERO;
    let kind = StageKind::Generate;
    DemoPool {
        name: "engines",
        kind,
        replicas: 12,
        reports_load: true,
        once: false,
        time,
        slots: SLOTS,
    }
}

const fn service(name: &'static str, replicas: u32, reports_load: bool, once: bool) -> DemoPool {
    let time = Duration::from_millis(8);
    DemoPool { name, kind: StageKind::Service, replicas, reports_load, once, time, slots: SLOTS }
}
