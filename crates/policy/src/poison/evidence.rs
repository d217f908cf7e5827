use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CallProgress, CrashKey, PromptParts};

/// What one host tells another about prompts and crashes. Ages are used in place of times, because the clocks of hosts
/// differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// An engine ended during a request.
    Crash {
        /// The service of the request.
        service: ServiceName,
        /// The end of the engine.
        crash: CrashKey,
        /// How far the engine had come with the request.
        progress: CallProgress,
        /// The shared parts of the prompt.
        parts: PromptParts,
        /// The time since the crash.
        age: Millis,
    },
    /// An engine sent an event of an answer to a prompt with this part.
    Answered {
        /// The service of the request.
        service: ServiceName,
        /// The part.
        part: PromptPartId,
        /// The time since the event.
        age: Millis,
    },
}
