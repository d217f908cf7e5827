use masticstair_core::bundle::BundleVersion;
use masticstair_core::id::{DeploymentName, LogIndex, Term};
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{HostStatus, LocalHostStatus, PoolStatus};
use crate::control::VoterProgress;

/// A deployment as one of its hosts sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// The deployment.
    pub deployment: DeploymentName,
    /// What needs a look, in plain sentences; empty when nothing does.
    pub unhealthy: Vec<Box<str>>,
    /// The revision in force; 0 when there is none.
    pub revision: Revision,
    /// Whether a quorum confirmed the revision; otherwise it is the newest one known here.
    pub confirmed: bool,
    /// The version that the bundle in force on the answering host names.
    pub version: Option<BundleVersion>,
    /// The digest of that bundle.
    pub sha256: Option<Sha256Digest>,
    /// The host that answers.
    pub this_host: LocalHostStatus,
    /// The live hosts, ordered by name.
    pub hosts: Vec<HostStatus>,
    /// The leader of the replicated log, when it is known.
    pub leader: Option<HostId>,
    /// Its term; none when it did not answer.
    pub term: Option<Term>,
    /// The last entry of its log.
    pub last: Option<LogIndex>,
    /// The last entry that a quorum holds.
    pub commit: Option<LogIndex>,
    /// Whether a change of the voters is in progress.
    pub voters_changing: bool,
    /// The voters and the replicas without a vote.
    pub voters: Vec<VoterProgress>,
    /// The pools of the bundle in force and of the endpoints, ordered by name.
    pub pools: Vec<PoolStatus>,
}
