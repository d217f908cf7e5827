use std::fmt;

use super::{DeploymentName, ProtocolVersion};
use masticstair_core::id::{HostId, Incarnation};

/// What a host says about itself before anything else.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// The deployment that it belongs to.
    pub deployment: DeploymentName,
    /// The host.
    pub host: HostId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of the messages that it speaks.
    pub protocol: ProtocolVersion,
}

impl PeerIdentity {
    /// Returns why this host does not talk to another one, if so.
    pub fn mismatch_with(&self, other: &Self) -> Option<Box<str>> {
        if self.deployment != other.deployment {
            return Some(
                format!(
                    "host {} belongs to deployment {}, host {} to deployment {}",
                    other.host, other.deployment, self.host, self.deployment
                )
                .into(),
            );
        }
        if self.protocol != other.protocol {
            return Some(
                format!(
                    "host {} speaks protocol version {}, host {} speaks version {}",
                    other.host, other.protocol, self.host, self.protocol
                )
                .into(),
            );
        }
        None
    }
}

impl fmt::Display for PeerIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} incarnation {}", self.host, self.incarnation)
    }
}
