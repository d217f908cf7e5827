use std::fmt;

use super::{DeploymentName, ProtocolVersion};
use masticstair_core::id::{HostId, Incarnation};

/// The identity of a host, exchanged in the hello of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// The deployment; hosts of different deployments refuse each other.
    pub deployment: DeploymentName,
    /// The id of the host.
    pub host: HostId,
    /// The incarnation of the host's process.
    pub incarnation: Incarnation,
    /// The protocol version; both sides must have the same one.
    pub protocol: ProtocolVersion,
}

impl PeerIdentity {
    /// Returns why this host refuses another one; `None` if they are compatible.
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
