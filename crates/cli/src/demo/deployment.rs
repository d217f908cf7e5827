use masticstair_core::bundle::StageKind;
use std::time::Duration;

use crate::options::DeploymentProfile;

/// What the demo runs for one of the users.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(super) name: &'static str,
    pub(super) region: &'static str,
    pub(crate) bundle: &'static str,
    pub(super) trace: &'static str,
    pub(super) pools: &'static [DemoPool],
}

/// A pool of the demo.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoPool {
    pub(super) name: &'static str,
    pub(super) kind: StageKind,
    pub(super) replicas: u32,
    pub(super) reports_load: bool,
    /// Whether calls are recorded and must not be repeated.
    pub(super) once: bool,
    pub(super) time: Duration,
}

pub(super) const DEPLOYMENTS: [Deployment; 2] = [
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
    DemoPool { name, kind, replicas: 3, reports_load: true, once: false, time }
}

const fn engine_pool() -> DemoPool {
    let time = Duration::ZERO;
    let kind = StageKind::Generate;
    DemoPool { name: "engines", kind, replicas: 12, reports_load: true, once: false, time }
}

const fn service(name: &'static str, replicas: u32, reports_load: bool, once: bool) -> DemoPool {
    let time = Duration::from_millis(8);
    DemoPool { name, kind: StageKind::Service, replicas, reports_load, once, time }
}
