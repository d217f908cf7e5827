//! Re-exports of the identifiers, outcomes and units that most modules use.

pub use crate::id::{
    AccountId, AttemptId, CallId, CatalogVersion, DataCentreId, EndpointId, HostId, IdempotencyKey,
    Incarnation, PipelineName, PoolName, PromptPartId, RequestDigest, RequestId, ResultHandle,
    Revision, RouteName, ServiceName, SoftwareVersion, StageName,
};
pub use crate::outcome::{Problem, RefusalOutcome};
pub use crate::unit::{
    ByteCount, Draw, EngineTime, Millis, RatePerSecond, Sha256Digest, Slots, Timestamp, TokenCount,
    WallTime, Weight,
};
