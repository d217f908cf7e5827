use crate::poison::CrashKey;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What one host tells another about requests during which endpoints ended; with ages, because the clocks of hosts differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CrashNotice {
    /// An endpoint ended.
    Crashed {
        /// The content of the request.
        request: RequestDigest,
        /// The end of the endpoint.
        crash: CrashKey,
        /// The time since the request was sent.
        sent_age: Millis,
        /// The time since the end.
        age: Millis,
    },
    /// An endpoint answered the request.
    Answered {
        /// The content of the request.
        request: RequestDigest,
        /// The time since the request was sent that was answered.
        age: Millis,
    },
}
