use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_policy::directory::DepartureNotice;
use masticstair_policy::evacuations::Evacuation;
use serde::{Deserialize, Serialize};

use super::{PausedEndpoint, RejectedPrompt, RejectedRequest};

/// What a gateway has found out about control hosts, endpoints and requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayStatus {
    /// The version of the catalog in force; 0 if there is none.
    pub catalog: CatalogVersion,
    /// The other control hosts that have answered in the last second, ordered by name.
    pub answering_hosts: Vec<HostId>,
    /// The other control hosts that have not, ordered by name. Without answers the catalog may be old.
    pub silent_hosts: Vec<HostId>,
    /// The requests that are rejected because they crash endpoints.
    pub rejected_requests: Vec<RejectedRequest>,
    /// The prompts that are rejected because they crash engines.
    pub rejected_prompts: Vec<RejectedPrompt>,
    /// The endpoints that have asked this host to send them nothing for a time, ordered by name.
    pub paused_endpoints: Vec<PausedEndpoint>,
    /// The endpoints that have stated in an answer that they leave, ordered by name. They may still be listed as ready.
    pub leaving_endpoints: Vec<DepartureNotice>,
    /// The number of the last change of the evacuated data centres; 0 if there was none.
    #[serde(default)]
    pub evacuation_revision: EvacuationRevision,
    /// The data centres whose endpoints get no work, ordered by name.
    #[serde(default)]
    pub evacuated_data_centres: Vec<Evacuation>,
    /// The services whose endpoints are all in these data centres, ordered by name. Requests for them are refused.
    #[serde(default)]
    pub unserved_services: Vec<ServiceName>,
}
