use masticstair_core::id::SignerName;
use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason why a signed order is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum OrderRefusal {
    /// No signer has this name.
    #[error("signer {0} is not among the signers in force")]
    UnknownSigner(SignerName),
    /// The signer may not roll bundles.
    #[error("signer {0} lacks the right roll, which evacuations need")]
    NoRight(SignerName),
    /// The signature belongs to another order or another key.
    #[error("the signature does not verify with the key of signer {0}")]
    BadSignature(SignerName),
    /// The time of the order is too far from the clock of the host, in either direction.
    #[error("the time of the order is {offset} ms off the clock of this host (at most {limit} ms)")]
    Expired {
        /// The absolute difference of the clocks.
        offset: Millis,
        /// The largest difference that is accepted.
        limit: Millis,
    },
}
