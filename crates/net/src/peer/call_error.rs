use super::DecodeError;

/// Why a call failed, before the peer's address is added.
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
