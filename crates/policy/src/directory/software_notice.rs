use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The software of a listed endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process; a later one may run another version.
    pub incarnation: Incarnation,
    /// The version.
    pub software: SoftwareVersion,
}
