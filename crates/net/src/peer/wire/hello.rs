//! The identity of a host, sent in the hello.

use super::text::read_name;
use crate::generated::peer_capnp::hello;
use crate::peer::{DecodeError, PeerIdentity, ProtocolVersion};
use masticstair_core::id::Incarnation;

pub(crate) fn write(mut out: hello::Builder<'_>, identity: &PeerIdentity) {
    out.set_deployment(identity.deployment.as_str());
    out.set_host(identity.host.as_str());
    out.set_incarnation(identity.incarnation.get());
    out.set_protocol(identity.protocol.get());
}

pub(crate) fn read(hello: hello::Reader<'_>) -> Result<PeerIdentity, DecodeError> {
    Ok(PeerIdentity {
        deployment: read_name("deployment", hello.get_deployment())?,
        host: read_name("host", hello.get_host())?,
        incarnation: Incarnation::new(hello.get_incarnation()),
        protocol: ProtocolVersion::new(hello.get_protocol()),
    })
}
