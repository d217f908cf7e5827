use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::{DeploymentName, LogIndex, Term};
use masticstair_core::prelude::*;
use masticstair_gateway::status::GatewayStatus;
use serde::{Deserialize, Serialize};

use super::{HostStatus, LocalHostStatus, PoolStatus};
use crate::control::VoterProgress;

/// The status of a deployment as one of its hosts sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// The name of the deployment.
    pub deployment: DeploymentName,
    /// The faults found in this report, one sentence each; empty if there are none.
    pub unhealthy: Vec<Box<str>>,
    /// The revision in force; 0 if there is none.
    pub revision: Revision,
    /// Whether a quorum confirmed `revision`; otherwise it is the newest one known to the answering host.
    pub confirmed: bool,
    /// The value of `version` in the bundle in force on the answering host; `None` without a bundle.
    pub version: Option<BundleVersion>,
    /// The SHA-256 digest of that bundle.
    pub sha256: Option<Sha256Digest>,
    /// The answering host.
    pub this_host: LocalHostStatus,
    /// The live hosts, ordered by name.
    pub hosts: Vec<HostStatus>,
    /// The leader of the replicated log; `None` if the answering host knows none.
    pub leader: Option<HostId>,
    /// The term of the leader; `None` if it didn't answer.
    pub term: Option<Term>,
    /// The index of the last entry in its log; `None` if it didn't answer.
    pub last: Option<LogIndex>,
    /// The index of the last entry that a quorum holds; `None` if the leader didn't answer.
    pub commit: Option<LogIndex>,
    /// Whether a change of the voters or learners is not yet committed.
    pub voters_changing: bool,
    /// The progress of the voters and learners.
    pub voters: Vec<VoterProgress>,
    /// The pools of the bundle in force and of the endpoints, ordered by name.
    pub pools: Vec<PoolStatus>,
    /// What the gateway of the answering host has found out; `None` without a gateway, or if it did not answer.
    #[serde(default)]
    pub gateway: Option<GatewayStatus>,
}
