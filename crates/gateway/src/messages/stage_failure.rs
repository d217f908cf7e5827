use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// Why a stage was not completed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StageFailure {
    /// It cannot complete in time.
    Late,
    /// An input no longer exists; the stages before it have to run again.
    InputGone,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Its pieces failed too often.
    Failed,
    /// Its request has ended.
    Cancelled,
    /// The host that formed the calls is stopping; another one has to take over.
    Moved,
    /// All endpoints have asked the host that forms the calls to send nothing for this time.
    Paused(Millis),
}

impl Display for StageFailure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::Late => "it cannot end in time",
            Self::InputGone => "an input is gone",
            Self::NoEndpoint => "no endpoint takes work",
            Self::Failed => "its pieces failed too often",
            Self::Cancelled => "its request has ended",
            Self::Moved => "the host that formed its calls stops",
            Self::Paused(left) => return write!(f, "its endpoints want nothing for {left} ms"),
        };
        f.write_str(text)
    }
}
