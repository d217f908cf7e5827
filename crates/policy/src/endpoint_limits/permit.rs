use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The answer to a host that wants to send a request to an endpoint with a limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The endpoint takes no request now; there is a permit after this time.
    Denied(Millis),
}
