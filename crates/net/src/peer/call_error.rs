use super::DecodeError;

/// The reason why a call failed; converted to a `PeerError`, which adds the address of the peer.
#[derive(Debug)]
pub(crate) enum CallError {
    Rpc(capnp::Error),
    Decode(DecodeError),
}

impl From<capnp::Error> for CallError {
    fn from(e: capnp::Error) -> Self {
        Self::Rpc(e)
    }
}

impl From<DecodeError> for CallError {
    fn from(e: DecodeError) -> Self {
        Self::Decode(e)
    }
}
