//! Messages between gateways.

mod cancel_request;
mod catalog_mode;
mod catalog_update;
mod codec;
mod findings_reply;
mod findings_request;
mod message;
mod pool_measurement;
mod release_request;
mod reply;
mod stage_crash;
mod stage_failure;
mod stage_load;
mod stage_outcome;
mod stage_reply;
mod stage_request;
mod subscribe_reply;
mod subscribe_request;

pub(crate) use cancel_request::CancelRequest;
pub(crate) use catalog_mode::CatalogMode;
pub(crate) use catalog_update::CatalogUpdate;
pub(crate) use codec::{decode, encode};
pub(crate) use findings_reply::FindingsReply;
pub(crate) use findings_request::FindingsRequest;
pub(crate) use message::Message;
pub(crate) use pool_measurement::PoolMeasurement;
pub(crate) use release_request::ReleaseRequest;
pub(crate) use reply::Reply;
pub(crate) use stage_crash::StageCrash;
pub(crate) use stage_failure::StageFailure;
pub(crate) use stage_load::{PRIORITY_LEVELS, StageLoad};
pub(crate) use stage_outcome::StageOutcome;
pub(crate) use stage_reply::StageReply;
pub(crate) use stage_request::StageRequest;
pub(crate) use subscribe_reply::SubscribeReply;
pub(crate) use subscribe_request::SubscribeRequest;

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests;
