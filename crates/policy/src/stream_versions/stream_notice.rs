use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::StreamWriter;

/// Tells another host who wrote a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamNotice {
    /// The attempt that brought the first event to the client.
    pub attempt: CallId,
    /// What wrote it; none if two streams have been begun under this attempt.
    pub writer: Option<StreamWriter>,
    /// How much longer the client may take the stream up.
    pub left: Millis,
}
